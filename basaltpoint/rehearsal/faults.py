"""Faults as values: kind, when, on whom. The model and the real processes play the same."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum


class FaultKind(Enum):
    """What is done to members, or to the messages from some to others."""

    CUT = "cut"  # messages from `from` to `to` are lost
    SPLIT = "split"  # no message passes between `sides`
    DROP = "drop"  # a part of the messages is lost
    DELAY = "delay"  # messages come later, in their order
    STALL = "stall"  # connections stay, nothing moves
    RESET = "reset"  # connections are reset, once
    PAUSE = "pause"  # SIGSTOP, SIGCONT
    KILL = "kill"  # SIGKILL, started again after `for_s`
    STOP = "stop"  # SIGTERM, the same
    WIPE = "wipe"  # killed, its folder lost, started again
    PUTBACK = "putback"  # killed, an older copy of its folder, started again
    UPGRADE = "upgrade"  # a new process of the limiter takes over from the one that runs
    DRAIN = "drain"  # a server's drain is told to the limiter `on`
    UNDRAIN = "undrain"
    FULL = "full"  # writes to files give ENOSPC
    SYNC = "sync"  # a part of the syncs of files gives EIO
    CALLS = "calls"  # a part of a kind of system calls gives an errno
    CLOCK = "clock"  # the wall clock steps, and stays there


LINK_FAULTS = (
    FaultKind.CUT,
    FaultKind.SPLIT,
    FaultKind.DROP,
    FaultKind.DELAY,
    FaultKind.STALL,
    FaultKind.RESET,
)
PROCESS_FAULTS = (
    FaultKind.PAUSE,
    FaultKind.KILL,
    FaultKind.STOP,
    FaultKind.WIPE,
    FaultKind.PUTBACK,
    FaultKind.UPGRADE,
)
SERVER_FAULTS = (FaultKind.DRAIN, FaultKind.UNDRAIN)
SYSTEM_FAULTS = (
    FaultKind.FULL,
    FaultKind.SYNC,
    FaultKind.CALLS,
    FaultKind.CLOCK,
)  # of real processes alone: their calls and clocks


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; times are seconds of the rehearsal."""

    kind: FaultKind
    start_s: float
    end_s: float  # infinite: to the end
    members: tuple[str, ...] = ()
    sources: tuple[str, ...] = ()
    targets: tuple[str, ...] = ()
    sides: tuple[tuple[str, ...], ...] = ()
    fraction: float = 1.0  # of the messages that are lost
    delay_s: float = 0.0
    jitter_s: float = 0.0
    server: str = ""
    system_call: str = ""  # of CALLS: which
    errno_name: str = ""  # and its errno's name
    clock_step_s: float = 0.0  # of CLOCK

    def affects_link(self, source: str, target: str) -> bool:
        """Whether it is on the way from one to the other."""
        if self.kind is FaultKind.SPLIT:
            one, other = (
                next((at for at, side in enumerate(self.sides) if name in side), -1)
                for name in (source, target)
            )
            return one != other and one >= 0 and other >= 0
        return source in self.sources and target in self.targets

    def describe(self) -> str:
        """In a few words, for reports."""
        if self.kind is FaultKind.SPLIT:
            who = " | ".join(" ".join(side) for side in self.sides)
        elif self.kind in LINK_FAULTS:
            who = f"{' '.join(self.sources)} to {' '.join(self.targets)}"
        else:
            what = [
                self.system_call,
                self.errno_name,
                f"{self.clock_step_s:+g} s" if self.clock_step_s else "",
                self.server,
            ]
            who = " ".join([*self.members, *filter(None, what)])
        return f"{self.kind.value} {who}"


@dataclass(slots=True)
class LinkState:
    """What holds on the way from one to another now."""

    loss_fraction: float = 0.0  # part of the messages
    is_stalled: bool = False
    delay_s: float = 0.0
    jitter_s: float = 0.0

    @property
    def is_blocked(self) -> bool:
        """Whether nothing passes: no connection can be made either."""
        return self.loss_fraction >= 1.0 or self.is_stalled


