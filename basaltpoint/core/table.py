"""The request table: every request that was taken, its attempts, its deadline and its one final answer.

A machine without I/O: what happened and the time go in, effects come out, to be carried out in their order.
It reads no clock and sets no timer; `next_ms` says when `tick` is due. Every decision is the module's; the
table holds it to what must hold whatever the module says:

- a request gets exactly one `Reply`, at its client's deadline at the latest;
- no attempt goes out while another is out, after the reply, past the deadline or beyond `max_attempts`;
- each attempt that went out is told the module as ended exactly once, also after the reply;
- an answer that has begun to be passed on ends whole or visibly cut, never in another answer.
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

POSTPONED_MS = 2.0  # by which an answer may come later where the loop was held up
GRACE_MS = 20.0  # for what is due at the end of all time to be answered by the module itself
MOOTS = 100  # sends that can't be made, told at a time
COMPACT = 256  # entries of the timer heap; from here on it is rebuilt once most of them are over


class RequestResult(Enum):
    """How a request ended for its client."""

    SERVED = "served"
    REFUSED = "refused"  # a retry is harmless
    FAILED = "failed"  # promises nothing
    CUT = "cut"  # the answer had begun and could not be finished
    OVERDUE = "overdue"  # the module was silent up to the deadline
    FAULT = "fault"  # the module broke down on it
    BUSY = "busy"  # not taken: too many are open
    DUPLICATE = "twin"  # not taken: one of this name is open


class NewRequest(NamedTuple):
    """What a front knows of a request: `wait_ms` counts from now, `name` is unique among the open ones."""

    cls: int
    plan: int
    customer: int
    units: float
    doors: int
    client_wait_ms: float
    reply_margin_ms: float = 0.0  # the module's deadline lies so much before the client's
    pool: int = 0
    key: bytes = b""


class StartAttempt(NamedTuple):
    """Begin an attempt, to be given up at `until_ms`; its end is owed to `Table.ended`.

    At `whole_ms` it is given up, too, unless its last byte has gone by then.
    """

    request: int
    attempt: int
    server: int
    end_by_ms: float
    write_by_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Give an attempt up; its end, cancelled or another, is still owed to `Table.ended`."""

    request: int
    attempt: int


class ShortenAttempt(NamedTuple):
    """Give the attempt that is out up at `until_ms` at the latest, whatever it was begun with."""

    request: int
    end_by_ms: float


@dataclass(frozen=True, slots=True)
class StartResponse:
    """Pass on the head of the answer that has come; what follows it streams."""

    request: int


class Reply(NamedTuple):
    """The one final answer; `payload` is what came with the attempt that served it."""

    request: int
    result: RequestResult
    retry_in_ms: float = 0.0
    reason: api.RefusalReason | None = None
    payload: object = None


