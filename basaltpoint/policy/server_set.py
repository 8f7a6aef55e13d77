"""The servers as this gateway sees them: health by silence, slow start, and the choice among them."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from itertools import count
from operator import attrgetter

from basaltpoint import interface as api
from basaltpoint.interface import ServerState, Status
from basaltpoint.policy.server_health import ServerHealth, ZoneFailures
from basaltpoint.policy.server_index import RotatingWindow, SortedItems
from basaltpoint.policy.thresholds import INF

# --- Constants: unit, reason -------------------------------------------------------------------
LATENCY_WINDOW_MS = 5000.0  # ms; latency window: some hundred completions at tens of requests a second
MAX_SUSPECT_FRACTION = (
    0.6  # of the ready servers; more suspects than this mean a slow back end, not lost servers
)
INITIAL_LATENCY_MS = 200.0  # ms; mean latency before anything was measured
MIN_RETEST_DELAY_MS = 1000.0  # ms; first wait before a suspect gets a trial, doubled up to 8 times
MIN_SUSPECT_ERRORS = (
    2  # with no good answer between; a server that fails at once looks free and draws all traffic
)
FULL_SERVER_PAUSE_MS = 200.0  # ms; a server that turned a request away is left alone this long
COLD_RATE_FRACTION = 0.8  # of the allowance of a cold server that we use: room for chance
UTILIZATION_WEIGHT = 2.0  # requests that a wholly busy report counts for; 0 and 6 were no better
SAMPLE_SIZE = 12  # random servers looked at for a send
# Where none of those will do, all are looked at, up to so many; among more, so many in turn for each call: of
# the subset, of those that are not suspect, and of all. A server that fits is found within a round of calls.
MAX_FULL_SCAN = 256
SUBSET_SCAN_SIZE = 64
TRUSTED_SCAN_SIZE = 128
READY_SCAN_SIZE = 64
REPORT_SMOOTHING_FRACTION = (
    0.1  # of a report that goes into the mean load, which stands for a missing or old one
)
SILENCE_LATENCY_RATIO = 3.0  # of the median latency; a server that is silent for less may just be slow
MIN_ZONE_FAILURES = 3  # failures with no answer from a zone between; it is then left alone but for trials
MIN_SUBSET_SIZE = (
    12  # servers at least that a gateway of many keeps to: it learns of few what of many it never would
)
SUBSET_SERVERS_PER_REQUEST = 3.0  # of these for each request that it has out on the mean
MAX_REPORT_AGE_MS = 1500.0  # ms; a load report older than this says nothing


@dataclass(slots=True)
class ServerRecord:
    """A server as one pool of this gateway sees it."""

    entry: api.Server
    listed_ms: float
    health: ServerHealth
    position: int  # in the order in which the servers were first named
    ring_key: tuple[int, int]  # in the order that all gateways share
    outstanding: int = 0
    load: float = 0.0
    load_ms: float = -INF
    allowance: float = 0.0
    filled_ms: float = 0.0


def _ring_key(entry: api.Server) -> tuple[int, int]:
    return entry.mark, entry.id


class ServerSet:
    """One pool's list, slow start of cold servers, and the choice among them; health is the process's own."""

    def __init__(self, settings: api.Settings, rng: random.Random, healths: dict[int, ServerHealth]) -> None:
        self.settings = settings
        self.rng = rng
        self.healths = healths  # of all pools, by server
        self.records: dict[int, ServerRecord] = {}
        self._places = count()
        self._ready: SortedItems[ServerRecord] = SortedItems(attrgetter("position"))
        self._trusted: SortedItems[ServerRecord] = SortedItems(
            attrgetter("position")
        )  # ready and not suspect
        self._ring: SortedItems[ServerRecord] = SortedItems(attrgetter("ring_key"))
        self.ready = self._ready.items
        self.suspects: set[int] = set()  # of those ready
        self._subset_window: RotatingWindow[ServerRecord] = RotatingWindow(SUBSET_SCAN_SIZE)
        self._trusted_window: RotatingWindow[ServerRecord] = RotatingWindow(TRUSTED_SCAN_SIZE)
        self._ready_window: RotatingWindow[ServerRecord] = RotatingWindow(READY_SCAN_SIZE)
        self.silent: set[int] = set()  # they have been silent for long under what is out there
        self.zone_failures: dict[int, ZoneFailures] = {}  # by zone, since its last answer
        self.mean_latency_ms = self.median_latency_ms = INITIAL_LATENCY_MS
        self.mean_load = 0.0
        self.ring = self._ring.items  # those ready, in an order that all gateways share
        self.subset: list[ServerRecord] = []  # our part of it
        self.mean_outstanding = 0.0
        self.admission_times_ms: deque[float] = deque()

    def apply_list(self, now: float, event: api.ServerList) -> None:
        """Apply a list event; a complete list drops what it does not name."""
        if event.kind is api.ListKind.FAILED:
            return
        if event.kind is not api.ListKind.DELTA:
            named = {entry.id for entry in event.servers}
            for peer in [peer for peer in self.records.values() if peer.entry.id not in named]:
                self._tell(peer, replace(peer.entry, state=ServerState.GONE))
        for entry in event.servers:
            known = self.records.get(entry.id)
            if known is None or entry.started_ms > known.entry.started_ms:
                self._start(now, entry, known)
            else:
                self._tell(known, entry)
        self.choose_subset()

    def _start(self, now: float, entry: api.Server, before: ServerRecord | None) -> None:
        """Take up a new process: nothing known of the old one holds.

        Its first send is due at random, so that hundreds of gateways, each of which earns less than one, add
        up to their part.
        """
        if before:
            self._unlist(before)
        place, waiting = (before.position, before.outstanding) if before else (next(self._places), 0)
        health = self._health(entry, before)
        peer = ServerRecord(entry, now, health, place, _ring_key(entry), waiting, allowance=self.rng.random())
        self.records[entry.id] = peer
        self._list(peer)

    def _tell(self, peer: ServerRecord, entry: api.Server) -> None:
        """What a list says of a process that is known."""
        if entry.state is peer.entry.state and entry.mark == peer.entry.mark:
            peer.entry = entry
            return
        self._unlist(peer)
        peer.entry, peer.ring_key = entry, _ring_key(entry)
        self._list(peer)

    def _list(self, peer: ServerRecord) -> None:
        """Take it up where it belongs; one that is gone stays as long as it has work."""
        state = peer.entry.state
        if state is ServerState.READY:
            self._ready.add(peer)
            self._ring.add(peer)
            self.health_changed(peer.entry.id)
        elif state is ServerState.GONE and peer.outstanding <= 0:
            self._forget(peer)

    def _unlist(self, peer: ServerRecord) -> None:
        if peer.entry.state is not ServerState.READY:
            return
        self._ready.discard(peer)
        self._ring.discard(peer)
        self._trusted.discard(peer)
        self.suspects.discard(peer.entry.id)

    def health_changed(self, ident: int) -> None:
        """Count a server anew, among the suspects or the others; only those ready count."""
        peer = self.records[ident]
        if peer.entry.state is not ServerState.READY:
            return
        if peer.health.suspect:
            self.suspects.add(peer.entry.id)
            self._trusted.discard(peer)
        else:
            self.suspects.discard(peer.entry.id)
            self._trusted.add(peer)

    def choose_subset(self) -> None:
        """Choose the arc of the ring that is ours: every server lies in as many gateways' arcs as the next.

        With many gateways before many servers each would meet every server seldom: a connection for each
        request, and nothing learned of any. It hurts where the gateways' loads are uneven, until the arcs
        of the busier ones have grown.
        """
        wanted = min(
            len(self.ring),
            max(MIN_SUBSET_SIZE, math.ceil(SUBSET_SERVERS_PER_REQUEST * self.mean_outstanding)),
        )
        if wanted == len(self.ring):
            self.subset = self.ready
            return
        first = self.settings.me * len(self.ring) // max(1, self.settings.gateways)
        self.subset = [self.ring[(first + step) % len(self.ring)] for step in range(wanted)]

    def _health(self, entry: api.Server, before: ServerRecord | None) -> ServerHealth:
        """That of the process, which another pool may know already."""
        if before:
            before.health.listeners.remove(self)
        health = self.healths.get(entry.id)
        if health is None or entry.started_ms > health.started_ms:
            health = self.healths[entry.id] = ServerHealth(entry.started_ms)
        health.listeners.append(self)
        return health

    def _forget(self, peer: ServerRecord) -> None:
        ident = peer.entry.id
        del self.records[ident]
        peer.health.listeners.remove(self)
        if not peer.health.listeners and self.healths.get(ident) is peer.health:
            del self.healths[ident]

    def warm_fraction(self, peer: ServerRecord, now: float) -> float:
        """The part of its capacity a server surely has: from cold_from, evenly over cold_ms."""
        started = max(peer.entry.started_ms, peer.health.up_ms)
        if started <= 0 or self.settings.cold_ms <= 0:
            return 1.0
        age = max(0.0, now - started) / self.settings.cold_ms
        return min(1.0, self.settings.cold_from + (1.0 - self.settings.cold_from) * age)

    def _fill(self, peer: ServerRecord, now: float) -> float:
        """A cold server earns its warm part of the mean flow to a server; its allowance by now."""
        self.trim_admissions(now)
        flow = len(self.admission_times_ms) / LATENCY_WINDOW_MS / max(1, len(self.subset))
        gained = (
            (now - max(peer.filled_ms, peer.listed_ms))
            * flow
            * COLD_RATE_FRACTION
            * self.warm_fraction(peer, now)
        )
        peer.allowance = min(1.0, peer.allowance + gained)
        peer.filled_ms = now
        return peer.allowance

    def trim_admissions(self, now: float) -> None:
        while self.admission_times_ms and self.admission_times_ms[0] < now - LATENCY_WINDOW_MS:
            self.admission_times_ms.popleft()

    def is_usable(self, peer: ServerRecord, now: float) -> bool:
        """Whether the drain and cold rules let a new attempt go to this server."""
        if peer.entry.state is not ServerState.READY or peer.health.down:
            return False
        warm = self.warm_fraction(peer, now)
        return warm >= 1.0 or (self._fill(peer, now) >= 1.0 and peer.outstanding < 1 + 4 * warm)

    def cost(self, peer: ServerRecord, now: float) -> float:
        """Least outstanding requests, weighed by size and what its reports say; a cold send due is due."""
        if self.warm_fraction(peer, now) < 1.0:
            return 0.0
        size = max(1e-3, peer.entry.rating)
        fresh = max(0.0, 1.0 - (now - peer.load_ms) / MAX_REPORT_AGE_MS)
        load = self.mean_load + fresh * (peer.load - self.mean_load)  # no report is not idleness
        return (1.0 + peer.outstanding + load) / size

    def _is_avoided(self, peer: ServerRecord, now: float, jam: bool) -> bool:
        """Whether it is left alone for now."""
        # A zone cut off or restarting at once: with many gateways nobody can try each of its servers.
        failures, health = self.zone_failures.get(peer.entry.zone), peer.health
        if failures and failures.count >= MIN_ZONE_FAILURES and now < failures.last_ms + MIN_RETEST_DELAY_MS:
            return True
        if health.suspect and not jam and now < health.retest_ms:
            return True
        return peer.entry.id in self.silent or health.avoid_ms > now

    def avoided_servers(self, now: float) -> set[int]:
        """The listed servers that nothing ordinary is sent to now: draining, down, suspect, full, cut off."""
        jam, listed = self.most_are_suspect(), self.records.values()
        out = (p for p in listed if p.entry.state is ServerState.DRAINING or p.health.down)
        shunned = (p for p in self.ready if self._is_avoided(p, now, jam) or (p.health.suspect and not jam))
        return {peer.entry.id for peer in (*out, *shunned)}

    def choose_server(
        self, now: float, allowed: Callable[[ServerRecord], bool] | None, avoid: set[int]
    ) -> ServerRecord | None:
        """The cheapest of a few random servers, against herding; suspects only where no other is left."""
        jam = self.most_are_suspect()

        def rank(peer: ServerRecord) -> tuple[bool, float]:
            return peer.entry.id in avoid or self._is_avoided(peer, now, jam), self.cost(peer, now)

        best = None
        for servers in self._considered():
            fit = [
                (rank(p), p) for p in servers if self.is_usable(p, now) and (allowed is None or allowed(p))
            ]
            found = min(fit, key=lambda pair: pair[0], default=None)
            best = found or best
            if best and not best[0][0]:
                break
        return best[1] if best else None

    def _considered(self) -> Iterator[list[ServerRecord]]:
        """Groups of servers to choose among, each where those before hold none to its liking."""
        yield self.rng.sample(self.subset, min(SAMPLE_SIZE, len(self.subset)))
        if len(self.ready) <= MAX_FULL_SCAN:
            yield self.subset
            yield self.ready
        else:
            yield self._subset_window.next_items(self.subset)
            yield self._trusted_window.next_items(self._trusted.items)
            yield self._ready_window.next_items(self.ready)

    def record_outcome(self, now: float, event: api.Outcome) -> None:
        """Learn from an attempt's end; any answer clears a suspicion."""
        if (peer := self.records.get(event.server)) is None:
            return
        peer.outstanding -= 1
        if peer.entry.state is ServerState.GONE:
            if peer.outstanding <= 0:
                self._forget(peer)
            return
        health = peer.health
        if event.status in (Status.OK, Status.ERROR, Status.FULL):
            health.heard_ms = now
            self.zone_failures.pop(peer.entry.zone, None)
        if event.status in (Status.OK, Status.ERROR, Status.FULL, Status.RESET):
            # A reset may be the connection's own end; a process that died refuses the next one, too.
            if event.status is not Status.FULL:
                health.errors = 0 if event.status is Status.OK else health.errors + 1
            if health.errors >= MIN_SUSPECT_ERRORS:
                self.mark_suspect(peer, now)
            elif event.status is not Status.RESET:
                self.clear_suspicion(peer)
        # Silence while it had work is the sign of a vanished server, a refused connection of a lost one.
        # In a jam it is common: only beside others that answer several times over does it tell of one.
        quiet = (
            event.elapsed_ms >= SILENCE_LATENCY_RATIO * self.median_latency_ms
            and health.heard_ms < now - event.elapsed_ms
        )
        silent = event.status is Status.TIMEOUT and quiet
        if event.status is Status.FULL:
            health.avoid_ms = now + FULL_SERVER_PAUSE_MS
        elif silent or event.status is Status.CONNECT_FAILED:
            # What was out when it fell silent ends with it, all at once; one trial at a time tells more.
            if now - event.elapsed_ms > health.last_suspected_ms or not health.suspect:
                self.mark_suspect(peer, now)
            failures = self.zone_failures.setdefault(peer.entry.zone, ZoneFailures(0, now))
            failures.count, failures.last_ms = failures.count + 1, now
        self.record_report(now, event.server, event.report)

    def update_silent(self, now: float, out: Iterable[tuple[float, int]]) -> None:
        """Note which servers have been silent since something was sent there, long before time-outs tell.

        No suspicion: the next answer ends it. It hurts a server whose requests are all long ones.
        """
        long_ago, self.silent = now - SILENCE_LATENCY_RATIO * self.median_latency_ms, set()
        for sent, server in out:
            if sent <= long_ago and (peer := self.records.get(server)) and peer.health.heard_ms < sent:
                self.silent.add(server)
        if len(self.silent) > MAX_SUSPECT_FRACTION * len(self.ready):
            self.silent = set()  # a slow back end: it says nothing of any

    def record_report(self, now: float, server: int, values: tuple[float, ...]) -> None:
        """Read a load report: requests in hand or queued, else how busy its cores are."""
        peer = self.records.get(server)
        if peer is None or not values:
            return
        seen = dict(zip(self.settings.report_fields, values, strict=False))
        held = max(0.0, seen.get("inflight", seen.get("queue", 0.0)) - peer.outstanding)
        load = held + UTILIZATION_WEIGHT * min(1.0, seen.get("util", 0.0)) ** 2
        peer.load += REPORT_SMOOTHING_FRACTION * (load - peer.load)
        peer.load_ms = now
        self.mean_load += REPORT_SMOOTHING_FRACTION * (load - self.mean_load)

    def clear_suspicion(self, peer: ServerRecord) -> None:
        health = peer.health
        health.backoff = 0
        if health.suspect:
            health.suspect = False
            for listener in health.listeners:
                listener.health_changed(peer.entry.id)

    def mark_suspect(self, peer: ServerRecord, now: float) -> None:
        health = peer.health
        health.last_suspected_ms = now
        if not health.suspect:
            health.suspect = True
            for listener in health.listeners:
                listener.health_changed(peer.entry.id)
        health.retest_ms = now + MIN_RETEST_DELAY_MS * 2 ** min(3, health.backoff)
        health.backoff += 1

    def most_are_suspect(self) -> bool:
        """Whether most are suspect: a jam, whose time-outs are latencies. It hurts if most truly vanished."""
        return len(self.suspects) > MAX_SUSPECT_FRACTION * len(self.ready)
