"""Discovery's lists of servers and their entries."""

from __future__ import annotations

import logging
import math
from typing import Any, NamedTuple

from basaltpoint import interface as api
from basaltpoint.config.address import Address, ConfigError, parse_address

log = logging.getLogger(__name__)

STATES = {
    "active": api.ServerState.READY,
    "leaving": api.ServerState.DRAINING,
    "left": api.ServerState.GONE,
}


class Host(NamedTuple):
    """An entry of discovery's list: one server."""

    name: str
    address: Address
    zone: str
    cell: int
    state: api.ServerState
    rating: float
    born_ms: float  # start of the server, Unix time; 0 if it lies far in the past or is unknown


class HostList(NamedTuple):
    """A full list (`whole`), or the changes that lead to the version `seq`."""

    seq: int
    whole: bool
    hosts: tuple[Host, ...]


def _finite_float(value: Any) -> float:
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"not finite: {value!r}")
    return number


def _parse_host(raw: Any) -> Host:
    state, name = STATES[raw["health"]], raw["host"]
    if not isinstance(name, str) or not name:
        raise ValueError(f"no host: {raw!r}")
    return Host(
        name=name,
        # A server that has left may be listed without an address; nothing is sent to it any more.
        address=("", 0) if state is api.ServerState.GONE else parse_address(raw["dial"]),
        zone=str(raw.get("site", "")),
        cell=int(raw.get("block", 0)),
        state=state,
        rating=_finite_float(raw.get("share", 1.0)),
        born_ms=_finite_float(raw.get("born_ms", 0)),
    )


def host_to_json(host: Host) -> dict[str, Any]:
    """Converts a server to an entry of discovery's JSON list."""
    address = f"[{host.address[0]}]" if ":" in host.address[0] else host.address[0]
    return {
        "host": host.name,
        "dial": f"{address}:{host.address[1]}",
        "site": host.zone,
        "block": host.cell,
        "health": next(name for name, state in STATES.items() if state is host.state),
        "share": host.rating,
        "born_ms": host.born_ms,
    }


def parse_list(raw: Any) -> tuple[HostList, bool]:
    """Returns the list and whether every entry is valid; ValueError if `raw` is not a list of hosts.

    A list with an invalid entry does not count as full: a server that it seems to omit may be that entry, and
    must not be removed.
    """
    if not isinstance(raw, dict) or not isinstance(raw.get("hosts"), list):
        raise ValueError("not a list of hosts")
    seq = raw.get("seq")
    if isinstance(seq, bool) or not isinstance(seq, int):
        raise ValueError("seq is not a whole number")
    hosts, is_complete = [], True
    for entry in raw["hosts"]:
        try:
            hosts.append(_parse_host(entry))
        except (KeyError, TypeError, ValueError, OverflowError, ConfigError) as error:
            log.warning("discovery: invalid entry skipped in list version %d: %r", seq, error)
            is_complete = False
    return HostList(seq, is_complete and raw.get("whole") is True, tuple(hosts)), is_complete
