"""One worker's run as a machine without I/O: what is due, what came back, and who tries again when.

The shell around it reads the clock and owns connections; simulated time and simulated servers drive the same
code in tests. All times are seconds from the run's start.
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
    """How a request ended for its client, after its last try."""

    SERVED = "served"  # within the aim
    LATE = "late"  # served, past the aim
    REFUSED = "refused"  # 429 or 503
    FAILED = "failed"  # any other answer, or a broken connection
    NONE = "none"  # no answer until it was given up
    MISSED = "missed"  # never sent: no connection or no room


@dataclass(frozen=True, slots=True)
class Attempt:
    """One message to send now."""

    ident: int  # of the try, within this worker
    number: int  # from 0; later ones are the client's retries
    planned: PlannedRequest
    intended_s: float
    give_up_s: float


@dataclass(frozen=True, slots=True)
class AbandonAttempt:
    """Stop waiting for a try: close its connection."""

    ident: int


@dataclass(slots=True)
class _Request:
    """A client's request over all its tries."""

    planned: PlannedRequest
    honours_retry_after: bool
    attempts: int = 0
    answers: int = 0
    began_s: float | None = None  # of the first try, truly
    may_have_run: bool = False  # a try may have run without a word of it


@dataclass(slots=True)
class _OpenAttempt:
    request: _Request
    number: int
    intended_s: float
    answers_before: int  # of the request, before this try
    sent_s: float | None = None


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """A request that is over."""

    planned: PlannedRequest
    outcome: Outcome
    ended_s: float
    latency_s: float  # from the intended start of the first try
    service_s: float  # from the true start of the last try
    attempts: int
    answers: int
    is_sound: bool  # the generator was well all the while


class Recorder(Protocol):
    """Where records and sends are noted."""

    def record_request(self, record: RequestRecord) -> None: ...
    def record_send(self, lateness_s: float, sound: bool) -> None: ...
    def record_attempt(self, request: int, number: int, answers: int, hung_up: bool) -> None: ...
    def record_anomaly(self, ident: str, what: str) -> None: ...


class Driver:
    """Who is due, who waits, who is over."""

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
        """When `tick` is due; None where nothing will ever be."""
        while self._deadlines and self._deadlines[0][1] not in self._open:
            heapq.heappop(self._deadlines)
        due = [self._next_planned.intended_s] if self._next_planned else []
        due += [self._retry_queue[0][0]] if self._retry_queue else []
        due += [self._deadlines[0][0]] if self._deadlines else []
        return min(due, default=None)

    @property
    def is_finished(self) -> bool:
        """Whether every request is over."""
        return self._next_planned is None and not self._retry_queue and not self._open

    @property
    def in_flight(self) -> int:
        return len(self._open)

    def is_open(self, ident: int) -> bool:
        """Whether a try is still out."""
        return ident in self._open

    def tick(self, now_s: float) -> list[Attempt | AbandonAttempt]:
        """What is due by now. Nothing is skipped, however late it is."""
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
                when, _, request = heapq.heappop(self._retry_queue)
                self._start_attempt(now_s, when, request, actions)
            else:
                assert self._next_planned
                planned, self._next_planned = self._next_planned, next(self._requests, None)
                self.started_requests += 1
                honours = self._rng.random() < self._retries.honour
                self._start_attempt(now_s, planned.intended_s, _Request(planned, honours), actions)
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

    # --- What the shell tells -----------------------------------------------------------------
    def attempt_sent(self, now_s: float, ident: int) -> None:
        """A try's message was written."""
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
        """A whole answer came."""
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
        """The connection ended before the whole answer; one that had `begun` was cut, and counts."""
        self._health.record_turn(now_s)
        if (entry := self._open.get(ident)) is not None:
            entry.request.answers += response_begun
            self._end_attempt(now_s, ident, Outcome.FAILED, may_have_run=entry.sent_s is not None)

    def attempt_missed(self, now_s: float, ident: int, reason: str) -> None:
        """A try could not be sent for want of something of the generator's own."""
        if (entry := self._open.pop(ident, None)) is not None:
            self._recorder.record_anomaly(str(entry.request.planned.number), f"missed: {reason}")
            self._record(now_s, entry, Outcome.MISSED)

    # --- Ends ---------------------------------------------------------------------------------
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
        # What was given up, or never went out, is owed no answer.
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
        """A client's own wait, or what Retry-After says where it is one that listens."""
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
