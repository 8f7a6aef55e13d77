"""A replica process: sockets, timers and clock around `Node`, which holds all the protocol logic."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from basaltpoint.config.address import parse_address
from basaltpoint.config.storage import SOCKET_NAME
from basaltpoint.links.frames import PROTOCOL_VERSION, Greeting
from basaltpoint.links.listening import LinkListener
from basaltpoint.links.transport import Link, Reconnector, Tls
from basaltpoint.store import protocol as p
from basaltpoint.store import state_machine as kv
from basaltpoint.store.files import CrashPoint, OsFiles, no_crash_point
from basaltpoint.store.folder import ReplicaFolder
from basaltpoint.store.messages import Member, Membership, Message
from basaltpoint.store.node import Node, StorageLimits
from basaltpoint.store.raft import BusyError, RaftOptions, RefusedError
from basaltpoint.system.listening import open_listener_when_free

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 128
SNAPSHOT_SLICE_INTERVAL_S = 0.004  # between two slices of a snapshot, so that messages are handled in between
READ_TIMEOUT_S = 2.0  # for the leader to confirm its leadership; after this the client retries
FORWARD_TIMEOUT_S = 5.0  # for the leader's response to a forwarded request
MAX_WATCHES_PER_CONNECTION = 1000
STAMP_RETRY_INTERVAL_MS = 1000.0  # between two attempts to write the folder's stamp


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """Settings of one replica."""

    name: str
    cluster: str
    folder: Path
    listen_address: str = ""  # HOST:PORT for replicas and clients; empty: only the Unix socket in the folder
    # Members of a new cluster; empty if the replica is to be added to an existing one.
    initial_membership: Membership = Membership()  # noqa: RUF009 - immutable
    tls: Tls | None = None
    raft_options: RaftOptions = RaftOptions()  # noqa: RUF009 - immutable
    limits: StorageLimits = StorageLimits()  # noqa: RUF009 - immutable
    advertised_address: str = ""  # sent to the other replicas; empty: `listen_address`


@dataclass(slots=True)
class _Watch:
    link: Link
    request: p.Watch
    sent_revision: int = 0  # the client has all events up to this revision


@dataclass(slots=True)
class _ForwardedRequest:
    link: Link
    ident: int
    leader: str
    timer: asyncio.TimerHandle | None = None


class Replica:
    """One replica on one event loop."""

    def __init__(
        self, settings: ReplicaSettings, crash_point: CrashPoint = no_crash_point, seed: int | None = None
    ) -> None:
        """Raises FolderError, CorruptionError or OSError if the folder can't be used."""
        self.settings = settings
        self.folder = ReplicaFolder(settings.folder, settings.cluster, settings.name)
        self._files = OsFiles(self.folder.log)
        rng = random.Random(seed)
        self.node = Node(
            settings.name,
            self._files,
            rng,
            self._now_ms(),
            self._send,
            options=settings.raft_options,
            limits=settings.limits,
            initial=settings.initial_membership if settings.initial_membership.members else None,
            may_be_stale=self.folder.may_be_stale,
            crash_point=crash_point,
        )
        self.node.on_state_changed = self._state_changed
        self.address = settings.advertised_address or settings.listen_address
        self._reconnectors: dict[str, Reconnector] = {}
        # By name: replicas that connected and are not members yet.
        self._greeted_addresses: dict[str, str] = {}
        self._links: set[Link] = set()
        self._watches: dict[tuple[Link, int], _Watch] = {}
        self._dumps: dict[Link, bytes] = {}
        self._forwarded: dict[int, _ForwardedRequest] = {}
        self._last_forward_number = 0
        self._last_leader = ""  # the leader as of the last turn; empty if unknown
        self._liveness_requests: set[Link] = set()  # connections with an unanswered liveness check
        self._listeners: list[asyncio.Server | LinkListener] = []
        self._timer: asyncio.TimerHandle | None = None
        self._turn_scheduled = False
        self._next_stamp_ms = 0.0  # time of the next attempt after a failed write
        self._last_current_ms = 0.0  # when this replica last knew a leader
        self._loop: asyncio.AbstractEventLoop

    @staticmethod
    def _now_ms() -> float:
        return time.monotonic() * 1000.0

    # --- Start and stop -------------------------------------------------------------------------------
    async def start(self) -> None:
        """Starts to listen; raises OSError if that fails."""
        self._loop = asyncio.get_running_loop()
        path = self.settings.folder / SOCKET_NAME
        path.unlink(missing_ok=True)
        mask = os.umask(0o177)  # access to the socket grants write access to the store
        try:
            self._listeners.append(
                await self._loop.create_unix_server(
                    lambda: Link(self, self._greeting(), True, p.STORE_PROTOCOL), str(path)
                )
            )
        finally:
            os.umask(mask)
        if self.settings.listen_address:
            sock = await open_listener_when_free(parse_address(self.settings.listen_address), LISTEN_BACKLOG)
            if not self.settings.advertised_address:
                self.address = f"{self.settings.listen_address.rpartition(':')[0]}:{sock.getsockname()[1]}"
            context = self.settings.tls.server_context() if self.settings.tls else None
            self._listeners.append(LinkListener(sock, self._new_link, context))
        self._schedule_turn()

    def _new_link(self) -> Link:
        """Returns the protocol of a TCP connection to a replica or client."""
        return Link(self, self._greeting(), False, p.STORE_PROTOCOL, without_tls=self.settings.tls is None)

    def _greeting(self) -> Greeting:
        return Greeting(PROTOCOL_VERSION, self.settings.cluster, self.settings.name, self.address)

    def close(self) -> None:
        """Closes all connections and files. Everything acknowledged is already on disk."""
        for listener in self._listeners:
            listener.close()
        for reconnector in self._reconnectors.values():
            reconnector.close()
        for link in list(self._links):
            link.close()
        if self._timer:
            self._timer.cancel()
        self._files.close()
        self.folder.close()
        with suppress(OSError):
            (self.settings.folder / SOCKET_NAME).unlink()

    # --- Turns of the node --------------------------------------------------------------------------------
    def _schedule_turn(self) -> None:
        """Runs the node after all events of this event loop iteration, so that they share one disk sync."""
        if not self._turn_scheduled:
            self._turn_scheduled = True
            self._loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._turn_scheduled = False
        self.node.tick(self._now_ms())
        self.node.process_output()
        if self.folder.may_be_stale and not self.node.failure:
            self._write_stamp()  # the node has recorded durably that the folder may be stale
        self._update_reconnectors()
        if self.node.raft.leader:
            self._last_current_ms = self._now_ms()
        if self._forwarded and self._last_leader != self.node.raft.leader:
            # The leader that was to respond was replaced or has stopped: tell the client now, so that it
            # retries.
            for number, forwarded in list(self._forwarded.items()):
                if forwarded.leader != self.node.raft.leader:
                    self._end_forwarded_as_unknown(number)
        self._last_leader = self.node.raft.leader
        if self._timer:
            self._timer.cancel()
            self._timer = None
        wait = (
            SNAPSHOT_SLICE_INTERVAL_S
            if self.node.is_writing_snapshot
            else max(0.0, (self.node.next_tick_ms - self._now_ms()) / 1000.0)
        )
        self._timer = self._loop.call_later(wait, self._schedule_turn)

    def _write_stamp(self) -> None:
        """Marks this copy of the folder as current; until the stamp is on disk, it may be stale."""
        if self._now_ms() < self._next_stamp_ms:
            return
        try:
            self.folder.write_stamp()
        except OSError as error:
            self._next_stamp_ms = self._now_ms() + STAMP_RETRY_INTERVAL_MS
            log.error("store: the folder's stamp can't be written: %s; retrying", error)

    def _update_reconnectors(self) -> None:
        """Keeps one outgoing connection to each member and to each replica that has connected as a
        non-member.
        """
        members = self.node.raft.membership
        wanted = dict(self._greeted_addresses)
        wanted.update({member.name: member.address for member in members.members if member.address})
        wanted.pop(self.settings.name, None)
        for name, reconnector in list(self._reconnectors.items()):
            if wanted.get(name) != reconnector.address:
                reconnector.close()
                del self._reconnectors[name]
        for name, address in wanted.items():
            if name not in self._reconnectors:
                self._reconnectors[name] = Reconnector(self._new_link, name, address, self.settings.tls)

    def _send(self, to: str, message: Message) -> None:
        if reconnector := self._reconnectors.get(to):
            reconnector.send(p.ReplicaMessage(message))  # type: ignore[arg-type]

    # --- Connections ------------------------------------------------------------------------------------
    def greeting_received(self, link: Link) -> bool:
        self._links.add(link)
        other = link.peer_greeting
        if other and other.name and other.address and other.name not in self.node.raft.membership.names:
            self._greeted_addresses[other.name] = other.address
            self._update_reconnectors()
        return True

    def link_closed(self, link: Link) -> None:
        self._links.discard(link)
        self._dumps.pop(link, None)
        for key in [key for key in self._watches if key[0] is link]:
            del self._watches[key]
        if link.peer_name and not any(other.peer_name == link.peer_name for other in self._links):
            self._greeted_addresses.pop(link.peer_name, None)
            for number, forwarded in list(self._forwarded.items()):
                if forwarded.leader == link.peer_name:
                    self._end_forwarded_as_unknown(number)

    def frame_received(self, link: Link, frame: p.AnyFrame) -> None:
        match frame:
            case p.ReplicaMessage() if link.peer_name:
                self.node.step(self._now_ms(), link.peer_name, frame.message)
            case p.ForwardedRequest() if link.peer_name:
                self._serve(link, frame.request, frame.ident)
            case p.ForwardedResponse() if link.peer_name:
                if forwarded := self._forwarded.pop(frame.ident, None):
                    self._end_forwarded(forwarded, frame.result)
            case p.ExecuteCommand() | p.ChangeMembership() | p.TransferLeadership():
                self._serve_or_forward(link, frame)
            case p.Get():
                self._get_page(link, frame)
            case p.Watch():
                self._add_watch(link, frame)
            case p.CancelWatch():
                self._watches.pop((link, frame.ident), None)
            case p.GetStatus() if not frame.ident:
                self._confirm_liveness(link)
            case p.GetStatus():
                link.send(self.status(frame.ident))
            case p.TakeSnapshot():
                self._take_snapshot(link, frame)
            case p.DumpState():
                self._dump_state(link, frame)
            case _:
                log.warning("store: unexpected %s frame; closing the connection", type(frame).__name__)
                link.close()
        self._schedule_turn()

    # --- Commands ---------------------------------------------------------------------------------------
    def _serve_or_forward(
        self, link: Link, request: p.ExecuteCommand | p.ChangeMembership | p.TransferLeadership
    ) -> None:
        """Serves a client's request if this replica leads; otherwise forwards it to the leader."""
        raft = self.node.raft
        if (
            isinstance(request, p.ExecuteCommand)
            and (size := _command_size_bytes(request.command)) > p.MAX_COMMAND_BYTES
        ):
            text = f"found a command of {size} bytes; allowed: {p.MAX_COMMAND_BYTES}"
            link.send(p.CommandResponse(request.ident, self._result("limit", text)))
            return
        if self.node.is_leader or self.node.failure:
            self._serve(link, request, None)
            return
        reconnector = self._reconnectors.get(raft.leader)
        self._last_forward_number += 1
        number = self._last_forward_number
        if reconnector is None or not reconnector.send(p.ForwardedRequest(number, request)):
            link.send(p.CommandResponse(request.ident, self._result("unavailable", "no leader is known")))
            return
        forwarded = self._forwarded[number] = _ForwardedRequest(link, request.ident, raft.leader)
        forwarded.timer = self._loop.call_later(FORWARD_TIMEOUT_S, self._end_forwarded_as_unknown, number)

    def _end_forwarded_as_unknown(self, number: int) -> None:
        if forwarded := self._forwarded.pop(number, None):
            self._end_forwarded(forwarded, self._result("unknown", "the leader has not answered"))

    def _end_forwarded(self, forwarded: _ForwardedRequest, result: kv.Result) -> None:
        if forwarded.timer:
            forwarded.timer.cancel()
        forwarded.link.send(p.CommandResponse(forwarded.ident, result))

    def _result(self, error: str, text: str) -> kv.Result:
        return kv.Result(self.node.state_machine.state.revision, error, text)

    def _serve(
        self,
        link: Link,
        request: p.ExecuteCommand | p.ChangeMembership | p.TransferLeadership,
        forward_number: int | None,
    ) -> None:
        """Serves a request as leader; `forward_number` is set if a follower forwarded it."""

        def done(result: kv.Result | None) -> None:
            response = result or self._result("unknown", "the leadership changed meanwhile")
            if forward_number is not None:
                name = link.peer_name
                if (reconnector := self._reconnectors.get(name)) is not None:
                    reconnector.send(p.ForwardedResponse(forward_number, response))
            else:
                link.send(p.CommandResponse(request.ident, response))

        now = self._now_ms()
        try:
            match request:
                case p.ExecuteCommand():
                    self.node.propose(now, request.command, done)
                case p.ChangeMembership():
                    self.node.change_membership(now, self._changed_membership(request), done)
                case p.TransferLeadership():
                    self.node.raft.transfer_leadership(now, request.name)
                    done(self._result("", ""))
        except RefusedError as refusal:
            is_final = (
                self.node.is_leader
                and not isinstance(request, p.ExecuteCommand)
                and not isinstance(refusal, BusyError)
            )
            text = self.node.failure or str(refusal)
            done(self._result("refused" if is_final else "unavailable", text))

    def _changed_membership(self, request: p.ChangeMembership) -> Membership:
        """Returns the membership after a change; raises RefusedError if the change is not possible."""
        members = list(self.node.raft.membership.members)
        index = next((at for at, member in enumerate(members) if member.name == request.name), None)
        if request.action == "add":
            if index is not None:
                raise RefusedError(f"{request.name} is a member already")
            members.append(Member(request.name, request.address, voter=False))
        elif index is None:
            raise RefusedError(
                f"{request.name} is no member; members are {', '.join(m.name for m in members)}"
            )
        elif request.action == "promote":
            members[index] = Member(members[index].name, members[index].address)
        elif request.action == "remove":
            del members[index]
        else:
            raise RefusedError(f"found the change {request.action!r}; allowed: add, promote, remove")
        return Membership(tuple(members))

    def _take_snapshot(self, link: Link, frame: p.TakeSnapshot) -> None:
        if (
            self.node.raft.applied_index > self.node.raft.log.snapshot.index
            and not self.node.is_writing_snapshot
        ):
            self.node.start_snapshot()
        link.send(p.CommandResponse(frame.ident, self._result("", "")))

    def _dump_state(self, link: Link, frame: p.DumpState) -> None:
        def send_chunk() -> None:
            data = self._dumps.get(link, b"")
            chunk = data[frame.offset : frame.offset + p.PAGE_BYTES]
            if frame.offset + p.PAGE_BYTES >= len(data):
                self._dumps.pop(link, None)
            link.send(p.DumpChunk(frame.ident, len(data), chunk))

        def done(is_current: bool) -> None:
            if is_current:
                self._dumps[link] = self.node.state_machine.serialize()
                send_chunk()
            else:
                link.send(p.DumpChunk(frame.ident, 0, b"", "unavailable"))

        if frame.offset:
            send_chunk()
        else:
            self._when_current(done)

    # --- Reads and watches ---------------------------------------------------------------------------------
    def _when_current(self, done: Callable[[bool], None]) -> None:
        """Calls `done(True)` once the local state is confirmed as current, `done(False)` on failure."""

        def finish(is_current: bool) -> None:
            timer.cancel()
            done(is_current)

        def time_out() -> None:
            self.node.cancel_read(token)
            done(False)

        timer = self._loop.call_later(READ_TIMEOUT_S, time_out)
        try:
            token = self.node.read(self._now_ms(), finish)
        except RefusedError:
            finish(False)

    def _confirm_liveness(self, link: Link) -> None:
        """Answers a liveness check once the local state is confirmed as current.

        A replica that is running but cut off from the leader must not look alive: its clients would wait for
        it.
        """
        self._liveness_requests.add(link)
        if len(self._liveness_requests) > 1:
            return  # one confirmation in progress serves all

        def done(is_current: bool) -> None:
            waiting, self._liveness_requests = self._liveness_requests, set()
            for link in waiting if is_current else ():
                link.send(self.status())

        self._when_current(done)

    def _get_page(self, link: Link, frame: p.Get) -> None:
        def done(is_current: bool) -> None:
            link.send(
                self._build_page(frame) if is_current else p.Page(frame.ident, 0, {}, error="unavailable")
            )

        if frame.local:
            done(True)
        else:
            self._when_current(done)

    def _build_page(self, frame: p.Get) -> p.Page:
        state_machine = self.node.state_machine
        keys = state_machine.keys_with_prefix(frame.prefix)
        if frame.exact:
            keys = [frame.prefix] if frame.prefix in state_machine.state.values else []
        values: dict[str, kv.Value] = {}
        remaining_bytes, has_more = p.PAGE_BYTES, False
        for key in keys:
            if key <= frame.after and frame.after:
                continue
            if remaining_bytes <= 0:
                has_more = True
                break
            values[key] = state_machine.state.values[key]
            remaining_bytes -= len(key) + len(values[key].value) + 32
        return p.Page(frame.ident, state_machine.state.revision, values, has_more, "", self.age_ms)

    @property
    def age_ms(self) -> float:
        """Time since this replica last knew a leader; 0 while it knows one."""
        return 0.0 if self.node.raft.leader else self._now_ms() - self._last_current_ms

    def _add_watch(self, link: Link, frame: p.Watch) -> None:
        if sum(key[0] is link for key in self._watches) >= MAX_WATCHES_PER_CONNECTION:
            link.send(p.WatchEvents(frame.ident, 0, (), compacted=-1))
            return
        watch = self._watches[link, frame.ident] = _Watch(link, frame, frame.revision - 1)
        self._send_events(watch, is_first=True)

    def _state_changed(self) -> None:
        for watch in list(self._watches.values()):
            self._send_events(watch)

    def _send_events(self, watch: _Watch, is_first: bool = False) -> None:
        """Sends the events since the last ones sent. A client that does not read is disconnected."""
        state_machine = self.node.state_machine
        revision = state_machine.state.revision
        if revision <= watch.sent_revision and not is_first:
            return
        try:
            events = (
                state_machine.events_since(watch.sent_revision + 1, watch.request.prefix)
                if watch.sent_revision < revision
                else []
            )
        except kv.CompactedError as error:
            del self._watches[watch.link, watch.request.ident]
            watch.link.send(p.WatchEvents(watch.request.ident, revision, (), compacted=error.oldest_revision))
            return
        watch.sent_revision = max(watch.sent_revision, revision)
        ident = watch.request.ident
        for batch, upto in _split_events(events, revision):
            if not watch.link.send(p.WatchEvents(ident, upto, batch)):
                watch.link.close()
                return
        if is_first and not events:
            watch.link.send(p.WatchEvents(ident, revision, ()))

    def status(self, ident: int = 0) -> p.ReplicaStatus:
        """Returns the status of this replica."""
        node, raft = self.node, self.node.raft
        state = node.state_machine.state
        return p.ReplicaStatus(
            ident,
            self.settings.name,
            self.settings.cluster,
            raft.role.value,
            raft.leader,
            raft.hard_state.term,
            raft.commit_index,
            raft.applied_index,
            raft.log.last_index,
            state.revision,
            state.size_bytes,
            raft.membership,
            raft.hard_state.recovering,
            node.failure,
            self.age_ms,
            {name: progress.match_index for name, progress in raft.progress.items()}
            if node.is_leader
            else {},
        )


def _command_size_bytes(command: kv.Command) -> int:
    """Returns the approximate size of a command."""
    if not isinstance(command.action, kv.Transaction):
        return 0
    return sum(
        len(op.key) + (len(op.value) if isinstance(op, kv.Put) else 0) for op in command.action.operations
    )


def _split_events(events: list[kv.Event], revision: int) -> list[tuple[tuple[kv.Event, ...], int]]:
    """Splits events between revisions into batches of about PAGE_BYTES, with the last revision of each."""
    batches: list[tuple[tuple[kv.Event, ...], int]] = []
    start, size = 0, 0
    for index, event in enumerate(events):
        size += kv.estimated_event_bytes(event)
        is_last = index + 1 == len(events)
        if is_last or (size >= p.PAGE_BYTES and events[index + 1].revision != event.revision):
            batches.append((tuple(events[start : index + 1]), revision if is_last else event.revision))
            start, size = index + 1, 0
    return batches
