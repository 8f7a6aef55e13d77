"""The simulator's wire: frames to events, actions to frames. Nothing here decides."""

from __future__ import annotations

import json
import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from ironstage import interface as api


class WireError(ValueError):
    """A frame or settings text that the protocol does not allow; says what and where."""


@dataclass(frozen=True, slots=True)
class Spawn:
    seed: int
    settings: api.Settings


@dataclass(frozen=True, slots=True)
class Teardown:
    pass


Record = api.Event | Spawn | Teardown

STATUSES = {
    200: api.Status.OK,
    502: api.Status.ERROR,
    429: api.Status.FULL,
    408: api.Status.TIMEOUT,
    521: api.Status.CONNECT_FAILED,
    520: api.Status.RESET,
    444: api.Status.CANCELLED,
    409: api.Status.MOOT,
}
STATES = (api.ServerState.GONE, api.ServerState.READY, api.ServerState.DRAINING)
LIST_KINDS = {
    0: api.ListKind.DELTA,
    2: api.ListKind.FULL,
    3: api.ListKind.CACHED,
    4: api.ListKind.FAILED,
}
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
EVERY_PEER = 0xFFFF


class _Reader:
    """A cursor over one frame's body that names the offset of what is missing."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.at = 0

    def take(self, form: struct.Struct) -> tuple[Any, ...]:
        try:
            values = form.unpack_from(self.data, self.at)
        except struct.error:
            raise WireError(f"record cut short at byte {self.at} of the frame's body") from None
        self.at += form.size
        return values

    def blob(self, size: int) -> bytes:
        if self.at + size > len(self.data):
            raise WireError(f"{size} bytes announced at byte {self.at}, fewer are left")
        part = self.data[self.at : self.at + size]
        self.at += size
        return part


def _form(text: str) -> struct.Struct:
    return struct.Struct(">" + text)


BATCH_HEAD = _form("IdI")
_U8, _U16, _U32, _U64 = _form("B"), _form("H"), _form("I"), _form("Q")
_ENTRY = _form("IHBHBfd")
_VIEW = _form("BQI")
_SUBMIT = _form("QHBIffdfQ")
_PROBED = _form("dHI")
_DONE = _form("QBIHdBHH")
_FIRST = _form("QBdI")
_HEARD = _form("IH")
_TOTAL = _form("QHfd")


def _status(code: int) -> api.Status:
    try:
        return STATUSES[code]
    except KeyError:
        raise WireError(f"unknown outcome code {code}") from None


def _report(reader: _Reader) -> tuple[float, ...]:
    (count,) = reader.take(_U8)
    return reader.take(_form(f"{count}f"))


def _spawn(reader: _Reader) -> Spawn:
    (seed,) = reader.take(_U64)
    (size,) = reader.take(_U32)
    return Spawn(seed, parse_settings(reader.blob(size)))


def _view(reader: _Reader) -> api.ServerList:
    scope, _, count = reader.take(_VIEW)
    if scope not in LIST_KINDS:
        raise WireError(f"unknown list scope {scope}")
    servers = []
    for _ in range(count):
        ident, zone, _, cell, state, rating, started = reader.take(_ENTRY)
        if state >= len(STATES):
            raise WireError(f"unknown readiness {state} of server {ident}")
        servers.append(api.Server(ident, zone, cell, STATES[state], rating, started))
    return api.ServerList(LIST_KINDS[scope], tuple(servers))


def _submit(reader: _Reader) -> api.Arrival:
    request, cls, _, plan, _, units, deadline, doors, customer = reader.take(_SUBMIT)
    return api.Arrival(request, cls, plan, customer, units, int(doors), deadline)


def _probe_done(reader: _Reader) -> api.ProbeResult:
    elapsed, code, server = reader.take(_PROBED)
    return api.ProbeResult(server, _status(code), elapsed, _report(reader))


def _done(reader: _Reader) -> api.Outcome:
    request, number, server, code, elapsed, closed, usage, units = reader.take(_DONE)
    used = usage - 1 if usage else None
    return api.Outcome(
        request, number, server, _status(code), elapsed, bool(closed), used, units, _report(reader)
    )


def _under_way(reader: _Reader) -> api.StreamBegun:
    request, number, _, server = reader.take(_FIRST)
    return api.StreamBegun(request, number, server)


def _heard(reader: _Reader) -> api.PeerMessage:
    sender, size = reader.take(_HEARD)
    return api.PeerMessage(sender, reader.blob(size))


def _total(reader: _Reader) -> api.CounterTotal:
    name, code, total, elapsed = reader.take(_TOTAL)
    return api.CounterTotal(name, _status(code), total, elapsed)


_DECODERS: dict[int, Callable[[_Reader], Record]] = {
    0: _spawn,
    1: _view,
    2: _submit,
    3: _under_way,
    4: _done,
    5: lambda reader: api.Abandoned(*reader.take(_U64)),
    6: lambda reader: api.TimerFired(*reader.take(_U32)),
    7: _probe_done,
    8: _heard,
    9: lambda reader: Teardown(),
    10: _total,
}
_TARGET = 11


def decode_batch(count: int, body: bytes) -> list[tuple[int, Record]]:
    """The (instance, record) pairs of one batch's `count` records."""
    reader = _Reader(body)
    records: list[tuple[int, Record]] = []
    instance: int | None = None
    for index in range(count):
        (code,) = reader.take(_U8)
        if code == _TARGET:
            (instance,) = reader.take(_U32)
            continue
        if code not in _DECODERS:
            raise WireError(f"unknown record code {code} in record {index} at byte {reader.at - 1}")
        if instance is None:
            raise WireError(f"record {index} comes before any target_instance")
        records.append((instance, _DECODERS[code](reader)))
    if reader.at != len(body):
        raise WireError(f"{len(body) - reader.at} bytes left after the last of {count} records")
    return records


