"""Connections between processes: mutual TLS between hosts, Unix domain sockets within one host.

A connection is closed before any message is sent if the other side's certificate is not signed by the
operator's authority, or if its greeting is for another cluster or under a name that its certificate lacks.
"""

from __future__ import annotations

import asyncio
import logging
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol, cast

from basaltpoint.config.address import parse_address
from basaltpoint.config.storage import TlsFiles
from basaltpoint.links.frames import (
    PROTOCOL_VERSION,
    Frame,
    FrameError,
    FrameParser,
    Greeting,
    WireProtocol,
    encode_frame,
)

log = logging.getLogger(__name__)

GREETING_TIMEOUT_S = 5.0  # for the TLS handshake, and then for the greeting
RECONNECT_BACKOFF_S = (0.02, 1.0)  # first and maximum delay before a new connection attempt


@dataclass(frozen=True, slots=True)
class Tls:
    """The operator's PEM files: this process's certificate and key, and the certificate authority."""

    cert: Path
    key: Path
    authority: Path

    @classmethod
    def from_files(cls, files: TlsFiles | None) -> Tls | None:
        """Returns the TLS files of a checked configuration table; None if it names none."""
        return cls(files.cert, files.key, files.authority) if files else None

    def server_context(self) -> ssl.SSLContext:
        """Raises OSError or ssl.SSLError if the files can't be used."""
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=str(self.authority))
        return self._require_mutual_tls(context)

    def client_context(self) -> ssl.SSLContext:
        context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=str(self.authority))
        return self._require_mutual_tls(context)

    def _require_mutual_tls(self, context: ssl.SSLContext) -> ssl.SSLContext:
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(self.cert, self.key)
        return context


class LinkEventHandler(Protocol):
    """Receives the events of a connection."""

    def greeting_received(self, link: Link) -> bool:
        """The other side's greeting was received; returns False to close the connection."""

    def frame_received(self, link: Link, frame: Any) -> None:
        """A frame after the greeting was received; raises FrameError if it is not allowed here."""

    def link_closed(self, link: Link) -> None: ...


class Link(asyncio.Protocol):
    """One connection, for the side that accepted it as well as for the one that made it."""

    def __init__(
        self,
        event_handler: LinkEventHandler,
        greeting: Greeting,
        is_local: bool,
        protocol: WireProtocol,
        without_tls: bool = False,
    ) -> None:
        """`without_tls`: on loopback only, names are accepted without a certificate."""
        self._event_handler, self._greeting, self._protocol = event_handler, greeting, protocol
        self._without_tls = without_tls
        self.is_local = is_local  # Unix domain socket: every process that may open it is trusted
        self._parser = FrameParser(protocol)
        self._transport: asyncio.Transport | None = None
        self.peer_greeting: Greeting | None = None
        self.dropped_frames = 0
        self._greeting_timer: asyncio.TimerHandle | None = None
        self.close_reason = ""  # why this side closed it; empty if the other side did
        self.closed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.greeted: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._greeting_timer = asyncio.get_running_loop().call_later(
            GREETING_TIMEOUT_S, self._greeting_timed_out
        )
        self._transport.write(encode_frame(self._greeting))

    def _greeting_timed_out(self) -> None:
        if self.peer_greeting is None:
            self.close_reason = "no greeting received"
            self.close()

    def data_received(self, data: bytes) -> None:
        self._parser.feed(data)
        try:
            while self._transport and (frame := self._parser.next_frame()) is not None:
                if self.peer_greeting is None:
                    self._check_greeting(frame)
                else:
                    self._event_handler.frame_received(self, frame)
        except FrameError as error:
            log.warning(
                "%s: connection of %s ended: %s", self._protocol.log_name, self.peer_name or "a client", error
            )
            self.close_reason = str(error)
            self.close(
                flush=self.peer_greeting is None
            )  # flushes this side's greeting, so that the other side logs the reason, too

    def _check_greeting(self, frame: Any) -> None:
        if not isinstance(frame, Greeting) or frame.version != PROTOCOL_VERSION:
            raise FrameError(f"no greeting of version {PROTOCOL_VERSION}")
        any_cluster = self.is_local and not (frame.cluster and self._greeting.cluster)
        if frame.cluster != self._greeting.cluster and not any_cluster:
            raise FrameError(f"a greeting for cluster {frame.cluster!r}, not {self._greeting.cluster!r}")
        if (
            frame.name
            and not (self.is_local or self._without_tls)
            and frame.name not in self._certificate_names()
        ):
            raise FrameError(f"a greeting as {frame.name!r}, which its certificate does not hold")
        self.peer_greeting = frame
        if not self._event_handler.greeting_received(self):
            self.close()
        elif not self.greeted.done():
            self.greeted.set_result(None)

    def _certificate_names(self) -> set[str]:
        """Returns the DNS names of the other side's certificate."""
        assert self._transport
        certificate: dict[str, Any] = self._transport.get_extra_info("peercert") or {}
        return {name for kind, name in certificate.get("subjectAltName", ()) if kind == "DNS"}

    @property
    def peer_name(self) -> str:
        return self.peer_greeting.name if self.peer_greeting else ""

    def send(self, frame: Frame) -> bool:
        """Sends a frame; returns False if the connection is closed or its send buffer is full."""
        if self._transport is None:
            return False
        if self._transport.get_write_buffer_size() > self._protocol.max_buffer_bytes:
            self.dropped_frames += 1
            return False
        self._transport.write(encode_frame(frame, self._protocol.max_frame_bytes))
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        if self._greeting_timer:
            self._greeting_timer.cancel()
        if not self.closed.done():
            self.closed.set_result(None)
        self._event_handler.link_closed(self)

    def close(self, flush: bool = False) -> None:
        """Closes the connection at once, or with `flush` after the data already written has been sent."""
        if self._transport:
            if flush:
                self._transport.close()
            else:
                self._transport.abort()
            self._transport = None


