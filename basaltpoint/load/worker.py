"""Worker process of a run: drives real connections and writes progress and results as JSON lines."""

from __future__ import annotations

import asyncio
import errno
import gc
import json
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from time import monotonic
from typing import BinaryIO

import uvloop

from basaltpoint.config.address import parse_address
from basaltpoint.load import arrivals, scenario, traces
from basaltpoint.load.arrivals import PlannedRequest
from basaltpoint.load.driver import AbandonAttempt, Attempt, Driver
from basaltpoint.load.health import HealthMonitor
from basaltpoint.load.scenario import Scenario
from basaltpoint.load.stats import Stats
from basaltpoint.load.wire import Connection, ConnectionPool, RequestFormatter

TURN_CHECK_INTERVAL_S = 0.005  # interval of the task that records event loop turns
LOCAL_RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


@dataclass(frozen=True, slots=True)
class WorkerTask:
    """Task of one worker process; sent as JSON on its standard input."""

    scenario: str
    part: int
    parts: int
    start: float  # of the run, on the host's monotonic clock, in seconds
    run: str
    trace: str = ""
    factor: float = 1.0
    ledger: str = ""


class LedgerStats(Stats):
    """Results of a worker; also writes the ledger if there is one."""

    def __init__(self, run: str, ledger: BinaryIO | None) -> None:
        super().__init__()
        self._run, self._ledger = run, ledger

    def record_attempt(self, request: int, number: int, answers: int, hung_up: bool) -> None:
        self.write_ledger(f"{self._run}-{request}-{number}", answers, hung_up)

    def write_ledger(self, ident: str, answers: int, hung_up: bool) -> None:
        if self._ledger:
            raw = {"ident": ident, "answers": answers, "hung_up": hung_up}
            self._ledger.write(json.dumps(raw).encode() + b"\n")


