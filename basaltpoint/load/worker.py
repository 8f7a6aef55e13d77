"""One process of a run: the driver on a clock and on sockets. Its progress and figures are JSON lines."""

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
from basaltpoint.load.arrivals import Planned
from basaltpoint.load.driver import Driver, GiveUp, Try
from basaltpoint.load.health import Watch
from basaltpoint.load.scenario import Scenario
from basaltpoint.load.stats import Stats
from basaltpoint.load.wire import Link, Links, Wording

BEAT_S = 0.005  # between looks at whether the loop turns
NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


@dataclass(frozen=True, slots=True)
class Part:
    """What this process has to do."""

    scenario: str
    part: int
    parts: int
    start: float  # of the run, on the machine's monotonic clock
    run: str
    trace: str = ""
    factor: float = 1.0
    ledger: str = ""


class Recording(Stats):
    """Figures, and the ledger's lines where one is kept."""

    def __init__(self, run: str, ledger: BinaryIO | None) -> None:
        super().__init__()
        self._run, self._ledger = run, ledger

    def tried(self, request: int, number: int, answers: int, hung_up: bool) -> None:
        self.note(f"{self._run}-{request}-{number}", answers, hung_up)

    def note(self, ident: str, answers: int, hung_up: bool) -> None:
        if self._ledger:
            raw = {"ident": ident, "answers": answers, "hung_up": hung_up}
            self._ledger.write(json.dumps(raw).encode() + b"\n")


class Worker:
    """The driver's shell."""

    def __init__(self, setup: Scenario, requests: Iterator[Planned], part: Part, stats: Recording) -> None:
        bounds = setup.health
        self.stats = stats
        self.watch = Watch(bounds.late_ms / 1000, bounds.stall_ms / 1000, bounds.steal)
        classes = {cls.name: cls for cls in setup.class_}
        seed = setup.seed * 1009 + part.part
        self.driver = Driver(requests, classes, setup.retries, self.watch, stats, seed, setup.in_flight)
        self._start = part.start
        self._wording = Wording(setup, part.run)
        targets = [parse_address(text) for text in setup.target]
        turned = part.part % len(targets)
        self._links = Links(
            targets[turned:] + targets[:turned], setup.connections, self._answered, self._broken, self._stray
        )
        self._out: dict[int, Link] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0  # of the loop: a handle that is due at once tells no time
        self._tasks: set[asyncio.Task[None]] = set()
        self._ended = asyncio.Event()
        self._machine = machine_times()
        self._looked = 0.0

    def now(self) -> float:
        return monotonic() - self._start

    async def run(self) -> None:
        """Until every request is over."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, -self.now()))
        self._looked = self.now()
        beat = loop.create_task(self._beats())
        self._tick()
        await self._ended.wait()
        beat.cancel()
        self._links.close()
        self.stats.spells = self.watch.spells

    async def _beats(self) -> None:
        while True:
            now = self.now()
            self.watch.beat(now)
            if now - self._looked >= 1.0:
                self._look(now)
            await asyncio.sleep(BEAT_S)

    def _look(self, now: float) -> None:
        """Once a second: what others took of the machine, and a line of progress."""
        times = machine_times()
        total = sum(times) - sum(self._machine)
        if total > 0 and len(times) > 7:
            self.watch.stolen(self._looked, now, (times[7] - self._machine[7]) / total)
        self._machine, self._looked = times, now
        ends = {"asked": self.driver.asked, "open": self.driver.in_flight, "at": round(now, 1)}
        for row in self.stats.ends.values():
            for name, count in row.items():
                ends[name] = ends.get(name, 0) + count
        print(json.dumps({"progress": ends}), flush=True)

    # --- The driver's turns ------------------------------------------------------------------------
    def _tick(self) -> None:
        self._timer = None
        for action in self.driver.tick(self.now()):
            if isinstance(action, Try):
                self._send(action)
            else:
                self._give_up(action)
        self._arm()

    def _arm(self) -> None:
        """Be called when the driver is next due; a turn that is due now follows at once."""
        if self.driver.done:
            self._ended.set()
            return
        due = self.driver.next_s
        if due is None:
            return  # connections that come up will go on
        loop = asyncio.get_running_loop()
        when = loop.time() + max(0.0, due - self.now())
        if self._timer is None or when < self._timer_at:
            if self._timer:
                self._timer.cancel()
            self._timer_at, self._timer = when, loop.call_at(when, self._tick)

    def _send(self, one: Try) -> None:
        link = self._links.take()
        if link is not None:
            self._write(link, one)
        elif self._links.full:
            self.driver.missed(self.now(), one.ident, "all connections are in use")
        else:
            task = asyncio.get_running_loop().create_task(self._connect(one))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect(self, one: Try) -> None:
        try:
            link = await self._links.connect()
        except OSError as error:
            if error.errno in NO_DESCRIPTORS:
                self.driver.missed(self.now(), one.ident, error.strerror or "no descriptor")
            else:
                self.driver.broken(self.now(), one.ident)
        else:
            if self.driver.waits(one.ident):
                self._write(link, one)
            else:
                self._links.free.append(link)
        self._arm()

    def _write(self, link: Link, one: Try) -> None:
        now = self.now()
        self._out[one.ident] = link
        message = self._wording.message(one, now)
        link.send(one.ident, self._wording.ident(one), message, one.planned.method == "HEAD")
        self.driver.sent(self.now(), one.ident)

    def _give_up(self, one: GiveUp) -> None:
        if link := self._out.pop(one.ident, None):
            link.abort()

    def _answered(self, ident: int, code: int, after: float | None) -> None:
        self._out.pop(ident, None)
        self.driver.answered(self.now(), ident, code, after)
        self._arm()

    def _broken(self, ident: int, begun: bool) -> None:
        self._out.pop(ident, None)
        self.driver.broken(self.now(), ident, begun)
        self._arm()

    def _stray(self, label: str) -> None:
        self.stats.odd(label, "a second answer")
        self.stats.note(label, 1, False)


def machine_times() -> list[int]:
    """The machine's times by kind, in ticks; the eighth is what others took (proc(5), steal)."""
    try:
        return [int(field) for field in Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:9]]
    except (OSError, ValueError):
        return []


def requests_of(setup: Scenario, part: Part) -> Iterator[Planned]:
    """This process's share of the scenario's arrivals, or of a trace."""
    if not part.trace:
        return arrivals.share_of(arrivals.planned(setup), part.part, part.parts)
    classes = {cls.name: cls for cls in setup.class_}
    source = open(part.trace, "rb")  # noqa: SIM115, it is read as the run goes on
    rows = traces.read(source, "own", traces.Import())
    return arrivals.share_of(traces.replay(rows, part.factor, classes), part.part, part.parts)


async def _play(part: Part) -> Stats:
    setup = scenario.load(Path(part.scenario))
    ledger = open(part.ledger, "ab", buffering=1 << 16) if part.ledger else None  # noqa: SIM115
    stats = Recording(part.run, ledger)
    worker = Worker(setup, requests_of(setup, part), part, stats)
    gc.freeze()
    await worker.run()
    if ledger:
        ledger.close()
    return stats


def main() -> int:
    """A part's description on standard input, its progress and figures on standard output."""
    part = Part(**json.loads(sys.stdin.readline()))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        stats = runner.run(_play(part))
    print(json.dumps({"stats": stats.pack()}), flush=True)
    return 0
