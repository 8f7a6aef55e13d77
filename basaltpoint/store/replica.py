"""A replica with its sockets and its clock: it decides nothing, `Node` does."""

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

BACKLOG = 128
SLICE_S = 0.004  # between two slices of a snapshot: others' messages go first
READ_S = 2.0  # for a leader to prove itself; then the client asks again
PASS_S = 5.0  # for the leader's answer to a request that was passed on
WATCHES = 1000  # of one connection
STAMP_MS = 1000.0  # between two tries to write the folder's stamp


@dataclass(frozen=True, slots=True)
class Setting:
    """One replica's settings."""

    name: str
    cluster: str
    folder: Path
    listen: str = ""  # HOST:PORT for peers and clients on other hosts; empty: the folder's socket alone
    initial: Membership = Membership()  # noqa: RUF009 - of a new cluster; none where it is to be added to one
    tls: Tls | None = None
    options: RaftOptions = RaftOptions()  # noqa: RUF009 - it can't be changed
    sizes: StorageLimits = StorageLimits()  # noqa: RUF009 - nor this
    advertise: str = ""  # what the others are told; `listen` without it


@dataclass(slots=True)
class _Watch:
    link: Link
    request: p.Watch
    told: int = 0  # revision


@dataclass(slots=True)
class _Passing:
    link: Link
    ident: int
    to: str
    timer: asyncio.TimerHandle | None = None


