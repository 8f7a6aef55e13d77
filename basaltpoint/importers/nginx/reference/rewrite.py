"""Runs the rewrite module's directives of one block, in file order.

Source: nginx's documentation of the rewrite module.
"""

from __future__ import annotations

from dataclasses import dataclass

from basaltpoint.importers.nginx.reference.regex import compile_regex
from basaltpoint.importers.nginx.reference.variables import NotEvaluatedError, Scope
from basaltpoint.importers.nginx.source import Directive, SourcePosition

REDIRECT_CODES = {"redirect": 302, "permanent": 301}
ABSOLUTE_URL_PREFIXES = ("http://", "https://", "$scheme")


@dataclass(slots=True)
class RewriteResult:
    """The result of running a block; `config_block` is the block whose settings apply afterwards."""

    config_block: Directive
    uri_changed: bool = False
    stopped: bool = False  # no further rewrite directive of this block runs
    search_location: bool = True  # a new location is searched for a changed URI
    code: int = 0  # status code of a response that ends the request; 0 for none
    text: str = ""  # body of that response, or URL of the redirect


def run_rewrite(block: Directive, scope: Scope) -> RewriteResult:
    """Runs the directives of a server, location or if block; a true `if` replaces its block's settings."""
    result = RewriteResult(block)
    for directive in block.block or ():
        match directive.name:
            case "set":
                scope.values[directive.args[0].removeprefix("$")] = scope.expand(
                    directive.args[1], directive.position
                )
            case "break":
                result.stopped, result.search_location = True, False
            case "return":
                _return(directive, scope, result)
            case "rewrite":
                _rewrite(directive, scope, result)
            case "if" if is_condition_true(directive, scope):
                inner = run_rewrite(directive, scope)
                inner.uri_changed |= result.uri_changed
                result = inner
        if result.stopped:
            break
    return result


def _return(directive: Directive, scope: Scope, result: RewriteResult) -> None:
    code, *rest = directive.args
    if not code.isdigit():
        code, rest = "302", [code]
    result.stopped, result.code = True, int(code)
    result.text = scope.expand(rest[0], directive.position) if rest else ""


def _rewrite(directive: Directive, scope: Scope, result: RewriteResult) -> None:
    expression, replacement, *flags = directive.args
    match = compile_regex(expression, directive.position, False).search(scope.uri.decode("latin-1"))
    if match is None:
        return
    scope.add_captures(match)
    flag = flags[0] if flags else ""
    text = scope.expand(replacement.removesuffix("?"), directive.position)
    path, question_mark, args = text.partition("?")
    # The request's arguments are appended to those of the replacement, unless it ends with a `?`.
    request_args = "" if replacement.endswith("?") else scope.args.decode("latin-1")
    joined_args = "&".join(part for part in (args, request_args) if part)
    if flag in REDIRECT_CODES or replacement.startswith(ABSOLUTE_URL_PREFIXES):
        result.stopped, result.code = True, REDIRECT_CODES.get(flag, 302)
        result.text = path + ("?" + joined_args if joined_args or question_mark else "")
        return
    scope.uri, scope.args, result.uri_changed = path.encode("latin-1"), joined_args.encode("latin-1"), True
    if flag == "last":
        result.stopped = True
    elif flag == "break":
        result.stopped, result.search_location = True, False


def is_condition_true(directive: Directive, scope: Scope) -> bool:
    """Whether the condition of an `if` is true: a value neither empty nor 0, or a true comparison."""
    first, *rest = directive.args
    if first.lstrip("!") in ("-f", "-d", "-e", "-x"):
        raise NotEvaluatedError(directive.position, f"if: {first} tests files")
    value = scope.expand(first, directive.position)
    if not rest:
        return value not in ("", "0")
    operator, operand = rest
    if operator in ("=", "!="):
        return (value == scope.expand(operand, directive.position)) == (operator == "=")
    return _regex_matches(operator, operand, value, directive.position, scope) != operator.startswith("!")


def _regex_matches(
    operator: str, expression: str, value: str, position: SourcePosition, scope: Scope
) -> bool:
    match_operator = operator.removeprefix("!")
    if match_operator not in ("~", "~*"):
        raise NotEvaluatedError(position, f"if: the operator {operator!r}")
    match = compile_regex(expression, position, match_operator == "~*").search(value)
    if match:
        scope.add_captures(match)
    return match is not None
