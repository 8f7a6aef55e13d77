"""The rules on whether a request may be sent, retried or refused now; no other code decides that.

Pure functions of the time and the facts. They are called twice: when an attempt is decided
(`DecisionModule._start_attempt`), and again right before its first byte is written (`upstream.send_guard`),
because a connection may take time to open and the facts may have changed meanwhile. Each denial names the
rule that it enforces.
"""

from __future__ import annotations

from enum import Enum

from basaltpoint import interface as api
from basaltpoint.interface import DedupScope, Effect
from basaltpoint.policy.requests import Request
from basaltpoint.policy.server_set import ServerRecord
from basaltpoint.policy.thresholds import INF

# A process may stall for this long between reading its clock and writing (the platform's rules); bounds
# allow for it.
MAX_STALL_S = 0.15
# Of the median latency: a retry with less time left would be wasted work and would add to an overload.
MIN_TIME_LEFT_RATIO = 0.5


class Denial(Enum):
    """Why an attempt may not be started or written now."""

    MEMBERSHIP = "the list of servers is not confirmed"
    SERVER = "the server is draining, has moved or was removed"
    CLIENT = "the client has disconnected"
    ANSWERED = "the request has been answered, or its response has begun"
    DEADLINE = "too little time is left"
    ATTEMPTS = "all attempts are used up"
    COPY = "another attempt is outstanding"
    FULL = "the server has just rejected an attempt because it is full"
    UNSAFE = "the request may have been executed and must not be executed twice"
    WINDOW = "the deduplication window of the earlier attempt has ended"
    SCOPE = "the server does not share deduplication with the earlier attempt's server"


def attempt_denial(
    now: float, request: Request, settings: api.Settings, lease_until_ms: float
) -> Denial | None:
    """Returns why no attempt of a request may be started now at any server, or None."""
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


def retry_denial(now: float, request: Request, server: ServerRecord) -> Denial | None:
    """Returns why a retry may not go to this server, or None; first attempts need no check."""
    if server.health.avoid_ms > now:
        return Denial.FULL
    earlier_servers = [attempt.server for attempt in request.attempts if attempt.may_have_run]
    if not earlier_servers or request.request_class.effect is Effect.SAFE:
        return None
    if request.request_class.effect is Effect.UNSAFE:
        return Denial.UNSAFE
    if now > dedup_window_end_ms(request):
        return Denial.WINDOW
    dedup_scope = request.request_class.dedup_scope
    if dedup_scope is DedupScope.ALL:
        return None
    if dedup_scope is DedupScope.ZONE:
        is_deduplicated = all(earlier.zone == server.entry.zone for earlier in earlier_servers)
    else:
        is_deduplicated = all(earlier.cell == server.entry.cell for earlier in earlier_servers)
    return None if is_deduplicated else Denial.SCOPE


def may_retry_at(now: float, request: Request, server: ServerRecord) -> bool:
    """Whether a retry may go to this server."""
    return retry_denial(now, request, server) is None


def dedup_window_end_ms(request: Request) -> float:
    """Returns until when (ms) a keyed retry may be written; written later it could be executed twice."""
    if request.request_class.effect is not Effect.KEYED:
        return INF
    first_decided_ms = next((attempt.decided_ms for attempt in request.attempts if attempt.may_have_run), INF)
    return first_decided_ms + request.request_class.dedup_window_ms


def may_be_refused(now: float, request: Request) -> bool:
    """Whether a request may be refused, which promises that a client retry is harmless."""
    may_have_run = any(attempt.may_have_run for attempt in request.attempts)
    if not may_have_run:
        return True
    deduplicated_everywhere = (
        request.request_class.effect is Effect.KEYED and request.request_class.dedup_scope is DedupScope.ALL
    )
    return (
        request.request_class.effect is Effect.SAFE or deduplicated_everywhere
    ) and now < request.useful_until_ms


def write_denial(
    now_s: float, server_ready: bool, lease_until_s: float, timeout_at_s: float, fully_written_by_s: float
) -> Denial | None:
    """Returns why a decided attempt may not be written now, or None; times are monotonic seconds.

    `timeout_at_s`: when the attempt times out. `fully_written_by_s`: end of the window in which the server
    is certain to recognise the attempt as a repetition.
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
