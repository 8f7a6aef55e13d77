"""Limiters, servers and a meter in simulated time: the shipped gateways before modelled servers.

A server shares its cores evenly among what it holds. The meter adds up what all limiters sent on for a
customer in each second, and answers tell it `lag_ms` after that second has ended. One seed, one history.
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

PERIOD_MS = 1000.0


@dataclass
class Fleet:
    """What the world is like; times in ms, rates a second."""

    seed: int = 1
    limiters: int = 3
    servers: int = 6
    cores: int = 2
    work_ms: float = 100.0
    rate: float = 60.0  # of tries, all customers together
    customers: int = 12
    plan: api.Plan = field(default_factory=lambda: api.Plan(rate=15, burst=30, name="p"))
    unsafe: float = 0.3  # of the tries
    cancels: bool = True
    lag_ms: float = 800.0
    slow: Callable[[float, int], float] = lambda now, ident: 1.0  # how many times longer work takes
    asks: Callable[[float, int], float] = lambda now, customer: 1.0  # a customer's weight
    door: Callable[[float, int, random.Random], int] | None = None
    told: Callable[[float], bool] = lambda now: True  # whether answers tell the meter
    true_units: Callable[[int, float], float] | None = None  # by customer and guess, where settled later
    restarts: dict[float, int] = field(default_factory=dict)


class Play:
    """One history of a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.rng = fleet, random.Random(fleet.seed)
        classes = (
            api.RequestClass(1000, 4000, api.Effect.SAFE, api.DedupScope.ALL, 0, 0.0, worth=3.0),
            api.RequestClass(1200, 4000, api.Effect.UNSAFE, api.DedupScope.ALL, 0, 0.0, worth=5.0),
        )
        self.settings = replace(
            BASE,
            limiter_count=fleet.limiters,
            classes=classes,
            plans=(fleet.plan,),
            post_paid=fleet.true_units is not None,
            max_request_units=4.0,
        )
        self.heap: list[tuple[float, int, Callable[[float], None]]] = []
        self.order = self.requests = 0
        self.jobs: list[dict[tuple[int, int], list[Any]]] = [{} for _ in range(fleet.servers)]
        self.at = [0.0] * fleet.servers
        self.version = [0] * fleet.servers
        self.gateways = [self.born(n, 0.0) for n in range(fleet.limiters)]
        self.owner: dict[
            int, tuple[DecisionModule, int, int, float]
        ] = {}  # limiter, class, customer, arrived
        self.attempts: Counter[int] = Counter()
        self.usage: defaultdict[tuple[int, int], float] = defaultdict(float)  # of (customer, period)
        self.ends: list[tuple[float, str]] = []  # of each try: when it came, how it ended
        self.timed_out: list[float] = []
        self.sent: list[tuple[float, int, float]] = []  # first sends: when, customer, units
        self.most_out = 0

    def born(self, number: int, now: float) -> DecisionModule:
        gateway = DecisionModule(
            replace(self.settings, limiter_index=number), seed=self.fleet.seed * 31 + number + int(now)
        )
        ready = tuple(server(n) for n in range(self.fleet.servers))
        gateway.handle(now, api.ServerList(api.ListKind.FULL, ready))
        return gateway

    def plan(self, when: float, what: Callable[[float], None]) -> None:
        self.order += 1
        heapq.heappush(self.heap, (when, self.order, what))

    def run(self, end: float) -> Play:
        self.plan(self.rng.expovariate(self.fleet.rate / 1000), self.arrive)
        for when, number in self.fleet.restarts.items():
            self.plan(when, lambda now, number=number: self.restart(now, number))  # type: ignore[misc]
        while self.heap and self.heap[0][0] <= end:
            now, _, what = heapq.heappop(self.heap)
            what(now)
        return self

    def restart(self, now: float, number: int) -> None:
        old, self.gateways[number] = self.gateways[number], self.born(number, now)
        for ident in [ident for ident, known in self.owner.items() if known[0] is old]:
            del self.owner[ident]

    # --- Tries --------------------------------------------------------------------------------------
    def arrive(self, now: float) -> None:
        fleet, rng = self.fleet, self.rng
        self.plan(now + rng.expovariate(fleet.rate / 1000), self.arrive)
        weights = [fleet.asks(now, n) for n in range(fleet.customers)]
        customer = rng.choices(range(fleet.customers), weights)[0]
        doors = min(3, fleet.limiters)
        door = fleet.door(now, customer, rng) if fleet.door else (customer + rng.randrange(doors))
        gateway = self.gateways[door % fleet.limiters]
        self.requests += 1
        cls = 1 if rng.random() < fleet.unsafe else 0
        self.owner[self.requests] = gateway, cls, customer, now
        event = api.Arrival(self.requests, cls, 0, customer, 1.0, doors, now + 4000.0)
        self.act(now, gateway, gateway.handle(now, event))

    def act(self, now: float, gateway: DecisionModule, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self.send(now, action)
            elif isinstance(action, api.Refuse | api.Fail):
                arrived = self.owner.pop(action.request)[3]
                self.ends.append((arrived, type(action).__name__))

    # --- Servers ------------------------------------------------------------------------------------
    def send(self, now: float, action: api.Send) -> None:
        _, _, customer, _ = self.owner[action.request]
        number = self.attempts[action.request]
        self.attempts[action.request] += 1
        if not number:
            self.usage[customer, int(now // PERIOD_MS)] += 1.0
            self.sent.append((now, customer, 1.0))
        self.advance(now, action.server)
        work = self.rng.expovariate(1 / self.fleet.work_ms)
        self.jobs[action.server][action.request, number] = [work, now, True]
        self.most_out = max(self.most_out, sum(len(jobs) for jobs in self.jobs))
        self.next_end(now, action.server)
        key = (action.request, number)
        self.plan(action.until_ms, lambda later: self.time_out(later, action.server, key))

    def advance(self, now: float, ident: int) -> None:
        jobs = self.jobs[ident]
        if jobs:
            each = min(1.0, self.fleet.cores / len(jobs)) / self.fleet.slow(self.at[ident], ident)
            for job in jobs.values():
                job[0] -= each * (now - self.at[ident])
        self.at[ident] = now

    def next_end(self, now: float, ident: int) -> None:
        self.version[ident] += 1
        if not (jobs := self.jobs[ident]):
            return
        each = min(1.0, self.fleet.cores / len(jobs)) / self.fleet.slow(now, ident)
        wait = max(0.0, min(job[0] for job in jobs.values()) / each)
        version = self.version[ident]
        # A slow time may begin or end meanwhile: the server is looked at now and then.
        self.plan(now + min(wait, 50.0), lambda later: self.look(later, ident, version))

    def look(self, now: float, ident: int, version: int) -> None:
        if version != self.version[ident]:
            return
        self.advance(now, ident)
        for key in [key for key, job in self.jobs[ident].items() if job[0] <= 1e-6]:
            _, sent, waited = self.jobs[ident].pop(key)
            if waited:
                self.ended(now, ident, key, api.Status.OK, now - sent)
        self.next_end(now, ident)

    def time_out(self, now: float, ident: int, key: tuple[int, int]) -> None:
        job = self.jobs[ident].get(key)
        if job is None or not job[2]:
            return
        self.advance(now, ident)
        job[2] = False
        if self.fleet.cancels:
            del self.jobs[ident][key]
        self.next_end(now, ident)
        self.timed_out.append(now)
        self.ended(now, ident, key, api.Status.TIMEOUT, now - job[1])

    def ended(self, now: float, ident: int, key: tuple[int, int], status: api.Status, took: float) -> None:
        if (known := self.owner.get(key[0])) is None:
            return  # its limiter was restarted
        gateway, cls, customer, arrived = known
        good = status is api.Status.OK
        units = self.fleet.true_units(customer, 1.0) if self.fleet.true_units and good else 0.0
        if good:
            late = now - arrived > self.settings.classes[cls].aim_ms
            self.ends.append((arrived, "late" if late else "served"))
            del self.owner[key[0]]
            if units:
                self.usage[customer, int(now // PERIOD_MS)] += units - 1.0
        usage = self.metered(now, customer) if self.fleet.told(now) and good else None
        outcome = api.Outcome(key[0], key[1], ident, status, took, good, usage, units)
        self.act(now, gateway, gateway.handle(now, outcome))

    def metered(self, now: float, customer: int) -> int:
        period = int((now - self.fleet.lag_ms) // PERIOD_MS) - 1
        rate = self.fleet.plan.rate * PERIOD_MS / 1000
        return max(0, round(100 * self.usage.get((customer, period), 0.0) / rate))

    # --- What came of it ------------------------------------------------------------------------------
    def share(self, start: float, end: float, how: str = "served") -> float:
        """Of the tries that came in that time and have ended, those that ended so."""
        ends = [kind for at, kind in self.ends if start <= at < end]
        return ends.count(how) / max(1, len(ends))

    def beyond(self, customer: int) -> float:
        """Units first sent on beyond the customer's store, as a part of what was sent."""
        level, at, over, total = self.fleet.plan.burst, 0.0, 0.0, 0.0
        for now, ident, units in self.sent:
            if ident == customer:
                level = min(self.fleet.plan.burst, level + self.fleet.plan.rate * (now - at) / 1000)
                at, total = now, total + units
                if level >= units:
                    level -= units
                else:
                    over += units
        return over / max(1.0, total)
