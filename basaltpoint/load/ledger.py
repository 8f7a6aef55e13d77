"""Audit of the ledger: compares responses received by clients with the logs of the servers.

Finds violations of the limiter's guarantees. These are pure functions over plain records, so that tests can
use them with logs of their own. The times of both sides are in seconds of the same clock.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

DRAIN_GRACE_S = 0.25  # after the start of a drain; then no new attempt may arrive


@dataclass(frozen=True, slots=True)
class ClientAttempt:
    """An attempt as its client saw it. A client retry is another attempt."""

    ident: str
    answers: int
    hung_up: bool = False  # the client gave up first: no response is owed


@dataclass(frozen=True, slots=True)
class ServerAttempt:
    """An attempt as a server saw it. `ended_s` is None while it is in progress."""

    ident: str  # of the client attempt that it belongs to
    server: str
    came_s: float
    ended_s: float | None
    ran: bool  # it was executed, at least in part
    once: bool = False  # its class must never be executed twice
    key: str = ""
    repeat: bool = False  # dropped because its key had been received before
    via: str = ""  # name of the limiter that sent it


@dataclass(frozen=True, slots=True)
class Finding:
    """A violation."""

    kind: str  # lost, doubled, two at once, ran twice, late drain
    ident: str
    detail: str


def audit(
    client_attempts: Iterable[ClientAttempt],
    server_attempts: Iterable[ServerAttempt],
    drained_at_s: Mapping[str, float] | None = None,
    grace_s: float = DRAIN_GRACE_S,
) -> list[Finding]:
    """Returns every finding, ordered by kind.

    `drained_at_s`: times at which the limiter was notified of each server's drain.
    """
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
    latest, busy_until_s = attempts[0], -math.inf
    for attempt in attempts:
        if attempt.came_s < busy_until_s:
            yield Finding("two at once", ident, f"{latest.server} and {attempt.server}")
        end_s = math.inf if attempt.ended_s is None else attempt.ended_s
        if end_s >= busy_until_s:
            latest, busy_until_s = attempt, end_s


def _audit_single_execution(attempts: list[ServerAttempt]) -> Iterable[Finding]:
    """Finds work executed twice: by key over all attempts of a client, otherwise by client attempt."""
    ran: defaultdict[str, list[ServerAttempt]] = defaultdict(list)
    for attempt in attempts:
        if attempt.ran and not attempt.repeat and (attempt.once or attempt.key):
            ran[attempt.key or attempt.ident].append(attempt)
    for executions in ran.values():
        if len(executions) > 1:
            servers = " and ".join(attempt.server for attempt in executions)
            yield Finding("ran twice", executions[0].ident, servers)
