"""Two processes of one limiter during an upgrade: what each hands to the other, and when."""

from __future__ import annotations

import asyncio
import logging
import socket
import time

from basaltpoint.fronts.platform.clients import ClientConnections
from basaltpoint.fronts.platform.limiter import Limiter
from basaltpoint.handover import platform_state, state
from basaltpoint.handover.link import HandoverLink, SuccessorHandler, SuccessorListener

log = logging.getLogger(__name__)

FLUSH_TIMEOUT_S = 0.3  # for what is queued to go over when nothing else is left to do


def read_predecessor_state(text: bytes) -> platform_state.PlatformState | None:
    """What an older process has left; None, and told, where it can't be taken over."""
    try:
        return platform_state.decode(text, time.monotonic())
    except platform_state.PlatformStateError as error:
        log.warning("the older process's state is not taken over: %s", error)
        return None


class PlatformUpgrade:
    """This process between the one before it and the one after it."""

    def __init__(
        self, limiter: Limiter, clients: ClientConnections, path: str, older: socket.socket | None
    ) -> None:
        self._limiter = limiter
        self._clients = clients
        self.started_s = time.monotonic()  # no connection lay longer on its way from the older process
        self._since = limiter.now()  # from here on own draws are not in what the older one told
        self._older = HandoverLink(older, _Older(self)) if older else None
        clients.connection_share = state.SHARED_FRACTION if older else 1.0
        self._successor: HandoverLink | None = None
        self._joined = False
        self._path = path
        self._listener: SuccessorListener | None = None
        self._listen_for_successor()

    def _listen_for_successor(self) -> None:
        if self._listener:
            self._listener.close()
        try:
            self._listener = SuccessorListener(self._path, self._successor_came)
        except OSError as error:
            self._listener = None
            log.warning("the next process will find nothing to take over: %s", error)

    # --- As the newer of two --------------------------------------------------------------------
    def predecessor_state_received(self, text: bytes) -> None:
        """The older one's last word: it takes nothing new any more."""
        gateway, now = self._limiter.decision_module, self._limiter.now()
        state.restore_full_limits(gateway, now)
        self._joined = True
        if (inherited := read_predecessor_state(text)) is None:
            return
        if bad := state.merge_customers(gateway, inherited.module.get("customers"), now, self._since):
            log.warning("%d customers of the older process could not be read", bad)
        self._limiter.reserve_ids(inherited.open_req_ids)
        log.info(
            "took over from the older process, which has %d requests in hand", len(inherited.open_req_ids)
        )

    def predecessor_disconnected(self) -> None:
        """The older one has gone."""
        self._older = None
        self._limiter.release_all_ids()
        self._clients.connection_share = 1.0 if self._successor is None else state.SHARED_FRACTION
        self._clients.listen()  # nobody else takes what comes, whether the list is confirmed by now or not
        if not self._joined:
            log.info("the older process ended without a last word")
            state.restore_full_limits(self._limiter.decision_module, self._limiter.now())

    # --- As the older of two --------------------------------------------------------------------
    def _successor_came(self, sock: socket.socket) -> None:
        if self._successor:
            self._successor.close()
        self._successor = HandoverLink(sock, SuccessorHandler(self.successor_disconnected))
        self._clients.connection_share = state.SHARED_FRACTION
        self._successor.send_document(platform_state.encode(self._limiter.state_for_successor(halved=True)))

    def successor_disconnected(self) -> None:
        """The newer one has ended before this one was told to: all goes on as it was."""
        self._successor = None
        if not self._clients.draining:
            log.warning("the newer process ended; this one goes on alone")
            self._listen_for_successor()  # the name was the newer one's
            self._clients.connection_share = 1.0
            state.restore_full_limits(self._limiter.decision_module, self._limiter.now())

    async def hand_over(self) -> None:
        """After SIGTERM: pass state and connections to the newer one, where there is one."""
        if (successor := self._successor) is None:
            return
        self._clients.stop_listening()
        successor.send_document(platform_state.encode(self._limiter.state_for_successor(halved=False)))
        self._limiter.on_request_ended = successor.send_request_completed
        await self._clients.hand_over(successor.send_connection)
        end = time.monotonic() + FLUSH_TIMEOUT_S
        while not successor.is_flushed and time.monotonic() < end:
            await asyncio.sleep(0.005)

    def close(self) -> None:
        if self._listener:
            self._listener.close()
        for link in (self._older, self._successor):
            if link:
                link.close()


class _Older:
    """What comes from the process before this one."""

    def __init__(self, upgrade: PlatformUpgrade) -> None:
        self._upgrade = upgrade

    def document_received(self, text: bytes) -> None:
        self._upgrade.predecessor_state_received(text)

    def connection_received(self, sock: socket.socket) -> None:
        self._upgrade._clients.adopt(sock, self._upgrade.started_s)

    def request_completed(self, name: bytes) -> None:
        self._upgrade._limiter.release_id(name)

    def link_closed(self) -> None:
        self._upgrade.predecessor_disconnected()
