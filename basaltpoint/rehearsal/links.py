"""Network proxies that inject faults on links: one in front of each member, used by all others.

A proxy reads the greeting of each connection, so it knows both ends, and forwards whole frames. It can lose,
delay or stall them in each direction separately. It does not change the content of the frames.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter

from basaltpoint.config.address import parse_address
from basaltpoint.links.frames import LENGTH_PREFIX, decode_greeting
from basaltpoint.rehearsal.faults import ActiveLinkFaults

POLL_INTERVAL_S = 0.02  # between checks whether a stalled link is free
MAX_FRAME_BYTES = 64 << 20  # a longer frame closes the connection


class LinkProxies:
    """The proxies of one rehearsal."""

    def __init__(self, link_faults: ActiveLinkFaults, seed: int = 1) -> None:
        self.link_faults = link_faults
        self._rng = random.Random(seed)
        self.forwarded_frames: Counter[tuple[str, str]] = Counter()  # by source and target
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._open_links: dict[asyncio.StreamWriter, tuple[str, str]] = {}

    async def add_proxy(self, name: str, address: str, caller: str = "") -> str:
        """Starts a proxy in front of the member `name`, which listens at `address`; returns its address.

        `caller` names the only user of this proxy, for greetings that hold no name.
        """

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task
            self._tasks.add(task)
            try:
                await self._forward_connection(caller, name, address, reader, writer)
            except (OSError, EOFError, TimeoutError, asyncio.CancelledError):
                writer.transport.abort()  # also at the end of the rehearsal, as nothing awaits this task
            finally:
                self._tasks.discard(task)

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _forward_connection(
        self,
        caller: str,
        target: str,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(*parse_address(address))
        try:
            greeting = await _read_frame(reader)
            decoded = decode_greeting(greeting)
            source = (decoded.name if decoded else "") or caller
            self._open_links[writer] = self._open_links[target_writer] = (source, target)
            if not self.link_faults.link_state(source, target).loss_fraction >= 1.0:
                _write(target_writer, greeting)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward_frames(source, target, reader, target_writer))
                group.create_task(self._forward_frames(target, source, target_reader, writer))
        except* (OSError, EOFError):
            pass
        finally:
            for side in (writer, target_writer):
                self._open_links.pop(side, None)
                side.transport.abort()

    async def _forward_frames(
        self, source: str, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        first = True
        while True:
            try:
                frame = await _read_frame(reader)
            except (OSError, EOFError):
                # The end of a connection is information, too: it passes only if the link lets frames pass.
                while self.link_faults.link_state(source, target).is_blocked:
                    await asyncio.sleep(POLL_INTERVAL_S)
                raise
            state = self.link_faults.link_state(source, target)
            while state.is_stalled:
                await asyncio.sleep(POLL_INTERVAL_S)
                state = self.link_faults.link_state(source, target)
            if delay := state.delay_s + self._rng.uniform(0.0, state.jitter_s):
                await asyncio.sleep(delay)
            greeting, first = first and decode_greeting(frame) is not None, False
            # Loss does not drop greetings, as TCP would send them again; a cut link drops everything.
            if state.loss_fraction >= 1.0 or (not greeting and self._rng.random() < state.loss_fraction):
                continue
            self.forwarded_frames[source, target] += 1
            _write(writer, frame)
            await writer.drain()

    def reset_connections(self, sources: tuple[str, ...], targets: tuple[str, ...]) -> None:
        """Resets all open connections between `sources` and `targets`."""
        for writer, (one, other) in list(self._open_links.items()):
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


def _write(writer: asyncio.StreamWriter, frame: bytes) -> None:
    """Writes a frame; raises ConnectionResetError if the connection was closed while the frame waited."""
    if writer.transport.is_closing():
        raise ConnectionResetError
    writer.write(frame)


async def _read_frame(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readexactly(LENGTH_PREFIX.size)
    (length,) = LENGTH_PREFIX.unpack(head)
    if length > MAX_FRAME_BYTES:
        raise EOFError
    return head + await reader.readexactly(length)
