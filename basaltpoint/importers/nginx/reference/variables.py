"""Evaluates nginx's variables for one request: built-in variables, captures, `set`, `map` and `geo`.

Source: nginx's documentation of the core, proxy, map and geo modules. A variable that is undefined, or whose
value can't be determined here, is an error, never empty.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from ipaddress import IPv4Network, IPv6Network, ip_address, ip_network

from basaltpoint.importers.nginx.reference.regex import captured_values, compile_regex
from basaltpoint.importers.nginx.reference.servers import longest_wildcard
from basaltpoint.importers.nginx.reference.uri import host_name
from basaltpoint.importers.nginx.source import Directive, Problem, SourceError, SourcePosition

VARIABLE = re.compile(r"\$(?:\{(\w+)\}|(\w+))")


class NotEvaluatedError(Exception):
    """The outcome depends on something that the evaluator does not know; has the position and the reason."""

    def __init__(self, position: SourcePosition, reason: str) -> None:
        super().__init__(f"{position}: {reason}")
        self.position = position


@dataclass(frozen=True, slots=True)
class Request:
    """A request as received; header names are in lower case, `target` is that of the request line."""

    method: str
    target: bytes
    headers: Mapping[str, str]
    address: str = "127.0.0.1"
    port: int = 80
    client: str = "127.0.0.1"


class Map:
    """A `map` block, parsed into strings and regular expressions."""

    def __init__(self, block: Directive) -> None:
        self.block = block
        self._default = ""
        self._hostnames = False
        self._volatile: Directive | None = None
        self._strings: dict[str, Directive] = {}
        self._regexes: list[Directive] = []
        for entry in block.block or ():
            if entry.name == "volatile":
                self._volatile = entry
            elif entry.name == "hostnames" and not entry.args:
                self._hostnames = True
            elif entry.name == "default":
                self._default = entry.args[0]
            elif entry.name.startswith("~"):
                self._regexes.append(entry)
            else:
                self._strings[_without_backslash(entry.name).lower()] = entry

    def value(self, scope: Scope) -> str:
        """Precedence: an equal string (any case), wildcards, the first matching regex, the default."""
        if self._volatile:
            raise NotEvaluatedError(self._volatile.position, "map: volatile")
        source = scope.expand(self.block.args[0], self.block.position)
        if found := self._find_string(source.lower()):
            return scope.expand(found.args[0], found.position)
        for entry in self._regexes:
            ignore_case = entry.name.startswith("~*")
            if match := compile_regex(entry.name[1 + ignore_case :], entry.position, ignore_case).search(
                source
            ):
                scope.add_captures(match)
                return scope.expand(entry.args[0], entry.position)
        return scope.expand(self._default, self.block.position)

    def _find_string(self, key: str) -> Directive | None:
        if not self._hostnames:
            return self._strings.get(key)
        key = key.removesuffix(".")
        name = next((each for each in (key, "." + key) if each in self._strings), None)
        name = name or longest_wildcard(self._strings, key)
        return self._strings[name] if name else None


def _without_backslash(name: str) -> str:
    """A leading backslash marks a string that would be read as a parameter or regular expression."""
    return name[1:] if name.startswith("\\") else name


class Geo:
    """A `geo` block with its parsed networks. Raises SourceError for an invalid network."""

    def __init__(self, block: Directive) -> None:
        self.block = block
        self._default = ""
        self._unsupported: Directive | None = None
        self._networks: list[tuple[IPv4Network | IPv6Network, str]] = []
        for entry in block.block or ():
            if entry.name in ("ranges", "proxy", "proxy_recursive", "delete"):
                self._unsupported = entry
            elif entry.name == "default":
                self._default = entry.args[0]
            else:
                self._networks.append((_parse_network(entry), entry.args[0]))

    def value(self, scope: Scope) -> str:
        """Returns the value of the most specific network for the client's address or that in a variable."""
        if self._unsupported:
            raise NotEvaluatedError(self._unsupported.position, f"geo: {self._unsupported.name}")
        args, position = self.block.args, self.block.position
        source = scope.expand(args[0], position) if len(args) > 1 else scope.request.client
        try:
            address = ip_address(source)
        except ValueError:
            address = ip_address("255.255.255.255")  # nginx uses this address for an invalid one
        matching = [pair for pair in self._networks if address in pair[0]]
        return max(matching, key=lambda pair: pair[0].prefixlen)[1] if matching else self._default


def _parse_network(entry: Directive) -> IPv4Network | IPv6Network:
    try:
        return ip_network(entry.name, strict=False)
    except ValueError as error:
        raise SourceError([Problem(entry.position, f"geo: {error}")]) from None


def parse_maps(http: Directive) -> dict[str, Map | Geo]:
    """Returns the map and geo blocks of an http block by variable name; the last definition takes effect."""
    return {
        block.args[-1].removeprefix("$"): Geo(block) if block.name == "geo" else Map(block)
        for block in http.find_all("map", "geo")
    }


@dataclass
class Scope:
    """The variables of one request; `uri` is normalized and changed by a rewrite, `args` has no `?`."""

    request: Request
    uri: bytes
    args: bytes
    maps: Mapping[str, Map | Geo]
    set_variables: tuple[str, ...] = ()  # defined by a `set` anywhere: empty until it runs
    values: dict[str, str] = field(default_factory=dict)
    in_evaluation: set[str] = field(default_factory=set)

    def add_captures(self, match: re.Match[str]) -> None:
        """Adds the captures of a match; numbered ones of earlier matches are dropped, named ones stay."""
        self.values = {name: value for name, value in self.values.items() if not name.isdigit()}
        self.values.update(captured_values(match))

    def expand(self, text: str, position: SourcePosition) -> str:
        """Replaces the variables in a text by their values."""
        return VARIABLE.sub(lambda match: self.value(match[1] or match[2], position), text)

    def value(self, name: str, position: SourcePosition) -> str:
        if name in self.values:
            return self.values[name]
        if built_in := BUILT_IN.get(name):
            return built_in(self)
        if name.startswith("http_"):
            return self.request.headers.get(name[5:].replace("_", "-"), "")
        if name.startswith("arg_"):
            return self._argument(name[4:])
        if definition := self.maps.get(name):
            if name in self.in_evaluation:
                raise SourceError([Problem(definition.block.position, f"${name} depends on itself")])
            self.in_evaluation.add(name)
            self.values[name] = definition.value(self)  # evaluated once per request
            return self.values[name]
        if name.isdigit() or name in self.set_variables:
            return ""
        raise NotEvaluatedError(position, f"the variable ${name}")

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
