"""Request arrivals, derived from a seed: their time, account and class. Free of I/O.

The loop is open: the time of an arrival does not depend on responses. For a variable rate, Poisson arrivals
are drawn by thinning (Lewis and Shedler, 1979) and constant arrivals by inverting the integral of the rate.
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

INTEGRATION_STEP_S = 0.001  # step of the numerical integral of the rate, for constant arrivals


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request of a run. `intended_s` is its intended start, in seconds from the start of the run."""

    number: int
    intended_s: float
    plan: str
    class_name: str
    account: str  # the API key that it is sent with
    method: str
    path: str
    body_bytes: int


def rate_factor(shape: ShapeTable, at_s: float, duration_s: float) -> float:
    """Returns the factor by which a shape multiplies the rate at a time."""
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
    """Request rate of a plan over time, in requests per second."""

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
        """Upper bound of the rate."""
        return self._plan.rate * math.prod(max(1.0, shape.factor) for shape in self._shapes)


def poisson_times(
    rate: Callable[[float], float], max_rate: float, end_s: float, rng: random.Random
) -> Iterator[float]:
    """Yields the times of a Poisson process with a variable rate of at most `max_rate`."""
    at = 0.0
    while max_rate > 0:
        at += rng.expovariate(max_rate)
        if at >= end_s:
            return
        if rng.random() * max_rate < rate(at):
            yield at


def constant_times(rate: Callable[[float], float], end_s: float) -> Iterator[float]:
    """Yields the times at which the integral of the rate reaches the next integer."""
    integral, number, step = 0.0, 0, 0
    while (at := step * INTEGRATION_STEP_S) < end_s:
        current_rate = rate(at + INTEGRATION_STEP_S / 2)
        next_integral = integral + current_rate * INTEGRATION_STEP_S
        while number + 1 <= next_integral:
            number += 1
            yield min(at + (number - integral) / current_rate, end_s)
        integral, step = next_integral, step + 1


class AccountSampler:
    """Samples accounts of a plan by Zipf's law: the n-th has a weight of 1 / n ** skew."""

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
    """Yields every request of a run in order of time. The same scenario always yields the same requests."""
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
    """Yields the requests of one worker; each request belongs to exactly one worker."""
    return (request for request in requests if request.number % parts == part)
