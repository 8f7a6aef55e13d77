"""The rewrite directives of one block, in their order.

Source: nginx's documentation of the rewrite module.
"""

from __future__ import annotations

from dataclasses import dataclass

from basaltpoint.importers.nginx.reference.regex import compiled
from basaltpoint.importers.nginx.reference.variables import NotEvaluatedError, Scope
from basaltpoint.importers.nginx.source import Directive, Place

REDIRECTS = {"redirect": 302, "permanent": 301}
ABSOLUTE = ("http://", "https://", "$scheme")


@dataclass(slots=True)
class Step:
    """What running a block came to; `conf` is the block whose settings hold from here on."""

    conf: Directive
    changed: bool = False  # the path
    stop: bool = False  # no further directive of this set runs
    search: bool = True  # a changed path gets a new location
    code: int = 0  # of an answer that ends the request
    text: str = ""  # its body, or where it sends its client


def run(block: Directive, scope: Scope) -> Step:
    """Run a server's, location's or if's directives; a true `if` takes the place of its block's settings."""
    step = Step(block)
    for each in block.block or ():
        match each.name:
            case "set":
                scope.known[each.args[0].removeprefix("$")] = scope.expand(each.args[1], each.place)
            case "break":
                step.stop, step.search = True, False
            case "return":
                _return(each, scope, step)
            case "rewrite":
                _rewrite(each, scope, step)
            case "if" if holds(each, scope):
                inner = run(each, scope)
                inner.changed |= step.changed
                step = inner
        if step.stop:
            break
    return step


def _return(each: Directive, scope: Scope, step: Step) -> None:
    code, *rest = each.args
    if not code.isdigit():
        code, rest = "302", [code]
    step.stop, step.code = True, int(code)
    step.text = scope.expand(rest[0], each.place) if rest else ""


def _rewrite(each: Directive, scope: Scope, step: Step) -> None:
    expression, replacement, *flags = each.args
    match = compiled(expression, each.place, False).search(scope.uri.decode("latin-1"))
    if match is None:
        return
    scope.capture(match)
    flag = flags[0] if flags else ""
    text = scope.expand(replacement.removesuffix("?"), each.place)
    path, mark, args = text.partition("?")
    # What the request asked with goes on behind what the replacement brings, unless that ends with a `?`.
    kept = "" if replacement.endswith("?") else scope.args.decode("latin-1")
    joined = "&".join(part for part in (args, kept) if part)
    if flag in REDIRECTS or replacement.startswith(ABSOLUTE):
        step.stop, step.code = True, REDIRECTS.get(flag, 302)
        step.text = path + ("?" + joined if joined or mark else "")
        return
    scope.uri, scope.args, step.changed = path.encode("latin-1"), joined.encode("latin-1"), True
    if flag == "last":
        step.stop = True
    elif flag == "break":
        step.stop, step.search = True, False


def holds(each: Directive, scope: Scope) -> bool:
    """Whether an `if`'s condition is true: neither empty nor 0, or a comparison that holds."""
    first, *rest = each.args
    if first.lstrip("!") in ("-f", "-d", "-e", "-x"):
        raise NotEvaluatedError(each.place, f"if: {first} asks for files")
    value = scope.expand(first, each.place)
    if not rest:
        return value not in ("", "0")
    operator, other = rest
    if operator in ("=", "!="):
        return (value == scope.expand(other, each.place)) == (operator == "=")
    return _found(operator, other, value, each.place, scope) != operator.startswith("!")


def _found(operator: str, expression: str, value: str, place: Place, scope: Scope) -> bool:
    kind = operator.removeprefix("!")
    if kind not in ("~", "~*"):
        raise NotEvaluatedError(place, f"if: the operator {operator!r}")
    match = compiled(expression, place, kind == "~*").search(value)
    if match:
        scope.capture(match)
    return match is not None
