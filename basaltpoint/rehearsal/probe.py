"""Probes the store of a rehearsal with a client that writes, reads and watches one key all the time.

The client connects to the replicas directly, without proxies, so no link fault affects its requests: delays
and errors that it sees are those of the store.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from basaltpoint.rehearsal.events import Finding
from basaltpoint.store.client import Client
from basaltpoint.store.state_machine import CompactedError

PROBE_KEY = "rehearsal/probe"
OPERATION_INTERVAL_S = 0.05  # between two writes, and between two reads
OPERATION_TIMEOUT_S = 1e6  # so long that a missing response shows in the record, not as an error


@dataclass(frozen=True, slots=True)
class ProbeOperation:
    """A write of a number, or a read that returned it; `completed_s` is infinite without a response."""

    number: int
    started_s: float
    completed_s: float


@dataclass(slots=True)
class ProbeRecord:
    """All operations of the client and events of its watch, in order; times are monotonic seconds."""

    writes: list[ProbeOperation] = field(default_factory=list)
    reads: list[ProbeOperation] = field(default_factory=list)
    watched: list[tuple[int, float]] = field(default_factory=list)  # by the watch: number, seconds


def find_violations(record: ProbeRecord) -> list[Finding]:
    """Returns the violations that no fault excuses.

    These are reads that miss an acknowledged write, and watches that skip an event or go back.
    """
    found = []
    done = sorted((write.completed_s, write.number) for write in record.writes)
    for read in record.reads:
        newest = max((number for at, number in done if at < read.started_s), default=0)
        if read.number < newest:
            expected = f"a read to return {newest}, acknowledged before it, not {read.number}"
            found.append(Finding(read.started_s, "stale read", (), expected))
    previous = 0
    for number, at in record.watched:
        if number != previous + 1:
            expected = f"the watch to report {previous + 1}, not {number}"
            found.append(Finding(at, "watch", (), expected))
        previous = number
    acknowledged = max((write.number for write in record.writes if write.completed_s < math.inf), default=0)
    if previous < acknowledged:
        found.append(
            Finding(
                math.inf, "watch", (), f"the watch to report {acknowledged}; {previous} was its last event"
            )
        )
    return found


def longest_delays(record: ProbeRecord, end_s: float) -> dict[str, float]:
    """Returns the longest write, read and delay of a watch event, in seconds.

    An operation or event that never completed counts until `end_s`.
    """
    event_times = dict(record.watched)
    delays = [
        event_times.get(one.number, end_s) - one.completed_s
        for one in record.writes
        if one.completed_s < math.inf
    ]
    return {
        "write_s": _longest_operation_s(record.writes, end_s),
        "read_s": _longest_operation_s(record.reads, end_s),
        "watch_s": max(0.0, max(delays, default=0.0)),
    }


def _longest_operation_s(operations: Sequence[ProbeOperation], end_s: float) -> float:
    return max(
        (min(operation.completed_s, end_s) - operation.started_s for operation in operations), default=0.0
    )


class StoreProbe:
    """The probing client; it starts when it is created and needs a running event loop."""

    def __init__(self, make: Callable[[], Client]) -> None:
        self.record = ProbeRecord()
        self._clients = [make() for _ in range(3)]
        writer, reader, watcher = self._clients
        self._stop = False
        work = self._write(writer), self._read(reader), self._watch(watcher)
        self._tasks = [asyncio.ensure_future(each) for each in work]

    async def stop(self, within_s: float) -> None:
        """Stops after the pending operations completed and the watch reported them, or after `within_s`."""
        self._stop = True
        end = time.monotonic() + within_s
        while time.monotonic() < end and not self._settled():
            await asyncio.sleep(0.02)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self._clients:
            client.close()

    def _settled(self) -> bool:
        record = self.record
        if any(one.completed_s == math.inf for one in (*record.writes[-1:], *record.reads[-1:])):
            return False
        return not record.writes or bool(record.watched and record.watched[-1][0] == record.writes[-1].number)

    async def _record_operation(
        self, operations: list[ProbeOperation], number: int, response: Awaitable[int]
    ) -> None:
        """Records an operation, also while its response is still pending."""
        started_s = time.monotonic()
        operations.append(ProbeOperation(number, started_s, math.inf))
        value = await response
        operations[-1] = ProbeOperation(value, started_s, time.monotonic())
        await asyncio.sleep(OPERATION_INTERVAL_S)

    async def _write(self, client: Client) -> None:
        async def put(number: int) -> int:
            # The store applies it once, also after retries.
            await client.put(PROBE_KEY, b"%d" % number, within_s=OPERATION_TIMEOUT_S)
            return number

        while not self._stop:
            number = len(self.record.writes) + 1
            await self._record_operation(self.record.writes, number, put(number))

    async def _read(self, client: Client) -> None:
        async def get() -> int:
            entry = await client.get(PROBE_KEY, within_s=OPERATION_TIMEOUT_S)
            return int(entry.value) if entry else 0

        while not self._stop:
            await self._record_operation(self.record.reads, 0, get())

    async def _watch(self, client: Client) -> None:
        while True:
            with contextlib.suppress(CompactedError):
                async for events, _ in client.watch(PROBE_KEY, 1):
                    for event in events:
                        if event.value:
                            self.record.watched.append((int(event.value.value), time.monotonic()))
