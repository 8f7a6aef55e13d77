"""Connections: mutual TLS between hosts, a socket of the file system within one.

Nothing is told to one whose certificate the operator's authority did not sign, who greets for another
cluster, or who greets under a name that its certificate does not hold.
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
from basaltpoint.config.storage import Files
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

GREETING_TIMEOUT_S = 5.0  # for the greeting and the TLS handshake
RECONNECT_BACKOFF_S = (0.02, 1.0)  # first and longest wait before a peer is called again


@dataclass(frozen=True, slots=True)
class Tls:
    """Files of the operator: this side's certificate and key, and the authority that signs all of them."""

    cert: Path
    key: Path
    authority: Path

    @classmethod
    def from_files(cls, files: Files | None) -> Tls | None:
        """Of a checked table's files; none where it names none."""
        return cls(files.cert, files.key, files.authority) if files else None

    def server_context(self) -> ssl.SSLContext:
        """OSError, ssl.SSLError where the files can't be used."""
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


class LinkOwner(Protocol):
    """Whoever a connection reports to."""

    def greeting_received(self, link: Link) -> bool:
        """The other side's greeting has come: whether to go on with it."""

    def frame_received(self, link: Link, frame: Any) -> None:
        """A frame after the greeting; FrameError where it is not allowed here."""

    def link_closed(self, link: Link) -> None: ...


class Link(asyncio.Protocol):
    """One connection, either side."""

    def __init__(
        self,
        owner: LinkOwner,
        greeting: Greeting,
        is_local: bool,
        protocol: WireProtocol,
        without_tls: bool = False,
    ) -> None:
        """`plain`: on the loopback alone, without certificates: names are believed."""
        self._owner, self._greeting, self._protocol = owner, greeting, protocol
        self._without_tls = without_tls
        self.is_local = is_local  # over the file system's socket: whoever may open it is trusted
        self._parser = FrameParser(protocol)
        self._transport: asyncio.Transport | None = None
        self.peer_greeting: Greeting | None = None
        self.dropped_frames = 0
        self._greeting_timer: asyncio.TimerHandle | None = None
        self.close_reason = ""  # this side's reason to end it; none where the other did
        self.closed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.greeted: asyncio.Future[None] = asyncio.get_running_loop().create_future()  # greeted

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._greeting_timer = asyncio.get_running_loop().call_later(
            GREETING_TIMEOUT_S, self._greeting_timed_out
        )
        self._transport.write(encode_frame(self._greeting))

    def _greeting_timed_out(self) -> None:
        if self.peer_greeting is None:
            self.close_reason = "no greeting"
            self.close()

    def data_received(self, data: bytes) -> None:
        self._parser.feed(data)
        try:
            while self._transport and (frame := self._parser.next_frame()) is not None:
                if self.peer_greeting is None:
                    self._check_greeting(frame)
                else:
                    self._owner.frame_received(self, frame)
        except FrameError as error:
            log.warning(
                "%s: connection of %s ended: %s", self._protocol.log_name, self.peer_name or "a client", error
            )
            self.close_reason = str(error)
            self.close(
                flush=self.peer_greeting is None
            )  # the other side is to read our greeting, and say why, too

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
        if not self._owner.greeting_received(self):
            self.close()
        elif not self.greeted.done():
            self.greeted.set_result(None)

    def _certificate_names(self) -> set[str]:
        """DNS names of the other side's certificate."""
        assert self._transport
        held: dict[str, Any] = self._transport.get_extra_info("peercert") or {}
        return {name for kind, name in held.get("subjectAltName", ()) if kind == "DNS"}

    @property
    def peer_name(self) -> str:
        return self.peer_greeting.name if self.peer_greeting else ""

    def send(self, frame: Frame) -> bool:
        """False where the other side reads so slowly that this is dropped, or is gone."""
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
        self._owner.link_closed(self)

    def close(self, flush: bool = False) -> None:
        """End at once, or with `flush` once what was written has gone out."""
        if self._transport:
            if flush:
                self._transport.close()
            else:
                self._transport.abort()
            self._transport = None


async def connect(link_factory: Callable[[], Link], address: str, name: str, tls: Tls | None) -> Link:
    """Connect to HOST:PORT, or to a socket's path; the other side's certificate must hold `name`.

    OSError, ssl.SSLError, TimeoutError where that fails.
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
    """Keeps a connection to one peer open, and sends what there is while it is."""

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
                if str(error) != last_error:  # once for each reason, not at each try
                    last_error = str(error)
                    log.warning("%s at %s: %s", self.name, self.address, error or "no answer")
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
