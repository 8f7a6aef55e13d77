"""Routes: they assign pool, class and units to a request, by host, path, method and headers.

A route matches if all its conditions hold. Of those that match, the first in this order applies:

1. the higher `priority`;
2. host: exact, then the longest wildcard, then none;
3. path: exact, then the longest prefix, then regular expressions, then none;
4. the one with more conditions on method and headers;
5. the one that is first in the file.

The order is total and does not depend on the request, so each route has a fixed rank, and the cost of a match
grows with the number of path segments, not with the number of routes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Protocol

from basaltpoint.interface import Effect


class PathForm(IntEnum):
    """How a route's path is matched; the values are in order of precedence."""

    EXACT = 0
    PREFIX = 1
    REGEX = 2
    ANY = 3


@dataclass(frozen=True, slots=True)
class Rewrite:
    """Replaces the matched prefix `old` of the normal path by `new`."""

    old: str
    new: str

    def apply(self, path: str) -> str:
        """The path that is sent to the server; it always starts with one slash."""
        rest = path[len(self.old) :]
        joined = self.new + rest
        if self.new.endswith("/") and rest.startswith("/"):
            joined = self.new + rest[1:]
        return joined if joined.startswith("/") else "/" + joined


@dataclass(frozen=True, slots=True)
class ClassRules:
    """What a front does for requests of a class. `unkeyed_class`: class of a request without its key."""

    class_number: int
    effect: Effect
    deadline_ms: float
    key_header: str = ""
    unkeyed_class: int | None = None  # None: such requests are rejected
    deadline_header: str = ""


@dataclass(frozen=True, slots=True)
class Route:
    """Conditions, and the settings of a request that meets them. Empty conditions always hold.

    `headers`: pairs of a lower-case name and the value that it must have, `*` for any, `!` for absent.
    """

    name: str
    pool: int
    class_rules: ClassRules
    path_form: PathForm = PathForm.ANY
    path: str = ""
    hosts: tuple[str, ...] = ()
    methods: frozenset[str] = frozenset()
    headers: tuple[tuple[str, str], ...] = ()
    priority: int = 0
    units: float = 1.0
    rewrite: Rewrite | None = None
    set_headers: tuple[tuple[bytes, bytes], ...] = ()  # set on the forwarded request
    drop_headers: frozenset[bytes] = frozenset()
    response_headers: tuple[tuple[bytes, bytes], ...] = ()
    max_kept_body_bytes: int = 65536  # bodies up to this size are kept, so that the request can be retried
    max_body_bytes: int = 0  # larger bodies are rejected; 0: no limit


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """The matched route, or else the methods that routes of the same host and path allow, if any."""

    route: Route | None
    allowed_methods: frozenset[str] = frozenset()


class RegexSet(Protocol):
    """Expressions that are searched in one pass; `match` returns the indexes of those found."""

    def match(self, text: str) -> Sequence[int]: ...


def prefix_matches(prefix: str, path: str) -> bool:
    """`/a` matches `/a` and paths below it, not `/ab`; `/a/` only paths below it."""
    if prefix.endswith("/"):
        return path.startswith(prefix)
    return path == prefix or path.startswith(prefix + "/")


def wildcard_matches(wildcard: str, host: str) -> bool:
    """`*.example.org` matches any host below example.org, at any depth, not example.org itself."""
    return len(host) >= len(wildcard) and host.endswith(wildcard[1:])


def _rank(route: Route, host: str, position: int) -> tuple[int, ...]:
    kind = 2 if not host else 1 if host.startswith("*") else 0
    conditions = len(route.headers) + bool(route.methods)
    length = len(route.path) if route.path_form is PathForm.PREFIX else 0
    return -route.priority, kind, -len(host), route.path_form, -length, -conditions, position


