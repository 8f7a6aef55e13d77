"""The control address: operators' commands, one line per connection, served under any load."""

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

MAX_CONNECTIONS = 12  # each takes a descriptor; a further connection closes the oldest
MAX_LINE_BYTES = 256  # the longest command has 10
READ_TIMEOUT_S = 5.0  # for a complete line; each connection holds a descriptor
WRITE_TIMEOUT_S = 2.0  # for the operator to read the response

CommandHandler = Callable[[], Iterable[str]]


class _Connection(asyncio.Protocol):
    """An operator's connection."""

    def __init__(self, console: Console) -> None:
        self._console = console
        self._line = b""
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._has_responded = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
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
            self._respond(self._line)  # complete without a line end: nothing can follow
        return self._has_responded  # keeps the transport open while the response is written

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
    """Serves the control address.

    Connections that send nothing, an incomplete line or too much data take a bounded number of descriptors.
    """

    def __init__(self, listener: socket.socket, commands: Mapping[str, CommandHandler]) -> None:
        """`commands`: handlers by command; each returns the lines of the response."""
        self._commands = commands
        self._connections: dict[_Connection, None] = {}  # oldest first
        self._pending = PendingConnections()
        self._listener = listener

    @property
    def address(self) -> Address:
        host, port, *_ = self._listener.getsockname()
        return host, port

    def listen(self) -> None:
        asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def run_command(self, line: bytes) -> str:
        """Runs one command and returns its response with line ends."""
        name = line.strip().decode("latin-1")
        if (command := self._commands.get(name)) is None:
            return f"fail no such call {name[:40]!r}; there are: {', '.join(self._commands)}\n"
        try:
            return "".join(f"{row}\n" for row in command())
        except Exception:
            log.exception("the command %s failed", name)
            return "fail the call broke down; the log tells where\n"

    def _accept(self) -> None:
        for _ in range(MAX_CONNECTIONS):  # bounded, so that other work of the loop is not delayed
            try:
                sock, _ = self._listener.accept()
            except OSError as error:
                origin = accept_error_origin(error)
                if origin is ErrorOrigin.CONNECTION:
                    continue
                if origin is not ErrorOrigin.WOULD_BLOCK:
                    log.warning("no descriptor for an operator's connection: %s: %s", origin.value, error)
                if origin is ErrorOrigin.PROCESS:
                    self._close_oldest()
                return
            if len(self._connections) >= MAX_CONNECTIONS:
                self._close_oldest()
            connection = _Connection(self)
            self._connections[connection] = None
            self._pending.attach(sock, connection, partial(self.connection_closed, connection))

    def _close_oldest(self) -> None:
        if oldest := next(iter(self._connections), None):
            self.connection_closed(oldest)
            oldest.abort()

    def connection_closed(self, connection: _Connection) -> None:
        self._connections.pop(connection, None)

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self._listener)
        self._listener.close()
        for connection in list(self._connections):
            connection.abort()
