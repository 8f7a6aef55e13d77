"""Connections between equals: made when needed, used from both sides, bounded in number.

It decides nothing about members: it says who is connected, who refused, and who sent too much.
"""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Callable
from typing import Any, Protocol

from basaltpoint.links.frames import Frame, FrameError, Greeting, WireProtocol
from basaltpoint.links.transport import Link, Tls, connect

log = logging.getLogger(__name__)

MAX_PENDING_FRAMES = 16  # frames that wait for one connection to come up
MAX_FRAMES_PER_SECOND = 1000  # frames a second of one connection; beyond, it is ended
LOCAL_RESOURCE_ERRORS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,
)  # trouble of this host


class PoolOwner(Protocol):
    """Whoever the connections are for."""

    def frame_received(self, link: Link, frame: Any) -> None: ...

    def member_connected(self, name: str) -> None: ...

    def connection_lost(self, name: str) -> None:
        """The last connection to one ended, and not from this side."""

    def connection_evicted(self, name: str) -> None:
        """It was ended here, for others that are used more."""

    def connection_refused(self, name: str) -> None:
        """The other's host refuses connections, or ends them before any greeting."""


class ConnectionPool:
    """The connections of one process, by the others' names."""

    def __init__(
        self,
        owner: PoolOwner,
        greeting: Callable[[], Greeting],
        tls: Tls | None,
        speech: WireProtocol,
        most: int,
    ) -> None:
        self._owner, self._greeting, self._tls, self._speech, self._most = owner, greeting, tls, speech, most
        self._links: dict[str, Link] = {}  # the one to send over, the least used first
        self._all: dict[Link, str] = {}  # greeted ones; with clients' under an empty name
        self._calls: dict[str, tuple[asyncio.Task[None], list[Frame]]] = {}
        self._counts: dict[Link, tuple[float, int]] = {}
        self._told: dict[str, str] = {}
        self._closed = False

    def accept_link(self) -> Link:
        """For a listener: one that somebody made to us."""
        return Link(self, self._greeting(), False, self._speech, plain=self._tls is None)

    def send(self, name: str, address: str, part: Frame) -> None:
        """Send now, or once a connection is up; what can't be sent is lost."""
        link = self._links.pop(name, None)
        if link is not None:
            self._links[name] = link
            link.send(part)
        elif (call := self._calls.get(name)) is not None:
            if len(call[1]) < MAX_PENDING_FRAMES:
                call[1].append(part)
        elif not self._closed:
            task = asyncio.get_running_loop().create_task(self._call(name, address))
            self._calls[name] = task, [part]

    async def _call(self, name: str, address: str) -> None:
        text, refused = "", False
        try:
            link = await connect(self.accept_link, address, name, self._tls)
            await asyncio.wait([link.closed, link.greeted], return_when=asyncio.FIRST_COMPLETED)
            if link.peer_greeting is None:
                text, refused = (
                    link.close_reason or "it ended the connection before its greeting",
                    not link.close_reason,
                )
            elif link.peer_name != name:
                text = f"{link.peer_name or 'a client'} answers there"
                link.close()
        except (ConnectionRefusedError, ConnectionResetError, BrokenPipeError) as error:
            text, refused = str(error), True
        except (OSError, TimeoutError) as error:  # ssl.SSLError is an OSError
            text = str(error) or "no answer"
            if isinstance(error, OSError) and error.errno in LOCAL_RESOURCE_ERRORS:
                log.error("%s: no connection to %s: %s", self._speech.log_name, name, text)
        finally:
            _, waiting = self._calls.pop(name)
        if text:
            if self._told.get(name) != text:  # once for each reason, not at each try
                self._told[name] = text
                log.warning("%s: %s at %s: %s", self._speech.log_name, name, address, text)
            if refused and not self._closed:
                self._owner.connection_refused(name)
            return
        self._told.pop(name, None)
        if waiting and name in self._links:
            for part in waiting:
                self._links[name].send(part)

    # --- What connections report ------------------------------------------------------------------------
    def greeting_received(self, link: Link) -> bool:
        name = link.peer_name
        self._all[link] = name
        if not name or name == self._greeting().name:
            return True  # a client, or another process of this name that is to be told apart
        news = name not in self._links
        self._links[name] = link
        if news:
            self._owner.member_connected(name)
        while len(self._links) > self._most:
            oldest = next(iter(self._links))
            self._drop(oldest)
        return True

    def _drop(self, name: str) -> None:
        link = self._links.pop(name)
        self._all.pop(link, None)
        self._owner.connection_evicted(name)
        link.close(flush=True)

    def frame_received(self, link: Link, frame: Any) -> None:
        now = asyncio.get_running_loop().time()
        began, count = self._counts.get(link, (now, 0))
        if now - began >= 1.0:
            began, count = now, 0
        self._counts[link] = began, count + 1
        if count >= MAX_FRAMES_PER_SECOND:
            raise FrameError(f"more than {MAX_FRAMES_PER_SECOND} frames a second")
        self._owner.frame_received(link, frame)

    def link_closed(self, link: Link) -> None:
        self._counts.pop(link, None)
        name = self._all.pop(link, "")
        if not name or self._links.get(name) is not link:
            return
        del self._links[name]
        if (other := next((one for one, who in self._all.items() if who == name), None)) is not None:
            self._links[name] = other
        elif not self._closed:
            self._owner.connection_lost(name)

    def close_member(self, name: str) -> None:
        """End all connections with one."""
        for link in [link for link, who in self._all.items() if who == name]:
            link.close()

    def close_all(self) -> None:
        """End all, once what was written has gone out."""
        self._closed = True
        for task, _ in self._calls.values():
            task.cancel()
        for link in list(self._all):
            link.close(flush=True)
