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

from basaltpoint.rehearsal.events import Observation, OperatorCommand, ProcessLifetime
from basaltpoint.rehearsal.faults import ActiveLinkFaults, Fault, FaultKind
from basaltpoint.rehearsal.links import LinkProxies
from basaltpoint.rehearsal.system_faults.library import build_library
from basaltpoint.rehearsal.system_faults.library import preload_environment as preloaded
from basaltpoint.rehearsal.system_faults.table import Call, CallFault, Effect, FaultTable

JOURNAL_FILE = "journal.jsonl"
COPY = "copy"  # of what a limiter has, in its folder
SYSTEM_TABLE = "system-faults"
STAYS = ("limiter.toml", "log.txt", JOURNAL_FILE, COPY, SYSTEM_TABLE)
SEEDS = 3  # members that all know at their start
END_S = 20.0  # for a process to end after SIGTERM
LOOK_S = 0.02  # between two looks at a log
SUCCESSOR_READY_TEXT = (
    "ready: this process serves once"  # in the log of a process that waits for the older one's end
)
TELL_S = 30.0  # for an operator's command to be acknowledged
STORE_CLUSTER = "rehearsal"  # of the store
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
        case FaultKind.FULL:
            return CallFault(Call.FILE_WRITE, Effect.FAIL, 1.0, errno.ENOSPC)
        case FaultKind.SYNC:
            return CallFault(Call.FILE_SYNC, Effect.FAIL, fault.fraction, errno.EIO)
        case _:
            return CallFault(
                Call[fault.system_call.upper()], Effect.FAIL, fault.fraction, getattr(errno, fault.errno_name)
            )


def _environment() -> dict[str, str]:
    return {**os.environ, "PYTHONPATH": os.pathsep.join(path for path in sys.path if path)}


def _sockets(folder: str, names: list[str]) -> list[str]:
    """Those that can't be copied: they are made anew at a start."""
    return [name for name in names if (Path(folder) / name).is_socket()]


@dataclass(slots=True)
class MemberProcess:
    """One limiter."""

    name: str
    folder: Path
    client_address: str  # for clients
    own_address: str  # where its peers' socket is
    advertised_address: str  # where the others reach it
    subcommand: tuple[str, ...] = ("serve",)
    process: subprocess.Popen[bytes] | None = None
    ended_lifetimes: list[ProcessLifetime] = field(
        default_factory=list
    )  # ended ones, their first incarnation not filled in
    started_s: float = math.inf
    is_paused: bool = False
    system_faults: FaultTable | None = None  # by which its system calls fail

    @property
    def config_file(self) -> Path:
        return self.folder / "limiter.toml"


