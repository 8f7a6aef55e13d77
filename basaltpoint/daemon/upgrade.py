"""Two processes of one standalone limiter during an upgrade: who serves, and what the one passes on.

The newer one reads its configuration and waits. On SIGTERM the older one passes its listening sockets, its
state and its place among the members, then client connections as they fall idle. So one process at a time
takes requests and draws on quotas, and the other members see no change.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import Callable
from typing import Protocol

from basaltpoint.handover import upgrade_state
from basaltpoint.handover.link import (
    HandoverLink,
    SuccessorHandler,
    SuccessorListener,
    connect_to_predecessor,
)
from basaltpoint.handover.upgrade_state import HandoverError, Hello, UpgradeState

log = logging.getLogger("basaltpoint")

FLUSH_TIMEOUT_S = (
    3.0  # for the document to be read by a process that is starting; then its connections go as ever
)
POLL_INTERVAL_S = 0.005


class Predecessor(Protocol):
    """What a process is asked by the one after it."""

    def hand_state_over(self, send: Callable[[int], bool]) -> UpgradeState:
        """Pass the listening sockets, take nothing new from now on, and tell all that is left."""


class Upgrade:
    """One process between the one before it and the one after it."""

    def __init__(self, path: str, name: str) -> None:
        self._path, self._name = path, name
        self._older: HandoverLink | None = None
        self._successor: HandoverLink | None = None
        self._listener: SuccessorListener | None = None
        self._told: asyncio.Future[UpgradeState | None]
        self.listeners: list[socket.socket] = []
        self._early: list[socket.socket] = []  # connections that came before they could be served
        self.adopt: Callable[[socket.socket], None] = self._early.append

    # --- As the newer of two ----------------------------------------------------------------------------
    def claim(self) -> bool:
        """Whether an older process is there; HandoverError where it can't be followed."""
        found = connect_to_predecessor(self._path)
        if found is None:
            return False
        sock, text = found
        try:
            upgrade_state.decode_hello(text)
        except HandoverError:
            sock.close()
            raise
        self._told = asyncio.get_running_loop().create_future()
        self._older = HandoverLink(sock, _Older(self))
        return True

    async def wait_for_state(self) -> UpgradeState | None:
        """What the older one leaves once it is told to end; None where it ended without a word."""
        return await self._told

    def state_received(self, text: bytes) -> None:
        """The older one's last word."""
        if self._told.done():
            return
        try:
            self._told.set_result(upgrade_state.decode(text, time.monotonic()))
        except HandoverError as error:
            log.warning("the older process's state is not taken over: %s", error)
            self._told.set_result(None)

    def socket_received(self, sock: socket.socket) -> None:
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            self.listeners.append(sock)
        else:
            self.adopt(sock)

    def predecessor_disconnected(self) -> None:
        """The older one has gone."""
        if self._older and not self._told.done():
            log.warning("the older process ended without a last word; its place is taken as after a kill")
            self._told.set_result(None)

    def start_serving(self, adopt: Callable[[socket.socket], None]) -> None:
        """From now on this process serves: the next one may knock."""
        self.adopt = adopt
        while self._early:
            adopt(self._early.pop())
        try:
            self._listener = SuccessorListener(self._path, self._successor_came)
        except OSError as error:
            log.warning("the next process will find nothing to take over: %s", error)

    # --- As the older of two ----------------------------------------------------------------------------
    def _successor_came(self, sock: socket.socket) -> None:
        if self._successor:
            self._successor.close()
        self._successor = HandoverLink(sock, SuccessorHandler(self.successor_disconnected))
        self._successor.send_document(upgrade_state.encode(Hello(upgrade_state.VERSION, self._name)))
        log.info("a newer process is there; it takes over when this one is told to end")

    def successor_disconnected(self) -> None:
        self._successor = None
        if self._listener:
            log.warning("the newer process ended")

    async def hand_over(self, predecessor: Predecessor) -> Callable[[int], bool] | None:
        """Pass all on to the newer one; how to pass connections on, None where nobody is there."""
        if (successor := self._successor) is None:
            return None
        told = predecessor.hand_state_over(successor.send_connection)
        successor.send_document(upgrade_state.encode(told))
        end = time.monotonic() + FLUSH_TIMEOUT_S
        while not successor.is_flushed and time.monotonic() < end:
            await asyncio.sleep(POLL_INTERVAL_S)
        return successor.send_connection

    def close(self) -> None:
        if self._listener:
            self._listener.close()
            self._listener = None
        older, self._older = self._older, None
        for link in (older, self._successor):
            if link:
                link.close()
        for sock in [*self.listeners, *self._early]:
            sock.close()


class _Older:
    """What comes from the process before this one."""

    def __init__(self, upgrade: Upgrade) -> None:
        self._upgrade = upgrade

    def document_received(self, document: bytes) -> None:
        self._upgrade.state_received(document)

    def connection_received(self, sock: socket.socket) -> None:
        self._upgrade.socket_received(sock)

    def request_completed(self, name: bytes) -> None:
        pass

    def link_closed(self) -> None:
        self._upgrade.predecessor_disconnected()
