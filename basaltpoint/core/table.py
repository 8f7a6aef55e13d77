"""The request table: every admitted request, its attempts, its deadline and its one final reply.

A state machine without I/O: callers pass in events and the current time (milliseconds) and carry out the
returned effects in order. It reads no clock and sets no timer; `next_tick_ms` says when `tick` is due. The
decision module makes every decision; whatever it decides, the table enforces these invariants:

- a request gets exactly one `Reply`, at its client's deadline at the latest;
- no attempt starts while another is active, after the reply, past the deadline or beyond `max_attempts`;
- the end of each started attempt is reported to the decision module exactly once, also after the reply;
- a response whose forwarding has started ends complete or visibly truncated, never as another response.
"""

from __future__ import annotations

import heapq
import math
import traceback
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Protocol

from basaltpoint import interface as api
from basaltpoint.interface import Status
from basaltpoint.telemetry.figures import Counts, Figures

LATE_TICK_DELAY_MS = 2.0  # how much later a reply may come when the event loop was blocked
FINAL_DEADLINE_GRACE_MS = 20.0  # lets the decision module reply itself to what is due at the final deadline
MAX_SUPERSEDED_SENDS = 100  # superseded sends reported to the decision module in one processing run
TIMER_COMPACTION_SIZE = 256  # from this heap size on, the heap is rebuilt once most entries are obsolete


class RequestResult(Enum):
    """How a request ended for its client."""

    SERVED = "served"
    REFUSED = "refused"  # the client may safely retry
    FAILED = "failed"  # the request may have been executed
    CUT = "cut"  # the response had started and could not be completed
    OVERDUE = "overdue"  # the decision module did not decide before the deadline
    FAULT = "fault"  # the decision module raised an exception on the request
    BUSY = "busy"  # not admitted: too many requests are open
    DUPLICATE = "twin"  # not admitted: a request with the same key is open


class NewRequest(NamedTuple):
    """A request that a front submits.

    `client_wait_ms`: how long the client waits from now on. `key`: unique among the open requests unless
    empty. `limiter_count`: limiters that share the customer's ceiling.
    """

    class_number: int
    plan: int
    customer: int
    units: float
    limiter_count: int
    client_wait_ms: float
    reply_margin_ms: float = 0.0  # how long before the client's deadline the decision module's lies
    pool: int = 0
    key: bytes = b""


class StartAttempt(NamedTuple):
    """Start an attempt. The caller must report its end to `RequestTable.attempt_ended`.

    `end_by_ms`: when the attempt times out. `write_by_ms`: when it times out if its last byte has not been
    written by then.
    """

    request: int
    attempt: int
    server: int
    end_by_ms: float
    write_by_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt. Its end, cancelled or not, must still be reported to `attempt_ended`."""

    request: int
    attempt: int


class ShortenAttempt(NamedTuple):
    """Let the active attempt time out at `end_by_ms` at the latest, whatever limit it was started with."""

    request: int
    end_by_ms: float


@dataclass(frozen=True, slots=True)
class StartResponse:
    """Forward the received response head to the client; the body is streamed after it."""

    request: int


class Reply(NamedTuple):
    """The one final reply to a request; `payload` is the payload of the attempt that determined it."""

    request: int
    result: RequestResult
    retry_in_ms: float = 0.0
    reason: api.RefusalReason | None = None
    payload: object = None


@dataclass(frozen=True, slots=True)
class Fault:
    """An invariant was violated, by the decision module or this program; `text` describes it for the log."""

    text: str


Effect = (
    StartAttempt
    | CancelAttempt
    | ShortenAttempt
    | StartResponse
    | Reply
    | Fault
    | api.Probe
    | api.CloseIdle
    | api.Log
)


class EventHandler(Protocol):
    """The decision module, as far as the table needs it."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]: ...


