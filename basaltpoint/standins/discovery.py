"""Stand-in for discovery: a server list and an agent for each limiter, with fault injection.

Implements the watch of the protocol page (`GET /discovery/hosts?follow=1&since=N`): a chunked response with
one JSON object per line, and an empty line every 2 s. `Agent.versions` records when an agent had each
version: from then on the version counts as announced to its limiter, whether or not a watch was open.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import re
from dataclasses import dataclass, field
from time import monotonic
from typing import Any

HEARTBEAT_S = 2.0  # interval of empty lines while nothing changes, as in the protocol page
SINCE_PATTERN = re.compile(rb"since=(\d+)")
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


@dataclass(frozen=True, slots=True)
class ListChange:
    """One entry of the list as of a version; it changed at `changed_s` (monotonic seconds)."""

    version: int
    changed_s: float
    entry: dict[str, Any]


class Registry:
    """The list of servers at discovery: the entries in protocol form, and all changes."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        """`entries`: version 1 of the list."""
        self._initial_entries = {entry["host"]: entry for entry in entries}
        self.entries = dict(self._initial_entries)
        self.version = 1
        self.changes: list[ListChange] = []
        self._agents: list[Agent] = []

    def apply_change(self, *entries: dict[str, Any]) -> int:
        """Applies changed entries as one new version; agents receive it after their delays."""
        self.version += 1
        for entry in entries:
            _apply(self.entries, entry)
            self.changes.append(ListChange(self.version, monotonic(), entry))
        for agent in self._agents:
            agent.notify(self.version)
        return self.version

    def add_agent(self, agent: Agent) -> None:
        self._agents.append(agent)

    def list_at(self, version: int) -> dict[str, Any]:
        """Returns the whole list as of a version, in the form of a limiter's configuration (`known`)."""
        entries = dict(self._initial_entries)
        for change in self.changes:
            if change.version <= version:
                _apply(entries, change.entry)
        return {"seq": version, "whole": True, "hosts": list(entries.values())}

    def changed_between(self, version: int, until: int) -> list[dict[str, Any]]:
        """Returns the latest form of each entry that changed after one version, up to another."""
        latest = {c.entry["host"]: c.entry for c in self.changes if version < c.version <= until}
        return list(latest.values())


def _apply(entries: dict[str, Any], entry: dict[str, Any]) -> None:
    if entry["health"] == "left":
        entries.pop(entry["host"], None)
    else:
        entries[entry["host"]] = entry


@dataclass(slots=True, eq=False)
class _Watch:
    """One open watch; a silenced one stays open but sends nothing more."""

    writer: asyncio.StreamWriter
    version: int
    response_started: bool = False
    silenced: bool = False


@dataclass(slots=True)
class AgentFaults:
    """Faults of an agent; a change of a field affects only later events."""

    response_delay_s: tuple[float, float] = (0.0, 0.0)  # range of the delay before a response starts
    status: int = 200  # any other status rejects requests
    down: bool = False  # it sends nothing and receives no changes
    truncate_next_list: bool = False  # the next list is cut off in the middle
    chunk_bytes: int = 0  # lists are written in chunks of this size, 20 ms apart; 0: whole


@dataclass(eq=False)
class Agent:
    """The discovery agent on the host of one limiter."""

    registry: Registry
    rng: random.Random
    # Range of the delay from a change at discovery to the agent.
    notification_delay_s: tuple[float, float] = (0.0, 0.0)
    faults: AgentFaults = field(default_factory=AgentFaults)
    versions: list[tuple[float, int]] = field(default_factory=list)  # time and version of each list received
    request_count: int = 0
    list_bytes_written: int = 0  # of all lists

    def __post_init__(self) -> None:
        self.version = self.registry.version
        self.versions.append((monotonic(), self.version))
        self._watches: list[_Watch] = []
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = ("127.0.0.1", 0)
        self.registry.add_agent(self)

    async def start(self) -> None:
        """Starts to listen; after a stop, at the same address as before."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Stops listening and resets the open connections."""
        if self._server:
            self._server.close()
            self._server = None
        self.reset_watches()

    async def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await self.stop()

    # --- Events --------------------------------------------------------------------------
    def notify(self, version: int) -> None:
        self._start_task(self._receive_after_delay(version, self.rng.uniform(*self.notification_delay_s)))

    async def _receive_after_delay(self, version: int, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        if not self.faults.down:
            self._set_version(version)

    def _set_version(self, version: int) -> None:
        if version > self.version:
            self.version = version
            self.versions.append((monotonic(), version))
            for watch in list(self._watches):
                if watch.response_started:
                    self._start_task(self._send_list(watch))

    def restore_discovery(self) -> None:
        """Discovery is reachable again: the agent receives all missed changes at once."""
        self.faults.down = False
        self._set_version(self.registry.version)

    def reset_watches(self) -> None:
        for watch in list(self._watches):
            watch.writer.transport.abort()

    def silence_watches(self) -> None:
        """Silences the open watches; they stay open."""
        for watch in self._watches:
            watch.silenced = True

    # --- Requests ---------------------------------------------------------------------------------------
    def _start_task(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.request_count += 1
            if self.faults.status != 200:
                writer.write(b"HTTP/1.1 %d Busy\r\nContent-Length: 0\r\n\r\n" % self.faults.status)
                await reader.read()
                return
            found = SINCE_PATTERN.search(head)
            watch = _Watch(writer, int(found[1]) if found else 0)
            self._watches.append(watch)
            response_task = asyncio.create_task(self._respond(watch))
            try:
                await reader.read()
            finally:
                response_task.cancel()
                self._watches.remove(watch)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.transport.abort()

    async def _respond(self, watch: _Watch) -> None:
        await asyncio.sleep(self.rng.uniform(*self.faults.response_delay_s))
        while self.faults.down:
            await asyncio.sleep(0.01)
        watch.writer.write(RESPONSE_HEAD)
        watch.response_started = True
        with contextlib.suppress(ConnectionError):
            await self._send_list(watch, is_first=True)
            while True:
                await asyncio.sleep(HEARTBEAT_S)
                if not watch.silenced and not self.faults.down:
                    watch.writer.write(b"1\r\n\n\r\n")

    async def _send_list(self, watch: _Watch, is_first: bool = False) -> None:
        """Sends the changes that a watch has not received; the first list is sent even if empty."""
        version = self.version
        if watch.silenced or (version <= watch.version and not is_first):
            return
        if is_first and (watch.version == 0 or watch.version > version):
            document = self.registry.list_at(version)
        else:
            changed = self.registry.changed_between(watch.version, version)
            document = {"seq": version, "whole": False, "hosts": changed}
        watch.version = version
        raw = json.dumps(document).encode() + b"\n"
        self.list_bytes_written += len(raw)
        if self.faults.truncate_next_list:
            self.faults.truncate_next_list = False
            raw = raw[: len(raw) // 2]
        size = self.faults.chunk_bytes or len(raw)
        for start in range(0, len(raw), size):
            piece = raw[start : start + size]
            watch.writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            if start + size < len(raw):
                await asyncio.sleep(0.02)
