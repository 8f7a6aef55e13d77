"""Wall clock steps under real processes: membership, quotas and slow start use other clocks."""

from __future__ import annotations

from pathlib import Path

import pytest
from fleetprocs import assert_no_resurrection, running_fleet, wait_until_agreed, wait_until_seen
from waiting import run

from basaltpoint.rehearsal import processes
from basaltpoint.rehearsal.system_faults.library import build_library, find_compiler, preload_environment
from basaltpoint.rehearsal.system_faults.table import FaultTable

pytestmark = pytest.mark.skipif(find_compiler() is None, reason="stepping a clock needs a C compiler")


@pytest.mark.parametrize("step_s", [-3600.0, 3600.0])
def test_a_member_restarted_after_a_clock_step_is_alive_to_all(
    tmp_path: Path, step_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its incarnation starts from the wall clock; after a step back, the other members' view raises it."""
    table, plain = FaultTable(tmp_path / "faults"), processes._environment
    library = build_library(tmp_path)
    monkeypatch.setattr(processes, "_environment", lambda: plain() | preload_environment(library, table))

    async def test() -> None:
        async with running_fleet(tmp_path / "fleet", 3) as made:
            await made.terminate("l2")
            await wait_until_seen(made, "l1", "l2", "dead")
            table.step_wall_clock(step_s)  # also for the running processes
            made.start("l2")
            await wait_until_agreed(made, "l1", "l2", "l3")
            assert_no_resurrection(made)

    run(test())
