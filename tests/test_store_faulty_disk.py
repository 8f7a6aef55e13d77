"""Replica processes whose disks fail for a while: they continue, and no acknowledged write is lost."""

from __future__ import annotations

import asyncio
import errno
import signal
from pathlib import Path

import pytest
from storeprocs import Cluster, cluster
from test_store_replicas import FREQUENT_SNAPSHOTS, Writer, _all_progressed, wait_until

from basaltpoint.rehearsal.system_faults.library import build_library, find_compiler, preload_environment
from basaltpoint.rehearsal.system_faults.table import Call, CallFault, Effect, FaultTable

pytestmark = pytest.mark.skipif(find_compiler() is None, reason="failing system calls need a C compiler")

DISK_FULL = CallFault(Call.FILE_WRITE, Effect.FAIL, 1.0, errno.ENOSPC)
SYNC_FAILS = CallFault(Call.FILE_SYNC, Effect.FAIL, 1.0, errno.EIO)
SYNC_FAILS_SOMETIMES = CallFault(Call.FILE_SYNC, Effect.FAIL, 0.2, errno.EIO)
FAULT_DURATION_S = 3.0


def preload(running_cluster: Cluster, path: Path) -> dict[str, FaultTable]:
    """Returns a fault table for each replica, which applies from the start of its process on."""
    library = build_library(path)
    tables = {name: FaultTable(path / f"{name}.faults") for name in running_cluster.names}
    running_cluster.environment = {
        name: preload_environment(library, table) for name, table in tables.items()
    }
    return tables


@pytest.mark.parametrize(
    "fault", [DISK_FULL, SYNC_FAILS, SYNC_FAILS_SOMETIMES], ids=["full", "sync", "sync sometimes"]
)
def test_three_failing_disks_lose_no_acknowledged_write_without_a_restart(
    tmp_path: Path, fault: CallFault
) -> None:
    async def scenario(made: Cluster, tables: dict[str, FaultTable]) -> None:
        await made.leader()
        writers = [Writer(made.client(), f"w{at}") for at in range(3)]
        tasks = [asyncio.create_task(writer.run()) for writer in writers]
        await wait_until(lambda: _all_progressed(writers, [0, 0, 0]))
        for table in tables.values():
            table.activate(fault)
        await asyncio.sleep(FAULT_DURATION_S)
        for table in tables.values():
            table.deactivate(fault)
        before = [writer.count for writer in writers]
        await wait_until(lambda: _all_progressed(writers, before))
        for writer in writers:
            writer.stopped = True
        await asyncio.gather(*tasks)
        assert all(process.poll() is None for process in made.running.values())
        # After a kill, the replicas read back what was on their disks.
        made.environment = {}
        for name in made.names:
            made.kill(name, signal.SIGKILL)
        made.start()
        for writer in writers:
            await writer.check_acknowledged(made.client())
        assert any("takes part again" in made.log(name) for name in made.names)
        assert not any("Traceback" in made.log(name) for name in made.names)

    with cluster(tmp_path, extra_config=FREQUENT_SNAPSHOTS, start=False) as made:
        tables = preload(made, tmp_path)
        made.start()
        asyncio.run(scenario(made, tables))
