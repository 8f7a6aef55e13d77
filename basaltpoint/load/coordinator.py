"""Coordinates a run: starts the worker processes, reports their progress and merges their results."""

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

START_DELAY_S = 1.0  # until all workers are ready; they share one start time
MAX_LINE_BYTES = 1 << 28  # of the line with a worker's results

Progress = Callable[[dict[str, Any]], None]


class WorkerError(Exception):
    """A worker process ended without reporting its results."""


async def run(
    path: Path,
    settings: Scenario,
    progress: Progress,
    trace: Path | None = None,
    factor: float = 1.0,
    ledger: Path | None = None,
    started: Callable[[list[int]], None] | None = None,
) -> Stats:
    """Runs a scenario once and returns the merged results; raises WorkerError if a worker dies.

    `started` is called with the process ids of the workers.
    """
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
    processes = [await _spawn(task) for task in tasks]
    if started:
        started([process.pid for process in processes])

    async def read_results(number: int, process: asyncio.subprocess.Process) -> None:
        assert process.stdout
        done = False
        while line := await process.stdout.readline():
            message = json.loads(line)
            if "progress" in message:
                progress_by_worker[number] = message["progress"]
                progress(sum_progress(progress_by_worker))
            else:
                stats.merge(message["stats"])
                done = True
        if await process.wait() or not done:
            raise WorkerError(f"worker process {number} exited with status {process.returncode}")

    try:
        async with asyncio.TaskGroup() as group:
            for number, process in enumerate(processes):
                group.create_task(read_results(number, process))
    except* WorkerError as errors:
        raise errors.exceptions[0] from None
    finally:
        for process in processes:
            if process.returncode is None:
                process.kill()
        if ledger:
            _merge_ledgers(ledger, settings.processes)
    return stats


async def _spawn(task: WorkerTask) -> asyncio.subprocess.Process:
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
    process.stdin.write(json.dumps(asdict(task)).encode() + b"\n")
    process.stdin.close()
    return process


def sum_progress(progress_by_worker: dict[int, dict[str, Any]]) -> dict[str, Any]:
    total: dict[str, Any] = {}
    for row in progress_by_worker.values():
        for name, value in row.items():
            total[name] = max(total.get(name, 0), value) if name == "at" else total.get(name, 0) + value
    return total


def _merge_ledgers(ledger: Path, processes: int) -> None:
    """Concatenates the ledgers of the workers into one file."""
    with open(ledger, "wb") as merged:
        for number in range(processes):
            part = Path(f"{ledger}.{number}")
            if part.exists():
                with open(part, "rb") as rows:
                    while piece := rows.read(1 << 20):
                        merged.write(piece)
                part.unlink()
