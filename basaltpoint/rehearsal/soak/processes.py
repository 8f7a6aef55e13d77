"""Limiter processes of a soak test: starts, signals and kills them, and records their exits and logs."""

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
from basaltpoint.rehearsal.system_faults.library import preload_environment
from basaltpoint.rehearsal.system_faults.table import FaultTable

LOG_FINDING_PATTERN = re.compile(r"Traceback|violation:|still in hand|had no answer at its deadline|ERROR")


def unique_loopback_address(number: int) -> str:
    """Returns a loopback address with a free port that only participant `number` of this process uses.

    On 127.0.0.1 another process that binds to port 0 could receive the port of a participant that is down.
    """
    process_part = os.getpid() % (256 * 254)
    host = f"127.{number % 250 + 1}.{process_part // 254}.{process_part % 254 + 1}"
    with socket.create_server((host, 0)) as listener:
        return "{}:{}".format(*listener.getsockname()[:2])


class Limiter:
    """One limiter with a fixed name and address, over all its processes."""

    def __init__(
        self,
        number: int,
        folder: Path,
        settings: dict[str, Any],
        record: SoakRecord,
        trace: bool,
        library: Path | None = None,
    ) -> None:
        """`library` is preloaded if given: its system calls then fail according to `fault_table`."""
        self.name = name = f"n{number}"
        self.address = unique_loopback_address(number)
        self.has_active_fault = False  # excludes it from further faults of processes
        self.log_path = folder / f"{name}.log"
        self._configuration_path = folder / f"{name}.json"
        self._settings = settings
        self._record = record
        self._trace = trace
        self._library = library
        self.fault_table = FaultTable(folder / f"{name}.faults") if library else None
        self._process: asyncio.subprocess.Process | None = None
        self._process_record: ProcessRecord | None = None
        self._exit_watcher: asyncio.Task[None] | None = None

    def configure(self, discovery: tuple[str, int], known_list: dict[str, Any]) -> None:
        """Writes the configuration, which takes effect at the next start or SIGHUP."""
        configuration = {
            "name": self.name,
            "listen": self.address,
            "discovery": "{}:{}".format(*discovery),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": known_list,
            "settings": self._settings,
        }
        self._configuration_path.write_text(json.dumps(configuration))

    async def start(self) -> None:
        environment = {**os.environ, "GW_CONFIG": str(self._configuration_path)}
        if self._trace:
            environment["GW_TRACE"] = "1"
        if self._library and self.fault_table:
            environment |= preload_environment(self._library, self.fault_table)
        process_record = ProcessRecord(self.name, monotonic())
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "basaltpoint", env=environment, stdout=log, stderr=log
            )
        self._process_record = process_record
        self._record.processes.append(process_record)
        self._exit_watcher = asyncio.create_task(self._record_exit(self._process, process_record))

    async def _record_exit(self, process: asyncio.subprocess.Process, process_record: ProcessRecord) -> None:
        process_record.exit_code = await process.wait()
        process_record.ended_at = monotonic()

    @property
    def pid(self) -> int:
        """The process identifier of the current process."""
        assert self._process is not None
        return self._process.pid

    def signal(self, number: signal.Signals) -> None:
        if self._process and self._process_record and self._process_record.ended_at is None:
            if number is signal.SIGKILL:
                self._process_record.sigkill_at = monotonic()
            elif number is signal.SIGTERM and self._process_record.sigterm_at is None:
                self._process_record.sigterm_at = monotonic()  # later ones don't begin a drain anew
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def wait_for_exit(self, timeout_s: float) -> bool:
        """Waits for the end of the process; returns whether it ended in time."""
        if self._exit_watcher is None:
            return True
        done, _ = await asyncio.wait([self._exit_watcher], timeout=timeout_s)
        return bool(done)

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        await self.wait_for_exit(10.0)

    async def wait_until_ready(self) -> None:
        """Waits until GET /up returns 200: the limiter accepts clients."""
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
        """Records each line of the log that reports an error."""
        if not self.log_path.exists():
            return
        for line in self.log_path.read_text(errors="replace").splitlines():
            if LOG_FINDING_PATTERN.search(line):
                self._record.log_findings.append(f"{self.name}: {line[:300]}")
