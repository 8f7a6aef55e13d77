"""Upstream groups, and the servers that a request of one may reach.

Source: nginx's documentation of the upstream module.
"""

from __future__ import annotations

from dataclasses import dataclass

from basaltpoint.importers.nginx.source import Directive, Place, Problem, SourceError

METHODS = ("least_conn", "ip_hash", "hash", "random")


@dataclass(frozen=True, slots=True)
class Member:
    address: str  # with its port, 80 where none is written
    weight: int
    backup: bool
    down: bool
    place: Place


@dataclass(frozen=True, slots=True)
class Group:
    """`method` is empty for the weighted round."""

    name: str
    members: tuple[Member, ...]
    method: str
    place: Place

    def candidates(self) -> tuple[str, ...]:
        """The servers that are asked first; backups only where all of these are out."""
        first = [each.address for each in self.members if not each.backup and not each.down]
        return tuple(first) or self.spares()

    def spares(self) -> tuple[str, ...]:
        return tuple(each.address for each in self.members if each.backup and not each.down)


def with_port(address: str) -> str:
    """An address with the port that nginx takes where none is written."""
    if address.startswith("unix:"):
        return address
    rest = address.partition("]")[2] if address.startswith("[") else address
    return address if ":" in rest else address + ":80"


def _member(directive: Directive) -> Member:
    address, *options = directive.args
    weight = next((each[7:] for each in options if each.startswith("weight=")), "1")
    if not weight.isdigit() or not int(weight):
        raise SourceError([Problem(directive.place, f"server: weight={weight} is no number above 0")])
    return Member(with_port(address), int(weight), "backup" in options, "down" in options, directive.place)


def groups(http: Directive) -> dict[str, Group]:
    """The groups of an http block by name.

    Raises SourceError for a name that comes twice, in whatever files, as nginx refuses to start then.
    """
    found: dict[str, Group] = {}
    problems = []
    for block in http.all("upstream"):
        name = block.args[0]
        method = next((each.name for each in block.all(*METHODS)), "")
        group = Group(name, tuple(map(_member, block.all("server"))), method, block.place)
        if (first := found.setdefault(name, group)) is not group:
            problems.append(Problem(block.place, f"upstream {name!r} stands already at {first.place}"))
        if not group.members:
            problems.append(Problem(block.place, f"upstream {name!r} has no server"))
    if problems:
        raise SourceError(problems)
    return found
