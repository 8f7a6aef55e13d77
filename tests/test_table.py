"""The request table: what must hold whatever the module says, without sockets and on a clock of its own."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from basaltpoint import interface as api
from basaltpoint.core.table import (
    CancelAttempt,
    Effect,
    Fault,
    NewRequest,
    Reply,
    RequestResult,
    RequestTable,
    StartAttempt,
    StartResponse,
)
from basaltpoint.interface import Status
from basaltpoint.telemetry.figures import Figures


class Scripted:
    """A module that does as the test says: actions by the type of the event."""

    def __init__(self, **acts: Any) -> None:
        self.acts = acts
        self.heard: list[api.Event] = []

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.heard.append(event)
        act = self.acts.get(type(event).__name__)
        return act(event) if act else []


def send(event: Any) -> list[api.Action]:
    return [api.Send(event.request, 7, 0.0)]


def again(event: Any) -> list[api.Action]:
    return [] if event.status is Status.MOOT else send(event)


def ticket(wait: float = 1000.0, name: bytes = b"", early: float = 10.0) -> NewRequest:
    return NewRequest(0, 0, 1, 1.0, 1, wait, early, 0, name)


def replies(effects: list[Effect]) -> list[tuple[int, RequestResult]]:
    return [(e.request, e.result) for e in effects if isinstance(e, Reply)]


def test_a_served_request_gets_the_first_good_answer() -> None:
    table = RequestTable(Scripted(Arrival=send), 3, 10, Figures(["c"]))
    ident, effects = table.admit(100.0, ticket())
    assert effects == [StartAttempt(ident, 0, 7, 1090.0)]
    assert replies(table.attempt_ended(150.0, ident, 0, Status.OK, payload="x")) == [
        (ident, RequestResult.SERVED)
    ]
    assert not table.requests and table.open_count == 0 and table.next_tick_ms is None


def test_a_call_that_comes_late_hears_the_attempts_own_end_first() -> None:
    """The loop was held up beyond both: what the end of the attempt means is the module's to say."""

    def sends_early(event: api.Arrival) -> list[api.Action]:
        return [api.Send(event.request, 1, until_ms=900.0)]

    def fails(event: api.Outcome) -> list[api.Action]:
        return [api.Fail(event.request)]

    table = RequestTable(Scripted(Arrival=sends_early, Outcome=fails), 3, 10, Figures(["c"]))
    ident, _ = table.admit(0.0, ticket())
    assert table.tick(1020.0) == []
    effects = table.attempt_ended(1020.0, ident, 0, Status.TIMEOUT)
    assert replies(effects) == [(ident, RequestResult.FAILED)]

    silent = RequestTable(Scripted(Arrival=sends_early, Abandoned=lambda e: []), 3, 10, Figures(["c"]))
    ident, _ = silent.admit(0.0, ticket())
    assert silent.tick(1020.0) == []
    assert replies(silent.tick(1022.0)) == [(ident, RequestResult.OVERDUE)]


def test_a_call_that_comes_late_hears_the_modules_own_timer_first() -> None:
    """Nothing is out: the module has put its answer off to a time before the deadline."""

    def waits(event: api.Arrival) -> list[api.Action]:
        return [api.SetTimer(7, 990.0)]

    table = RequestTable(Scripted(Arrival=waits, TimerFired=lambda e: [api.Fail(1)]), 3, 10, Figures(["c"]))
    ident, _ = table.admit(0.0, ticket())
    assert ident == 1
    effects = table.tick(1020.0)
    assert replies(effects) == [(ident, RequestResult.FAILED)] and not any(
        isinstance(e, Fault) for e in effects
    )


def test_a_silent_module_is_answered_for_at_the_deadline() -> None:
    module = Scripted(Arrival=send, Abandoned=lambda e: [api.Cancel(e.request, 0)])
    table = RequestTable(module, 3, 10, Figures(["c"]))
    ident, _ = table.admit(0.0, ticket())
    assert table.next_tick_ms == 1000.0
    assert replies(table.tick(999.0)) == []
    effects = table.tick(1000.0)
    assert replies(effects) == [(ident, RequestResult.OVERDUE)]
    assert CancelAttempt(ident, 0) in effects
    # The late outcome is told the module, and answers nobody.
    assert table.attempt_ended(1200.0, ident, 0, Status.OK) == []
    last = module.heard[-1]
    assert isinstance(last, api.Outcome) and last.closed
    assert not table.requests


def test_a_failing_module_costs_its_own_request_alone() -> None:
    def fail(event: Any) -> list[api.Action]:
        raise RuntimeError("a fault")

    module = Scripted(Arrival=fail)
    table = RequestTable(module, 3, 10, Figures(["c"]))
    ident, effects = table.admit(0.0, ticket())
    assert replies(effects) == [(ident, RequestResult.FAULT)]
    assert any(isinstance(e, Fault) and "a fault" in e.text for e in effects)
    module.acts = {"Arrival": send}
    _, effects = table.admit(0.0, ticket())
    assert isinstance(effects[0], StartAttempt)


