"""State machine of one worker's run, without I/O: which attempts are due, how they ended, and when to retry.

The worker around it reads the clock and owns the connections; tests drive the same code with simulated time
and servers. All times are in seconds from the start of the run.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from basaltpoint.load.arrivals import PlannedRequest
from basaltpoint.load.health import HealthMonitor
from basaltpoint.load.scenario import Backoff, ClassTable, RetryTable


class Outcome(Enum):
    """Outcome of a request for its client, after its last attempt."""

    SERVED = "served"  # a 2xx response within the aim
    LATE = "late"  # a 2xx response after the aim
    REFUSED = "refused"  # 429 or 503
    FAILED = "failed"  # any other response, or a lost connection
    NONE = "none"  # no response before the timeout
    MISSED = "missed"  # never sent: no free connection, or too many requests in flight


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt of a request, to be sent now."""

    ident: int  # unique within this worker
    number: int  # 0 for the first attempt of a request; higher for client retries
    planned: PlannedRequest
    intended_s: float
    give_up_s: float


@dataclass(frozen=True, slots=True)
class AbandonAttempt:
    """The attempt has timed out: close its connection."""

    ident: int


@dataclass(slots=True)
class _Request:
    """A request of a client over all its attempts."""

    planned: PlannedRequest
    honours_retry_after: bool
    attempts: int = 0
    answers: int = 0
    began_s: float | None = None  # actual start of the first attempt
    may_have_run: bool = False  # an attempt may have been executed without a response


@dataclass(slots=True)
class _OpenAttempt:
    request: _Request
    number: int
    intended_s: float
    answers_before: int  # responses to earlier attempts of the request
    sent_s: float | None = None


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """A completed request."""

    planned: PlannedRequest
    outcome: Outcome
    ended_s: float
    latency_s: float  # from the intended start of the first attempt
    service_s: float  # from the actual start of the last attempt
    attempts: int
    answers: int
    is_sound: bool  # the generator itself caused no delay during the request


class Recorder(Protocol):
    """Receives the results of a run."""

    def record_request(self, record: RequestRecord) -> None: ...
    def record_send(self, lateness_s: float, is_sound: bool) -> None: ...
    def record_attempt(self, request: int, number: int, answers: int, hung_up: bool) -> None: ...
    def record_anomaly(self, ident: str, what: str) -> None: ...


