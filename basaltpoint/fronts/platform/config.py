"""What a limiter is told at its start: the `GW_*` variables and the JSON file they name."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from basaltpoint import interface as api
from basaltpoint.config.address import Address, ConfigError, parse_address
from basaltpoint.config.settings import SettingsError, parse_settings

DEFAULT_SOCKETS = 1024  # descriptors; what DEPLOY grants on the days that count, where the file is silent
DEFAULT_MEMORY_MB = 192.0  # what DEPLOY grants at most on those days
PROGRAM_MB = 20.0  # of the memory; the program itself with all its tables (14 MB seen on the long day)
BODY_COPIES = 4  # of a body at a time: its pieces, the whole, the message to a server, what is unsent of it
MIN_BODY_BYTES = 1 << 20  # bytes
DEFAULT_CONNECT_TIMEOUT_MS = 250.0
DEFAULT_IDLE_MS = 15_000.0
MAX_REUSE_IDLE_S = (
    0.05  # a connection that was free for longer may be ending unseen; a new one costs little, but
)
MIN_REUSE_IDLE_S = (
    0.015  # after an answer, before the connection's next request: a second answer comes some ms later
)
REUSE_FRACTION = 0.5  # of the time a server keeps it, where a handshake has a price
DEFAULT_MAX_RETRY_AFTER_MS = 500.0  # a client is told to stay away for so long at most
MAX_OPEN = 1000  # requests in hand: with bodies of 64 KiB at either end they stay within the memory


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    control: Address | None  # where operators call
    socket_fd: int | None  # the clients' listening socket, where the platform holds it
    seed: int
    sockets: int
    body_bytes: int  # of clients' bodies held at a time
    max_open: int
    settings: api.Settings
    zones: tuple[str, ...]
    connect_s: float
    idle_s: float  # a server closes a connection that has stood idle for so long
    reuse_s: float  # one that was free for longer is not used again
    rest_s: float  # nor is one that was free for less
    known: Any  # the last list of servers, in discovery's form


def _table(raw: Any, key: str) -> dict[str, Any]:
    value = raw.get(key, {})
    if not isinstance(value, dict):
        raise ConfigError(f"{key} is not an object")
    return value


def _number(raw: dict[str, Any], key: str, default: float) -> float:
    value = raw.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
        raise ConfigError(f"{key} is not a number above 0")
    return float(value)


def _body_bytes(memory_mb: float) -> int:
    return max(MIN_BODY_BYTES, int((memory_mb - PROGRAM_MB) * (1 << 20) / BODY_COPIES))


def _optional(text: object) -> Address | None:
    return parse_address(text) if text else None


def _descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not text.isdecimal():
        raise ConfigError(f"GW_SOCKET_FD is not the number of a descriptor: {text!r}")
    return int(text)


def _seed(text: object) -> int:
    try:
        return int(str(text), 16)
    except ValueError:
        raise ConfigError(f"seed is not a hexadecimal number: {text!r}") from None


def _read_file(environ: Mapping[str, str]) -> dict[str, Any]:
    path = environ.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: not an object")
    return raw


def reload_discovery(environ: Mapping[str, str]) -> Address:
    """Where a replaced file puts discovery. The variable is as old as the start and no longer counts."""
    return parse_address(_read_file(environ).get("discovery"))


def load(environ: Mapping[str, str]) -> Config:
    """The configuration; the variables stand above the file's entries of the same meaning."""
    raw = _read_file(environ)
    settings, limits = _table(raw, "settings"), _table(raw, "limits")
    ceilings = _table(settings, "ceilings")
    try:
        decoded = parse_settings(json.dumps(settings).encode())
    except SettingsError as error:
        raise ConfigError(str(error)) from None
    zones = settings.get("zones", [])
    idle_s = _number(ceilings, "connIdleMs", DEFAULT_IDLE_MS) / 1000
    priced = decoded.handshake_cost > 0
    return Config(
        name=environ.get("GW_NAME") or str(raw.get("name", "")),
        listen=parse_address(environ.get("GW_LISTEN") or raw.get("listen")),
        discovery=parse_address(environ.get("GW_DISCOVERY") or raw.get("discovery")),
        control=_optional(environ.get("GW_CONTROL") or raw.get("control")),
        socket_fd=_descriptor(environ.get("GW_SOCKET_FD")),
        seed=_seed(raw.get("seed", "0")),
        sockets=int(_number(limits, "sockets", DEFAULT_SOCKETS)),
        body_bytes=_body_bytes(_number(limits, "memory_mb", DEFAULT_MEMORY_MB)),
        max_open=int(min(MAX_OPEN, _number(ceilings, "maxOpen", MAX_OPEN))),
        # On sockets a refusal may always tell when to come back, whatever the simulator's clients hear.
        settings=replace(
            decoded, max_retry_after_ms=_number(ceilings, "maxRetryAfterMs", DEFAULT_MAX_RETRY_AFTER_MS)
        ),
        zones=tuple(str(zone) for zone in zones) if isinstance(zones, list) else (),
        connect_s=_number(ceilings, "connectTimeoutMs", DEFAULT_CONNECT_TIMEOUT_MS) / 1000,
        idle_s=idle_s,
        reuse_s=idle_s * REUSE_FRACTION if priced else min(idle_s * REUSE_FRACTION, MAX_REUSE_IDLE_S),
        rest_s=MIN_REUSE_IDLE_S,
        known=raw.get("known"),
    )
