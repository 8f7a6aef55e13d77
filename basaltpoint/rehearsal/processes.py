"""Real limiters as processes, each behind a link that can be spoilt, and the faults on them."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import math
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from basaltpoint.rehearsal.events import Life, Saw, Told
from basaltpoint.rehearsal.faults import Fault, Kind, Spoilt
from basaltpoint.rehearsal.links import SpoiltLinks
from basaltpoint.rehearsal.system_faults.library import build_library
from basaltpoint.rehearsal.system_faults.library import preload_environment as preloaded
from basaltpoint.rehearsal.system_faults.table import Call, CallFault, Effect, FaultTable

JOURNAL = "journal.jsonl"
COPY = "copy"  # of what a limiter has, in its folder
SYSTEM_TABLE = "system-faults"
STAYS = ("limiter.toml", "log.txt", JOURNAL, COPY, SYSTEM_TABLE)
SEEDS = 3  # members that all know at their start
END_S = 20.0  # for a process to end after SIGTERM
LOOK_S = 0.02  # between two looks at a log
READY = "ready: this process serves once"  # in the log of a process that waits for the older one's end
TELL_S = 30.0  # for an operator's command to be acknowledged
CLUSTER = "rehearsal"  # of the store
PROGRAM = (sys.executable, "-m", "basaltpoint")


def free_addresses(count: int) -> list[str]:
    """Addresses for processes that must come back at the same ones.

    On a host of the loopback drawn for this rehearsal alone: neither another rehearsal nor a connection that
    the system gives a port of its own takes one while its process is not there.
    """
    host = ".".join(["127", *(str(1 + secrets.randbelow(250)) for _ in range(3))])
    held = [socket.create_server((host, 0)) for _ in range(count)]
    try:
        return [f"{host}:{sock.getsockname()[1]}" for sock in held]
    finally:
        for sock in held:
            sock.close()


def call_fault(fault: Fault) -> CallFault:
    """Which system calls a fault of the kinds FULL, SYNC and CALLS strikes, and how."""
    match fault.kind:
        case Kind.FULL:
            return CallFault(Call.FILE_WRITE, Effect.FAIL, 1.0, errno.ENOSPC)
        case Kind.SYNC:
            return CallFault(Call.FILE_SYNC, Effect.FAIL, fault.part, errno.EIO)
        case _:
            return CallFault(Call[fault.call.upper()], Effect.FAIL, fault.part, getattr(errno, fault.error))


def _environment() -> dict[str, str]:
    return {**os.environ, "PYTHONPATH": os.pathsep.join(path for path in sys.path if path)}


def _sockets(folder: str, names: list[str]) -> list[str]:
    """Those that can't be copied: they are made anew at a start."""
    return [name for name in names if (Path(folder) / name).is_socket()]


@dataclass(slots=True)
class Member:
    """One limiter."""

    name: str
    folder: Path
    listen: str  # for clients
    own: str  # where its peers' socket is
    advertise: str  # where the others reach it
    command: tuple[str, ...] = ("serve",)
    process: subprocess.Popen[bytes] | None = None
    lives: list[Life] = field(default_factory=list)  # ended ones, their first incarnation not filled in
    began_s: float = math.inf
    paused: bool = False
    system: FaultTable | None = None  # by which its system calls fail

    @property
    def file(self) -> Path:
        return self.folder / "limiter.toml"