_FOR = _form("BI")
_SEND = _form("BQId")
_CANCEL = _form("BQB")
_REFUSE = _form("BQd")
_IDENT = _form("BQ")
_TIMER = _form("BdI")
_SERVER = _form("BI")
_FLAG = _form("BB")
_TELL = _form("BHH")
_COUNT = _form("BQfd")
_TEXT = _form("BH")


def _text(code: int, text: str) -> bytes:
    body = text.encode()[:0xFFFF]
    return _TEXT.pack(code, len(body)) + body


def _tell(action: api.Tell) -> bytes:
    dest = EVERY_PEER if action.to is None else action.to
    return _TELL.pack(2, dest, len(action.body)) + action.body


_ENCODERS: dict[type, Callable[[Any], bytes]] = {
    api.SetTimer: lambda a: _TIMER.pack(0, a.delay_ms, a.token),
    api.Send: lambda a: _SEND.pack(1, a.request, a.server, a.until_ms),
    api.Tell: _tell,
    api.Fail: lambda a: _IDENT.pack(3, a.request),
    api.Cancel: lambda a: _CANCEL.pack(4, a.request, a.attempt),
    api.FetchList: lambda a: _U8.pack(5),
    api.Refuse: lambda a: _REFUSE.pack(6, a.request, a.retry_in_ms),
    api.Probe: lambda a: _SERVER.pack(7, a.server),
    api.Subscribe: lambda a: _FLAG.pack(8, a.on),
    api.Log: lambda a: _text(10, a.text),
    api.CloseIdle: lambda a: _SERVER.pack(11, a.server),
    api.CounterAdd: lambda a: _COUNT.pack(12, a.name, a.amount, a.lives_ms),
}


def encode_reply(groups: Iterable[tuple[int, Iterable[api.Action]]]) -> bytes:
    """A whole reply frame for (instance, actions) groups in the order given."""
    parts = []
    for instance, actions in groups:
        encoded = [_ENCODERS[type(action)](action) for action in actions]
        if encoded:
            parts.append(_FOR.pack(9, instance))
            parts.extend(encoded)
    body = b"".join(parts)
    return _U32.pack(len(body)) + body


def encode_fault(instance: int, text: str) -> bytes:
    """A reply frame that declares an internal error."""
    body = _FOR.pack(9, instance) + _text(13, text)
    return _U32.pack(len(body)) + body


