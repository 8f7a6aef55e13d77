"""Rate-limited log lines on lists of servers, as a rolling release changes hundreds of entries a second."""

from __future__ import annotations

import logging
import math

from basaltpoint.interface import ListKind

log = logging.getLogger(__name__)

LOG_INTERVAL_S = 1.0  # minimum time between two lines


class ListLog:
    """Sums up the lists received since the last log line."""

    def __init__(self) -> None:
        self._logged_at = -math.inf
        self._lists = self._listed = self._changed = self._version = 0
        self._kind = ListKind.FULL

    def record(self, now_s: float, version: int, kind: ListKind, listed: int, changed: int) -> None:
        """Adds a list; `listed` and `changed` are numbers of servers."""
        self._lists += 1
        self._listed += listed
        self._changed += changed
        self._version, self._kind = version, kind
        self.flush(now_s)

    def flush(self, now_s: float) -> None:
        """Logs the lists since the last line, unless that line is less than a second old."""
        if not self._lists or now_s < self._logged_at + LOG_INTERVAL_S:
            return
        lists = f" by {self._lists} lists" if self._lists > 1 else ""
        log.info(
            "servers: version %d (%s), %d named, %d changed%s",
            self._version,
            self._kind.value,
            self._listed,
            self._changed,
            lists,
        )
        self._logged_at = now_s
        self._lists = self._listed = self._changed = 0
