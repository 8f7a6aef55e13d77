"""Each limiter of a fleet of any size hears of a drain in time, and their calls don't come all at once."""

from __future__ import annotations

import asyncio
import random

import pytest
from sockets import agent, backend, host, limiter, listing, run, until

from basaltpoint.membership import discovery
from basaltpoint.membership.backoff import Backoff

DRAIN_BOUND_S = 0.25  # the least bound on a drain's notice that a deployment sets
FLEET_SIZES = [3, 8, 48, 200]


class MaxRandom(random.Random):
    """Draws every wait at its longest."""

    def uniform(self, a: float, b: float) -> float:
        return b


def failed_call_delays(seed: int, calls: int) -> list[float]:
    """Seconds before each of so many calls that all fail."""
    backoff, found = Backoff(random.Random(seed)), []
    for _ in range(calls):
        found.append(backoff.next_delay_s())
        backoff.record_failure()
    return found


@pytest.mark.parametrize("limiters", FLEET_SIZES)
def test_whatever_the_fleet_a_broken_watch_is_taken_up_within_the_bound_on_drains(limiters: int) -> None:
    """herd+mass: with turns of the whole fleet 1,871 requests went to servers whose drain had been told."""
    assert max(failed_call_delays(n, 1)[0] for n in range(limiters)) < DRAIN_BOUND_S


@pytest.mark.parametrize("limiters", FLEET_SIZES)
def test_however_often_calls_fail_the_next_comes_within_about_a_second(limiters: int) -> None:
    for n in range(limiters):
        row = failed_call_delays(n, 20)
        assert max(row) <= 1.5
        assert sum(row[10:]) / 10 > 0.5  # and is no storm where nobody answers


@pytest.mark.parametrize("limiters", FLEET_SIZES[1:])
def test_a_fleet_whose_watches_all_broke_does_not_come_back_in_one_instant(limiters: int) -> None:
    first = sorted(failed_call_delays(n, 1)[0] for n in range(limiters))
    later = sorted(sum(failed_call_delays(n, 4)) for n in range(limiters))
    for times, instant in ((first, 0.02), (later, 0.1)):
        crowd = max(sum(t <= other < t + instant for other in times) for t in times)
        assert crowd <= max(3, 0.3 * limiters)


def test_a_call_that_was_served_ends_the_row_of_failures() -> None:
    backoff = Backoff(random.Random(3))
    for _ in range(8):
        backoff.record_failure()
    backoff.record_success()
    assert backoff.next_delay_s() < DRAIN_BOUND_S


def test_a_start_from_a_known_list_asks_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """What is known may be old: a drain told meanwhile counts from the first moment on."""
    monkeypatch.setattr(Backoff, "next_delay_s", lambda self: 60.0)

    async def test() -> None:
        async with backend() as one, backend() as two, agent() as watched:
            async with limiter(host("a", one.address), watched=watched) as rig:
                assert (
                    await asyncio.wait_for(watched.watches.get(), 10) == "/discovery/hosts?follow=1&since=1"
                )
                watched.send(listing(2, host("a", one.address, "leaving"), host("b", two.address)))
                await until(lambda: rig.watch.seq == 2)

    run(test())


@pytest.mark.parametrize("bound", [0.01, 0.1, 0.25, 1.0])
def test_a_break_is_over_within_the_deployments_own_bound(bound: float) -> None:
    """Another customer may ask for less than 250 ms."""
    assert max(Backoff(random.Random(n), bound).next_delay_s() for n in range(200)) < bound


def test_an_agent_that_is_not_there_is_heard_within_the_grace_of_its_return() -> None:
    """What it has then counts at once, however long it was away."""

    async def test() -> None:
        async with agent() as watched:
            address = watched.address
        async with limiter(host("a", "127.0.0.1:1")) as rig:
            rig.watch._address = address
            rig.watch._backoff = Backoff(MaxRandom(), DRAIN_BOUND_S)
            task = asyncio.create_task(rig.watch.run())
            await asyncio.sleep(1.5)  # by now the waits between failed calls would be a second
            back = await asyncio.start_server(lambda r, w: came.set(), *address)
            came, begun = asyncio.Event(), asyncio.get_running_loop().time()
            await came.wait()
            assert asyncio.get_running_loop().time() - begun < DRAIN_BOUND_S
            task.cancel()
            back.close()

    run(test())


def test_a_lost_call_is_given_up_sooner_than_a_silent_agent() -> None:
    """0.5 s for the first, twice as long for each further one, and never beyond what its caller allows."""
    backoff, found = Backoff(random.Random(1)), []
    for _ in range(7):
        backoff.record_failure()
        found.append(round(backoff.call_timeout_s(4.5), 3))
    assert found == [0.5, 1.0, 2.0, 4.0, 4.5, 4.5, 4.5]
    backoff.record_success()
    assert backoff.call_timeout_s(4.5) == 0.5
    assert backoff.call_timeout_s(0.1) == 0.1


def test_what_a_silent_watch_missed_is_asked_for_in_time_though_two_calls_are_lost() -> None:
    """It counts as told 6 s after the silence began; every wait is drawn at its longest."""

    backoff, sum_s = Backoff(MaxRandom()), discovery.WATCH_TIMEOUT_S
    for _ in range(2):
        sum_s += backoff.next_delay_s()
        backoff.record_failure()
        sum_s += backoff.call_timeout_s(discovery.CONNECT_TIMEOUT_S)
    assert sum_s + backoff.next_delay_s() < 6.0
