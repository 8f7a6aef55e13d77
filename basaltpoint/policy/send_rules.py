"""The one place that says whether something may be sent, repeated, or closed as refused now.

Pure functions of the time and the facts. They are called twice: when an attempt is decided
(`DecisionModule._send`), and again right before its first byte is written (`upstream.send_guard`), because
a connection may take its time to come up and the facts may have changed meanwhile. Each denial names the
rule that it keeps.
"""

from __future__ import annotations

from enum import Enum

from basaltpoint import interface as api
from basaltpoint.interface import DedupScope, Effect
from basaltpoint.policy.requests import Request
from basaltpoint.policy.server_set import ServerRecord
from basaltpoint.policy.thresholds import INF

# A process may be held up for so long between reading its clock and writing (STANDING); bounds allow for it.
MAX_STALL_S = 0.15
MIN_TIME_LEFT_RATIO = (
    0.5  # of the median latency; a further attempt with less time left is waste, and feeds a jam
)


class Denial(Enum):
    """Why nothing may be sent now."""

    MEMBERSHIP = "the list of servers is not confirmed"
    SERVER = "the server drains, has moved or is gone"
    CLIENT = "the client has gone"
    ANSWERED = "the request has its answer, or one is on its way"
    DEADLINE = "too little time is left"
    ATTEMPTS = "all attempts are used up"
    COPY = "another attempt is out"
    FULL = "the server has just said that it is full"
    UNSAFE = "it may have run and must not run twice"
    WINDOW = "the servers may have forgotten what it repeats"
    SCOPE = "another server would not know what it repeats"


def attempt_denial(
    now: float, request: Request, settings: api.Settings, lease_until_ms: float
) -> Denial | None:
    """What keeps any further attempt of a request from being decided now, whatever the server."""
    if not request.is_open or request.streaming:
        return Denial.ANSWERED
    if now >= lease_until_ms:
        return Denial.MEMBERSHIP
    if not request.attempts:
        return Denial.DEADLINE if now >= request.useful_until_ms else None
    if now >= request.useful_until_ms - MIN_TIME_LEFT_RATIO * request.pool.servers.median_latency_ms:
        return Denial.DEADLINE
    if len(request.attempts) >= settings.max_attempts:
        return Denial.ATTEMPTS
    if not settings.may_hedge and request.has_outstanding():
        return Denial.COPY
    return None


def retry_denial(now: float, request: Request, peer: ServerRecord) -> Denial | None:
    """What keeps a further attempt from going to this server; a first one repeats nothing."""
    if peer.health.avoid_ms > now:
        return Denial.FULL
    ran = [attempt.server for attempt in request.attempts if attempt.may_have_run]
    if not ran or request.request_class.effect is Effect.SAFE:
        return None
    if request.request_class.effect is Effect.UNSAFE:
        return Denial.UNSAFE
    if now > dedup_window_end_ms(request):
        return Denial.WINDOW
    scope = request.request_class.dedup_scope
    if scope is DedupScope.ALL:
        return None
    if scope is DedupScope.ZONE:
        known = all(server.zone == peer.entry.zone for server in ran)
    else:
        known = all(server.cell == peer.entry.cell for server in ran)
    return None if known else Denial.SCOPE


def may_retry_at(now: float, request: Request, peer: ServerRecord) -> bool:
    """Whether a further attempt may go to this server."""
    return retry_denial(now, request, peer) is None


def dedup_window_end_ms(request: Request) -> float:
    """Until when a keyed repeat may be written, ms; written later it would run twice."""
    if request.request_class.effect is not Effect.KEYED:
        return INF
    ran = next((attempt.decided_ms for attempt in request.attempts if attempt.may_have_run), INF)
    return ran + request.request_class.dedup_window_ms


def may_be_refused(now: float, request: Request) -> bool:
    """Whether a request may be closed as refused, which promises that a retry is harmless."""
    ran = any(attempt.may_have_run for attempt in request.attempts)
    if not ran:
        return True
    keyed_everywhere = (
        request.request_class.effect is Effect.KEYED and request.request_class.dedup_scope is DedupScope.ALL
    )
    return (request.request_class.effect is Effect.SAFE or keyed_everywhere) and now < request.useful_until_ms


def write_denial(
    now_s: float, server_ready: bool, lease_until_s: float, timeout_at_s: float, fully_written_by_s: float
) -> Denial | None:
    """What keeps a decided attempt from being written now; times are seconds of one monotonic clock.

    `until_s`: when the attempt is given up; `whole_by_s`: until when a server surely knows what it repeats.
    """
    if not server_ready:
        return Denial.SERVER
    if now_s >= lease_until_s:
        return Denial.MEMBERSHIP
    if now_s > fully_written_by_s:
        return Denial.WINDOW
    if now_s >= timeout_at_s:
        return Denial.DEADLINE
    return None
