"""Builders for events, so that a test states only the values that it checks."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from basaltpoint import interface as api
from basaltpoint.policy import DecisionModule

SAFE = api.RequestClass(1000, 4000, api.Effect.SAFE, api.DedupScope.ALL, 0, 0.0)
KEYED_ALL = api.RequestClass(1000, 4000, api.Effect.KEYED, api.DedupScope.ALL, 3000, 0.0)
KEYED_ZONE = api.RequestClass(3000, 9000, api.Effect.KEYED, api.DedupScope.ZONE, 2000, 0.0)
UNSAFE = api.RequestClass(1500, 4000, api.Effect.UNSAFE, api.DedupScope.ALL, 0, 0.0)
CLASSES = (SAFE, KEYED_ALL, KEYED_ZONE, UNSAFE)

BASE = api.Settings(
    limiter_index=0,
    limiter_count=2,
    zone=0,
    classes=CLASSES,
    plans=(api.Plan(rate=1000, burst=2000),),
    cold_start_fraction=0.2,
    cold_duration_ms=10000,
    overload_crash_ratio=2.0,
    overload_crash_ms=1000,
    drain_grace_ms=500,
    discovery_confirm_ms=0,
    meter_period_ms=1000,
    post_paid=False,
    max_attempts=3,
    may_hedge=False,
    may_cancel=True,
    may_probe=False,
    max_retry_after_ms=0,
    must_subscribe=False,
    report_fields=(),
)


def server(ident: int, zone: int = 0, state: str = "ready", started: float = 0.0) -> api.Server:
    return api.Server(ident, zone, zone, api.ServerState(state), 1.0, started)


class Rig:
    """A decision module with servers; arrivals are numbered in order."""

    def __init__(self, servers: list[api.Server] | None = None, **changes: Any) -> None:
        self.decision_module = DecisionModule(replace(BASE, **changes), seed=1)
        self.last_request = 0
        if servers is None:
            servers = [server(1), server(2)]
        self.apply_list(0.0, *servers, kind="full")

    def apply_list(self, now: float, *servers: api.Server, kind: str = "delta") -> list[api.Action]:
        return self.decision_module.handle(now, api.ServerList(api.ListKind(kind), servers))

    def arrive(
        self,
        now: float,
        cls: int = 0,
        customer: int = 1,
        customer_limiters: int = 1,
        deadline: float = 4000.0,
    ) -> list[api.Action]:
        self.last_request += 1
        event = api.Arrival(self.last_request, cls, 0, customer, 1.0, customer_limiters, now + deadline)
        return self.decision_module.handle(now, event)

    def end_attempt(
        self, now: float, sent: api.Send, status: str, attempt: int = 0, **extra: Any
    ) -> list[api.Action]:
        closed = extra.pop("closed", status == "ok")
        event = api.Outcome(
            sent.request,
            attempt,
            sent.server,
            api.Status(status),
            extra.pop("elapsed", 50.0),
            closed,
            **extra,
        )
        return self.decision_module.handle(now, event)

    def tick(self, now: float) -> list[api.Action]:
        return self.decision_module.handle(now, api.TimerFired(0))


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [action for action in actions if isinstance(action, api.Send)]


def action_names(actions: list[api.Action]) -> list[str]:
    return [type(action).__name__ for action in actions]
