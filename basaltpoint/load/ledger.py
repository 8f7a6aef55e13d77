"""The ledger: what clients were told, held against what servers did. Finds what must never happen.

Pure functions over plain records, so that any test can use them with logs of its own making. Times of both
sides are seconds of one clock.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

DRAIN_GRACE_S = 0.25  # after a drain was told nothing new may come


@dataclass(frozen=True, slots=True)
class ClientAttempt:
    """A try as its client saw it. A client's retry is another try."""

    ident: str
    answers: int
    hung_up: bool = False  # the client gave up first: no answer is owed


@dataclass(frozen=True, slots=True)
class ServerAttempt:
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
    detail: str


def audit(
    client_attempts: Iterable[ClientAttempt],
    server_attempts: Iterable[ServerAttempt],
    drained_at_s: Mapping[str, float] | None = None,
    grace_s: float = DRAIN_GRACE_S,
) -> list[Finding]:
    """Every finding, in the order of kinds. `drained`: when the limiter was told of each server's drain."""
    ordered = sorted(server_attempts, key=lambda attempt: attempt.came_s)
    findings = list(_audit_answers(client_attempts))
    by_ident: defaultdict[str, list[ServerAttempt]] = defaultdict(list)
    for attempt in ordered:
        by_ident[attempt.ident].append(attempt)
    for ident, attempts in by_ident.items():
        findings += _audit_concurrency(ident, attempts)
    findings += _audit_single_execution(ordered)
    for attempt in ordered:
        drain_s = (drained_at_s or {}).get(attempt.server)
        if drain_s is not None and attempt.came_s > drain_s + grace_s:
            late_ms = (attempt.came_s - drain_s) * 1000
            findings.append(Finding("late drain", attempt.ident, f"{attempt.server}, {late_ms:.0f} ms after"))
    return findings


def _audit_answers(client_attempts: Iterable[ClientAttempt]) -> Iterable[Finding]:
    for attempt in client_attempts:
        if attempt.answers == 0 and not attempt.hung_up:
            yield Finding("lost", attempt.ident, "no answer")
        elif attempt.answers > 1:
            yield Finding("doubled", attempt.ident, f"{attempt.answers} answers")


def _audit_concurrency(ident: str, attempts: list[ServerAttempt]) -> Iterable[Finding]:
    before, until = attempts[0], -math.inf
    for attempt in attempts:
        if attempt.came_s < until:
            yield Finding("two at once", ident, f"{before.server} and {attempt.server}")
        end = math.inf if attempt.ended_s is None else attempt.ended_s
        if end >= until:
            before, until = attempt, end


def _audit_single_execution(attempts: list[ServerAttempt]) -> Iterable[Finding]:
    """Work that must run once: by its key over all tries of a client, else by its try."""
    ran: defaultdict[str, list[ServerAttempt]] = defaultdict(list)
    for attempt in attempts:
        if attempt.ran and not attempt.repeat and (attempt.once or attempt.key):
            ran[attempt.key or attempt.ident].append(attempt)
    for executions in ran.values():
        if len(executions) > 1:
            servers = " and ".join(attempt.server for attempt in executions)
            yield Finding("ran twice", executions[0].ident, servers)
