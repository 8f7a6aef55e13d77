"""Which server block takes a request: by the address it came to, then by its host.

Source: nginx's documentation, "How nginx processes a request" and "Server names".
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from basaltpoint.importers.nginx.reference.regex import captures, compiled
from basaltpoint.importers.nginx.source import Directive, Place, Problem, SourceError

ANY = "*"  # of an address: all of the machine's
PORT = 80


@dataclass(frozen=True, slots=True)
class Listen:
    """One `listen`: an address (`*` for any, or a socket's path) and a port (0 for a socket's path)."""

    address: str
    port: int
    default: bool
    place: Place


@dataclass(frozen=True, slots=True)
class Server:
    """A server block, its addresses and its names as they are written, in lower case."""

    block: Directive
    listens: tuple[Listen, ...]
    names: tuple[str, ...]


def parse_listen(directive: Directive) -> Listen:
    """Raises SourceError for an address that can't be read."""
    text, *options = directive.args
    default = "default_server" in options or "default" in options
    if text.startswith("unix:"):
        return Listen(text, 0, default, directive.place)
    if text.isdigit():
        address, port = ANY, text
    elif text.startswith("["):
        address, _, port = text.partition("]")
        address, port = address + "]", port.removeprefix(":")
    else:
        address, _, port = text.partition(":")
    if port and not (port.isdigit() and 0 < int(port) < 65536):
        raise SourceError([Problem(directive.place, f"listen: {port!r} is no port from 1 to 65535")])
    any_address = address in (ANY, "0.0.0.0")
    return Listen(ANY if any_address else address.lower(), int(port or PORT), default, directive.place)


def parse_servers(http: Directive) -> list[Server]:
    """The server blocks of an http block, in their order.

    Raises SourceError where two blocks are the default of one address, as nginx refuses to start then.
    """
    servers = []
    defaults: dict[tuple[str, int], Listen] = {}
    problems = []
    for block in http.all("server"):
        listens = tuple(map(parse_listen, block.all("listen")))
        listens = listens or (Listen(ANY, PORT, False, block.place),)
        for listen in listens:
            if not listen.default:
                continue
            first = defaults.setdefault((listen.address, listen.port), listen)
            if first is not listen:
                text = f"a second default server for {listen.address}:{listen.port}; the first: {first.place}"
                problems.append(Problem(listen.place, text))
        names = tuple(name for each in block.all("server_name") for name in each.args)
        servers.append(Server(block, listens, tuple(_lower(name) for name in names) or ("",)))
    if problems:
        raise SourceError(problems)
    return servers


def _lower(name: str) -> str:
    return name if name.startswith("~") else name.lower().removesuffix(".")


def _at(servers: Iterable[Server], address: str, port: int) -> list[tuple[Server, Listen]]:
    """The servers of an address; one that is named goes before `*`, whatever the hosts."""
    found = [(server, listen) for server in servers for listen in server.listens if listen.port == port]
    exact = [pair for pair in found if pair[1].address == address]
    return exact or [pair for pair in found if pair[1].address == ANY]


@dataclass(frozen=True, slots=True)
class Chosen:
    """A server block, the name that led to it (empty for the default) and what its expression captured."""

    server: Server
    name: str = ""
    captures: tuple[tuple[str, str], ...] = ()


def choose_server(servers: Iterable[Server], address: str, port: int, host: str) -> Chosen | None:
    """The block for a host in `host_name`'s form at an address; None where nothing listens there.

    In this order: the exact name; the longest wildcard that begins with an asterisk; the longest that ends
    with one; the first expression, as they are written; the default server, or the first of the address.
    """
    here = _at(servers, address, port)
    if not here:
        return None
    names = [(name, server) for server, _ in here for name in server.names]
    for name, server in names:
        if host == name or (host and name == "." + host):
            return Chosen(server, name)
    if fit := longest_wildcard([name for name, _ in names], host):
        return Chosen(next(server for name, server in names if name == fit), fit)
    for name, server in names:
        if name.startswith("~") and (match := compiled(name[1:], server.block.place, True).search(host)):
            return Chosen(server, name, captures(match))
    default = next((server for server, listen in here if listen.default), here[0][0])
    return Chosen(default)


def longest_wildcard(names: Iterable[str], host: str) -> str | None:
    """Of those that hold a host: the longest that begins with an asterisk or dot, else that ends with one."""
    for leading in (True, False):
        fit = [name for name in names if wildcard(name, host, leading)]
        if fit:
            return max(fit, key=lambda name: len(name.lstrip("*")))
    return None


def wildcard(name: str, host: str, leading: bool) -> bool:
    """`*.example.org` and `.example.org` stand for all below; `mail.*` for all that begins so."""
    if leading:
        tail = name[1:] if name.startswith("*.") else name if name.startswith(".") else ""
        return bool(tail) and host.endswith(tail) and len(host) > len(tail)
    return name.endswith(".*") and host.startswith(name[:-1]) and len(host) >= len(name)
