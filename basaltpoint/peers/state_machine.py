"""One member: events and the time in, messages and changes of its view out.

After SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips, Currey 2017), over connections that
last: those watched stand on a ring, a closed connection is a reason to look at once, and a host that refuses
is a surer sign than silence. Times are ms of this member's own clock; two members' clocks are never compared.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

import msgspec

from basaltpoint.peers import actions as act
from basaltpoint.peers import messages as m
from basaltpoint.peers.dissemination import GossipQueue
from basaltpoint.peers.messages import INCARNATION_LIMIT, MemberRecord, MemberState
from basaltpoint.peers.name_conflicts import NameConflict
from basaltpoint.peers.options import MembershipOptions
from basaltpoint.peers.prober import Prober
from basaltpoint.peers.push_pull import PushPullExchange
from basaltpoint.peers.suspicion import Suspicion
from basaltpoint.peers.view import MembershipView, merge, precedence, validation_error

INF = math.inf
REMOVAL_INCARNATION_STEP = (
    1_000_000  # by which a removal stands above a member's incarnation; a later process goes above that
)
GOSSIP_FANOUT = 4  # members that news goes to in one round
FORGET_INTERVAL_MS = 10_000.0  # between two looks for rows that are old enough to go


class MembershipStateMachine:
    """One member of the fleet."""

    def __init__(
        self,
        name: str,
        address: str,
        life: int,
        incarnation: int,
        seeds: Sequence[tuple[str, str]],
        options: MembershipOptions,
        rng: random.Random,
        now: float,
    ) -> None:
        """`life`: drawn anew by each process. `incarnation`: any start above those before it; what others
        hold of the name raises it further. `seeds`: names and addresses."""
        self.name, self.address, self.instance_id, self.options = name, address, life, options
        self.seeds = [(other, at) for other, at in seeds if other != name]
        self.view = MembershipView(name)
        self.leaving = self.ended = False
        self._rng, self.started_ms = rng, now
        self._own_record = MemberRecord(name, address, incarnation, MemberState.JOINING, life)
        self.view.put(now, self._own_record)
        self._actions: list[act.Action] = []
        self._gossip_queue = GossipQueue()
        self.prober = Prober(self.view, options, rng, now, self._send, self._probe_failed)
        self._suspicions: dict[str, Suspicion] = {}
        self._name_conflict = NameConflict(options)
        self._connected: dict[str, None] = {}  # members with a connection now
        self._push_pull = PushPullExchange(self.view, options, rng, self._send)
        self._gossip_at_ms = INF
        self._push_pull_at_ms = now + self._push_pull.next_interval_ms()
        self._reconnect_at_ms = now + options.reconnect_interval_ms
        self._forget_at_ms = now + FORGET_INTERVAL_MS
        self._join_at_ms = now
        self._verdicts_from_ms, self._heard_since_pause = (
            -INF,
            True,
        )  # after a pause: nobody is held dead before, unless word came
        self._due_ms = self._now_ms = now
        self.late_ms = 0.0  # by how much the last call came too late

    # --- What the shell calls ---------------------------------------------------------------------------
    def take_actions(self) -> list[act.Action]:
        """What is to be done now; to be asked for after each of the calls below."""
        taken, self._actions = self._actions, []
        # What fell due in the past by an event of now, as a shorter doubt does, is not late.
        self._due_ms = max(self._now_ms, self.next_timer_ms)
        return taken

    @property
    def state(self) -> MemberState:
        return self._own_record.state

    @property
    def next_timer_ms(self) -> float:
        """When `tick` is due."""
        if self.ended or self.leaving:
            return INF
        due = min(
            self.prober.next_timer_ms,
            self._gossip_at_ms,
            self._push_pull_at_ms,
            self._reconnect_at_ms,
            self._forget_at_ms,
            self._name_conflict.next_ms,
        )
        if self.state is MemberState.JOINING:
            due = min(due, self._join_at_ms)
        live = len(self.view.ring)
        for suspicion in self._suspicions.values():
            due = min(due, suspicion.probe_at_ms)
            if suspicion.was_probed:
                due = min(due, max(self._verdicts_from_ms, suspicion.expires_ms(self.options, live)))
        return due

    def tick(self, now: float) -> None:
        self._detect_pause(now)
        if self.ended or self.leaving:
            return
        if self.state is MemberState.JOINING and now >= self._join_at_ms:
            self._join(now)
        if self._name_conflict.is_due(now):
            self._check_name_conflict(now)
        self._check_suspicions(now)
        self.prober.tick(now)
        if self.prober.unreachable_changed:
            self._report_unreachable(now)
        if now >= self._gossip_at_ms:
            self._gossip(now)
        if now >= self._push_pull_at_ms:
            self._push_pull_at_ms = now + self._push_pull.next_interval_ms()
            if row := self.view.get(next(iter(self._random_members(1)), "")):
                self._push_pull.send_digest(row.name, row.address)
        if now >= self._reconnect_at_ms:
            self._reconnect_at_ms = now + self.options.reconnect_interval_ms
            self._contact_dead_or_seed()
        if now >= self._forget_at_ms:
            self._forget_at_ms = now + FORGET_INTERVAL_MS
            self._forget(now)

    def message_received(self, now: float, sender: str, address: str, message: m.Message) -> None:
        """A message over a connection that greeted under this name and address."""
        self._detect_pause(now)
        if self.ended or self.leaving or sender == self.name:
            return
        self._heard_since_pause = True
        if known := self.view.members.get(sender):
            known.last_heard_ms = now
        for row in message.records[: m.MAX_RECORDS_PER_MESSAGE]:
            self._record_received(now, row, sender)
        match message:
            case m.Ping():
                self._ping_received(sender, address, message)
            case m.Ack():
                self.prober.ack_received(now, sender, message)
            case m.PingRequest():
                self.prober.ping_request_received(now, sender, address, message)
            case m.Nack():
                self.prober.nack_received(now, sender, message)
            case m.PushPull():
                if self._push_pull.message_received(sender, address, message):
                    self._join_response_received(now)
        if self.prober.unreachable_changed:
            self._report_unreachable(now)

    def member_connected(self, now: float, name: str) -> None:
        """A connection with a member is there."""
        self._detect_pause(now)
        self._connected[name] = None

    def connection_lost(self, now: float, name: str) -> None:
        """It has ended, though nobody wanted it to: a reason to look at once."""
        self._detect_pause(now)
        self._connected.pop(name, None)
        if (row := self.view.get(name)) and row.is_live and name != self.name:
            self.prober.probe_soon(now, name)

    def connection_evicted(self, name: str) -> None:
        """It was ended here, as others are used more."""
        self._connected.pop(name, None)

    def connection_refused(self, now: float, name: str) -> None:
        """The member's host refused a connection, or ended it before any greeting."""
        self._detect_pause(now)
        self.prober.connection_refused(now, name)

    def name_conflict_found(self, now: float, life: int, age_ms: float) -> None:
        """Another process answered under this member's name."""
        self._detect_pause(now)
        if life == self.instance_id or self.ended:
            return
        if (age_ms, life) >= (now - self.started_ms, self.instance_id):
            self._terminate(
                f"the name {self.name} is in use at {self._name_conflict.address}, for {age_ms / 1000:.1f} s"
            )
        else:
            self._name_conflict.close()
            self._raise_incarnation_above(now, self._name_conflict.incarnation)

    def leave(self, now: float) -> None:
        """Tell the others that this member goes; nothing is answered any more."""
        if self.ended or self.leaving:
            return
        self._update_own_record(now, MemberState.LEFT)
        self.leaving = True
        for name in dict.fromkeys(
            [*self.view.probe_targets(), *self._connected, *self._random_members(GOSSIP_FANOUT)]
        ):
            self._send_rows(name, (self._own_record,))

    def hand_over(self) -> tuple[MemberRecord, ...]:
        """Pass this member's place on to the next process of it: nothing is said or answered any more.

        What is known of all members, this one's row first.
        """
        self.leaving = True
        return self._own_record, *(row for row in self.view.records if row.name != self.name)

    def take_over(self, now: float, rows: Sequence[MemberRecord], age_ms: float) -> None:
        """Go on in the place that another process of this member had: the others see no change."""
        own, *others = rows
        self.instance_id, self.started_ms = own.instance_id, now - age_ms
        self._own_record = msgspec.structs.replace(own, address=self.address)
        for row in (self._own_record, *others):
            self.view.put(now, row)
            self._actions.append(act.MemberChanged(None, row))
            # A doubt goes on here: it is asked anew, as by one that has just heard of it.
            if row.state is MemberState.SUSPECT:
                self._start_suspicion(now, row)

    def remove_member(self, now: float, name: str, force: bool) -> str:
        """An operator declares a member gone for good; the reason why not, or nothing."""
        row = self.view.get(name)
        if row is None:
            return f"found the member {name!r}; known are {', '.join(sorted(self.view.members))}"
        if name == self.name:
            return f"{name} is the member that is asked; SIGTERM ends it"
        if row.state is MemberState.LEFT:
            return f"{name} has left already"
        if row.is_live and not force:
            state = row.state.name.lower()
            return f"{name} is {state}: somebody may still reach it; --force declares it gone all the same"
        # Above whatever that process may yet say against doubts, which it hears first when it wakes.
        above = min(INCARNATION_LIMIT - 1, row.incarnation + REMOVAL_INCARNATION_STEP)
        self._accept(
            now,
            msgspec.structs.replace(row, incarnation=above, state=MemberState.LEFT, reported_by=self.name),
        )
        return ""

    def describe_view(self, now: float, ident: int) -> m.ViewResponse:
        """This member's view, for an operator."""
        known = sorted(
            self.view.members.values(), key=lambda one: (not one.record.is_live, -one.state_since_ms)
        )
        seen = tuple(
            m.MemberView(
                one.record,
                now - one.state_since_ms,
                now - one.last_heard_ms if one.last_heard_ms >= 0 else -1.0,
                one.rtt_ms,
            )
            for one in known[: self.options.max_members]
        )
        return m.ViewResponse(ident, self.name, seen, self.prober.health_score)

    def set_seeds(self, seeds: Sequence[tuple[str, str]]) -> None:
        """Other seeds from now on; members that are known stay."""
        self.seeds = [(other, at) for other, at in seeds if other != self.name]

    @property
    def live_count(self) -> int:
        """Members that are there or on their way: what a quota is divided by."""
        return len(self.view.ring)

    # --- Pauses -----------------------------------------------------------------------------------------
    def _detect_pause(self, now: float) -> None:
        """Notice by the own clock that this process stood still; nothing that fell into it counts."""
        self.late_ms, self._due_ms, self._now_ms = max(0.0, now - self._due_ms), max(self._due_ms, now), now
        if self.late_ms <= self.options.min_pause_ms or not self.options.lifeguard:
            return
        self._actions.append(act.PauseDetected(self.late_ms))
        grace = 2 * self.options.probe_ms
        self.prober.discard_probes()
        self.prober.adjust_health_score(1)
        self._verdicts_from_ms, self._heard_since_pause = now + grace, False
        for suspicion in self._suspicions.values():
            suspicion.extension_ms += self.late_ms + grace
            suspicion.was_probed, suspicion.probe_at_ms = False, now
        self._push_pull_at_ms = now
        if self.late_ms > self.options.dead_retention_ms:
            # Others may have forgotten that somebody died; whoever is there will tell.
            for name in [name for name in self.view.members if name != self.name]:
                self.view.forget(name)
            self._suspicions.clear()
            self._update_own_record(now, MemberState.JOINING, increment=True)
            self._join_at_ms = self.started_ms = now

    # --- Rows ---------------------------------------------------------------------------------------------
    def _record_received(self, now: float, row: MemberRecord, sender: str) -> None:
        if problem := validation_error(row):
            self._actions.append(act.ProtocolViolation(sender, problem))
        elif row.name == self.name:
            self._own_record_received(now, row)
        else:
            self._accept(now, row)

    def _accept(self, now: float, row: MemberRecord) -> None:
        """Take a row in, and tell it on where it is news."""
        current = self.view.get(row.name)
        if current is None:
            if len(self.view.members) >= 4 * self.options.max_members or (
                row.is_live and len(self.view.ring) >= self.options.max_members
            ):
                self._actions.append(
                    act.ProtocolViolation(row.name, f"more than {self.options.max_members} members")
                )
                return
        elif precedence(merge(current, row)) == precedence(current):
            self._gossip_queue.received(row, self.live_count)
            same = row.state is MemberState.SUSPECT and precedence(row) == precedence(current)
            suspicion = self._suspicions.get(row.name)
            if (
                same
                and suspicion
                and len(suspicion.suspected_by) <= self.options.confirmations
                and suspicion.confirm(row.reported_by, row.connection_refused)
            ):
                self._queue_gossip(now, row)
            return
        if (
            current
            and current.is_live
            and row.state is MemberState.DEAD
            and not self._was_probed_lately(now, row)
        ):
            return
        self.view.put(now, row)
        self._actions.append(act.MemberChanged(current, row))
        self._suspicions.pop(row.name, None)
        if row.state is MemberState.SUSPECT:
            self._start_suspicion(now, row)
        elif not row.is_live:
            self.prober.member_removed(row.name)
        if current is not None or row.is_live:
            self._queue_gossip(now, row)

    def _start_suspicion(self, now: float, row: MemberRecord) -> None:
        """Begin to doubt a member.

        Each asks for itself before it holds one dead, at some time before: whoever reaches it tells it of the
        doubt. In a fleet cut up at random that may be a single member.
        """
        suspicion = self._suspicions[row.name] = Suspicion(row.incarnation, now, False)
        suspicion.confirm(row.reported_by, row.connection_refused)
        suspicion.was_probed = row.reported_by == self.name or not self.options.lifeguard
        suspicion.probed_at_ms = now if self.options.lifeguard else INF  # SWIM asks once
        if not suspicion.was_probed:
            half = (suspicion.expires_ms(self.options, len(self.view.ring)) - now) / 2
            suspicion.probe_at_ms = now + self._rng.uniform(0.0, min(half, 4 * self.options.probe_ms))

    def _was_probed_lately(self, now: float, row: MemberRecord) -> bool:
        """Whether this member has asked one that is to be held dead, and lately; if not, it does so now."""
        suspicion = self._suspicions.get(row.name)
        if suspicion is None or suspicion.incarnation != row.incarnation:
            if not self.options.lifeguard:
                return True
            self._accept(now, msgspec.structs.replace(row, state=MemberState.SUSPECT))
            suspicion = self._suspicions.get(row.name)
        if suspicion and (not suspicion.was_probed or suspicion.probe_is_stale(now)):
            suspicion.was_probed, suspicion.pending_dead = False, row
            suspicion.probe_at_ms = min(suspicion.probe_at_ms, now)
            return False
        return True

    def _queue_gossip(self, now: float, row: MemberRecord) -> None:
        self._gossip_queue.add(row)
        self._gossip_at_ms = min(
            self._gossip_at_ms, now + self._rng.uniform(0.0, self.options.gossip_interval_ms)
        )

    def _update_own_record(
        self, now: float, state: MemberState, increment: bool = False, at_least: int = 0
    ) -> None:
        """This member's own row has changed."""
        before = self._own_record
        incarnation = max(before.incarnation, at_least) + increment
        report = 0 if incarnation != before.incarnation else before.self_report
        self._own_record = msgspec.structs.replace(
            before, state=state, incarnation=incarnation, self_report=report
        )
        self.view.put(now, self._own_record)
        self._actions.append(act.MemberChanged(before, self._own_record))
        self._queue_gossip(now, self._own_record)

    def _report_unreachable(self, now: float) -> None:
        """Which links this member can't use has changed."""
        self.prober.unreachable_changed = False
        told = tuple(sorted((">" if heard else "") + name for name, heard in self.prober.unreachable.items()))
        self._own_record = msgspec.structs.replace(
            self._own_record, unreachable=told, self_report=self._own_record.self_report + 1
        )
        self.view.put(now, self._own_record)
        self._queue_gossip(now, self._own_record)

    def _own_record_received(self, now: float, row: MemberRecord) -> None:
        """What others say of this member: contradict it, or find out who else has its name."""
        if row.instance_id == self.instance_id:
            if row.state is MemberState.LEFT:
                self._terminate(f"{row.reported_by or 'an operator'} declared this member gone")
            elif row.incarnation > self._own_record.incarnation or (
                row.incarnation == self._own_record.incarnation
                and row.state in (MemberState.SUSPECT, MemberState.DEAD)
            ):
                if self.options.lifeguard:
                    self.prober.adjust_health_score(1)
                self._raise_incarnation_above(now, row.incarnation)
        elif row.is_live and row.address != self.address:
            if self._name_conflict.conflict_reported(now, row):
                self._check_name_conflict(now)
        elif row.incarnation >= self._own_record.incarnation:
            self._raise_incarnation_above(now, row.incarnation)  # an earlier life of this member

    def _raise_incarnation_above(self, now: float, incarnation: int) -> None:
        if incarnation >= self._own_record.incarnation:
            self._update_own_record(now, self.state, increment=True, at_least=incarnation)

    # --- A name that another process has --------------------------------------------------------------------
    def _check_name_conflict(self, now: float) -> None:
        if self._name_conflict.count_query(now):
            self._actions.append(act.CheckNameConflict(self._name_conflict.address))
        else:  # it answers no more: an earlier life at another address
            self._raise_incarnation_above(now, self._name_conflict.incarnation)

    def _terminate(self, reason: str) -> None:
        self.ended = True
        self._actions.append(act.Terminate(reason))

    # --- Joining --------------------------------------------------------------------------------------------
    def _join(self, now: float) -> None:
        if self._name_conflict.is_pending:
            self._join_at_ms = self._name_conflict.next_ms
        elif not self.seeds or now - self.started_ms >= self.options.join_timeout_ms:
            self._update_own_record(now, MemberState.ALIVE)
        else:
            self._join_at_ms = min(
                now + self.options.join_retry_ms, self.started_ms + self.options.join_timeout_ms
            )
            for name, address in self.seeds:
                self._push_pull.send_digest(name, address)

    def _join_response_received(self, now: float) -> None:
        """Somebody has told all that it knows."""
        if self.state is MemberState.JOINING:
            if self._name_conflict.is_pending:
                self._join_at_ms = self._name_conflict.next_ms
            else:
                self._update_own_record(now, MemberState.ALIVE)

    # --- Doubts ---------------------------------------------------------------------------------------------
    def _probe_failed(self, now: float, name: str, refused: bool) -> None:
        """Neither this member nor those it asked could reach one."""
        row = self.view.get(name)
        if row and row.is_live:
            doubt = msgspec.structs.replace(
                row, state=MemberState.SUSPECT, reported_by=self.name, connection_refused=refused
            )
            self._accept(now, doubt)
            if suspicion := self._suspicions.get(name):
                suspicion.was_probed, suspicion.probed_at_ms = True, now
                if suspicion.pending_dead:
                    self._accept(now, suspicion.pending_dead)

    def _check_suspicions(self, now: float) -> None:
        for name, suspicion in self._suspicions.items():
            if now >= suspicion.probe_at_ms:
                suspicion.probe_at_ms = INF
                self.prober.probe_soon(now, name)
        if now < self._verdicts_from_ms:
            return
        if not self._heard_since_pause:
            # Since a pause nobody was heard: it may be this member that is cut off.
            self._verdicts_from_ms, self._heard_since_pause = now + self.options.silent_ms, True
            return
        live = len(self.view.ring)
        for name, suspicion in list(self._suspicions.items()):
            row = self.view.get(name)
            if not row or now < suspicion.expires_ms(self.options, live):
                continue
            if not suspicion.was_probed:
                if suspicion.probe_at_ms == INF:
                    suspicion.probe_at_ms = now + self.options.probe_ms
            else:
                self._accept(now, msgspec.structs.replace(row, state=MemberState.DEAD, reported_by=self.name))

    # --- Messages -----------------------------------------------------------------------------------------
    def _send(self, to: str, address: str, message: m.Message) -> None:
        """Send, with news and this member's own row riding along where they matter."""
        rows = dict.fromkeys(message.records)
        if isinstance(message, m.Ping | m.Ack) and self.state is not MemberState.JOINING:
            rows[self._own_record] = None
        if isinstance(message, m.Ping | m.Ack | m.PingRequest | m.Nack):
            rows.update(
                dict.fromkeys(
                    self._gossip_queue.next_records(self.options.max_piggybacked_records, len(self.view.ring))
                )
            )
        self._actions.append(act.Send(to, address, msgspec.structs.replace(message, records=tuple(rows))))

    def _send_rows(self, name: str, rows: tuple[MemberRecord, ...]) -> None:
        if row := self.view.get(name):
            self._actions.append(act.Send(name, row.address, m.Gossip(rows)))

    def _random_members(self, most: int) -> list[str]:
        others = self.view.other_members()
        return self._rng.sample(others, min(most, len(others)))

    def _gossip(self, now: float) -> None:
        near = (
            list(dict.fromkeys([*self.view.probe_targets(), *self._connected]))
            if self.options.probe_on_ring
            else []
        )
        near = [
            name for name in near if (row := self.view.get(name)) and row.is_live
        ] or self._random_members(GOSSIP_FANOUT)
        for name in self._rng.sample(near, min(GOSSIP_FANOUT, len(near))):
            if rows := self._gossip_queue.next_records(
                self.options.max_piggybacked_records, len(self.view.ring)
            ):
                self._send_rows(name, rows)
        self._gossip_at_ms = (
            now + self.options.gossip_interval_ms if len(self._gossip_queue) and near else INF
        )

    def _ping_received(self, sender: str, address: str, ping: m.Ping) -> None:
        age = self._now_ms - self.started_ms
        row = self.view.get(sender)
        doubted = (row,) if row and row.state is not MemberState.ALIVE else ()
        self._send(sender, address, m.Ack(doubted, ping.seq, self.instance_id, age))
        if ping.origin and ping.origin != sender:
            self._send(
                ping.origin,
                ping.origin_address,
                m.Ack((), ping.origin_seq, self.instance_id, age, is_direct=False),
            )

    def _contact_dead_or_seed(self) -> None:
        self._push_pull.contact_dead_or_seed(self.seeds)

    def _forget(self, now: float) -> None:
        for name, known in list(self.view.members.items()):
            if not known.record.is_live and now - known.state_since_ms > self.options.dead_retention_ms:
                self.view.forget(name)
