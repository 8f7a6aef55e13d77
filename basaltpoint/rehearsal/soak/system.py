"""Failing system calls and steps of the wall clock: turns a fault of the plan into fault table entries.

The errors are those that accept(2), connect(2), socket(2), recv(2) and send(2) document. Errors that end a
connection apply only to connections to servers: on the connection of a client they would mean that the client
disconnected.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass

from basaltpoint.rehearsal.soak.plan import Fault, FaultKind
from basaltpoint.rehearsal.system_faults.table import Call, CallFault, Effect, FaultTable, Side

ACCEPT_ERRORS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.EINTR,
)
CONNECT_ERRORS = (
    errno.EADDRNOTAVAIL,
    errno.ENOBUFS,
    errno.EAGAIN,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ETIMEDOUT,
    errno.EINTR,
)
SOCKET_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
CONNECTION_ERRORS = (errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH)
MAX_OUTAGE_S = 0.3  # if all calls fail; clients wait for 0.15 s or longer
SHORT_TRANSFER_BYTES = (1, 7, 64)
STALL_RANGE_US = (20_000, 120_000)  # a limiter may stall for 0.15 s before it writes (STANDING)
WALL_CLOCK_STEPS_S = (-3600.0, -5.0, 5.0, 3600.0)


@dataclass(frozen=True, slots=True)
class SystemFault:
    """The effect of a fault on the system calls of the affected processes."""

    text: str  # for the report
    duration_s: float
    call_faults: tuple[CallFault, ...] = ()
    wall_clock_step_s: float = 0.0  # permanent

    def begin(self, table: FaultTable) -> None:
        for fault in self.call_faults:
            table.activate(fault)
        if self.wall_clock_step_s:
            table.step_wall_clock(self.wall_clock_step_s)

    def end(self, table: FaultTable) -> None:
        for fault in self.call_faults:
            table.deactivate(fault)


def _failing_call(call: Call, errors: tuple[int, ...]) -> Callable[[Fault, random.Random], SystemFault]:
    """Lets some of the calls fail for the duration of the fault, or all of them for at most MAX_OUTAGE_S."""

    def make_fault(fault: Fault, rng: random.Random) -> SystemFault:
        error, probability = rng.choice(errors), rng.choice((0.2, 0.5, 1.0))
        if error == errno.EINTR:  # Python repeats an interrupted call at once: at 1.0 it would never return
            probability = min(probability, 0.5)
        duration_s = min(fault.duration_s, MAX_OUTAGE_S) if probability == 1.0 else fault.duration_s
        text = f"{probability:.0%} {errno.errorcode[error]} for {duration_s:.2f} s"
        return SystemFault(text, duration_s, (CallFault(call, Effect.FAIL, probability, error),))

    return make_fault


def _interrupted_calls(fault: Fault, rng: random.Random) -> SystemFault:
    max_bytes = rng.choice(SHORT_TRANSFER_BYTES)
    interrupted = (
        CallFault(call, Effect.FAIL, 0.2, errno.EINTR) for call in (Call.READ, Call.WRITE, Call.POLL)
    )
    short = (CallFault(call, Effect.SHORT, 0.3, value=max_bytes) for call in (Call.READ, Call.WRITE))
    return SystemFault(f"at most {max_bytes} bytes", fault.duration_s, (*interrupted, *short))


def _broken_connections(fault: Fault, rng: random.Random) -> SystemFault:
    error = rng.choice(CONNECTION_ERRORS)
    faults = (
        CallFault(call, Effect.FAIL, 0.05, error, side=Side.CONNECTED) for call in (Call.READ, Call.WRITE)
    )
    return SystemFault(errno.errorcode[error], fault.duration_s, tuple(faults))


def _stalled_writes(fault: Fault, rng: random.Random) -> SystemFault:
    stall_us = rng.randrange(*STALL_RANGE_US)
    stall = CallFault(Call.WRITE, Effect.STALL, 0.02, value=stall_us)
    return SystemFault(f"{stall_us / 1000:.0f} ms", fault.duration_s, (stall,))


def _wall_clock_step(fault: Fault, rng: random.Random) -> SystemFault:
    step_s = rng.choice(WALL_CLOCK_STEPS_S)
    return SystemFault(f"{step_s:+.0f} s", 0.0, wall_clock_step_s=step_s)


_SYSTEM_FAULT_FACTORIES = {
    FaultKind.SYSTEM_ACCEPT: _failing_call(Call.ACCEPT, ACCEPT_ERRORS),
    FaultKind.SYSTEM_CONNECT: _failing_call(Call.CONNECT, CONNECT_ERRORS),
    FaultKind.SYSTEM_SOCKET: _failing_call(Call.SOCKET, SOCKET_ERRORS),
    FaultKind.SYSTEM_INTERRUPTS: _interrupted_calls,
    FaultKind.SYSTEM_BROKEN: _broken_connections,
    FaultKind.SYSTEM_STALL: _stalled_writes,
    FaultKind.WALL_STEP: _wall_clock_step,
}


def make_system_fault(fault: Fault, rng: random.Random) -> SystemFault:
    """Returns the effect of a fault of the plan; raises KeyError if its kind does not affect system calls."""
    return _SYSTEM_FAULT_FACTORIES[fault.kind](fault, rng)
