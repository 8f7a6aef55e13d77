"""Parses upstream blocks and lists the servers that a request may be passed to.

Source: nginx's documentation of the upstream module.
"""

from __future__ import annotations

from dataclasses import dataclass

from basaltpoint.importers.nginx.source import Directive, Problem, SourceError, SourcePosition

BALANCING_METHODS = ("least_conn", "ip_hash", "hash", "random")


@dataclass(frozen=True, slots=True)
class UpstreamServer:
    address: str  # with its port, 80 if none is given
    weight: int
    backup: bool
    down: bool
    position: SourcePosition


@dataclass(frozen=True, slots=True)
class Upstream:
    """`method` is the directive of the balancing method, empty for weighted round robin."""

    name: str
    servers: tuple[UpstreamServer, ...]
    method: str
    position: SourcePosition

    def candidates(self) -> tuple[str, ...]:
        """Returns the primary servers, or the backups if all primary servers are marked down."""
        primary = [each.address for each in self.servers if not each.backup and not each.down]
        return tuple(primary) or self.backups()

    def backups(self) -> tuple[str, ...]:
        return tuple(each.address for each in self.servers if each.backup and not each.down)


def add_default_port(address: str) -> str:
    """Adds the port 80, nginx's default, to an address without a port."""
    if address.startswith("unix:"):
        return address
    rest = address.partition("]")[2] if address.startswith("[") else address
    return address if ":" in rest else address + ":80"


def _parse_server(directive: Directive) -> UpstreamServer:
    address, *options = directive.args
    weight = next((each[7:] for each in options if each.startswith("weight=")), "1")
    if not weight.isdigit() or not int(weight):
        raise SourceError(
            [Problem(directive.position, f"server: invalid weight={weight}, expected a number above 0")]
        )
    return UpstreamServer(
        add_default_port(address), int(weight), "backup" in options, "down" in options, directive.position
    )


def parse_upstreams(http: Directive) -> dict[str, Upstream]:
    """Returns the upstreams of an http block by name.

    Raises SourceError for a duplicate name or an upstream without servers; nginx then refuses to start.
    """
    upstreams: dict[str, Upstream] = {}
    problems = []
    for block in http.find_all("upstream"):
        name = block.args[0]
        method = next((each.name for each in block.find_all(*BALANCING_METHODS)), "")
        upstream = Upstream(name, tuple(map(_parse_server, block.find_all("server"))), method, block.position)
        if (first := upstreams.setdefault(name, upstream)) is not upstream:
            problems.append(
                Problem(block.position, f"duplicate upstream {name!r}, first at {first.position}")
            )
        if not upstream.servers:
            problems.append(Problem(block.position, f"upstream {name!r} has no server"))
    if problems:
        raise SourceError(problems)
    return upstreams
