"""Checks of what members saw: pure functions over records of real processes or of the model."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from basaltpoint.load.ledger import ServerAttempt
from basaltpoint.rehearsal.events import Finding, Life, Saw, Told
from basaltpoint.rehearsal.faults import Fault, Kind

DRAIN_S = 1.0  # after a drain is acknowledged nothing new may come
FAULT_S = 1.0  # later where one of the store's replicas, or the way to it, is at fault
LIVE = ("joining", "alive", "suspect")
OVER = ("dead", "left")


@dataclass(frozen=True, slots=True)
class Kill:
    """A process that ended with nothing told, and when each other member held it dead."""

    name: str
    at_s: float
    detected_s: dict[str, float]
    missing: tuple[str, ...]  # members that never did, though they were there


def kills(lives: Sequence[Life], saws: Sequence[Saw], end_s: float) -> list[Kill]:
    """Each untold end, as seen by those that lived from then on until it was replaced or all was over."""
    found = []
    for life in lives:
        if life.told or life.ended_s >= end_s:
            continue
        back = min(
            (o.began_s for o in lives if o.name == life.name and o.began_s >= life.ended_s), default=end_s
        )
        seen: dict[str, float] = {}
        for saw in saws:
            if saw.name == life.name and life.ended_s <= saw.at_s <= back and saw.state in OVER:
                seen.setdefault(saw.by, saw.at_s - life.ended_s)
        there = {
            o.name for o in lives if o.name != life.name and o.began_s <= life.ended_s and o.ended_s >= back
        }
        missing = tuple(sorted(there - set(seen))) if back >= end_s else ()
        found.append(Kill(life.name, life.ended_s, seen, missing))
    return found


def wrong_deaths(lives: Sequence[Life], saws: Iterable[Saw]) -> list[Finding]:
    """Living processes that a member held dead; one finding for each such change of a view."""
    return [
        Finding(saw.at_s, "wrong death", (saw.by, saw.name), f"{saw.name} lives")
        for saw in saws
        if saw.state == "dead" and any(_meant(life, saw) for life in lives)
    ]


def _meant(life: Life, saw: Saw) -> bool:
    """Whether a change speaks of this process, while it was there."""
    there = life.began_s < saw.at_s < life.ended_s
    return there and life.name == saw.name and saw.incarnation >= life.incarnation


def back_to_life(lives: Sequence[Life], saws: Iterable[Saw]) -> list[Finding]:
    """An incarnation that was over in a view and lives in it again; a process begins with no view."""
    over: dict[tuple[str, str], tuple[float, int]] = {}
    found = []
    for saw in saws:
        key = saw.by, saw.name
        began = max((o.began_s for o in lives if o.name == saw.by and o.began_s <= saw.at_s), default=0.0)
        then, last = over.get(key, (began, 0))
        last = last if then == began else 0
        if saw.state in OVER:
            over[key] = began, max(last, saw.incarnation)
        elif saw.incarnation <= last:
            expected = f"{saw.name} under an incarnation above {last}, not {saw.incarnation}"
            found.append(Finding(saw.at_s, "back to life", key, expected))
    return found


def agreed(
    lives: Sequence[Life], saws: Iterable[Saw], from_s: float, end_s: float
) -> tuple[float, list[Finding]]:
    """Seconds after `from_s` until all who live saw exactly those who live; and what is wrong at the end."""
    living = {life.name for life in lives if life.began_s < end_s <= life.ended_s}
    views: defaultdict[str, dict[str, str]] = defaultdict(dict)
    wrong: set[tuple[str, str]] = set()
    since = from_s

    def judge(by: str, name: str) -> None:
        is_live, seen = name in living, views[by].get(name, "gone") in LIVE
        (wrong.discard if is_live == seen else wrong.add)((by, name))

    rows = sorted(saws, key=lambda saw: saw.at_s)
    names = {saw.name for saw in rows} | living
    last = {name: max((o.began_s for o in lives if o.name == name), default=0.0) for name in living}
    for by in living:
        for name in names:
            judge(by, name)
    for saw in rows:
        if saw.by in living and saw.at_s >= last[saw.by]:
            before = bool(wrong)
            views[saw.by][saw.name] = saw.state
            judge(saw.by, saw.name)
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


def held_dead_by_all(
    lives: Sequence[Life], saws: Sequence[Saw], faults: Sequence[Fault], end_s: float
) -> list[Finding]:
    """A living member that another could reach in both directions all the while, held dead by all others."""
    views: dict[tuple[str, str], Saw] = {}
    found = []
    for saw in saws:
        views[saw.by, saw.name] = saw
        if saw.state != "dead":
            continue
        there = {life.name: life for life in lives if life.began_s <= saw.at_s < life.ended_s}
        if not (life := there.get(saw.name)) or not _meant(life, saw):
            continue
        paused = {n for f in faults if f.kind is Kind.PAUSE and f.at_s <= saw.at_s for n in f.on}
        others = [name for name in there if name != saw.name and name not in paused]
        seen = [views.get((name, saw.name)) for name in others]
        if saw.name in paused or not others or any(s is None or s.state != "dead" for s in seen):
            continue
        clean = [
            name
            for name in others
            if not any(f.between(name, saw.name) or f.between(saw.name, name) or name in f.on for f in faults)
        ]
        if clean:
            found.append(
                Finding(saw.at_s, "dead to all", (saw.name, *clean), f"alive: {clean[0]} reaches {saw.name}")
            )
    return found


def late_sends(
    told: Sequence[Told], attempts: Iterable[ServerAttempt], faults: Sequence[Fault], replicas: Sequence[str]
) -> tuple[int, list[Finding]]:
    """Sends to a server whose drain was acknowledged longer ago than the bound: all of them, and those by
    limiters that a replica reached all the while. Times of faults are of the same clock as the others."""
    count, found = 0, []
    drains = [one for one in told if one.what == "drain" and not one.problem]
    over = [one for one in told if one.what == "undrain"]
    for attempt in attempts:
        for drain in drains:
            end = min(
                (o.began_s for o in over if o.server == drain.server and o.began_s > drain.done_s),
                default=math.inf,
            )
            if attempt.server != drain.server or not drain.done_s + DRAIN_S < attempt.came_s < end:
                continue
            count += 1
            there = [f for f in faults if f.at_s < attempt.came_s and f.end_s > drain.done_s]
            spoilt = {r for r in replicas if any(_spoils(fault, attempt.via, r) for fault in there)}
            late_s = attempt.came_s - drain.done_s
            if len(spoilt) < len(replicas) and late_s > DRAIN_S + FAULT_S * bool(spoilt):
                expected = (
                    f"no send after {drain.server}'s drain; {attempt.ident} came {late_s:.2f} s after it"
                )
                found.append(Finding(attempt.came_s, "late drain", (attempt.via, drain.server), expected))
    return count, found


def _spoils(fault: Fault, limiter: str, replica: str) -> bool:
    """Whether a fault keeps news of a replica from a limiter."""
    alone = limiter in fault.on or replica in fault.on
    return alone or fault.between(limiter, replica) or fault.between(replica, limiter)