class _Table:
    """A settings object that names the path of a key that is missing or of a wrong type."""

    def __init__(self, raw: Any, path: str) -> None:
        if not isinstance(raw, dict):
            raise WireError(f"settings: {path or 'the text'} is not an object")
        self.raw = raw
        self.path = path

    def _name(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def table(self, key: str) -> _Table:
        if key not in self.raw:
            raise WireError(f"settings: {self._name(key)} is missing")
        return _Table(self.raw[key], self._name(key))

    def tables(self, key: str) -> list[_Table]:
        rows = self.raw.get(key)
        if not isinstance(rows, list):
            raise WireError(f"settings: {self._name(key)} is missing or not a list")
        return [_Table(row, f"{self._name(key)}[{i}]") for i, row in enumerate(rows)]

    def number(self, key: str, default: float | None = None) -> float:
        value = self.raw.get(key, default)
        if value is None:
            raise WireError(f"settings: {self._name(key)} is missing")
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise WireError(f"settings: {self._name(key)} is not a number")
        return float(value)

    def flag(self, key: str) -> bool:
        value = self.raw.get(key, False)
        if not isinstance(value, bool):
            raise WireError(f"settings: {self._name(key)} is not true or false")
        return value

    def word(self, key: str, default: str | None = None) -> str:
        value = self.raw.get(key, default)
        if not isinstance(value, str):
            raise WireError(f"settings: {self._name(key)} is missing or not a text")
        return value


def _request_class(row: _Table) -> api.RequestClass:
    effect, scope = row.word("effect"), row.word("dedupScope", "all")
    if effect not in EFFECTS:
        raise WireError(f"settings: {row.path}.effect is unknown: {effect}")
    if scope not in {s.value for s in api.Scope}:
        raise WireError(f"settings: {row.path}.dedupScope is unknown: {scope}")
    return api.RequestClass(
        aim_ms=row.number("aimMs"),
        deadline_ms=row.number("hardLimitMs"),
        effect=EFFECTS[effect],
        scope=api.Scope(scope),
        window_ms=row.number("windowMs", 0),
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
        parallel=int(row.number("parallel", 0)),
        ceiling_rate=row.number("capRate", 0),
        ceiling_depth=row.number("neverOverDepth", 0),
        ceiling_slack=row.number("capSlack", 0),
        over_worth=row.number("overWorth", 0),
        over_cost=row.number("beyondCosts", 0),
        name=row.word("name", ""),
    )


def _fields(report: _Table) -> tuple[str, ...]:
    raw = report.raw.get("fields", [])
    if not isinstance(raw, list):
        raise WireError("settings: report.fields is not a list")
    return tuple(REPORT_NAMES.get(str(name), str(name)) for name in raw)


def parse_settings(text: bytes) -> api.Settings:
    """The settings that the module acts on; keys it does not know are ignored."""
    try:
        root = _Table(json.loads(text), "")
    except ValueError as error:
        if isinstance(error, WireError):
            raise
        raise WireError(f"settings: not JSON: {error}") from None
    rules, limits = root.table("guarantees"), root.table("ceilings")
    extra = root.table("specifics") if "specifics" in root.raw else _Table({}, "specifics")
    report = root.table("report") if "report" in root.raw else _Table({}, "report")
    return api.Settings(
        me=int(root.number("me")),
        gateways=int(root.number("balancers")),
        zone=int(root.number("myZone", 0)),
        classes=tuple(_request_class(row) for row in root.tables("services")),
        plans=tuple(_plan(row) for row in root.tables("contracts")),
        cold_from=rules.number("coldFrom"),
        cold_ms=rules.number("coldMs"),
        tip_multiple=rules.number("tipMultiple"),
        fall_ms=rules.number("fallMs"),
        drain_grace_ms=rules.number("drainGraceMs"),
        ask_within_ms=rules.number("askWithinMs", 0),
        meter_ms=extra.number("meteringMs", 0),
        post_paid=extra.flag("postPaid"),
        max_attempts=int(limits.number("maxAttempts")),
        second_copies=limits.flag("secondCopies"),
        may_cancel=limits.flag("cancel"),
        may_probe=limits.flag("probing"),
        advice_ms=limits.number("maxRetryAfterMs", 0) if limits.flag("retryAfter") else 0.0,
        must_subscribe=root.word("registryMode", "automatic") == "subscribe",
        report_fields=_fields(report),
        most_units=extra.number("mostUnits", 0),
    )
