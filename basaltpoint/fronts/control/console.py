"""The second address: operators' calls, one line to a connection, answered whatever the load."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import cast

from basaltpoint.config.address import Address
from basaltpoint.system.errors import ErrorOrigin, accept_error_origin
from basaltpoint.system.pending_connections import PendingConnections

log = logging.getLogger(__name__)

MAX_CONNECTIONS = (
    12  # open at a time, each a descriptor; with one more the caller that is silent for longest goes
)
MAX_LINE_BYTES = 256  # bytes; the longest call has 10
READ_TIMEOUT_S = 5.0  # for a line to come whole; no caller needs more, and each holds a descriptor
WRITE_TIMEOUT_S = 2.0  # for the caller to read its answer

CommandHandler = Callable[[], Iterable[str]]


class _Connection(asyncio.Protocol):
    """One connection of an operator."""

    def __init__(self, console: Console) -> None:
        self._console = console
        self._line = b""
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._has_responded = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's own is no subclass of it
        self._timer = asyncio.get_running_loop().call_later(READ_TIMEOUT_S, self.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer:
            self._timer.cancel()
        self._console.connection_closed(self)

    def data_received(self, data: bytes) -> None:
        if self._has_responded:
            return
        self._line += data[: MAX_LINE_BYTES + 1]
        line, newline, _ = self._line.partition(b"\n")
        if newline or len(self._line) > MAX_LINE_BYTES:
            self._respond(line)

    def eof_received(self) -> bool:
        if not self._has_responded and self._line:
            self._respond(self._line)  # whole all the same: nothing can follow
        return self._has_responded  # what is written still goes out

    def _respond(self, line: bytes) -> None:
        assert self._transport and self._timer
        self._has_responded = True
        self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(WRITE_TIMEOUT_S, self.abort)
        self._transport.write(self._console.run_command(line).encode())
        self._transport.close()

    def abort(self) -> None:
        if self._transport:
            self._transport.abort()


class Console:
    """Listens at the second address. Who says nothing, half a line or too much costs a bounded number of
    descriptors, and is cut first."""

    def __init__(self, listener: socket.socket, commands: Mapping[str, CommandHandler]) -> None:
        """`calls`: what is answered to each call, line by line."""
        self._commands = commands
        self._connections: dict[_Connection, None] = {}  # the one that came first, first
        self._pending = PendingConnections()
        self._listener = listener

    @property
    def address(self) -> Address:
        host, port, *_ = self._listener.getsockname()
        return host, port

    def listen(self) -> None:
        asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def run_command(self, line: bytes) -> str:
        """The answer to one call, with its line ends."""
        name = line.strip().decode("latin-1")
        if (call := self._commands.get(name)) is None:
            return f"fail no such call {name[:40]!r}; there are: {', '.join(self._commands)}\n"
        try:
            return "".join(f"{each}\n" for each in call())
        except Exception:
            log.exception("the call %s failed", name)
            return "fail the call broke down; the log tells where\n"

    def _accept(self) -> None:
        for _ in range(MAX_CONNECTIONS):  # a few at a time: what is in hand elsewhere gets its turn
            try:
                sock, _ = self._listener.accept()
            except OSError as error:
                trouble = accept_error_origin(error)
                if trouble is ErrorOrigin.CONNECTION:
                    continue
                if trouble is not ErrorOrigin.WOULD_BLOCK:
                    log.warning("no descriptor for an operator's call: %s: %s", trouble.value, error)
                if trouble is ErrorOrigin.PROCESS:
                    self._close_oldest()
                return
            if len(self._connections) >= MAX_CONNECTIONS:
                self._close_oldest()
            caller = _Connection(self)
            self._connections[caller] = None
            self._pending.attach(sock, caller, partial(self.connection_closed, caller))

    def _close_oldest(self) -> None:
        if first := next(iter(self._connections), None):
            self.connection_closed(first)
            first.abort()

    def connection_closed(self, caller: _Connection) -> None:
        self._connections.pop(caller, None)

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self._listener)
        self._listener.close()
        for caller in list(self._connections):
            caller.abort()