class FleetProcesses:
    """The limiters of one rehearsal; times are seconds of the monotonic clock."""

    def __init__(
        self,
        folder: Path,
        names: Sequence[str],
        tables: str,
        fleet_settings: str = "",
        seed: int = 1,
        replicas: Sequence[str] = (),
        seed_count: int = SEEDS,
        inject_system_faults: bool = False,
    ) -> None:
        """`names`: the limiters. `replicas`: of the store that they share, where there are any. `seeds`: how
        many of the limiters are named in each one's file. `system`: their system calls may fail; BuildError
        from `prepare` where that can't be had."""
        self._system = inject_system_faults
        self._library: Path | None = None
        self._seeds = seed_count
        self.folder, self.names, self.replicas = folder, list(names), list(replicas)
        self._tables, self._fleet = tables, fleet_settings
        self._ways: dict[tuple[str, str], str] = {}  # where a limiter reaches a replica
        self.commands: list[OperatorCommand] = []
        self._telling: set[asyncio.Task[None]] = set()
        self._sockets = tempfile.mkdtemp(prefix="basaltpoint-")  # of upgrades: a local socket's path is short
        self.link_faults = ActiveLinkFaults()
        self.proxies = LinkProxies(self.link_faults, seed)
        self.members: dict[str, MemberProcess] = {}

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
            member = MemberProcess(
                name, folder, next(free) if limits else "", own, await self.proxies.add_proxy(name, own)
            )
            if self._library:
                member.system_faults = FaultTable(folder / SYSTEM_TABLE)
            if not limits:
                member.subcommand = ("store", "run")
                for limiter in self.names:
                    self._ways[limiter, name] = await self.proxies.add_proxy(name, own, limiter)
            self.members[name] = member
        for member in self.members.values():
            member.config_file.write_text(self.config_text(member))

    def config_text(self, member: MemberProcess) -> str:
        """A member's file."""
        if member.name in self.replicas:
            listed = ", ".join(f'"{n}@{self.members[n].advertised_address}"' for n in self.replicas)
            return (
                f'[store]\ncluster = "{STORE_CLUSTER}"\nname = "{member.name}"\n'
                f'listen = "{member.own_address}"\n'
                f'advertise = "{member.advertised_address}"\nmembers = [{listed}]\n'
            )
        asked = ", ".join(f'"{n}@{self._ways[member.name, n]}"' for n in self.replicas)
        store = f'[store]\ncluster = "{STORE_CLUSTER}"\nname = ""\nmembers = [{asked}]\n' if asked else ""
        seeds = ", ".join(f'"{n}@{self.members[n].advertised_address}"' for n in self.names[: self._seeds])
        return (
            f'name = "{member.name}"\nlisten = "{member.client_address}"\nhandover = "{self._sockets}"\n'
            f"{self._tables}\n{store}"
            f'[fleet]\nlisten = "{member.own_address}"\nadvertise = "{member.advertised_address}"\n'
            f"seeds = [{seeds}]\n"
            f'journal = "{JOURNAL_FILE}"\n{self._fleet}\n'
        )

    def start(self, *names: str) -> None:
        for name in names or self.members:
            member = self.members[name]
            member.process = self._start_process(member)
            member.started_s, member.is_paused = time.monotonic(), False

    def _start_process(self, member: MemberProcess) -> subprocess.Popen[bytes]:
        environment = _environment()
        if self._library and member.system_faults:
            environment |= preloaded(self._library, member.system_faults)
        with open(member.folder / "log.txt", "ab") as out:
            return subprocess.Popen(
                [*PROGRAM, *member.subcommand, str(member.config_file)],
                stdout=out,
                stderr=out,
                env=environment,
            )

    async def upgrade(self, name: str) -> None:
        """Start a new process of a limiter, and end the one that runs once the new one can take over."""
        member = self.members[name]
        older, said = member.process, self.read_log(name).count(SUCCESSOR_READY_TEXT)
        if older is None:
            return
        newer = self._start_process(member)
        while self.read_log(name).count(SUCCESSOR_READY_TEXT) == said and newer.poll() is None:
            await asyncio.sleep(LOOK_S)
        if newer.poll() is None and member.process is older:  # else a fault has ended one of them
            member.process = newer
            older.send_signal(signal.SIGTERM)
            await asyncio.to_thread(older.wait, END_S)

    def pause(self, name: str) -> None:
        if process := self.members[name].process:
            process.send_signal(signal.SIGSTOP)
            self.members[name].is_paused = True

    def resume(self, name: str) -> None:
        if process := self.members[name].process:
            process.send_signal(signal.SIGCONT)
            self.members[name].is_paused = False

    async def terminate(self, name: str, number: int = signal.SIGKILL) -> int:
        """End a process, and wait for it; its exit code."""
        member = self.members[name]
        process, member.process = member.process, None
        if process is None:
            return 0
        if number == signal.SIGKILL:
            member.ended_lifetimes.append(ProcessLifetime(name, member.started_s, time.monotonic()))
        process.send_signal(number)
        code = await asyncio.to_thread(process.wait, END_S)
        if number != signal.SIGKILL:
            member.ended_lifetimes.append(
                ProcessLifetime(name, member.started_s, time.monotonic(), is_announced=True)
            )
        member.started_s = math.inf
        return code

    async def begin_fault(self, fault: Fault) -> None:
        """Let a fault begin."""
        match fault.kind:
            case FaultKind.PAUSE:
                for name in fault.members:
                    self.pause(name)
            case FaultKind.KILL | FaultKind.WIPE | FaultKind.PUTBACK:
                await asyncio.gather(*(self.terminate(name) for name in fault.members))
            case FaultKind.STOP:
                await asyncio.gather(*(self.terminate(name, signal.SIGTERM) for name in fault.members))
            case FaultKind.UPGRADE:
                for name in fault.members:
                    self._later(self.upgrade(name))
            case FaultKind.RESET:
                self.proxies.reset_connections(fault.sources, fault.targets)
            case FaultKind.DRAIN | FaultKind.UNDRAIN:
                self._later(self._tell(fault, fault.kind.value))
            case FaultKind.CLOCK:
                for table in self._tables_of(fault):
                    table.step_wall_clock(fault.clock_step_s)
            case FaultKind.FULL | FaultKind.SYNC | FaultKind.CALLS:
                for table in self._tables_of(fault):
                    table.activate(call_fault(fault))
            case _:
                self.link_faults.faults.append(fault)

    async def end_fault(self, fault: Fault) -> None:
        """Let it end."""
        match fault.kind:
            case FaultKind.PAUSE:
                for name in fault.members:
                    self.resume(name)
            case FaultKind.KILL | FaultKind.STOP | FaultKind.WIPE | FaultKind.PUTBACK:
                for name in fault.members:
                    if fault.kind in (FaultKind.WIPE, FaultKind.PUTBACK):
                        self._lose(self.members[name], older=fault.kind is FaultKind.PUTBACK)
                    if self.members[name].process is None:
                        self.start(name)
            case FaultKind.DRAIN:
                self._later(self._tell(fault, FaultKind.UNDRAIN.value))
            case FaultKind.RESET | FaultKind.UPGRADE | FaultKind.UNDRAIN | FaultKind.CLOCK:
                pass
            case FaultKind.FULL | FaultKind.SYNC | FaultKind.CALLS:
                for table in self._tables_of(fault):
                    table.deactivate(call_fault(fault))
            case _:
                self.link_faults.faults.remove(fault)

    def _tables_of(self, fault: Fault) -> list[FaultTable]:
        return [table for name in fault.members if (table := self.members[name].system_faults)]

    def _later(self, work: Coroutine[Any, Any, None]) -> None:
        """A command may wait for a store that faults hold up; the next fault does not."""
        task = asyncio.get_running_loop().create_task(work)
        self._telling.add(task)
        task.add_done_callback(self._telling.discard)

    async def wait_for_commands(self) -> None:
        """Wait for the commands that are out."""
        await asyncio.gather(*self._telling)

    async def _tell(self, fault: Fault, what: str) -> None:
        """Have an operator's command told over the links of one limiter, and note its acknowledgement."""
        for name in fault.members:
            began = time.monotonic()
            process = await asyncio.create_subprocess_exec(
                *PROGRAM, what, fault.server, "--config", str(self.members[name].config_file),
                "--within", str(TELL_S), stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE,
                env=_environment(),
            )  # fmt: skip
            _, text = await process.communicate()
            problem = text.decode(errors="replace").strip() if process.returncode else ""
            self.commands.append(OperatorCommand(what, fault.server, name, began, time.monotonic(), problem))

    def save_copies(self) -> None:
        """Copy what each limiter has in its folder now: what `putback` brings back."""
        for member in self.members.values():
            (member.folder / COPY).mkdir(exist_ok=True)
            for path in self._own(member):
                copy = member.folder / COPY / path.name
                if path.is_dir():
                    shutil.copytree(path, copy, ignore=_sockets, dirs_exist_ok=True)
                else:
                    shutil.copy2(path, copy)

    def _own(self, member: MemberProcess) -> list[Path]:
        """What a limiter wrote for itself; its file, its log and its journal are the rehearsal's."""
        return [path for path in member.folder.iterdir() if path.name not in STAYS]

    def _lose(self, member: MemberProcess, older: bool) -> None:
        """A limiter that does not run loses its folder, or finds the older copy in its place."""
        for path in self._own(member):
            if path.is_dir():
                shutil.rmtree(path)
            else:
                path.unlink()
        if older:
            shutil.copytree(member.folder / COPY, member.folder, dirs_exist_ok=True)

    def exited_members(self) -> list[str]:
        """Members that ended though nobody ended them."""
        return [
            n for n, member in self.members.items() if member.process and member.process.poll() is not None
        ]

    def read_log(self, name: str) -> str:
        return (self.members[name].folder / "log.txt").read_text()

    async def close(self) -> None:
        """End all, whatever state they are in."""
        for task in self._telling:
            task.cancel()
        for name, member in self.members.items():
            if member.is_paused:
                self.resume(name)
            await self.terminate(name)
        await self.proxies.close()
        shutil.rmtree(self._sockets, ignore_errors=True)

    # --- What they saw ------------------------------------------------------------------------------------
    def read_journals(self) -> tuple[list[Observation], dict[str, list[tuple[float, int]]]]:
        """All changes of all views in their order; and of each name its starts with their incarnations."""
        saws, starts = list[Observation](), dict[str, list[tuple[float, int]]]()
        for name, member in self.members.items():
            path = member.folder / JOURNAL_FILE
            for line in path.read_text().splitlines() if path.exists() else ():
                with contextlib.suppress(ValueError):  # the last line of one that was killed
                    row: dict[str, Any] = json.loads(line)
                    if row["what"] == "start":
                        starts.setdefault(name, []).append((row["at_s"], row["incarnation"]))
                    saws.append(
                        Observation(row["at_s"], row["by"], row["name"], row["incarnation"], row["state"])
                    )
        return sorted(saws, key=lambda saw: saw.at_s), starts

    def lifetimes_and_observations(self) -> tuple[list[ProcessLifetime], list[Observation]]:
        """Every process that there was, with its first incarnation; and all changes of all views."""
        saws, starts = self.read_journals()
        found = []
        for name, member in self.members.items():
            made = list(member.ended_lifetimes)
            if name in self.replicas:
                continue
            if member.process:
                made.append(ProcessLifetime(name, member.started_s, math.inf))
            for life in made:
                first = min(
                    (inc for at, inc in starts.get(name, ()) if life.started_s <= at < life.ended_s),
                    default=0,
                )
                found.append(replace(life, first_incarnation=first))
        return found, saws

    def views(self) -> dict[str, dict[str, str]]:
        """The last state of each member in each living member's view."""
        saws, starts = self.read_journals()
        found: dict[str, dict[str, str]] = {}
        for saw in saws:
            if self.members[saw.observer].process and saw.at_s >= max(at for at, _ in starts[saw.observer]):
                found.setdefault(saw.observer, {})[saw.member] = saw.state
        return found