@dataclass(slots=True)
class OpenRequest:
    """One request; removed once it has been replied to and no attempt is active."""

    key: bytes
    counts: Counts
    deadline_ms: float  # the decision module's deadline, not the client's
    attempts_sent: int = 0
    active_attempt: int | None = None
    attempt_server: int = 0  # server number of the last attempt
    sent_ms: float = 0.0  # start of the last attempt, or the end of its upload
    attempt_end_by_ms: float = 0.0  # when the last attempt times out
    response_started_ms: float = 0.0  # when forwarding the response started; 0: not yet
    is_open: bool = True  # not replied to, and the client is connected
    client_wait_ms: float = 0.0
    body_consumed: bool = False  # part of the body was streamed and not kept: no further attempt is possible
    is_uploading: bool = False  # the body is still being streamed: the deadline is suspended
    deadline_postponed: bool = False  # the deadline passed; the due end of an attempt is handled first

    def describe(self, now: float) -> str:
        """The state of the request, for the log; times are in ms relative to `now`."""
        active = (
            f"attempt {self.active_attempt} active since {self.sent_ms - now:.1f}, "
            f"until {self.attempt_end_by_ms - now:.1f}"
        )
        return (
            f"{self.attempts_sent} attempts, {'none active' if self.active_attempt is None else active}, "
            f"client waits {self.client_wait_ms:.1f}, "
            f"due {self.deadline_ms - now:.1f}{', body consumed' if self.body_consumed else ''}"
            f"{', postponed' if self.deadline_postponed else ''}"
        )


def _count_reply(counts: Counts, reply: Reply) -> Reply:
    if reply.result is RequestResult.SERVED:
        counts.answered += 1
    elif reply.result in (RequestResult.REFUSED, RequestResult.BUSY):
        counts.deferred += 1
    else:
        counts.errored += 1
    return reply


