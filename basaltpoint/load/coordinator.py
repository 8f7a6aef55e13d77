"""A run over several processes: starts them, shows their progress, joins their figures."""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import sys
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from time import monotonic
from typing import Any

from basaltpoint.load.scenario import Scenario
from basaltpoint.load.stats import Stats
from basaltpoint.load.worker import WorkerTask

START_DELAY_S = 1.0  # for the processes to be ready; the run starts at one time for all
MAX_LINE_BYTES = 1 << 28  # bytes of a process's figures

Progress = Callable[[dict[str, Any]], None]


class WorkerError(Exception):
    """A process of the run ended without its figures."""


async def run(
    path: Path,
    settings: Scenario,
    progress: Progress,
    trace: Path | None = None,
    factor: float = 1.0,
    ledger: Path | None = None,
    started: Callable[[list[int]], None] | None = None,
) -> Stats:
    """Play a scenario once. `started` hears the processes' ids; WorkerError where one dies."""
    name, start = secrets.token_hex(4), monotonic() + START_DELAY_S
    stats, progress_by_worker = Stats(), dict[int, dict[str, Any]]()
    tasks = [
        WorkerTask(
            str(path),
            number,
            settings.processes,
            start,
            name,
            str(trace or ""),
            factor,
            f"{ledger}.{number}" if ledger else "",
        )
        for number in range(settings.processes)
    ]
    processes = [await _spawn(part) for part in tasks]
    if started:
        started([process.pid for process in processes])

    async def follow(number: int, process: asyncio.subprocess.Process) -> None:
        assert process.stdout
        done = False
        while line := await process.stdout.readline():
            told = json.loads(line)
            if "progress" in told:
                progress_by_worker[number] = told["progress"]
                progress(sum_progress(progress_by_worker))
            else:
                stats.merge(told["stats"])
                done = True
        if await process.wait() or not done:
            raise WorkerError(f"process {number} of the run ended with {process.returncode}")

    try:
        async with asyncio.TaskGroup() as group:
            for number, process in enumerate(processes):
                group.create_task(follow(number, process))
    except* WorkerError as errors:
        raise errors.exceptions[0] from None
    finally:
        for process in processes:
            if process.returncode is None:
                process.kill()
        if ledger:
            _merge_ledgers(ledger, settings.processes)
    return stats


async def _spawn(part: WorkerTask) -> asyncio.subprocess.Process:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "basaltpoint",
        "load",
        "worker",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=MAX_LINE_BYTES,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(path for path in sys.path if path)},
    )
    assert process.stdin
    process.stdin.write(json.dumps(asdict(part)).encode() + b"\n")
    process.stdin.close()
    return process


def sum_progress(progress_by_worker: dict[int, dict[str, Any]]) -> dict[str, Any]:
    total: dict[str, Any] = {}
    for row in progress_by_worker.values():
        for name, value in row.items():
            total[name] = max(total.get(name, 0), value) if name == "at" else total.get(name, 0) + value
    return total


def _merge_ledgers(ledger: Path, processes: int) -> None:
    """The processes' ledgers as one file."""
    with open(ledger, "wb") as merged:
        for number in range(processes):
            part = Path(f"{ledger}.{number}")
            if part.exists():
                with open(part, "rb") as rows:
                    while piece := rows.read(1 << 20):
                        merged.write(piece)
                part.unlink()
