"""Exports and imports the decision module's state, and divides limits between two processes of a limiter.

While predecessor and successor both run, each of them has half of every ceiling, local share of a quota and
cold server's allowance that existed when the successor started. The draw logs record what each has drawn
since, so that merging their states counts no unit twice.
"""

from __future__ import annotations

import math
from collections import deque
from itertools import pairwise
from typing import Any

from basaltpoint.policy import DecisionModule
from basaltpoint.policy.quota import LAG_STEPS, MAX_DEBT_FRACTION, Customer, TokenBucket

SHARED_FRACTION = 0.5  # of each limit, for each of two processes that run at once


def _number(value: Any, low: float = -math.inf, high: float = math.inf) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        raise ValueError(f"{value!r} is not a number from {low} to {high}")
    return float(value)


def _number_rows(value: Any, width: int) -> list[list[float]]:
    if not isinstance(value, list) or any(len(row) != width for row in value):
        raise ValueError(f"expected rows of {width} numbers")
    return [[_number(each) for each in row] for row in value]


# --- Export -------------------------------------------------------------------------------------
def export_state(decision_module: DecisionModule, now: float) -> dict[str, Any]:
    """Returns the decision module's state at `now` (its clock, ms) in JSON's types, with infinite numbers."""
    clock = decision_module.meter_clock
    return {
        "clock": {
            "errors": clock.errors,
            "sine": clock.sine,
            "cosine": clock.cosine,
            "begun": clock.first_request_ms,
        },
        "waits": {name: list(waits) for name, waits in decision_module.class_waits.items()},
        "pools": [_export_pool(number, pool) for number, pool in decision_module.pools.items()],
        "servers": _export_servers(decision_module),
        "customers": [
            _export_customer(ident, customer, now) for ident, customer in decision_module.customers.items()
        ],
    }


def _export_pool(number: int, pool: Any) -> dict[str, Any]:
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


# Exported under their names; the first four are times in ms.
HEALTH_FIELDS = ("heard_ms", "retest_ms", "avoid_ms", "up_ms", "backoff", "errors", "suspect", "down")


def _export_servers(decision_module: DecisionModule) -> list[dict[str, Any]]:
    return [
        {
            "number": ident,
            "started_ms": record.health.started_ms,
            "allowance": record.allowance,
            "filled_ms": record.filled_ms,
            "load": record.load,
            "load_ms": record.load_ms,
            **{name: getattr(record.health, name) for name in HEALTH_FIELDS},
        }
        for pool in decision_module.pools.values()
        for ident, record in pool.servers.records.items()
    ]


def _export_customer(ident: int, customer: Customer, now: float) -> dict[str, Any]:
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
        **{name: getattr(customer, name) for name in CUSTOMER_FIELDS},
    }


# Attributes of a customer that are learned from the meter and from its requests; exported under their names.
CUSTOMER_FIELDS = ("seen", "used", "asked", "asked_at", "born", "heard_at", "read_at", "own", "whole")


# --- Import -------------------------------------------------------------------------------------
def import_clock(decision_module: DecisionModule, raw: Any, now: float) -> None:
    errors = [_number(each, 0.0) for each in raw["errors"]]
    if len(errors) != LAG_STEPS:
        raise ValueError(f"{len(errors)} lag steps, expected {LAG_STEPS}")
    sine, cosine, first_request = _number(raw["sine"]), _number(raw["cosine"]), _number(raw["begun"])
    clock = decision_module.meter_clock
    clock.errors, clock.sine, clock.cosine, clock.first_request_ms = errors, sine, cosine, first_request


def import_class_waits(decision_module: DecisionModule, raw: Any, now: float) -> None:
    for name, waits in decision_module.class_waits.items():
        waits.extend(_number(each) for each in raw.get(name, ()))


