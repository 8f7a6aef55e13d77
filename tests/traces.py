"""Seeded event streams for the decision module; its actions are recorded as text to compare.

The stream contains the outcomes of the module's own attempts, so a changed decision changes all later events.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from types import ModuleType
from typing import Any, Protocol

STEP_MS = 4.0  # mean time between arrivals: about 250 a second
SERVERS = 12
CUSTOMERS = 40
STATUSES = (("ok", 80), ("error", 5), ("full", 5), ("timeout", 4), ("connect_failed", 3), ("reset", 3))


class EventHandler(Protocol):
    def handle(self, now: float, event: Any) -> list[Any]: ...


def random_settings(api: ModuleType, rng: random.Random) -> Any:
    """Returns settings that depend on the seed: effects, plans, meter, limits on attempts."""
    effects = (api.Effect.SAFE, api.Effect.KEYED, api.Effect.UNSAFE)
    classes = tuple(
        api.RequestClass(
            aim_ms=rng.choice((300.0, 400.0, 900.0)),
            deadline_ms=rng.choice((1000.0, 2500.0)),
            effect=effects[number % 3],
            dedup_scope=rng.choice((api.DedupScope.ALL, api.DedupScope.ZONE, api.DedupScope.CELL)),
            dedup_window_ms=rng.choice((500.0, 3000.0)),
            late_worth=rng.choice((0.0, 0.0, 0.8)),
            stream=number == 3,
            name=f"c{number}",
            worth=rng.choice((1.0, 3.0, 5.0)),
        )
        for number in range(4)
    )
    plans = tuple(
        api.Plan(
            rate=rng.choice((0.0, 2.0, 8.0, 30.0)),
            burst=rng.choice((4.0, 20.0)),
            max_parallel=rng.choice((0, 0, 5)),
            ceiling_rate=rng.choice((0.0, 10.0)),
            ceiling_depth=10.0,
            name=f"p{number}",
        )
        for number in range(4)
    )
    return api.Settings(
        limiter_index=0,
        limiter_count=3,
        zone=0,
        classes=classes,
        plans=plans,
        cold_start_fraction=0.2,
        cold_duration_ms=5000.0,
        overload_crash_ratio=2.0,
        overload_crash_ms=1000.0,
        drain_grace_ms=250.0,
        discovery_confirm_ms=0.0,
        meter_period_ms=rng.choice((0.0, 1000.0)),
        post_paid=False,
        max_attempts=rng.choice((1, 3, 4)),
        may_hedge=False,
        may_cancel=rng.random() < 0.7,
        may_probe=False,
        max_retry_after_ms=rng.choice((0.0, 500.0)),
        must_subscribe=rng.random() < 0.3,
        report_fields=("inflight", "util"),
    )


class EventStreamDriver:
    """Sends events to one decision module; each attempt gets a random outcome later."""

    def __init__(
        self, api: ModuleType, decision_module: EventHandler, settings: Any, rng: random.Random
    ) -> None:
        self.api, self.decision_module, self.settings, self.rng = api, decision_module, settings, rng
        self.due: list[tuple[float, int, Any]] = []
        self.sent: dict[tuple[int, int], Any] = {}
        self.attempt_counts: dict[int, int] = {}
        self.lines: list[str] = []
        self.last_order = 0
        self.started_ms = dict.fromkeys(range(SERVERS), 0.0)

    def play(self, steps: int) -> list[str]:
        now = 1e6
        self.send_list(now, self.api.ListKind.FULL, range(SERVERS))
        for request in range(1, steps + 1):
            now += self.rng.expovariate(1 / STEP_MS)
            while self.due and self.due[0][0] <= now:
                when, _, event = heapq.heappop(self.due)
                self.handle_event(when, event)
            if self.rng.random() < 0.003:
                self.change_servers(now)
            cls = self.rng.randrange(4)
            wait = self.settings.classes[cls].deadline_ms * self.rng.choice((1.0, 1.0, 0.5, 0.2))
            customer = min(self.rng.randrange(CUSTOMERS), self.rng.randrange(CUSTOMERS))
            units = self.rng.choice((1.0, 1.0, 3.0))
            customer_limiters = 1 + customer % 3
            self.handle_event(
                now,
                self.api.Arrival(request, cls, customer % 4, customer, units, customer_limiters, now + wait),
            )
            if self.rng.random() < 0.01:
                self.schedule(now + self.rng.uniform(0, 300), self.api.Abandoned(request))
            if self.rng.random() < 0.01:
                self.handle_event(now, self.api.TimerFired(7))
        return self.lines

    def schedule(self, when: float, event: Any) -> None:
        self.last_order += 1
        heapq.heappush(self.due, (when, self.last_order, event))

    def change_servers(self, now: float) -> None:
        number = self.rng.randrange(SERVERS)
        if self.rng.random() < 0.3:
            self.started_ms[number] = now
        kind = self.rng.choice((self.api.ListKind.DELTA, self.api.ListKind.DELTA, self.api.ListKind.CACHED))
        server_numbers = (
            [number] if kind is self.api.ListKind.DELTA else sorted(self.rng.sample(range(SERVERS), 9))
        )
        self.send_list(now, kind, server_numbers)

    def send_list(self, now: float, kind: Any, server_numbers: Any) -> None:
        ready, states = self.api.ServerState.READY, list(self.api.ServerState)
        servers = tuple(
            self.api.Server(
                n,
                n % 3,
                n % 5,
                ready if self.rng.random() < 0.8 else self.rng.choice(states),
                1.0,
                self.started_ms[n],
            )
            for n in server_numbers
        )
        self.handle_event(now, self.api.ServerList(kind, servers))

    def handle_event(self, now: float, event: Any) -> None:
        for action in self.decision_module.handle(now, event):
            self.record_action(now, action)

    def record_action(self, now: float, action: Any) -> None:
        name = type(action).__name__
        if name == "Send":
            self.lines.append(f"{now:.2f} Send {action.request} {action.server} {action.until_ms:.3f}")
            self.schedule_outcome(now, action)
        elif name == "Refuse":
            self.lines.append(f"{now:.2f} Refuse {action.request} {action.retry_in_ms:.3f}")
        elif name in ("Fail", "Cancel"):
            self.lines.append(f"{now:.2f} {name} {action.request}")
        else:
            self.lines.append(f"{now:.2f} {name}")

    def schedule_outcome(self, now: float, sent: Any) -> None:
        number = self.attempt_counts.get(sent.request, 0)
        self.attempt_counts[sent.request] = number + 1
        names, weights = zip(*STATUSES, strict=True)
        status = self.api.Status(self.rng.choices(names, weights)[0])
        slow = 4.0 if 1e6 + 8000 < now < 1e6 + 12000 else 1.0
        elapsed = self.rng.expovariate(1 / (60.0 * slow))
        if status is self.api.Status.TIMEOUT or now + elapsed > sent.until_ms:
            status, elapsed = self.api.Status.TIMEOUT, max(0.0, sent.until_ms - now)
        report = (self.rng.uniform(0, 9), self.rng.random()) if self.rng.random() < 0.5 else ()
        usage = self.rng.randrange(250) if self.rng.random() < 0.5 else None
        closed = status is self.api.Status.OK
        if self.rng.random() < 0.02:
            self.schedule(now + elapsed / 2, self.api.StreamBegun(sent.request, number, sent.server))
        self.schedule(
            now + elapsed,
            self.api.Outcome(sent.request, number, sent.server, status, elapsed, closed, usage, 0, report),
        )


def trace(api: ModuleType, make_module: Any, seed: int, steps: int) -> list[str]:
    """Returns the actions of `make_module(settings, seed)` on the event stream of this seed, one a line."""
    rng = random.Random(seed)
    settings = random_settings(api, rng)
    return EventStreamDriver(api, make_module(settings, seed), settings, rng).play(steps)


def digest(lines: list[str]) -> str:
    return hashlib.sha256("\n".join(lines).encode()).hexdigest()[:16]
