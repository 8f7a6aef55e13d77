"""Values of nginx's variables for one request: built-in ones, captures, `set` and `map`.

Source: nginx's documentation of the core, proxy and map modules. A variable whose value is not certain here,
or that nobody defines, is an error, never empty.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from ipaddress import IPv4Network, IPv6Network, ip_address, ip_network

from basaltpoint.importers.nginx.reference.regex import captures, compiled
from basaltpoint.importers.nginx.reference.servers import longest_wildcard
from basaltpoint.importers.nginx.reference.uri import host_name
from basaltpoint.importers.nginx.source import Directive, Place, Problem, SourceError

NAME = re.compile(r"\$(?:\{(\w+)\}|(\w+))")


class NotEvaluatedError(Exception):
    """What the files ask for is beyond what is certain here; says where and what."""

    def __init__(self, place: Place, what: str) -> None:
        super().__init__(f"{place}: {what}")
        self.place = place


@dataclass(frozen=True, slots=True)
class Request:
    """A request as it came; header names are in lower case, `target` is the request line's."""

    method: str
    target: bytes
    headers: Mapping[str, str]
    address: str = "127.0.0.1"
    port: int = 80
    client: str = "127.0.0.1"


class Map:
    """A `map`, its rows sorted out once."""

    def __init__(self, block: Directive) -> None:
        self.block = block
        self._default = ""
        self._hostnames = False
        self._volatile: Directive | None = None
        self._texts: dict[str, Directive] = {}
        self._expressions: list[Directive] = []
        for row in block.block or ():
            if row.name == "volatile":
                self._volatile = row
            elif row.name == "hostnames" and not row.args:
                self._hostnames = True
            elif row.name == "default":
                self._default = row.args[0]
            elif row.name.startswith("~"):
                self._expressions.append(row)
            else:
                self._texts[_unescaped(row.name).lower()] = row

    def value(self, scope: Scope) -> str:
        """An equal text goes first, whatever its case; then wildcards, the first expression, the default."""
        if self._volatile:
            raise NotEvaluatedError(self._volatile.place, "map: volatile")
        source = scope.expand(self.block.args[0], self.block.place)
        if found := self._text(source.lower()):
            return scope.expand(found.args[0], found.place)
        for row in self._expressions:
            ignore = row.name.startswith("~*")
            if match := compiled(row.name[1 + ignore :], row.place, ignore).search(source):
                scope.capture(match)
                return scope.expand(row.args[0], row.place)
        return scope.expand(self._default, self.block.place)

    def _text(self, key: str) -> Directive | None:
        if not self._hostnames:
            return self._texts.get(key)
        key = key.removesuffix(".")
        name = next((each for each in (key, "." + key) if each in self._texts), None)
        name = name or longest_wildcard(self._texts, key)
        return self._texts[name] if name else None


def _unescaped(name: str) -> str:
    """A backslash keeps a text from being taken for a word or an expression."""
    return name[1:] if name.startswith("\\") else name


class Geo:
    """A `geo`, its networks read once. Raises SourceError for one that is none."""

    def __init__(self, block: Directive) -> None:
        self.block = block
        self._default = ""
        self._refused: Directive | None = None
        self._networks: list[tuple[IPv4Network | IPv6Network, str]] = []
        for row in block.block or ():
            if row.name in ("ranges", "proxy", "proxy_recursive", "delete"):
                self._refused = row
            elif row.name == "default":
                self._default = row.args[0]
            else:
                self._networks.append((_network(row), row.args[0]))

    def value(self, scope: Scope) -> str:
        """That of the narrowest network that holds the client's address, or another variable's."""
        if self._refused:
            raise NotEvaluatedError(self._refused.place, f"geo: {self._refused.name}")
        args, place = self.block.args, self.block.place
        source = scope.expand(args[0], place) if len(args) > 1 else scope.request.client
        try:
            address = ip_address(source)
        except ValueError:
            address = ip_address("255.255.255.255")  # what is no address counts as this one
        fit = [pair for pair in self._networks if address in pair[0]]
        return max(fit, key=lambda pair: pair[0].prefixlen)[1] if fit else self._default


def _network(row: Directive) -> IPv4Network | IPv6Network:
    try:
        return ip_network(row.name, strict=False)
    except ValueError as error:
        raise SourceError([Problem(row.place, f"geo: {error}")]) from None


def tables(http: Directive) -> dict[str, Map | Geo]:
    """The maps and geos of an http block by the variable they define; the last of a name counts."""
    return {
        block.args[-1].removeprefix("$"): Geo(block) if block.name == "geo" else Map(block)
        for block in http.all("map", "geo")
    }


@dataclass
class Scope:
    """One request's variables; `uri` is normalized and changes with a rewrite, `args` has no `?`."""

    request: Request
    uri: bytes
    args: bytes
    maps: Mapping[str, Map | Geo]
    names: tuple[str, ...] = ()  # that a `set` anywhere defines: empty until it ran
    known: dict[str, str] = field(default_factory=dict)
    pending: set[str] = field(default_factory=set)

    def capture(self, match: re.Match[str]) -> None:
        """Numbers of an earlier match are gone, names stay."""
        self.known = {name: value for name, value in self.known.items() if not name.isdigit()}
        self.known.update(captures(match))

    def expand(self, text: str, place: Place) -> str:
        """A text with its variables' values."""
        return NAME.sub(lambda match: self.value(match[1] or match[2], place), text)

    def value(self, name: str, place: Place) -> str:
        if name in self.known:
            return self.known[name]
        if built_in := BUILT_IN.get(name):
            return built_in(self)
        if name.startswith("http_"):
            return self.request.headers.get(name[5:].replace("_", "-"), "")
        if name.startswith("arg_"):
            return self._argument(name[4:])
        if table := self.maps.get(name):
            if name in self.pending:
                raise SourceError([Problem(table.block.place, f"${name} depends on itself")])
            self.pending.add(name)
            self.known[name] = table.value(self)  # once for a request
            return self.known[name]
        if name.isdigit() or name in self.names:
            return ""
        raise NotEvaluatedError(place, f"the variable ${name}")

    def _argument(self, name: str) -> str:
        for pair in self.args.split(b"&"):
            key, _, value = pair.partition(b"=")
            if key.decode("latin-1").lower() == name.lower():
                return value.decode("latin-1")
        return ""


def _host(scope: Scope) -> str:
    return host_name(scope.request.headers.get("host"))


BUILT_IN: dict[str, Callable[[Scope], str]] = {
    "host": _host,
    "uri": lambda scope: scope.uri.decode("latin-1"),
    "document_uri": lambda scope: scope.uri.decode("latin-1"),
    "request_uri": lambda scope: scope.request.target.decode("latin-1"),
    "args": lambda scope: scope.args.decode("latin-1"),
    "query_string": lambda scope: scope.args.decode("latin-1"),
    "is_args": lambda scope: "?" if scope.args else "",
    "request_method": lambda scope: scope.request.method,
    "scheme": lambda scope: "http",
    "server_port": lambda scope: str(scope.request.port),
    "server_addr": lambda scope: scope.request.address,
    "remote_addr": lambda scope: scope.request.client,
}
