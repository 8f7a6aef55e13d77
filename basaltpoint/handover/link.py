"""The local socket between the two processes of an upgrade, which carries documents and client connections.

This module does I/O only. Its callers decide what a document contains and in which order a handover runs.
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

MAX_MESSAGE_BYTES = 48 * 1024  # part of a document in one message; the kernel buffers about 200 KB per socket
MAX_DOCUMENT_BYTES = 64 << 20  # the state of a million accounts would exceed it; no valid document is larger
DOCUMENT_TIMEOUT_S = 1.0  # for the predecessor's document; after it the process starts without the document
RETRY_DELAY_S = 0.01  # after the kernel had no memory for a message
MAX_PATH_BYTES = 100  # a little below the kernel's limit for the path of a local socket
# The first byte of each message.
DOCUMENT_PART, DOCUMENT_END, CONNECTION, REQUEST_COMPLETED = b"m", b"d", b"c", b"e"


def socket_path(folder: str | None, name: str) -> str | None:
    """The path at which a limiter of that name is reached by its successor; None if there can be none."""
    if not folder:
        return None
    path = shared_path(folder, name, "handover")
    if len(os.fsencode(path)) > MAX_PATH_BYTES:
        log.warning("no handover: the path %s is too long for a local socket", path)
        return None
    return path


def shared_path(folder: str, name: str, suffix: str) -> str:
    """Returns the path of a file that the processes of a limiter of that name share."""
    safe_name = "".join(c if c.isalnum() or c in "-_." else "_" for c in name)
    return os.path.join(folder, f"basaltpoint.{safe_name}.{suffix}")


def connect_to_predecessor(path: str) -> tuple[socket.socket, bytes] | None:
    """Connects to the predecessor and reads its document; returns both, or None if no process answers."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        sock.settimeout(DOCUMENT_TIMEOUT_S)
        sock.connect(path)
        parts, size, deadline = [], 0, time.monotonic() + DOCUMENT_TIMEOUT_S
        while time.monotonic() < deadline and size <= MAX_DOCUMENT_BYTES:
            message = sock.recv(MAX_MESSAGE_BYTES + 1)
            if message[:1] not in (DOCUMENT_PART, DOCUMENT_END):
                raise OSError(
                    "it closed the connection before its document was complete"
                    if not message
                    else "it sent an unknown kind of message"
                )
            parts.append(message[1:])
            size += len(message)
            if message[:1] == DOCUMENT_END:
                sock.setblocking(False)
                return sock, b"".join(parts)
        raise OSError("its document was too long or not complete in time")
    except FileNotFoundError:
        pass  # the first process of this name
    except OSError as error:
        log.warning("nothing is taken over from an older process: %s", error)
    sock.close()
    return None


class LinkHandler(Protocol):
    """Handles what the other process sends."""

    def document_received(self, document: bytes) -> None:
        """The other process sent a whole document."""

    def connection_received(self, sock: socket.socket) -> None:
        """The other process passed a socket, such as a client connection between two requests."""

    def request_completed(self, req_id: bytes) -> None:
        """The other process has answered the request with this Req-Id."""

    def link_closed(self) -> None:
        """The other process ended or closed the link, or this process closed it."""


class SuccessorHandler:
    """Handles a link to a successor, which sends nothing; only the end of the link matters."""

    def __init__(self, on_closed: Callable[[], None]) -> None:
        self._on_closed = on_closed

    def document_received(self, document: bytes) -> None:
        pass

    def connection_received(self, sock: socket.socket) -> None:
        sock.close()

    def request_completed(self, req_id: bytes) -> None:
        pass

    def link_closed(self) -> None:
        self._on_closed()


class HandoverLink:
    """One end of the connection between two processes."""

    def __init__(self, sock: socket.socket, handler: LinkHandler) -> None:
        self._sock = sock
        self._handler = handler
        self._received_parts: list[bytes] = []
        self._send_queue: deque[bytes] = deque()
        self.is_open = True
        asyncio.get_running_loop().add_reader(sock, self._read)

    def send_document(self, text: bytes) -> None:
        parts = [text[at : at + MAX_MESSAGE_BYTES] for at in range(0, len(text), MAX_MESSAGE_BYTES)] or [b""]
        self._send_queue += [DOCUMENT_PART + part for part in parts[:-1]]
        self._send_queue.append(DOCUMENT_END + parts[-1])
        self._flush()

    def send_request_completed(self, req_id: bytes) -> None:
        """Notifies the other process that the request with this Req-Id is answered."""
        self._send_queue.append(REQUEST_COMPLETED + req_id[:MAX_MESSAGE_BYTES])
        self._flush()

    def send_connection(self, descriptor: int) -> bool:
        """Passes a socket to the other process; returns False if that is not possible now."""
        if not self.is_open or self._send_queue:
            return False
        try:
            socket.send_fds(self._sock, [CONNECTION], [descriptor])
        except OSError:
            return False
        return True

    @property
    def is_flushed(self) -> bool:
        """Whether nothing is left to send; also true once the link is closed."""
        return not self._send_queue or not self.is_open

    def _flush(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while self._send_queue and self.is_open:
                self._sock.send(self._send_queue[0])
                self._send_queue.popleft()
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
                    self.close()  # the other process ended
                elif not isinstance(error, BlockingIOError):
                    self._pause_reading()
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
                    self._handler.connection_received(socks.pop())
            elif kind in (DOCUMENT_PART, DOCUMENT_END):
                self._received_parts.append(text)
                if kind == DOCUMENT_END:
                    document, self._received_parts = b"".join(self._received_parts), []
                    self._handler.document_received(document)
            elif kind == REQUEST_COMPLETED:
                self._handler.request_completed(text)
            for sock in socks:  # descriptors that came with a message of another kind
                sock.close()

    def _pause_reading(self) -> None:
        """Reads again after a delay, as the kernel has no memory now and the other process still runs."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._sock)
        loop.call_later(RETRY_DELAY_S, self._resume_reading)

    def _resume_reading(self) -> None:
        if self.is_open:
            asyncio.get_running_loop().add_reader(self._sock, self._read)

    def close(self) -> None:
        if self.is_open:
            self.is_open = False
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._sock)
            loop.remove_writer(self._sock)
            self._sock.close()
            self._handler.link_closed()


class SuccessorListener:
    """Accepts the connection of a successor."""

    def __init__(self, path: str, on_successor: Callable[[socket.socket], None]) -> None:
        """Listens at `path`, in place of a predecessor that listened there; raises OSError if it can't."""
        self._path = path
        self._on_successor = on_successor
        self._listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            temporary_path = f"{path}.{os.getpid()}"
            with contextlib.suppress(FileNotFoundError):
                os.unlink(temporary_path)
            self._listener.bind(temporary_path)
            self._listener.listen(4)
            os.rename(temporary_path, path)
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
        self._on_successor(sock)

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self._listener)
        self._listener.close()  # the path is not removed, as the successor may listen at it by now
