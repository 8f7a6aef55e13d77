"""The module's state as plain values and back, and how two processes share what must not be granted twice.

While both live each holds half of every ceiling, own part and cold server's allowance that was known when the
second one started. What each has drawn since is known by its log, so that the two join without a unit twice.
"""

from __future__ import annotations

import math
from collections import deque
from itertools import pairwise
from typing import Any

from basaltpoint.policy import DecisionModule
from basaltpoint.policy.quota import LAG_STEPS, MAX_DEBT_FRACTION, Customer, TokenBucket

SHARED_FRACTION = 0.5  # of what two processes share


def _number(value: Any, low: float = -math.inf, high: float = math.inf) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        raise ValueError(f"{value!r} is not within {low} and {high}")
    return float(value)


def _rows(value: Any, width: int) -> list[list[float]]:
    if not isinstance(value, list) or any(len(row) != width for row in value):
        raise ValueError(f"not rows of {width} numbers")
    return [[_number(each) for each in row] for row in value]


# --- Out ----------------------------------------------------------------------------------------
def export_state(gateway: DecisionModule, now: float) -> dict[str, Any]:
    """The module's state at `now`, which its clock tells in ms; JSON's types, with infinities."""
    clock = gateway.meter_clock
    return {
        "clock": {
            "errors": clock.errors,
            "sine": clock.sine,
            "cosine": clock.cosine,
            "begun": clock.first_request_ms,
        },
        "waits": {name: list(waits) for name, waits in gateway.class_waits.items()},
        "pools": [_pool(number, pool) for number, pool in gateway.pools.items()],
        "servers": _servers(gateway),
        "customers": [_customer(ident, customer, now) for ident, customer in gateway.customers.items()],
    }


def _pool(number: int, pool: Any) -> dict[str, Any]:
    servers = pool.servers
    return {
        "number": number,
        "low": pool.light_latencies_ms,
        "caps": list(pool.caps),
        "mean_out": pool.mean_outstanding,
        "begun": pool.first_arrival_ms,
        "latencies": [list(row) for row in pool.latencies],
        "arrivals": [list(row) for row in pool.arrivals],
        "lost": [list(row) for row in pool.timeouts],
        "mean_ms": servers.mean_latency_ms,
        "median_ms": servers.median_latency_ms,
        "usual": servers.mean_load,
        "let_in": list(servers.admission_times_ms),
    }


HEALTH = ("heard_ms", "retest_ms", "avoid_ms", "up_ms", "backoff", "errors", "suspect", "down")


def _servers(gateway: DecisionModule) -> list[dict[str, Any]]:
    return [
        {
            "number": ident,
            "started_ms": peer.health.started_ms,
            "allowance": peer.allowance,
            "filled_ms": peer.filled_ms,
            "load": peer.load,
            "load_ms": peer.load_ms,
            **{name: getattr(peer.health, name) for name in HEALTH},
        }
        for pool in gateway.pools.values()
        for ident, peer in pool.servers.records.items()
    ]


def _customer(ident: int, customer: Customer, now: float) -> dict[str, Any]:
    return {
        "ident": ident,
        "plan": customer.plan.name,
        "doors": customer.limiter_count,
        "store": customer.quota_bucket.refill(now),
        "ceiling": customer.ceiling.refill(now),
        "mine": customer.local_bucket.refill(now),
        "at": now,
        "log": [list(row) for row in customer.draw_log],
        "anchor": list(customer.anchor),
        "usage": customer.usage,
        **{name: getattr(customer, name) for name in LEARNED},
    }


# What the meter and the asking taught of a customer.
LEARNED = ("seen", "used", "asked", "asked_at", "born", "heard_at", "read_at", "own", "whole")


# --- In -----------------------------------------------------------------------------------------
def import_clock(gateway: DecisionModule, raw: Any, now: float) -> None:
    errors = [_number(each, 0.0) for each in raw["errors"]]
    if len(errors) != LAG_STEPS:
        raise ValueError(f"{len(errors)} steps of lag, where there are {LAG_STEPS}")
    sine, cosine, begun = _number(raw["sine"]), _number(raw["cosine"]), _number(raw["begun"])
    clock = gateway.meter_clock
    clock.errors, clock.sine, clock.cosine, clock.first_request_ms = errors, sine, cosine, begun


