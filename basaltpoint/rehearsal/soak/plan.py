"""The kinds of faults of a soak test, and the random plan of overlapping faults that a seed gives."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum


class FaultKind(Enum):
    """The kind of a fault. Names and values appear in reports."""

    LIMITER_KILL = "SIGKILL to limiters, started again after a while"
    LIMITER_TERM = "signals in series end a limiter whose clients go on sending, started again"
    LIMITER_RELOAD = "SIGHUP to a limiter, with another agent"
    LIMITER_STALL = "a limiter stands still for a moment"
    AGENT_DOWN = "discovery is down for agents: silent, and they learn nothing"
    AGENT_SLOW = "agents answer calls late"
    AGENT_REFUSES = "agents turn calls away"
    DISCOVERY_OUTAGE = "discovery is down for all agents, and for long; a server leaves meanwhile"
    WATCH_RESET = "open watches are reset"
    WATCH_MUTE = "open watches fall silent"
    LIST_TORN = "the next list stops half way"
    LIST_PIECES = "lists come in pieces"
    SERVER_REPLACED = "a server drains, goes, and another one starts cold"
    SERVER_CRASH = "a server dies and comes back cold"
    SERVER_HANG = "servers answer nothing"
    SERVER_RESET = "servers reset connections under requests"
    SERVER_ERROR = "servers answer 500 or turn requests away"
    SERVER_IDLE_CLOSE = "servers close idle connections early"
    SERVER_SLOW = "servers take long for each request"
    SERVER_SLOW_READ = "servers read bodies slowly"
    SERVER_LATE_BODY = "servers write long answers: the head at once, the body late and slowly"
    SERVER_SPOILT = "servers give answers that can't be read, or with no length"
    CLIENT_LEAVES = "clients leave early"
    CLIENT_CROWD = "a crowd of clients connects to limiters and sends no whole request"
    SYSTEM_ACCEPT = "accept fails in limiters"
    SYSTEM_CONNECT = "connect fails in limiters"
    SYSTEM_SOCKET = "no socket can be made in limiters"
    SYSTEM_INTERRUPTS = "calls are interrupted, reads and writes are short"
    SYSTEM_BROKEN = "connections of limiters to servers fail under reads and writes"
    SYSTEM_STALL = "a limiter is held up before it writes"
    WALL_STEP = "the wall clock of limiters steps"


# Relative frequencies. The kinds of the original incident are the most frequent.
FAULT_WEIGHTS = {
    FaultKind.LIMITER_KILL: 4,
    FaultKind.LIMITER_TERM: 5,
    FaultKind.LIMITER_RELOAD: 2,
    FaultKind.LIMITER_STALL: 3,
    FaultKind.AGENT_DOWN: 1,
    FaultKind.AGENT_SLOW: 3,
    FaultKind.AGENT_REFUSES: 2,
    FaultKind.DISCOVERY_OUTAGE: 1,
    FaultKind.WATCH_RESET: 4,
    FaultKind.WATCH_MUTE: 2,
    FaultKind.LIST_TORN: 2,
    FaultKind.LIST_PIECES: 2,
    FaultKind.SERVER_REPLACED: 6,
    FaultKind.SERVER_CRASH: 2,
    FaultKind.SERVER_HANG: 2,
    FaultKind.SERVER_RESET: 2,
    FaultKind.SERVER_ERROR: 2,
    FaultKind.SERVER_IDLE_CLOSE: 1,
    FaultKind.SERVER_SLOW: 2,
    FaultKind.SERVER_SLOW_READ: 3,
    FaultKind.SERVER_LATE_BODY: 3,
    FaultKind.SERVER_SPOILT: 2,
    FaultKind.CLIENT_LEAVES: 2,
    FaultKind.CLIENT_CROWD: 1,
}
# Additional kinds if the limiters run with the preloaded library.
SYSTEM_FAULT_WEIGHTS = {
    FaultKind.SYSTEM_ACCEPT: 3,
    FaultKind.SYSTEM_CONNECT: 4,
    FaultKind.SYSTEM_SOCKET: 3,
    FaultKind.SYSTEM_INTERRUPTS: 3,
    FaultKind.SYSTEM_BROKEN: 3,
    FaultKind.SYSTEM_STALL: 3,
    FaultKind.WALL_STEP: 3,
}
MEAN_FAULT_INTERVAL_S = 0.6  # mean time between the starts of two faults
FINAL_QUIET_S = 4.0  # without new faults at the end, in which faults end and requests are answered


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of the plan."""

    kind: FaultKind
    start_s: float  # after the start of the load
    duration_s: float
    target_fraction: float  # of the possible targets that it affects; at least one


def generate_plan(seed: int, load_s: float, system_faults: bool = False) -> tuple[Fault, ...]:
    """Returns the faults of a run in the order of their starts; the same seed gives the same plan.

    `system_faults`: the plan includes failing system calls and steps of the wall clock.
    """
    rng = random.Random(seed)
    weights_by_kind = FAULT_WEIGHTS | SYSTEM_FAULT_WEIGHTS if system_faults else FAULT_WEIGHTS
    kinds, weights = list(weights_by_kind), list(weights_by_kind.values())
    faults, start_s = [], 1.0
    while (start_s := start_s + rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)) < load_s - FINAL_QUIET_S:
        kind = rng.choices(kinds, weights)[0]
        faults.append(
            Fault(kind, round(start_s, 3), round(rng.uniform(0.3, 3.0), 3), rng.choice((0.05, 0.2, 0.5)))
        )
    return tuple(faults)
