"""Delays between calls to discovery: none at a start, at most about a second after an interruption."""

from __future__ import annotations

import math
import random

FIRST_DELAY_RANGE_S = (0.02, 0.2)  # after a successful watch; shorter than the shortest drain grace, 250 ms
# Upper limit of the first delay as a fraction of the deployment's drain grace, if that is shorter. The rest
# of the grace is left for a stall of this process, so that an interruption alone withholds no requests.
FIRST_DELAY_FRACTION = 0.4
INITIAL_TIMEOUT_S = 0.5  # for the agent's first byte, doubled with each lost call; a busy host is slow itself
INITIAL_DELAY_S = 0.2  # mean delay after the first failed call, doubled with each further failure
MAX_DELAY_S = 1.0  # longest mean delay; a drain announced meanwhile is missed for this long


class Backoff:
    """Exponential backoff with jitter for calls to discovery; the mean delay is capped at one second.

    While no call is open, a limiter still sends to a server whose drain has been announced, which violates
    the rule on drains. A fleet therefore avoids a thundering herd by jitter and by waiting on open calls
    (`Watch` gives one up after silence only), not by longer delays: when the limiters of a fleet took turns
    (20 s at 200 limiters), one release broke the rule on drains 1,871 times. The cost falls on a discovery
    service that refuses many calls: a limiter in a fleet of 40 then calls up to four times as often.
    """

    def __init__(self, rng: random.Random, drain_bound_s: float = math.inf) -> None:
        """`drain_bound_s`: how long after the announcement of a drain requests may still go to the server."""
        self._rng = rng
        self._first_delay_range_s = (
            min(FIRST_DELAY_RANGE_S[0], FIRST_DELAY_FRACTION * drain_bound_s),
            min(FIRST_DELAY_RANGE_S[1], FIRST_DELAY_FRACTION * drain_bound_s),
        )
        self._failures = 0

    def record_failure(self) -> None:
        """Records that a call was refused, was interrupted or returned nothing new."""
        self._failures += 1

    def record_connection_refused(self) -> None:
        """Records that nothing listens at discovery's address, so that frequent calls cost discovery nothing.

        Once discovery returns, its changes count as delivered at once; a long delay would miss a drain.
        """
        self._failures = 0

    def record_success(self) -> None:
        """Records that a call returned the requested data."""
        self._failures = 0

    def call_timeout_s(self, max_s: float) -> float:
        """Returns the timeout for establishing a connection or receiving its first byte, at most `max_s`.

        It starts short, because a lost call must not take as long as a silent agent, and doubles with each
        failed call, in case the agent is slow or down.
        """
        return min(max_s, INITIAL_TIMEOUT_S * 2.0 ** min(max(0, self._failures - 1), 16))

    def next_delay_s(self) -> float:
        """Returns the seconds until the next call."""
        if not self._failures:
            return self._rng.uniform(*self._first_delay_range_s)
        mean_s = min(MAX_DELAY_S, INITIAL_DELAY_S * 2.0 ** min(self._failures - 1, 16))
        return mean_s * self._rng.uniform(0.5, 1.5)