@dataclass(frozen=True, slots=True)
class Fault:
    """What must never happen did; the text is for whoever mends it."""

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
    """The decision module, as the table needs it."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]: ...


@dataclass(slots=True)
class OpenRequest:
    """One request; gone once it is answered and nothing is out."""

    key: bytes
    counts: Counts
    deadline_ms: float  # the module's
    attempts_sent: int = 0  # that went out
    active_attempt: int | None = None  # the attempt that is out
    attempt_server: int = 0  # and where
    sent_ms: float = 0.0
    attempt_end_by_ms: float = 0.0  # when that attempt ends by itself
    response_started_ms: float = 0.0  # when its answer began to be passed on; 0: not yet
    is_open: bool = True
    client_wait_ms: float = 0.0
    body_consumed: bool = False  # part of its body is gone: no attempt can follow
    is_uploading: bool = False  # its body is on its way still: no deadline counts
    deadline_postponed: bool = False  # its deadline came while an attempt was out, whose end is heard first

    def describe(self, now: float) -> str:
        """What stands, for the log; times are ms from now on."""
        out = (
            f"attempt {self.active_attempt} out since {self.sent_ms - now:.1f}, "
            f"until {self.attempt_end_by_ms - now:.1f}"
        )
        return (
            f"{self.attempts_sent} attempts, {'none out' if self.active_attempt is None else out}, "
            f"waits {self.client_wait_ms:.1f}, "
            f"due {self.deadline_ms - now:.1f}{', spent' if self.body_consumed else ''}"
            f"{', postponed' if self.deadline_postponed else ''}"
        )


def _counted(counts: Counts, reply: Reply) -> Reply:
    if reply.result is RequestResult.SERVED:
        counts.answered += 1
    elif reply.result in (RequestResult.REFUSED, RequestResult.BUSY):
        counts.deferred += 1
    else:
        counts.errored += 1
    return reply


class RequestTable:
    """All requests in hand."""

    def __init__(self, module: EventHandler, max_attempts: int, max_open: int, figures: Figures) -> None:
        """`figures`: where each final answer is counted, by the request's class."""
        self.module = module
        self.figures = figures
        self.max_attempts = max_attempts
        self.max_open = max_open
        self.requests: dict[int, OpenRequest] = {}
        self.open_keys: set[bytes] = set()  # of the open requests
        self.open_count = 0
        self.final_deadline_ms = math.inf  # nothing is answered later; see `shorten_deadlines`
        self._count = 0
        self._moots = 0  # sends that could not be made, in this run
        self._timers: list[tuple[float, int, int]] = []  # when, request (0: the module's), token
        self._events: deque[api.Event] = deque()
        self._effects: list[Effect] = []

    # --- What happens -------------------------------------------------------------------------
    def admit(self, now: float, ticket: NewRequest) -> tuple[int, list[Effect]]:
        """Take a request on; from here it gets one reply, before its client gives up."""
        self._count += 1
        cls, plan, customer, units, doors, wait_ms, early_ms, pool, name = ticket
        ident, counts = self._count, self.figures.counts_of(cls)
        if self.open_count >= self.max_open or now >= self.final_deadline_ms:
            return ident, [_counted(counts, Reply(ident, RequestResult.BUSY))]
        if name and name in self.open_keys:
            # Sent on, a server would see it as a second copy of the one that is open.
            return ident, [_counted(counts, Reply(ident, RequestResult.DUPLICATE))]
        deadline = now + max(wait_ms - early_ms, wait_ms / 2)
        self.requests[ident] = OpenRequest(
            name, counts, min(deadline, self.final_deadline_ms), client_wait_ms=wait_ms
        )
        if name:
            self.open_keys.add(name)
        self.open_count += 1
        self._plan(now + wait_ms, ident, 0)
        self._events.append(api.Arrival(ident, cls, plan, customer, units, doors, deadline, pool))
        return ident, self._run(now)

    def client_disconnected(self, now: float, ident: int) -> list[Effect]:
        """The client has hung up: nobody waits for an answer any more."""
        if (entry := self.requests.get(ident)) and entry.is_open:
            self._close(ident, entry)
            if entry.response_started_ms and entry.active_attempt is not None:
                self._effects.append(CancelAttempt(ident, entry.active_attempt))
            self._events.append(api.Abandoned(ident))
        return self._run(now)

    def response_started(self, now: float, ident: int, attempt: int) -> list[Effect]:
        """The head of an attempt's good answer has come, and the answer is to be streamed.

        With no `Begin` among the effects nobody waits for it any more, and the attempt is to be given up.
        """
        entry = self.requests.get(ident)
        if entry is None or not entry.is_open or entry.active_attempt != attempt:
            return []
        entry.response_started_ms = now
        self._effects.append(StartResponse(ident))
        self._events.append(api.StreamBegun(ident, attempt, entry.attempt_server))
        return self._run(now)

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
        final: bool = False,
    ) -> list[Effect]:
        """An attempt's end: the first good one is the client's, and each is told the module.

        `units`: what the request truly took, where the answer tells; 0: its guess stands.
        `final`: what came is a whole answer and the client's, though the attempt counts as failed.
        """
        entry = self.requests.get(ident)
        if entry is None or entry.active_attempt != attempt:
            return []
        entry.active_attempt = None
        # A stream takes the time its client does; what the server took shows in the head.
        elapsed = (entry.response_started_ms or now) - entry.sent_ms
        if entry.is_open and status is Status.OK:
            self._reply(ident, entry, Reply(ident, RequestResult.SERVED, payload=payload))
        elif entry.is_open and final:
            self._reply(ident, entry, Reply(ident, RequestResult.FAILED, payload=payload))
        elif entry.is_open and entry.response_started_ms:
            self._reply(ident, entry, Reply(ident, RequestResult.CUT))
        closed = not entry.is_open
        self._forget(ident, entry)
        self._events.append(
            api.Outcome(ident, attempt, entry.attempt_server, status, elapsed, closed, usage, units, report)
        )
        return self._run(now)

    def upload_started(self, now: float, ident: int) -> list[Effect]:
        """The request's body is being streamed: no attempt can follow this one, and the deadline rests."""
        if (entry := self.requests.get(ident)) and entry.active_attempt is not None:
            entry.body_consumed = entry.is_uploading = True
            self._events.append(api.UploadInProgress(ident, entry.active_attempt))
        return self._run(now)

    def upload_finished(self, now: float, ident: int, left_ms: float) -> None:
        """The body is whole at the server, whose time counts from now on; `left_ms`: of its client's wait."""
        if (entry := self.requests.get(ident)) and entry.is_uploading:
            entry.is_uploading, entry.sent_ms = False, now
            entry.deadline_ms = min(now + left_ms, self.final_deadline_ms)
            self._plan(now + left_ms, ident, 0)

    def shorten_deadlines(self, now: float, latest_ms: float) -> list[Effect]:
        """From here on every request is answered by then, one whose body still comes too: the process ends.

        The module goes on deciding by its own times; what it would begin beyond this can't be sent. An answer
        that is being passed on is neither cut nor changed here.
        """
        self.final_deadline_ms = latest_ms
        for ident, entry in self.requests.items():
            if (
                entry.is_open
                and not entry.response_started_ms
                and (entry.is_uploading or entry.deadline_ms > latest_ms)
            ):
                entry.is_uploading, entry.deadline_ms = False, latest_ms
                self._plan(math.inf, ident, 0)
                if entry.active_attempt is not None:
                    self._effects.append(ShortenAttempt(ident, latest_ms))
        return self._run(now)

    def handle_event(self, now: float, event: api.Event) -> list[Effect]:
        """Hand on what is the module's alone: lists, probes' results, new settings."""
        self._events.append(event)
        return self._run(now)

    # --- Time ---------------------------------------------------------------------------------
    @property
    def next_tick_ms(self) -> float | None:
        """When `tick` is due; None while nothing waits."""
        while self._timers:
            when, ident, _ = self._timers[0]
            if not ident or ((entry := self.requests.get(ident)) and self._waits(entry, when)):
                return when
            heapq.heappop(self._timers)
        return None

    def _waits(self, entry: OpenRequest, when: float) -> bool:
        """Whether the deadline that was set for this time still holds."""
        moved = entry.body_consumed and when < entry.deadline_ms
        return entry.is_open and not entry.response_started_ms and not entry.is_uploading and not moved

    def tick(self, now: float) -> list[Effect]:
        """What is due by now: the module's timers, and replies to requests that it left unanswered."""
        while (when := self.next_tick_ms) is not None and when <= now:
            _, ident, token = heapq.heappop(self._timers)
            if not ident:
                self._events.append(api.TimerFired(token))
                continue
            self._hear(now)  # what was due before this deadline may answer the request
            if (entry := self.requests.get(ident)) and self._waits(entry, when):
                self._overdue(now, ident, late=now > when)
        return self._run(now)

    def _overdue(self, now: float, ident: int, late: bool) -> None:
        """A deadline has come without an answer. Where a call comes late, an attempt that is out has its own
        end due in the same turn, and what that means is the module's to say: it is heard first."""
        entry = self.requests[ident]
        if (
            late
            and entry.active_attempt is not None
            and entry.attempt_end_by_ms < now
            and not entry.deadline_postponed
        ):
            entry.deadline_postponed = True
            self._plan(now + POSTPONED_MS, ident, 0)
            return
        text = f"request {ident} had no answer at its deadline; {entry.describe(now)}"
        self._effects.append(Fault(text))
        self._give_up(ident, RequestResult.OVERDUE)

    def _plan(self, when: float, ident: int, token: int) -> None:
        if ident:
            when = min(when, self.final_deadline_ms + GRACE_MS)
        heapq.heappush(self._timers, (when, ident, token))
        if len(self._timers) > COMPACT and len(self._timers) > 2 * self.open_count + COMPACT:
            self._timers = [t for t in self._timers if not t[1] or t[1] in self.requests]
            heapq.heapify(self._timers)

    # --- The module's actions -----------------------------------------------------------------
    def _run(self, now: float) -> list[Effect]:
        """Have the module hear all that has happened; the effects."""
        self._hear(now)
        effects, self._effects = self._effects, []
        return effects

    def _hear(self, now: float) -> None:
        self._moots = 0
        while self._events:
            event = self._events.popleft()
            try:
                actions = self.module.handle(now, event)
            except Exception:
                # A fault in one request must not end the others; its own client is told of a failure.
                self._effects.append(Fault(f"the module failed on {event!r}: {traceback.format_exc()}"))
                self._give_up(getattr(event, "request", 0), RequestResult.FAULT)
                continue
            for action in actions:
                self._act(now, action)

    def _act(self, now: float, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(now, action)
            case api.Refuse():
                self._answer(action.request, RequestResult.REFUSED, action.retry_in_ms, action.reason)
            case api.Fail():
                self._answer(action.request, RequestResult.FAILED)
            case api.Cancel():
                entry = self.requests.get(action.request)
                if (
                    entry
                    and entry.active_attempt == action.attempt
                    and not (entry.is_open and entry.response_started_ms)
                ):
                    self._effects.append(CancelAttempt(action.request, action.attempt))
            case api.SetTimer():
                self._plan(now + action.delay_ms, 0, action.token)
            case api.Probe() | api.CloseIdle() | api.Log():
                self._effects.append(action)
            case api.Subscribe() | api.FetchList():
                pass  # the watch is always on
            case _:
                self._effects.append(Fault(f"an action that the table does not know: {action!r}"))

    def _send(self, now: float, action: api.Send) -> None:
        ident = action.request
        entry = self.requests.get(ident)
        number = entry.attempts_sent if entry else 0
        until = min(action.until_ms or entry.deadline_ms, entry.deadline_ms) if entry else 0.0
        fit = (
            entry is not None
            and entry.is_open
            and entry.active_attempt is None
            and not (entry.response_started_ms or entry.body_consumed)
        )
        if entry is None or not fit or now >= until or number >= self.max_attempts:
            gone = entry is None or not entry.is_open
            self._moot(api.Outcome(ident, number, action.server, Status.MOOT, 0.0, gone))
            return
        entry.attempts_sent += 1
        entry.active_attempt, entry.attempt_server, entry.sent_ms, entry.attempt_end_by_ms = (
            number,
            action.server,
            now,
            until,
        )
        self._effects.append(StartAttempt(ident, number, action.server, until, action.fully_written_by_ms))

    def _moot(self, outcome: api.Outcome) -> None:
        """Tell of a send that can't be made; a module that answers each with another must not hang all."""
        self._moots += 1
        if self._moots <= MOOTS:
            self._events.append(outcome)
        elif self._moots == MOOTS + 1:
            self._effects.append(Fault(f"the module sends what can't be sent, again and again: {outcome!r}"))

    def _answer(
        self, ident: int, ending: RequestResult, retry_ms: float = 0.0, why: api.RefusalReason | None = None
    ) -> None:
        entry = self.requests.get(ident)
        if entry and entry.is_open and not entry.response_started_ms:
            self._reply(ident, entry, Reply(ident, ending, retry_ms, why))

    def _give_up(self, ident: int, ending: RequestResult) -> None:
        """Answer in the module's place; what it still holds of the request is over."""
        entry = self.requests.get(ident)
        if entry and entry.is_open:
            self._reply(
                ident, entry, Reply(ident, RequestResult.CUT if entry.response_started_ms else ending)
            )
            if entry.response_started_ms and entry.active_attempt is not None:
                self._effects.append(CancelAttempt(ident, entry.active_attempt))
            self._events.append(api.Abandoned(ident))

    def _reply(self, ident: int, entry: OpenRequest, reply: Reply) -> None:
        self._close(ident, entry)
        self._effects.append(_counted(entry.counts, reply))

    def _close(self, ident: int, entry: OpenRequest) -> None:
        entry.is_open = False
        self.open_count -= 1
        self.open_keys.discard(entry.key)
        self._forget(ident, entry)

    def _forget(self, ident: int, entry: OpenRequest) -> None:
        if not entry.is_open and entry.active_attempt is None:
            self.requests.pop(ident, None)