class Processes:
    """The limiters of one rehearsal; times are seconds of the monotonic clock."""

    def __init__(
        self,
        folder: Path,
        names: Sequence[str],
        tables: str,
        fleet: str = "",
        seed: int = 1,
        replicas: Sequence[str] = (),
        seeds: int = SEEDS,
        system: bool = False,
    ) -> None:
        """`names`: the limiters. `replicas`: of the store that they share, where there are any. `seeds`: how
        many of the limiters are named in each one's file. `system`: their system calls may fail; BuildError
        from `prepare` where that can't be had."""
        self._system = system
        self._library: Path | None = None
        self._seeds = seeds
        self.folder, self.names, self.replicas = folder, list(names), list(replicas)
        self._tables, self._fleet = tables, fleet
        self._ways: dict[tuple[str, str], str] = {}  # where a limiter reaches a replica
        self.told: list[Told] = []
        self._telling: set[asyncio.Task[None]] = set()
        self._sockets = tempfile.mkdtemp(prefix="basaltpoint-")  # of upgrades: a local socket's path is short
        self.spoilt = Spoilt()
        self.links = SpoiltLinks(self.spoilt, seed)
        self.members: dict[str, Member] = {}

    async def prepare(self) -> None:
        """Links and files; nothing is started yet."""
        if self._system:
            self.folder.mkdir(parents=True, exist_ok=True)
            self._library = build_library(self.folder)
        free = iter(free_addresses(2 * len(self.names) + len(self.replicas)))
        for name in self.replicas + self.names:
            folder = self.folder / name
            folder.mkdir(parents=True, exist_ok=True)
            own, limits = next(free), name in self.names
            member = Member(
                name, folder, next(free) if limits else "", own, await self.links.before(name, own)
            )
            if self._library:
                member.system = FaultTable(folder / SYSTEM_TABLE)
            if not limits:
                member.command = ("store", "run")
                for limiter in self.names:
                    self._ways[limiter, name] = await self.links.before(name, own, limiter)
            self.members[name] = member
        for member in self.members.values():
            member.file.write_text(self.text(member))

    def text(self, member: Member) -> str:
        """A member's file."""
        if member.name in self.replicas:
            listed = ", ".join(f'"{n}@{self.members[n].advertise}"' for n in self.replicas)
            return (
                f'[store]\ncluster = "{CLUSTER}"\nname = "{member.name}"\nlisten = "{member.own}"\n'
                f'advertise = "{member.advertise}"\nmembers = [{listed}]\n'
            )
        asked = ", ".join(f'"{n}@{self._ways[member.name, n]}"' for n in self.replicas)
        store = f'[store]\ncluster = "{CLUSTER}"\nname = ""\nmembers = [{asked}]\n' if asked else ""
        seeds = ", ".join(f'"{n}@{self.members[n].advertise}"' for n in self.names[: self._seeds])
        return (
            f'name = "{member.name}"\nlisten = "{member.listen}"\nhandover = "{self._sockets}"\n'
            f"{self._tables}\n{store}"
            f'[fleet]\nlisten = "{member.own}"\nadvertise = "{member.advertise}"\nseeds = [{seeds}]\n'
            f'journal = "{JOURNAL}"\n{self._fleet}\n'
        )

    def start(self, *names: str) -> None:
        for name in names or self.members:
            member = self.members[name]
            member.process = self._process(member)
            member.began_s, member.paused = time.monotonic(), False

    def _process(self, member: Member) -> subprocess.Popen[bytes]:
        environment = _environment()
        if self._library and member.system:
            environment |= preloaded(self._library, member.system)
        with open(member.folder / "log.txt", "ab") as out:
            return subprocess.Popen(
                [*PROGRAM, *member.command, str(member.file)], stdout=out, stderr=out, env=environment
            )

    async def upgrade(self, name: str) -> None:
        """Start a new process of a limiter, and end the one that runs once the new one can take over."""
        member = self.members[name]
        older, said = member.process, self.log(name).count(READY)
        if older is None:
            return
        newer = self._process(member)
        while self.log(name).count(READY) == said and newer.poll() is None:
            await asyncio.sleep(LOOK_S)
        if newer.poll() is None and member.process is older:  # else a fault has ended one of them
            member.process = newer
            older.send_signal(signal.SIGTERM)
            await asyncio.to_thread(older.wait, END_S)

    def pause(self, name: str) -> None:
        if process := self.members[name].process:
            process.send_signal(signal.SIGSTOP)
            self.members[name].paused = True

    def resume(self, name: str) -> None:
        if process := self.members[name].process:
            process.send_signal(signal.SIGCONT)
            self.members[name].paused = False

    async def end(self, name: str, number: int = signal.SIGKILL) -> int:
        """End a process, and wait for it; its exit code."""
        member = self.members[name]
        process, member.process = member.process, None
        if process is None:
            return 0
        if number == signal.SIGKILL:
            member.lives.append(Life(name, member.began_s, time.monotonic()))
        process.send_signal(number)
        code = await asyncio.to_thread(process.wait, END_S)
        if number != signal.SIGKILL:
            member.lives.append(Life(name, member.began_s, time.monotonic(), told=True))
        member.began_s = math.inf
        return code

    async def begin(self, fault: Fault) -> None:
        """Let a fault begin."""
        match fault.kind:
            case Kind.PAUSE:
                for name in fault.on:
                    self.pause(name)
            case Kind.KILL | Kind.WIPE | Kind.PUTBACK:
                await asyncio.gather(*(self.end(name) for name in fault.on))
            case Kind.STOP:
                await asyncio.gather(*(self.end(name, signal.SIGTERM) for name in fault.on))
            case Kind.UPGRADE:
                for name in fault.on:
                    self._later(self.upgrade(name))
            case Kind.RESET:
                self.links.reset(fault.sources, fault.targets)
            case Kind.DRAIN | Kind.UNDRAIN:
                self._later(self._tell(fault, fault.kind.value))
            case Kind.CLOCK:
                for table in self._tables_of(fault):
                    table.step_wall_clock(fault.by_s)
            case Kind.FULL | Kind.SYNC | Kind.CALLS:
                for table in self._tables_of(fault):
                    table.activate(call_fault(fault))
            case _:
                self.spoilt.faults.append(fault)

    async def over(self, fault: Fault) -> None:
        """Let it end."""
        match fault.kind:
            case Kind.PAUSE:
                for name in fault.on:
                    self.resume(name)
            case Kind.KILL | Kind.STOP | Kind.WIPE | Kind.PUTBACK:
                for name in fault.on:
                    if fault.kind in (Kind.WIPE, Kind.PUTBACK):
                        self._lose(self.members[name], older=fault.kind is Kind.PUTBACK)
                    if self.members[name].process is None:
                        self.start(name)
            case Kind.DRAIN:
                self._later(self._tell(fault, Kind.UNDRAIN.value))
            case Kind.RESET | Kind.UPGRADE | Kind.UNDRAIN | Kind.CLOCK:
                pass
            case Kind.FULL | Kind.SYNC | Kind.CALLS:
                for table in self._tables_of(fault):
                    table.deactivate(call_fault(fault))
            case _:
                self.spoilt.faults.remove(fault)

    def _tables_of(self, fault: Fault) -> list[FaultTable]:
        return [table for name in fault.on if (table := self.members[name].system)]

    def _later(self, work: Coroutine[Any, Any, None]) -> None:
        """A command may wait for a store that faults hold up; the next fault does not."""
        task = asyncio.get_running_loop().create_task(work)
        self._telling.add(task)
        task.add_done_callback(self._telling.discard)

    async def settle(self) -> None:
        """Wait for the commands that are out."""
        await asyncio.gather(*self._telling)

    async def _tell(self, fault: Fault, what: str) -> None:
        """Have an operator's command told over the links of one limiter, and note its acknowledgement."""
        for name in fault.on:
            began = time.monotonic()
            process = await asyncio.create_subprocess_exec(
                *PROGRAM, what, fault.server, "--config", str(self.members[name].file),
                "--within", str(TELL_S), stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE,
                env=_environment(),
            )  # fmt: skip
            _, text = await process.communicate()
            problem = text.decode(errors="replace").strip() if process.returncode else ""
            self.told.append(Told(what, fault.server, name, began, time.monotonic(), problem))

    def keep_copies(self) -> None:
        """Copy what each limiter has in its folder now: what `putback` brings back."""
        for member in self.members.values():
            (member.folder / COPY).mkdir(exist_ok=True)
            for path in self._own(member):
                copy = member.folder / COPY / path.name
                if path.is_dir():
                    shutil.copytree(path, copy, ignore=_sockets, dirs_exist_ok=True)
                else:
                    shutil.copy2(path, copy)

    def _own(self, member: Member) -> list[Path]:
        """What a limiter wrote for itself; its file, its log and its journal are the rehearsal's."""
        return [path for path in member.folder.iterdir() if path.name not in STAYS]

    def _lose(self, member: Member, older: bool) -> None:
        """A limiter that does not run loses its folder, or finds the older copy in its place."""
        for path in self._own(member):
            if path.is_dir():
                shutil.rmtree(path)
            else:
                path.unlink()
        if older:
            shutil.copytree(member.folder / COPY, member.folder, dirs_exist_ok=True)

    def fallen(self) -> list[str]:
        """Members that ended though nobody ended them."""
        return [
            n for n, member in self.members.items() if member.process and member.process.poll() is not None
        ]

    def log(self, name: str) -> str:
        return (self.members[name].folder / "log.txt").read_text()

    async def close(self) -> None:
        """End all, whatever state they are in."""
        for task in self._telling:
            task.cancel()
        for name, member in self.members.items():
            if member.paused:
                self.resume(name)
            await self.end(name)
        await self.links.close()
        shutil.rmtree(self._sockets, ignore_errors=True)

    # --- What they saw ------------------------------------------------------------------------------------
    def journal(self) -> tuple[list[Saw], dict[str, list[tuple[float, int]]]]:
        """All changes of all views in their order; and of each name its starts with their incarnations."""
        saws, starts = list[Saw](), dict[str, list[tuple[float, int]]]()
        for name, member in self.members.items():
            path = member.folder / JOURNAL
            for line in path.read_text().splitlines() if path.exists() else ():
                with contextlib.suppress(ValueError):  # the last line of one that was killed
                    row: dict[str, Any] = json.loads(line)
                    if row["what"] == "start":
                        starts.setdefault(name, []).append((row["at_s"], row["incarnation"]))
                    saws.append(Saw(row["at_s"], row["by"], row["name"], row["incarnation"], row["state"]))
        return sorted(saws, key=lambda saw: saw.at_s), starts

    def record(self) -> tuple[list[Life], list[Saw]]:
        """Every process that there was, with its first incarnation; and all changes of all views."""
        saws, starts = self.journal()
        found = []
        for name, member in self.members.items():
            made = list(member.lives)
            if name in self.replicas:
                continue
            if member.process:
                made.append(Life(name, member.began_s, math.inf))
            for life in made:
                first = min(
                    (inc for at, inc in starts.get(name, ()) if life.began_s <= at < life.ended_s), default=0
                )
                found.append(replace(life, incarnation=first))
        return found, saws

    def views(self) -> dict[str, dict[str, str]]:
        """The last state of each member in each living member's view."""
        saws, starts = self.journal()
        found: dict[str, dict[str, str]] = {}
        for saw in saws:
            if self.members[saw.by].process and saw.at_s >= max(at for at, _ in starts[saw.by]):
                found.setdefault(saw.by, {})[saw.name] = saw.state
        return found