async def connect(link_factory: Callable[[], Link], address: str, name: str, tls: Tls | None) -> Link:
    """Connects to HOST:PORT or to the path of a Unix domain socket.

    With TLS, the other side's certificate must contain `name`. Raises OSError (also as ssl.SSLError) or
    TimeoutError.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(GREETING_TIMEOUT_S):
        if "/" in address:
            _, link = await loop.create_unix_connection(link_factory, address)
            return link
        context = tls.client_context() if tls else None
        hostname = name if context else None
        _, link = await loop.create_connection(
            link_factory, *parse_address(address), ssl=context, server_hostname=hostname
        )
        return link


class Reconnector:
    """Keeps a connection to one peer open, and reconnects with exponential backoff.

    Frames that are sent while there is no connection are lost.
    """

    def __init__(self, link_factory: Callable[[], Link], name: str, address: str, tls: Tls | None) -> None:
        self._link_factory, self.name, self.address, self._tls = link_factory, name, address, tls
        self.link: Link | None = None
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        backoff_s, last_error = RECONNECT_BACKOFF_S[0], ""
        while True:
            try:
                self.link = await connect(self._link_factory, self.address, self.name, self._tls)
                connected_s = asyncio.get_running_loop().time()
                await self.link.closed
                if asyncio.get_running_loop().time() - connected_s > RECONNECT_BACKOFF_S[1]:
                    backoff_s, last_error = RECONNECT_BACKOFF_S[0], ""
            except (OSError, TimeoutError) as error:  # ssl.SSLError is an OSError
                if str(error) != last_error:  # logged once per reason, not at every attempt
                    last_error = str(error)
                    log.warning("%s at %s: %s", self.name, self.address, error or "no response")
            self.link = None
            await asyncio.sleep(backoff_s)
            backoff_s = min(RECONNECT_BACKOFF_S[1], backoff_s * 2)

    def send(self, frame: Frame) -> bool:
        link = self.link
        return link is not None and link.peer_greeting is not None and link.send(frame)

    def close(self) -> None:
        self._task.cancel()
        if self.link:
            self.link.close()
