"""Two processes of one standalone limiter during an upgrade: which one serves, and what is handed over.

The successor reads its configuration and waits. On SIGTERM the predecessor passes its listening sockets, its
state and its membership of the fleet, then client connections as they become idle. So only one process at a
time accepts requests and draws on quotas, and the other members of the fleet see no change.
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

# For the successor, which may still be starting, to read the state. Connections that can't be passed to it
# after this time end with the drain.
FLUSH_TIMEOUT_S = 3.0
POLL_INTERVAL_S = 0.005


class Predecessor(Protocol):
    """The limiter that hands its state to a successor."""

    def hand_state_over(self, send: Callable[[int], bool]) -> UpgradeState:
        """Passes the listening sockets with `send`, stops accepting requests and returns the state."""


class Upgrade:
    """The handover of one process: from its predecessor, then to its successor."""

    def __init__(self, path: str, name: str) -> None:
        self._path, self._name = path, name
        self._predecessor: HandoverLink | None = None
        self._successor: HandoverLink | None = None
        self._listener: SuccessorListener | None = None
        self._state: asyncio.Future[UpgradeState | None]
        self.listeners: list[socket.socket] = []
        self._early_connections: list[socket.socket] = []  # received before this process serves
        self.adopt: Callable[[socket.socket], None] = self._early_connections.append

    # --- As the successor -------------------------------------------------------------------------------
    def find_predecessor(self) -> bool:
        """Whether there is a predecessor; HandoverError if its handover version is not supported."""
        connected = connect_to_predecessor(self._path)
        if connected is None:
            return False
        sock, text = connected
        try:
            upgrade_state.decode_hello(text)
        except HandoverError:
            sock.close()
            raise
        self._state = asyncio.get_running_loop().create_future()
        self._predecessor = HandoverLink(sock, _PredecessorHandler(self))
        return True

    async def wait_for_state(self) -> UpgradeState | None:
        """Returns the predecessor's state once it drains; None if it ended without sending a usable one."""
        return await self._state

    def state_received(self, text: bytes) -> None:
        """Handles the predecessor's state document."""
        if self._state.done():
            return
        try:
            self._state.set_result(upgrade_state.decode(text, time.monotonic()))
        except HandoverError as error:
            log.warning("the predecessor's state is not taken over: %s", error)
            self._state.set_result(None)

    def socket_received(self, sock: socket.socket) -> None:
        """Handles a listening socket or a client connection from the predecessor."""
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            self.listeners.append(sock)
        else:
            self.adopt(sock)

    def predecessor_disconnected(self) -> None:
        """Handles the end of the predecessor."""
        if self._predecessor and not self._state.done():
            log.warning("the predecessor ended without sending its state; starting as after a kill")
            self._state.set_result(None)

    def start_serving(self, adopt: Callable[[socket.socket], None]) -> None:
        """Passes connections to `adopt` from now on, and listens for a successor."""
        self.adopt = adopt
        while self._early_connections:
            adopt(self._early_connections.pop())
        try:
            self._listener = SuccessorListener(self._path, self._successor_connected)
        except OSError as error:
            log.warning("a successor will not be able to take over: %s", error)

    # --- As the predecessor -----------------------------------------------------------------------------
    def _successor_connected(self, sock: socket.socket) -> None:
        if self._successor:
            self._successor.close()
        self._successor = HandoverLink(sock, SuccessorHandler(self.successor_disconnected))
        self._successor.send_document(upgrade_state.encode(Hello(upgrade_state.VERSION, self._name)))
        log.info("a successor has connected; it takes over when this process receives SIGTERM")

    def successor_disconnected(self) -> None:
        """Handles the end of the successor."""
        self._successor = None
        if self._listener:
            log.warning("the successor ended")

    async def hand_over(self, predecessor: Predecessor) -> Callable[[int], bool] | None:
        """Hands the limiter's state to the successor.

        Returns the function that passes a connection on by its descriptor; None if there is no successor.
        """
        if (successor := self._successor) is None:
            return None
        state = predecessor.hand_state_over(successor.send_connection)
        successor.send_document(upgrade_state.encode(state))
        end = time.monotonic() + FLUSH_TIMEOUT_S
        while not successor.is_flushed and time.monotonic() < end:
            await asyncio.sleep(POLL_INTERVAL_S)
        return successor.send_connection

    def close(self) -> None:
        """Closes both links, the listener and all sockets that were received and not used."""
        if self._listener:
            self._listener.close()
            self._listener = None
        predecessor, self._predecessor = self._predecessor, None
        for link in (predecessor, self._successor):
            if link:
                link.close()
        for sock in [*self.listeners, *self._early_connections]:
            sock.close()


class _PredecessorHandler:
    """Handles what the predecessor sends."""

    def __init__(self, upgrade: Upgrade) -> None:
        self._upgrade = upgrade

    def document_received(self, document: bytes) -> None:
        self._upgrade.state_received(document)

    def connection_received(self, sock: socket.socket) -> None:
        self._upgrade.socket_received(sock)

    def request_completed(self, req_id: bytes) -> None:
        pass

    def link_closed(self) -> None:
        self._upgrade.predecessor_disconnected()