class Driver:
    """Decides which attempts to send, abandon and retry, and records how requests end."""

    def __init__(
        self,
        requests: Iterator[PlannedRequest],
        classes: dict[str, ClassTable],
        retries: RetryTable,
        health: HealthMonitor,
        recorder: Recorder,
        seed: int,
        max_in_flight: int,
    ) -> None:
        self._requests = requests
        self._classes = classes
        self._retries = retries
        self._health = health
        self._recorder = recorder
        self._rng = random.Random(f"{seed} clients")
        self._max_in_flight = max_in_flight
        self._next_planned: PlannedRequest | None = next(requests, None)
        self._retry_queue: list[tuple[float, int, _Request]] = []
        self._deadlines: list[tuple[float, int]] = []
        self._open: dict[int, _OpenAttempt] = {}
        self._last_ident = 0
        self.started_requests = 0

    # --- Time ---------------------------------------------------------------------------------
    @property
    def next_s(self) -> float | None:
        """Time of the next tick; None if nothing is scheduled."""
        while self._deadlines and self._deadlines[0][1] not in self._open:
            heapq.heappop(self._deadlines)
        due = [self._next_planned.intended_s] if self._next_planned else []
        due += [self._retry_queue[0][0]] if self._retry_queue else []
        due += [self._deadlines[0][0]] if self._deadlines else []
        return min(due, default=None)

    @property
    def is_finished(self) -> bool:
        """Whether every request has completed."""
        return self._next_planned is None and not self._retry_queue and not self._open

    @property
    def in_flight(self) -> int:
        return len(self._open)

    def is_open(self, ident: int) -> bool:
        """Whether an attempt is still waiting for its response."""
        return ident in self._open

    def tick(self, now_s: float) -> list[Attempt | AbandonAttempt]:
        """Returns everything due by now. Nothing is skipped, however late it is."""
        self._health.record_turn(now_s)
        actions: list[Attempt | AbandonAttempt] = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, ident = heapq.heappop(self._deadlines)
            if ident in self._open:
                actions.append(AbandonAttempt(ident))
                self._end_attempt(now_s, ident, Outcome.NONE, may_have_run=True)
        while (self._next_planned and self._next_planned.intended_s <= now_s) or (
            self._retry_queue and self._retry_queue[0][0] <= now_s
        ):
            if self._retry_queue and (
                not self._next_planned or self._retry_queue[0][0] <= self._next_planned.intended_s
            ):
                retry_s, _, request = heapq.heappop(self._retry_queue)
                self._start_attempt(now_s, retry_s, request, actions)
            else:
                assert self._next_planned
                planned, self._next_planned = self._next_planned, next(self._requests, None)
                self.started_requests += 1
                honours_retry_after = self._rng.random() < self._retries.honour
                self._start_attempt(
                    now_s, planned.intended_s, _Request(planned, honours_retry_after), actions
                )
        return actions

    def _start_attempt(
        self, now_s: float, intended_s: float, request: _Request, actions: list[Attempt | AbandonAttempt]
    ) -> None:
        number, request.attempts = request.attempts, request.attempts + 1
        self._last_ident += 1
        ident = self._last_ident
        self._open[ident] = _OpenAttempt(request, number, intended_s, request.answers)
        if len(self._open) > self._max_in_flight:
            self.attempt_missed(now_s, ident, "more in flight than in_flight allows")
            return
        give_up_s = intended_s + self._classes[request.planned.class_name].timeout_ms / 1000
        heapq.heappush(self._deadlines, (give_up_s, ident))
        actions.append(Attempt(ident, number, request.planned, intended_s, give_up_s))

    # --- Events from the worker -----------------------------------------------------------------
    def attempt_sent(self, now_s: float, ident: int) -> None:
        """Handles that an attempt was written to its connection."""
        if (entry := self._open.get(ident)) is None:
            return
        entry.sent_s = now_s
        if entry.request.began_s is None:
            entry.request.began_s = now_s
        self._health.record_send(entry.intended_s, now_s)
        self._recorder.record_send(now_s - entry.intended_s, self._health.is_sound(entry.intended_s, now_s))

    def response_received(
        self, now_s: float, ident: int, code: int, retry_after_s: float | None = None
    ) -> None:
        """Handles a complete response."""
        self._health.record_turn(now_s)
        if (entry := self._open.get(ident)) is None:
            return
        entry.request.answers += 1
        if 200 <= code < 300:
            self._end_attempt(now_s, ident, Outcome.SERVED)
        elif code in (429, 503):
            self._end_attempt(now_s, ident, Outcome.REFUSED, retry_after_s)
        else:
            self._end_attempt(now_s, ident, Outcome.FAILED, may_have_run=code >= 500)

    def connection_lost(self, now_s: float, ident: int, response_begun: bool = False) -> None:
        """Handles a connection that closed too early; a partial response counts as a response."""
        self._health.record_turn(now_s)
        if (entry := self._open.get(ident)) is not None:
            entry.request.answers += response_begun
            self._end_attempt(now_s, ident, Outcome.FAILED, may_have_run=entry.sent_s is not None)

    def attempt_missed(self, now_s: float, ident: int, reason: str) -> None:
        """Handles an attempt that was not sent because the generator lacked a resource."""
        if (entry := self._open.pop(ident, None)) is not None:
            self._recorder.record_anomaly(str(entry.request.planned.number), f"missed: {reason}")
            self._record(now_s, entry, Outcome.MISSED)

    # --- End of an attempt ---------------------------------------------------------------------------------
    def _end_attempt(
        self,
        now_s: float,
        ident: int,
        outcome: Outcome,
        retry_after_s: float | None = None,
        may_have_run: bool = False,
    ) -> None:
        entry = self._open.pop(ident)
        request = entry.request
        # The limiter owes no response to an attempt that was abandoned or never sent.
        no_response_owed = outcome is Outcome.NONE or entry.sent_s is None
        answers = request.answers - entry.answers_before
        self._recorder.record_attempt(request.planned.number, entry.number, answers, no_response_owed)
        request.may_have_run |= may_have_run
        cls = self._classes[request.planned.class_name]
        is_retry_forbidden = cls.once and request.may_have_run
        if (
            outcome is not Outcome.SERVED
            and request.attempts <= self._retries.most
            and not is_retry_forbidden
        ):
            self._schedule_retry(now_s, request, retry_after_s)
            return
        if outcome is Outcome.SERVED and now_s - request.planned.intended_s > cls.aim_ms / 1000:
            outcome = Outcome.LATE
        self._record(now_s, entry, outcome)

    def _schedule_retry(self, now_s: float, request: _Request, retry_after_s: float | None) -> None:
        """Schedules a retry after the backoff delay, or after a longer Retry-After if honoured."""
        wait_s = self._retries.wait_ms / 1000
        if self._retries.backoff is Backoff.NONE:
            wait_s = 0.0
        elif self._retries.backoff is Backoff.EXPONENTIAL:
            wait_s *= 2 ** (request.attempts - 1)
        wait_s *= self._rng.uniform(0.5, 1.0)
        if retry_after_s is not None and request.honours_retry_after:
            wait_s = max(wait_s, retry_after_s)
        self._last_ident += 1
        heapq.heappush(self._retry_queue, (now_s + wait_s, self._last_ident, request))

    def _record(self, now_s: float, entry: _OpenAttempt, outcome: Outcome) -> None:
        request, planned = entry.request, entry.request.planned
        started_s = entry.sent_s if entry.sent_s is not None else now_s
        self._recorder.record_request(
            RequestRecord(
                planned,
                outcome,
                now_s,
                now_s - planned.intended_s,
                now_s - started_s,
                request.attempts,
                request.answers,
                self._health.is_sound(planned.intended_s, now_s),
            )
        )
