"""The limiters as processes: started, signalled, killed, their lives and logs written down."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import sys
from pathlib import Path
from time import monotonic
from typing import Any

from basaltpoint.rehearsal.soak.records import ProcessRecord, SoakRecord
from basaltpoint.rehearsal.system_faults.library import preload_environment as preloaded
from basaltpoint.rehearsal.system_faults.table import FaultTable

LOG_FINDING_PATTERN = re.compile(r"Traceback|violation:|still in hand|had no answer at its deadline|ERROR")


def unique_loopback_address(number: int) -> str:
    """An address of the loopback that is this run's and one participant's alone, also while it is down.

    On 127.0.0.1 the port of one that is down could be drawn by whoever asks for any.
    """
    low = os.getpid() % (256 * 254)
    host = f"127.{number % 250 + 1}.{low // 254}.{low % 254 + 1}"
    with socket.create_server((host, 0)) as listener:
        return "{}:{}".format(*listener.getsockname()[:2])


class Limiter:
    """One limiter under its name and address, over all its lives."""

    def __init__(
        self,
        number: int,
        folder: Path,
        settings: dict[str, Any],
        record: SoakRecord,
        trace: bool,
        library: Path | None = None,
    ) -> None:
        """`library`: preloaded, so that its system calls fail by `system`."""
        self.name = name = f"n{number}"
        self.address = unique_loopback_address(number)
        self.has_active_fault = False  # a fault has it in hand
        self.log_path = folder / f"{name}.log"
        self._file = folder / f"{name}.json"
        self._settings = settings
        self._record = record
        self._trace = trace
        self._library = library
        self.fault_table = FaultTable(folder / f"{name}.faults") if library else None
        self._process: asyncio.subprocess.Process | None = None
        self._life: ProcessRecord | None = None
        self._watcher: asyncio.Task[None] | None = None

    def configure(self, discovery: tuple[str, int], known: dict[str, Any]) -> None:
        """Write its configuration; it counts at the next start or SIGHUP."""
        raw = {
            "name": self.name,
            "listen": self.address,
            "discovery": "{}:{}".format(*discovery),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": known,
            "settings": self._settings,
        }
        self._file.write_text(json.dumps(raw))

    async def start(self) -> None:
        environment = {**os.environ, "GW_CONFIG": str(self._file)}
        if self._trace:
            environment["GW_TRACE"] = "1"
        if self._library and self.fault_table:
            environment |= preloaded(self._library, self.fault_table)
        life = ProcessRecord(self.name, monotonic())
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "basaltpoint", env=environment, stdout=log, stderr=log
            )
        self._life = life
        self._record.processes.append(life)
        self._watcher = asyncio.create_task(self._watch(self._process, life))

    async def _watch(self, process: asyncio.subprocess.Process, life: ProcessRecord) -> None:
        life.exit_code = await process.wait()
        life.ended_at = monotonic()

    @property
    def pid(self) -> int:
        """Of the process that runs."""
        assert self._process is not None
        return self._process.pid

    def signal(self, number: signal.Signals) -> None:
        if self._process and self._life and self._life.ended_at is None:
            if number is signal.SIGKILL:
                self._life.sigkill_at = monotonic()
            elif number is signal.SIGTERM:
                self._life.sigterm_at = monotonic()
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def wait_for_exit(self, within_s: float) -> bool:
        """Whether its process ends within so long."""
        if self._watcher is None:
            return True
        done, _ = await asyncio.wait([self._watcher], timeout=within_s)
        return bool(done)

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        await self.wait_for_exit(10.0)

    async def wait_until_ready(self) -> None:
        """Wait until it says that it takes clients."""
        host, port = self.address.split(":")
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                writer.close()
                if b" 200 " in head:
                    return
            await asyncio.sleep(0.05)

    def scan_log(self) -> None:
        """Take down what must never be logged."""
        if not self.log_path.exists():
            return
        for line in self.log_path.read_text(errors="replace").splitlines():
            if LOG_FINDING_PATTERN.search(line):
                self._record.log_findings.append(f"{self.name}: {line[:300]}")
