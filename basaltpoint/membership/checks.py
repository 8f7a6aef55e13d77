"""Active health checks: when a server is checked, and what its answers make of it.

A machine without I/O: the list, answers and the time go in, checks that are due and verdicts come out. The
decision module hears verdicts only.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass

from basaltpoint.interface import ProbeRule


@dataclass(slots=True)
class CheckedServer:
    """What checks know of one server."""

    rule: ProbeRule
    due_ms: float
    is_down: bool = False
    opposing_results: int = 0  # of answers that speak against `down`
    in_progress: bool = False  # a check is on its way, and the next one is planned at its end


class Checks:
    """A queue of due checks; servers without a rule are never in it."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.servers: dict[int, CheckedServer] = {}
        self._due: list[tuple[float, int]] = []

    def update_servers(self, now_ms: float, rules: dict[int, ProbeRule]) -> list[int]:
        """Take up the rule of each server that is to be checked; returns those that are no longer down.

        A server that is new here is checked first at random within its period: limiters don't come together.
        """
        recovered = [ident for ident, known in self.servers.items() if ident not in rules and known.is_down]
        for ident in self.servers.keys() - rules.keys():
            del self.servers[ident]
        for ident, rule in rules.items():
            if known := self.servers.get(ident):
                known.rule = rule
            else:
                first = now_ms + self.rng.random() * rule.every_ms
                self.servers[ident] = CheckedServer(rule, first)
                heapq.heappush(self._due, (first, ident))
        return recovered

    @property
    def next_due_ms(self) -> float | None:
        """When `due` has something to say."""
        return self._due[0][0] if self._due else None

    def start_due(self, now_ms: float) -> list[int]:
        """The servers to check now; a late call delays checks, it never doubles them."""
        started = []
        while self._due and self._due[0][0] <= now_ms:
            due_ms, ident = heapq.heappop(self._due)
            # One that was removed and came again has a time of its own; the older entry is void.
            if (known := self.servers.get(ident)) and known.due_ms == due_ms and not known.in_progress:
                known.in_progress = True
                started.append(ident)
        return started

    def record_result(self, now_ms: float, ident: int, is_healthy: bool) -> bool | None:
        """Book an answer: `fall` bad ones in a row put a server down, `rise` good ones up again.

        Returns the verdict where it has changed: True for up.
        """
        if (known := self.servers.get(ident)) is None or not known.in_progress:
            return None
        known.in_progress, known.due_ms = False, now_ms + known.rule.every_ms
        heapq.heappush(self._due, (known.due_ms, ident))
        known.opposing_results = known.opposing_results + 1 if is_healthy is known.is_down else 0
        if known.opposing_results < (known.rule.rise if known.is_down else known.rule.fall):
            return None
        known.is_down, known.opposing_results = not known.is_down, 0
        return not known.is_down
