"""The rules, as pure functions over a soak's record; each returns what broke it.

The slack of 50 ms on every time limit is the protocol page's. To it comes how late the driver itself was.
"""

from __future__ import annotations

import math
import signal
from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import pairwise

from basaltpoint.rehearsal.soak.records import Arrival, ProcessRecord, RequestRecord, SoakRecord

SLACK_S = 0.05  # on every time limit (protocol page)
LATE_S = 0.5  # a final answer so much after the client's wait is lost (STANDING)
LEFT_S = 0.1  # an attempt that begins so long after its client's end is a lost request (STANDING)
DEADLINE_S = 0.15  # by which the time told to a server may pass what the client has left (STANDING)
SILENT_S = 6.0  # what a silent watch misses counts as told so long after it fell silent (STANDING)
MOVED_S = 4.0  # and what a new agent has so long after the change of configuration (STANDING)
STALLED_S = 3.0  # a client that stops in the middle of a request is answered or closed by then (STANDING)
FEW_CALLS = 30.0  # under which chance weighs more (STANDING)
INFORMED = 2 / 3  # of the requests that a cold server fell under: from limiters told of its start (STANDING)
IN_TIME_S = 0.05  # an answer that comes so much before its client's time is up can be passed on
ENOUGH = 10  # cases under which a share says nothing
INTERPRETER_S = 0.1  # from a process's start until its program may hear signals (daemon/signals.py)
SIGKILL_DELAY_S = 0.7  # after the longest deadline from SIGTERM on, SIGKILL may come (protocol page)


@dataclass(frozen=True, slots=True)
class Finding:
    """One case of a broken rule."""

    invariant: str
    occurred_at: float
    text: str


def announced_at(record: SoakRecord, limiter: str, version: int, at: float) -> float:
    """When a version counts as told to a limiter's process that lives at this time; infinite: not yet."""
    life = process_at(record, limiter, at)
    if life is None:
        return math.inf
    found = math.inf
    agents = record.agents[limiter]
    for number, (since, agent) in enumerate(agents):
        until = agents[number + 1][0] if number + 1 < len(agents) else math.inf
        had = agent.received_at(version)
        if had is None or had > until:
            continue
        told = max(had, since + MOVED_S) if number else had
        for muted in agent.silenced_at:
            if muted - SLACK_S <= had <= muted + SILENT_S:
                told = max(told, muted + SILENT_S)
        found = min(found, told)
    return max(found, life.started_at)


def process_at(record: SoakRecord, limiter: str, at: float) -> ProcessRecord | None:
    return next(
        (life for life in record.processes if life.limiter == limiter and life.was_running_at(at)), None
    )


def drains(record: SoakRecord) -> Iterator[Finding]:
    """Nothing goes to a server after its drain was told, beyond the grace."""
    leaves: dict[str, int] = {}
    for change in record.list_changes:
        if change.entry["health"] != "active":
            leaves.setdefault(change.entry["host"], change.version)
    by_ident = {asked.request_id: asked for asked in record.requests}
    for arrival in record.arrivals:
        asked, version = by_ident.get(arrival.request_id), leaves.get(arrival.server)
        if asked is None or version is None:
            continue
        told = announced_at(record, asked.limiter, version, arrival.arrived_at)
        late = (
            arrival.arrived_at
            - told
            - record.drain_grace_s
            - SLACK_S
            - record.driver_lag_at(arrival.arrived_at)
        )
        if late > 0:
            text = f"{asked.limiter} sent {asked.request_id} to {arrival.server} {arrival.arrived_at - told:.3f} s after told"
            yield Finding("drain", arrival.arrived_at, text)


def _excused(record: SoakRecord, asked: RequestRecord) -> bool:
    """Whether the limiter's process was killed, fairly, before the answer was due."""
    due = asked.sent_at + asked.timeout_s + LATE_S
    for life in record.processes:
        if life.limiter != asked.limiter or life.sigkill_at is None:
            continue
        fair = life.sigterm_at is None or life.sigkill_at < life.sigterm_at + SIGKILL_DELAY_S
        # On a busy machine a process keeps its sockets for a while after SIGKILL; it can do nothing any more.
        gone = max(life.sigkill_at, life.ended_at or 0.0) + SLACK_S
        if fair and life.started_at <= asked.sent_at <= gone and life.sigkill_at <= due:
            return True
    return False


