"""Limiters, servers and a meter in simulated time: the shipped decision modules with modelled servers.

A server shares its cores evenly among its requests. The meter adds up what all limiters sent for a customer
in each second, and responses carry this usage `metering_lag_ms` after the end of that second. A run is
determined by its seed.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from helpers import BASE, server

from basaltpoint import interface as api
from basaltpoint.policy import DecisionModule

METERING_PERIOD_MS = 1000.0


@dataclass
class FleetScenario:
    """Parameters of a simulation."""

    seed: int = 1
    limiters: int = 3
    servers: int = 6
    cores: int = 2
    mean_work_ms: float = 100.0
    requests_per_s: float = 60.0  # of all customers together
    customers: int = 12
    plan: api.Plan = field(default_factory=lambda: api.Plan(rate=15, burst=30, name="p"))
    unsafe_fraction: float = 0.3  # of the requests
    timeouts_cancel_work: bool = True
    metering_lag_ms: float = 800.0
    slowdown: Callable[[float, int], float] = lambda now, ident: 1.0  # factor on work, by time and server
    customer_weight: Callable[[float, int], float] = lambda now, customer: 1.0  # share of requests
    choose_limiter: Callable[[float, int, random.Random], int] | None = None
    responses_carry_usage: Callable[[float], bool] = lambda now: True  # whether responses carry usage
    true_units: Callable[[int, float], float] | None = None  # by customer and estimate, if post-paid
    limiter_restarts: dict[float, int] = field(default_factory=dict)


class FleetSimulation:
    """One run of a fleet."""

    def __init__(self, scenario: FleetScenario) -> None:
        self.scenario, self.rng = scenario, random.Random(scenario.seed)
        classes = (
            api.RequestClass(1000, 4000, api.Effect.SAFE, api.DedupScope.ALL, 0, 0.0, worth=3.0),
            api.RequestClass(1200, 4000, api.Effect.UNSAFE, api.DedupScope.ALL, 0, 0.0, worth=5.0),
        )
        self.settings = replace(
            BASE,
            limiter_count=scenario.limiters,
            classes=classes,
            plans=(scenario.plan,),
            post_paid=scenario.true_units is not None,
            max_request_units=4.0,
        )
        self.heap: list[tuple[float, int, Callable[[float], None]]] = []
        self.scheduled_events = self.requests = 0
        self.jobs: list[dict[tuple[int, int], list[Any]]] = [{} for _ in range(scenario.servers)]
        self.updated_ms = [0.0] * scenario.servers
        self.server_versions = [0] * scenario.servers
        self.limiters = [self.make_limiter(n, 0.0) for n in range(scenario.limiters)]
        # By request: limiter, class, customer, arrival.
        self.pending_requests: dict[int, tuple[DecisionModule, int, int, float]] = {}
        self.attempts: Counter[int] = Counter()
        self.usage: defaultdict[tuple[int, int], float] = defaultdict(float)  # of (customer, period)
        self.outcomes: list[tuple[float, str]] = []  # of each request: arrival and outcome
        self.timeouts_ms: list[float] = []
        self.first_attempts: list[tuple[float, int, float]] = []  # time, customer, units
        self.max_attempts_in_progress = 0

    def make_limiter(self, number: int, now: float) -> DecisionModule:
        limiter = DecisionModule(
            replace(self.settings, limiter_index=number), seed=self.scenario.seed * 31 + number + int(now)
        )
        ready = tuple(server(n) for n in range(self.scenario.servers))
        limiter.handle(now, api.ServerList(api.ListKind.FULL, ready))
        return limiter

    def schedule(self, when: float, event: Callable[[float], None]) -> None:
        self.scheduled_events += 1
        heapq.heappush(self.heap, (when, self.scheduled_events, event))

    def run(self, end: float) -> FleetSimulation:
        self.schedule(self.rng.expovariate(self.scenario.requests_per_s / 1000), self.request_arrives)
        for when, number in self.scenario.limiter_restarts.items():
            self.schedule(when, lambda now, number=number: self.restart_limiter(now, number))  # type: ignore[misc]
        while self.heap and self.heap[0][0] <= end:
            now, _, event = heapq.heappop(self.heap)
            event(now)
        return self

    def restart_limiter(self, now: float, number: int) -> None:
        old, self.limiters[number] = self.limiters[number], self.make_limiter(number, now)
        for ident in [ident for ident, known in self.pending_requests.items() if known[0] is old]:
            del self.pending_requests[ident]

    # --- Requests -----------------------------------------------------------------------------------
    def request_arrives(self, now: float) -> None:
        scenario, rng = self.scenario, self.rng
        self.schedule(now + rng.expovariate(scenario.requests_per_s / 1000), self.request_arrives)
        weights = [scenario.customer_weight(now, n) for n in range(scenario.customers)]
        customer = rng.choices(range(scenario.customers), weights)[0]
        limiters_used = min(3, scenario.limiters)
        limiter_index = (
            scenario.choose_limiter(now, customer, rng)
            if scenario.choose_limiter
            else (customer + rng.randrange(limiters_used))
        )
        limiter = self.limiters[limiter_index % scenario.limiters]
        self.requests += 1
        cls = 1 if rng.random() < scenario.unsafe_fraction else 0
        self.pending_requests[self.requests] = limiter, cls, customer, now
        event = api.Arrival(self.requests, cls, 0, customer, 1.0, limiters_used, now + 4000.0)
        self.perform(now, limiter, limiter.handle(now, event))

    def perform(self, now: float, limiter: DecisionModule, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self.send_attempt(now, action)
            elif isinstance(action, api.Refuse | api.Fail):
                arrived = self.pending_requests.pop(action.request)[3]
                self.outcomes.append((arrived, type(action).__name__))

    # --- Servers ------------------------------------------------------------------------------------
    def send_attempt(self, now: float, action: api.Send) -> None:
        _, _, customer, _ = self.pending_requests[action.request]
        number = self.attempts[action.request]
        self.attempts[action.request] += 1
        if not number:
            self.usage[customer, int(now // METERING_PERIOD_MS)] += 1.0
            self.first_attempts.append((now, customer, 1.0))
        self.advance_server(now, action.server)
        work = self.rng.expovariate(1 / self.scenario.mean_work_ms)
        self.jobs[action.server][action.request, number] = [work, now, True]
        self.max_attempts_in_progress = max(
            self.max_attempts_in_progress, sum(len(jobs) for jobs in self.jobs)
        )
        self.schedule_completion(now, action.server)
        key = (action.request, number)
        self.schedule(action.until_ms, lambda later: self.attempt_times_out(later, action.server, key))

    def advance_server(self, now: float, ident: int) -> None:
        jobs = self.jobs[ident]
        if jobs:
            each = min(1.0, self.scenario.cores / len(jobs)) / self.scenario.slowdown(
                self.updated_ms[ident], ident
            )
            for job in jobs.values():
                job[0] -= each * (now - self.updated_ms[ident])
        self.updated_ms[ident] = now

    def schedule_completion(self, now: float, ident: int) -> None:
        self.server_versions[ident] += 1
        if not (jobs := self.jobs[ident]):
            return
        each = min(1.0, self.scenario.cores / len(jobs)) / self.scenario.slowdown(now, ident)
        wait = max(0.0, min(job[0] for job in jobs.values()) / each)
        version = self.server_versions[ident]
        # The slowdown may change meanwhile, so the server is checked every 50 ms.
        self.schedule(now + min(wait, 50.0), lambda later: self.check_completions(later, ident, version))

    def check_completions(self, now: float, ident: int, version: int) -> None:
        if version != self.server_versions[ident]:
            return
        self.advance_server(now, ident)
        for key in [key for key, job in self.jobs[ident].items() if job[0] <= 1e-6]:
            _, sent, waited = self.jobs[ident].pop(key)
            if waited:
                self.attempt_ended(now, ident, key, api.Status.OK, now - sent)
        self.schedule_completion(now, ident)

    def attempt_times_out(self, now: float, ident: int, key: tuple[int, int]) -> None:
        job = self.jobs[ident].get(key)
        if job is None or not job[2]:
            return
        self.advance_server(now, ident)
        job[2] = False
        if self.scenario.timeouts_cancel_work:
            del self.jobs[ident][key]
        self.schedule_completion(now, ident)
        self.timeouts_ms.append(now)
        self.attempt_ended(now, ident, key, api.Status.TIMEOUT, now - job[1])

    def attempt_ended(
        self, now: float, ident: int, key: tuple[int, int], status: api.Status, took_ms: float
    ) -> None:
        if (known := self.pending_requests.get(key[0])) is None:
            return  # its limiter was restarted
        limiter, cls, customer, arrived = known
        good = status is api.Status.OK
        units = self.scenario.true_units(customer, 1.0) if self.scenario.true_units and good else 0.0
        if good:
            late = now - arrived > self.settings.classes[cls].aim_ms
            self.outcomes.append((arrived, "late" if late else "served"))
            del self.pending_requests[key[0]]
            if units:
                self.usage[customer, int(now // METERING_PERIOD_MS)] += units - 1.0
        usage = (
            self.metered_usage(now, customer) if self.scenario.responses_carry_usage(now) and good else None
        )
        outcome = api.Outcome(key[0], key[1], ident, status, took_ms, good, usage, units)
        self.perform(now, limiter, limiter.handle(now, outcome))

    def metered_usage(self, now: float, customer: int) -> int:
        period = int((now - self.scenario.metering_lag_ms) // METERING_PERIOD_MS) - 1
        rate = self.scenario.plan.rate * METERING_PERIOD_MS / 1000
        return max(0, round(100 * self.usage.get((customer, period), 0.0) / rate))

    # --- Results ----------------------------------------------------------------------------------------
    def outcome_fraction(self, start: float, end: float, how: str = "served") -> float:
        """Returns the fraction with the given outcome of the requests that arrived in an interval."""
        ends = [kind for at, kind in self.outcomes if start <= at < end]
        return ends.count(how) / max(1, len(ends))

    def overdraft_fraction(self, customer: int) -> float:
        """Returns the fraction of the units of first attempts that exceeded the customer's quota bucket."""
        level, at, over, total = self.scenario.plan.burst, 0.0, 0.0, 0.0
        for now, ident, units in self.first_attempts:
            if ident == customer:
                level = min(self.scenario.plan.burst, level + self.scenario.plan.rate * (now - at) / 1000)
                at, total = now, total + units
                if level >= units:
                    level -= units
                else:
                    over += units
        return over / max(1.0, total)
