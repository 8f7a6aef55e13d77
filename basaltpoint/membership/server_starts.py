"""When servers started, on this process's own clock, though wall clocks step.

Discovery tells a start in Unix time (`born_ms`). What that is on the monotonic clock depends on how the
two clocks stood to each other then: a step of the wall clock, ours or all machines', moves every start
that is converted by the wrong offset, into the past (slow start is skipped, and a cold server is pushed
over) or the future (it stays cold). So each offset that was seen is remembered, and a start is the
latest one that does not lie in the future: where that errs, a server is spared for longer than it had to
be. A start that was told before stays what it was.
"""

from __future__ import annotations

import logging
from collections import deque

log = logging.getLogger(__name__)

MIN_STEP_MS = (
    200.0  # a change of the offset by more is a step; clocks that are slewed drift less between two looks
)
MAX_OFFSETS = 16  # offsets; older steps concern servers that are warm by now
MAX_AHEAD_MS = 1000.0  # by which a start may seem to lie in the future: clocks of machines differ a little


class ServerStarts:
    """The starts of the servers of one list; times in ms."""

    def __init__(self, offset_ms: float) -> None:
        """`offset_ms`: what has to be added to Unix time for this process's clock."""
        self._offsets = deque([offset_ms], maxlen=MAX_OFFSETS)
        self._starts: dict[str, tuple[float, float]] = {}  # as told, and as converted then

    @property
    def offset_ms(self) -> float:
        """The latest offset."""
        return self._offsets[-1]

    def observe_clocks(self, now_ms: float, wall_ms: float) -> None:
        """Look at both clocks at once."""
        offset = now_ms - wall_ms
        if abs(offset - self._offsets[-1]) > MIN_STEP_MS:
            log.warning("the wall clock has stepped by %+.3f s", (self._offsets[-1] - offset) / 1000)
            self._offsets.append(offset)

    def started_ms(self, name: str, born_ms: float, now_ms: float) -> float:
        """When the server started that discovery tells so; 0: long ago."""
        if born_ms <= 0:
            return 0.0
        known_born_ms, start_ms = self._starts.get(name, (0.0, 0.0))
        if known_born_ms != born_ms:
            candidates = [
                at for at in (born_ms + offset for offset in self._offsets) if at <= now_ms + MAX_AHEAD_MS
            ]
            start_ms = max(candidates, default=now_ms)
            self._starts[name] = born_ms, start_ms
        return start_ms

    def forget(self, name: str) -> None:
        """The server is gone."""
        self._starts.pop(name, None)
