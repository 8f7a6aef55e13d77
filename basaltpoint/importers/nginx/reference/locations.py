"""Selects the location for a path, and determines the path sent to the upstream.

Source: nginx's documentation of `location` and `proxy_pass`.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from basaltpoint.importers.nginx.reference.regex import compile_regex
from basaltpoint.importers.nginx.reference.uri import escape_path
from basaltpoint.importers.nginx.source import Directive, Problem, SourceError

MODIFIERS = ("=", "^~", "~", "~*")
OTHER_HANDLERS = ("fastcgi_pass", "uwsgi_pass", "scgi_pass", "memcached_pass", "grpc_pass")


@dataclass(frozen=True, slots=True)
class Location:
    """A location; `modifier` is one of MODIFIERS, `@` for a named location, or empty for a plain prefix."""

    block: Directive
    modifier: str
    pattern: str

    @property
    def is_prefix(self) -> bool:
        return self.modifier in ("", "^~")

    @property
    def is_regex(self) -> bool:
        return self.modifier in ("~", "~*")

    def search(self, path: bytes) -> re.Match[str] | None:
        """Searches a path for the location's regular expression."""
        return compile_regex(self.pattern, self.block.position, self.modifier == "~*").search(
            path.decode("latin-1")
        )


def parse_location(block: Directive) -> Location:
    """The modifier may be a separate argument or be joined to the pattern."""
    modifier, pattern = ("", block.args[0]) if len(block.args) == 1 else (block.args[0], block.args[1])
    if not modifier:
        for each in ("@", "=", "^~", "~*", "~"):
            if pattern.startswith(each):
                modifier, pattern = each, pattern[len(each) :]
                break
    if modifier and modifier not in (*MODIFIERS, "@"):
        raise SourceError(
            [
                Problem(
                    block.position,
                    f"location: unknown modifier {modifier!r}, expected {', '.join(MODIFIERS)}",
                )
            ]
        )
    return Location(block, modifier, pattern)


@dataclass(frozen=True, slots=True)
class LocationMatch:
    """The location for a path; `redirect` is the path with a slash appended, if the client is redirected."""

    location: Location | None = None
    redirect: bytes = b""
    final: bool = False  # the search ends: regular expressions of outer levels are not checked


def find_location(block: Directive, path: bytes) -> LocationMatch:
    """Returns the location for a normalized path, in a server or location block.

    On each level, an exact match ends the search. Otherwise the longest matching prefix is remembered, and
    the search continues in its nested locations. Unless that prefix has the modifier `^~`, the regular
    expressions are checked in file order; the first match is used, and the search continues in its nested
    locations. If none matches, the remembered prefix is used. If a proxied prefix location ends with a slash,
    a request for the path without the slash is redirected there before any regular expression is checked.
    """
    text = path.decode("latin-1")
    locations = [parse_location(each) for each in block.find_all("location")]
    for each in locations:
        if each.modifier == "=" and each.pattern == text:
            return LocationMatch(each, final=True)
    prefixes = [each for each in locations if each.is_prefix and text.startswith(each.pattern)]
    longest = max(prefixes, key=lambda each: len(each.pattern), default=None)
    with_slash = (
        each
        for each in locations
        if each.is_prefix and each.pattern == text + "/" and _is_proxied(each.block)
    )
    if (longest is None or longest.pattern != text) and (slash_match := next(with_slash, None)):
        return LocationMatch(slash_match, path + b"/", final=True)
    match = LocationMatch(longest)
    if longest:
        nested = find_location(longest.block, path)
        if nested.final:
            return nested
        match = LocationMatch(nested.location or longest)
    if longest is None or longest.modifier != "^~":
        for each in locations:
            if each.is_regex and each.search(path):
                nested = find_location(each.block, path)
                return nested if nested.final else LocationMatch(nested.location or each, final=True)
    return match


def _is_proxied(block: Directive) -> bool:
    return any(True for _ in block.find_all("proxy_pass", *OTHER_HANDLERS))


def split_proxy_url(url: str) -> tuple[str, str]:
    """Splits the URL of a `proxy_pass` into server or upstream, and URI (after a socket: behind a colon)."""
    rest = url.partition("://")[2]
    if rest.startswith("unix:"):
        socket, _, uri = rest.removeprefix("unix:").partition(":")
        return "unix:" + socket, uri
    name, slash, uri = rest.partition("/")
    return name, slash + uri


def proxied_path(
    location: Location,
    proxy: Directive,
    path: bytes,
    raw_path: bytes,
    uri_changed: bool = False,
    use_proxy_uri: bool = True,
) -> bytes:
    """Returns the path that a location's `proxy_pass` sends, without the arguments.

    `path` is normalized, `raw_path` is as received. If `proxy_pass` has a URI, it replaces the part of the
    path that the location matched. If it has none, or `use_proxy_uri` is false, the path is sent as received,
    or as rewritten if `uri_changed`.
    Raises SourceError for a URI in a regular expression or named location: nginx refuses to start with it.
    """
    replacement = split_proxy_url(proxy.args[0])[1] if use_proxy_uri else ""
    if not replacement:
        return escape_path(path) if uri_changed else raw_path
    if not location.is_prefix and location.modifier != "=":
        text = (
            '"proxy_pass" can\'t have a URI in a location given by a regular expression, or a named location'
        )
        raise SourceError([Problem(proxy.position, text)])
    return replacement.encode() + escape_path(path[len(location.pattern.encode("latin-1")) :])
