"""Compiles nginx's regular expressions with Python's engine, which backtracks as PCRE does.

Syntax that only PCRE has (recursion, verbs, POSIX classes, some escapes) is rejected, never read with another
meaning. Bytes beyond ASCII are not letters, as in nginx, which compiles without UTF.
"""

from __future__ import annotations

import re
from functools import lru_cache

from basaltpoint.importers.nginx.source import Problem, SourceError, SourcePosition

NAMED_GROUP = re.compile(r"\(\?<(?![=!])")  # PCRE's short form of a named group
POSIX_CLASS = re.compile(r"\[[:.=]\^?\w+[:.=]\]")  # Python reads them as a set of the letters
NAMED_GROUP_IN_SET = re.compile(r"\[[^]]*\(\?<")


@lru_cache(maxsize=4096)
def compile_regex(pattern: str, position: SourcePosition, ignore_case: bool) -> re.Pattern[str]:
    """Compiles a regular expression. Raises SourceError, with the position, if it is not supported."""
    try:
        for unsupported, description in (
            (POSIX_CLASS, "a POSIX class"),
            (NAMED_GROUP_IN_SET, "(?< in a set"),
        ):
            if unsupported.search(pattern):
                raise re.error(description)
        return re.compile(NAMED_GROUP.sub("(?P<", pattern), re.A | (re.I if ignore_case else 0))
    except re.error as error:
        raise SourceError(
            [Problem(position, f"invalid or unsupported regular expression {pattern!r}: {error}")]
        ) from None


def captured_values(match: re.Match[str]) -> tuple[tuple[str, str], ...]:
    """Returns the captured values by number and by name; a group that did not match is empty."""
    numbered = ((str(n), value or "") for n, value in enumerate(match.groups(), 1))
    return (*numbered, *((key, value or "") for key, value in match.groupdict().items()))