def lost(record: SoakRecord) -> Iterator[Finding]:
    """Whatever was taken gets one final answer, in time."""
    for asked in record.requests:
        if (
            asked.is_unsent
            or not asked.is_complete
            or asked.disconnected_at is not None
            or _excused(record, asked)
        ):
            continue
        limit = asked.timeout_s + LATE_S + SLACK_S + record.driver_lag_at(asked.ended_at or asked.sent_at)
        took = math.inf if asked.ended_at is None else asked.ended_at - asked.sent_at
        if asked.status_code == 0:
            text = f"{asked.limiter} closed on {asked.request_id} after {took:.3f} s with no answer"
            yield Finding("lost", asked.sent_at, text)
        elif took > limit:
            text = f"{asked.limiter} answered {asked.request_id} {asked.status_code} after {took:.3f} s"
            yield Finding("lost", asked.sent_at, text + f", its client waits {asked.timeout_s:.3f} s")


def stalled(record: SoakRecord) -> Iterator[Finding]:
    """A client that stops in the middle of a request gets an error, or the end of its connection."""
    for asked in record.requests:
        if asked.is_complete or asked.is_unsent or asked.disconnected_at is not None:
            continue
        limit = STALLED_S + LATE_S + SLACK_S
        if asked.ended_at is None or asked.ended_at - asked.sent_at > limit + record.driver_lag_at(
            asked.ended_at
        ):
            yield Finding(
                "stalled", asked.sent_at, f"{asked.limiter} kept half a request, {asked.request_id}"
            )


def _runs(record: SoakRecord) -> dict[str, list[Arrival]]:
    found: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in record.arrivals:
        found[arrival.request_id].append(arrival)
    return found


def duplicates(record: SoakRecord) -> Iterator[Finding]:
    """No effect twice, and no attempt while another is out."""
    by_ident = {asked.request_id: asked for asked in record.requests}
    for ident, arrivals in _runs(record).items():
        asked = by_ident.get(ident)
        ran = [arrival for arrival in arrivals if arrival.was_executed]
        if asked and asked.effect != "safe" and len(ran) > 1:
            yield Finding(
                "duplicate",
                ran[1].arrived_at,
                f"{asked.limiter} had {asked.effect} {ident} run {len(ran)} times",
            )
        for first, second in pairwise(arrivals):
            lag = record.driver_lag_at(second.arrived_at)
            if first.ended_at is None or second.arrived_at < first.ended_at - SLACK_S - lag:
                yield Finding("copy", second.arrived_at, f"{ident} was sent again while an attempt was out")


def after_the_clients_end(record: SoakRecord) -> Iterator[Finding]:
    """No attempt begins later than 0.1 s after its client has gone."""
    by_ident = {asked.request_id: asked for asked in record.requests}
    for arrival in record.arrivals:
        asked = by_ident.get(arrival.request_id)
        if asked is None or asked.disconnected_at is None:
            continue
        late = (
            arrival.arrived_at
            - asked.disconnected_at
            - LEFT_S
            - SLACK_S
            - record.driver_lag_at(arrival.arrived_at)
        )
        if late > 0:
            text = f"{asked.limiter} sent {asked.request_id} {arrival.arrived_at - asked.disconnected_at:.3f} s after its client left"
            yield Finding("client left", arrival.arrived_at, text)


def deadlines(record: SoakRecord) -> Iterator[Finding]:
    """The time told to a server is at most what the client has left."""
    by_ident = {asked.request_id: asked for asked in record.requests}
    for arrival in record.arrivals:
        if (asked := by_ident.get(arrival.request_id)) is None:
            continue
        left = asked.sent_at + asked.timeout_s - arrival.arrived_at
        if arrival.announced_remaining_s > max(0.0, left) + DEADLINE_S + record.driver_lag_at(
            arrival.arrived_at
        ):
            text = f"{asked.limiter} told {arrival.announced_remaining_s:.3f} s for {asked.request_id}, {left:.3f} s were left"
            yield Finding("deadline", arrival.arrived_at, text)


