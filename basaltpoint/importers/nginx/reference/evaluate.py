"""Evaluates one request by nginx's documented rules, from the listening address to the upstream server."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from basaltpoint.importers.nginx.reference.locations import (
    OTHER_HANDLERS,
    Location,
    find_location,
    proxied_path,
    split_proxy_url,
)
from basaltpoint.importers.nginx.reference.rewrite import RewriteResult, run_rewrite
from basaltpoint.importers.nginx.reference.servers import ChosenServer, choose_server, parse_servers
from basaltpoint.importers.nginx.reference.upstreams import add_default_port, parse_upstreams
from basaltpoint.importers.nginx.reference.uri import TargetError, host_name, normalize_target
from basaltpoint.importers.nginx.reference.variables import NotEvaluatedError, Request, Scope, parse_maps
from basaltpoint.importers.nginx.source import Directive, Problem, SourceError, SourcePosition

MAX_URI_CHANGES = 10  # internal redirects by rewrite; nginx returns 500 on one more
# These depend on what the evaluator does not know: files, subrequests, other protocols.
UNSUPPORTED_DIRECTIVES = ("try_files", "auth_request", *OTHER_HANDLERS)


@dataclass(frozen=True, slots=True)
class Result:
    """`code` is 0 if the request is proxied to one of `candidates`, else the status code of the response."""

    code: int = 0
    text: str = ""  # body of the response, or URL of the redirect
    server: Directive | None = None
    location: Directive | None = None
    upstream: str = ""
    candidates: tuple[str, ...] = ()
    backups: tuple[str, ...] = ()
    target: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)  # set on the proxied request; names in lower case
    removed_headers: tuple[str, ...] = ()  # headers of the client that are not proxied


class Evaluator:
    """Evaluates requests against an http block. Raises SourceError if nginx would refuse to start with it."""

    def __init__(self, tree: tuple[Directive, ...]) -> None:
        blocks = [each for each in tree if each.name == "http"]
        if len(blocks) != 1:
            position = (
                blocks[1].position
                if blocks
                else SourcePosition(tree[0].position.file if tree else "the file", 1)
            )
            raise SourceError([Problem(position, f"exactly one http block is needed, {len(blocks)} found")])
        self.http = blocks[0]
        self.servers = parse_servers(self.http)
        self.upstreams = parse_upstreams(self.http)
        self.maps = parse_maps(self.http)
        self.set_variables = tuple(
            each.args[0].removeprefix("$") for each in _descend(self.http) if each.name == "set"
        )
        self._parents: dict[int, Directive] = {}
        for block in _descend(self.http):
            self._parents.update((id(inner), block) for inner in block.block or ())

    def evaluate(self, request: Request) -> Result:
        """Evaluates a request.

        Raises NotEvaluatedError if the files and the request alone do not determine the outcome.
        """
        chosen = choose_server(
            self.servers, request.address, request.port, host_name(request.headers.get("host"))
        )
        if chosen is None:
            raise ValueError(f"no server listens at {request.address}:{request.port}")
        merge = chosen.server.block.find_last("merge_slashes") or self.http.find_last("merge_slashes")
        try:
            path, args = normalize_target(request.target, merge is None or merge.args != ("off",))
        except TargetError as error:
            return Result(400, str(error), chosen.server.block)
        scope = Scope(request, path, args.removeprefix(b"?"), self.maps, self.set_variables)
        scope.values.update(chosen.captures)
        return self._process(chosen, scope)

    def _process(self, chosen: ChosenServer, scope: Scope) -> Result:
        server = chosen.server.block
        rewrite = run_rewrite(server, scope)
        if rewrite.code:
            return Result(rewrite.code, rewrite.text, server)
        uri_changed = rewrite.uri_changed
        for _ in range(MAX_URI_CHANGES + 1):
            found = find_location(server, scope.uri)
            if found.redirect:
                query = b"?" + scope.args if scope.args else b""
                return Result(301, (found.redirect + query).decode("latin-1"), server)
            location = found.location
            if location is None:
                return Result(404, "", server)
            if location.is_regex and (match := location.search(scope.uri)):
                scope.add_captures(match)
            if location.block.find_last("internal") and not uri_changed:
                return Result(404, "", server, location.block)
            rewrite = run_rewrite(location.block, scope)
            uri_changed |= rewrite.uri_changed
            if rewrite.code:
                return Result(rewrite.code, rewrite.text, server, location.block)
            if not (rewrite.uri_changed and rewrite.search_location):
                return self._proxy(server, location, rewrite, scope, uri_changed)
        return Result(500, "rewrite cycle", server)

    def _proxy(
        self, server: Directive, location: Location, rewrite: RewriteResult, scope: Scope, uri_changed: bool
    ) -> Result:
        for block in self._enclosing_blocks(rewrite.config_block):
            for each in block.find_all(*UNSUPPORTED_DIRECTIVES):
                raise NotEvaluatedError(each.position, each.name)
        if limit_except := location.block.find_last("limit_except"):
            if rewrite.config_block is not location.block:
                raise NotEvaluatedError(
                    limit_except.position, "limit_except beside an if whose condition is true"
                )
            if not _is_method_allowed(limit_except, scope.request.method):
                if any(
                    each.args == ("all",) for each in limit_except.find_all("deny")
                ) and not limit_except.find_last("allow"):
                    return Result(403, "", server, location.block)
                if any(each.name != "proxy_pass" for each in limit_except.block or ()):
                    raise NotEvaluatedError(
                        limit_except.position, "limit_except with more than deny all and proxy_pass"
                    )
                rewrite.config_block = limit_except
        # An `if` without a proxy_pass uses the one of its location.
        owner = rewrite.config_block if rewrite.config_block.find_last("proxy_pass") else location.block
        proxy = owner.find_last("proxy_pass")
        if proxy is None:
            raise NotEvaluatedError(location.block.position, "a location without proxy_pass")
        url = scope.expand(proxy.args[0], proxy.position)
        if not url.startswith("http://"):
            raise NotEvaluatedError(proxy.position, f"proxy_pass to {url}")
        upstream_name, proxy_uri = split_proxy_url(url)
        upstream = self.upstreams.get(upstream_name)
        headers, removed = self._proxied_headers(rewrite.config_block, upstream_name, scope)
        return Result(
            server=server,
            location=location.block,
            upstream=upstream_name,
            candidates=upstream.candidates() if upstream else (add_default_port(upstream_name),),
            backups=upstream.backups() if upstream else (),
            target=_proxied_target(proxy, proxy_uri, location, rewrite, scope, uri_changed),
            headers=headers,
            removed_headers=removed,
        )

    def _proxied_headers(
        self, config_block: Directive, upstream_name: str, scope: Scope
    ) -> tuple[dict[str, str], tuple[str, ...]]:
        """Returns the headers set and removed; only the innermost block with proxy_set_header applies."""
        directives = next(
            (
                directives
                for block in self._enclosing_blocks(config_block)
                if (directives := list(block.find_all("proxy_set_header")))
            ),
            [],
        )
        host = upstream_name.removesuffix(":80")
        scope.values.update({"proxy_host": host, "proxy_add_x_forwarded_for": _x_forwarded_for(scope)})
        headers = {"host": host, "connection": "close"}
        removed = []
        for directive in directives:
            key = directive.args[0].lower()
            headers.pop(key, None)
            if value := scope.expand(directive.args[1], directive.position):
                headers[key] = value
            else:
                removed.append(key)
        return headers, tuple(removed)

    def _enclosing_blocks(self, block: Directive) -> Iterator[Directive]:
        """Yields a block and its enclosing blocks, innermost first."""
        current: Directive | None = block
        while current is not None:
            yield current
            current = self._parents.get(id(current))


def _proxied_target(
    proxy: Directive,
    proxy_uri: str,
    location: Location,
    rewrite: RewriteResult,
    scope: Scope,
    uri_changed: bool,
) -> bytes:
    """Returns the path and arguments to send; `proxy_uri` is the URI part of `proxy_pass`, expanded."""
    has_variables = "$" in proxy.args[0]
    if has_variables and proxy_uri:
        return proxy_uri.encode("latin-1")  # sent as it is, in place of the request's URI
    raw_path = scope.request.target.partition(b"#")[0].partition(b"?")[0]
    # A path that was changed in this location is sent whole; the URI of proxy_pass is ignored.
    path = proxied_path(
        location,
        proxy,
        scope.uri,
        raw_path,
        uri_changed,
        use_proxy_uri=not (rewrite.uri_changed or has_variables),
    )
    return path + (b"?" + scope.args if scope.args else b"")


def _is_method_allowed(limit_except: Directive, method: str) -> bool:
    """In limit_except, GET includes HEAD."""
    return method in limit_except.args or (method == "HEAD" and "GET" in limit_except.args)


def _x_forwarded_for(scope: Scope) -> str:
    received = scope.request.headers.get("x-forwarded-for", "")
    return f"{received}, {scope.request.client}" if received else scope.request.client


def _descend(block: Directive) -> Iterator[Directive]:
    yield block
    for inner in block.block or ():
        yield from _descend(inner)
