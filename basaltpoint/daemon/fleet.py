"""A limiter's place among others: the peers' machine with its connections and clock. It decides nothing."""

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
TIMER_S = 0.001  # what the loop rounds off: a call ahead of its time would only be made again
LEAVE_S = 0.2  # for the last word to go out
JOIN_S = 4.0  # a start waits so long for a place; then it begins on the safe side
LOUD_S = 10.0  # between two lines about one member that sends what it may not


class Fleet:
    """One limiter's membership. `changed` hears of each change of the number of members, `ended` why the
    process can't go on."""

    def __init__(
        self, setting: FleetSettings, changed: Callable[[int], None], ended: Callable[[str], None]
    ) -> None:
        self.setting = setting
        self._changed, self._ended = changed, ended
        self._tls = Tls.from_files(setting.tls_files)
        self.address = setting.table.advertise
        self.peers: MembershipStateMachine
        self._pool = ConnectionPool(
            self, self._greeting, self._tls, m.PEER_PROTOCOL, setting.table.connections
        )
        self._server: LinkListener | None = None
        self._sock: socket.socket
        self._timer: asyncio.TimerHandle | None = None
        self._asking: asyncio.Task[None] | None = None
        self._journal: TextIO | None = None
        self._live = 0
        self._present: Sequence[tuple[str, str]] = ()  # seeds that the store tells of
        self._loud: dict[str, float] = {}
        self._problems: dict[str, str] = {}
        self._joined = asyncio.Event()
        self._loop: asyncio.AbstractEventLoop

    def _greeting(self) -> Greeting:
        return Greeting(PROTOCOL_VERSION, self.setting.cluster, self.setting.name, self.address)

    def _now(self) -> float:
        return time.monotonic() * 1000.0  # the loop's own clock tells whole milliseconds: no round trip

    # --- Start and end ----------------------------------------------------------------------------------
    async def start(
        self,
        place: FleetPlace | None = None,
        held: socket.socket | None = None,
        present: Sequence[tuple[str, str]] = (),
    ) -> None:
        """Listen, and find the others; OSError where that can't be.

        `place`, `held`: this member's place among the others and its listening socket, from an older process.
        `present`: members that the store tells of.
        """
        self._present = present
        self._loop = asyncio.get_running_loop()
        table = self.setting.table
        sock = held or await open_listener_when_free(parse_address(table.listen), BACKLOG)
        self._sock = sock
        if not self.address:
            self.address = f"{table.listen.rpartition(':')[0]}:{sock.getsockname()[1]}"
        context = self._tls.server_context() if self._tls else None
        self._server = LinkListener(sock, self._pool.accept_link, context)
        if self.setting.journal:
            self._journal = open(self.setting.journal, "a", buffering=1)  # noqa: SIM115 - until close
        options = MembershipOptions(
            probe_ms=table.probe_ms, silent_ms=table.silent_ms, max_members=table.most
        )
        self.peers = MembershipStateMachine(
            self.setting.name,
            self.address,
            secrets.randbits(53),
            int(time.time() * 1000),
            [*self.setting.seeds, *self._present],
            options,
            random.Random(secrets.randbits(64)),
            self._now(),
        )
        if place:
            self.peers.take_over(self._now(), (place.row, *place.rows), place.age_ms)
        if row := self.peers.view.get(self.setting.name):
            self._note("start", row)
        self._turn()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(JOIN_S):
                await self._joined.wait()

    @property
    def live_count(self) -> int:
        """Members to deal a quota among; the most there may be while this one has no place yet."""
        return self._live if self._joined.is_set() else self.setting.table.most

    def hand_over(self, send: Callable[[int], bool]) -> FleetPlace | None:
        """Pass the listening socket and this member's place on; None where it has none, or can't."""
        if (
            not self._server
            or self.peers.has_ended
            or not self._joined.is_set()
            or not send(self._sock.fileno())
        ):
            return None
        own, *rows = self.peers.hand_over()
        return FleetPlace(own, tuple(rows), self._now() - self.peers.started_ms)

    async def leave(self) -> None:
        """Tell the others that this one goes."""
        if self._server and not (self.peers.has_ended or self.peers.is_leaving):
            self.peers.leave(self._now())
            self._turn()
            await asyncio.sleep(LEAVE_S)

    def close(self) -> None:
        """End at once."""
        if self._server:
            self._server.close()
        if self._timer:
            self._timer.cancel()
        if self._asking:
            self._asking.cancel()
        self._pool.close_all()
        if self._journal:
            self._journal.close()
            self._journal = None

    def update_setting(self, setting: FleetSettings) -> None:
        """Other seeds from now on."""
        self.setting = setting
        self.peers.set_seeds([*setting.seeds, *self._present])

    def set_store_members(self, members: Sequence[tuple[str, str]]) -> None:
        """Members that the store tells of, to be asked like the file's seeds: names and addresses."""
        self._present = members
        self.update_setting(self.setting)
        self._turn()

    # --- The machine's turn -----------------------------------------------------------------------------
    def _turn(self) -> None:
        for action in self.peers.take_actions():
            match action:
                case act.Send():
                    self._pool.send(action.member, action.address, action.message)
                case act.MemberChanged():
                    self._saw(action)
                case act.CheckNameConflict():
                    self._asking = self._loop.create_task(self._rival(action.address))
                case act.ProtocolViolation():
                    self._named(action.member, action.problem)
                case act.PauseDetected():
                    log.warning("fleet: this process stood still for %.1f s", action.duration_ms / 1000)
                case act.Terminate():
                    log.error("fleet: %s", action.reason)
                    self._ended(action.reason)
        if self.peers.state is not MemberState.JOINING and not self._joined.is_set():
            self._joined.set()
            self._live = 0
        if self._joined.is_set() and self.peers.live_count != self._live and not self.peers.is_leaving:
            self._live = self.peers.live_count
            self._changed(self._live)
        if self._timer:
            self._timer.cancel()
            self._timer = None
        due = self.peers.next_timer_ms
        if due < float("inf"):
            wait_s = max(0.0, (due - self._now()) / 1000.0)
            self._timer = self._loop.call_later(wait_s + TIMER_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.peers.tick(self._now())
        self._turn()

    def _saw(self, change: act.MemberChanged) -> None:
        row, before = change.after, change.before
        if before is None or (before.state, before.incarnation) != (row.state, row.incarnation):
            why = f", says {row.reported_by}" if row.reported_by and row.state > MemberState.ALIVE else ""
            level = (
                logging.INFO
                if row.state in (MemberState.JOINING, MemberState.ALIVE, MemberState.LEFT)
                else logging.WARNING
            )
            log.log(level, "fleet: %s is %s%s", row.name, row.state.name.lower(), why)
            self._note("saw", row)
        if not row.is_live and row.name != self.setting.name:
            self._pool.close_member(row.name)

    def _note(self, what: str, row: MemberRecord) -> None:
        if self._journal:
            line = {
                "at_s": time.monotonic(),
                "what": what,
                "by": self.setting.name,
                "name": row.name,
                "incarnation": row.incarnation,
                "state": row.state.name.lower(),
            }
            self._journal.write(json.dumps(line) + "\n")

    def _named(self, name: str, text: str) -> None:
        self._problems[name] = text
        now = self._loop.time()
        if now - self._loud.get(name, -LOUD_S) >= LOUD_S:
            if len(self._loud) >= self.setting.table.most:
                self._loud.clear()
            self._loud[name] = now
            log.warning("fleet: %s sent what it may not: %s", name, text)

    # --- What connections report --------------------------------------------------------------------------
    def frame_received(self, link: Link, frame: Any) -> None:
        now, name = self._now(), link.peer_name
        match frame:
            case m.ViewRequest() if not name:
                looked = self.peers.describe_view(now, frame.request_id)
                link.send(
                    m.ViewResponse(
                        looked.request_id, looked.member, looked.members, looked.health_score, self._told()
                    )
                )
            case m.RemoveRequest() if not name:
                link.send(
                    m.RemoveResponse(frame.request_id, self.peers.remove_member(now, frame.name, frame.force))
                )
            case m.Ping() if name == self.setting.name:
                # Another process of this name asks who is here.
                age = now - self.peers.started_ms
                link.send(m.Ack((), frame.seq, self.peers.instance_id, age))
            case m.UnknownMessage():
                return
            case m.Message() if (
                name and link.peer_greeting and not isinstance(frame, m.ViewRequest | m.RemoveRequest)
            ):
                self.peers.message_received(now, name, link.peer_greeting.address, frame)
            case _:
                raise FrameError(f"a {type(frame).__name__} that is not allowed here")
        self._turn()

    def _told(self) -> tuple[str, ...]:
        return tuple(f"{name}: {text}" for name, text in list(self._problems.items())[:8])

    def member_connected(self, name: str) -> None:
        self.peers.member_connected(self._now(), name)
        self._turn()

    def connection_lost(self, name: str) -> None:
        self.peers.connection_lost(self._now(), name)
        self._turn()

    def connection_evicted(self, name: str) -> None:
        self.peers.connection_evicted(name)

    def connection_refused(self, name: str) -> None:
        self.peers.connection_refused(self._now(), name)
        self._turn()

    # --- A name that another process has ------------------------------------------------------------------
    async def _rival(self, address: str) -> None:
        within_s = self.peers.options.name_check_timeout_ms / 1000
        try:
            ack = await query_member(
                self._tls, self._greeting(), self.setting.name, address, m.Ping(), m.Ack, within_s
            )
        except (OSError, TimeoutError):
            return
        self.peers.name_conflict_found(self._now(), ack.instance_id, ack.age_ms)
        self._turn()
