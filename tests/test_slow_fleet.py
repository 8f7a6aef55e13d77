"""Simulated runs of limiters and servers: slow servers, late meters, moving customers, restarts.

Seeds are fixed; the bounds are about a tenth below the measured values.
"""

from __future__ import annotations

import pytest
from fleetsim import FleetScenario, FleetSimulation

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
    fleet = FleetScenario(
        seed=3,
        requests_per_s=OFFERED,
        timeouts_cancel_work=cancels,
        slowdown=slow_down((start, end), times=times),
    )
    play = FleetSimulation(fleet).run(end + 10_000)
    feasible = min(1.0, CAPACITY / times / OFFERED)
    assert play.outcome_fraction(5000, start) > 0.99
    assert play.outcome_fraction(start, end) > (0.85 if cancels else 0.68) * feasible
    assert play.outcome_fraction(end + 1000, end + 3000) > 0.97  # recovers at once
    assert play.outcome_fraction(end + 3000, end + 9000) > 0.99
    assert play.max_attempts_in_progress < 85  # with twelve cores; without caps it was 104


@pytest.mark.parametrize("cancels", [True, False], ids=["cancelled", "runs on"])
def test_a_second_slow_down_right_after_the_first_is_no_worse(cancels: bool) -> None:
    slow = slow_down((8_000, 14_000), (16_000, 22_000), times=2.5)
    play = FleetSimulation(
        FleetScenario(seed=5, requests_per_s=OFFERED, timeouts_cancel_work=cancels, slowdown=slow)
    ).run(30_000)
    first, second = play.outcome_fraction(8_000, 14_000), play.outcome_fraction(16_000, 22_000)
    assert first > 0.36 and second > 0.8 * first
    assert play.outcome_fraction(14_500, 16_000) > 0.95 and play.outcome_fraction(23_000, 29_000) > 0.97


@pytest.mark.parametrize("cancels", [True, False], ids=["cancelled", "runs on"])
def test_half_of_the_servers_slow_is_not_an_overload(cancels: bool) -> None:
    """The other half can serve all requests: nothing is to be refused for load."""
    slow = slow_down((8_000, 20_000), times=3.0, servers=range(3))
    play = FleetSimulation(
        FleetScenario(seed=5, requests_per_s=60.0, timeouts_cancel_work=cancels, slowdown=slow)
    ).run(28_000)
    assert play.outcome_fraction(8_000, 20_000) > 0.95
    assert play.outcome_fraction(8_000, 20_000, "Refuse") < 0.02
    assert play.outcome_fraction(21_000, 27_000) > 0.99


def test_missing_readings_neither_stop_customers_nor_disable_the_quota() -> None:
    plan = api.Plan(rate=5, burst=10, name="p")
    fleet = FleetScenario(
        seed=6,
        requests_per_s=48.0,
        plan=plan,
        customer_weight=lambda now, customer: 4.0 if customer == 0 else 1.0,  # 2.6 times its quota
        responses_carry_usage=lambda now: not 8_000 <= now < 13_000,
    )
    play = FleetSimulation(fleet).run(25_000)
    assert play.outcome_fraction(8_000, 13_000) > 0.75 and play.outcome_fraction(13_000, 20_000) > 0.75
    used = (
        sum(units for now, customer, units in play.first_attempts if customer == 0 and now >= 8_000)
        / 17
        / plan.rate
    )
    assert 0.85 < used < 1.15
    assert play.overdraft_fraction(0) < 0.1
    assert all(play.overdraft_fraction(customer) < 0.01 for customer in range(1, 12))


def test_a_customer_that_moves_to_another_limiter_is_served_there_within_seconds() -> None:
    plan = api.Plan(rate=8, burst=12, name="p")

    def door(now: float, customer: int, rng) -> int:
        return (0 if now < 10_000 else 1) if customer == 0 else customer + rng.randrange(3)

    fleet = FleetScenario(
        seed=6,
        requests_per_s=48.0,
        plan=plan,
        choose_limiter=door,
        customer_weight=lambda now, customer: 1.5 if customer == 0 else 1.0,  # 0.72 of its quota
    )
    play = FleetSimulation(fleet).run(25_000)

    def used(start: float, end: float) -> float:
        units = sum(
            units for now, customer, units in play.first_attempts if customer == 0 and start <= now < end
        )
        return units / (end - start) * 1000 / plan.rate

    assert used(3_000, 10_000) > 0.6
    assert used(10_000, 13_000) > 0.4  # of 0.72
    assert used(13_000, 24_000) > 0.6
    assert play.overdraft_fraction(0) == 0.0


def test_units_settled_at_four_times_the_estimate_stay_within_the_quota() -> None:
    plan = api.Plan(rate=8, burst=16, name="p")
    fleet = FleetScenario(
        seed=6,
        requests_per_s=36.0,
        plan=plan,
        true_units=lambda customer, estimate: 4.0 * estimate if customer == 0 else estimate,
    )
    play = FleetSimulation(fleet).run(25_000)
    metered = (
        sum(units for (customer, period), units in play.usage.items() if customer == 0 and period >= 4) / 21
    )
    assert 0.8 * plan.rate < metered < 1.5 * plan.rate
    assert play.outcome_fraction(4_000, 25_000) > 0.95


def test_a_limiter_restarted_during_a_slow_down_recovers_within_a_second() -> None:
    slow = slow_down((8_000, 20_000), times=2.0)
    play = FleetSimulation(
        FleetScenario(seed=7, requests_per_s=OFFERED, slowdown=slow, limiter_restarts={12_000.0: 1})
    ).run(28_000)
    assert play.outcome_fraction(13_000, 20_000) > 0.6
    assert play.outcome_fraction(21_000, 27_000) > 0.98
    assert play.max_attempts_in_progress < 85