def import_pools(decision_module: DecisionModule, raw: Any, now: float) -> None:
    for row in raw:
        pool = decision_module.pools.get(row["number"])
        if pool is None:
            continue
        low = [_number(each, 0.0) for each in row["low"]]
        caps = [_number(each, 0.0) for each in row["caps"]]
        if len(low) != 3 or len(caps) != 2:
            raise ValueError("low or caps has a wrong length")
        rows = {name: _number_rows(row[name], 3) for name in ("latencies", "arrivals", "lost")}
        mean, median = _number(row["mean_ms"], 0.0), _number(row["median_ms"], 0.0)
        mean_outstanding, first_arrival, mean_load = (
            _number(row[name]) for name in ("mean_out", "begun", "usual")
        )
        admitted = [_number(each, high=now) for each in row["let_in"]]
        pool.light_latencies_ms, pool.caps, pool.first_arrival_ms = low, (caps[0], caps[1]), first_arrival
        pool.mean_outstanding, pool.mean_updated_ms = max(0.0, mean_outstanding), now
        pool.latencies = deque((at, int(lane), latency_ms) for at, lane, latency_ms in rows["latencies"])
        pool.arrivals = deque((at, int(lane), units) for at, lane, units in rows["arrivals"])
        pool.timeouts = deque((at, int(lane), latency_ms) for at, lane, latency_ms in rows["lost"])
        servers = pool.servers
        servers.mean_latency_ms, servers.median_latency_ms, servers.mean_load, servers.admission_times_ms = (
            mean,
            median,
            mean_load,
            deque(admitted),
        )


def import_servers(decision_module: DecisionModule, raw: Any, now: float) -> None:
    """Imports the state of servers that have not restarted since; a restarted server is a new process."""
    for row in raw:
        for pool in decision_module.pools.values():
            record = pool.servers.records.get(row["number"])
            if record is None or record.entry.started_ms != row["started_ms"]:
                continue
            record.allowance = _number(row["allowance"], high=1.0)
            record.filled_ms, record.load_ms = _number(row["filled_ms"], high=now), _number(row["load_ms"])
            record.load = _number(row["load"], 0.0)
            health = record.health
            for name in HEALTH_FIELDS[:4]:
                setattr(health, name, _number(row[name]))
            health.backoff, health.errors = int(_number(row["backoff"])), int(_number(row["errors"]))
            health.suspect, health.down = row["suspect"] is True, row["down"] is True
            pool.servers.health_changed(record.entry.id)


def import_customer(decision_module: DecisionModule, raw: Any, now: float) -> None:
    customer = decode_customer(decision_module, raw, now)
    decision_module.customers[int(raw["ident"])] = customer


def decode_customer(decision_module: DecisionModule, raw: Any, now: float) -> Customer:
    """Decodes a customer's state.

    Its plan's figures come from the current settings, as they may have changed since the export. Raises
    ValueError, KeyError, TypeError, IndexError or OverflowError for invalid data.
    """
    plan = next((each for each in decision_module.settings.plans if each.name == raw["plan"]), None)
    if plan is None:
        raise ValueError(f"unknown plan {raw['plan']!r}")
    at, limiter_count = (
        _number(raw["at"], high=now),
        int(_number(raw["doors"], 1, decision_module.settings.limiter_count)),
    )
    customer = Customer(plan, limiter_count, at)
    customer.quota_bucket.level = _number(raw["store"], -MAX_DEBT_FRACTION * plan.burst, plan.burst)
    customer.ceiling = TokenBucket(
        customer.ceiling.rate,
        customer.ceiling.depth,
        min(customer.ceiling.depth, _number(raw["ceiling"])),
        at,
    )
    for name in CUSTOMER_FIELDS:
        setattr(customer, name, _number(raw[name], high=max(now, 1e15)))
    share = customer.local_share()
    customer.local_bucket = TokenBucket(
        share * plan.rate, share * plan.burst, min(share * plan.burst, _number(raw["mine"], 0.0)), at
    )
    log, (anchor_level, anchor_ms) = _number_rows(raw["log"], 3), (_number(each) for each in raw["anchor"])
    if not log or any(earlier[0] > later[0] for earlier, later in pairwise(log)):
        raise ValueError("the draw log is empty or not in order of time")
    customer.draw_log = [(row[0], row[1], row[2]) for row in log]
    customer.anchor = (min(plan.burst, anchor_level), anchor_ms)
    customer.usage = None if raw["usage"] is None else int(_number(raw["usage"], 0))
    return customer


