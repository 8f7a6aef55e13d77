"""Which location takes a path, and what goes on to the server behind it.

Source: nginx's documentation of `location` and `proxy_pass`.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from basaltpoint.importers.nginx.reference.regex import compiled
from basaltpoint.importers.nginx.reference.uri import escape
from basaltpoint.importers.nginx.source import Directive, Problem, SourceError

FORMS = ("=", "^~", "~", "~*")
OTHER_HANDLERS = ("fastcgi_pass", "uwsgi_pass", "scgi_pass", "memcached_pass", "grpc_pass")


@dataclass(frozen=True, slots=True)
class Location:
    """`form` is one of FORMS, `@` for a named one, or empty for a plain prefix."""

    block: Directive
    form: str
    text: str

    @property
    def prefix(self) -> bool:
        return self.form in ("", "^~")

    @property
    def regex(self) -> bool:
        return self.form in ("~", "~*")

    def search(self, path: bytes) -> re.Match[str] | None:
        """Where an expression is found in a path."""
        return compiled(self.text, self.block.place, self.form == "~*").search(path.decode("latin-1"))


def parse_location(block: Directive) -> Location:
    """The form may stand before the text as a word of its own, or be written on it."""
    form, text = ("", block.args[0]) if len(block.args) == 1 else (block.args[0], block.args[1])
    if not form:
        for each in ("@", "=", "^~", "~*", "~"):
            if text.startswith(each):
                form, text = each, text[len(each) :]
                break
    if form and form not in (*FORMS, "@"):
        raise SourceError([Problem(block.place, f"location: {form!r} is none of {', '.join(FORMS)}")])
    return Location(block, form, text)


@dataclass(frozen=True, slots=True)
class Found:
    """The location of a path; `redirect`: the path with a slash behind it, to which its client is sent."""

    location: Location | None = None
    redirect: bytes = b""
    final: bool = False  # no expression of an outer level is asked any more


def find(block: Directive, path: bytes) -> Found:
    """The location for a normalized path, in a server or location block.

    On each level: an exact location ends the search. The longest prefix is remembered, and the search goes on
    below it. Unless that prefix is `^~`, the first expression that is found takes the path, and the search
    goes on below that one; else the prefix stands. A prefix with a closing slash that is proxied sends the
    path without it there, before any expression is asked.
    """
    text = path.decode("latin-1")
    locations = [parse_location(each) for each in block.all("location")]
    for each in locations:
        if each.form == "=" and each.text == text:
            return Found(each, final=True)
    prefixes = [each for each in locations if each.prefix and text.startswith(each.text)]
    best = max(prefixes, key=lambda each: len(each.text), default=None)
    slashed = (each for each in locations if each.prefix and each.text == text + "/" and _proxied(each.block))
    if (best is None or best.text != text) and (to := next(slashed, None)):
        return Found(to, path + b"/", final=True)
    found = Found(best)
    if best:
        below = find(best.block, path)
        if below.final:
            return below
        found = Found(below.location or best)
    if best is None or best.form != "^~":
        for each in locations:
            if each.regex and each.search(path):
                below = find(each.block, path)
                return below if below.final else Found(below.location or each, final=True)
    return found


def _proxied(block: Directive) -> bool:
    return any(True for _ in block.all("proxy_pass", *OTHER_HANDLERS))


def split_url(url: str) -> tuple[str, str]:
    """The server or group of a `proxy_pass`, and its own path; behind a socket that stands after a colon."""
    rest = url.partition("://")[2]
    if rest.startswith("unix:"):
        socket, _, own = rest.removeprefix("unix:").partition(":")
        return "unix:" + socket, own
    name, slash, own = rest.partition("/")
    return name, slash + own


def passed_path(
    location: Location, proxy: Directive, path: bytes, raw: bytes, changed: bool = False, own: bool = True
) -> bytes:
    """The path that a location's `proxy_pass` sends on, without the arguments.

    `path` is normalized, `raw` as it came. With a path of its own in `proxy_pass` the part that the location
    matched is replaced by that; without, or where it does not count (`own`), the request's goes on as it
    came, or as it was `changed` to.
    Raises SourceError for a path under an expression or a named location: nginx does not start with it.
    """
    replacement = split_url(proxy.args[0])[1] if own else ""
    if not replacement:
        return escape(path) if changed else raw
    if not location.prefix and location.form != "=":
        text = '"proxy_pass" can\'t have a path in a location given by an expression, or a named one'
        raise SourceError([Problem(proxy.place, text)])
    return replacement.encode() + escape(path[len(location.text.encode("latin-1")) :])
