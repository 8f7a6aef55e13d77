"""When a limiter asks discovery: at a start at once, after a break within a second, whatever the fleet."""

from __future__ import annotations

import math
import random

FIRST_DELAY_RANGE_S = (
    0.02,
    0.2,
)  # after a watch that told something: less than the least bound on a drain's notice, 250 ms
FIRST_DELAY_FRACTION = (
    0.4  # of the deployment's bound on a drain's notice, where that is shorter than these: what
)
# the grace leaves beside a stall of this process, and nothing is held back for a break alone
INITIAL_TIMEOUT_S = (
    0.5  # for the agent's first word, doubled with each lost call; a busy machine is late itself
)
INITIAL_DELAY_S = 0.2  # mean wait after the first call that fails, doubled with each further one
MAX_DELAY_S = 1.0  # longest mean wait: a drain that is told meanwhile is overheard for so long


class Backoff:
    """The waits between calls: exponential backoff with jitter, capped at a second.

    While no call is open a limiter goes on sending to a server whose drain has been told, and the rule on
    drains counts that against it. So what keeps a fleet from a storm is jitter and a call that is kept
    waiting (`Watch` gives one up after silence only), not longer waits: turns of the whole fleet (20 s at
    200 limiters) broke the rule on drains there 1,871 times in one release. It hurts where discovery turns
    many calls away at a price: a limiter of 40 then asks up to four times as often.
    """

    def __init__(self, rng: random.Random, drain_bound_s: float = math.inf) -> None:
        """`bound_s`: how long after a drain was told nothing more may go to its server."""
        self._rng = rng
        self._first_delay_range_s = (
            min(FIRST_DELAY_RANGE_S[0], FIRST_DELAY_FRACTION * drain_bound_s),
            min(FIRST_DELAY_RANGE_S[1], FIRST_DELAY_FRACTION * drain_bound_s),
        )
        self._failures = 0

    def record_failure(self) -> None:
        """A call was turned away, broke off or told nothing new."""
        self._failures += 1

    def record_connection_refused(self) -> None:
        """Nobody listened at discovery's address: asking again costs nobody anything.

        What it has when it is back counts as told at once, so that a long wait would be a late notice.
        """
        self._failures = 0

    def record_success(self) -> None:
        """A call told what was asked for."""
        self._failures = 0

    def call_timeout_s(self, max_s: float) -> float:
        """How long a call that has begun may take to come up, or to say its first word.

        A lost one must not cost what a silent agent may: it grows where all are slow, or none is there.
        """
        return min(max_s, INITIAL_TIMEOUT_S * 2.0 ** min(max(0, self._failures - 1), 16))

    def next_delay_s(self) -> float:
        """Seconds until the next call."""
        if not self._failures:
            return self._rng.uniform(*self._first_delay_range_s)
        mean_s = min(MAX_DELAY_S, INITIAL_DELAY_S * 2.0 ** min(self._failures - 1, 16))
        return mean_s * self._rng.uniform(0.5, 1.5)
