"""Links that can be spoilt: a stand-in before each member, through which all others reach it.

It reads the greeting of whoever calls, so it knows both ends, and passes whole frames on: each direction
alone can lose, delay or hold them. Nothing is changed in what passes.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter

from basaltpoint.config.address import parse_address
from basaltpoint.links.frames import LENGTH_PREFIX, decode_greeting
from basaltpoint.rehearsal.faults import ActiveLinkFaults

LOOK_S = 0.02  # between two looks whether a held way is free
LONGEST = 64 << 20  # bytes of a frame; more ends the connection


class LinkProxies:
    """The stand-ins of one rehearsal."""

    def __init__(self, spoilt: ActiveLinkFaults, seed: int = 1) -> None:
        self.spoilt = spoilt
        self._rng = random.Random(seed)
        self.forwarded_frames: Counter[tuple[str, str]] = Counter()  # frames by way
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._open: dict[asyncio.StreamWriter, tuple[str, str]] = {}

    async def add_proxy(self, name: str, address: str, caller: str = "") -> str:
        """Stand before a member that listens there; the address for the others.

        `caller`: who alone is told of it, where its greeting holds no name.
        """

        async def made(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task
            self._tasks.add(task)
            try:
                await self._carry(caller, name, address, reader, writer)
            except (OSError, EOFError, TimeoutError, asyncio.CancelledError):
                writer.transport.abort()  # at the rehearsal's end, too: nobody waits for this task
            finally:
                self._tasks.discard(task)

        server = await asyncio.start_server(made, "127.0.0.1", 0)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _carry(
        self,
        caller: str,
        target: str,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        there, back = await asyncio.open_connection(*parse_address(address))
        try:
            greeting = await _frame(reader)
            said = decode_greeting(greeting)
            source = (said.name if said else "") or caller
            self._open[writer] = self._open[back] = (source, target)
            if not self.spoilt.link_state(source, target).loss_fraction >= 1.0:
                back.write(greeting)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pass(source, target, reader, back))
                group.create_task(self._pass(target, source, there, writer))
        except* (OSError, EOFError):
            pass
        finally:
            for side in (writer, back):
                self._open.pop(side, None)
                side.transport.abort()

    async def _pass(
        self, source: str, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        first = True
        while True:
            try:
                frame = await _frame(reader)
            except (OSError, EOFError):
                # An end is news, too: it passes only where something does.
                while self.spoilt.link_state(source, target).is_blocked:
                    await asyncio.sleep(LOOK_S)
                raise
            way = self.spoilt.link_state(source, target)
            while way.is_stalled:
                await asyncio.sleep(LOOK_S)
                way = self.spoilt.link_state(source, target)
            if delay := way.delay_s + self._rng.uniform(0.0, way.jitter_s):
                await asyncio.sleep(delay)
            greeting, first = first and decode_greeting(frame) is not None, False
            # A lossy way delays what makes a connection, as it is sent again; a cut one lets nothing through.
            if way.loss_fraction >= 1.0 or (not greeting and self._rng.random() < way.loss_fraction):
                continue
            self.forwarded_frames[source, target] += 1
            writer.write(frame)
            await writer.drain()

    def reset_connections(self, sources: tuple[str, ...], targets: tuple[str, ...]) -> None:
        """Reset what is open between them."""
        for writer, (one, other) in list(self._open.items()):
            if (one in sources and other in targets) or (other in sources and one in targets):
                writer.transport.abort()

    async def close(self) -> None:
        for server in self._servers:
            server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)


async def _frame(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readexactly(LENGTH_PREFIX.size)
    (length,) = LENGTH_PREFIX.unpack(head)
    if length > LONGEST:
        raise EOFError
    return head + await reader.readexactly(length)