# --- Two processes at once ----------------------------------------------------------------------
def share_limits(decision_module: DecisionModule, now: float) -> None:
    """Halves what this process may still use, as another process has a copy of its state from now on."""
    decision_module.ceiling_share = SHARED_FRACTION
    for customer in decision_module.customers.values():
        ceiling, plan = customer.ceiling, customer.plan
        ceiling.level = ceiling.refill(now) * SHARED_FRACTION
        ceiling.rate = plan.ceiling_rate / customer.limiter_count * SHARED_FRACTION
        ceiling.depth = plan.ceiling_depth / customer.limiter_count * SHARED_FRACTION
        customer.local_bucket.level = customer.local_bucket.refill(now) * SHARED_FRACTION
    for pool in decision_module.pools.values():
        for record in pool.servers.records.values():
            record.allowance *= SHARED_FRACTION


def restore_full_limits(decision_module: DecisionModule, now: float) -> None:
    """Restores the ceilings' full rate and depth, once this process is the only one again.

    The levels are not raised, as the other process may have drawn its half.
    """
    decision_module.ceiling_share = 1.0
    for customer in decision_module.customers.values():
        ceiling, plan = customer.ceiling, customer.plan
        ceiling.refill(now)
        ceiling.rate, ceiling.depth = (
            plan.ceiling_rate / customer.limiter_count,
            plan.ceiling_depth / customer.limiter_count,
        )


def exhaust_ceilings(decision_module: DecisionModule, now: float, for_ms: float) -> None:
    """Prevents draws on any ceiling for `for_ms`, as the successor has the whole of each from now on."""
    decision_module.ceiling_share = 0.0
    for customer in decision_module.customers.values():
        ceiling = customer.ceiling
        if math.isfinite(ceiling.depth):
            ceiling.level, ceiling.updated_ms = -ceiling.depth - ceiling.rate * for_ms / 1000.0, now


def merge_customers(decision_module: DecisionModule, rows: Any, now: float, since: float) -> int:
    """Merges the predecessor's final state of its customers; returns how many rows were invalid.

    `since` is when both processes started from the same state (the decision module's clock, ms): this
    process's draws after it are added to the predecessor's.
    """
    invalid = 0
    for raw in rows if isinstance(rows, list) else ():
        try:
            inherited, ident = decode_customer(decision_module, raw, now), int(raw["ident"])
        except (KeyError, TypeError, ValueError, IndexError, OverflowError):
            invalid += 1
            continue
        if (customer := decision_module.customers.get(ident)) is None:
            decision_module.customers[ident] = inherited
        else:
            _merge_customer(customer, inherited, now, since)
    return invalid


def _merge_customer(customer: Customer, inherited: Customer, now: float, since: float) -> None:
    """Merges into `customer` in place, as outstanding requests refer to it."""
    own_draws = [(b[0], b[1] - a[1], b[2] - a[2]) for a, b in pairwise(customer.draw_log) if b[0] > since]
    plan = customer.plan
    level = inherited.quota_bucket.refill(now) - sum(drawn for *_, drawn in own_draws)
    customer.quota_bucket.level, customer.quota_bucket.updated_ms = (
        min(plan.burst, max(-MAX_DEBT_FRACTION * plan.burst, level)),
        now,
    )
    depth = plan.ceiling_depth / customer.limiter_count
    customer.ceiling.level = min(depth, customer.ceiling.refill(now) + inherited.ceiling.refill(now))
    customer.local_bucket.level = min(
        customer.local_bucket.depth, customer.local_bucket.refill(now) + inherited.local_bucket.refill(now)
    )
    inherited_draws = [(b[0], b[1] - a[1], b[2] - a[2]) for a, b in pairwise(inherited.draw_log)]
    log = [inherited.draw_log[0]]
    for at, units, drawn in sorted([*inherited_draws, *own_draws]):
        log.append((at, log[-1][1] + units, log[-1][2] + drawn))
    customer.draw_log = log
    if inherited.read_at >= customer.read_at:
        for name in ("seen", "used", "heard_at", "read_at", "own", "whole", "usage", "anchor"):
            setattr(customer, name, getattr(inherited, name))
    customer.asked, customer.asked_at = (
        max(customer.asked, inherited.asked),
        max(customer.asked_at, inherited.asked_at),
    )
