"""The request table: its invariants whatever the module decides, without sockets, on a simulated clock."""

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


class ScriptedModule:
    """A module whose actions the test defines by event type; it records all events."""

    def __init__(self, **acts: Any) -> None:
        self.acts = acts
        self.events: list[api.Event] = []

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.events.append(event)
        act = self.acts.get(type(event).__name__)
        return act(event) if act else []


def send(event: Any) -> list[api.Action]:
    return [api.Send(event.request, 7, 0.0)]


def retry(event: Any) -> list[api.Action]:
    return [] if event.status is Status.MOOT else send(event)


def new_request(wait_ms: float = 1000.0, key: bytes = b"", margin_ms: float = 10.0) -> NewRequest:
    return NewRequest(0, 0, 1, 1.0, 1, wait_ms, margin_ms, 0, key)


def replies(effects: list[Effect]) -> list[tuple[int, RequestResult]]:
    return [(e.request, e.result) for e in effects if isinstance(e, Reply)]


def test_a_request_gets_the_first_successful_response() -> None:
    table = RequestTable(ScriptedModule(Arrival=send), 3, 10, Figures(["c"]))
    ident, effects = table.admit(100.0, new_request())
    assert effects == [StartAttempt(ident, 0, 7, 1090.0)]
    assert replies(table.attempt_ended(150.0, ident, 0, Status.OK, payload="x")) == [
        (ident, RequestResult.SERVED)
    ]
    assert not table.requests and table.open_count == 0 and table.next_tick_ms is None


def test_a_late_tick_reports_the_attempts_time_out_before_the_deadline() -> None:
    """The event loop was blocked beyond both times: the module decides what the time-out means."""

    def sends_early(event: api.Arrival) -> list[api.Action]:
        return [api.Send(event.request, 1, until_ms=900.0)]

    def fails(event: api.Outcome) -> list[api.Action]:
        return [api.Fail(event.request)]

    table = RequestTable(ScriptedModule(Arrival=sends_early, Outcome=fails), 3, 10, Figures(["c"]))
    ident, _ = table.admit(0.0, new_request())
    assert table.tick(1020.0) == []
    effects = table.attempt_ended(1020.0, ident, 0, Status.TIMEOUT)
    assert replies(effects) == [(ident, RequestResult.FAILED)]

    silent = RequestTable(ScriptedModule(Arrival=sends_early, Abandoned=lambda e: []), 3, 10, Figures(["c"]))
    ident, _ = silent.admit(0.0, new_request())
    assert silent.tick(1020.0) == []
    assert replies(silent.tick(1022.0)) == [(ident, RequestResult.OVERDUE)]


def test_a_late_tick_fires_the_modules_timer_before_the_deadline() -> None:
    """No attempt is active: the module has scheduled its reply for a time before the deadline."""

    def waits(event: api.Arrival) -> list[api.Action]:
        return [api.SetTimer(7, 990.0)]

    table = RequestTable(
        ScriptedModule(Arrival=waits, TimerFired=lambda e: [api.Fail(1)]), 3, 10, Figures(["c"])
    )
    ident, _ = table.admit(0.0, new_request())
    assert ident == 1
    effects = table.tick(1020.0)
    assert replies(effects) == [(ident, RequestResult.FAILED)] and not any(
        isinstance(e, Fault) for e in effects
    )


def test_the_table_replies_at_the_deadline_if_the_module_does_not() -> None:
    module = ScriptedModule(Arrival=send, Abandoned=lambda e: [api.Cancel(e.request, 0)])
    table = RequestTable(module, 3, 10, Figures(["c"]))
    ident, _ = table.admit(0.0, new_request())
    assert table.next_tick_ms == 1000.0
    assert replies(table.tick(999.0)) == []
    effects = table.tick(1000.0)
    assert replies(effects) == [(ident, RequestResult.OVERDUE)]
    assert CancelAttempt(ident, 0) in effects
    # The late outcome is reported to the module, and there is no second reply.
    assert table.attempt_ended(1200.0, ident, 0, Status.OK) == []
    last = module.events[-1]
    assert isinstance(last, api.Outcome) and last.closed
    assert not table.requests


def test_an_exception_of_the_module_affects_one_request_only() -> None:
    def fail(event: Any) -> list[api.Action]:
        raise RuntimeError("a fault")

    module = ScriptedModule(Arrival=fail)
    table = RequestTable(module, 3, 10, Figures(["c"]))
    ident, effects = table.admit(0.0, new_request())
    assert replies(effects) == [(ident, RequestResult.FAULT)]
    assert any(isinstance(e, Fault) and "a fault" in e.text for e in effects)
    module.acts = {"Arrival": send}
    _, effects = table.admit(0.0, new_request())
    assert isinstance(effects[0], StartAttempt)


