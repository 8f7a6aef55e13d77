"""The membership lease: whether the list of servers is still current enough to send requests.

A list is valid only while the limiter can be sure that it would have received a change. What the agent on
this host knows counts as delivered to the limiter, whether or not a watch is open, from the start of the
process on. The lease therefore expires as soon as a change could have gone unnoticed for as long as the
settings allow: at once at a start; after the drain grace when a watch has ended or a list is only partly
received; later after silence and after a change of configuration. No request is sent until discovery responds
again.

If lists are polled (`registryMode` is `subscribe`), a change counts as delivered when it was written to the
limiter. A limiter that keeps polling and is refused by an overloaded discovery has 6 s, and at a start four
times `askWithinMs`; meanwhile it uses the list that it knows.

While discovery is unreachable, no change can be announced, and the limiter keeps using the known list (fail
static). A running agent responds to a call at once, so consecutive calls without a response show this state.

The lease is a state machine without I/O; all times are monotonic seconds.
"""

from __future__ import annotations

import math

from basaltpoint.policy.send_rules import MAX_STALL_S

# Changes missed on a silent watch count as delivered after this time (the platform's rules).
WATCH_SILENCE_TIMEOUT_S = 6.0
# Changes known to a new agent count as delivered this long after the change of configuration (the
# platform's rules).
AGENT_CHANGE_TIMEOUT_S = 4.0
# A limiter whose calls fail may miss changes for this many times `askWithinMs` (the platform's protocol).
FAILED_CALL_INTERVALS = 4
# Counted from the first call without a response. A longer time withholds requests on limiters that restart
# during an outage (2.5 s: a fraction of 0.06 of the requests of the herd+mass scenario). A shorter one breaks
# the rule on drains if the agent is this slow.
UNREACHABLE_TIMEOUT_S = 1.25
REFUSED_TIMEOUT_S = 3.0  # the same after discovery has refused a call: it runs, and may respond soon
MIN_UNREACHABLE_CALLS = 2  # a single call may have been lost on the network


class MembershipLease:
    """The lease on one limiter's list of servers. If lists are pushed, it is expired at first."""

    def __init__(self, now: float, drain_grace_s: float, max_poll_interval_s: float | None = None) -> None:
        """`drain_grace_s`: how long after the announcement of a drain requests may still go to the server.

        `max_poll_interval_s`: the longest time between two polls; None if lists are pushed.
        """
        self._allowance_s = max(0.0, drain_grace_s - MAX_STALL_S)
        is_polled = max_poll_interval_s is not None
        self._unwatched_s = self._allowance_s + (WATCH_SILENCE_TIMEOUT_S if is_polled else 0.0)
        self._expires_at = now + min(
            WATCH_SILENCE_TIMEOUT_S, FAILED_CALL_INTERVALS * (max_poll_interval_s or 0.0)
        )
        self._first_call_at: float | None = None  # first call since discovery last responded
        self._calls = 0  # since discovery last responded
        self._was_refused = False  # discovery refused one of these calls

    def expires_at(self, now: float) -> float:
        """Returns when the lease expires in the present state; infinite while discovery is unreachable."""
        return math.inf if self._is_unreachable(now) else self._expires_at

    def _is_unreachable(self, now: float) -> bool:
        if self._first_call_at is None or self._calls < MIN_UNREACHABLE_CALLS:
            return False
        return now - self._first_call_at >= (
            REFUSED_TIMEOUT_S if self._was_refused else UNREACHABLE_TIMEOUT_S
        )

    # --- Events of the watch ---------------------------------------------------------------------------
    def call_started(self, now: float) -> None:
        """Records the start of a call to discovery."""
        self._calls += 1
        if self._first_call_at is None:
            self._first_call_at = now

    def call_failed_locally(self) -> None:
        """Discounts a call that failed through a local error: it says nothing about discovery."""
        self._calls -= 1

    def call_refused(self) -> None:
        """Records that discovery refused a call."""
        self._was_refused = True

    def closed_by_peer(self) -> None:
        """Records that the peer closed an open call: discovery is running, or back after an outage.

        A host that was cut off resets its open connections once it returns (the platform's
        protocol, "The network").
        """
        self._first_call_at, self._calls = None, 0

    def partial_list_received(self, now: float) -> None:
        """Records part of a list: discovery runs and has changes, the rest of which may arrive soon."""
        self.watch_lost(now)
        self._first_call_at, self._calls, self._was_refused = None, 0, True

    def renew(self, now: float) -> None:
        """Renews the lease: the watch delivered a list or a heartbeat."""
        self._expires_at = now + WATCH_SILENCE_TIMEOUT_S + self._allowance_s
        self._first_call_at, self._calls, self._was_refused = None, 0, False

    def watch_lost(self, now: float) -> None:
        """Shortens the lease: the watch has ended or a list is partly received, so changes may be missed."""
        self._expires_at = min(self._expires_at, now + self._unwatched_s)

    def agent_changed(self, now: float) -> None:
        """Shortens the lease after the configuration has named another agent."""
        self._expires_at = min(self._expires_at, now + AGENT_CHANGE_TIMEOUT_S + self._allowance_s)