@dataclass(slots=True)
class _HostRoutes:
    """The routes of one host condition, by path form. Entries are (rank, route)."""

    exact: dict[str, list[tuple[int, Route]]] = field(default_factory=dict)
    prefix: dict[str, list[tuple[int, Route]]] = field(default_factory=dict)
    regex: list[tuple[int, Route]] = field(default_factory=list)
    any_path: list[tuple[int, Route]] = field(default_factory=list)
    regex_set: RegexSet | None = None

    def add(self, rank: int, route: Route) -> None:
        row = rank, route
        match route.path_form:
            case PathForm.EXACT:
                self.exact.setdefault(route.path, []).append(row)
            case PathForm.PREFIX:
                self.prefix.setdefault(route.path, []).append(row)
            case PathForm.REGEX:
                self.regex.append(row)
            case PathForm.ANY:
                self.any_path.append(row)

    def candidates(self, path: str) -> Iterable[tuple[int, Route]]:
        yield from self.exact.get(path, ())
        if self.prefix:
            yield from self.prefix.get(path, ())
            slash = path.rfind("/")
            while slash >= 0:
                yield from self.prefix.get(path[: slash + 1], ()) if slash + 1 < len(path) else ()
                yield from self.prefix.get(path[:slash], ()) if slash else ()
                slash = path.rfind("/", 0, slash)
        if self.regex_set is not None:
            for index in self.regex_set.match(path):
                yield self.regex[index]
        yield from self.any_path


def conditions_match(route: Route, method: str, headers: Mapping[str, str]) -> bool:
    """Whether method and headers meet the route's conditions."""
    if route.methods and method not in route.methods:
        return False
    return headers_match(route, headers)


def headers_match(route: Route, headers: Mapping[str, str]) -> bool:
    for name, wanted in route.headers:
        value = headers.get(name)
        if wanted == "!":
            if value is not None:
                return False
        elif value is None or wanted not in ("*", value):
            return False
    return True


class Routes:
    """All routes of a configuration, indexed; immutable, a reload creates a new one."""

    def __init__(
        self, routes: Sequence[Route], compile_set: Callable[[Sequence[str]], RegexSet] | None = None
    ) -> None:
        """`compile_set` creates a RegexSet; it is needed if a route has a regular expression."""
        rows = [
            (_rank(route, host, at), host, route)
            for at, route in enumerate(routes)
            for host in route.hosts or ("",)
        ]
        rows.sort(key=lambda row: row[0])
        self.routes = tuple(routes)
        self._exact: dict[str, _HostRoutes] = {}
        self._wildcard: dict[str, _HostRoutes] = {}
        self._any_host = _HostRoutes()
        for rank, (_, host, route) in enumerate(rows):
            self._host_routes(host).add(rank, route)
        for bucket in (self._any_host, *self._exact.values(), *self._wildcard.values()):
            if bucket.regex:
                assert compile_set is not None, "a route has an expression, but `compile_set` is missing"
                bucket.regex_set = compile_set([route.path for _, route in bucket.regex])

    def _host_routes(self, host: str) -> _HostRoutes:
        if not host:
            return self._any_host
        if host.startswith("*."):
            return self._wildcard.setdefault(host[2:], _HostRoutes())
        return self._exact.setdefault(host, _HostRoutes())

    def _matching_hosts(self, host: str) -> Iterable[_HostRoutes]:
        if bucket := self._exact.get(host):
            yield bucket
        if self._wildcard:
            at = host.find(".")
            while at >= 0:
                if bucket := self._wildcard.get(host[at + 1 :]):
                    yield bucket
                at = host.find(".", at + 1)
        yield self._any_host

    def match(self, host: str, path: str, method: str, headers: Mapping[str, str]) -> RouteMatch:
        """Finds the route of a request; host and path in normal form, header names in lower case."""
        best: tuple[int, Route] | None = None
        allowed: set[str] = set()
        for bucket in self._matching_hosts(host):
            for row in bucket.candidates(path):
                if best is not None and row[0] > best[0]:
                    continue
                if conditions_match(row[1], method, headers):
                    best = row
                elif row[1].methods and method not in row[1].methods and headers_match(row[1], headers):
                    allowed |= row[1].methods
        return RouteMatch(best[1]) if best else RouteMatch(None, frozenset(allowed))
