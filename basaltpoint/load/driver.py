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

from basaltpoint.load.arrivals import Planned
from basaltpoint.load.health import Watch
from basaltpoint.load.scenario import Backoff, ClassTable, Retries


class End(Enum):
    """How a request ended for its client, after its last try."""

    SERVED = "served"  # within the aim
    LATE = "late"  # served, past the aim
    REFUSED = "refused"  # 429 or 503
    FAILED = "failed"  # any other answer, or a broken connection
    NONE = "none"  # no answer until it was given up
    MISSED = "missed"  # never sent: no connection or no room


@dataclass(frozen=True, slots=True)
class Try:
    """One message to send now."""

    ident: int  # of the try, within this worker
    number: int  # from 0; later ones are the client's retries
    planned: Planned
    intended_s: float
    give_up_s: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Stop waiting for a try: close its connection."""

    ident: int


@dataclass(slots=True)
class _Request:
    """A client's request over all its tries."""

    planned: Planned
    honours: bool
    tries: int = 0
    answers: int = 0
    began_s: float | None = None  # of the first try, truly
    unsure: bool = False  # a try may have run without a word of it


@dataclass(slots=True)
class _Open:
    request: _Request
    number: int
    intended_s: float
    answers: int  # of the request, before this try
    sent_s: float | None = None


@dataclass(frozen=True, slots=True)
class Record:
    """A request that is over."""

    planned: Planned
    end: End
    ended_s: float
    latency_s: float  # from the intended start of the first try
    service_s: float  # from the true start of the last try
    tries: int
    answers: int
    sound: bool  # the generator was well all the while


class Recorder(Protocol):
    """Where records and sends are noted."""

    def record(self, record: Record) -> None: ...
    def sent(self, lateness_s: float, sound: bool) -> None: ...
    def tried(self, request: int, number: int, answers: int, hung_up: bool) -> None: ...
    def odd(self, ident: str, what: str) -> None: ...


