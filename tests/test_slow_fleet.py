"""Simulated runs of limiters and servers: slow servers, late meters, moving customers, restarts.

Seeds are fixed; the bounds are about a tenth below the measured values.
"""

from __future__ import annotations

import pytest
from fleetsim import Fleet, Play

from basaltpoint import interface as api

CAPACITY = 120.0  # requests/s: six servers of two cores, 100 ms per request
OFFERED = 84.0  # requests/s


def slow_down(*spans: tuple[float, float], times: float, servers: range = range(6)):
    """Returns a function by which work takes `times` as long on `servers` within the spans (ms)."""

    def slow(now: float, ident: int) -> float:
        return times if ident in servers and any(a <= now < b for a, b in spans) else 1.0

    return slow


@pytest.mark.parametrize("cancels", [True, False], ids=["cancelled", "runs on"])
@pytest.mark.parametrize(
    ("times", "duration_ms"), [(1.5, 15_000), (2.0, 3_000), (2.0, 15_000), (3.0, 15_000)]
)
def test_a_slow_back_end_serves_most_of_its_capacity_and_recovers_at_once(
    times: float, duration_ms: float, cancels: bool
) -> None:
    """Short slow-downs count from their start, when all outstanding attempts become slow at once."""
    start, end = 10_000.0, 10_000.0 + duration_ms
    fleet = Fleet(seed=3, rate=OFFERED, cancels=cancels, slow=slow_down((start, end), times=times))
    play = Play(fleet).run(end + 10_000)
    feasible = min(1.0, CAPACITY / times / OFFERED)
    assert play.share(5000, start) > 0.99
    assert play.share(start, end) > (0.85 if cancels else 0.68) * feasible
    assert play.share(end + 1000, end + 3000) > 0.97  # recovers at once
    assert play.share(end + 3000, end + 9000) > 0.99
    assert play.most_out < 85  # with twelve cores; without caps it was 104


@pytest.mark.parametrize("cancels", [True, False], ids=["cancelled", "runs on"])
def test_a_second_slow_down_right_after_the_first_is_no_worse(cancels: bool) -> None:
    slow = slow_down((8_000, 14_000), (16_000, 22_000), times=2.5)
    play = Play(Fleet(seed=5, rate=OFFERED, cancels=cancels, slow=slow)).run(30_000)
    first, second = play.share(8_000, 14_000), play.share(16_000, 22_000)
    assert first > 0.36 and second > 0.8 * first
    assert play.share(14_500, 16_000) > 0.95 and play.share(23_000, 29_000) > 0.97


@pytest.mark.parametrize("cancels", [True, False], ids=["cancelled", "runs on"])
def test_half_of_the_servers_slow_is_not_an_overload(cancels: bool) -> None:
    """The other half can serve all requests: nothing is to be refused for load."""
    slow = slow_down((8_000, 20_000), times=3.0, servers=range(3))
    play = Play(Fleet(seed=5, rate=60.0, cancels=cancels, slow=slow)).run(28_000)
    assert play.share(8_000, 20_000) > 0.95
    assert play.share(8_000, 20_000, "Refuse") < 0.02
    assert play.share(21_000, 27_000) > 0.99


def test_missing_readings_neither_stop_customers_nor_disable_the_quota() -> None:
    plan = api.Plan(rate=5, burst=10, name="p")
    fleet = Fleet(
        seed=6,
        rate=48.0,
        plan=plan,
        asks=lambda now, customer: 4.0 if customer == 0 else 1.0,  # 2.6 times its quota
        told=lambda now: not 8_000 <= now < 13_000,
    )
    play = Play(fleet).run(25_000)
    assert play.share(8_000, 13_000) > 0.75 and play.share(13_000, 20_000) > 0.75
    used = sum(units for now, customer, units in play.sent if customer == 0 and now >= 8_000) / 17 / plan.rate
    assert 0.85 < used < 1.15
    assert play.beyond(0) < 0.1
    assert all(play.beyond(customer) < 0.01 for customer in range(1, 12))


def test_a_customer_that_moves_to_another_limiter_is_served_there_within_seconds() -> None:
    plan = api.Plan(rate=8, burst=12, name="p")

    def door(now: float, customer: int, rng) -> int:
        return (0 if now < 10_000 else 1) if customer == 0 else customer + rng.randrange(3)

    fleet = Fleet(
        seed=6,
        rate=48.0,
        plan=plan,
        door=door,
        asks=lambda now, customer: 1.5 if customer == 0 else 1.0,  # 0.72 of its quota
    )
    play = Play(fleet).run(25_000)

    def used(start: float, end: float) -> float:
        units = sum(units for now, customer, units in play.sent if customer == 0 and start <= now < end)
        return units / (end - start) * 1000 / plan.rate

    assert used(3_000, 10_000) > 0.6
    assert used(10_000, 13_000) > 0.4  # of 0.72
    assert used(13_000, 24_000) > 0.6
    assert play.beyond(0) == 0.0


def test_units_settled_at_four_times_the_estimate_stay_within_the_quota() -> None:
    plan = api.Plan(rate=8, burst=16, name="p")
    fleet = Fleet(
        seed=6,
        rate=36.0,
        plan=plan,
        true_units=lambda customer, estimate: 4.0 * estimate if customer == 0 else estimate,
    )
    play = Play(fleet).run(25_000)
    metered = (
        sum(units for (customer, period), units in play.usage.items() if customer == 0 and period >= 4) / 21
    )
    assert 0.8 * plan.rate < metered < 1.5 * plan.rate
    assert play.share(4_000, 25_000) > 0.95


def test_a_limiter_restarted_during_a_slow_down_recovers_within_a_second() -> None:
    slow = slow_down((8_000, 20_000), times=2.0)
    play = Play(Fleet(seed=7, rate=OFFERED, slow=slow, restarts={12_000.0: 1})).run(28_000)
    assert play.share(13_000, 20_000) > 0.6
    assert play.share(21_000, 27_000) > 0.98
    assert play.most_out < 85