def test_never_two_attempts_out_and_none_after_the_reply() -> None:
    def twice(event: Any) -> list[api.Action]:
        return [*send(event), *send(event), api.Refuse(event.request, 50.0), *send(event)]

    module = Scripted(Arrival=twice)
    table = RequestTable(module, 9, 10, Figures(["c"]))
    ident, effects = table.admit(0.0, ticket())
    assert [type(e) for e in effects] == [StartAttempt, Reply]
    moot = [e for e in module.heard if isinstance(e, api.Outcome)]
    assert [(e.status, e.closed) for e in moot] == [(Status.MOOT, False), (Status.MOOT, True)]
    # The attempt that is out keeps its entry, so that its end is told.
    assert ident in table.requests
    table.attempt_ended(5.0, ident, 0, Status.CANCELLED)
    assert ident not in table.requests


def test_a_module_that_insists_does_not_hang_the_others() -> None:
    table = RequestTable(Scripted(Arrival=send, Outcome=send), 1, 10, Figures(["c"]))
    ident, _ = table.admit(0.0, ticket())
    effects = table.attempt_ended(1.0, ident, 0, Status.RESET)
    assert [type(e) for e in effects] == [Fault]
    assert replies(table.tick(1000.0)) == [(ident, RequestResult.OVERDUE)]


def test_attempts_are_bounded() -> None:
    module = Scripted(Arrival=send, Outcome=again)
    table = RequestTable(module, 2, 10, Figures(["c"]))
    ident, _ = table.admit(0.0, ticket())
    assert isinstance(table.attempt_ended(1.0, ident, 0, Status.RESET)[0], StartAttempt)
    assert table.attempt_ended(2.0, ident, 1, Status.RESET) == []
    assert isinstance(module.heard[-1], api.Outcome) and module.heard[-1].status is Status.MOOT


def test_an_end_that_was_told_already_counts_once() -> None:
    module = Scripted(Arrival=send)
    table = RequestTable(module, 3, 10, Figures(["c"]))
    ident, _ = table.admit(0.0, ticket())
    table.attempt_ended(1.0, ident, 0, Status.TIMEOUT)
    assert table.attempt_ended(2.0, ident, 0, Status.OK) == []
    assert sum(isinstance(e, api.Outcome) for e in module.heard) == 1


def test_bounds_on_what_is_taken() -> None:
    table = RequestTable(Scripted(Arrival=send), 3, 2, Figures(["c"]))
    table.admit(0.0, ticket(name=b"a"))
    assert replies(table.admit(0.0, ticket(name=b"a"))[1])[0][1] is RequestResult.DUPLICATE
    table.admit(0.0, ticket(name=b"b"))
    assert replies(table.admit(0.0, ticket(name=b"c"))[1])[0][1] is RequestResult.BUSY
    assert table.open_count == 2


def test_a_stream_ends_whole_or_cut_and_never_in_another_answer() -> None:
    for status, ending in ((Status.OK, RequestResult.SERVED), (Status.RESET, RequestResult.CUT)):
        module = Scripted(Arrival=send, Outcome=again, StreamBegun=lambda e: [api.Fail(e.request)])
        table = RequestTable(module, 3, 10, Figures(["c"]))
        ident, _ = table.admit(0.0, ticket())
        assert table.response_started(40.0, ident, 0) == [
            StartResponse(ident)
        ]  # the Fail action has no effect
        assert table.next_tick_ms is None  # once begun it has no deadline
        assert replies(table.attempt_ended(9000.0, ident, 0, status)) == [(ident, ending)]
        outcome = next(e for e in module.heard if isinstance(e, api.Outcome))
        assert outcome.elapsed_ms == 40.0  # what the server took, not its client


def test_a_streams_client_that_goes_ends_the_attempt() -> None:
    table = RequestTable(Scripted(Arrival=send), 3, 10, Figures(["c"]))
    ident, _ = table.admit(0.0, ticket())
    table.response_started(40.0, ident, 0)
    assert table.client_disconnected(50.0, ident) == [CancelAttempt(ident, 0)]
    assert table.response_started(60.0, ident, 0) == []
    table.attempt_ended(61.0, ident, 0, Status.CANCELLED)
    assert not table.requests


def test_a_failed_answer_that_is_the_clients_counts_as_failed() -> None:
    module = Scripted(Arrival=send, Outcome=again)
    table = RequestTable(module, 3, 10, Figures(["c"]))
    ident, _ = table.admit(0.0, ticket())
    effects = table.attempt_ended(10.0, ident, 0, Status.ERROR, is_final=True, payload="500")
    assert effects == [Reply(ident, RequestResult.FAILED, payload="500")]
    outcome = module.heard[-2]
    assert isinstance(outcome, api.Outcome) and outcome.closed and outcome.status is Status.ERROR


