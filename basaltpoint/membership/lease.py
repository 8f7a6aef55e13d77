"""Whether the list of servers may still be acted on: a lease that every word of discovery's watch renews.

A list is only as good as the certainty that its changes would have been heard. What the agent on this machine
has counts as told to the limiter, whether or not a watch is open and from a process's first moment on. So the
lease runs out as soon as a change could have been told for as long as the settings allow, unheard: at a start
at once, after a watch has ended or while a list has come in part after the grace, after silence and after a
change of configuration later. Until the next word nothing is sent.

Where lists are asked for instead (`registryMode` is `subscribe`), a change counts as told when it was
written to the limiter. One that keeps asking, and is refused by a crowded discovery, has 6 s, and at a start
four times `askWithinMs`: it acts on what it knows meanwhile.

Where discovery can't be reached at all, nothing is told either, and a limiter serves on with what it knows
(fail static). A living agent answers a call at once, so the sign is a row of calls without a word.

A machine without I/O; all times are monotonic seconds.
"""

from __future__ import annotations

import math

from basaltpoint.policy.send_rules import MAX_STALL_S

WATCH_SILENCE_TIMEOUT_S = (
    6.0  # what a silent watch misses counts as told so long after it fell silent (STANDING)
)
AGENT_CHANGE_TIMEOUT_S = (
    4.0  # what the new agent has counts as told so long after a change of configuration (STANDING)
)
FAILED_CALL_INTERVALS = (
    4  # times `askWithinMs` a limiter whose call failed need not know of a change (wire's page)
)
UNREACHABLE_TIMEOUT_S = (
    1.25  # from the first call without a word on. Longer costs what limiters that restart in an
)
# outage do not serve (2.5 s: 0.06 of herd+mass); shorter breaks the rule on drains behind an agent that slow
REFUSED_TIMEOUT_S = 3.0  # the same where discovery has refused a call: it lives, and may be heard in a moment
MIN_UNREACHABLE_CALLS = 2  # at least so many: one may have been lost on its way


class MembershipLease:
    """The lease of one limiter's list of servers; where lists are pushed it begins expired."""

    def __init__(self, now: float, drain_grace_s: float, max_poll_interval_s: float | None = None) -> None:
        """`grace_s`: how long after a drain was told requests may still go to its server.

        `ask_within_s`: where lists are asked for, how often at least; None where they are pushed.
        """
        self._allowance_s = max(0.0, drain_grace_s - MAX_STALL_S)
        is_polled = max_poll_interval_s is not None
        self._unwatched_s = self._allowance_s + (WATCH_SILENCE_TIMEOUT_S if is_polled else 0.0)
        self._expires_at = now + min(
            WATCH_SILENCE_TIMEOUT_S, FAILED_CALL_INTERVALS * (max_poll_interval_s or 0.0)
        )
        self._first_call_at: float | None = None  # the first call since the last word
        self._calls = 0  # since the last word
        self._was_refused = False  # one of them, by discovery itself

    def expires_at(self, now: float) -> float:
        """When the lease expires, as things stand; infinite while discovery can't be reached."""
        return math.inf if self._is_unreachable(now) else self._expires_at

    def _is_unreachable(self, now: float) -> bool:
        if self._first_call_at is None or self._calls < MIN_UNREACHABLE_CALLS:
            return False
        return now - self._first_call_at >= (
            REFUSED_TIMEOUT_S if self._was_refused else UNREACHABLE_TIMEOUT_S
        )

    # --- What happens to the watch ---------------------------------------------------------------------
    def call_started(self, now: float) -> None:
        """A call to discovery begins."""
        self._calls += 1
        if self._first_call_at is None:
            self._first_call_at = now

    def call_failed_locally(self) -> None:
        """The call could not be made by this machine's own trouble: it says nothing of discovery."""
        self._calls -= 1

    def call_refused(self) -> None:
        """Discovery answered a call with a refusal."""
        self._was_refused = True

    def closed_by_peer(self) -> None:
        """The other side ended a call that was open: it is there, or is back after an absence.

        A machine that was cut off resets what stood open once it returns (protocol page, "The network").
        """
        self._first_call_at, self._calls = None, 0

    def partial_list_received(self, now: float) -> None:
        """Part of a list came, and no more: discovery lives, has news, and may be heard in a moment."""
        self.watch_lost(now)
        self._first_call_at, self._calls, self._was_refused = None, 0, True

    def renew(self, now: float) -> None:
        """The watch told a list, or that nothing is new."""
        self._expires_at = now + WATCH_SILENCE_TIMEOUT_S + self._allowance_s
        self._first_call_at, self._calls, self._was_refused = None, 0, False

    def watch_lost(self, now: float) -> None:
        """From now on a change may go unheard: the watch has ended, or a list has come in part."""
        self._expires_at = min(self._expires_at, now + self._unwatched_s)

    def agent_changed(self, now: float) -> None:
        """The configuration names another agent."""
        self._expires_at = min(self._expires_at, now + AGENT_CHANGE_TIMEOUT_S + self._allowance_s)
