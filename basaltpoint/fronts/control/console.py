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

CALLERS = 12  # open at a time, each a descriptor; with one more the caller that is silent for longest goes
LINE_LIMIT = 256  # bytes; the longest call has 10
SILENT_S = 5.0  # for a line to come whole; no caller needs more, and each holds a descriptor
ANSWERING_S = 2.0  # for the caller to read its answer

Answer = Callable[[], Iterable[str]]


class _Caller(asyncio.Protocol):
    """One connection of an operator."""

    def __init__(self, console: Console) -> None:
        self._console = console
        self._line = b""
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's own is no subclass of it
        self._timer = asyncio.get_running_loop().call_later(SILENT_S, self.cut)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer:
            self._timer.cancel()
        self._console.gone(self)

    def data_received(self, data: bytes) -> None:
        if self._answered:
            return
        self._line += data[: LINE_LIMIT + 1]
        line, newline, _ = self._line.partition(b"\n")
        if newline or len(self._line) > LINE_LIMIT:
            self._answer(line)

    def eof_received(self) -> bool:
        if not self._answered and self._line:
            self._answer(self._line)  # whole all the same: nothing can follow
        return self._answered  # what is written still goes out

    def _answer(self, line: bytes) -> None:
        assert self._transport and self._timer
        self._answered = True
        self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(ANSWERING_S, self.cut)
        self._transport.write(self._console.answer(line).encode())
        self._transport.close()

    def cut(self) -> None:
        if self._transport:
            self._transport.abort()


class Console:
    """Listens at the second address. Who says nothing, half a line or too much costs a bounded number of
    descriptors, and is cut first."""

    def __init__(self, listening: socket.socket, calls: Mapping[str, Answer]) -> None:
        """`calls`: what is answered to each call, line by line."""
        self._calls = calls
        self._callers: dict[_Caller, None] = {}  # the one that came first, first
        self._joining = PendingConnections()
        self._listener = listening

    @property
    def address(self) -> Address:
        host, port, *_ = self._listener.getsockname()
        return host, port

    def listen(self) -> None:
        asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def answer(self, line: bytes) -> str:
        """The answer to one call, with its line ends."""
        name = line.strip().decode("latin-1")
        if (call := self._calls.get(name)) is None:
            return f"fail no such call {name[:40]!r}; there are: {', '.join(self._calls)}\n"
        try:
            return "".join(f"{each}\n" for each in call())
        except Exception:
            log.exception("the call %s failed", name)
            return "fail the call broke down; the log tells where\n"

    def _accept(self) -> None:
        for _ in range(CALLERS):  # a few at a time: what is in hand elsewhere gets its turn
            try:
                sock, _ = self._listener.accept()
            except OSError as error:
                trouble = accept_error_origin(error)
                if trouble is ErrorOrigin.CONNECTION:
                    continue
                if trouble is not ErrorOrigin.WOULD_BLOCK:
                    log.warning("no descriptor for an operator's call: %s: %s", trouble.value, error)
                if trouble is ErrorOrigin.PROCESS:
                    self._cut_first()
                return
            if len(self._callers) >= CALLERS:
                self._cut_first()
            caller = _Caller(self)
            self._callers[caller] = None
            self._joining.attach(sock, caller, partial(self.gone, caller))

    def _cut_first(self) -> None:
        if first := next(iter(self._callers), None):
            self.gone(first)
            first.cut()

    def gone(self, caller: _Caller) -> None:
        self._callers.pop(caller, None)

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self._listener)
        self._listener.close()
        for caller in list(self._callers):
            caller.cut()
