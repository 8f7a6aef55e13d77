"""Start times of servers on this process's monotonic clock, unaffected by steps of wall clocks.

Discovery reports a start in Unix time (`born_ms`). Its monotonic equivalent depends on the offset between the
two clocks at that moment. After a step of the wall clock, on this host or on all hosts, the wrong offset
moves a start into the past (slow start is skipped and a cold server is overloaded) or into the future (the
server stays cold). All offsets seen are therefore remembered, and a start is converted to the latest time
that does not lie in the future. Where that is wrong, a server is protected for longer than necessary. A start
that was converted once keeps its value.
"""

from __future__ import annotations

import logging
from collections import deque

log = logging.getLogger(__name__)

# A larger change of the offset is a step; clocks that are slewed drift less between two observations.
MIN_STEP_MS = 200.0
MAX_OFFSETS = 16  # older steps only concern servers whose slow start is over
MAX_AHEAD_MS = 1000.0  # how far a start may seem to lie in the future, as the clocks of hosts differ slightly


class ServerStarts:
    """The start times of the servers of one list, in milliseconds."""

    def __init__(self, offset_ms: float) -> None:
        """`offset_ms`: this process's clock minus Unix time."""
        self._offsets = deque([offset_ms], maxlen=MAX_OFFSETS)
        self._starts: dict[str, tuple[float, float]] = {}  # `born_ms` as reported, and its converted time

    @property
    def offset_ms(self) -> float:
        """The latest offset between the clocks."""
        return self._offsets[-1]

    def observe_clocks(self, now_ms: float, wall_ms: float) -> None:
        """Records the present offset between the clocks, if it has changed by a step."""
        offset = now_ms - wall_ms
        if abs(offset - self._offsets[-1]) > MIN_STEP_MS:
            log.warning("the wall clock has stepped by %+.3f s", (self._offsets[-1] - offset) / 1000)
            self._offsets.append(offset)

    def started_ms(self, name: str, born_ms: float, now_ms: float) -> float:
        """Returns a server's start on this process's clock; 0 if it lies far in the past or is unknown."""
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
        """Removes a server that has left the list."""
        self._starts.pop(name, None)
