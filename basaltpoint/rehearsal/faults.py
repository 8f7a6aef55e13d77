"""Faults as plain values: kind, time and targets. The model and the real processes use the same values."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum


class FaultKind(Enum):
    """What a fault does to members, or to the messages between them."""

    CUT = "cut"  # all messages from `from` to `to` are lost
    SPLIT = "split"  # no message passes between `sides`
    DROP = "drop"  # a fraction of the messages is lost
    DELAY = "delay"  # messages are delayed and keep their order
    STALL = "stall"  # connections stay open, and nothing passes
    RESET = "reset"  # open connections are reset once
    PAUSE = "pause"  # SIGSTOP, and SIGCONT after `for_s`
    KILL = "kill"  # SIGKILL, and a restart after `for_s`
    STOP = "stop"  # SIGTERM, and a restart after `for_s`
    WIPE = "wipe"  # SIGKILL, and a restart after `for_s` with an empty folder
    PUTBACK = "putback"  # SIGKILL, and a restart after `for_s` with an older copy of its folder
    UPGRADE = "upgrade"  # a new process of the limiter takes over from the running one
    DRAIN = "drain"  # an operator drains a server through the limiter `on`
    UNDRAIN = "undrain"
    FULL = "full"  # writes to files fail with ENOSPC
    SYNC = "sync"  # a fraction of file syncs fails with EIO
    CALLS = "calls"  # a fraction of the calls of one system call fails with an errno
    CLOCK = "clock"  # the wall clock steps and keeps the new offset


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
# These need real processes, as they affect system calls and clocks.
SYSTEM_FAULTS = (
    FaultKind.FULL,
    FaultKind.SYNC,
    FaultKind.CALLS,
    FaultKind.CLOCK,
)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; times are seconds from the start of the rehearsal."""

    kind: FaultKind
    start_s: float
    end_s: float  # infinite if it lasts until the end
    members: tuple[str, ...] = ()
    sources: tuple[str, ...] = ()
    targets: tuple[str, ...] = ()
    sides: tuple[tuple[str, ...], ...] = ()
    fraction: float = 1.0  # of messages that are lost, or of system calls that fail
    delay_s: float = 0.0
    jitter_s: float = 0.0
    server: str = ""
    system_call: str = ""  # for CALLS: its name in the scenario file
    errno_name: str = ""  # for CALLS, e.g. ENFILE
    clock_step_s: float = 0.0  # for CLOCK

    def affects_link(self, source: str, target: str) -> bool:
        """Whether the fault affects messages from `source` to `target`."""
        if self.kind is FaultKind.SPLIT:
            one, other = (
                next((at for at, side in enumerate(self.sides) if name in side), -1)
                for name in (source, target)
            )
            return one != other and one >= 0 and other >= 0
        return source in self.sources and target in self.targets

    def describe(self) -> str:
        """Returns a short description for reports."""
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
    """The faults that are active now on the link from one member to another, combined."""

    loss_fraction: float = 0.0  # of the messages
    is_stalled: bool = False
    delay_s: float = 0.0
    jitter_s: float = 0.0

    @property
    def is_blocked(self) -> bool:
        """Whether nothing passes; no connection can be opened either."""
        return self.loss_fraction >= 1.0 or self.is_stalled


@dataclass(slots=True)
class ActiveLinkFaults:
    """The link faults that are active now."""

    faults: list[Fault] = field(default_factory=list)

    def link_state(self, source: str, target: str) -> LinkState:
        state = LinkState()
        for fault in self.faults:
            if not fault.affects_link(source, target):
                continue
            match fault.kind:
                case FaultKind.CUT | FaultKind.SPLIT:
                    state.loss_fraction = 1.0
                case FaultKind.DROP:
                    state.loss_fraction = 1.0 - (1.0 - state.loss_fraction) * (1.0 - fault.fraction)
                case FaultKind.STALL:
                    state.is_stalled = True
                case FaultKind.DELAY:
                    state.delay_s += fault.delay_s
                    state.jitter_s += fault.jitter_s
                case _:
                    pass
        return state


def restrict_to_members(faults: Iterable[Fault], names: Collection[str]) -> list[Fault]:
    """Returns the faults restricted to the named members and the links between them."""
    found = []
    for fault in faults:
        members, sources, targets = (
            tuple(name for name in group if name in names)
            for group in (fault.members, fault.sources, fault.targets)
        )
        sides = tuple(kept for side in fault.sides if (kept := tuple(n for n in side if n in names)))
        if members or (sources and targets) or len(sides) > 1:
            found.append(replace(fault, members=members, sources=sources, targets=targets, sides=sides))
    return found


def shift_times(fault: Fault, by_s: float) -> Fault:
    """Returns the fault with both times moved by `by_s` seconds, for another clock."""
    return replace(fault, start_s=fault.start_s + by_s, end_s=fault.end_s + by_s)


def last_fault_end_s(faults: Sequence[Fault], seconds: float) -> float:
    """Returns when the last fault ends, in seconds; 0 without faults."""
    # A process that never comes back counts at the start of its fault: the others do not wait for it.
    ends_at_start = [
        fault.kind is FaultKind.RESET or (fault.members and fault.end_s >= seconds) for fault in faults
    ]
    ends = [
        fault.start_s if at_start else fault.end_s
        for fault, at_start in zip(faults, ends_at_start, strict=True)
    ]
    return max((min(end, seconds) for end in ends), default=0.0)


def separates_until_end(faults: Iterable[Fault], seconds: float) -> bool:
    """Whether a fault that separates members lasts until the end, so that their views need not agree."""
    kinds = {*LINK_FAULTS, FaultKind.PAUSE} - {FaultKind.RESET}
    return any(fault.end_s >= seconds and fault.kind in kinds for fault in faults)


def random_faults(rng: random.Random, names: list[str], seconds: float, count: int) -> list[Fault]:
    """Returns `count` random faults on links and processes, all over before the last third of `seconds`."""
    found = []
    for _ in range(count):
        start_s = rng.uniform(0.1, 0.4) * seconds
        end_s = start_s + rng.uniform(0.01, 0.25) * seconds
        kind = rng.choice([*LINK_FAULTS, FaultKind.PAUSE, FaultKind.KILL, FaultKind.STOP, FaultKind.UPGRADE])
        affected = rng.sample(names, rng.randint(1, max(1, len(names) // 2)))
        others = [name for name in names if name not in affected] or names
        match kind:
            case FaultKind.SPLIT:
                found.append(Fault(kind, start_s, end_s, sides=(tuple(affected), tuple(others))))
            case FaultKind.PAUSE | FaultKind.KILL | FaultKind.STOP | FaultKind.UPGRADE:
                found.append(Fault(kind, start_s, end_s, members=tuple(affected)))
            case _:
                found.append(
                    Fault(
                        kind,
                        start_s,
                        end_s,
                        sources=tuple(affected),
                        targets=tuple(others),
                        fraction=rng.uniform(0.05, 0.5) if kind is FaultKind.DROP else 1.0,
                        delay_s=rng.uniform(0.0, 0.2),
                        jitter_s=rng.uniform(0.0, 0.2),
                    )
                )
    return found
