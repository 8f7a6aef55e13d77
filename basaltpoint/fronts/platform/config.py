"""A limiter's configuration: the `GW_*` variables and the JSON file that they name."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from basaltpoint import interface as api
from basaltpoint.config.address import Address, ConfigError, parse_address
from basaltpoint.config.settings import SettingsError, parse_settings

DEFAULT_SOCKETS = 1024  # file descriptors; the default is the platform's grant
DEFAULT_MEMORY_MB = 192.0  # the most that the platform grants
PROGRAM_MB = 40.0  # memory of the program with full tables and all connections
BODY_COPIES = 4  # at a time: its pieces, the joined body, the message to a server and its unsent rest
MIN_BODY_BYTES = 1 << 20
DEFAULT_CONNECT_TIMEOUT_MS = 250.0
DEFAULT_IDLE_MS = 15_000.0
# A server may be closing a connection that was idle for longer; a new one costs little, unless a handshake
# has a price (see REUSE_FRACTION).
MAX_REUSE_IDLE_S = 0.05
# Between a response and the connection's next request: an erroneous second response arrives some ms later.
MIN_REUSE_IDLE_S = 0.015
REUSE_FRACTION = 0.5  # of the time that a server keeps a connection, if a handshake has a price
DEFAULT_MAX_RETRY_AFTER_MS = 500.0
MAX_OPEN = 1000  # outstanding requests; with bodies of 64 KiB in both directions they fit into the memory


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    control: Address | None  # for operators
    socket_fd: int | None  # the clients' listening socket, if the platform provides it
    seed: int
    sockets: int
    body_bytes: int  # of clients' bodies, buffered at a time
    max_open: int
    settings: api.Settings
    zones: tuple[str, ...]
    connect_s: float
    idle_s: float  # after which a server closes an idle connection
    max_reuse_idle_s: float  # a connection that was idle for longer is not reused
    min_reuse_idle_s: float  # nor is one that was idle for less
    known: Any  # the last known list of servers, in discovery's format


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
    """Returns discovery's address from the file; `GW_DISCOVERY` only applies at the start."""
    return parse_address(_read_file(environ).get("discovery"))


def load(environ: Mapping[str, str]) -> Config:
    """Loads the configuration; variables take precedence over the file's entries.

    Raises ConfigError if it is missing or invalid.
    """
    raw = _read_file(environ)
    settings, limits = _table(raw, "settings"), _table(raw, "limits")
    ceilings = _table(settings, "ceilings")
    try:
        decoded = parse_settings(json.dumps(settings).encode())
    except SettingsError as error:
        raise ConfigError(str(error)) from None
    zones = settings.get("zones", [])
    idle_s = _number(ceilings, "connIdleMs", DEFAULT_IDLE_MS) / 1000
    has_handshake_cost = decoded.handshake_cost > 0
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
        # Refusals may always carry Retry-After on sockets, regardless of the simulator's setting.
        settings=replace(
            decoded, max_retry_after_ms=_number(ceilings, "maxRetryAfterMs", DEFAULT_MAX_RETRY_AFTER_MS)
        ),
        zones=tuple(str(zone) for zone in zones) if isinstance(zones, list) else (),
        connect_s=_number(ceilings, "connectTimeoutMs", DEFAULT_CONNECT_TIMEOUT_MS) / 1000,
        idle_s=idle_s,
        max_reuse_idle_s=idle_s * REUSE_FRACTION
        if has_handshake_cost
        else min(idle_s * REUSE_FRACTION, MAX_REUSE_IDLE_S),
        min_reuse_idle_s=MIN_REUSE_IDLE_S,
        known=raw.get("known"),
    )
