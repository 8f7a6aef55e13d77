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
from basaltpoint.links.frames import VERSION, FrameError, Greeting, Parser, Part, Speech, pack

log = logging.getLogger(__name__)

GREET_S = 5.0  # for the greeting and the TLS handshake
BACKOFF_S = (0.02, 1.0)  # first and longest wait before a peer is called again


@dataclass(frozen=True, slots=True)
class Tls:
    """Files of the operator: this side's certificate and key, and the authority that signs all of them."""

    cert: Path
    key: Path
    authority: Path

    @classmethod
    def of(cls, files: Files | None) -> Tls | None:
        """Of a checked table's files; none where it names none."""
        return cls(files.cert, files.key, files.authority) if files else None

    def server(self) -> ssl.SSLContext:
        """OSError, ssl.SSLError where the files can't be used."""
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=str(self.authority))
        return self._strict(context)

    def client(self) -> ssl.SSLContext:
        context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=str(self.authority))
        return self._strict(context)

    def _strict(self, context: ssl.SSLContext) -> ssl.SSLContext:
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(self.cert, self.key)
        return context


class Owner(Protocol):
    """Whoever a connection reports to."""

    def greeted(self, link: Link) -> bool:
        """The other side's greeting has come: whether to go on with it."""

    def came(self, link: Link, frame: Any) -> None:
        """A frame after the greeting; FrameError where it is not allowed here."""

    def lost(self, link: Link) -> None: ...


class Link(asyncio.Protocol):
    """One connection, either side."""

    def __init__(
        self, owner: Owner, greeting: Greeting, local: bool, speech: Speech, plain: bool = False
    ) -> None:
        """`plain`: on the loopback alone, without certificates: names are believed."""
        self._owner, self._greeting, self._speech = owner, greeting, speech
        self._plain = plain
        self.local = local  # over the file system's socket: whoever may open it is trusted
        self._parser = Parser(speech)
        self._transport: asyncio.Transport | None = None
        self.other: Greeting | None = None
        self.dropped = 0
        self._timer: asyncio.TimerHandle | None = None
        self.why = ""  # this side's reason to end it; none where the other did
        self.closed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.ready: asyncio.Future[None] = asyncio.get_running_loop().create_future()  # greeted

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._timer = asyncio.get_running_loop().call_later(GREET_S, self._too_late)
        self._transport.write(pack(self._greeting))

    def _too_late(self) -> None:
        if self.other is None:
            self.why = "no greeting"
            self.close()

    def data_received(self, data: bytes) -> None:
        self._parser.feed(data)
        try:
            while self._transport and (frame := self._parser.next()) is not None:
                if self.other is None:
                    self._greeted(frame)
                else:
                    self._owner.came(self, frame)
        except FrameError as error:
            log.warning("%s: connection of %s ended: %s", self._speech.what, self.name or "a client", error)
            self.why = str(error)
            self.close(flush=self.other is None)  # the other side is to read our greeting, and say why, too

    def _greeted(self, frame: Any) -> None:
        if not isinstance(frame, Greeting) or frame.version != VERSION:
            raise FrameError(f"no greeting of version {VERSION}")
        any_cluster = self.local and not (frame.cluster and self._greeting.cluster)
        if frame.cluster != self._greeting.cluster and not any_cluster:
            raise FrameError(f"a greeting for cluster {frame.cluster!r}, not {self._greeting.cluster!r}")
        if frame.name and not (self.local or self._plain) and frame.name not in self._certified():
            raise FrameError(f"a greeting as {frame.name!r}, which its certificate does not hold")
        self.other = frame
        if not self._owner.greeted(self):
            self.close()
        elif not self.ready.done():
            self.ready.set_result(None)

    def _certified(self) -> set[str]:
        """DNS names of the other side's certificate."""
        assert self._transport
        held: dict[str, Any] = self._transport.get_extra_info("peercert") or {}
        return {name for kind, name in held.get("subjectAltName", ()) if kind == "DNS"}

    @property
    def name(self) -> str:
        return self.other.name if self.other else ""

    def send(self, part: Part) -> bool:
        """False where the other side reads so slowly that this is dropped, or is gone."""
        if self._transport is None:
            return False
        if self._transport.get_write_buffer_size() > self._speech.buffer:
            self.dropped += 1
            return False
        self._transport.write(pack(part, self._speech.frame))
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        if self._timer:
            self._timer.cancel()
        if not self.closed.done():
            self.closed.set_result(None)
        self._owner.lost(self)

    def close(self, flush: bool = False) -> None:
        """End at once, or with `flush` once what was written has gone out."""
        if self._transport:
            if flush:
                self._transport.close()
            else:
                self._transport.abort()
            self._transport = None


async def connect(make: Callable[[], Link], address: str, name: str, tls: Tls | None) -> Link:
    """Connect to HOST:PORT, or to a socket's path; the other side's certificate must hold `name`.

    OSError, ssl.SSLError, TimeoutError where that fails.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(GREET_S):
        if "/" in address:
            _, link = await loop.create_unix_connection(make, address)
            return link
        context = tls.client() if tls else None
        hostname = name if context else None
        _, link = await loop.create_connection(
            make, *parse_address(address), ssl=context, server_hostname=hostname
        )
        return link


class Caller:
    """Keeps a connection to one peer open, and sends what there is while it is."""

    def __init__(self, make: Callable[[], Link], name: str, address: str, tls: Tls | None) -> None:
        self._make, self.name, self.address, self._tls = make, name, address, tls
        self.link: Link | None = None
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        wait, told = BACKOFF_S[0], ""
        while True:
            try:
                self.link = await connect(self._make, self.address, self.name, self._tls)
                began = asyncio.get_running_loop().time()
                await self.link.closed
                if asyncio.get_running_loop().time() - began > BACKOFF_S[1]:
                    wait, told = BACKOFF_S[0], ""
            except (OSError, TimeoutError) as error:  # ssl.SSLError is an OSError
                if str(error) != told:  # once for each reason, not at each try
                    told = str(error)
                    log.warning("%s at %s: %s", self.name, self.address, error or "no answer")
            self.link = None
            await asyncio.sleep(wait)
            wait = min(BACKOFF_S[1], wait * 2)

    def send(self, part: Part) -> bool:
        link = self.link
        return link is not None and link.other is not None and link.send(part)

    def close(self) -> None:
        self._task.cancel()
        if self.link:
            self.link.close()