@dataclass(slots=True)
class ActiveLinkFaults:
    """The faults on links that hold now."""

    faults: list[Fault] = field(default_factory=list)

    def link_state(self, source: str, target: str) -> LinkState:
        made = LinkState()
        for fault in self.faults:
            if not fault.affects_link(source, target):
                continue
            match fault.kind:
                case FaultKind.CUT | FaultKind.SPLIT:
                    made.loss_fraction = 1.0
                case FaultKind.DROP:
                    made.loss_fraction = 1.0 - (1.0 - made.loss_fraction) * (1.0 - fault.fraction)
                case FaultKind.STALL:
                    made.is_stalled = True
                case FaultKind.DELAY:
                    made.delay_s += fault.delay_s
                    made.jitter_s += fault.jitter_s
                case _:
                    pass
        return made


def restrict_to_members(faults: Iterable[Fault], names: Collection[str]) -> list[Fault]:
    """What of the faults concerns these alone: members by themselves, or links between two of them."""
    found = []
    for fault in faults:
        on, sources, targets = (
            tuple(name for name in some if name in names)
            for some in (fault.members, fault.sources, fault.targets)
        )
        sides = tuple(kept for side in fault.sides if (kept := tuple(n for n in side if n in names)))
        if on or (sources and targets) or len(sides) > 1:
            found.append(replace(fault, members=on, sources=sources, targets=targets, sides=sides))
    return found


def shift_times(fault: Fault, by_s: float) -> Fault:
    """The same by another clock."""
    return replace(fault, start_s=fault.start_s + by_s, end_s=fault.end_s + by_s)


def last_fault_end_s(faults: Sequence[Fault], seconds: float) -> float:
    """When the last fault is over, where one ends at all."""
    # A process that never comes back is an event, not a state that others wait for.
    once = [fault.kind is FaultKind.RESET or (fault.members and fault.end_s >= seconds) for fault in faults]
    ends = [fault.start_s if at_once else fault.end_s for fault, at_once in zip(faults, once, strict=True)]
    return max((min(end, seconds) for end in ends), default=0.0)


def separates_until_end(faults: Iterable[Fault], seconds: float) -> bool:
    """Whether a fault that keeps members apart holds to the end, so that they need not agree."""
    kinds = {*LINK_FAULTS, FaultKind.PAUSE} - {FaultKind.RESET}
    return any(fault.end_s >= seconds and fault.kind in kinds for fault in faults)


def random_faults(rng: random.Random, names: list[str], seconds: float, count: int) -> list[Fault]:
    """Faults of all kinds at random, each over before the last third."""
    found = []
    for _ in range(count):
        at = rng.uniform(0.1, 0.4) * seconds
        end = at + rng.uniform(0.01, 0.25) * seconds
        kind = rng.choice([*LINK_FAULTS, FaultKind.PAUSE, FaultKind.KILL, FaultKind.STOP, FaultKind.UPGRADE])
        some = rng.sample(names, rng.randint(1, max(1, len(names) // 2)))
        rest = [name for name in names if name not in some] or names
        match kind:
            case FaultKind.SPLIT:
                found.append(Fault(kind, at, end, sides=(tuple(some), tuple(rest))))
            case FaultKind.PAUSE | FaultKind.KILL | FaultKind.STOP | FaultKind.UPGRADE:
                found.append(Fault(kind, at, end, members=tuple(some)))
            case _:
                found.append(
                    Fault(
                        kind,
                        at,
                        end,
                        sources=tuple(some),
                        targets=tuple(rest),
                        fraction=rng.uniform(0.05, 0.5) if kind is FaultKind.DROP else 1.0,
                        delay_s=rng.uniform(0.0, 0.2),
                        jitter_s=rng.uniform(0.0, 0.2),
                    )
                )
    return found
