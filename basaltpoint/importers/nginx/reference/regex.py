"""nginx's expressions on Python's engine, which backtracks as PCRE does.

What the two don't share (recursion, verbs, POSIX classes, escapes of PCRE's own) is refused, never taken for
something else. Bytes beyond ASCII are no letters, as in nginx, which compiles without UTF.
"""

from __future__ import annotations

import re
from functools import lru_cache

from basaltpoint.importers.nginx.source import Place, Problem, SourceError

NAMED = re.compile(r"\(\?<(?![=!])")  # PCRE's short form of a named group
POSIX = re.compile(r"\[[:.=]\^?\w+[:.=]\]")  # Python reads them as a set of these letters
NAMED_IN_SET = re.compile(r"\[[^]]*\(\?<")


@lru_cache(maxsize=4096)
def compiled(text: str, place: Place, ignore_case: bool) -> re.Pattern[str]:
    """Raises SourceError, with the place, for an expression that has no meaning here."""
    try:
        for odd, what in ((POSIX, "a POSIX class"), (NAMED_IN_SET, "(?< in a set")):
            if odd.search(text):
                raise re.error(what)
        return re.compile(NAMED.sub("(?P<", text), re.A | (re.I if ignore_case else 0))
    except re.error as error:
        raise SourceError([Problem(place, f"the expression {text!r} can't be read: {error}")]) from None


def captures(match: re.Match[str]) -> tuple[tuple[str, str], ...]:
    """What a match captured, by number and by name; a group that took no part is empty."""
    numbered = ((str(n), value or "") for n, value in enumerate(match.groups(), 1))
    return (*numbered, *((key, value or "") for key, value in match.groupdict().items()))