class Worker:
    """Runs a driver with real connections and timers."""

    def __init__(
        self, settings: Scenario, requests: Iterator[PlannedRequest], task: WorkerTask, stats: LedgerStats
    ) -> None:
        health_limits = settings.health
        self.stats = stats
        self.health = HealthMonitor(
            health_limits.late_ms / 1000, health_limits.stall_ms / 1000, health_limits.steal
        )
        classes = {cls.name: cls for cls in settings.class_}
        seed = settings.seed * 1009 + task.part
        self.driver = Driver(
            requests, classes, settings.retries, self.health, stats, seed, settings.in_flight
        )
        self._start = task.start
        self._formatter = RequestFormatter(settings, task.run)
        targets = [parse_address(text) for text in settings.target]
        first_target = task.part % len(targets)
        self._pool = ConnectionPool(
            targets[first_target:] + targets[:first_target],
            settings.connections,
            self._response_received,
            self._connection_lost,
            self._extra_response,
        )
        self._busy_connections: dict[int, Connection] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0  # loop time of the timer; a handle that is already due does not tell its time
        self._tasks: set[asyncio.Task[None]] = set()
        self._ended = asyncio.Event()
        self._host_times = host_cpu_times()
        self._last_report_s = 0.0

    def now_s(self) -> float:
        return monotonic() - self._start

    async def run(self) -> None:
        """Runs until every request has completed."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, -self.now_s()))
        self._last_report_s = self.now_s()
        turn_checks = loop.create_task(self._run_turn_checks())
        self._tick()
        await self._ended.wait()
        turn_checks.cancel()
        self._pool.close()
        self.stats.unsound_intervals = self.health.intervals

    async def _run_turn_checks(self) -> None:
        while True:
            now = self.now_s()
            self.health.record_turn(now)
            if now - self._last_report_s >= 1.0:
                self._report_progress(now)
            await asyncio.sleep(TURN_CHECK_INTERVAL_S)

    def _report_progress(self, now: float) -> None:
        """Records the host's steal time and prints a line of progress, once per second."""
        times = host_cpu_times()
        total = sum(times) - sum(self._host_times)
        if total > 0 and len(times) > 7:
            self.health.record_steal(self._last_report_s, now, (times[7] - self._host_times[7]) / total)
        self._host_times, self._last_report_s = times, now
        counts = {"asked": self.driver.started_requests, "open": self.driver.in_flight, "at": round(now, 1)}
        for row in self.stats.outcomes.values():
            for name, count in row.items():
                counts[name] = counts.get(name, 0) + count
        print(json.dumps({"progress": counts}), flush=True)

    # --- Turns of the driver ------------------------------------------------------------------------
    def _tick(self) -> None:
        self._timer = None
        for action in self.driver.tick(self.now_s()):
            if isinstance(action, Attempt):
                self._start_attempt(action)
            else:
                self._abandon(action)
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        """Sets the timer for the next tick of the driver; a tick already due runs as soon as possible."""
        if self.driver.is_finished:
            self._ended.set()
            return
        due = self.driver.next_s
        if due is None:
            return  # connections in progress call this again when they are open
        loop = asyncio.get_running_loop()
        when = loop.time() + max(0.0, due - self.now_s())
        if self._timer is None or when < self._timer_at:
            if self._timer:
                self._timer.cancel()
            self._timer_at, self._timer = when, loop.call_at(when, self._tick)

    def _start_attempt(self, attempt: Attempt) -> None:
        connection = self._pool.take_free()
        if connection is not None:
            self._write(connection, attempt)
        elif self._pool.is_full:
            self.driver.attempt_missed(self.now_s(), attempt.ident, "all connections are in use")
        else:
            task = asyncio.get_running_loop().create_task(self._connect(attempt))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect(self, attempt: Attempt) -> None:
        try:
            connection = await self._pool.connect()
        except OSError as error:
            if error.errno in LOCAL_RESOURCE_ERRORS:
                self.driver.attempt_missed(self.now_s(), attempt.ident, error.strerror or "no descriptor")
            else:
                self.driver.connection_lost(self.now_s(), attempt.ident)
        else:
            if self.driver.is_open(attempt.ident):
                self._write(connection, attempt)
            else:
                self._pool.free.append(connection)
        self._schedule_tick()

    def _write(self, connection: Connection, attempt: Attempt) -> None:
        now = self.now_s()
        self._busy_connections[attempt.ident] = connection
        message = self._formatter.format_request(attempt, now)
        connection.send(
            attempt.ident, self._formatter.attempt_id(attempt), message, attempt.planned.method == "HEAD"
        )
        self.driver.attempt_sent(self.now_s(), attempt.ident)

    def _abandon(self, action: AbandonAttempt) -> None:
        if connection := self._busy_connections.pop(action.ident, None):
            connection.abort()

    def _response_received(self, ident: int, code: int, retry_after_s: float | None) -> None:
        self._busy_connections.pop(ident, None)
        self.driver.response_received(self.now_s(), ident, code, retry_after_s)
        self._schedule_tick()

    def _connection_lost(self, ident: int, response_begun: bool) -> None:
        self._busy_connections.pop(ident, None)
        self.driver.connection_lost(self.now_s(), ident, response_begun)
        self._schedule_tick()

    def _extra_response(self, label: str) -> None:
        self.stats.record_anomaly(label, "a second answer")
        self.stats.write_ledger(label, 1, False)


def host_cpu_times() -> list[int]:
    """Returns the host's CPU times by kind, in ticks; the eighth is the steal time (see proc(5))."""
    try:
        return [int(field) for field in Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:9]]
    except (OSError, ValueError):
        return []


def assigned_requests(settings: Scenario, task: WorkerTask) -> Iterator[PlannedRequest]:
    """Yields this worker's share of the requests of the scenario, or of the trace."""
    if not task.trace:
        return arrivals.worker_share(arrivals.planned_requests(settings), task.part, task.parts)
    classes = {cls.name: cls for cls in settings.class_}
    source = open(task.trace, "rb")  # noqa: SIM115, read during the whole run
    rows = traces.read(source, "own", traces.ImportResult())
    return arrivals.worker_share(traces.replay(rows, task.factor, classes), task.part, task.parts)


async def _run_task(task: WorkerTask) -> Stats:
    settings = scenario.load(Path(task.scenario))
    ledger = open(task.ledger, "ab", buffering=1 << 16) if task.ledger else None  # noqa: SIM115
    stats = LedgerStats(task.run, ledger)
    worker = Worker(settings, assigned_requests(settings, task), task, stats)
    gc.freeze()
    await worker.run()
    if ledger:
        ledger.close()
    return stats


def main() -> int:
    """Reads a WorkerTask from standard input; writes progress and results to standard output."""
    task = WorkerTask(**json.loads(sys.stdin.readline()))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        stats = runner.run(_run_task(task))
    print(json.dumps({"stats": stats.pack()}), flush=True)
    return 0
