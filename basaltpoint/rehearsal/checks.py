"""Checks of what members saw: pure functions over records of real processes or of the model."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from basaltpoint.load.ledger import ServerAttempt
from basaltpoint.rehearsal.events import Finding, Observation, OperatorCommand, ProcessLifetime
from basaltpoint.rehearsal.faults import Fault, FaultKind

MAX_DRAIN_DELAY_S = 1.0  # after a drain is acknowledged nothing new may come
REPLICA_FAULT_ALLOWANCE_S = 1.0  # later where one of the store's replicas, or the way to it, is at fault
LIVE_STATES = ("joining", "alive", "suspect")
ENDED_STATES = ("dead", "left")


@dataclass(frozen=True, slots=True)
class Crash:
    """A process that ended with nothing told, and when each other member held it dead."""

    member: str
    at_s: float
    detected_s: dict[str, float]
    undetected_by: tuple[str, ...]  # members that never did, though they were there


def find_crashes(lives: Sequence[ProcessLifetime], saws: Sequence[Observation], end_s: float) -> list[Crash]:
    """Each untold end, as seen by those that lived from then on until it was replaced or all was over."""
    found = []
    for life in lives:
        if life.is_announced or life.ended_s >= end_s:
            continue
        back = min(
            (o.started_s for o in lives if o.name == life.name and o.started_s >= life.ended_s), default=end_s
        )
        seen: dict[str, float] = {}
        for saw in saws:
            if saw.member == life.name and life.ended_s <= saw.at_s <= back and saw.state in ENDED_STATES:
                seen.setdefault(saw.observer, saw.at_s - life.ended_s)
        there = {
            o.name for o in lives if o.name != life.name and o.started_s <= life.ended_s and o.ended_s >= back
        }
        missing = tuple(sorted(there - set(seen))) if back >= end_s else ()
        found.append(Crash(life.name, life.ended_s, seen, missing))
    return found


def find_wrong_deaths(lives: Sequence[ProcessLifetime], saws: Iterable[Observation]) -> list[Finding]:
    """Living processes that a member held dead; one finding for each such change of a view."""
    return [
        Finding(saw.at_s, "wrong death", (saw.observer, saw.member), f"{saw.member} lives")
        for saw in saws
        if saw.state == "dead" and any(_refers_to(life, saw) for life in lives)
    ]


def _refers_to(life: ProcessLifetime, saw: Observation) -> bool:
    """Whether a change speaks of this process, while it was there."""
    there = life.started_s < saw.at_s < life.ended_s
    return there and life.name == saw.member and saw.incarnation >= life.first_incarnation


def find_resurrections(lives: Sequence[ProcessLifetime], saws: Iterable[Observation]) -> list[Finding]:
    """An incarnation that was over in a view and lives in it again; a process begins with no view."""
    over: dict[tuple[str, str], tuple[float, int]] = {}
    found = []
    for saw in saws:
        key = saw.observer, saw.member
        began = max(
            (o.started_s for o in lives if o.name == saw.observer and o.started_s <= saw.at_s), default=0.0
        )
        then, last = over.get(key, (began, 0))
        last = last if then == began else 0
        if saw.state in ENDED_STATES:
            over[key] = began, max(last, saw.incarnation)
        elif saw.incarnation <= last:
            expected = f"{saw.member} under an incarnation above {last}, not {saw.incarnation}"
            found.append(Finding(saw.at_s, "back to life", key, expected))
    return found


def time_to_agreement(
    lives: Sequence[ProcessLifetime], saws: Iterable[Observation], from_s: float, end_s: float
) -> tuple[float, list[Finding]]:
    """Seconds after `from_s` until all who live saw exactly those who live; and what is wrong at the end."""
    living = {life.name for life in lives if life.started_s < end_s <= life.ended_s}
    views: defaultdict[str, dict[str, str]] = defaultdict(dict)
    wrong: set[tuple[str, str]] = set()
    since = from_s

    def judge(by: str, name: str) -> None:
        is_live, seen = name in living, views[by].get(name, "gone") in LIVE_STATES
        (wrong.discard if is_live == seen else wrong.add)((by, name))

    rows = sorted(saws, key=lambda saw: saw.at_s)
    names = {saw.member for saw in rows} | living
    last = {name: max((o.started_s for o in lives if o.name == name), default=0.0) for name in living}
    for by in living:
        for name in names:
            judge(by, name)
    for saw in rows:
        if saw.observer in living and saw.at_s >= last[saw.observer]:
            before = bool(wrong)
            views[saw.observer][saw.member] = saw.state
            judge(saw.observer, saw.member)
            if before and not wrong:
                since = max(from_s, saw.at_s)
    if not wrong:
        return since - from_s, []
    findings = []
    for by, name in sorted(wrong):
        state = views[by].get(name, "not known")
        should = "alive" if name in living else "dead or left"
        findings.append(Finding(end_s, "no agreement", (by, name), f"{name} {should}, seen as {state}"))
    return math.inf, findings


def find_reachable_dead_to_all(
    lives: Sequence[ProcessLifetime], saws: Sequence[Observation], faults: Sequence[Fault], end_s: float
) -> list[Finding]:
    """A living member that another could reach in both directions all the while, held dead by all others."""
    views: dict[tuple[str, str], Observation] = {}
    found = []
    for saw in saws:
        views[saw.observer, saw.member] = saw
        if saw.state != "dead":
            continue
        there = {life.name: life for life in lives if life.started_s <= saw.at_s < life.ended_s}
        if not (life := there.get(saw.member)) or not _refers_to(life, saw):
            continue
        paused = {n for f in faults if f.kind is FaultKind.PAUSE and f.start_s <= saw.at_s for n in f.members}
        others = [name for name in there if name != saw.member and name not in paused]
        seen = [views.get((name, saw.member)) for name in others]
        if saw.member in paused or not others or any(s is None or s.state != "dead" for s in seen):
            continue
        clean = [
            name
            for name in others
            if not any(
                f.affects_link(name, saw.member) or f.affects_link(saw.member, name) or name in f.members
                for f in faults
            )
        ]
        if clean:
            found.append(
                Finding(
                    saw.at_s, "dead to all", (saw.member, *clean), f"alive: {clean[0]} reaches {saw.member}"
                )
            )
    return found


def find_late_sends(
    told: Sequence[OperatorCommand],
    attempts: Iterable[ServerAttempt],
    faults: Sequence[Fault],
    replicas: Sequence[str],
) -> tuple[int, list[Finding]]:
    """Sends to a server whose drain was acknowledged longer ago than the bound: all of them, and those by
    limiters that a replica reached all the while. Times of faults are of the same clock as the others."""
    count, found = 0, []
    drains = [one for one in told if one.command == "drain" and not one.error]
    over = [one for one in told if one.command == "undrain"]
    for attempt in attempts:
        for drain in drains:
            end = min(
                (o.started_s for o in over if o.server == drain.server and o.started_s > drain.completed_s),
                default=math.inf,
            )
            if (
                attempt.server != drain.server
                or not drain.completed_s + MAX_DRAIN_DELAY_S < attempt.came_s < end
            ):
                continue
            count += 1
            there = [f for f in faults if f.start_s < attempt.came_s and f.end_s > drain.completed_s]
            spoilt = {r for r in replicas if any(_blocks_updates(fault, attempt.via, r) for fault in there)}
            late_s = attempt.came_s - drain.completed_s
            if len(spoilt) < len(replicas) and late_s > MAX_DRAIN_DELAY_S + REPLICA_FAULT_ALLOWANCE_S * bool(
                spoilt
            ):
                expected = (
                    f"no send after {drain.server}'s drain; {attempt.ident} came {late_s:.2f} s after it"
                )
                found.append(Finding(attempt.came_s, "late drain", (attempt.via, drain.server), expected))
    return count, found


def _blocks_updates(fault: Fault, limiter: str, replica: str) -> bool:
    """Whether a fault keeps news of a replica from a limiter."""
    alone = limiter in fault.members or replica in fault.members
    return alone or fault.affects_link(limiter, replica) or fault.affects_link(replica, limiter)
