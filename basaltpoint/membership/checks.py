"""Active health checks: when a server is checked, and whether its results mark it up or down.

This is a state machine without I/O: it takes the list of servers, results and the time, and returns due
checks and verdicts. The decision module receives the verdicts only.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass

from basaltpoint.interface import ProbeRule


@dataclass(slots=True)
class CheckedServer:
    """State of the health checks of one server."""

    rule: ProbeRule
    due_ms: float
    is_down: bool = False
    opposing_results: int = 0  # consecutive results that contradict `is_down`
    in_progress: bool = False  # a check is running; the next one is scheduled when it ends


class Checks:
    """Schedules the checks; servers without a rule are not checked."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.servers: dict[int, CheckedServer] = {}
        self._due: list[tuple[float, int]] = []

    def update_servers(self, now_ms: float, rules: dict[int, ProbeRule]) -> list[int]:
        """Replaces the rules of all servers. Returns the servers that were down and are no longer checked.

        The first check of a new server is at a random time within its period, so that limiters do not check
        it at the same moment.
        """
        recovered = [ident for ident, known in self.servers.items() if ident not in rules and known.is_down]
        for ident in self.servers.keys() - rules.keys():
            del self.servers[ident]
        for ident, rule in rules.items():
            if server := self.servers.get(ident):
                server.rule = rule
            else:
                first = now_ms + self.rng.random() * rule.every_ms
                self.servers[ident] = CheckedServer(rule, first)
                heapq.heappush(self._due, (first, ident))
        return recovered

    @property
    def next_due_ms(self) -> float | None:
        """When the next check is due; None without servers."""
        return self._due[0][0] if self._due else None

    def start_due(self, now_ms: float) -> list[int]:
        """Starts the due checks and returns their servers. A late call delays checks, never repeats them."""
        started = []
        while self._due and self._due[0][0] <= now_ms:
            due_ms, ident = heapq.heappop(self._due)
            # A server that was removed and added again has a new due time; its old entry is ignored.
            if (server := self.servers.get(ident)) and server.due_ms == due_ms and not server.in_progress:
                server.in_progress = True
                started.append(ident)
        return started

    def record_result(self, now_ms: float, ident: int, is_healthy: bool) -> bool | None:
        """Records a result: `fall` consecutive failures mark a server down, `rise` successes up again.

        Returns the new verdict if it has changed (True: up), else None.
        """
        if (server := self.servers.get(ident)) is None or not server.in_progress:
            return None
        server.in_progress, server.due_ms = False, now_ms + server.rule.every_ms
        heapq.heappush(self._due, (server.due_ms, ident))
        server.opposing_results = server.opposing_results + 1 if is_healthy is server.is_down else 0
        if server.opposing_results < (server.rule.rise if server.is_down else server.rule.fall):
            return None
        server.is_down, server.opposing_results = not server.is_down, 0
        return not server.is_down
