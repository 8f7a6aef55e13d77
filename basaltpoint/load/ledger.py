"""The ledger: what clients were told, held against what servers did. Finds what must never happen.

Pure functions over plain records, so that any test can use them with logs of its own making. Times of both
sides are seconds of one clock.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

GRACE_S = 0.25  # after a drain was told nothing new may come


@dataclass(frozen=True, slots=True)
class Asked:
    """A try as its client saw it. A client's retry is another try."""

    ident: str
    answers: int
    hung_up: bool = False  # the client gave up first: no answer is owed


@dataclass(frozen=True, slots=True)
class Attempt:
    """A message as a server saw it. `ended_s` is None while it is out."""

    ident: str  # of the try that it belongs to
    server: str
    came_s: float
    ended_s: float | None
    ran: bool  # its work was done, in part or whole
    once: bool = False  # of a class that must never run twice
    key: str = ""
    repeat: bool = False  # dropped as the repeat of a key
    via: str = ""  # the limiter that sent it, as it calls itself


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that must not have happened."""

    kind: str  # lost, doubled, two at once, ran twice, late drain
    ident: str
    what: str


def audit(
    asked: Iterable[Asked],
    attempts: Iterable[Attempt],
    drained: Mapping[str, float] | None = None,
    grace_s: float = GRACE_S,
) -> list[Finding]:
    """Every finding, in the order of kinds. `drained`: when the limiter was told of each server's drain."""
    rows = sorted(attempts, key=lambda attempt: attempt.came_s)
    findings = list(_answers(asked))
    by_try: defaultdict[str, list[Attempt]] = defaultdict(list)
    for attempt in rows:
        by_try[attempt.ident].append(attempt)
    for ident, own in by_try.items():
        findings += _two_at_once(ident, own)
    findings += _twice(rows)
    for attempt in rows:
        told = (drained or {}).get(attempt.server)
        if told is not None and attempt.came_s > told + grace_s:
            late = (attempt.came_s - told) * 1000
            findings.append(Finding("late drain", attempt.ident, f"{attempt.server}, {late:.0f} ms after"))
    return findings


def _answers(asked: Iterable[Asked]) -> Iterable[Finding]:
    for one in asked:
        if one.answers == 0 and not one.hung_up:
            yield Finding("lost", one.ident, "no answer")
        elif one.answers > 1:
            yield Finding("doubled", one.ident, f"{one.answers} answers")


def _two_at_once(ident: str, own: list[Attempt]) -> Iterable[Finding]:
    before, until = own[0], -math.inf
    for attempt in own:
        if attempt.came_s < until:
            yield Finding("two at once", ident, f"{before.server} and {attempt.server}")
        end = math.inf if attempt.ended_s is None else attempt.ended_s
        if end >= until:
            before, until = attempt, end


def _twice(rows: list[Attempt]) -> Iterable[Finding]:
    """Work that must run once: by its key over all tries of a client, else by its try."""
    ran: defaultdict[str, list[Attempt]] = defaultdict(list)
    for attempt in rows:
        if attempt.ran and not attempt.repeat and (attempt.once or attempt.key):
            ran[attempt.key or attempt.ident].append(attempt)
    for own in ran.values():
        if len(own) > 1:
            servers = " and ".join(attempt.server for attempt in own)
            yield Finding("ran twice", own[0].ident, servers)