class RequestTable:
    """All requests that are open or have an active attempt. Times are in ms."""

    def __init__(self, handler: EventHandler, max_attempts: int, max_open: int, figures: Figures) -> None:
        """`figures`: counts each final reply, by the request's class."""
        self.handler = handler
        self.figures = figures
        self.max_attempts = max_attempts
        self.max_open = max_open
        self.requests: dict[int, OpenRequest] = {}
        self.open_keys: set[bytes] = set()  # of requests that are open or have an active attempt
        self.open_count = 0
        self.final_deadline_ms = math.inf  # no request is replied to later; see `shorten_deadlines`
        self._last_request = 0
        self._superseded_sends = 0  # in the current processing run
        self._timers: list[tuple[float, int, int]] = []  # heap of (time, request or 0, timer token)
        self._events: deque[api.Event] = deque()
        self._effects: list[Effect] = []

    # --- Events -------------------------------------------------------------------------------
    def admit(
        self, now: float, request: NewRequest, is_open_elsewhere: bool = False
    ) -> tuple[int, list[Effect]]:
        """Admits a request, which then gets one reply before its client's deadline; returns its number.

        It replies at once if too many requests are open, if one with the same key is open or has an active
        attempt, here or in another process of this limiter (`is_open_elsewhere`), or if the final deadline
        has passed.
        """
        self._last_request += 1
        class_number, plan, customer, units, limiter_count, client_wait_ms, reply_margin_ms, pool, key = (
            request
        )
        ident, counts = self._last_request, self.figures.counts_of(class_number)
        if self.open_count >= self.max_open or now >= self.final_deadline_ms:
            return ident, [_count_reply(counts, Reply(ident, RequestResult.BUSY))]
        if key and (is_open_elsewhere or key in self.open_keys):
            # If it were forwarded, a server could not tell it from a repeated attempt of the open request.
            return ident, [_count_reply(counts, Reply(ident, RequestResult.DUPLICATE))]
        deadline = now + max(client_wait_ms - reply_margin_ms, client_wait_ms / 2)
        self.requests[ident] = OpenRequest(
            key, counts, min(deadline, self.final_deadline_ms), client_wait_ms=client_wait_ms
        )
        if key:
            self.open_keys.add(key)
        self.open_count += 1
        self._schedule(now + client_wait_ms, ident, 0)
        self._events.append(
            api.Arrival(ident, class_number, plan, customer, units, limiter_count, deadline, pool)
        )
        return ident, self._process(now)

    def client_disconnected(self, now: float, ident: int) -> list[Effect]:
        """The client has disconnected: the request needs no reply any more."""
        if (entry := self.requests.get(ident)) and entry.is_open:
            self._close(ident, entry)
            if entry.response_started_ms and entry.active_attempt is not None:
                self._effects.append(CancelAttempt(ident, entry.active_attempt))
            self._events.append(api.Abandoned(ident))
        return self._process(now)

    def response_started(self, now: float, ident: int, attempt: int) -> list[Effect]:
        """The head of an attempt's successful response was received, and the response is to be streamed.

        If the effects hold no `StartResponse`, the request is closed and the caller must cancel the attempt.
        """
        entry = self.requests.get(ident)
        if entry is None or not entry.is_open or entry.active_attempt != attempt:
            return []
        entry.response_started_ms = now
        self._effects.append(StartResponse(ident))
        self._events.append(api.StreamBegun(ident, attempt, entry.attempt_server))
        return self._process(now)

    def attempt_ended(
        self,
        now: float,
        ident: int,
        attempt: int,
        status: Status,
        *,
        usage: int | None = None,
        report: tuple[float, ...] = (),
        units: float = 0.0,
        payload: object = None,
        is_final: bool = False,
    ) -> list[Effect]:
        """An attempt has ended. The first successful one is the reply; the decision module receives each.

        `usage`: the customer's metered use in percent, if the server reported it. `report`: the load report
        of the server. `units`: the request's true cost as reported by the server; 0: the estimate stands.
        `is_final`: the response is complete and goes to the client although the attempt counts as failed.
        """
        entry = self.requests.get(ident)
        if entry is None or entry.active_attempt != attempt:
            return []
        entry.active_attempt = None
        # The duration of a stream depends on its client; the time to the head shows the server's latency.
        elapsed_ms = (entry.response_started_ms or now) - entry.sent_ms
        if entry.is_open and status is Status.OK:
            self._reply(ident, entry, Reply(ident, RequestResult.SERVED, payload=payload))
        elif entry.is_open and is_final:
            self._reply(ident, entry, Reply(ident, RequestResult.FAILED, payload=payload))
        elif entry.is_open and entry.response_started_ms:
            self._reply(ident, entry, Reply(ident, RequestResult.CUT))
        is_closed = not entry.is_open
        self._remove_if_finished(ident, entry)
        self._events.append(
            api.Outcome(
                ident, attempt, entry.attempt_server, status, elapsed_ms, is_closed, usage, units, report
            )
        )
        return self._process(now)

    def upload_started(self, now: float, ident: int) -> list[Effect]:
        """Streaming the request's body has started: no retry is possible, and the deadline is suspended."""
        if (entry := self.requests.get(ident)) and entry.active_attempt is not None:
            entry.body_consumed = entry.is_uploading = True
            self._events.append(api.UploadInProgress(ident, entry.active_attempt))
        return self._process(now)

    def upload_finished(self, now: float, ident: int, remaining_ms: float) -> None:
        """The body was sent completely. The attempt's latency and the deadline count from now on.

        `remaining_ms`: how long the client still waits.
        """
        if (entry := self.requests.get(ident)) and entry.is_uploading:
            entry.is_uploading, entry.sent_ms = False, now
            entry.deadline_ms = min(now + remaining_ms, self.final_deadline_ms)
            self._schedule(now + remaining_ms, ident, 0)

    def shorten_deadlines(self, now: float, final_deadline_ms: float) -> list[Effect]:
        """Bounds all deadlines, those of requests still being uploaded included, because the process ends.

        The decision module keeps its own deadlines; attempts that it would start later are superseded.
        Responses that are being streamed are not affected.
        """
        self.final_deadline_ms = final_deadline_ms
        for ident, entry in self.requests.items():
            if (
                entry.is_open
                and not entry.response_started_ms
                and (entry.is_uploading or entry.deadline_ms > final_deadline_ms)
            ):
                entry.is_uploading, entry.deadline_ms = False, final_deadline_ms
                self._schedule(math.inf, ident, 0)
                if entry.active_attempt is not None:
                    self._effects.append(ShortenAttempt(ident, final_deadline_ms))
        return self._process(now)

    def handle_event(self, now: float, event: api.Event) -> list[Effect]:
        """Passes an event that the table itself does not use to the decision module.

        Examples are server lists, probe results and new settings.
        """
        self._events.append(event)
        return self._process(now)

    # --- Time ---------------------------------------------------------------------------------
    @property
    def next_tick_ms(self) -> float | None:
        """When `tick` is due; None if no timer is pending."""
        while self._timers:
            when_ms, ident, _ = self._timers[0]
            if not ident or ((entry := self.requests.get(ident)) and self._deadline_applies(entry, when_ms)):
                return when_ms
            heapq.heappop(self._timers)
        return None

    def _deadline_applies(self, entry: OpenRequest, deadline_ms: float) -> bool:
        """Whether the timer that was set for this time is still the request's deadline."""
        was_moved = entry.body_consumed and deadline_ms < entry.deadline_ms
        return entry.is_open and not entry.response_started_ms and not entry.is_uploading and not was_moved

    def tick(self, now: float) -> list[Effect]:
        """Fires the decision module's due timers and replies to requests whose deadline has passed."""
        while (when_ms := self.next_tick_ms) is not None and when_ms <= now:
            _, ident, token = heapq.heappop(self._timers)
            if not ident:
                self._events.append(api.TimerFired(token))
                continue
            self._deliver_events(now)  # timers that were due before this deadline may reply to the request
            if (entry := self.requests.get(ident)) and self._deadline_applies(entry, when_ms):
                self._deadline_passed(now, ident, late=now > when_ms)
        return self._process(now)

    def _deadline_passed(self, now: float, ident: int, late: bool) -> None:
        """Replies to a request whose deadline passed without a decision.

        If `tick` is late because the event loop was blocked, the active attempt may have timed out in the
        same turn. The decision module decides what that means, so the deadline is postponed once to report it
        first.
        """
        entry = self.requests[ident]
        if (
            late
            and entry.active_attempt is not None
            and entry.attempt_end_by_ms < now
            and not entry.deadline_postponed
        ):
            entry.deadline_postponed = True
            self._schedule(now + LATE_TICK_DELAY_MS, ident, 0)
            return
        text = f"request {ident} had no answer at its deadline; {entry.describe(now)}"
        self._effects.append(Fault(text))
        self._reply_without_handler(ident, RequestResult.OVERDUE)

    def _schedule(self, when_ms: float, ident: int, token: int) -> None:
        if ident:
            when_ms = min(when_ms, self.final_deadline_ms + FINAL_DEADLINE_GRACE_MS)
        heapq.heappush(self._timers, (when_ms, ident, token))
        if (
            len(self._timers) > TIMER_COMPACTION_SIZE
            and len(self._timers) > 2 * self.open_count + TIMER_COMPACTION_SIZE
        ):
            self._timers = [t for t in self._timers if not t[1] or t[1] in self.requests]
            heapq.heapify(self._timers)

    # --- Actions of the decision module -------------------------------------------------------
    def _process(self, now: float) -> list[Effect]:
        """Delivers all pending events to the decision module and returns the effects."""
        self._deliver_events(now)
        effects, self._effects = self._effects, []
        return effects

    def _deliver_events(self, now: float) -> None:
        self._superseded_sends = 0
        while self._events:
            event = self._events.popleft()
            try:
                actions = self.handler.handle(now, event)
            except Exception:
                # An exception on one request must not affect the others; only its own client gets an error.
                self._effects.append(Fault(f"the module failed on {event!r}: {traceback.format_exc()}"))
                self._reply_without_handler(getattr(event, "request", 0), RequestResult.FAULT)
                continue
            for action in actions:
                self._apply(now, action)

    def _apply(self, now: float, action: api.Action) -> None:
        match action:
            case api.Send():
                self._start_attempt(now, action)
            case api.Refuse():
                self._reply_unless_started(
                    action.request, RequestResult.REFUSED, action.retry_in_ms, action.reason
                )
            case api.Fail():
                self._reply_unless_started(action.request, RequestResult.FAILED)
            case api.Cancel():
                entry = self.requests.get(action.request)
                if (
                    entry
                    and entry.active_attempt == action.attempt
                    and not (entry.is_open and entry.response_started_ms)
                ):
                    self._effects.append(CancelAttempt(action.request, action.attempt))
            case api.SetTimer():
                self._schedule(now + action.delay_ms, 0, action.token)
            case api.Probe() | api.CloseIdle() | api.Log():
                self._effects.append(action)
            case api.Subscribe() | api.FetchList():
                pass  # the subscription to discovery is always active
            case _:
                self._effects.append(Fault(f"unknown action of the module: {action!r}"))

    def _start_attempt(self, now: float, action: api.Send) -> None:
        ident = action.request
        entry = self.requests.get(ident)
        number = entry.attempts_sent if entry else 0
        end_by_ms = min(action.until_ms or entry.deadline_ms, entry.deadline_ms) if entry else 0.0
        can_send = (
            entry is not None
            and entry.is_open
            and entry.active_attempt is None
            and not (entry.response_started_ms or entry.body_consumed)
        )
        if entry is None or not can_send or now >= end_by_ms or number >= self.max_attempts:
            is_closed = entry is None or not entry.is_open
            self._report_superseded(api.Outcome(ident, number, action.server, Status.MOOT, 0.0, is_closed))
            return
        entry.attempts_sent += 1
        entry.active_attempt, entry.attempt_server, entry.sent_ms, entry.attempt_end_by_ms = (
            number,
            action.server,
            now,
            end_by_ms,
        )
        self._effects.append(
            StartAttempt(ident, number, action.server, end_by_ms, action.fully_written_by_ms)
        )

    def _report_superseded(self, outcome: api.Outcome) -> None:
        """Reports a superseded send to the decision module.

        The number is limited: a decision module that reacts to each one with another send must not block the
        process.
        """
        self._superseded_sends += 1
        if self._superseded_sends <= MAX_SUPERSEDED_SENDS:
            self._events.append(outcome)
        elif self._superseded_sends == MAX_SUPERSEDED_SENDS + 1:
            self._effects.append(Fault(f"the module keeps sending attempts that can't be sent: {outcome!r}"))

    def _reply_unless_started(
        self,
        ident: int,
        result: RequestResult,
        retry_ms: float = 0.0,
        reason: api.RefusalReason | None = None,
    ) -> None:
        entry = self.requests.get(ident)
        if entry and entry.is_open and not entry.response_started_ms:
            self._reply(ident, entry, Reply(ident, result, retry_ms, reason))

    def _reply_without_handler(self, ident: int, result: RequestResult) -> None:
        """Replies without the decision module, which is notified that the request was abandoned."""
        entry = self.requests.get(ident)
        if entry and entry.is_open:
            self._reply(
                ident, entry, Reply(ident, RequestResult.CUT if entry.response_started_ms else result)
            )
            if entry.response_started_ms and entry.active_attempt is not None:
                self._effects.append(CancelAttempt(ident, entry.active_attempt))
            self._events.append(api.Abandoned(ident))

    def _reply(self, ident: int, entry: OpenRequest, reply: Reply) -> None:
        self._close(ident, entry)
        self._effects.append(_count_reply(entry.counts, reply))

    def _close(self, ident: int, entry: OpenRequest) -> None:
        entry.is_open = False
        self.open_count -= 1
        self._remove_if_finished(ident, entry)

    def _remove_if_finished(self, ident: int, entry: OpenRequest) -> None:
        if entry.is_open or entry.active_attempt is not None:
            return  # an attempt that is out could be executed beside another one
        if self.requests.pop(ident, None) is not None:
            self.open_keys.discard(entry.key)
