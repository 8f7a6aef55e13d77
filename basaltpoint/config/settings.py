"""Parses the platform's settings object, from the simulator's first message or the JSON file."""

from __future__ import annotations

import json
from typing import Any

from basaltpoint import interface as api

EFFECTS = {
    "idempotent": api.Effect.SAFE,
    "deduplicated": api.Effect.KEYED,
    "at_most_once": api.Effect.UNSAFE,
}
REPORT_NAMES = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}


class SettingsError(ValueError):
    """Invalid settings; the message names the key's path and the fault."""


class _Table:
    """A settings object whose errors name the path of a missing key or of a value with a wrong type."""

    def __init__(self, raw: Any, path: str) -> None:
        if not isinstance(raw, dict):
            raise SettingsError(f"settings: {path or 'the text'} is not an object")
        self.raw = raw
        self.path = path

    def _key_path(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def table(self, key: str) -> _Table:
        if key not in self.raw:
            raise SettingsError(f"settings: {self._key_path(key)} is missing")
        return _Table(self.raw[key], self._key_path(key))

    def tables(self, key: str) -> list[_Table]:
        rows = self.raw.get(key)
        if not isinstance(rows, list):
            raise SettingsError(f"settings: {self._key_path(key)} is missing or not a list")
        return [_Table(row, f"{self._key_path(key)}[{i}]") for i, row in enumerate(rows)]

    def number(self, key: str, default: float | None = None) -> float:
        value = self.raw.get(key, default)
        if value is None:
            raise SettingsError(f"settings: {self._key_path(key)} is missing")
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise SettingsError(f"settings: {self._key_path(key)} is not a number")
        return float(value)

    def flag(self, key: str) -> bool:
        value = self.raw.get(key, False)
        if not isinstance(value, bool):
            raise SettingsError(f"settings: {self._key_path(key)} is not true or false")
        return value

    def word(self, key: str, default: str | None = None) -> str:
        value = self.raw.get(key, default)
        if not isinstance(value, str):
            raise SettingsError(f"settings: {self._key_path(key)} is missing or not a text")
        return value


def _request_class(row: _Table) -> api.RequestClass:
    effect, scope = row.word("effect"), row.word("dedupScope", "all")
    if effect not in EFFECTS:
        raise SettingsError(f"settings: {row.path}.effect is unknown: {effect}")
    if scope not in {s.value for s in api.DedupScope}:
        raise SettingsError(f"settings: {row.path}.dedupScope is unknown: {scope}")
    return api.RequestClass(
        aim_ms=row.number("aimMs"),
        deadline_ms=row.number("hardLimitMs"),
        effect=EFFECTS[effect],
        dedup_scope=api.DedupScope(scope),
        dedup_window_ms=row.number("windowMs", 0),
        late_worth=row.number("lateWorth", 0),
        stream=row.flag("stream"),
        aim_stretch=row.number("aimStretch", 0),
        name=row.word("name", ""),
        worth=row.number("points", 1),
    )


def _plan(row: _Table) -> api.Plan:
    return api.Plan(
        rate=row.number("rate", 0),
        burst=row.number("mostAtOnce", 0),
        max_parallel=int(row.number("parallel", 0)),
        ceiling_rate=row.number("capRate", 0),
        ceiling_depth=row.number("neverOverDepth", 0),
        ceiling_slack=row.number("capSlack", 0),
        excess_worth=row.number("overWorth", 0),
        excess_cost=row.number("beyondCosts", 0),
        name=row.word("name", ""),
    )


def _fields(report: _Table) -> tuple[str, ...]:
    raw = report.raw.get("fields", [])
    if not isinstance(raw, list):
        raise SettingsError("settings: report.fields is not a list")
    return tuple(REPORT_NAMES.get(str(name), str(name)) for name in raw)


def parse_settings(text: bytes) -> api.Settings:
    """Parses the settings; ignores unknown keys and raises SettingsError for invalid ones."""
    try:
        root = _Table(json.loads(text), "")
    except ValueError as error:
        if isinstance(error, SettingsError):
            raise
        raise SettingsError(f"settings: not JSON: {error}") from None
    rules, limits = root.table("guarantees"), root.table("ceilings")
    extra = root.table("specifics") if "specifics" in root.raw else _Table({}, "specifics")
    prices = root.table("prices") if "prices" in root.raw else _Table({}, "prices")
    report = root.table("report") if "report" in root.raw else _Table({}, "report")
    return api.Settings(
        limiter_index=int(root.number("me")),
        limiter_count=int(root.number("balancers")),
        zone=int(root.number("myZone", 0)),
        classes=tuple(_request_class(row) for row in root.tables("services")),
        plans=tuple(_plan(row) for row in root.tables("contracts")),
        cold_start_fraction=rules.number("coldFrom"),
        cold_duration_ms=rules.number("coldMs"),
        overload_crash_ratio=rules.number("tipMultiple"),
        overload_crash_ms=rules.number("fallMs"),
        drain_grace_ms=rules.number("drainGraceMs"),
        discovery_confirm_ms=rules.number("askWithinMs", 0),
        meter_period_ms=extra.number("meteringMs", 0),
        post_paid=extra.flag("postPaid"),
        max_attempts=int(limits.number("maxAttempts")),
        may_hedge=limits.flag("secondCopies"),
        may_cancel=limits.flag("cancel"),
        may_probe=limits.flag("probing"),
        max_retry_after_ms=limits.number("maxRetryAfterMs", 0) if limits.flag("retryAfter") else 0.0,
        must_subscribe=root.word("registryMode", "automatic") == "subscribe",
        report_fields=_fields(report),
        max_request_units=extra.number("mostUnits", 0),
        handshake_cost=prices.number("handshake", 0),
    )
