"""Name conflicts: checks by up to three pings whether another process uses this member's name."""

from __future__ import annotations

import math

from basaltpoint.peers.messages import MemberRecord
from basaltpoint.peers.options import MembershipOptions

MAX_QUERIES = 3
MIN_RECHECK_INTERVAL_MS = 5000.0  # for an instance that did not respond, or is terminating itself


class NameConflict:
    """The check of one possibly conflicting process; there is at most one check at a time."""

    def __init__(self, options: MembershipOptions) -> None:
        self._options = options
        self.address, self.incarnation = "", 0
        self._instance_id = self._queries = 0
        self.next_ms = math.inf
        self._recheck_ms = -math.inf

    @property
    def is_pending(self) -> bool:
        return self.next_ms < math.inf

    def conflict_reported(self, now: float, record: MemberRecord) -> bool:
        """A record shows another instance with this name; returns whether to start a check now."""
        if self.is_pending or (record.instance_id == self._instance_id and now < self._recheck_ms):
            self.incarnation = max(self.incarnation, record.incarnation)
            return False
        self.address, self.incarnation, self._instance_id, self._queries = (
            record.address,
            record.incarnation,
            record.instance_id,
            0,
        )
        self._recheck_ms = now + MIN_RECHECK_INTERVAL_MS
        return True

    def is_due(self, now: float) -> bool:
        return now >= self.next_ms

    def count_query(self, now: float) -> bool:
        """Counts a query; returns False, and closes the check, if there were enough without a response."""
        if self._queries >= MAX_QUERIES:
            self.close()
            return False
        self._queries += 1
        self.next_ms = now + self._options.name_check_timeout_ms
        return True

    def close(self) -> None:
        self.next_ms = math.inf
