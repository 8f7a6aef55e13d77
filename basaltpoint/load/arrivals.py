"""Arrivals, drawn ahead from a seed: when, by whom and of which class. Free of I/O.

An open loop: an arrival's time depends on nothing that was answered. A rate that changes is drawn by thinning
(Lewis and Shedler, 1979) for Poisson arrivals, and by the inverse of its integral for constant ones.
"""

from __future__ import annotations

import heapq
import math
import random
from bisect import bisect_right
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import accumulate

from basaltpoint.load.scenario import ArrivalProcess, PlanTable, Scenario, ShapeKind, ShapeTable

INTEGRATION_STEP_S = 0.001  # at which the integral of a rate is taken for constant arrivals


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request: its place in the run, and what it asks. `at_s` counts from the run's start."""

    number: int
    intended_s: float
    plan: str
    class_name: str
    account: str  # the key it comes with
    method: str
    path: str
    body_bytes: int


def rate_factor(shape: ShapeTable, at_s: float, duration_s: float) -> float:
    """What a shape multiplies the rate by."""
    end = shape.to_s or duration_s
    if not shape.from_s <= at_s < end:
        return 1.0
    if shape.kind is ShapeKind.RAMP:
        return 1.0 + (shape.factor - 1.0) * (at_s - shape.from_s) / (end - shape.from_s)
    if shape.kind is ShapeKind.SINE:
        wave = (1.0 - math.cos(math.tau * (at_s - shape.from_s) / shape.period_s)) / 2.0
        return 1.0 + (shape.factor - 1.0) * wave
    return shape.factor if shape.kind in (ShapeKind.STEP, ShapeKind.SURGE) else 1.0


class PlanRate:
    """A plan's requests a second over time."""

    def __init__(self, plan: PlanTable, scenario: Scenario) -> None:
        self._plan = plan
        self._duration_s = scenario.duration_s
        self._shapes = [
            shape
            for shape in scenario.shape
            if shape.plan in ("", plan.name) and shape.kind is not ShapeKind.RUNAWAY
        ]

    def __call__(self, at_s: float) -> float:
        rate = self._plan.rate
        for shape in self._shapes:
            rate *= rate_factor(shape, at_s, self._duration_s)
        return rate

    @property
    def max_rate(self) -> float:
        """A bound that the rate never passes."""
        return self._plan.rate * math.prod(max(1.0, shape.factor) for shape in self._shapes)


def poisson_times(
    rate: Callable[[float], float], max_rate: float, end_s: float, rng: random.Random
) -> Iterator[float]:
    """Times of a Poisson process with a rate that changes and never passes `most`."""
    at = 0.0
    while max_rate > 0:
        at += rng.expovariate(max_rate)
        if at >= end_s:
            return
        if rng.random() * max_rate < rate(at):
            yield at


def constant_times(rate: Callable[[float], float], end_s: float) -> Iterator[float]:
    """Times at which the integral of the rate passes a whole number."""
    integral, number, step = 0.0, 0, 0
    while (at := step * INTEGRATION_STEP_S) < end_s:
        current_rate = rate(at + INTEGRATION_STEP_S / 2)
        next_integral = integral + current_rate * INTEGRATION_STEP_S
        while number + 1 <= next_integral:
            number += 1
            yield min(at + (number - integral) / current_rate, end_s)
        integral, step = next_integral, step + 1


class AccountSampler:
    """Which account of a plan asks: the n-th with a weight of 1/n to the power of the skew."""

    def __init__(self, plan: PlanTable) -> None:
        self._count = plan.accounts
        self._cumulative_weights = (
            list(accumulate((n + 1) ** -plan.skew for n in range(plan.accounts))) if plan.skew > 0 else []
        )

    def draw(self, rng: random.Random) -> int:
        if not self._cumulative_weights:
            return rng.randrange(self._count)
        return min(
            self._count - 1,
            bisect_right(self._cumulative_weights, rng.random() * self._cumulative_weights[-1]),
        )


def account_key(plan: PlanTable, account: int) -> str:
    return plan.key.replace("{plan}", plan.name).replace("{n}", str(account))


def planned_requests(scenario: Scenario) -> Iterator[PlannedRequest]:
    """Every request of a run, in the order of their times. The same scenario gives the same ones."""
    streams: list[Iterator[tuple[float, str, str]]] = []
    for at, plan in enumerate(scenario.plan):
        streams.append(_plan_arrivals(scenario, plan, random.Random(f"{scenario.seed} plan {at}")))
    for at, shape in enumerate(scenario.shape):
        if shape.kind is ShapeKind.RUNAWAY:
            streams.append(_runaway_arrivals(scenario, shape, random.Random(f"{scenario.seed} shape {at}")))
    rng = random.Random(f"{scenario.seed} classes")
    weights = [cls.share for cls in scenario.class_]
    for number, (at_s, plan_name, account) in enumerate(heapq.merge(*streams)):
        cls = rng.choices(scenario.class_, weights)[0]
        path = cls.path.replace("{n}", str(number))
        yield PlannedRequest(number, at_s, plan_name, cls.name, account, cls.method, path, cls.body_bytes)


def _arrival_times(
    scenario: Scenario, rate: Callable[[float], float], max_rate: float, rng: random.Random
) -> Iterator[float]:
    if scenario.arrivals is ArrivalProcess.POISSON:
        return poisson_times(rate, max_rate, scenario.duration_s, rng)
    return constant_times(rate, scenario.duration_s)


def _plan_arrivals(
    scenario: Scenario, plan: PlanTable, rng: random.Random
) -> Iterator[tuple[float, str, str]]:
    rate, accounts = PlanRate(plan, scenario), AccountSampler(plan)
    account_rng = random.Random(rng.random())
    for at in _arrival_times(scenario, rate, rate.max_rate, rng):
        yield at, plan.name, account_key(plan, accounts.draw(account_rng))


def _runaway_arrivals(
    scenario: Scenario, shape: ShapeTable, rng: random.Random
) -> Iterator[tuple[float, str, str]]:
    plan = next(plan for plan in scenario.plan if plan.name == shape.plan)
    end = shape.to_s or scenario.duration_s

    def rate(at: float) -> float:
        return shape.rate if shape.from_s <= at < end else 0.0

    for at in _arrival_times(scenario, rate, shape.rate, rng):
        yield at, plan.name, account_key(plan, shape.account)


def worker_share(requests: Iterator[PlannedRequest], part: int, parts: int) -> Iterator[PlannedRequest]:
    """What one of several processes asks; together they ask everything once."""
    return (one for one in requests if one.number % parts == part)
