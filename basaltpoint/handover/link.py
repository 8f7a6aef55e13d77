"""The local socket between the two processes of an upgrade: documents and client connections pass over it.

A thin shell: what is in a document, and who may do what meanwhile, is decided elsewhere.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

from basaltpoint.system.errors import is_transient

log = logging.getLogger(__name__)

MAX_MESSAGE_BYTES = 48 * 1024  # bytes of a document in one message; the system takes some 200 KB at a time
MAX_DOCUMENT_BYTES = (
    64 << 20
)  # bytes of a document; a million accounts would not pass, and more is no state of ours
DOCUMENT_TIMEOUT_S = 1.0  # for the older process's document; the start goes on without it
RETRY_DELAY_S = 0.01  # where the machine has no room for a message
MAX_PATH_BYTES = 100  # bytes; what the system takes for a local socket's name
DOCUMENT_PART, DOCUMENT_END, CONNECTION, REQUEST_COMPLETED = b"m", b"d", b"c", b"e"


def socket_path(folder: str | None, name: str) -> str | None:
    """Where a limiter of that name can be reached by its next process; None where it can't."""
    if not folder:
        return None
    safe = "".join(c if c.isalnum() or c in "-_." else "_" for c in name)
    path = os.path.join(folder, f"basaltpoint.{safe}.handover")
    if len(os.fsencode(path)) > MAX_PATH_BYTES:
        log.warning("no handover: the path %s is too long for a local socket", path)
        return None
    return path


def connect_to_predecessor(path: str) -> tuple[socket.socket, bytes] | None:
    """Ask the older process what it knows: the connection to it and its document; None where none answers."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        sock.settimeout(DOCUMENT_TIMEOUT_S)
        sock.connect(path)
        parts, size, end = [], 0, time.monotonic() + DOCUMENT_TIMEOUT_S
        while time.monotonic() < end and size <= MAX_DOCUMENT_BYTES:
            message = sock.recv(MAX_MESSAGE_BYTES + 1)
            if message[:1] not in (DOCUMENT_PART, DOCUMENT_END):
                raise OSError("it ended in the middle" if not message else "it speaks another language")
            parts.append(message[1:])
            size += len(message)
            if message[:1] == DOCUMENT_END:
                sock.setblocking(False)
                return sock, b"".join(parts)
        raise OSError("its document did not come whole in time")
    except FileNotFoundError:
        pass  # the first of its name
    except OSError as error:
        log.warning("nothing is taken over from an older process: %s", error)
    sock.close()
    return None


class LinkHandler(Protocol):
    """What a process does with what the other one sends."""

    def document_received(self, document: bytes) -> None:
        """The other one's last document."""

    def connection_received(self, sock: socket.socket) -> None:
        """A client's connection, between two requests."""

    def request_completed(self, name: bytes) -> None:
        """A request that the other one had in hand is answered."""

    def link_closed(self) -> None:
        """The other one has gone."""


class SuccessorHandler:
    """What comes from the process after this one: nothing but its end."""

    def __init__(self, gone: Callable[[], None]) -> None:
        self._gone = gone

    def document_received(self, document: bytes) -> None:
        pass

    def connection_received(self, sock: socket.socket) -> None:
        sock.close()

    def request_completed(self, name: bytes) -> None:
        pass

    def link_closed(self) -> None:
        self._gone()


class HandoverLink:
    """One end of the connection between two processes."""

    def __init__(self, sock: socket.socket, side: LinkHandler) -> None:
        self._sock = sock
        self._side = side
        self._parts: list[bytes] = []
        self._queue: deque[bytes] = deque()
        self.is_open = True
        asyncio.get_running_loop().add_reader(sock, self._read)

    def send_document(self, text: bytes) -> None:
        pieces = [text[at : at + MAX_MESSAGE_BYTES] for at in range(0, len(text), MAX_MESSAGE_BYTES)] or [b""]
        self._queue += [DOCUMENT_PART + piece for piece in pieces[:-1]]
        self._queue.append(DOCUMENT_END + pieces[-1])
        self._flush()

    def send_request_completed(self, name: bytes) -> None:
        self._queue.append(REQUEST_COMPLETED + name[:MAX_MESSAGE_BYTES])
        self._flush()

    def send_connection(self, descriptor: int) -> bool:
        """Pass a connection on; False where that is not possible now."""
        if not self.is_open or self._queue:
            return False
        try:
            socket.send_fds(self._sock, [CONNECTION], [descriptor])
        except OSError:
            return False
        return True

    @property
    def is_flushed(self) -> bool:
        return not self._queue or not self.is_open

    def _flush(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while self._queue and self.is_open:
                self._sock.send(self._queue[0])
                self._queue.popleft()
        except BlockingIOError:
            loop.add_writer(self._sock, self._flush)
            return
        except OSError as error:
            if is_transient(error):
                loop.call_later(RETRY_DELAY_S, self._flush)
            else:
                self.close()
            return
        if self.is_open:
            loop.remove_writer(self._sock)

    def _read(self) -> None:
        while self.is_open:
            try:
                message, descriptors, flags, _ = socket.recv_fds(self._sock, MAX_MESSAGE_BYTES + 1, 4)
            except OSError as error:
                if not is_transient(error):
                    self.close()  # the other one has gone
                elif not isinstance(error, BlockingIOError):
                    self._rest()
                return
            if flags & socket.MSG_CTRUNC:
                log.error("a connection passed by the other process is lost: no descriptor was left for it")
            if not message:
                self.close()
                return
            socks = [socket.socket(fileno=number) for number in descriptors]
            kind, text = message[:1], message[1:]
            if kind == CONNECTION:
                while socks:
                    self._side.connection_received(socks.pop())
            elif kind in (DOCUMENT_PART, DOCUMENT_END):
                self._parts.append(text)
                if kind == DOCUMENT_END:
                    whole, self._parts = b"".join(self._parts), []
                    self._side.document_received(whole)
            elif kind == REQUEST_COMPLETED:
                self._side.request_completed(text)
            for sock in socks:  # with a message that carries none
                sock.close()

    def _rest(self) -> None:
        """Read on a little later: the machine has no room now, and the other process lives."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._sock)
        loop.call_later(RETRY_DELAY_S, self._read_on)

    def _read_on(self) -> None:
        if self.is_open:
            asyncio.get_running_loop().add_reader(self._sock, self._read)

    def close(self) -> None:
        if self.is_open:
            self.is_open = False
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._sock)
            loop.remove_writer(self._sock)
            self._sock.close()
            self._side.link_closed()


class SuccessorListener:
    """Where the next process knocks."""

    def __init__(self, path: str, on_successor: Callable[[socket.socket], None]) -> None:
        """The name is taken over from an older process; OSError where that can't be."""
        self._path = path
        self._on_heir = on_successor
        self._listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            own = f"{path}.{os.getpid()}"
            with contextlib.suppress(FileNotFoundError):
                os.unlink(own)
            self._listener.bind(own)
            self._listener.listen(4)
            os.rename(own, path)
        except OSError:
            self._listener.close()
            raise
        self._listener.setblocking(False)
        asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        sock.setblocking(False)
        self._on_heir(sock)

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self._listener)
        self._listener.close()  # the name stays: it may be the next one's by now