def import_class_waits(gateway: DecisionModule, raw: Any, now: float) -> None:
    for name, waits in gateway.class_waits.items():
        waits.extend(_number(each) for each in raw.get(name, ()))


def import_pools(gateway: DecisionModule, raw: Any, now: float) -> None:
    for told in raw:
        pool = gateway.pools.get(told["number"])
        if pool is None:
            continue
        low = [_number(each, 0.0) for each in told["low"]]
        caps = [_number(each, 0.0) for each in told["caps"]]
        if len(low) != 3 or len(caps) != 2:
            raise ValueError("low or caps of another length")
        rows = {name: _rows(told[name], 3) for name in ("latencies", "arrivals", "lost")}
        mean, median = _number(told["mean_ms"], 0.0), _number(told["median_ms"], 0.0)
        out, begun, usual = (_number(told[name]) for name in ("mean_out", "begun", "usual"))
        admitted = [_number(each, high=now) for each in told["let_in"]]
        pool.light_latencies_ms, pool.caps, pool.first_arrival_ms = low, (caps[0], caps[1]), begun
        pool.mean_outstanding, pool.mean_updated_ms = max(0.0, out), now
        pool.latencies = deque((at, int(lane), took) for at, lane, took in rows["latencies"])
        pool.arrivals = deque((at, int(lane), units) for at, lane, units in rows["arrivals"])
        pool.timeouts = deque((at, int(lane), took) for at, lane, took in rows["lost"])
        servers = pool.servers
        servers.mean_latency_ms, servers.median_latency_ms, servers.mean_load, servers.admission_times_ms = (
            mean,
            median,
            usual,
            deque(admitted),
        )


def import_servers(gateway: DecisionModule, raw: Any, now: float) -> None:
    """Only of processes that run still: a restart is another one."""
    for told in raw:
        for pool in gateway.pools.values():
            peer = pool.servers.records.get(told["number"])
            if peer is None or peer.entry.started_ms != told["started_ms"]:
                continue
            peer.allowance = _number(told["allowance"], high=1.0)
            peer.filled_ms, peer.load_ms = _number(told["filled_ms"], high=now), _number(told["load_ms"])
            peer.load = _number(told["load"], 0.0)
            health = peer.health
            for name in HEALTH[:4]:
                setattr(health, name, _number(told[name]))
            health.backoff, health.errors = int(_number(told["backoff"])), int(_number(told["errors"]))
            health.suspect, health.down = told["suspect"] is True, told["down"] is True
            pool.servers.health_changed(peer.entry.id)


def import_customer(gateway: DecisionModule, raw: Any, now: float) -> None:
    customer = decode_customer(gateway, raw, now)
    gateway.customers[int(raw["ident"])] = customer


def decode_customer(gateway: DecisionModule, raw: Any, now: float) -> Customer:
    """A customer as it was left; its plan is the settings' own, whatever it was when it was written."""
    plan = next((each for each in gateway.settings.plans if each.name == raw["plan"]), None)
    if plan is None:
        raise ValueError(f"no plan {raw['plan']!r}")
    at, doors = _number(raw["at"], high=now), int(_number(raw["doors"], 1, gateway.settings.limiter_count))
    customer = Customer(plan, doors, at)
    customer.quota_bucket.level = _number(raw["store"], -MAX_DEBT_FRACTION * plan.burst, plan.burst)
    customer.ceiling = TokenBucket(
        customer.ceiling.rate,
        customer.ceiling.depth,
        min(customer.ceiling.depth, _number(raw["ceiling"])),
        at,
    )
    for name in LEARNED:
        setattr(customer, name, _number(raw[name], high=max(now, 1e15)))
    part = customer.local_share()
    customer.local_bucket = TokenBucket(
        part * plan.rate, part * plan.burst, min(part * plan.burst, _number(raw["mine"], 0.0)), at
    )
    log, (level, then) = _rows(raw["log"], 3), (_number(each) for each in raw["anchor"])
    if not log or any(one[0] > two[0] for one, two in pairwise(log)):
        raise ValueError("a log out of order")
    customer.draw_log = [(row[0], row[1], row[2]) for row in log]
    customer.anchor = (min(plan.burst, level), then)
    customer.usage = None if raw["usage"] is None else int(_number(raw["usage"], 0))
    return customer


