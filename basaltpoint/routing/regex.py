"""Regular expressions of routes, with RE2: it matches in linear time, so no path can block the event loop."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

MAX_AUTOMATON_BYTES = 8 << 20  # per expression; a larger one is rejected when it is compiled


class RegexError(ValueError):
    """RE2 does not accept an expression; the message gives the reason."""


def check_expression(expression: str) -> None:
    """Raises RegexError for bad syntax, back references, look-around and too large expressions."""
    import re2  # type: ignore[import-untyped]

    try:
        re2.compile(expression, _options(re2))
    except re2.error as error:
        text = error.args[0] if error.args else error
        raise RegexError(text.decode(errors="replace") if isinstance(text, bytes) else str(text)) from None


def _options(re2: Any) -> Any:
    options = re2.Options()
    options.max_mem = MAX_AUTOMATON_BYTES
    options.log_errors = False
    return options


class ExpressionSet:
    """Expressions that are searched together; without `^` and `$` they match anywhere in the path."""

    def __init__(self, expressions: Sequence[str]) -> None:
        import re2

        self._set = re2.Set.SearchSet(_options(re2))
        for expression in expressions:
            self._set.Add(expression)
        self._set.Compile()

    def match(self, text: str) -> Sequence[int]:
        found: Sequence[int] = self._set.Match(text) or ()
        return found
