"""The servers of one pool: suspicion of failed servers, slow start, and the choice for each attempt."""

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

LATENCY_WINDOW_MS = 5000.0  # holds some hundred completions at tens of requests a second
# Above this fraction of the ready servers, suspects indicate an overloaded back end and not lost servers.
MAX_SUSPECT_FRACTION = 0.6
INITIAL_LATENCY_MS = 200.0  # assumed mean latency until one is measured
MIN_RETEST_DELAY_MS = 1000.0  # before a suspect's first trial request; doubles up to 8 times this
# Consecutive errors that make a server suspect: one that fails at once looks idle and attracts all requests.
MIN_SUSPECT_ERRORS = 2
FULL_SERVER_PAUSE_MS = 200.0  # a server that rejected an attempt as FULL is avoided for this time
COLD_RATE_FRACTION = 0.8  # of a cold server's permitted rate; the rest is margin for random variation
UTILIZATION_WEIGHT = 2.0  # requests that a reported utilization of 1.0 counts as
SAMPLE_SIZE = 12  # random servers examined for an attempt
# If no server of the sample is acceptable, a pool of up to MAX_FULL_SCAN servers is examined whole. In a
# larger pool each call examines the next servers of the subset, of those not suspect and of all ready
# servers, so that an acceptable server is found within one round of calls.
MAX_FULL_SCAN = 256
SUBSET_SCAN_SIZE = 64
TRUSTED_SCAN_SIZE = 128
READY_SCAN_SIZE = 64
# Weight of a new load report in the moving averages; the mean replaces a missing or outdated report.
REPORT_SMOOTHING_FRACTION = 0.1
SILENCE_LATENCY_RATIO = 3.0  # times the median latency; a server silent for less may only be slow
MIN_ZONE_FAILURES = 3  # with no response from the zone in between; it then gets trial requests only
# A limiter of a large fleet keeps to a subset of the servers: it measures few of them well instead of many
# never. The subset grows with the mean number of attempts outstanding.
MIN_SUBSET_SIZE = 12
SUBSET_SERVERS_PER_REQUEST = 3.0
MAX_REPORT_AGE_MS = 1500.0  # an older load report is ignored


@dataclass(slots=True)
class ServerRecord:
    """What one pool of this limiter knows of one server."""

    entry: api.Server
    listed_ms: float  # when this process of the server was first listed
    health: ServerHealth  # shared by all pools
    position: int  # in the order in which the servers were first listed
    ring_key: tuple[int, int]  # position in the order that all limiters share
    outstanding: int = 0  # attempts of this pool
    load: float = 0.0  # reported by the server, in requests, without this pool's own
    load_ms: float = -INF  # time of the last report
    allowance: float = 0.0  # attempts that a cold server may get now, at most 1.0
    filled_ms: float = 0.0  # time at which the allowance was last computed


def _ring_key(entry: api.Server) -> tuple[int, int]:
    return entry.ring_position, entry.id


