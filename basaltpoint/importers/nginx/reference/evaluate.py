"""What nginx's documented rules make of one request: the whole walk from the address to the server behind."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from basaltpoint.importers.nginx.reference.locations import (
    OTHER_HANDLERS,
    Location,
    find,
    passed_path,
    split_url,
)
from basaltpoint.importers.nginx.reference.rewrite import Step, run
from basaltpoint.importers.nginx.reference.servers import Chosen, choose_server, parse_servers
from basaltpoint.importers.nginx.reference.upstreams import groups, with_port
from basaltpoint.importers.nginx.reference.uri import TargetError, host_name, normalize
from basaltpoint.importers.nginx.reference.variables import NotEvaluatedError, Request, Scope, tables
from basaltpoint.importers.nginx.source import Directive, Place, Problem, SourceError

CYCLES = 10  # internal redirects by rewrite; one more is answered with 500
# They choose who answers by what is not told here: files, other requests, other protocols.
BEYOND = ("try_files", "auth_request", *OTHER_HANDLERS)


@dataclass(frozen=True, slots=True)
class Result:
    """`code` is 0 where the request goes on to one of `candidates`; else it ends here with `text`."""

    code: int = 0
    text: str = ""  # an answer's body, or where its client is sent
    server: Directive | None = None
    location: Directive | None = None
    upstream: str = ""
    candidates: tuple[str, ...] = ()
    spares: tuple[str, ...] = ()
    target: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)  # that are set on what goes on, names in lower case
    removed: tuple[str, ...] = ()  # the client's that don't go on


class Evaluator:
    """The files' http block, read once. Raises SourceError for what nginx would not start with."""

    def __init__(self, tree: tuple[Directive, ...]) -> None:
        blocks = [each for each in tree if each.name == "http"]
        if len(blocks) != 1:
            place = blocks[1].place if blocks else Place(tree[0].place.file if tree else "the file", 1)
            raise SourceError([Problem(place, f"one http block is needed, {len(blocks)} stand there")])
        self.http = blocks[0]
        self.servers = parse_servers(self.http)
        self.groups = groups(self.http)
        self.maps = tables(self.http)
        self.names = tuple(each.args[0].removeprefix("$") for each in _each(self.http) if each.name == "set")
        self._above: dict[int, Directive] = {}
        for block in _each(self.http):
            self._above.update((id(inner), block) for inner in block.block or ())

    def evaluate(self, request: Request) -> Result:
        """Raises NotEvaluatedError where the outcome is not certain from the files and the request alone."""
        chosen = choose_server(
            self.servers, request.address, request.port, host_name(request.headers.get("host"))
        )
        if chosen is None:
            raise ValueError(f"nothing listens at {request.address}:{request.port}")
        merge = chosen.server.block.last("merge_slashes") or self.http.last("merge_slashes")
        try:
            path, args = normalize(request.target, merge is None or merge.args != ("off",))
        except TargetError as error:
            return Result(400, str(error), chosen.server.block)
        scope = Scope(request, path, args.removeprefix(b"?"), self.maps, self.names)
        scope.known.update(chosen.captures)
        return self._walk(chosen, scope)

    def _walk(self, chosen: Chosen, scope: Scope) -> Result:
        server = chosen.server.block
        step = run(server, scope)
        if step.code:
            return Result(step.code, step.text, server)
        changed = step.changed
        for _ in range(CYCLES + 1):
            found = find(server, scope.uri)
            if found.redirect:
                query = b"?" + scope.args if scope.args else b""
                return Result(301, (found.redirect + query).decode("latin-1"), server)
            location = found.location
            if location is None:
                return Result(404, "", server)
            if location.regex and (match := location.search(scope.uri)):
                scope.capture(match)
            if location.block.last("internal") and not changed:
                return Result(404, "", server, location.block)
            step = run(location.block, scope)
            changed |= step.changed
            if step.code:
                return Result(step.code, step.text, server, location.block)
            if not (step.changed and step.search):
                return self._answer(server, location, step, scope, changed)
        return Result(500, "rewrites lead round", server)

    def _answer(
        self, server: Directive, location: Location, step: Step, scope: Scope, changed: bool
    ) -> Result:
        for block in self._chain(step.conf):
            for each in block.all(*BEYOND):
                raise NotEvaluatedError(each.place, each.name)
        if limit := location.block.last("limit_except"):
            if step.conf is not location.block:
                raise NotEvaluatedError(limit.place, "limit_except beside an if that holds")
            if not _allowed(limit, scope.request.method):
                if any(each.args == ("all",) for each in limit.all("deny")) and not limit.last("allow"):
                    return Result(403, "", server, location.block)
                if any(each.name != "proxy_pass" for each in limit.block or ()):
                    raise NotEvaluatedError(limit.place, "limit_except by more than deny all and proxy_pass")
                step.conf = limit
        # An `if` without a proxy_pass of its own goes by that of the location around it.
        owner = step.conf if step.conf.last("proxy_pass") else location.block
        proxy = owner.last("proxy_pass")
        if proxy is None:
            raise NotEvaluatedError(location.block.place, "a location that passes nothing on")
        url = scope.expand(proxy.args[0], proxy.place)
        if not url.startswith("http://"):
            raise NotEvaluatedError(proxy.place, f"proxy_pass to {url}")
        name, own = split_url(url)
        group = self.groups.get(name)
        headers, removed = self._headers(step.conf, name, scope)
        return Result(
            server=server,
            location=location.block,
            upstream=name,
            candidates=group.candidates() if group else (with_port(name),),
            spares=group.spares() if group else (),
            target=_target(proxy, own, location, step, scope, changed),
            headers=headers,
            removed=removed,
        )

    def _headers(self, conf: Directive, name: str, scope: Scope) -> tuple[dict[str, str], tuple[str, ...]]:
        """Those of the innermost block that sets any; none are joined over levels."""
        rows = next(
            (rows for block in self._chain(conf) if (rows := list(block.all("proxy_set_header")))), []
        )
        host = name.removesuffix(":80")
        scope.known.update({"proxy_host": host, "proxy_add_x_forwarded_for": _forwarded(scope)})
        headers = {"host": host, "connection": "close"}
        removed = []
        for row in rows:
            key = row.args[0].lower()
            headers.pop(key, None)
            if value := scope.expand(row.args[1], row.place):
                headers[key] = value
            else:
                removed.append(key)
        return headers, tuple(removed)

    def _chain(self, block: Directive) -> Iterator[Directive]:
        """A block and those around it, the innermost first."""
        at: Directive | None = block
        while at is not None:
            yield at
            at = self._above.get(id(at))


def _target(proxy: Directive, own: str, location: Location, step: Step, scope: Scope, changed: bool) -> bytes:
    """Path and arguments that go on; `own` is what `proxy_pass` has behind its server, expanded."""
    variables = "$" in proxy.args[0]
    if variables and own:
        return own.encode("latin-1")  # as it is written, in place of the request's
    raw = scope.request.target.partition(b"#")[0].partition(b"?")[0]
    # Changed in this very location, a path goes on whole: one of proxy_pass's own counts no more.
    path = passed_path(location, proxy, scope.uri, raw, changed, own=not (step.changed or variables))
    return path + (b"?" + scope.args if scope.args else b"")


def _allowed(limit: Directive, method: str) -> bool:
    """GET stands for HEAD, too."""
    return method in limit.args or (method == "HEAD" and "GET" in limit.args)


def _forwarded(scope: Scope) -> str:
    before = scope.request.headers.get("x-forwarded-for", "")
    return f"{before}, {scope.request.client}" if before else scope.request.client


def _each(block: Directive) -> Iterator[Directive]:
    yield block
    for inner in block.block or ():
        yield from _each(inner)