def _unborn(life: ProcessRecord) -> bool:
    """Whether SIGTERM came before the interpreter was up: it ends any program, and nothing was taken yet."""
    told = life.sigterm_at
    return life.exit_code == -signal.SIGTERM and told is not None and told < life.started_at + INTERPRETER_S


def crashes(record: SoakRecord) -> Iterator[Finding]:
    """A process ends when it is told to, with 0, and logs no fault of its own."""
    for life in record.processes:
        if (
            life.ended_at is not None
            and life.sigkill_at is None
            and life.exit_code != 0
            and not _unborn(life)
        ):
            yield Finding("crash", life.ended_at, f"{life.limiter} ended with {life.exit_code}")
        overdue = SIGKILL_DELAY_S + record.max_deadline_s
        told, killed = life.sigterm_at, life.sigkill_at
        if told is not None and killed is not None and killed >= told + overdue:
            yield Finding("drain time", killed, f"{life.limiter} did not end after SIGTERM")
    for line in record.log_findings:
        yield Finding("log", 0.0, line)


def allowed_in_a_window(calls: float) -> float:
    """Requests within which a cold server stays up, where the settings allow it `calls` (STANDING)."""
    if calls < FEW_CALLS:
        return calls + 3 * math.sqrt(calls) + 3
    return calls + 2 * math.sqrt(calls) + 2


def cold_servers(record: SoakRecord) -> Iterator[Finding]:
    """No cold server gets more than it can take from limiters that were told of its start."""
    if (slow_start := record.slow_start) is None:
        return
    by_ident = {asked.request_id: asked for asked in record.requests}
    for start in record.server_starts:
        window: deque[Arrival] = deque()
        for arrival in sorted(record.arrivals, key=lambda arrival: arrival.arrived_at):
            age_s = arrival.arrived_at - start.started_at
            if arrival.server != start.server or not 0.0 <= age_s <= slow_start.warm_up_s:
                continue
            window.append(arrival)
            while window[0].arrived_at <= arrival.arrived_at - slow_start.overload_window_s:
                window.popleft()
            most = allowed_in_a_window(slow_start.max_requests(age_s))
            if len(window) <= most:
                continue
            known = sum(
                _knew(record, by_ident.get(each.request_id), start.version, each.arrived_at)
                for each in window
            )
            if known > INFORMED * len(window):
                got = f"{start.server} got {len(window)} requests within {slow_start.overload_window_s:.1f} s"
                text = f"{got}, {age_s:.1f} s after its start; it can take {most:.1f}"
                yield Finding("cold", arrival.arrived_at, text)
                break


def answers_without_a_length(record: SoakRecord) -> Iterator[Finding]:
    """Half at least of the answers that come whole, in time and without a length are passed on."""
    by_ident = {asked.request_id: asked for asked in record.requests}
    came, passed = 0, 0
    for arrival in record.arrivals:
        asked = by_ident.get(arrival.request_id)
        if (
            not arrival.is_without_length
            or asked is None
            or asked.disconnected_at is not None
            or arrival.ended_at is None
        ):
            continue
        if arrival.ended_at < asked.sent_at + asked.timeout_s - IN_TIME_S:
            came += 1
            passed += asked.status_code == 200
    if came >= ENOUGH and passed < came / 2:
        yield Finding("no length", 0.0, f"of {came} whole answers without a length {passed} were passed on")


def _knew(record: SoakRecord, asked: RequestRecord | None, version: int, at: float) -> bool:
    return asked is not None and announced_at(record, asked.limiter, version, at) <= at


INVARIANTS: tuple[Callable[[SoakRecord], Iterator[Finding]], ...] = (
    drains,
    lost,
    stalled,
    duplicates,
    after_the_clients_end,
    deadlines,
    cold_servers,
    answers_without_a_length,
    crashes,
)


def check_invariants(record: SoakRecord) -> list[Finding]:
    """All cases of all rules, in the order of time."""
    return sorted(
        (finding for rule in INVARIANTS for finding in rule(record)), key=lambda finding: finding.occurred_at
    )