class Driver:
    """Who is due, who waits, who is over."""

    def __init__(
        self,
        requests: Iterator[Planned],
        classes: dict[str, ClassTable],
        retries: Retries,
        watch: Watch,
        recorder: Recorder,
        seed: int,
        in_flight: int,
    ) -> None:
        self._requests = requests
        self._classes = classes
        self._retries = retries
        self._watch = watch
        self._recorder = recorder
        self._rng = random.Random(f"{seed} clients")
        self._most = in_flight
        self._next: Planned | None = next(requests, None)
        self._again: list[tuple[float, int, _Request]] = []
        self._deadlines: list[tuple[float, int]] = []
        self._open: dict[int, _Open] = {}
        self._count = 0
        self.asked = 0

    # --- Time ---------------------------------------------------------------------------------
    @property
    def next_s(self) -> float | None:
        """When `tick` is due; None where nothing will ever be."""
        while self._deadlines and self._deadlines[0][1] not in self._open:
            heapq.heappop(self._deadlines)
        due = [self._next.at_s] if self._next else []
        due += [self._again[0][0]] if self._again else []
        due += [self._deadlines[0][0]] if self._deadlines else []
        return min(due, default=None)

    @property
    def done(self) -> bool:
        """Whether every request is over."""
        return self._next is None and not self._again and not self._open

    @property
    def in_flight(self) -> int:
        return len(self._open)

    def waits(self, ident: int) -> bool:
        """Whether a try is still out."""
        return ident in self._open

    def tick(self, now_s: float) -> list[Try | GiveUp]:
        """What is due by now. Nothing is skipped, however late it is."""
        self._watch.beat(now_s)
        actions: list[Try | GiveUp] = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, ident = heapq.heappop(self._deadlines)
            if ident in self._open:
                actions.append(GiveUp(ident))
                self._over(now_s, ident, End.NONE, unsure=True)
        while (self._next and self._next.at_s <= now_s) or (self._again and self._again[0][0] <= now_s):
            if self._again and (not self._next or self._again[0][0] <= self._next.at_s):
                when, _, request = heapq.heappop(self._again)
                self._send(now_s, when, request, actions)
            else:
                assert self._next
                planned, self._next = self._next, next(self._requests, None)
                self.asked += 1
                honours = self._rng.random() < self._retries.honour
                self._send(now_s, planned.at_s, _Request(planned, honours), actions)
        return actions

    def _send(self, now_s: float, intended_s: float, request: _Request, actions: list[Try | GiveUp]) -> None:
        number, request.tries = request.tries, request.tries + 1
        self._count += 1
        ident = self._count
        self._open[ident] = _Open(request, number, intended_s, request.answers)
        if len(self._open) > self._most:
            self.missed(now_s, ident, "more in flight than in_flight allows")
            return
        give_up = intended_s + self._classes[request.planned.cls].timeout_ms / 1000
        heapq.heappush(self._deadlines, (give_up, ident))
        actions.append(Try(ident, number, request.planned, intended_s, give_up))

    # --- What the shell tells -----------------------------------------------------------------
    def sent(self, now_s: float, ident: int) -> None:
        """A try's message was written."""
        if (entry := self._open.get(ident)) is None:
            return
        entry.sent_s = now_s
        if entry.request.began_s is None:
            entry.request.began_s = now_s
        self._watch.sent(entry.intended_s, now_s)
        self._recorder.sent(now_s - entry.intended_s, self._watch.sound(entry.intended_s, now_s))

    def answered(self, now_s: float, ident: int, code: int, retry_after_s: float | None = None) -> None:
        """A whole answer came."""
        self._watch.beat(now_s)
        if (entry := self._open.get(ident)) is None:
            return
        entry.request.answers += 1
        if 200 <= code < 300:
            self._over(now_s, ident, End.SERVED)
        elif code in (429, 503):
            self._over(now_s, ident, End.REFUSED, retry_after_s)
        else:
            self._over(now_s, ident, End.FAILED, unsure=code >= 500)

    def broken(self, now_s: float, ident: int, begun: bool = False) -> None:
        """The connection ended before the whole answer; one that had `begun` was cut, and counts."""
        self._watch.beat(now_s)
        if (entry := self._open.get(ident)) is not None:
            entry.request.answers += begun
            self._over(now_s, ident, End.FAILED, unsure=entry.sent_s is not None)

    def missed(self, now_s: float, ident: int, why: str) -> None:
        """A try could not be sent for want of something of the generator's own."""
        if (entry := self._open.pop(ident, None)) is not None:
            self._recorder.odd(str(entry.request.planned.number), f"missed: {why}")
            self._record(now_s, entry, End.MISSED)

    # --- Ends ---------------------------------------------------------------------------------
    def _over(
        self, now_s: float, ident: int, end: End, after_s: float | None = None, unsure: bool = False
    ) -> None:
        entry = self._open.pop(ident)
        request = entry.request
        # What was given up, or never went out, is owed no answer.
        unowed = end is End.NONE or entry.sent_s is None
        answers = request.answers - entry.answers
        self._recorder.tried(request.planned.number, entry.number, answers, unowed)
        request.unsure |= unsure
        cls = self._classes[request.planned.cls]
        barred = cls.once and request.unsure
        if end is not End.SERVED and request.tries <= self._retries.most and not barred:
            self._again_at(now_s, request, after_s)
            return
        if end is End.SERVED and now_s - request.planned.at_s > cls.aim_ms / 1000:
            end = End.LATE
        self._record(now_s, entry, end)

    def _again_at(self, now_s: float, request: _Request, after_s: float | None) -> None:
        """A client's own wait, or what Retry-After says where it is one that listens."""
        wait = self._retries.wait_ms / 1000
        if self._retries.backoff is Backoff.NONE:
            wait = 0.0
        elif self._retries.backoff is Backoff.EXPONENTIAL:
            wait *= 2 ** (request.tries - 1)
        wait *= self._rng.uniform(0.5, 1.0)
        if after_s is not None and request.honours:
            wait = max(wait, after_s)
        self._count += 1
        heapq.heappush(self._again, (now_s + wait, self._count, request))

    def _record(self, now_s: float, entry: _Open, end: End) -> None:
        request, planned = entry.request, entry.request.planned
        began = entry.sent_s if entry.sent_s is not None else now_s
        self._recorder.record(
            Record(
                planned,
                end,
                now_s,
                now_s - planned.at_s,
                now_s - began,
                request.tries,
                request.answers,
                self._watch.sound(planned.at_s, now_s),
            )
        )
