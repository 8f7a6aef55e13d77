"""The simulator's wire: frames to events, actions to frames. Nothing here decides."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from basaltpoint import interface as api
from basaltpoint.config.settings import SettingsError, parse_settings


class WireError(ValueError):
    """A frame that the protocol does not allow; says what and where."""


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
    try:
        return Spawn(seed, parse_settings(reader.blob(size)))
    except SettingsError as error:
        raise WireError(str(error)) from None


def _view(reader: _Reader) -> api.ServerList:
    scope, _, count = reader.take(_VIEW)
    if scope not in LIST_KINDS:
        raise WireError(f"unknown list scope {scope}")
    servers = []
    for _ in range(count):
        ident, zone, _, cell, state, rating, started = reader.take(_ENTRY)
        if state >= len(STATES):
            raise WireError(f"unknown readiness {state} of server {ident}")
        servers.append(api.Server(ident, zone, cell, STATES[state], rating, started, ident))
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
    api.CounterAdd: lambda a: _COUNT.pack(12, a.name, a.amount, a.lifetime_ms),
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