def test_at_most_one_active_attempt_and_none_after_the_reply() -> None:
    def twice(event: Any) -> list[api.Action]:
        return [*send(event), *send(event), api.Refuse(event.request, 50.0), *send(event)]

    module = ScriptedModule(Arrival=twice)
    table = RequestTable(module, 9, 10, Figures(["c"]))
    ident, effects = table.admit(0.0, new_request())
    assert [type(e) for e in effects] == [StartAttempt, Reply]
    superseded = [e for e in module.events if isinstance(e, api.Outcome)]
    assert [(e.status, e.closed) for e in superseded] == [(Status.MOOT, False), (Status.MOOT, True)]
    # The request stays in the table while its attempt is active, so that the end can be reported.
    assert ident in table.requests
    table.attempt_ended(5.0, ident, 0, Status.CANCELLED)
    assert ident not in table.requests


def test_a_module_that_resends_without_end_does_not_block_the_process() -> None:
    table = RequestTable(ScriptedModule(Arrival=send, Outcome=send), 1, 10, Figures(["c"]))
    ident, _ = table.admit(0.0, new_request())
    effects = table.attempt_ended(1.0, ident, 0, Status.RESET)
    assert [type(e) for e in effects] == [Fault]
    assert replies(table.tick(1000.0)) == [(ident, RequestResult.OVERDUE)]


def test_max_attempts() -> None:
    module = ScriptedModule(Arrival=send, Outcome=retry)
    table = RequestTable(module, 2, 10, Figures(["c"]))
    ident, _ = table.admit(0.0, new_request())
    assert isinstance(table.attempt_ended(1.0, ident, 0, Status.RESET)[0], StartAttempt)
    assert table.attempt_ended(2.0, ident, 1, Status.RESET) == []
    assert isinstance(module.events[-1], api.Outcome) and module.events[-1].status is Status.MOOT


def test_the_end_of_an_attempt_is_reported_once() -> None:
    module = ScriptedModule(Arrival=send)
    table = RequestTable(module, 3, 10, Figures(["c"]))
    ident, _ = table.admit(0.0, new_request())
    table.attempt_ended(1.0, ident, 0, Status.TIMEOUT)
    assert table.attempt_ended(2.0, ident, 0, Status.OK) == []
    assert sum(isinstance(e, api.Outcome) for e in module.events) == 1


def test_duplicate_keys_and_too_many_requests_are_not_admitted() -> None:
    table = RequestTable(ScriptedModule(Arrival=send), 3, 2, Figures(["c"]))
    table.admit(0.0, new_request(key=b"a"))
    assert replies(table.admit(0.0, new_request(key=b"a"))[1])[0][1] is RequestResult.DUPLICATE
    table.admit(0.0, new_request(key=b"b"))
    assert replies(table.admit(0.0, new_request(key=b"c"))[1])[0][1] is RequestResult.BUSY
    assert table.open_count == 2


def test_a_stream_ends_complete_or_truncated_and_never_as_another_response() -> None:
    for status, ending in ((Status.OK, RequestResult.SERVED), (Status.RESET, RequestResult.CUT)):
        module = ScriptedModule(Arrival=send, Outcome=retry, StreamBegun=lambda e: [api.Fail(e.request)])
        table = RequestTable(module, 3, 10, Figures(["c"]))
        ident, _ = table.admit(0.0, new_request())
        assert table.response_started(40.0, ident, 0) == [
            StartResponse(ident)
        ]  # the module's Fail has no effect
        assert table.next_tick_ms is None  # a started response has no deadline
        assert replies(table.attempt_ended(9000.0, ident, 0, status)) == [(ident, ending)]
        outcome = next(e for e in module.events if isinstance(e, api.Outcome))
        assert outcome.elapsed_ms == 40.0  # the server's latency, not the client's speed


def test_the_client_of_a_stream_disconnects_and_the_attempt_is_cancelled() -> None:
    table = RequestTable(ScriptedModule(Arrival=send), 3, 10, Figures(["c"]))
    ident, _ = table.admit(0.0, new_request())
    table.response_started(40.0, ident, 0)
    assert table.client_disconnected(50.0, ident) == [CancelAttempt(ident, 0)]
    assert table.response_started(60.0, ident, 0) == []
    table.attempt_ended(61.0, ident, 0, Status.CANCELLED)
    assert not table.requests


def test_a_failed_attempt_whose_response_is_forwarded_counts_as_failed() -> None:
    module = ScriptedModule(Arrival=send, Outcome=retry)
    table = RequestTable(module, 3, 10, Figures(["c"]))
    ident, _ = table.admit(0.0, new_request())
    effects = table.attempt_ended(10.0, ident, 0, Status.ERROR, is_final=True, payload="500")
    assert effects == [Reply(ident, RequestResult.FAILED, payload="500")]
    outcome = module.events[-2]
    assert isinstance(outcome, api.Outcome) and outcome.closed and outcome.status is Status.ERROR


