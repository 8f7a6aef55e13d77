"""Limiters of a fleet of any size notice a drain in time, and their calls to discovery are spread."""

from __future__ import annotations

import asyncio
import random

import pytest
from sockets import agent, backend, host, limiter, listing, run, until

from basaltpoint.membership import discovery
from basaltpoint.membership.backoff import Backoff

DRAIN_BOUND_S = 0.25  # the shortest drain grace that a deployment sets
FLEET_SIZES = [3, 8, 48, 200]


class MaxRandom(random.Random):
    """Draws every delay at its maximum."""

    def uniform(self, a: float, b: float) -> float:
        return b


def failed_call_delays(seed: int, calls: int) -> list[float]:
    """Returns the seconds before each of `calls` calls that all fail."""
    backoff, delays_s = Backoff(random.Random(seed)), []
    for _ in range(calls):
        delays_s.append(backoff.next_delay_s())
        backoff.record_failure()
    return delays_s


@pytest.mark.parametrize("limiters", FLEET_SIZES)
def test_a_broken_watch_is_replaced_within_the_drain_grace_in_a_fleet_of_any_size(limiters: int) -> None:
    """When the fleet took turns, 1,871 requests of herd+mass went to servers with an announced drain."""
    assert max(failed_call_delays(n, 1)[0] for n in range(limiters)) < DRAIN_BOUND_S


@pytest.mark.parametrize("limiters", FLEET_SIZES)
def test_delays_after_repeated_failures_stay_near_one_second(limiters: int) -> None:
    for n in range(limiters):
        delays_s = failed_call_delays(n, 20)
        assert max(delays_s) <= 1.5
        assert sum(delays_s[10:]) / 10 > 0.5  # does not overload an unreachable discovery


@pytest.mark.parametrize("limiters", FLEET_SIZES[1:])
def test_the_reconnections_of_a_fleet_are_spread(limiters: int) -> None:
    first = sorted(failed_call_delays(n, 1)[0] for n in range(limiters))
    later = sorted(sum(failed_call_delays(n, 4)) for n in range(limiters))
    for times, instant in ((first, 0.02), (later, 0.1)):
        burst = max(sum(t <= other < t + instant for other in times) for t in times)
        assert burst <= max(3, 0.3 * limiters)


def test_a_successful_call_resets_the_backoff() -> None:
    backoff = Backoff(random.Random(3))
    for _ in range(8):
        backoff.record_failure()
    backoff.record_success()
    assert backoff.next_delay_s() < DRAIN_BOUND_S


def test_a_start_from_a_known_list_calls_discovery_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """The known list may be old: a drain announced meanwhile counts from the start of the process."""
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
def test_the_first_delay_is_below_the_configured_drain_grace(bound: float) -> None:
    """A deployment may set a drain grace below 250 ms."""
    assert max(Backoff(random.Random(n), bound).next_delay_s() for n in range(200)) < bound


def test_a_returning_agent_is_called_within_the_drain_grace() -> None:
    """The agent's changes count as delivered at once when it returns, however long it was down."""

    async def test() -> None:
        async with agent() as watched:
            address = watched.address
        async with limiter(host("a", "127.0.0.1:1")) as rig:
            rig.watch._address = address
            rig.watch._backoff = Backoff(MaxRandom(), DRAIN_BOUND_S)
            task = asyncio.create_task(rig.watch.run())
            await asyncio.sleep(1.5)  # by now the delays after failed calls would be a second
            back = await asyncio.start_server(lambda r, w: came.set(), *address)
            came, begun = asyncio.Event(), asyncio.get_running_loop().time()
            await came.wait()
            assert asyncio.get_running_loop().time() - begun < DRAIN_BOUND_S
            task.cancel()
            back.close()

    run(test())


def test_a_lost_call_times_out_sooner_than_a_silent_watch() -> None:
    """0.5 s for the first call, doubled for each further one, and never above the caller's limit."""
    backoff, timeouts_s = Backoff(random.Random(1)), []
    for _ in range(7):
        backoff.record_failure()
        timeouts_s.append(round(backoff.call_timeout_s(4.5), 3))
    assert timeouts_s == [0.5, 1.0, 2.0, 4.0, 4.5, 4.5, 4.5]
    backoff.record_success()
    assert backoff.call_timeout_s(4.5) == 0.5
    assert backoff.call_timeout_s(0.1) == 0.1


def test_a_silent_watch_is_replaced_in_time_although_two_calls_are_lost() -> None:
    """Its changes count as delivered 6 s after the silence began; every delay is at its maximum."""

    backoff, sum_s = Backoff(MaxRandom()), discovery.WATCH_TIMEOUT_S
    for _ in range(2):
        sum_s += backoff.next_delay_s()
        backoff.record_failure()
        sum_s += backoff.call_timeout_s(discovery.CONNECT_TIMEOUT_S)
    assert sum_s + backoff.next_delay_s() < 6.0
