"""Runs limiters and replicas as processes, each behind a proxy, and injects the faults."""

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
COPY_FOLDER = "copy"  # of a limiter's files, in its folder
SYSTEM_FAULT_FILE = "system-faults"
REHEARSAL_FILES = ("limiter.toml", "log.txt", JOURNAL_FILE, COPY_FOLDER, SYSTEM_FAULT_FILE)
SEED_COUNT = 3  # members that each limiter knows at its start
TERMINATION_TIMEOUT_S = 20.0  # for a process to exit after a signal
POLL_INTERVAL_S = 0.02  # between two checks of a log
# Logged by a successor that waits for the exit of its predecessor.
SUCCESSOR_READY_TEXT = "ready: this process serves once"
COMMAND_TIMEOUT_S = 30.0  # for the acknowledgement of an operator's command
STORE_CLUSTER = "rehearsal"  # name of the store's cluster
PROGRAM = (sys.executable, "-m", "basaltpoint")


def free_addresses(count: int) -> list[str]:
    """Returns free addresses for processes that restart at the same address.

    They are on a random loopback host that only this rehearsal uses. Otherwise another rehearsal, or a
    connection with an ephemeral port, could take an address while its process is down.
    """
    host = ".".join(["127", *(str(1 + secrets.randbelow(250)) for _ in range(3))])
    sockets = [socket.create_server((host, 0)) for _ in range(count)]
    try:
        return [f"{host}:{sock.getsockname()[1]}" for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def call_fault(fault: Fault) -> CallFault:
    """Returns the system call failure of a fault of the kinds FULL, SYNC or CALLS."""
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
    """Returns the sockets, which can't be copied; a process creates them again at its start."""
    return [name for name in names if (Path(folder) / name).is_socket()]


@dataclass(slots=True)
class MemberProcess:
    """One limiter or replica, through all its processes."""

    name: str
    folder: Path
    client_address: str  # for a limiter's clients
    own_address: str  # where it listens for peers
    advertised_address: str  # of its proxy, where the others connect
    subcommand: tuple[str, ...] = ("serve",)
    process: subprocess.Popen[bytes] | None = None
    ended_lifetimes: list[ProcessLifetime] = field(default_factory=list)  # without first incarnations
    started_s: float = math.inf  # infinite while no process runs
    is_paused: bool = False
    system_faults: FaultTable | None = None  # of its failing system calls

    @property
    def config_file(self) -> Path:
        return self.folder / "limiter.toml"


class FleetProcesses:
    """The limiters and replicas of one rehearsal; times are seconds of the monotonic clock."""

    def __init__(
        self,
        folder: Path,
        names: Sequence[str],
        tables: str,
        fleet_settings: str = "",
        seed: int = 1,
        replicas: Sequence[str] = (),
        seed_count: int = SEED_COUNT,
        inject_system_faults: bool = False,
    ) -> None:
        """Sets up the fleet without creating files or starting processes.

        `names` are the limiters and `replicas` those of the store that they share, if any. `tables` and
        `fleet_settings` are TOML text for each limiter's file, the latter for its `[fleet]` table.
        `seed_count` is the number of limiters that each file names as seeds. With `inject_system_faults`
        system calls can fail; `prepare` then raises BuildError if the preloaded library can't be built.
        """
        self._injects_system_faults = inject_system_faults
        self._library: Path | None = None
        self._seed_count = seed_count
        self.folder, self.names, self.replicas = folder, list(names), list(replicas)
        self._limiter_tables, self._fleet_settings = tables, fleet_settings
        self._replica_proxies: dict[tuple[str, str], str] = {}  # proxy address by limiter and replica
        self.commands: list[OperatorCommand] = []
        self._command_tasks: set[asyncio.Task[None]] = set()
        # For the handover sockets; a short path, as the path of a local socket is limited in length.
        self._handover_folder = tempfile.mkdtemp(prefix="basaltpoint-")
        self.link_faults = ActiveLinkFaults()
        self.proxies = LinkProxies(self.link_faults, seed)
        self.members: dict[str, MemberProcess] = {}

    async def prepare(self) -> None:
        """Creates the proxies and the configuration files; starts nothing yet. May raise BuildError."""
        if self._injects_system_faults:
            self.folder.mkdir(parents=True, exist_ok=True)
            self._library = build_library(self.folder)
        free = iter(free_addresses(2 * len(self.names) + len(self.replicas)))
        for name in self.replicas + self.names:
            folder = self.folder / name
            folder.mkdir(parents=True, exist_ok=True)
            own_address, is_limiter = next(free), name in self.names
            member = MemberProcess(
                name,
                folder,
                next(free) if is_limiter else "",
                own_address,
                await self.proxies.add_proxy(name, own_address),
            )
            if self._library:
                member.system_faults = FaultTable(folder / SYSTEM_FAULT_FILE)
            if not is_limiter:
                member.subcommand = ("store", "run")
                for limiter in self.names:
                    self._replica_proxies[limiter, name] = await self.proxies.add_proxy(
                        name, own_address, limiter
                    )
            self.members[name] = member
        for member in self.members.values():
            member.config_file.write_text(self.config_text(member))

    def config_text(self, member: MemberProcess) -> str:
        """Returns the configuration file of a member."""
        if member.name in self.replicas:
            replica_addresses = ", ".join(
                f'"{n}@{self.members[n].advertised_address}"' for n in self.replicas
            )
            return (
                f'[store]\ncluster = "{STORE_CLUSTER}"\nname = "{member.name}"\n'
                f'listen = "{member.own_address}"\n'
                f'advertise = "{member.advertised_address}"\nmembers = [{replica_addresses}]\n'
            )
        replica_addresses = ", ".join(f'"{n}@{self._replica_proxies[member.name, n]}"' for n in self.replicas)
        store = (
            f'[store]\ncluster = "{STORE_CLUSTER}"\nname = ""\nmembers = [{replica_addresses}]\n'
            if replica_addresses
            else ""
        )
        seeds = ", ".join(
            f'"{n}@{self.members[n].advertised_address}"' for n in self.names[: self._seed_count]
        )
        return (
            f'name = "{member.name}"\nlisten = "{member.client_address}"\n'
            f'handover = "{self._handover_folder}"\n'
            f"{self._limiter_tables}\n{store}"
            f'[fleet]\nlisten = "{member.own_address}"\nadvertise = "{member.advertised_address}"\n'
            f"seeds = [{seeds}]\n"
            f'journal = "{JOURNAL_FILE}"\n{self._fleet_settings}\n'
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
        """Starts a successor of a limiter's process, and ends the predecessor once it can take over."""
        member = self.members[name]
        predecessor, ready_count = member.process, self.read_log(name).count(SUCCESSOR_READY_TEXT)
        if predecessor is None:
            return
        successor = self._start_process(member)
        while self.read_log(name).count(SUCCESSOR_READY_TEXT) == ready_count and successor.poll() is None:
            await asyncio.sleep(POLL_INTERVAL_S)
        if successor.poll() is None and member.process is predecessor:  # otherwise a fault ended one of them
            member.process = successor
            predecessor.send_signal(signal.SIGTERM)
            await asyncio.to_thread(predecessor.wait, TERMINATION_TIMEOUT_S)

    def pause(self, name: str) -> None:
        if process := self.members[name].process:
            process.send_signal(signal.SIGSTOP)
            self.members[name].is_paused = True

    def resume(self, name: str) -> None:
        if process := self.members[name].process:
            process.send_signal(signal.SIGCONT)
            self.members[name].is_paused = False

    async def terminate(self, name: str, signal_number: int = signal.SIGKILL) -> int:
        """Ends a process with a signal, waits for it, and returns its exit code."""
        member = self.members[name]
        process, member.process = member.process, None
        if process is None:
            return 0
        if signal_number == signal.SIGKILL:
            member.ended_lifetimes.append(ProcessLifetime(name, member.started_s, time.monotonic()))
        process.send_signal(signal_number)
        code = await asyncio.to_thread(process.wait, TERMINATION_TIMEOUT_S)
        if signal_number != signal.SIGKILL:
            member.ended_lifetimes.append(
                ProcessLifetime(name, member.started_s, time.monotonic(), is_announced=True)
            )
        member.started_s = math.inf
        return code

    async def begin_fault(self, fault: Fault) -> None:
        """Starts a fault."""
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
                    self._run_in_background(self.upgrade(name))
            case FaultKind.RESET:
                self.proxies.reset_connections(fault.sources, fault.targets)
            case FaultKind.DRAIN | FaultKind.UNDRAIN:
                self._run_in_background(self._send_command(fault, fault.kind.value))
            case FaultKind.CLOCK:
                for table in self._fault_tables(fault):
                    table.step_wall_clock(fault.clock_step_s)
            case FaultKind.FULL | FaultKind.SYNC | FaultKind.CALLS:
                for table in self._fault_tables(fault):
                    table.activate(call_fault(fault))
            case _:
                self.link_faults.faults.append(fault)

    async def end_fault(self, fault: Fault) -> None:
        """Ends a fault."""
        match fault.kind:
            case FaultKind.PAUSE:
                for name in fault.members:
                    self.resume(name)
            case FaultKind.KILL | FaultKind.STOP | FaultKind.WIPE | FaultKind.PUTBACK:
                for name in fault.members:
                    if fault.kind in (FaultKind.WIPE, FaultKind.PUTBACK):
                        self._replace_files(self.members[name], restore_copy=fault.kind is FaultKind.PUTBACK)
                    if self.members[name].process is None:
                        self.start(name)
            case FaultKind.DRAIN:
                self._run_in_background(self._send_command(fault, FaultKind.UNDRAIN.value))
            case FaultKind.RESET | FaultKind.UPGRADE | FaultKind.UNDRAIN | FaultKind.CLOCK:
                pass
            case FaultKind.FULL | FaultKind.SYNC | FaultKind.CALLS:
                for table in self._fault_tables(fault):
                    table.deactivate(call_fault(fault))
            case _:
                self.link_faults.faults.remove(fault)

    def _fault_tables(self, fault: Fault) -> list[FaultTable]:
        return [table for name in fault.members if (table := self.members[name].system_faults)]

    def _run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs work in a task, so that a command waiting for a faulty store does not delay the next fault."""
        task = asyncio.get_running_loop().create_task(work)
        self._command_tasks.add(task)
        task.add_done_callback(self._command_tasks.discard)

    async def wait_for_commands(self) -> None:
        """Waits for the commands that are still running."""
        await asyncio.gather(*self._command_tasks)

    async def _send_command(self, fault: Fault, command: str) -> None:
        """Runs an operator's command over the links of each limiter of the fault, and records its result."""
        for name in fault.members:
            started_s = time.monotonic()
            process = await asyncio.create_subprocess_exec(
                *PROGRAM, command, fault.server, "--config", str(self.members[name].config_file),
                "--within", str(COMMAND_TIMEOUT_S),
                stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE, env=_environment(),
            )  # fmt: skip
            _, text = await process.communicate()
            error = text.decode(errors="replace").strip() if process.returncode else ""
            self.commands.append(
                OperatorCommand(command, fault.server, name, started_s, time.monotonic(), error)
            )

    def save_copies(self) -> None:
        """Copies the present files of each member, which `putback` restores."""
        for member in self.members.values():
            (member.folder / COPY_FOLDER).mkdir(exist_ok=True)
            for path in self._own_files(member):
                copy = member.folder / COPY_FOLDER / path.name
                if path.is_dir():
                    shutil.copytree(path, copy, ignore=_sockets, dirs_exist_ok=True)
                else:
                    shutil.copy2(path, copy)

    def _own_files(self, member: MemberProcess) -> list[Path]:
        """Returns the files that a member wrote for itself, without those that the rehearsal uses."""
        return [path for path in member.folder.iterdir() if path.name not in REHEARSAL_FILES]

    def _replace_files(self, member: MemberProcess, restore_copy: bool) -> None:
        """Removes the files of a limiter that does not run; restores the older copy if `restore_copy`."""
        for path in self._own_files(member):
            if path.is_dir():
                shutil.rmtree(path)
            else:
                path.unlink()
        if restore_copy:
            shutil.copytree(member.folder / COPY_FOLDER, member.folder, dirs_exist_ok=True)

    def exited_members(self) -> list[str]:
        """Returns the members whose process exited by itself."""
        return [
            n for n, member in self.members.items() if member.process and member.process.poll() is not None
        ]

    def read_log(self, name: str) -> str:
        return (self.members[name].folder / "log.txt").read_text()

    async def close(self) -> None:
        """Ends all processes and proxies."""
        for task in self._command_tasks:
            task.cancel()
        for name, member in self.members.items():
            if member.is_paused:
                self.resume(name)
            await self.terminate(name)
        await self.proxies.close()
        shutil.rmtree(self._handover_folder, ignore_errors=True)

    # --- Journals -----------------------------------------------------------------------------------------
    def read_journals(self) -> tuple[list[Observation], dict[str, list[tuple[float, int]]]]:
        """Returns all observations in order of time, and by member the time and incarnation of each start."""
        observations, starts = list[Observation](), dict[str, list[tuple[float, int]]]()
        for name, member in self.members.items():
            path = member.folder / JOURNAL_FILE
            for line in path.read_text().splitlines() if path.exists() else ():
                with contextlib.suppress(ValueError):  # the last line of a killed process may be incomplete
                    row: dict[str, Any] = json.loads(line)
                    if row["what"] == "start":
                        starts.setdefault(name, []).append((row["at_s"], row["incarnation"]))
                    observations.append(
                        Observation(row["at_s"], row["by"], row["name"], row["incarnation"], row["state"])
                    )
        return sorted(observations, key=lambda observation: observation.at_s), starts

    def lifetimes_and_observations(self) -> tuple[list[ProcessLifetime], list[Observation]]:
        """Returns the lifetime of each limiter process, with its first incarnation, and all observations."""
        observations, starts = self.read_journals()
        found = []
        for name, member in self.members.items():
            process_lifetimes = list(member.ended_lifetimes)
            if name in self.replicas:
                continue
            if member.process:
                process_lifetimes.append(ProcessLifetime(name, member.started_s, math.inf))
            for lifetime in process_lifetimes:
                first = min(
                    (inc for at, inc in starts.get(name, ()) if lifetime.started_s <= at < lifetime.ended_s),
                    default=0,
                )
                found.append(replace(lifetime, first_incarnation=first))
        return found, observations

    def views(self) -> dict[str, dict[str, str]]:
        """Returns by running observer and member the last observed state."""
        observations, starts = self.read_journals()
        found: dict[str, dict[str, str]] = {}
        for observation in observations:
            if self.members[observation.observer].process and observation.at_s >= max(
                started_s for started_s, _ in starts[observation.observer]
            ):
                found.setdefault(observation.observer, {})[observation.member] = observation.state
        return found
