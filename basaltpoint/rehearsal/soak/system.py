"""Failing system calls and stepped clocks of a soak: what one fault of the plan means in calls.

Errors are those that accept(2), connect(2), socket(2), recv(2) and send(2) document. Errors that end a
connection strike those to servers only: on a client's connection they would be the client's own end.
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
BROKEN_ERRORS = (errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH)
OUTAGE_S = 0.3  # all calls fail at most so long: clients wait for 0.15 s and more
SHORT_BYTES = (1, 7, 64)
STALL_US = (20_000, 120_000)  # STANDING: a limiter may be held up for 0.15 s before it writes
STEPS_S = (-3600.0, -5.0, 5.0, 3600.0)


@dataclass(frozen=True, slots=True)
class SystemFault:
    """What happens to the system calls of the processes that a fault strikes."""

    text: str
    duration_s: float
    call_faults: tuple[CallFault, ...] = ()
    wall_clock_step_s: float = 0.0  # of the wall clock; it stays

    def begin(self, table: FaultTable) -> None:
        for fault in self.call_faults:
            table.activate(fault)
        if self.wall_clock_step_s:
            table.step_wall_clock(self.wall_clock_step_s)

    def end(self, table: FaultTable) -> None:
        for fault in self.call_faults:
            table.deactivate(fault)


def _failing(call: Call, errors: tuple[int, ...]) -> Callable[[Fault, random.Random], SystemFault]:
    """Some of the calls fail for the fault's time, or all of them for a moment."""

    def strike(fault: Fault, rng: random.Random) -> SystemFault:
        error, part = rng.choice(errors), rng.choice((0.2, 0.5, 1.0))
        if error == errno.EINTR:  # each takes a signal; Python asks again at once, and would stand still
            part = min(part, 0.5)
        for_s = min(fault.duration_s, OUTAGE_S) if part == 1.0 else fault.duration_s
        text = f"{part:.0%} {errno.errorcode[error]} for {for_s:.2f} s"
        return SystemFault(text, for_s, (CallFault(call, Effect.FAIL, part, error),))

    return strike


def _interrupts(fault: Fault, rng: random.Random) -> SystemFault:
    most = rng.choice(SHORT_BYTES)
    interrupted = (
        CallFault(call, Effect.FAIL, 0.2, errno.EINTR) for call in (Call.READ, Call.WRITE, Call.POLL)
    )
    short = (CallFault(call, Effect.SHORT, 0.3, value=most) for call in (Call.READ, Call.WRITE))
    return SystemFault(f"at most {most} bytes", fault.duration_s, (*interrupted, *short))


def _broken(fault: Fault, rng: random.Random) -> SystemFault:
    error = rng.choice(BROKEN_ERRORS)
    faults = (
        CallFault(call, Effect.FAIL, 0.05, error, side=Side.CONNECTED) for call in (Call.READ, Call.WRITE)
    )
    return SystemFault(errno.errorcode[error], fault.duration_s, tuple(faults))


def _stall(fault: Fault, rng: random.Random) -> SystemFault:
    value = rng.randrange(*STALL_US)
    stall = CallFault(Call.WRITE, Effect.STALL, 0.02, value=value)
    return SystemFault(f"{value / 1000:.0f} ms", fault.duration_s, (stall,))


def _wall_step(fault: Fault, rng: random.Random) -> SystemFault:
    step_s = rng.choice(STEPS_S)
    return SystemFault(f"{step_s:+.0f} s", 0.0, wall_clock_step_s=step_s)


_STRIKES = {
    FaultKind.SYSTEM_ACCEPT: _failing(Call.ACCEPT, ACCEPT_ERRORS),
    FaultKind.SYSTEM_CONNECT: _failing(Call.CONNECT, CONNECT_ERRORS),
    FaultKind.SYSTEM_SOCKET: _failing(Call.SOCKET, SOCKET_ERRORS),
    FaultKind.SYSTEM_INTERRUPTS: _interrupts,
    FaultKind.SYSTEM_BROKEN: _broken,
    FaultKind.SYSTEM_STALL: _stall,
    FaultKind.WALL_STEP: _wall_step,
}


def system_fault(fault: Fault, rng: random.Random) -> SystemFault:
    """What a fault of the plan does; KeyError where its kind strikes no system calls."""
    return _STRIKES[fault.kind](fault, rng)
