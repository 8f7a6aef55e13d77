"""A stand-in for discovery: one list of servers, and an agent for each limiter that tells it, with faults.

Speaks the protocol page's watch (`GET /discovery/hosts?follow=1&since=N`): a chunked answer of one JSON
object a line, an empty line every 2 s. `Agent.told` notes when an agent had a version: from then on it counts
as told to its limiter, whether or not a watch was open.
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

HEARTBEAT_S = 2.0  # an empty line while nothing changes, as the protocol page says
SINCE_PATTERN = re.compile(rb"since=(\d+)")
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


@dataclass(frozen=True, slots=True)
class ListChange:
    """One entry of the list as of a version; `at_s`: when discovery had it, monotonic seconds."""

    version: int
    changed_s: float
    entry: dict[str, Any]


class Registry:
    """What discovery knows: the entries in protocol form, and every change of them."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        """`entries`: the list as version 1."""
        self._initial_entries = {entry["host"]: entry for entry in entries}
        self.entries = dict(self._initial_entries)
        self.version = 1
        self.changes: list[ListChange] = []
        self._agents: list[Agent] = []

    def apply_change(self, *entries: dict[str, Any]) -> int:
        """Take up new forms of entries as one version; agents learn it after their delays."""
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
        """The whole list as it was at a version, in the form of a limiter's configuration (`known`)."""
        entries = dict(self._initial_entries)
        for change in self.changes:
            if change.version <= version:
                _apply(entries, change.entry)
        return {"seq": version, "whole": True, "hosts": list(entries.values())}

    def changed_between(self, version: int, until: int) -> list[dict[str, Any]]:
        """The latest form of each entry that changed after one version, up to another."""
        latest = {c.entry["host"]: c.entry for c in self.changes if version < c.version <= until}
        return list(latest.values())


def _apply(entries: dict[str, Any], entry: dict[str, Any]) -> None:
    if entry["health"] == "left":
        entries.pop(entry["host"], None)
    else:
        entries[entry["host"]] = entry


@dataclass(slots=True, eq=False)
class _Watch:
    """One open watch; a mute one looks open and says nothing any more."""

    writer: asyncio.StreamWriter
    version: int
    response_started: bool = False
    silenced: bool = False


@dataclass(slots=True)
class AgentFaults:
    """What is wrong with an agent now; each field holds for what happens from its setting on."""

    response_delay_s: tuple[float, float] = (0.0, 0.0)  # how long a call waits for its answer
    status: int = 200  # another one turns calls away
    down: bool = False  # it is silent and learns nothing
    truncate_next_list: bool = False  # the next list stops half way
    chunk_bytes: int = 0  # bytes of a list written at a time, 20 ms apart; 0: whole


@dataclass(eq=False)
class Agent:
    """The agent on one limiter's machine."""

    registry: Registry
    rng: random.Random
    notification_delay_s: tuple[float, float] = (
        0.0,
        0.0,
    )  # from a change at discovery to the agent's having it
    faults: AgentFaults = field(default_factory=AgentFaults)
    versions: list[tuple[float, int]] = field(default_factory=list)  # when it had a version
    request_count: int = 0
    list_bytes_written: int = 0  # bytes of lists

    def __post_init__(self) -> None:
        self.version = self.registry.version
        self.versions.append((monotonic(), self.version))
        self._watches: list[_Watch] = []
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = ("127.0.0.1", 0)
        self.registry.add_agent(self)

    async def start(self) -> None:
        """Listen, at the same address as before if it was stopped."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Refuse connections from here on, and reset those that are open."""
        if self._server:
            self._server.close()
            self._server = None
        self.reset_watches()

    async def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await self.stop()

    # --- What happens to it --------------------------------------------------------------------------
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
        """Discovery can be reached again: what happened meanwhile is had at once."""
        self.faults.down = False
        self._set_version(self.registry.version)

    def reset_watches(self) -> None:
        for watch in list(self._watches):
            watch.writer.transport.abort()

    def silence_watches(self) -> None:
        """The watches that are open fall silent, and stay open."""
        for watch in self._watches:
            watch.silenced = True

    # --- Calls ---------------------------------------------------------------------------------------
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
        """Write what a watch has not had; the first answer is written also where nothing has changed."""
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
