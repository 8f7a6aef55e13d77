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
class Checked:
    """What checks know of one server."""

    rule: ProbeRule
    due_ms: float
    down: bool = False
    streak: int = 0  # of answers that speak against `down`
    out: bool = False  # a check is on its way, and the next one is planned at its end


class Checks:
    """A queue of due checks; servers without a rule are never in it."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.servers: dict[int, Checked] = {}
        self._due: list[tuple[float, int]] = []

    def listed(self, now: float, rules: dict[int, ProbeRule]) -> list[int]:
        """Take up the rule of each server that is to be checked; returns those that are no longer down.

        A server that is new here is checked first at random within its period: limiters don't come together.
        """
        freed = [ident for ident, known in self.servers.items() if ident not in rules and known.down]
        for ident in self.servers.keys() - rules.keys():
            del self.servers[ident]
        for ident, rule in rules.items():
            if known := self.servers.get(ident):
                known.rule = rule
            else:
                first = now + self.rng.random() * rule.every_ms
                self.servers[ident] = Checked(rule, first)
                heapq.heappush(self._due, (first, ident))
        return freed

    @property
    def next_ms(self) -> float | None:
        """When `due` has something to say."""
        return self._due[0][0] if self._due else None

    def due(self, now: float) -> list[int]:
        """The servers to check now; a late call delays checks, it never doubles them."""
        asked = []
        while self._due and self._due[0][0] <= now:
            when, ident = heapq.heappop(self._due)
            # One that was removed and came again has a time of its own; the older entry is void.
            if (known := self.servers.get(ident)) and known.due_ms == when and not known.out:
                known.out = True
                asked.append(ident)
        return asked

    def heard(self, now: float, ident: int, good: bool) -> bool | None:
        """Book an answer: `fall` bad ones in a row put a server down, `rise` good ones up again.

        Returns the verdict where it has changed: True for up.
        """
        if (known := self.servers.get(ident)) is None or not known.out:
            return None
        known.out, known.due_ms = False, now + known.rule.every_ms
        heapq.heappush(self._due, (known.due_ms, ident))
        known.streak = known.streak + 1 if good is known.down else 0
        if known.streak < (known.rule.rise if known.down else known.rule.fall):
            return None
        known.down, known.streak = not known.down, 0
        return not known.down
