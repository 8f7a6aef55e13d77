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
        protocol: WireProtocol,
        max_connections: int,
    ) -> None:
        self._owner, self._greeting, self._tls, self._protocol, self._max_connections = (
            owner,
            greeting,
            tls,
            protocol,
            max_connections,
        )
        self._active_links: dict[str, Link] = {}  # the one to send over, the least used first
        self._greeted_links: dict[Link, str] = {}  # greeted ones; with clients' under an empty name
        self._connecting: dict[str, tuple[asyncio.Task[None], list[Frame]]] = {}
        self._frame_counts: dict[Link, tuple[float, int]] = {}
        self._last_problems: dict[str, str] = {}
        self._closed = False

    def accept_link(self) -> Link:
        """For a listener: one that somebody made to us."""
        return Link(self, self._greeting(), False, self._protocol, without_tls=self._tls is None)

    def send(self, name: str, address: str, frame: Frame) -> None:
        """Send now, or once a connection is up; what can't be sent is lost."""
        link = self._active_links.pop(name, None)
        if link is not None:
            self._active_links[name] = link
            link.send(frame)
        elif (connecting := self._connecting.get(name)) is not None:
            if len(connecting[1]) < MAX_PENDING_FRAMES:
                connecting[1].append(frame)
        elif not self._closed:
            task = asyncio.get_running_loop().create_task(self._connect(name, address))
            self._connecting[name] = task, [frame]

    async def _connect(self, name: str, address: str) -> None:
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
                log.error("%s: no connection to %s: %s", self._protocol.log_name, name, text)
        finally:
            _, waiting = self._connecting.pop(name)
        if text:
            if self._last_problems.get(name) != text:  # once for each reason, not at each try
                self._last_problems[name] = text
                log.warning("%s: %s at %s: %s", self._protocol.log_name, name, address, text)
            if refused and not self._closed:
                self._owner.connection_refused(name)
            return
        self._last_problems.pop(name, None)
        if waiting and name in self._active_links:
            for part in waiting:
                self._active_links[name].send(part)

    # --- What connections report ------------------------------------------------------------------------
    def greeting_received(self, link: Link) -> bool:
        name = link.peer_name
        self._greeted_links[link] = name
        if not name or name == self._greeting().name:
            return True  # a client, or another process of this name that is to be told apart
        news = name not in self._active_links
        self._active_links[name] = link
        if news:
            self._owner.member_connected(name)
        while len(self._active_links) > self._max_connections:
            oldest = next(iter(self._active_links))
            self._evict(oldest)
        return True

    def _evict(self, name: str) -> None:
        link = self._active_links.pop(name)
        self._greeted_links.pop(link, None)
        self._owner.connection_evicted(name)
        link.close(flush=True)

    def frame_received(self, link: Link, frame: Any) -> None:
        now = asyncio.get_running_loop().time()
        began, count = self._frame_counts.get(link, (now, 0))
        if now - began >= 1.0:
            began, count = now, 0
        self._frame_counts[link] = began, count + 1
        if count >= MAX_FRAMES_PER_SECOND:
            raise FrameError(f"more than {MAX_FRAMES_PER_SECOND} frames a second")
        self._owner.frame_received(link, frame)

    def link_closed(self, link: Link) -> None:
        self._frame_counts.pop(link, None)
        name = self._greeted_links.pop(link, "")
        if not name or self._active_links.get(name) is not link:
            return
        del self._active_links[name]
        if (
            other := next((one for one, who in self._greeted_links.items() if who == name), None)
        ) is not None:
            self._active_links[name] = other
        elif not self._closed:
            self._owner.connection_lost(name)

    def close_member(self, name: str) -> None:
        """End all connections with one."""
        for link in [link for link, who in self._greeted_links.items() if who == name]:
            link.close()

    def close_all(self) -> None:
        """End all, once what was written has gone out."""
        self._closed = True
        for task, _ in self._connecting.values():
            task.cancel()
        for link in list(self._greeted_links):
            link.close(flush=True)