def test_a_streamed_body_rests_the_deadline_and_bars_a_repeat() -> None:
    module = Scripted(Arrival=send, Outcome=again)
    table = RequestTable(module, 3, 10, Figures(["c"]))
    ident, _ = table.admit(0.0, ticket(wait=1000.0))
    table.upload_started(0.0, ident)
    assert table.next_tick_ms is None
    table.upload_finished(60_000.0, ident, table.requests[ident].client_wait_ms)
    assert table.next_tick_ms == 61_000.0
    assert table.attempt_ended(60_100.0, ident, 0, Status.RESET) == []
    last = module.heard[-1]
    assert isinstance(last, api.Outcome) and last.status is Status.MOOT
    assert replies(table.tick(61_000.0)) == [(ident, RequestResult.OVERDUE)]


def test_the_modules_timers_and_many_deadlines_share_one_time() -> None:
    module = Scripted(Abandoned=lambda e: [api.SetTimer(30.0, 5)])
    table = RequestTable(module, 3, 5000, Figures(["c"]))
    for n in range(2000):
        ident, _ = table.admit(float(n), ticket())
        table.client_disconnected(float(n), ident)
    assert len(table._timers) <= 4000 + 2 * 256
    assert table.next_tick_ms == 30.0
    table.tick(5000.0)
    assert sum(e == api.TimerFired(5) for e in module.heard) == 2000
    assert table.next_tick_ms is None


class Wild:
    """A module that acts by chance, on requests that may not be its own."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.outs: Counter[tuple[int, int]] = Counter()
        self.ends: Counter[tuple[int, int]] = Counter()

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Outcome) and event.status is not Status.MOOT:
            self.ends[event.request, event.attempt] += 1
        if self.rng.random() < 0.05:
            raise RuntimeError("by chance")
        ident = getattr(event, "request", 0) + self.rng.choice((0, 0, 0, 0, 1, -1))
        one: list[api.Action] = [
            api.Send(ident, 1, self.rng.choice((0.0, now + 50.0))),
            api.Refuse(ident, 1.0),
            api.Fail(ident),
            api.Cancel(ident, self.rng.randrange(3)),
            api.SetTimer(self.rng.uniform(0, 100), 1),
        ]
        return self.rng.choices(one, (9, 1, 1, 1, 1), k=self.rng.randrange(3))


@given(st.integers(0, 2**32))
def test_whatever_the_module_does(seed: int) -> None:
    """One reply each, one attempt out at a time, every end told once, and nothing left behind."""
    rng = random.Random(seed)
    module = Wild(seed)
    table = RequestTable(module, 3, 20, Figures(["c"]))
    out: dict[int, int] = {}
    answered: Counter[int] = Counter()
    hung_up: set[int] = set()
    sent: Counter[tuple[int, int]] = Counter()
    begun: set[int] = set()
    taken: list[int] = []

    def play(effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, StartAttempt):
                assert effect.request not in out and effect.request not in hung_up
                assert not answered[effect.request]
                out[effect.request] = effect.attempt
                sent[effect.request, effect.attempt] += 1
            elif isinstance(effect, Reply):
                answered[effect.request] += 1
                assert answered[effect.request] == 1 and effect.request not in hung_up
                if effect.request in begun:
                    assert effect.result in (RequestResult.SERVED, RequestResult.CUT)
            elif isinstance(effect, StartResponse):
                begun.add(effect.request)

    now = 0.0
    for _ in range(120):
        now += rng.uniform(0, 40)
        play(table.tick(now))
        pick = rng.random()
        if pick < 0.4:
            ident, effects = table.admit(now, ticket(rng.choice((60.0, 400.0))))
            taken.append(ident)
            play(effects)
        elif pick < 0.75 and out:
            ident = rng.choice(list(out))
            number = out.pop(ident)
            status = rng.choice((Status.OK, Status.RESET, Status.TIMEOUT, Status.CANCELLED))
            play(table.attempt_ended(now, ident, number, status))
        elif pick < 0.85 and out:
            ident = rng.choice(list(out))
            play(table.response_started(now, ident, out[ident]))
        elif pick < 0.95 and taken:
            ident = rng.choice(taken)
            if not answered[ident] and ident not in hung_up:
                hung_up.add(ident)
                play(table.client_disconnected(now, ident))
    for _ in range(20):
        for ident, number in list(out.items()):
            del out[ident]
            play(table.attempt_ended(now, ident, number, Status.TIMEOUT))
        now += 1000.0
        play(table.tick(now))
    assert all(answered[ident] == 1 or ident in hung_up for ident in taken)
    assert all(count == 1 for count in sent.values())
    assert not table.requests and not table.open_keys and table.open_count == 0


@pytest.mark.parametrize("wait", [4.0, 40.0])
def test_the_modules_deadline_is_before_the_clients_and_after_now(wait: float) -> None:
    module = Scripted()
    RequestTable(module, 3, 10, Figures(["c"])).admit(0.0, ticket(wait))
    arrival = module.heard[0]
    assert isinstance(arrival, api.Arrival) and 0 < arrival.deadline_ms < wait
