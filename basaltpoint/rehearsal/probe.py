"""What a rehearsal's store did, as one client saw it that writes, reads and watches all the while.

The client asks the replicas themselves, over links that no fault spoils: what it meets is the store's own.
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

KEY = "rehearsal/probe"
WAIT_S = 0.05  # between two writes, and two reads
FOR_EVER_S = 1e6  # an answer that does not come shows in the record, not as an error


@dataclass(frozen=True, slots=True)
class ProbeOperation:
    """A write of a number, or a read that found it. Infinite `done_s`: not known to be done."""

    number: int
    started_s: float
    completed_s: float


@dataclass(slots=True)
class ProbeRecord:
    """All that the client did and heard, in order; seconds of one clock."""

    writes: list[ProbeOperation] = field(default_factory=list)
    reads: list[ProbeOperation] = field(default_factory=list)
    watched: list[tuple[int, float]] = field(default_factory=list)  # of the watch: number, when


def find_violations(record: ProbeRecord) -> list[Finding]:
    """What no fault excuses: a read older than an acknowledged write, a watch that skips or turns back."""
    found = []
    done = sorted((write.completed_s, write.number) for write in record.writes)
    for read in record.reads:
        least = max((number for at, number in done if at < read.started_s), default=0)
        if read.number < least:
            expected = f"a read to find {least}, acknowledged before it, not {read.number}"
            found.append(Finding(read.started_s, "stale read", (), expected))
    before = 0
    for number, at in record.watched:
        if number != before + 1:
            expected = f"the watch to tell of {before + 1}, not {number}"
            found.append(Finding(at, "watch", (), expected))
        before = number
    known = max((write.number for write in record.writes if write.completed_s < math.inf), default=0)
    if before < known:
        found.append(Finding(math.inf, "watch", (), f"the watch to tell of {known}, not of {before} alone"))
    return found


def longest_delays(record: ProbeRecord, end_s: float) -> dict[str, float]:
    """The longest that a write, a read, and the news of a write took; what never came counts to the end."""
    heard = dict(record.watched)
    news = [
        heard.get(one.number, end_s) - one.completed_s for one in record.writes if one.completed_s < math.inf
    ]
    return {
        "write_s": _longest(record.writes, end_s),
        "read_s": _longest(record.reads, end_s),
        "watch_s": max(0.0, max(news, default=0.0)),
    }


def _longest(asked: Sequence[ProbeOperation], end_s: float) -> float:
    return max((min(one.completed_s, end_s) - one.started_s for one in asked), default=0.0)


class StoreProbe:
    """The client; it asks from its making on."""

    def __init__(self, make: Callable[[], Client]) -> None:
        self.record = ProbeRecord()
        self._clients = [make() for _ in range(3)]
        writer, reader, watcher = self._clients
        self._stop = False
        work = self._write(writer), self._read(reader), self._watch(watcher)
        self._tasks = [asyncio.ensure_future(each) for each in work]

    async def stop(self, within_s: float) -> None:
        """End it, once what is out is done and was heard of, or the time is up."""
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

    async def _asked(self, rows: list[ProbeOperation], number: int, answer: Awaitable[int]) -> None:
        """The row is there while the answer is not."""
        began = time.monotonic()
        rows.append(ProbeOperation(number, began, math.inf))
        found = await answer
        rows[-1] = ProbeOperation(found, began, time.monotonic())
        await asyncio.sleep(WAIT_S)

    async def _write(self, client: Client) -> None:
        async def put(number: int) -> int:
            await client.put(
                KEY, b"%d" % number, within_s=FOR_EVER_S
            )  # applied once, however often it is asked
            return number

        while not self._stop:
            number = len(self.record.writes) + 1
            await self._asked(self.record.writes, number, put(number))

    async def _read(self, client: Client) -> None:
        async def get() -> int:
            held = await client.get(KEY, within_s=FOR_EVER_S)
            return int(held.value) if held else 0

        while not self._stop:
            await self._asked(self.record.reads, 0, get())

    async def _watch(self, client: Client) -> None:
        while True:
            with contextlib.suppress(CompactedError):
                async for events, _ in client.watch(KEY, 1):
                    for event in events:
                        if event.value:
                            self.record.watched.append((int(event.value.value), time.monotonic()))
