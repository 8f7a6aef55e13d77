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

from basaltpoint.load.scenario import Kind, PlanTable, Process, Scenario, ShapeTable

STEP_S = 0.001  # at which the integral of a rate is taken for constant arrivals


@dataclass(frozen=True, slots=True)
class Planned:
    """One request: its place in the run, and what it asks. `at_s` counts from the run's start."""

    number: int
    at_s: float
    plan: str
    cls: str
    account: str  # the key it comes with
    method: str
    path: str
    body_bytes: int


def factor(shape: ShapeTable, at_s: float, duration_s: float) -> float:
    """What a shape multiplies the rate by."""
    end = shape.to_s or duration_s
    if not shape.from_s <= at_s < end:
        return 1.0
    if shape.kind is Kind.RAMP:
        return 1.0 + (shape.factor - 1.0) * (at_s - shape.from_s) / (end - shape.from_s)
    if shape.kind is Kind.SINE:
        wave = (1.0 - math.cos(math.tau * (at_s - shape.from_s) / shape.period_s)) / 2.0
        return 1.0 + (shape.factor - 1.0) * wave
    return shape.factor if shape.kind in (Kind.STEP, Kind.SURGE) else 1.0


class Rate:
    """A plan's requests a second over time."""

    def __init__(self, plan: PlanTable, scenario: Scenario) -> None:
        self._plan = plan
        self._duration_s = scenario.duration_s
        self._shapes = [
            shape
            for shape in scenario.shape
            if shape.plan in ("", plan.name) and shape.kind is not Kind.RUNAWAY
        ]

    def __call__(self, at_s: float) -> float:
        rate = self._plan.rate
        for shape in self._shapes:
            rate *= factor(shape, at_s, self._duration_s)
        return rate

    @property
    def most(self) -> float:
        """A bound that the rate never passes."""
        return self._plan.rate * math.prod(max(1.0, shape.factor) for shape in self._shapes)


def poisson(rate: Callable[[float], float], most: float, end_s: float, rng: random.Random) -> Iterator[float]:
    """Times of a Poisson process with a rate that changes and never passes `most`."""
    at = 0.0
    while most > 0:
        at += rng.expovariate(most)
        if at >= end_s:
            return
        if rng.random() * most < rate(at):
            yield at


def constant(rate: Callable[[float], float], end_s: float) -> Iterator[float]:
    """Times at which the integral of the rate passes a whole number."""
    done, number, step = 0.0, 0, 0
    while (at := step * STEP_S) < end_s:
        here = rate(at + STEP_S / 2)
        grown = done + here * STEP_S
        while number + 1 <= grown:
            number += 1
            yield min(at + (number - done) / here, end_s)
        done, step = grown, step + 1


class Accounts:
    """Which account of a plan asks: the n-th with a weight of 1/n to the power of the skew."""

    def __init__(self, plan: PlanTable) -> None:
        self._count = plan.accounts
        self._sums = (
            list(accumulate((n + 1) ** -plan.skew for n in range(plan.accounts))) if plan.skew > 0 else []
        )

    def draw(self, rng: random.Random) -> int:
        if not self._sums:
            return rng.randrange(self._count)
        return min(self._count - 1, bisect_right(self._sums, rng.random() * self._sums[-1]))


def key_of(plan: PlanTable, account: int) -> str:
    return plan.key.replace("{plan}", plan.name).replace("{n}", str(account))


def planned(scenario: Scenario) -> Iterator[Planned]:
    """Every request of a run, in the order of their times. The same scenario gives the same ones."""
    streams: list[Iterator[tuple[float, str, str]]] = []
    for at, plan in enumerate(scenario.plan):
        streams.append(_plan_stream(scenario, plan, random.Random(f"{scenario.seed} plan {at}")))
    for at, shape in enumerate(scenario.shape):
        if shape.kind is Kind.RUNAWAY:
            streams.append(_runaway(scenario, shape, random.Random(f"{scenario.seed} shape {at}")))
    rng = random.Random(f"{scenario.seed} classes")
    weights = [cls.share for cls in scenario.class_]
    for number, (at_s, plan_name, account) in enumerate(heapq.merge(*streams)):
        cls = rng.choices(scenario.class_, weights)[0]
        path = cls.path.replace("{n}", str(number))
        yield Planned(number, at_s, plan_name, cls.name, account, cls.method, path, cls.body_bytes)


def _times(
    scenario: Scenario, rate: Callable[[float], float], most: float, rng: random.Random
) -> Iterator[float]:
    if scenario.arrivals is Process.POISSON:
        return poisson(rate, most, scenario.duration_s, rng)
    return constant(rate, scenario.duration_s)


def _plan_stream(scenario: Scenario, plan: PlanTable, rng: random.Random) -> Iterator[tuple[float, str, str]]:
    rate, accounts = Rate(plan, scenario), Accounts(plan)
    chance = random.Random(rng.random())
    for at in _times(scenario, rate, rate.most, rng):
        yield at, plan.name, key_of(plan, accounts.draw(chance))


def _runaway(scenario: Scenario, shape: ShapeTable, rng: random.Random) -> Iterator[tuple[float, str, str]]:
    plan = next(plan for plan in scenario.plan if plan.name == shape.plan)
    end = shape.to_s or scenario.duration_s

    def rate(at: float) -> float:
        return shape.rate if shape.from_s <= at < end else 0.0

    for at in _times(scenario, rate, shape.rate, rng):
        yield at, plan.name, key_of(plan, shape.account)


def share_of(requests: Iterator[Planned], part: int, parts: int) -> Iterator[Planned]:
    """What one of several processes asks; together they ask everything once."""
    return (one for one in requests if one.number % parts == part)