class Replica:
    """One replica on one loop."""

    def __init__(self, setting: Setting, point: CrashPoint = no_crash_point, seed: int | None = None) -> None:
        """FolderError, DamageError, OSError where the folder can't be used."""
        self.setting = setting
        self.folder = ReplicaFolder(setting.folder, setting.cluster, setting.name)
        self._files = OsFiles(self.folder.log)
        rng = random.Random(seed)
        self.node = Node(
            setting.name,
            self._files,
            rng,
            self._now(),
            self._send,
            options=setting.options,
            limits=setting.sizes,
            initial=setting.initial if setting.initial.members else None,
            may_be_stale=self.folder.may_be_stale,
            crash_point=point,
        )
        self.node.on_state_changed = self._applied
        self.address = setting.advertise or setting.listen
        self._callers: dict[str, Reconnector] = {}
        self._addresses: dict[str, str] = {}  # of those who greeted and are no members yet
        self._links: set[Link] = set()
        self._watches: dict[tuple[Link, int], _Watch] = {}
        self._dumps: dict[Link, bytes] = {}
        self._passing: dict[int, _Passing] = {}
        self._passed = 0
        self._passed_to = ""  # the leader that was known at the last turn
        self._signs: set[Link] = set()  # that wait for a sign of life
        self._servers: list[asyncio.Server | LinkListener] = []
        self._timer: asyncio.TimerHandle | None = None
        self._soon = False
        self._stamp_at = 0.0  # when a stamp that could not be written is tried again, ms
        self._current = 0.0  # when this replica last knew that its state was current, ms
        self._loop: asyncio.AbstractEventLoop

    @staticmethod
    def _now() -> float:
        return time.monotonic() * 1000.0

    # --- Start and end -------------------------------------------------------------------------------
    async def start(self) -> None:
        """Listen; OSError where that can't be."""
        self._loop = asyncio.get_running_loop()
        path = self.setting.folder / SOCKET_NAME
        path.unlink(missing_ok=True)
        mask = os.umask(0o177)  # whoever may open the socket may change the store
        try:
            self._servers.append(
                await self._loop.create_unix_server(
                    lambda: Link(self, self._greeting(), True, p.STORE_PROTOCOL), str(path)
                )
            )
        finally:
            os.umask(mask)
        if self.setting.listen:
            sock = await open_listener_when_free(parse_address(self.setting.listen), BACKLOG)
            if not self.setting.advertise:
                self.address = f"{self.setting.listen.rpartition(':')[0]}:{sock.getsockname()[1]}"
            context = self.setting.tls.server_context() if self.setting.tls else None
            self._servers.append(LinkListener(sock, self._link, context))
        self._kick()

    def _link(self) -> Link:
        """One with another host, or another process of this one."""
        return Link(self, self._greeting(), False, p.STORE_PROTOCOL, without_tls=self.setting.tls is None)

    def _greeting(self) -> Greeting:
        return Greeting(PROTOCOL_VERSION, self.setting.cluster, self.setting.name, self.address)

    def close(self) -> None:
        """End; what was acknowledged is on the disk."""
        for server in self._servers:
            server.close()
        for caller in self._callers.values():
            caller.close()
        for link in list(self._links):
            link.close()
        if self._timer:
            self._timer.cancel()
        self._files.close()
        self.folder.close()
        with suppress(OSError):
            (self.setting.folder / SOCKET_NAME).unlink()

    # --- The node's turn --------------------------------------------------------------------------------
    def _kick(self) -> None:
        """Have the node carry out what is due, together with all else that comes in this turn of the loop."""
        if not self._soon:
            self._soon = True
            self._loop.call_soon(self._pump)

    def _pump(self) -> None:
        self._soon = False
        self.node.tick(self._now())
        self.node.process_output()
        if self.folder.may_be_stale and not self.node.failure:
            self._stamp()  # the doubt itself is on the disk now
        self._meet()
        if self.node.raft.leader:
            self._current = self._now()
        if self._passing and self._passed_to != self.node.raft.leader:
            # Whoever was to answer leads no more, or stands still: the client asks again at once.
            for number, passing in list(self._passing.items()):
                if passing.to != self.node.raft.leader:
                    self._unknown(number)
        self._passed_to = self.node.raft.leader
        if self._timer:
            self._timer.cancel()
            self._timer = None
        wait = (
            SLICE_S
            if self.node.is_writing_snapshot
            else max(0.0, (self.node.next_tick_ms - self._now()) / 1000.0)
        )
        self._timer = self._loop.call_later(wait, self._kick)

    def _stamp(self) -> None:
        """Take this copy of the folder for the replica's own; until that is on the disk it stays in doubt."""
        if self._now() < self._stamp_at:
            return
        try:
            self.folder.write_stamp()
        except OSError as error:
            self._stamp_at = self._now() + STAMP_MS
            log.error("store: the folder's stamp can't be written: %s; tried again", error)

    def _meet(self) -> None:
        """One caller for each other member, and for who speaks to us before it is one."""
        members = self.node.raft.membership
        wanted = dict(self._addresses)
        wanted.update({member.name: member.address for member in members.members if member.address})
        wanted.pop(self.setting.name, None)
        for name, caller in list(self._callers.items()):
            if wanted.get(name) != caller.address:
                caller.close()
                del self._callers[name]
        for name, address in wanted.items():
            if name not in self._callers:
                self._callers[name] = Reconnector(self._link, name, address, self.setting.tls)

    def _send(self, to: str, message: Message) -> None:
        if caller := self._callers.get(to):
            caller.send(p.ReplicaMessage(message))  # type: ignore[arg-type]

    # --- Connections ------------------------------------------------------------------------------------
    def greeting_received(self, link: Link) -> bool:
        self._links.add(link)
        other = link.peer_greeting
        if other and other.name and other.address and other.name not in self.node.raft.membership.names:
            self._addresses[other.name] = other.address
            self._meet()
        return True

    def link_closed(self, link: Link) -> None:
        self._links.discard(link)
        self._dumps.pop(link, None)
        for key in [key for key in self._watches if key[0] is link]:
            del self._watches[key]
        if link.peer_name and not any(other.peer_name == link.peer_name for other in self._links):
            self._addresses.pop(link.peer_name, None)
            for number, passing in list(self._passing.items()):
                if passing.to == link.peer_name:
                    self._unknown(number)

    def frame_received(self, link: Link, frame: p.AnyFrame) -> None:
        match frame:
            case p.ReplicaMessage() if link.peer_name:
                self.node.step(self._now(), link.peer_name, frame.message)
            case p.ForwardedRequest() if link.peer_name:
                self._serve(link, frame.request, frame.ident)
            case p.ForwardedResponse() if link.peer_name:
                if passing := self._passing.pop(frame.ident, None):
                    self._answer(passing, frame.result)
            case p.ExecuteCommand() | p.ChangeMembership() | p.TransferLeadership():
                self._ask(link, frame)
            case p.Get():
                self._get(link, frame)
            case p.Watch():
                self._watch(link, frame)
            case p.CancelWatch():
                self._watches.pop((link, frame.ident), None)
            case p.GetStatus() if not frame.ident:
                self._sign(link)
            case p.GetStatus():
                link.send(self.standing(frame.ident))
            case p.TakeSnapshot():
                self._snap(link, frame)
            case p.DumpState():
                self._dump(link, frame)
            case _:
                log.warning("store: a %s that is not allowed here", type(frame).__name__)
                link.close()
        self._kick()

    # --- Commands ---------------------------------------------------------------------------------------
    def _ask(self, link: Link, request: p.ExecuteCommand | p.ChangeMembership | p.TransferLeadership) -> None:
        """A client's request, here or passed on to the leader."""
        core = self.node.raft
        if isinstance(request, p.ExecuteCommand) and (size := _size(request.command)) > p.MAX_COMMAND_BYTES:
            text = f"found a command of {size} bytes; allowed: {p.MAX_COMMAND_BYTES}"
            link.send(p.CommandResponse(request.ident, self._result("limit", text)))
            return
        if self.node.is_leader or self.node.failure:
            self._serve(link, request, None)
            return
        caller = self._callers.get(core.leader)
        self._passed += 1
        number = self._passed
        if caller is None or not caller.send(p.ForwardedRequest(number, request)):
            link.send(p.CommandResponse(request.ident, self._result("unavailable", "no leader is known")))
            return
        passing = self._passing[number] = _Passing(link, request.ident, core.leader)
        passing.timer = self._loop.call_later(PASS_S, self._unknown, number)

    def _unknown(self, number: int) -> None:
        if passing := self._passing.pop(number, None):
            self._answer(passing, self._result("unknown", "the leader has not answered"))

    def _answer(self, passing: _Passing, result: kv.Result) -> None:
        if passing.timer:
            passing.timer.cancel()
        passing.link.send(p.CommandResponse(passing.ident, result))

    def _result(self, error: str, text: str) -> kv.Result:
        return kv.Result(self.node.state_machine.state.revision, error, text)

    def _serve(
        self,
        link: Link,
        request: p.ExecuteCommand | p.ChangeMembership | p.TransferLeadership,
        passed: int | None,
    ) -> None:
        """A request that the leader is to carry out; `passed` is its number where a follower passed it on."""

        def done(result: kv.Result | None) -> None:
            told = result or self._result("unknown", "the leadership changed meanwhile")
            if passed is not None:
                name = link.peer_name
                if (caller := self._callers.get(name)) is not None:
                    caller.send(p.ForwardedResponse(passed, told))
            else:
                link.send(p.CommandResponse(request.ident, told))

        now = self._now()
        try:
            match request:
                case p.ExecuteCommand():
                    self.node.propose(now, request.command, done)
                case p.ChangeMembership():
                    self.node.change_membership(now, self._changed(request), done)
                case p.TransferLeadership():
                    self.node.raft.transfer_leadership(now, request.name)
                    done(self._result("", ""))
        except RefusedError as refusal:
            final = (
                self.node.is_leader
                and not isinstance(request, p.ExecuteCommand)
                and not isinstance(refusal, BusyError)
            )
            text = self.node.failure or str(refusal)
            done(self._result("refused" if final else "unavailable", text))

    def _changed(self, request: p.ChangeMembership) -> Membership:
        """The membership that is asked for; RefusedError where it can't be."""
        held = list(self.node.raft.membership.members)
        at = next((at for at, member in enumerate(held) if member.name == request.name), None)
        if request.action == "add":
            if at is not None:
                raise RefusedError(f"{request.name} is a member already")
            held.append(Member(request.name, request.address, voter=False))
        elif at is None:
            raise RefusedError(f"{request.name} is no member; members are {', '.join(m.name for m in held)}")
        elif request.action == "promote":
            held[at] = Member(held[at].name, held[at].address)
        elif request.action == "remove":
            del held[at]
        else:
            raise RefusedError(f"found the change {request.action!r}; allowed: add, promote, remove")
        return Membership(tuple(held))

    def _snap(self, link: Link, frame: p.TakeSnapshot) -> None:
        if (
            self.node.raft.applied_index > self.node.raft.log.snapshot.index
            and not self.node.is_writing_snapshot
        ):
            self.node.start_snapshot()
        link.send(p.CommandResponse(frame.ident, self._result("", "")))

    def _dump(self, link: Link, frame: p.DumpState) -> None:
        def told() -> None:
            data = self._dumps.get(link, b"")
            part = data[frame.offset : frame.offset + p.PAGE_BYTES]
            if frame.offset + p.PAGE_BYTES >= len(data):
                self._dumps.pop(link, None)
            link.send(p.DumpChunk(frame.ident, len(data), part))

        def done(good: bool) -> None:
            if good:
                self._dumps[link] = self.node.state_machine.serialize()
                told()
            else:
                link.send(p.DumpChunk(frame.ident, 0, b"", "unavailable"))

        if frame.offset:
            told()
        else:
            self._when_current(done)

    # --- Reads and watches ---------------------------------------------------------------------------------
    def _when_current(self, done: Callable[[bool], None]) -> None:
        """Call with True once the state here is current, with False where that can't be told in time."""

        def ended(good: bool) -> None:
            timer.cancel()
            done(good)

        def too_late() -> None:
            self.node.cancel_read(token)
            done(False)

        timer = self._loop.call_later(READ_S, too_late)
        try:
            token = self.node.read(self._now(), ended)
        except RefusedError:
            ended(False)

    def _sign(self, link: Link) -> None:
        """A sign of life for one who waits, once the state here is current.

        A replica that can't hear the leader, or can't be heard, lives and holds up whoever waits at it.
        """
        self._signs.add(link)
        if len(self._signs) > 1:
            return  # one proof under way is enough for all

        def done(good: bool) -> None:
            signs, self._signs = self._signs, set()
            for waiting in signs if good else ():
                waiting.send(self.standing())

        self._when_current(done)

    def _get(self, link: Link, frame: p.Get) -> None:
        def done(good: bool) -> None:
            link.send(self._page(frame) if good else p.Page(frame.ident, 0, {}, error="unavailable"))

        if frame.local:
            done(True)
        else:
            self._when_current(done)

    def _page(self, frame: p.Get) -> p.Page:
        machine = self.node.state_machine
        keys = machine.keys_with_prefix(frame.prefix)
        if frame.exact:
            keys = [frame.prefix] if frame.prefix in machine.state.values else []
        values: dict[str, kv.Value] = {}
        room, more = p.PAGE_BYTES, False
        for key in keys:
            if key <= frame.after and frame.after:
                continue
            if room <= 0:
                more = True
                break
            values[key] = machine.state.values[key]
            room -= len(key) + len(values[key].value) + 32
        return p.Page(frame.ident, machine.state.revision, values, more, "", self.age_ms)

    @property
    def age_ms(self) -> float:
        """How long ago this replica heard of a leader; 0 while it does."""
        return 0.0 if self.node.raft.leader else self._now() - self._current

    def _watch(self, link: Link, frame: p.Watch) -> None:
        if sum(key[0] is link for key in self._watches) >= WATCHES:
            link.send(p.WatchEvents(frame.ident, 0, (), compacted=-1))
            return
        watch = self._watches[link, frame.ident] = _Watch(link, frame, frame.revision - 1)
        self._tell(watch, first=True)

    def _applied(self) -> None:
        for watch in list(self._watches.values()):
            self._tell(watch)

    def _tell(self, watch: _Watch, first: bool = False) -> None:
        """What has changed since this watch was told last. A client that does not read is cut off."""
        machine = self.node.state_machine
        revision = machine.state.revision
        if revision <= watch.told and not first:
            return
        try:
            events = (
                machine.events_since(watch.told + 1, watch.request.prefix) if watch.told < revision else []
            )
        except kv.CompactedError as error:
            del self._watches[watch.link, watch.request.ident]
            watch.link.send(p.WatchEvents(watch.request.ident, revision, (), compacted=error.oldest_revision))
            return
        watch.told = max(watch.told, revision)
        ident = watch.request.ident
        for part, upto in _parts(events, revision):
            if not watch.link.send(p.WatchEvents(ident, upto, part)):
                watch.link.close()
                return
        if first and not events:
            watch.link.send(p.WatchEvents(ident, revision, ()))

    def standing(self, ident: int = 0) -> p.ReplicaStatus:
        """How it stands."""
        node, core = self.node, self.node.raft
        state = node.state_machine.state
        return p.ReplicaStatus(
            ident,
            self.setting.name,
            self.setting.cluster,
            core.role.value,
            core.leader,
            core.hard_state.term,
            core.commit_index,
            core.applied_index,
            core.log.last_index,
            state.revision,
            state.size_bytes,
            core.membership,
            core.hard_state.recovering,
            node.failure,
            self.age_ms,
            {name: other.match_index for name, other in core.progress.items()} if node.is_leader else {},
        )


def _size(command: kv.Command) -> int:
    """Bytes of a command, near enough."""
    if not isinstance(command.action, kv.Transaction):
        return 0
    return sum(
        len(op.key) + (len(op.value) if isinstance(op, kv.Put) else 0) for op in command.action.operations
    )


def _parts(events: list[kv.Event], revision: int) -> list[tuple[tuple[kv.Event, ...], int]]:
    """Events in frames that are not too long, cut between revisions; with each, up to where it tells all."""
    parts: list[tuple[tuple[kv.Event, ...], int]] = []
    begin, size = 0, 0
    for at, event in enumerate(events):
        size += kv.estimated_event_bytes(event)
        last = at + 1 == len(events)
        if last or (size >= p.PAGE_BYTES and events[at + 1].revision != event.revision):
            parts.append((tuple(events[begin : at + 1]), revision if last else event.revision))
            begin, size = at + 1, 0
    return parts
