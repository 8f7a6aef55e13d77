"""Active health checks: when a server is probed, and what its answers make of it."""

from __future__ import annotations

import heapq
import random

from basaltpoint import interface as api
from basaltpoint.interface import ServerState, Status
from basaltpoint.policy.fleet import Health
from basaltpoint.policy.thresholds import INF

TOKEN = 1  # of the one timer that probes have


class Probes:
    """A queue of due probes; servers without a rule are never in it."""

    def __init__(self, rng: random.Random, healths: dict[int, Health]) -> None:
        self.rng = rng
        self.healths = healths
        self.rules: dict[int, api.ProbeRule] = {}
        self.queued: set[int] = set()  # due at some time, or out
        self.due: list[tuple[float, int]] = []
        self.timer_ms = INF  # when the timer that is set fires

    def listed(self, now: float, servers: tuple[api.Server, ...]) -> list[api.Action]:
        """Take up the rules of the servers told of; the first probe comes at random within its period."""
        for server in servers:
            if server.probe is None or server.state is not ServerState.READY:
                if self.rules.pop(server.id, None) and server.id in self.healths:
                    self.healths[server.id].down = False
                continue
            self.rules[server.id] = server.probe
            if server.id not in self.queued:
                self._plan(server.id, now + self.rng.random() * server.probe.every_ms)
        return self._timer(now)

    def _plan(self, server: int, when: float) -> None:
        self.queued.add(server)
        heapq.heappush(self.due, (when, server))

    def fired(self, now: float) -> list[api.Action]:
        """The probes that are due; the timer's own lateness delays them, it never doubles them."""
        self.timer_ms = INF
        actions: list[api.Action] = []
        while self.due and self.due[0][0] <= now:
            server = heapq.heappop(self.due)[1]
            if server in self.rules and server in self.healths:
                actions.append(api.Probe(server))
            else:
                self.rules.pop(server, None)
                self.queued.discard(server)
        return actions + self._timer(now)

    def _timer(self, now: float) -> list[api.Action]:
        if not self.due or self.timer_ms <= self.due[0][0]:
            return []
        self.timer_ms = self.due[0][0]
        return [api.SetTimer(max(0.0, self.timer_ms - now), TOKEN)]

    def heard(self, now: float, event: api.ProbeResult) -> list[api.Action]:
        """Book an answer: `fall` bad ones in a row put a server down, `rise` good ones up again."""
        rule, health = self.rules.get(event.server), self.healths.get(event.server)
        if rule is None or health is None:
            self.queued.discard(event.server)
            return []
        good = event.status is Status.OK
        health.streak = health.streak + 1 if good is health.down else 0
        self._plan(event.server, now + rule.every_ms)
        actions = self._timer(now)
        if health.streak >= (rule.rise if health.down else rule.fall):
            health.down, health.streak = not health.down, 0
            health.up_ms = 0.0 if health.down else now  # what was away may have started anew
            actions.append(
                api.Log(f"server {event.server} is {'down' if health.down else 'up'} by its probes")
            )
        return actions