# --- Two processes ------------------------------------------------------------------------------
def share_limits(gateway: DecisionModule, now: float) -> None:
    """Another process has what this one has, from this moment on: each may use half."""
    for customer in gateway.customers.values():
        ceiling, plan = customer.ceiling, customer.plan
        ceiling.level = ceiling.refill(now) * SHARED_FRACTION
        ceiling.rate = plan.ceiling_rate / customer.limiter_count * SHARED_FRACTION
        ceiling.depth = plan.ceiling_depth / customer.limiter_count * SHARED_FRACTION
        customer.local_bucket.level = customer.local_bucket.refill(now) * SHARED_FRACTION
    for pool in gateway.pools.values():
        for peer in pool.servers.records.values():
            peer.allowance *= SHARED_FRACTION


def restore_full_limits(gateway: DecisionModule, now: float) -> None:
    """This process is alone again. What the other may have drawn stays drawn."""
    for customer in gateway.customers.values():
        ceiling, plan = customer.ceiling, customer.plan
        ceiling.refill(now)
        ceiling.rate, ceiling.depth = (
            plan.ceiling_rate / customer.limiter_count,
            plan.ceiling_depth / customer.limiter_count,
        )


def exhaust_ceilings(gateway: DecisionModule, now: float, for_ms: float) -> None:
    """Another process has all of it from this moment on: here nothing is drawn on a ceiling for so long."""
    for customer in gateway.customers.values():
        ceiling = customer.ceiling
        if math.isfinite(ceiling.depth):
            ceiling.level, ceiling.updated_ms = -ceiling.depth - ceiling.rate * for_ms / 1000.0, now


def merge_customers(gateway: DecisionModule, rows: Any, now: float, since: float) -> int:
    """Take what the other process knew of customers at its end; how many could not be read.

    `since`: when both began with the same; own draws after that come on top of what the other tells.
    """
    bad = 0
    for raw in rows if isinstance(rows, list) else ():
        try:
            old, ident = decode_customer(gateway, raw, now), int(raw["ident"])
        except (KeyError, TypeError, ValueError, IndexError, OverflowError):
            bad += 1
            continue
        if (mine := gateway.customers.get(ident)) is None:
            gateway.customers[ident] = old
        else:
            _merge_customer(mine, old, now, since)
    return bad


def _merge_customer(mine: Customer, old: Customer, now: float, since: float) -> None:
    """In place: requests that are out point at this customer."""
    own = [(b[0], b[1] - a[1], b[2] - a[2]) for a, b in pairwise(mine.draw_log) if b[0] > since]
    plan = mine.plan
    level = old.quota_bucket.refill(now) - sum(taken for *_, taken in own)
    mine.quota_bucket.level, mine.quota_bucket.updated_ms = (
        min(plan.burst, max(-MAX_DEBT_FRACTION * plan.burst, level)),
        now,
    )
    depth = plan.ceiling_depth / mine.limiter_count
    mine.ceiling.level = min(depth, mine.ceiling.refill(now) + old.ceiling.refill(now))
    mine.local_bucket.level = min(
        mine.local_bucket.depth, mine.local_bucket.refill(now) + old.local_bucket.refill(now)
    )
    steps = [(b[0], b[1] - a[1], b[2] - a[2]) for a, b in pairwise(old.draw_log)]
    log = [old.draw_log[0]]
    for at, units, taken in sorted([*steps, *own]):
        log.append((at, log[-1][1] + units, log[-1][2] + taken))
    mine.draw_log = log
    if old.read_at >= mine.read_at:
        for name in ("seen", "used", "heard_at", "read_at", "own", "whole", "usage", "anchor"):
            setattr(mine, name, getattr(old, name))
    mine.asked, mine.asked_at = max(mine.asked, old.asked), max(mine.asked_at, old.asked_at)