def test_an_upload_suspends_the_deadline_and_prevents_a_retry() -> None:
    module = ScriptedModule(Arrival=send, Outcome=retry)
    table = RequestTable(module, 3, 10, Figures(["c"]))
    ident, _ = table.admit(0.0, new_request(wait_ms=1000.0))
    table.upload_started(0.0, ident)
    assert table.next_tick_ms is None
    table.upload_finished(60_000.0, ident, table.requests[ident].client_wait_ms)
    assert table.next_tick_ms == 61_000.0
    assert table.attempt_ended(60_100.0, ident, 0, Status.RESET) == []
    last = module.events[-1]
    assert isinstance(last, api.Outcome) and last.status is Status.MOOT
    assert replies(table.tick(61_000.0)) == [(ident, RequestResult.OVERDUE)]


def test_obsolete_deadlines_are_removed_from_the_timer_heap_and_module_timers_are_kept() -> None:
    module = ScriptedModule(Abandoned=lambda e: [api.SetTimer(30.0, 5)])
    table = RequestTable(module, 3, 5000, Figures(["c"]))
    for n in range(2000):
        ident, _ = table.admit(float(n), new_request())
        table.client_disconnected(float(n), ident)
    assert len(table._timers) <= 4000 + 2 * 256
    assert table.next_tick_ms == 30.0
    table.tick(5000.0)
    assert sum(e == api.TimerFired(5) for e in module.events) == 2000
    assert table.next_tick_ms is None


class RandomModule:
    """A module with random actions, also on requests other than the one of the event."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.sends: Counter[tuple[int, int]] = Counter()
        self.ends: Counter[tuple[int, int]] = Counter()

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Outcome) and event.status is not Status.MOOT:
            self.ends[event.request, event.attempt] += 1
        if self.rng.random() < 0.05:
            raise RuntimeError("random fault")
        ident = getattr(event, "request", 0) + self.rng.choice((0, 0, 0, 0, 1, -1))
        actions: list[api.Action] = [
            api.Send(ident, 1, self.rng.choice((0.0, now + 50.0))),
            api.Refuse(ident, 1.0),
            api.Fail(ident),
            api.Cancel(ident, self.rng.randrange(3)),
            api.SetTimer(self.rng.uniform(0, 100), 1),
        ]
        return self.rng.choices(actions, (9, 1, 1, 1, 1), k=self.rng.randrange(3))


@given(st.integers(0, 2**32))
def test_the_invariants_hold_with_random_actions_of_the_module(seed: int) -> None:
    """One reply each, one active attempt at a time, every end reported once, an empty table at the end."""
    rng = random.Random(seed)
    module = RandomModule(seed)
    table = RequestTable(module, 3, 20, Figures(["c"]))
    active: dict[int, int] = {}
    answered: Counter[int] = Counter()
    disconnected: set[int] = set()
    sent: Counter[tuple[int, int]] = Counter()
    started: set[int] = set()
    admitted: list[int] = []

    def apply(effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, StartAttempt):
                assert effect.request not in active and effect.request not in disconnected
                assert not answered[effect.request]
                active[effect.request] = effect.attempt
                sent[effect.request, effect.attempt] += 1
            elif isinstance(effect, Reply):
                answered[effect.request] += 1
                assert answered[effect.request] == 1 and effect.request not in disconnected
                if effect.request in started:
                    assert effect.result in (RequestResult.SERVED, RequestResult.CUT)
            elif isinstance(effect, StartResponse):
                started.add(effect.request)

    now = 0.0
    for _ in range(120):
        now += rng.uniform(0, 40)
        apply(table.tick(now))
        pick = rng.random()
        if pick < 0.4:
            ident, effects = table.admit(now, new_request(rng.choice((60.0, 400.0))))
            admitted.append(ident)
            apply(effects)
        elif pick < 0.75 and active:
            ident = rng.choice(list(active))
            number = active.pop(ident)
            status = rng.choice((Status.OK, Status.RESET, Status.TIMEOUT, Status.CANCELLED))
            apply(table.attempt_ended(now, ident, number, status))
        elif pick < 0.85 and active:
            ident = rng.choice(list(active))
            apply(table.response_started(now, ident, active[ident]))
        elif pick < 0.95 and admitted:
            ident = rng.choice(admitted)
            if not answered[ident] and ident not in disconnected:
                disconnected.add(ident)
                apply(table.client_disconnected(now, ident))
    for _ in range(20):
        for ident, number in list(active.items()):
            del active[ident]
            apply(table.attempt_ended(now, ident, number, Status.TIMEOUT))
        now += 1000.0
        apply(table.tick(now))
    assert all(answered[ident] == 1 or ident in disconnected for ident in admitted)
    assert all(count == 1 for count in sent.values())
    assert not table.requests and not table.open_keys and table.open_count == 0


@pytest.mark.parametrize("wait", [4.0, 40.0])
def test_the_modules_deadline_is_between_now_and_the_clients_deadline(wait: float) -> None:
    module = ScriptedModule()
    RequestTable(module, 3, 10, Figures(["c"])).admit(0.0, new_request(wait))
    arrival = module.events[0]
    assert isinstance(arrival, api.Arrival) and 0 < arrival.deadline_ms < wait
