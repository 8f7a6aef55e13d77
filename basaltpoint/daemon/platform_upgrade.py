"""Two processes of one limiter during an upgrade on the platform: what is handed over, and when."""

from __future__ import annotations

import asyncio
import logging
import socket
import time

from basaltpoint.fronts.platform.clients import ClientConnections
from basaltpoint.fronts.platform.limiter import Limiter
from basaltpoint.handover import platform_state, state
from basaltpoint.handover.id_claims import RequestIdClaims
from basaltpoint.handover.link import HandoverLink, SuccessorHandler, SuccessorListener, shared_path

log = logging.getLogger(__name__)

FLUSH_TIMEOUT_S = 0.3  # for queued data to reach the successor once everything else is done


def open_claims(folder: str | None, name: str) -> RequestIdClaims | None:
    """Opens the file of claimed Req-Ids; None without a folder, or, with the reason logged, if it can't."""
    if not folder:
        return None
    try:
        return RequestIdClaims(shared_path(folder, name, "ids"))
    except OSError as error:
        log.error("open requests can't be shared with another process: %s", error)
        return None


def read_predecessor_state(text: bytes) -> platform_state.PlatformState | None:
    """Decodes the predecessor's state; logs the reason and returns None if it can't be taken over."""
    try:
        return platform_state.decode(text, time.monotonic())
    except platform_state.PlatformStateError as error:
        log.warning("the predecessor's state is not taken over: %s", error)
        return None


class PlatformUpgrade:
    """The handover of one process: from its predecessor, then to its successor.

    While both processes serve, each has half of the ceilings, quotas and server allowances of the limiter.
    """

    def __init__(
        self,
        limiter: Limiter,
        clients: ClientConnections,
        path: str,
        predecessor_socket: socket.socket | None,
    ) -> None:
        self._limiter = limiter
        self._clients = clients
        self.started_s = time.monotonic()  # connections from the predecessor are sent after this
        self._started_ms = limiter.now()  # this process's draws since then are not in the predecessor's state
        self._predecessor = (
            HandoverLink(predecessor_socket, _PredecessorHandler(self)) if predecessor_socket else None
        )
        self._successor: HandoverLink | None = None
        self._has_final_state = False
        self._path = path
        self._listener: SuccessorListener | None = None
        self._share_resources()
        self._listen_for_successor()

    def _share_resources(self) -> None:
        """Divides memory and descriptors, which count for all processes of a limiter together."""
        is_shared = self._predecessor is not None or self._successor is not None
        share = state.SHARED_FRACTION if is_shared else 1.0
        self._clients.limit_share = share
        self._limiter.limit_server_connections(share)
        if claims := self._limiter.claims:
            claims.is_shared = is_shared

    def _listen_for_successor(self) -> None:
        if self._listener:
            self._listener.close()
        try:
            self._listener = SuccessorListener(self._path, self._successor_connected)
        except OSError as error:
            self._listener = None
            log.warning("a successor will not be able to take over: %s", error)

    # --- As the successor -----------------------------------------------------------------------
    def predecessor_state_received(self, text: bytes) -> None:
        """Takes over the predecessor's final state; the predecessor accepts no more requests."""
        decision_module, now = self._limiter.decision_module, self._limiter.now()
        state.restore_full_limits(decision_module, now)
        self._has_final_state = True
        if (inherited := read_predecessor_state(text)) is None:
            return
        if unreadable := state.merge_customers(
            decision_module, inherited.module.get("customers"), now, self._started_ms
        ):
            log.warning("%d customers in the predecessor's state could not be read", unreadable)
        self._limiter.reserve_ids(inherited, is_final=True)
        log.info("took over from the predecessor, which has %d open requests", len(inherited.open_req_ids))

    def predecessor_disconnected(self) -> None:
        """Handles the end of the predecessor: this process serves alone."""
        self._predecessor = None
        self._share_resources()
        self._limiter.predecessor_ended()
        # No other process accepts connections now, so this one does even if the server list is unconfirmed.
        self._clients.listen()
        if not self._has_final_state:
            log.info("the predecessor ended without sending its final state")
            state.restore_full_limits(self._limiter.decision_module, self._limiter.now())

    # --- As the predecessor ---------------------------------------------------------------------
    def _successor_connected(self, sock: socket.socket) -> None:
        if self._successor:
            self._successor.close()
        self._successor = HandoverLink(sock, SuccessorHandler(self.successor_disconnected))
        self._share_resources()
        self._successor.send_document(
            platform_state.encode(self._limiter.state_for_successor(final_for_ms=None))
        )

    def successor_disconnected(self) -> None:
        """Handles the end of the successor; unless this process drains, it serves alone again."""
        self._successor = None
        self._share_resources()
        if not self._clients.draining:
            log.warning("the successor ended; this process continues alone")
            self._listen_for_successor()  # the successor had taken the socket's path over
            state.restore_full_limits(self._limiter.decision_module, self._limiter.now())

    async def hand_over(self) -> None:
        """After SIGTERM, passes state and connections to the successor, if there is one."""
        if (successor := self._successor) is None:
            return
        self._clients.stop_listening()
        final_state = self._limiter.state_for_successor(self._clients.sigkill_after_s * 1000)
        successor.send_document(platform_state.encode(final_state))
        self._limiter.on_request_ended = successor.send_request_completed
        await self._clients.hand_over(successor.send_connection)
        end = time.monotonic() + FLUSH_TIMEOUT_S
        while not successor.is_flushed and time.monotonic() < end:
            await asyncio.sleep(0.005)

    def close(self) -> None:
        """Closes the listener and both links."""
        if self._listener:
            self._listener.close()
        for link in (self._predecessor, self._successor):
            if link:
                link.close()


class _PredecessorHandler:
    """Handles what the predecessor sends."""

    def __init__(self, upgrade: PlatformUpgrade) -> None:
        self._upgrade = upgrade

    def document_received(self, text: bytes) -> None:
        self._upgrade.predecessor_state_received(text)

    def connection_received(self, sock: socket.socket) -> None:
        self._upgrade._clients.adopt(sock, self._upgrade.started_s)

    def request_completed(self, req_id: bytes) -> None:
        self._upgrade._limiter.release_id(req_id)

    def link_closed(self) -> None:
        self._upgrade.predecessor_disconnected()
