"""Starts and stops a fleet of limiter processes for tests, and waits for its views."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from waiting import until

from basaltpoint.rehearsal import checks
from basaltpoint.rehearsal.play import limiter_tables
from basaltpoint.rehearsal.processes import FleetProcesses
from basaltpoint.rehearsal.scenario import FleetTable, LoadTable, Rehearsal

LIMITER_TABLES = limiter_tables(
    Rehearsal(fleet=FleetTable(), load=LoadTable(), limiter={}, faults=()), ["127.0.0.1:1"]
)
LONG_TIMEOUTS = "silent_ms = 5000\nprobe_ms = 200"  # on a slow host, members must not appear dead
SHORT_TIMEOUTS = "silent_ms = 1500\nprobe_ms = 200"  # only to shorten the tests


@contextlib.asynccontextmanager
async def running_fleet(
    path: Path, count: int = 3, more: str = SHORT_TIMEOUTS, start: bool = True, **named: Any
) -> AsyncIterator[FleetProcesses]:
    names = [f"l{at + 1}" for at in range(count)]
    made = FleetProcesses(path, names, LIMITER_TABLES, more, **named)
    await made.prepare()
    try:
        if start:
            made.start()
            await wait_until_agreed(made, *names)
        yield made
    finally:
        await made.close()


def live_members(made: FleetProcesses, by: str) -> set[str]:
    return {name for name, state in made.views().get(by, {}).items() if state in checks.LIVE_STATES}


async def wait_until_agreed(made: FleetProcesses, *names: str) -> None:
    """Waits until the named members see each other alive, and no other member live."""

    def agreed() -> bool:
        views = made.views()
        return all(
            {n: state for n, state in views.get(by, {}).items() if state in checks.LIVE_STATES}
            == dict.fromkeys(names, "alive")
            for by in names
        )

    await until(agreed, 0.05)


async def wait_until_seen(made: FleetProcesses, by: str, name: str, state: str) -> None:
    await until(lambda: made.views().get(by, {}).get(name) == state)


def assert_no_resurrection(made: FleetProcesses) -> None:
    assert not checks.find_resurrections(*made.lifetimes_and_observations())