class ServerSet:
    """The servers of one pool: applies list events, learns from attempts and chooses a server for each.

    The health of a server is shared with the other pools that list it. Times are in ms of the caller's clock.
    """

    def __init__(self, settings: api.Settings, rng: random.Random, healths: dict[int, ServerHealth]) -> None:
        self.settings = settings
        self.rng = rng
        self.healths = healths  # of all pools, by server id
        self.records: dict[int, ServerRecord] = {}
        self._positions = count()
        self._ready: SortedItems[ServerRecord] = SortedItems(attrgetter("position"))
        # Servers that are ready and not suspect.
        self._trusted: SortedItems[ServerRecord] = SortedItems(attrgetter("position"))
        self._ring: SortedItems[ServerRecord] = SortedItems(attrgetter("ring_key"))
        self.ready = self._ready.items
        self.suspects: set[int] = set()  # ids of ready servers
        self._subset_window: RotatingWindow[ServerRecord] = RotatingWindow(SUBSET_SCAN_SIZE)
        self._trusted_window: RotatingWindow[ServerRecord] = RotatingWindow(TRUSTED_SCAN_SIZE)
        self._ready_window: RotatingWindow[ServerRecord] = RotatingWindow(READY_SCAN_SIZE)
        self.silent: set[int] = set()  # ids of servers without a response since an old outstanding attempt
        self.zone_failures: dict[int, ZoneFailures] = {}  # by zone, since its last response
        self.mean_latency_ms = self.median_latency_ms = INITIAL_LATENCY_MS
        self.mean_load = 0.0
        self.ring = self._ring.items  # ready servers, in an order that all limiters share
        self.subset: list[ServerRecord] = []  # this limiter's section of the ring
        self.mean_outstanding = 0.0
        self.admission_times_ms: deque[float] = deque()

    def apply_list(self, now: float, event: api.ServerList) -> None:
        """Applies a list event; a complete list removes the servers that it does not name."""
        if event.kind is api.ListKind.FAILED:
            return
        if event.kind is not api.ListKind.DELTA:
            listed = {entry.id for entry in event.servers}
            for record in [record for record in self.records.values() if record.entry.id not in listed]:
                self._update_entry(record, replace(record.entry, state=ServerState.GONE))
        for entry in event.servers:
            known = self.records.get(entry.id)
            if known is None or entry.started_ms > known.entry.started_ms:
                self._add_process(now, entry, known)
            else:
                self._update_entry(known, entry)
        self.choose_subset()

    def _add_process(self, now: float, entry: api.Server, previous: ServerRecord | None) -> None:
        """Adds a new server process; what was learned of the previous one is discarded.

        The initial allowance is random: hundreds of limiters, each of which earns less than one attempt while
        the server is cold, then together send it the permitted rate.
        """
        if previous:
            self._remove_from_indexes(previous)
        position, pending = (
            (previous.position, previous.outstanding) if previous else (next(self._positions), 0)
        )
        health = self._shared_health(entry, previous)
        record = ServerRecord(
            entry, now, health, position, _ring_key(entry), pending, allowance=self.rng.random()
        )
        self.records[entry.id] = record
        self._add_to_indexes(record)

    def _update_entry(self, record: ServerRecord, entry: api.Server) -> None:
        """Applies the list entry of a process that is known already."""
        if entry.state is record.entry.state and entry.ring_position == record.entry.ring_position:
            record.entry = entry
            return
        self._remove_from_indexes(record)
        record.entry, record.ring_key = entry, _ring_key(entry)
        self._add_to_indexes(record)

    def _add_to_indexes(self, record: ServerRecord) -> None:
        """Indexes a ready server; a removed one is forgotten once it has no attempt outstanding."""
        state = record.entry.state
        if state is ServerState.READY:
            self._ready.add(record)
            self._ring.add(record)
            self.health_changed(record.entry.id)
        elif state is ServerState.GONE and record.outstanding <= 0:
            self._forget(record)

    def _remove_from_indexes(self, record: ServerRecord) -> None:
        if record.entry.state is not ServerState.READY:
            return
        self._ready.discard(record)
        self._ring.discard(record)
        self._trusted.discard(record)
        self.suspects.discard(record.entry.id)

    def health_changed(self, ident: int) -> None:
        """Moves a ready server between the suspects and the trusted servers."""
        record = self.records[ident]
        if record.entry.state is not ServerState.READY:
            return
        if record.health.suspect:
            self.suspects.add(record.entry.id)
            self._trusted.discard(record)
        else:
            self.suspects.discard(record.entry.id)
            self._trusted.add(record)

    def choose_subset(self) -> None:
        """Chooses this limiter's section of the ring; the sections of all limiters cover it evenly.

        If each of many limiters used all of many servers, it would reach each of them rarely: it would need a
        connection for each request and could not measure any server. While the limiters' loads are uneven,
        servers are loaded unevenly until the sections of the busier limiters have grown.
        """
        size = min(
            len(self.ring),
            max(MIN_SUBSET_SIZE, math.ceil(SUBSET_SERVERS_PER_REQUEST * self.mean_outstanding)),
        )
        if size == len(self.ring):
            self.subset = self.ready
            return
        first = self.settings.limiter_index * len(self.ring) // max(1, self.settings.limiter_count)
        self.subset = [self.ring[(first + step) % len(self.ring)] for step in range(size)]

    def _shared_health(self, entry: api.Server, previous: ServerRecord | None) -> ServerHealth:
        """Returns the health of the process, which another pool may have created already."""
        if previous:
            previous.health.listeners.remove(self)
        health = self.healths.get(entry.id)
        if health is None or entry.started_ms > health.started_ms:
            health = self.healths[entry.id] = ServerHealth(entry.started_ms)
        health.listeners.append(self)
        return health

    def _forget(self, record: ServerRecord) -> None:
        ident = record.entry.id
        del self.records[ident]
        record.health.listeners.remove(self)
        if not record.health.listeners and self.healths.get(ident) is record.health:
            del self.healths[ident]

    def warm_fraction(self, record: ServerRecord, now: float) -> float:
        """The fraction of its capacity that a server is sure to have: from cold_from, linear over cold_ms."""
        started = max(record.entry.started_ms, record.health.up_ms)
        if started <= 0 or self.settings.cold_duration_ms <= 0:
            return 1.0
        age = max(0.0, now - started) / self.settings.cold_duration_ms
        return min(1.0, self.settings.cold_start_fraction + (1.0 - self.settings.cold_start_fraction) * age)

    def _refill_allowance(self, record: ServerRecord, now: float) -> float:
        """Refills a cold server's allowance at its warm fraction of the mean rate per server; returns it."""
        self.trim_admissions(now)
        rate = len(self.admission_times_ms) / LATENCY_WINDOW_MS / max(1, len(self.subset))
        gained = (
            (now - max(record.filled_ms, record.listed_ms))
            * rate
            * COLD_RATE_FRACTION
            * self.warm_fraction(record, now)
        )
        record.allowance = min(1.0, record.allowance + gained)
        record.filled_ms = now
        return record.allowance

    def trim_admissions(self, now: float) -> None:
        """Drops admissions that are older than the window."""
        while self.admission_times_ms and self.admission_times_ms[0] < now - LATENCY_WINDOW_MS:
            self.admission_times_ms.popleft()

    def is_usable(self, record: ServerRecord, now: float) -> bool:
        """Whether drain, health checks and slow start permit a new attempt at this server."""
        if record.entry.state is not ServerState.READY or record.health.down:
            return False
        warm = self.warm_fraction(record, now)
        return warm >= 1.0 or (
            self._refill_allowance(record, now) >= 1.0 and record.outstanding < 1 + 4 * warm
        )

    def cost(self, record: ServerRecord, now: float) -> float:
        """Outstanding and reported requests relative to the server's size; the lowest cost is chosen.

        A cold server whose attempt is due costs nothing.
        """
        if self.warm_fraction(record, now) < 1.0:
            return 0.0
        size = max(1e-3, record.entry.rating)
        fresh = max(0.0, 1.0 - (now - record.load_ms) / MAX_REPORT_AGE_MS)
        # Without a recent report a server counts as loaded like the mean, not as idle.
        load = self.mean_load + fresh * (record.load - self.mean_load)
        return (1.0 + record.outstanding + load) / size

    def _is_avoided(self, record: ServerRecord, now: float, overload: bool) -> bool:
        """Whether the server gets no ordinary attempt now; suspicion does not count in an overload."""
        # A zone may be cut off or restart as a whole; a limiter of a large fleet can't test all its servers.
        failures, health = self.zone_failures.get(record.entry.zone), record.health
        if failures and failures.count >= MIN_ZONE_FAILURES and now < failures.last_ms + MIN_RETEST_DELAY_MS:
            return True
        if health.suspect and not overload and now < health.retest_ms:
            return True
        return record.entry.id in self.silent or health.avoid_ms > now

    def avoided_servers(self, now: float) -> set[int]:
        """Ids of listed servers without ordinary attempts now: draining, down, suspect, full or cut off."""
        overload, listed = self.most_are_suspect(), self.records.values()
        excluded = (r for r in listed if r.entry.state is ServerState.DRAINING or r.health.down)
        avoided = (
            r for r in self.ready if self._is_avoided(r, now, overload) or (r.health.suspect and not overload)
        )
        return {record.entry.id for record in (*excluded, *avoided)}

    def choose_server(
        self, now: float, allowed: Callable[[ServerRecord], bool] | None, avoid: set[int]
    ) -> ServerRecord | None:
        """Returns the server of the lowest cost among a few random ones; None if no server is usable.

        Random samples keep the limiters from all choosing the same server. Servers that are avoided, or whose
        id is in `avoid`, are chosen only if there is no other.
        """
        overload = self.most_are_suspect()

        def rank(record: ServerRecord) -> tuple[bool, float]:
            return record.entry.id in avoid or self._is_avoided(record, now, overload), self.cost(record, now)

        best = None
        for group in self._candidate_groups():
            usable = [
                (rank(r), r) for r in group if self.is_usable(r, now) and (allowed is None or allowed(r))
            ]
            found = min(usable, key=lambda pair: pair[0], default=None)
            best = found or best
            if best and not best[0][0]:
                break
        return best[1] if best else None

    def _candidate_groups(self) -> Iterator[list[ServerRecord]]:
        """Yields groups of servers to choose from; a further one is needed if no candidate is acceptable."""
        yield self.rng.sample(self.subset, min(SAMPLE_SIZE, len(self.subset)))
        if len(self.ready) <= MAX_FULL_SCAN:
            yield self.subset
            yield self.ready
        else:
            yield self._subset_window.next_items(self.subset)
            yield self._trusted_window.next_items(self._trusted.items)
            yield self._ready_window.next_items(self.ready)

    def attempt_ended(self, record: ServerRecord) -> None:
        """Counts the end of an attempt, which may have been sent to an earlier process of the server."""
        record.outstanding -= 1
        if record.entry.state is ServerState.GONE and record.outstanding <= 0:
            self._forget(record)

    def record_outcome(self, now: float, event: api.Outcome) -> None:
        """Updates a server's state at the end of an attempt; a response clears a suspicion."""
        if (record := self.records.get(event.server)) is None:
            return
        self.attempt_ended(record)
        if record.entry.state is ServerState.GONE:
            return
        health = record.health
        if event.status in (Status.OK, Status.ERROR, Status.FULL):
            health.heard_ms = now
            self.zone_failures.pop(record.entry.zone, None)
        if event.status in (Status.OK, Status.ERROR, Status.FULL, Status.RESET):
            # A reset may concern the connection alone; a process that died also refuses the next connection.
            if event.status is not Status.FULL:
                health.errors = 0 if event.status is Status.OK else health.errors + 1
            if health.errors >= MIN_SUSPECT_ERRORS:
                self.mark_suspect(record, now)
            elif event.status is not Status.RESET:
                self.clear_suspicion(record)
        # A vanished server is silent while it has attempts outstanding; a failed one refuses connections.
        # Time-outs are common in an overload, so silence counts only from several median latencies.
        was_silent = (
            event.elapsed_ms >= SILENCE_LATENCY_RATIO * self.median_latency_ms
            and health.heard_ms < now - event.elapsed_ms
        )
        timed_out_silent = event.status is Status.TIMEOUT and was_silent
        if event.status is Status.FULL:
            health.avoid_ms = now + FULL_SERVER_PAUSE_MS
        elif timed_out_silent or event.status is Status.CONNECT_FAILED:
            # Attempts that were outstanding together fail together, so they count once.
            if now - event.elapsed_ms > health.last_suspected_ms or not health.suspect:
                self.mark_suspect(record, now)
            failures = self.zone_failures.setdefault(record.entry.zone, ZoneFailures(0, now))
            failures.count, failures.last_ms = failures.count + 1, now
        self.record_report(now, event.server, event.report)

    def update_silent(self, now: float, outstanding: Iterable[tuple[float, int]]) -> None:
        """Finds servers without a response since an old attempt was sent, long before its time-out.

        `outstanding` gives the send time and the server of each attempt. A silent server is avoided until its
        next response, without being suspect. A server whose requests are all long ones is avoided wrongly.
        """
        cutoff_ms, self.silent = now - SILENCE_LATENCY_RATIO * self.median_latency_ms, set()
        for sent, server in outstanding:
            if sent <= cutoff_ms and (record := self.records.get(server)) and record.health.heard_ms < sent:
                self.silent.add(server)
        if len(self.silent) > MAX_SUSPECT_FRACTION * len(self.ready):
            self.silent = set()  # the back end as a whole is slow; no single server is to be avoided

    def record_report(self, now: float, server: int, values: tuple[float, ...]) -> None:
        """Applies a load report: requests in flight or queued, and the utilization of the cores."""
        record = self.records.get(server)
        if record is None or not values:
            return
        report = dict(zip(self.settings.report_fields, values, strict=False))
        others = max(0.0, report.get("inflight", report.get("queue", 0.0)) - record.outstanding)
        load = others + UTILIZATION_WEIGHT * min(1.0, report.get("util", 0.0)) ** 2
        record.load += REPORT_SMOOTHING_FRACTION * (load - record.load)
        record.load_ms = now
        self.mean_load += REPORT_SMOOTHING_FRACTION * (load - self.mean_load)

    def clear_suspicion(self, record: ServerRecord) -> None:
        """Makes a server trusted again, in all pools, and resets its retest delay."""
        health = record.health
        health.backoff = 0
        if health.suspect:
            health.suspect = False
            for listener in health.listeners:
                listener.health_changed(record.entry.id)

    def mark_suspect(self, record: ServerRecord, now: float) -> None:
        """Makes a server suspect, in all pools, and doubles the delay until its next trial request."""
        health = record.health
        health.last_suspected_ms = now
        if not health.suspect:
            health.suspect = True
            for listener in health.listeners:
                listener.health_changed(record.entry.id)
        health.retest_ms = now + MIN_RETEST_DELAY_MS * 2 ** min(3, health.backoff)
        health.backoff += 1

    def most_are_suspect(self) -> bool:
        """Whether suspects are so many that they indicate an overload, whose time-outs measure latency.

        The conclusion is wrong if most servers have really vanished.
        """
        return len(self.suspects) > MAX_SUSPECT_FRACTION * len(self.ready)
