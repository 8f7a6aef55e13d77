"""Checks of what members observed: pure functions over records of real processes or of the model."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from basaltpoint.load.ledger import ServerAttempt
from basaltpoint.rehearsal.events import Finding, Observation, OperatorCommand, ProcessLifetime
from basaltpoint.rehearsal.faults import Fault, FaultKind

MAX_DRAIN_DELAY_S = 1.0  # after the acknowledgement of a drain, until the server gets no new attempts
REPLICA_FAULT_ALLOWANCE_S = 1.0  # added if a fault affects a replica of the store or the link to it
LIVE_STATES = ("joining", "alive", "suspect")
ENDED_STATES = ("dead", "left")


@dataclass(frozen=True, slots=True)
class Crash:
    """A process that ended unannounced, and when the other members detected it."""

    member: str
    at_s: float
    detected_s: dict[str, float]  # by observer: seconds from the end until it saw the member as ended
    undetected_by: tuple[str, ...]  # members that ran throughout and never detected it


def find_crashes(
    lifetimes: Sequence[ProcessLifetime], observations: Sequence[Observation], end_s: float
) -> list[Crash]:
    """Returns each unannounced end, as observed until the member was started again or the rehearsal ended.

    Only members that ran for the whole of that time count as not having detected it.
    """
    found = []
    for lifetime in lifetimes:
        if lifetime.is_announced or lifetime.ended_s >= end_s:
            continue
        replaced_s = min(
            (o.started_s for o in lifetimes if o.name == lifetime.name and o.started_s >= lifetime.ended_s),
            default=end_s,
        )
        seen: dict[str, float] = {}
        for observation in observations:
            if (
                observation.member == lifetime.name
                and lifetime.ended_s <= observation.at_s <= replaced_s
                and observation.state in ENDED_STATES
            ):
                seen.setdefault(observation.observer, observation.at_s - lifetime.ended_s)
        present = {
            o.name
            for o in lifetimes
            if o.name != lifetime.name and o.started_s <= lifetime.ended_s and o.ended_s >= replaced_s
        }
        undetected = tuple(sorted(present - set(seen))) if replaced_s >= end_s else ()
        found.append(Crash(lifetime.name, lifetime.ended_s, seen, undetected))
    return found


def find_wrong_deaths(
    lifetimes: Sequence[ProcessLifetime], observations: Iterable[Observation]
) -> list[Finding]:
    """Returns a finding for each change of a view that declared a running process dead."""
    return [
        Finding(
            observation.at_s,
            "wrong death",
            (observation.observer, observation.member),
            f"{observation.member} is running",
        )
        for observation in observations
        if observation.state == "dead" and any(_refers_to(lifetime, observation) for lifetime in lifetimes)
    ]


def _refers_to(lifetime: ProcessLifetime, observation: Observation) -> bool:
    """Whether an observation concerns this process, and was made while the process ran."""
    present = lifetime.started_s < observation.at_s < lifetime.ended_s
    return (
        present
        and lifetime.name == observation.member
        and observation.incarnation >= lifetime.first_incarnation
    )


def find_resurrections(
    lifetimes: Sequence[ProcessLifetime], observations: Iterable[Observation]
) -> list[Finding]:
    """Returns a finding for each incarnation that a view held as ended and later as live.

    A restarted observer begins with an empty view, so its earlier observations do not count.
    """
    ended: dict[tuple[str, str], tuple[float, int]] = {}
    found = []
    for observation in observations:
        link = observation.observer, observation.member
        observer_started_s = max(
            (
                o.started_s
                for o in lifetimes
                if o.name == observation.observer and o.started_s <= observation.at_s
            ),
            default=0.0,
        )
        seen_since, last = ended.get(link, (observer_started_s, 0))
        last = last if seen_since == observer_started_s else 0
        if observation.state in ENDED_STATES:
            ended[link] = observer_started_s, max(last, observation.incarnation)
        elif observation.incarnation <= last:
            expected = (
                f"{observation.member} under an incarnation above {last}, not {observation.incarnation}"
            )
            found.append(Finding(observation.at_s, "back to life", link, expected))
    return found


def time_to_agreement(
    lifetimes: Sequence[ProcessLifetime], observations: Iterable[Observation], from_s: float, end_s: float
) -> tuple[float, list[Finding]]:
    """Returns the seconds from `from_s` until each running member saw exactly the running members as live.

    Infinite if the views still differ at `end_s`; the findings then name each wrong entry.
    """
    living = {lifetime.name for lifetime in lifetimes if lifetime.started_s < end_s <= lifetime.ended_s}
    views: defaultdict[str, dict[str, str]] = defaultdict(dict)
    wrong: set[tuple[str, str]] = set()
    agreed_since_s = from_s

    def update_wrong(observer: str, member: str) -> None:
        is_live, seen = member in living, views[observer].get(member, "gone") in LIVE_STATES
        (wrong.discard if is_live == seen else wrong.add)((observer, member))

    rows = sorted(observations, key=lambda observation: observation.at_s)
    names = {observation.member for observation in rows} | living
    last = {name: max((o.started_s for o in lifetimes if o.name == name), default=0.0) for name in living}
    for observer in living:
        for member in names:
            update_wrong(observer, member)
    for observation in rows:
        if observation.observer in living and observation.at_s >= last[observation.observer]:
            before = bool(wrong)
            views[observation.observer][observation.member] = observation.state
            update_wrong(observation.observer, observation.member)
            if before and not wrong:
                agreed_since_s = max(from_s, observation.at_s)
    if not wrong:
        return agreed_since_s - from_s, []
    findings = []
    for observer, member in sorted(wrong):
        state = views[observer].get(member, "not known")
        expected = "alive" if member in living else "dead or left"
        findings.append(
            Finding(end_s, "no agreement", (observer, member), f"{member} {expected}, seen as {state}")
        )
    return math.inf, findings


def find_reachable_dead_to_all(
    lifetimes: Sequence[ProcessLifetime],
    observations: Sequence[Observation],
    faults: Sequence[Fault],
    end_s: float,
) -> list[Finding]:
    """Returns findings for running members that all others held dead although one could reach them.

    "Could reach" means that no fault affected that other member or its link, in either direction.
    """
    views: dict[tuple[str, str], Observation] = {}
    found = []
    for observation in observations:
        views[observation.observer, observation.member] = observation
        if observation.state != "dead":
            continue
        present = {
            lifetime.name: lifetime
            for lifetime in lifetimes
            if lifetime.started_s <= observation.at_s < lifetime.ended_s
        }
        if not (lifetime := present.get(observation.member)) or not _refers_to(lifetime, observation):
            continue
        paused = {
            n
            for f in faults
            if f.kind is FaultKind.PAUSE and f.start_s <= observation.at_s
            for n in f.members
        }
        others = [name for name in present if name != observation.member and name not in paused]
        seen = [views.get((name, observation.member)) for name in others]
        if observation.member in paused or not others or any(s is None or s.state != "dead" for s in seen):
            continue
        reaching = [
            name
            for name in others
            if not any(
                f.affects_link(name, observation.member)
                or f.affects_link(observation.member, name)
                or name in f.members
                for f in faults
            )
        ]
        if reaching:
            found.append(
                Finding(
                    observation.at_s,
                    "dead to all",
                    (observation.member, *reaching),
                    f"alive: {reaching[0]} reaches {observation.member}",
                )
            )
    return found


def find_late_sends(
    commands: Sequence[OperatorCommand],
    attempts: Iterable[ServerAttempt],
    faults: Sequence[Fault],
    replicas: Sequence[str],
) -> tuple[int, list[Finding]]:
    """Returns the number of attempts that came after a drain had to take effect, and findings.

    An attempt is no finding if faults kept every replica from its limiter, or if they affected some replicas
    and it came within REPLICA_FAULT_ALLOWANCE_S. All times, those of faults too, are of the same clock.
    """
    count, found = 0, []
    drains = [command for command in commands if command.command == "drain" and not command.error]
    undrains = [command for command in commands if command.command == "undrain"]
    for attempt in attempts:
        for drain in drains:
            end = min(
                (
                    o.started_s
                    for o in undrains
                    if o.server == drain.server and o.started_s > drain.completed_s
                ),
                default=math.inf,
            )
            if (
                attempt.server != drain.server
                or not drain.completed_s + MAX_DRAIN_DELAY_S < attempt.came_s < end
            ):
                continue
            count += 1
            present = [f for f in faults if f.start_s < attempt.came_s and f.end_s > drain.completed_s]
            affected_replicas = {
                r for r in replicas if any(_blocks_updates(fault, attempt.via, r) for fault in present)
            }
            late_s = attempt.came_s - drain.completed_s
            if len(affected_replicas) < len(
                replicas
            ) and late_s > MAX_DRAIN_DELAY_S + REPLICA_FAULT_ALLOWANCE_S * bool(affected_replicas):
                expected = (
                    f"no attempt after the drain of {drain.server}; {attempt.ident} came {late_s:.2f} s later"
                )
                found.append(Finding(attempt.came_s, "late drain", (attempt.via, drain.server), expected))
    return count, found


def _blocks_updates(fault: Fault, limiter: str, replica: str) -> bool:
    """Whether a fault keeps updates of a replica from a limiter."""
    at_fault = limiter in fault.members or replica in fault.members
    return at_fault or fault.affects_link(limiter, replica) or fault.affects_link(replica, limiter)
