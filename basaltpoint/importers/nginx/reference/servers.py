"""Selects the server block for a request: by the address it arrived at, then by its host.

Source: nginx's documentation, "How nginx processes a request" and "Server names".
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from basaltpoint.importers.nginx.reference.regex import captured_values, compile_regex
from basaltpoint.importers.nginx.source import Directive, Problem, SourceError, SourcePosition

ANY_ADDRESS = "*"  # all addresses of the host
DEFAULT_PORT = 80


@dataclass(frozen=True, slots=True)
class Listen:
    """A `listen` directive: an address (`*` for any, or a UNIX socket path) and a port (0 for a socket)."""

    address: str
    port: int
    is_default: bool
    position: SourcePosition


@dataclass(frozen=True, slots=True)
class VirtualServer:
    """A server block with its addresses and its names (as written, in lower case)."""

    block: Directive
    listens: tuple[Listen, ...]
    names: tuple[str, ...]


def parse_listen(directive: Directive) -> Listen:
    """Parses a `listen` directive. Raises SourceError for an invalid port."""
    text, *options = directive.args
    is_default = "default_server" in options or "default" in options
    if text.startswith("unix:"):
        return Listen(text, 0, is_default, directive.position)
    if text.isdigit():
        address, port = ANY_ADDRESS, text
    elif text.startswith("["):
        address, _, port = text.partition("]")
        address, port = address + "]", port.removeprefix(":")
    else:
        address, _, port = text.partition(":")
    if port and not (port.isdigit() and 0 < int(port) < 65536):
        raise SourceError(
            [Problem(directive.position, f"listen: invalid port {port!r}, expected 1 to 65535")]
        )
    any_address = address in (ANY_ADDRESS, "0.0.0.0")
    return Listen(
        ANY_ADDRESS if any_address else address.lower(),
        int(port or DEFAULT_PORT),
        is_default,
        directive.position,
    )


def parse_servers(http: Directive) -> list[VirtualServer]:
    """Returns the server blocks of an http block, in file order.

    Raises SourceError if two blocks are the default server of one address; nginx then refuses to start.
    """
    servers = []
    defaults: dict[tuple[str, int], Listen] = {}
    problems = []
    for block in http.find_all("server"):
        listens = tuple(map(parse_listen, block.find_all("listen")))
        listens = listens or (Listen(ANY_ADDRESS, DEFAULT_PORT, False, block.position),)
        for listen in listens:
            if not listen.is_default:
                continue
            first = defaults.setdefault((listen.address, listen.port), listen)
            if first is not listen:
                text = f"duplicate default server {listen.address}:{listen.port}, first at {first.position}"
                problems.append(Problem(listen.position, text))
        names = tuple(name for each in block.find_all("server_name") for name in each.args)
        servers.append(
            VirtualServer(block, listens, tuple(_normalized_name(name) for name in names) or ("",))
        )
    if problems:
        raise SourceError(problems)
    return servers


def _normalized_name(name: str) -> str:
    return name if name.startswith("~") else name.lower().removesuffix(".")


def _servers_at(
    servers: Iterable[VirtualServer], address: str, port: int
) -> list[tuple[VirtualServer, Listen]]:
    """Returns the servers of an address; an exact address takes precedence over `*`, whatever the host."""
    listening = [(server, listen) for server in servers for listen in server.listens if listen.port == port]
    exact = [pair for pair in listening if pair[1].address == address]
    return exact or [pair for pair in listening if pair[1].address == ANY_ADDRESS]


@dataclass(frozen=True, slots=True)
class ChosenServer:
    """A server block, the name that matched (empty for the default) and the captures of a regex name."""

    server: VirtualServer
    name: str = ""
    captures: tuple[tuple[str, str], ...] = ()


def choose_server(
    servers: Iterable[VirtualServer], address: str, port: int, host: str
) -> ChosenServer | None:
    """Returns the server for a host at an address; None if no server listens there.

    `host` is in the form that `host_name` returns. The order of precedence: the exact name; the longest
    wildcard name that starts with an asterisk; the longest that ends with one; the first matching regular
    expression in file order; the default server, which is the first of the address unless another is marked.
    """
    candidates = _servers_at(servers, address, port)
    if not candidates:
        return None
    names = [(name, server) for server, _ in candidates for name in server.names]
    for name, server in names:
        if host == name or (host and name == "." + host):
            return ChosenServer(server, name)
    if wildcard_name := longest_wildcard([name for name, _ in names], host):
        return ChosenServer(next(server for name, server in names if name == wildcard_name), wildcard_name)
    for name, server in names:
        if name.startswith("~") and (
            match := compile_regex(name[1:], server.block.position, True).search(host)
        ):
            return ChosenServer(server, name, captured_values(match))
    default = next((server for server, listen in candidates if listen.is_default), candidates[0][0])
    return ChosenServer(default)


def longest_wildcard(names: Iterable[str], host: str) -> str | None:
    """Returns the longest matching name that starts with an asterisk or dot, else with one at its end."""
    for leading in (True, False):
        matching = [name for name in names if matches_wildcard(name, host, leading)]
        if matching:
            return max(matching, key=lambda name: len(name.lstrip("*")))
    return None


def matches_wildcard(name: str, host: str, leading: bool) -> bool:
    """`*.example.org` and `.example.org` match all subdomains; `mail.*` matches that prefix."""
    if leading:
        suffix = name[1:] if name.startswith("*.") else name if name.startswith(".") else ""
        return bool(suffix) and host.endswith(suffix) and len(host) > len(suffix)
    return name.endswith(".*") and host.startswith(name[:-1]) and len(host) >= len(name)
