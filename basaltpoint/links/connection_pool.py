"""Connections between members: opened on demand, used in both directions, and limited in number.

The pool makes no decisions about members. It reports which are connected and which refuse connections, and it
closes connections that carry too many frames.
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

MAX_PENDING_FRAMES = 16  # frames queued while a connection is being opened
MAX_FRAMES_PER_SECOND = 1000  # above, the connection is closed
LOCAL_RESOURCE_ERRORS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,
)  # a local shortage, not a fault of the peer


class PoolEventHandler(Protocol):
    """Receives the events of a pool's connections."""

    def frame_received(self, link: Link, frame: Any) -> None: ...

    def member_connected(self, name: str) -> None: ...

    def connection_lost(self, name: str) -> None:
        """The last connection to a member was closed by the other side."""

    def connection_evicted(self, name: str) -> None:
        """The pool closed the least recently used connection to stay within its limit."""

    def connection_refused(self, name: str) -> None:
        """The member's host refuses connections, or closes them before its greeting."""


class ConnectionPool:
    """The connections of one process, by the names of the other members."""

    def __init__(
        self,
        event_handler: PoolEventHandler,
        greeting: Callable[[], Greeting],
        tls: Tls | None,
        protocol: WireProtocol,
        max_connections: int,
    ) -> None:
        self._event_handler, self._greeting, self._tls, self._protocol, self._max_connections = (
            event_handler,
            greeting,
            tls,
            protocol,
            max_connections,
        )
        self._active_links: dict[str, Link] = {}  # used for sending; least recently used first
        self._greeted_links: dict[Link, str] = {}  # all greeted connections; clients have an empty name
        self._connecting: dict[str, tuple[asyncio.Task[None], list[Frame]]] = {}
        self._frame_counts: dict[Link, tuple[float, int]] = {}
        self._last_problems: dict[str, str] = {}
        self._closed = False

    def accept_link(self) -> Link:
        """Creates the protocol instance of a connection, accepted or outgoing."""
        return Link(self, self._greeting(), False, self._protocol, without_tls=self._tls is None)

    def send(self, name: str, address: str, frame: Frame) -> None:
        """Sends a frame now or as soon as a connection is open; a frame that can't be sent is lost."""
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
        problem, refused = "", False
        try:
            link = await connect(self.accept_link, address, name, self._tls)
            await asyncio.wait([link.closed, link.greeted], return_when=asyncio.FIRST_COMPLETED)
            if link.peer_greeting is None:
                problem, refused = (
                    link.close_reason or "it ended the connection before its greeting",
                    not link.close_reason,
                )
            elif link.peer_name != name:
                problem = f"{link.peer_name or 'a client'} answers there"
                link.close()
        except (ConnectionRefusedError, ConnectionResetError, BrokenPipeError) as error:
            problem, refused = str(error), True
        except (OSError, TimeoutError) as error:  # ssl.SSLError is an OSError
            problem = str(error) or "no response"
            if isinstance(error, OSError) and error.errno in LOCAL_RESOURCE_ERRORS:
                log.error("%s: no connection to %s: %s", self._protocol.log_name, name, problem)
        finally:
            _, pending = self._connecting.pop(name)
        if problem:
            if self._last_problems.get(name) != problem:  # logged once per reason, not at every attempt
                self._last_problems[name] = problem
                log.warning("%s: %s at %s: %s", self._protocol.log_name, name, address, problem)
            if refused and not self._closed:
                self._event_handler.connection_refused(name)
            return
        self._last_problems.pop(name, None)
        if pending and name in self._active_links:
            for frame in pending:
                self._active_links[name].send(frame)

    # --- Events of connections --------------------------------------------------------------------------
    def greeting_received(self, link: Link) -> bool:
        name = link.peer_name
        self._greeted_links[link] = name
        if not name or name == self._greeting().name:
            return True  # a client, or another process with this process's name (a name conflict)
        is_new = name not in self._active_links
        self._active_links[name] = link
        if is_new:
            self._event_handler.member_connected(name)
        while len(self._active_links) > self._max_connections:
            least_used = next(iter(self._active_links))
            self._evict(least_used)
        return True

    def _evict(self, name: str) -> None:
        link = self._active_links.pop(name)
        self._greeted_links.pop(link, None)
        self._event_handler.connection_evicted(name)
        link.close(flush=True)

    def frame_received(self, link: Link, frame: Any) -> None:
        now = asyncio.get_running_loop().time()
        second_started, count = self._frame_counts.get(link, (now, 0))
        if now - second_started >= 1.0:
            second_started, count = now, 0
        self._frame_counts[link] = second_started, count + 1
        if count >= MAX_FRAMES_PER_SECOND:
            raise FrameError(f"more than {MAX_FRAMES_PER_SECOND} frames a second")
        self._event_handler.frame_received(link, frame)

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
            self._event_handler.connection_lost(name)

    def close_member(self, name: str) -> None:
        """Closes all connections to a member."""
        for link in [link for link, who in self._greeted_links.items() if who == name]:
            link.close()

    def close_all(self) -> None:
        """Closes all connections after flushing the data already written."""
        self._closed = True
        for task, _ in self._connecting.values():
            task.cancel()
        for link in list(self._greeted_links):
            link.close(flush=True)
