"""A limiter's membership of its fleet: runs the membership state machine with connections and a clock.

It decides nothing itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import random
import secrets
import socket
import time
from collections.abc import Callable, Sequence
from typing import Any, TextIO

from basaltpoint.config.address import parse_address
from basaltpoint.config.fleets import FleetSettings
from basaltpoint.daemon.fleet_query import query_member
from basaltpoint.handover.upgrade_state import FleetPlace
from basaltpoint.links.connection_pool import ConnectionPool
from basaltpoint.links.frames import PROTOCOL_VERSION, FrameError, Greeting
from basaltpoint.links.listening import LinkListener
from basaltpoint.links.transport import Link, Tls
from basaltpoint.peers import actions as act
from basaltpoint.peers import messages as m
from basaltpoint.peers.messages import MemberRecord, MemberState
from basaltpoint.peers.options import MembershipOptions
from basaltpoint.peers.state_machine import MembershipStateMachine
from basaltpoint.system.listening import open_listener_when_free

log = logging.getLogger("basaltpoint")

BACKLOG = 128
# Added to timers: the event loop may call them early by its resolution, and an early tick only sets the timer
# again.
TIMER_MARGIN_S = 0.001
LEAVE_FLUSH_S = 0.2  # for the last messages to be sent
# A start waits so long to join the fleet. After that the limiter serves with the share it would have in a
# fleet of the maximum size, so that it exceeds no quota.
JOIN_TIMEOUT_S = 4.0
VIOLATION_LOG_INTERVAL_S = 10.0  # between two log lines about violations of the protocol by one member


class Fleet:
    """The membership of one limiter.

    `live_count_changed`: called with the number of live members whenever it changes. `must_end`: called with
    the reason if this process has to end.
    """

    def __init__(
        self,
        setting: FleetSettings,
        live_count_changed: Callable[[int], None],
        must_end: Callable[[str], None],
    ) -> None:
        self.setting = setting
        self._live_count_changed, self._must_end = live_count_changed, must_end
        self._tls = Tls.from_files(setting.tls_files)
        self.address = setting.table.advertise
        self.peers: MembershipStateMachine
        self._pool = ConnectionPool(
            self, self._greeting, self._tls, m.PEER_PROTOCOL, setting.table.connections
        )
        self._server: LinkListener | None = None
        self._listener: socket.socket
        self._timer: asyncio.TimerHandle | None = None
        self._name_check: asyncio.Task[None] | None = None
        self._journal: TextIO | None = None
        self._reported_live_count = 0
        self._store_members: Sequence[tuple[str, str]] = ()  # names and addresses; used as seeds
        self._violation_logged_s: dict[str, float] = {}  # by member, loop time
        self._violations: dict[str, str] = {}  # the last one, by member
        self._joined = asyncio.Event()
        self._loop: asyncio.AbstractEventLoop

    def _greeting(self) -> Greeting:
        return Greeting(PROTOCOL_VERSION, self.setting.cluster, self.setting.name, self.address)

    def _now_ms(self) -> float:
        # The loop's clock has a resolution of 1 ms, which is too coarse for round trips.
        return time.monotonic() * 1000.0

    # --- Start and end ----------------------------------------------------------------------------------
    async def start(
        self,
        place: FleetPlace | None = None,
        inherited_listener: socket.socket | None = None,
        store_members: Sequence[tuple[str, str]] = (),
    ) -> None:
        """Listens and joins the fleet; OSError if the address is not available.

        `place`, `inherited_listener`: this member's place in the fleet and its listening socket, from a
        predecessor. `store_members`: names and addresses of members that the store lists.
        """
        self._store_members = store_members
        self._loop = asyncio.get_running_loop()
        table = self.setting.table
        sock = inherited_listener or await open_listener_when_free(parse_address(table.listen), BACKLOG)
        self._listener = sock
        if not self.address:
            self.address = f"{table.listen.rpartition(':')[0]}:{sock.getsockname()[1]}"
        context = self._tls.server_context() if self._tls else None
        self._server = LinkListener(sock, self._pool.accept_link, context)
        if self.setting.journal:
            self._journal = open(self.setting.journal, "a", buffering=1)  # noqa: SIM115 - closed in close()
        options = MembershipOptions(
            probe_ms=table.probe_ms, silent_ms=table.silent_ms, max_members=table.most
        )
        self.peers = MembershipStateMachine(
            self.setting.name,
            self.address,
            secrets.randbits(53),
            int(time.time() * 1000),
            [*self.setting.seeds, *self._store_members],
            options,
            random.Random(secrets.randbits(64)),
            self._now_ms(),
        )
        if place:
            self.peers.take_over(self._now_ms(), (place.row, *place.rows), place.age_ms)
        if record := self.peers.view.get(self.setting.name):
            self._write_journal("start", record)
        self._run_actions()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(JOIN_TIMEOUT_S):
                await self._joined.wait()

    @property
    def live_count(self) -> int:
        """Members that share the quotas; the maximum while this one has not joined yet."""
        return self._reported_live_count if self._joined.is_set() else self.setting.table.most

    def hand_over(self, send: Callable[[int], bool]) -> FleetPlace | None:
        """Passes the listening socket with `send` and returns this member's place in the fleet.

        None if it has not joined, or if the socket can't be passed.
        """
        if (
            not self._server
            or self.peers.has_ended
            or not self._joined.is_set()
            or not send(self._listener.fileno())
        ):
            return None
        own, *others = self.peers.hand_over()
        return FleetPlace(own, tuple(others), self._now_ms() - self.peers.started_ms)

    async def leave(self) -> None:
        """Announces to the other members that this one leaves."""
        if self._server and not (self.peers.has_ended or self.peers.is_leaving):
            self.peers.leave(self._now_ms())
            self._run_actions()
            await asyncio.sleep(LEAVE_FLUSH_S)

    def close(self) -> None:
        """Closes the listener and all connections without announcing it."""
        if self._server:
            self._server.close()
        if self._timer:
            self._timer.cancel()
        if self._name_check:
            self._name_check.cancel()
        self._pool.close_all()
        if self._journal:
            self._journal.close()
            self._journal = None

    def update_setting(self, setting: FleetSettings) -> None:
        """Applies the seeds of a reloaded file."""
        self.setting = setting
        self.peers.set_seeds([*setting.seeds, *self._store_members])

    def set_store_members(self, members: Sequence[tuple[str, str]]) -> None:
        """Uses the members that the store lists like the file's seeds: names and addresses."""
        self._store_members = members
        self.update_setting(self.setting)
        self._run_actions()

    # --- Actions of the state machine -------------------------------------------------------------------
    def _run_actions(self) -> None:
        for action in self.peers.take_actions():
            match action:
                case act.Send():
                    self._pool.send(action.member, action.address, action.message)
                case act.MemberChanged():
                    self._member_changed(action)
                case act.CheckNameConflict():
                    self._name_check = self._loop.create_task(self._check_name_conflict(action.address))
                case act.ProtocolViolation():
                    self._violation_received(action.member, action.problem)
                case act.PauseDetected():
                    log.warning("fleet: this process was paused for %.1f s", action.duration_ms / 1000)
                case act.Terminate():
                    log.error("fleet: %s", action.reason)
                    self._must_end(action.reason)
        if self.peers.state is not MemberState.JOINING and not self._joined.is_set():
            self._joined.set()
            self._reported_live_count = 0
        if (
            self._joined.is_set()
            and self.peers.live_count != self._reported_live_count
            and not self.peers.is_leaving
        ):
            self._reported_live_count = self.peers.live_count
            self._live_count_changed(self._reported_live_count)
        if self._timer:
            self._timer.cancel()
            self._timer = None
        due = self.peers.next_timer_ms
        if due < float("inf"):
            wait_s = max(0.0, (due - self._now_ms()) / 1000.0)
            self._timer = self._loop.call_later(wait_s + TIMER_MARGIN_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.peers.tick(self._now_ms())
        self._run_actions()

    def _member_changed(self, change: act.MemberChanged) -> None:
        record, before = change.after, change.before
        if before is None or (before.state, before.incarnation) != (record.state, record.incarnation):
            reporter = (
                f", reported by {record.reported_by}"
                if record.reported_by and record.state > MemberState.ALIVE
                else ""
            )
            level = (
                logging.INFO
                if record.state in (MemberState.JOINING, MemberState.ALIVE, MemberState.LEFT)
                else logging.WARNING
            )
            log.log(level, "fleet: %s is %s%s", record.name, record.state.name.lower(), reporter)
            self._write_journal("saw", record)
        if not record.is_live and record.name != self.setting.name:
            self._pool.close_member(record.name)

    def _write_journal(self, event: str, record: MemberRecord) -> None:
        if self._journal:
            line = {
                "at_s": time.monotonic(),
                "what": event,
                "by": self.setting.name,
                "name": record.name,
                "incarnation": record.incarnation,
                "state": record.state.name.lower(),
            }
            self._journal.write(json.dumps(line) + "\n")

    def _violation_received(self, name: str, text: str) -> None:
        self._violations[name] = text
        now = self._loop.time()
        if now - self._violation_logged_s.get(name, -VIOLATION_LOG_INTERVAL_S) >= VIOLATION_LOG_INTERVAL_S:
            if len(self._violation_logged_s) >= self.setting.table.most:
                self._violation_logged_s.clear()
            self._violation_logged_s[name] = now
            log.warning("fleet: %s violates the protocol: %s", name, text)

    # --- Calls of the connections -------------------------------------------------------------------------
    def frame_received(self, link: Link, frame: Any) -> None:
        now, name = self._now_ms(), link.peer_name
        match frame:
            case m.ViewRequest() if not name:
                view = self.peers.describe_view(now, frame.request_id)
                link.send(
                    m.ViewResponse(
                        view.request_id, view.member, view.members, view.health_score, self._violation_texts()
                    )
                )
            case m.RemoveRequest() if not name:
                link.send(
                    m.RemoveResponse(frame.request_id, self.peers.remove_member(now, frame.name, frame.force))
                )
            case m.Ping() if name == self.setting.name:
                # Another process with this name checks whether it is in use.
                age_ms = now - self.peers.started_ms
                link.send(m.Ack((), frame.seq, self.peers.instance_id, age_ms))
            case m.UnknownMessage():
                return
            case m.Message() if (
                name and link.peer_greeting and not isinstance(frame, m.ViewRequest | m.RemoveRequest)
            ):
                self.peers.message_received(now, name, link.peer_greeting.address, frame)
            case _:
                raise FrameError(f"a {type(frame).__name__} that is not allowed here")
        self._run_actions()

    def _violation_texts(self) -> tuple[str, ...]:
        return tuple(f"{name}: {text}" for name, text in list(self._violations.items())[:8])

    def member_connected(self, name: str) -> None:
        self.peers.member_connected(self._now_ms(), name)
        self._run_actions()

    def connection_lost(self, name: str) -> None:
        self.peers.connection_lost(self._now_ms(), name)
        self._run_actions()

    def connection_evicted(self, name: str) -> None:
        self.peers.connection_evicted(name)

    def connection_refused(self, name: str) -> None:
        self.peers.connection_refused(self._now_ms(), name)
        self._run_actions()

    # --- Conflict of names --------------------------------------------------------------------------------
    async def _check_name_conflict(self, address: str) -> None:
        within_s = self.peers.options.name_check_timeout_ms / 1000
        try:
            ack = await query_member(
                self._tls, self._greeting(), self.setting.name, address, m.Ping(), m.Ack, within_s
            )
        except (OSError, TimeoutError):
            return
        self.peers.name_conflict_found(self._now_ms(), ack.instance_id, ack.age_ms)
        self._run_actions()
