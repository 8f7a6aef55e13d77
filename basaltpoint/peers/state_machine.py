"""Membership state machine of one limiter: takes events and times, returns messages and changes of its view.

It follows SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips, Currey 2017), but over long-lived
connections. Members probe their neighbours on a ring, a closed connection triggers a probe at once, and a
refused connection is stronger evidence than silence. Times are ms of the local clock; clocks of two members
are never compared.
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
# A removal raises the member's incarnation by this; a later process of the name starts above it.
REMOVAL_INCARNATION_STEP = 1_000_000
GOSSIP_FANOUT = 4  # members that one round of gossip is sent to
FORGET_INTERVAL_MS = 10_000.0  # between two scans for expired records


class MembershipStateMachine:
    """One member of the fleet, without I/O: the caller carries out the actions and reports events."""

    def __init__(
        self,
        name: str,
        address: str,
        instance_id: int,
        incarnation: int,
        seeds: Sequence[tuple[str, str]],
        options: MembershipOptions,
        rng: random.Random,
        now: float,
    ) -> None:
        """`instance_id`: random for each process. `incarnation`: the first one, above those of earlier
        processes of the name; records that other members hold raise it further. `seeds`: names and addresses.
        """
        self.name, self.address, self.instance_id, self.options = name, address, instance_id, options
        self.seeds = [(other, at) for other, at in seeds if other != name]
        self.view = MembershipView(name)
        self.is_leaving = self.has_ended = False
        self._rng, self.started_ms = rng, now
        self._own_record = MemberRecord(name, address, incarnation, MemberState.JOINING, instance_id)
        self.view.put(now, self._own_record)
        self._actions: list[act.Action] = []
        self._gossip_queue = GossipQueue()
        self.prober = Prober(self.view, options, rng, now, self._send, self._probe_failed)
        self._suspicions: dict[str, Suspicion] = {}
        self._name_conflict = NameConflict(options)
        self._connected: dict[str, None] = {}  # members with an open connection
        self._push_pull = PushPullExchange(self.view, options, rng, self._send)
        self._gossip_at_ms = INF
        self._push_pull_at_ms = now + self._push_pull.next_interval_ms()
        self._reconnect_at_ms = now + options.reconnect_interval_ms
        self._forget_at_ms = now + FORGET_INTERVAL_MS
        self._join_at_ms = now
        # After a pause no member is declared dead before this time, nor before a message was received.
        self._verdicts_from_ms, self._heard_since_pause = -INF, True
        self._due_ms = self._now_ms = now
        self.timer_delay_ms = 0.0  # delay of the last call behind its timer

    # --- Interface for the caller -----------------------------------------------------------------------
    def take_actions(self) -> list[act.Action]:
        """Returns the actions to carry out now; must be called after each of the methods below."""
        actions, self._actions = self._actions, []
        # A timer that an event moved into the past, such as a shortened suspicion, is not late.
        self._due_ms = max(self._now_ms, self.next_timer_ms)
        return actions

    @property
    def state(self) -> MemberState:
        return self._own_record.state

    @property
    def next_timer_ms(self) -> float:
        """When to call `tick`, in ms."""
        if self.has_ended or self.is_leaving:
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
        if self.has_ended or self.is_leaving:
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
            if record := self.view.get(next(iter(self._random_members(1)), "")):
                self._push_pull.send_digest(record.name, record.address)
        if now >= self._reconnect_at_ms:
            self._reconnect_at_ms = now + self.options.reconnect_interval_ms
            self._contact_dead_or_seed()
        if now >= self._forget_at_ms:
            self._forget_at_ms = now + FORGET_INTERVAL_MS
            self._forget(now)

    def message_received(self, now: float, sender: str, address: str, message: m.Message) -> None:
        """A message was received over a connection whose greeting had this name and address."""
        self._detect_pause(now)
        if self.has_ended or self.is_leaving or sender == self.name:
            return
        self._heard_since_pause = True
        if known := self.view.members.get(sender):
            known.last_heard_ms = now
        for record in message.records[: m.MAX_RECORDS_PER_MESSAGE]:
            self._record_received(now, record, sender)
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
        """A connection with a member was opened."""
        self._detect_pause(now)
        self._connected[name] = None

    def connection_lost(self, now: float, name: str) -> None:
        """The connection was closed unexpectedly: the member is probed at once."""
        self._detect_pause(now)
        self._connected.pop(name, None)
        if (record := self.view.get(name)) and record.is_live and name != self.name:
            self.prober.probe_soon(now, name)

    def connection_evicted(self, name: str) -> None:
        """The connection was closed locally in favour of more recently used ones."""
        self._connected.pop(name, None)

    def connection_refused(self, now: float, name: str) -> None:
        """The member's host refused a connection, or closed it before its greeting."""
        self._detect_pause(now)
        self.prober.connection_refused(now, name)

    def name_conflict_found(self, now: float, instance_id: int, age_ms: float) -> None:
        """Another process responded under this member's name; of the two, the one that started later ends."""
        self._detect_pause(now)
        if instance_id == self.instance_id or self.has_ended:
            return
        if (age_ms, instance_id) >= (now - self.started_ms, self.instance_id):
            self._terminate(
                f"the name {self.name} is in use at {self._name_conflict.address}, for {age_ms / 1000:.1f} s"
            )
        else:
            self._name_conflict.close()
            self._raise_incarnation_above(now, self._name_conflict.incarnation)

    def leave(self, now: float) -> None:
        """Announces that this member leaves; afterwards it ignores all events."""
        if self.has_ended or self.is_leaving:
            return
        self._update_own_record(now, MemberState.LEFT)
        self.is_leaving = True
        for name in dict.fromkeys(
            [*self.view.probe_targets(), *self._connected, *self._random_members(GOSSIP_FANOUT)]
        ):
            self._send_records(name, (self._own_record,))

    def hand_over(self) -> tuple[MemberRecord, ...]:
        """Hands this member's place over to its successor process; afterwards this one ignores all events.

        Returns the records of all members, this one's first.
        """
        self.is_leaving = True
        return self._own_record, *(record for record in self.view.records if record.name != self.name)

    def take_over(self, now: float, records: Sequence[MemberRecord], age_ms: float) -> None:
        """Continues as the member that a predecessor process was; the other members see no change."""
        own, *others = records
        self.instance_id, self.started_ms = own.instance_id, now - age_ms
        self._own_record = msgspec.structs.replace(own, address=self.address)
        for record in (self._own_record, *others):
            self.view.put(now, record)
            self._actions.append(act.MemberChanged(None, record))
            # A suspicion continues as if it had just been received: this process probes the member anew.
            if record.state is MemberState.SUSPECT:
                self._start_suspicion(now, record)

    def remove_member(self, now: float, name: str, force: bool) -> str:
        """Removes a member permanently, for an operator; returns an error text, empty on success."""
        record = self.view.get(name)
        if record is None:
            return f"found the member {name!r}; known are {', '.join(sorted(self.view.members))}"
        if name == self.name:
            return f"{name} is the member that is asked; SIGTERM ends it"
        if record.state is MemberState.LEFT:
            return f"{name} has left already"
        if record.is_live and not force:
            state = record.state.name.lower()
            return f"{name} is {state}: somebody may still reach it; --force declares it gone all the same"
        # Above any incarnation with which that process refutes suspicions that it receives first on resuming.
        above = min(INCARNATION_LIMIT - 1, record.incarnation + REMOVAL_INCARNATION_STEP)
        self._accept(
            now,
            msgspec.structs.replace(record, incarnation=above, state=MemberState.LEFT, reported_by=self.name),
        )
        return ""

    def describe_view(self, now: float, request_id: int) -> m.ViewResponse:
        """Returns this member's view, for an operator."""
        known = sorted(
            self.view.members.values(), key=lambda one: (not one.record.is_live, -one.state_since_ms)
        )
        members = tuple(
            m.MemberView(
                one.record,
                now - one.state_since_ms,
                now - one.last_heard_ms if one.last_heard_ms >= 0 else -1.0,
                one.rtt_ms,
            )
            for one in known[: self.options.max_members]
        )
        return m.ViewResponse(request_id, self.name, members, self.prober.health_score)

    def set_seeds(self, seeds: Sequence[tuple[str, str]]) -> None:
        """Replaces the seeds; known members stay."""
        self.seeds = [(other, at) for other, at in seeds if other != self.name]

    @property
    def live_count(self) -> int:
        """Number of live members, joining ones included; quotas are divided by it."""
        return len(self.view.ring)

    # --- Pauses -----------------------------------------------------------------------------------------
    def _detect_pause(self, now: float) -> None:
        """Detects by a late timer that this process was paused; timeouts during the pause are no evidence."""
        self.timer_delay_ms, self._due_ms, self._now_ms = (
            max(0.0, now - self._due_ms),
            max(self._due_ms, now),
            now,
        )
        if self.timer_delay_ms <= self.options.min_pause_ms or not self.options.lifeguard:
            return
        self._actions.append(act.PauseDetected(self.timer_delay_ms))
        grace = 2 * self.options.probe_ms
        self.prober.discard_probes()
        self.prober.adjust_health_score(1)
        self._verdicts_from_ms, self._heard_since_pause = now + grace, False
        for suspicion in self._suspicions.values():
            suspicion.extension_ms += self.timer_delay_ms + grace
            suspicion.was_probed, suspicion.probe_at_ms = False, now
        self._push_pull_at_ms = now
        if self.timer_delay_ms > self.options.dead_retention_ms:
            # Other members may have forgotten dead ones by now: this one joins anew and learns who is live.
            for name in [name for name in self.view.members if name != self.name]:
                self.view.forget(name)
            self._suspicions.clear()
            self._update_own_record(now, MemberState.JOINING, increment=True)
            self._join_at_ms = self.started_ms = now

    # --- Records ----------------------------------------------------------------------------------------
    def _record_received(self, now: float, record: MemberRecord, sender: str) -> None:
        if problem := validation_error(record):
            self._actions.append(act.ProtocolViolation(sender, problem))
        elif record.name == self.name:
            self._own_record_received(now, record)
        else:
            self._accept(now, record)

    def _accept(self, now: float, record: MemberRecord) -> None:
        """Merges a record into the view, and gossips it if it is new."""
        current = self.view.get(record.name)
        if current is None:
            if len(self.view.members) >= 4 * self.options.max_members or (
                record.is_live and len(self.view.ring) >= self.options.max_members
            ):
                self._actions.append(
                    act.ProtocolViolation(record.name, f"more than {self.options.max_members} members")
                )
                return
        elif precedence(merge(current, record)) == precedence(current):
            self._gossip_queue.received(record, self.live_count)
            is_same_suspicion = record.state is MemberState.SUSPECT and precedence(record) == precedence(
                current
            )
            suspicion = self._suspicions.get(record.name)
            if (
                is_same_suspicion
                and suspicion
                and len(suspicion.suspected_by) <= self.options.confirmations
                and suspicion.confirm(record.reported_by, record.connection_refused)
            ):
                self._queue_gossip(now, record)
            return
        if (
            current
            and current.is_live
            and record.state is MemberState.DEAD
            and not self._was_probed_lately(now, record)
        ):
            return
        self.view.put(now, record)
        self._actions.append(act.MemberChanged(current, record))
        self._suspicions.pop(record.name, None)
        if record.state is MemberState.SUSPECT:
            self._start_suspicion(now, record)
        elif not record.is_live:
            self.prober.member_removed(record.name)
        if current is not None or record.is_live:
            self._queue_gossip(now, record)

    def _start_suspicion(self, now: float, record: MemberRecord) -> None:
        """Starts to suspect a member.

        Each member probes a suspected one itself, at a random time, before it declares it dead. A member that
        reaches it thereby informs it of the suspicion; in a partitioned fleet this may be a single member.
        """
        suspicion = self._suspicions[record.name] = Suspicion(record.incarnation, now, False)
        suspicion.confirm(record.reported_by, record.connection_refused)
        suspicion.was_probed = record.reported_by == self.name or not self.options.lifeguard
        suspicion.probed_at_ms = now if self.options.lifeguard else INF  # SWIM probes once
        if not suspicion.was_probed:
            half = (suspicion.expires_ms(self.options, len(self.view.ring)) - now) / 2
            suspicion.probe_at_ms = now + self._rng.uniform(0.0, min(half, 4 * self.options.probe_ms))

    def _was_probed_lately(self, now: float, record: MemberRecord) -> bool:
        """Whether this member recently probed one that another declares dead; if not, it does so now."""
        suspicion = self._suspicions.get(record.name)
        if suspicion is None or suspicion.incarnation != record.incarnation:
            if not self.options.lifeguard:
                return True
            self._accept(now, msgspec.structs.replace(record, state=MemberState.SUSPECT))
            suspicion = self._suspicions.get(record.name)
        if suspicion and (not suspicion.was_probed or suspicion.probe_is_stale(now)):
            suspicion.was_probed, suspicion.pending_dead = False, record
            suspicion.probe_at_ms = min(suspicion.probe_at_ms, now)
            return False
        return True

    def _queue_gossip(self, now: float, record: MemberRecord) -> None:
        self._gossip_queue.add(record)
        self._gossip_at_ms = min(
            self._gossip_at_ms, now + self._rng.uniform(0.0, self.options.gossip_interval_ms)
        )

    def _update_own_record(
        self, now: float, state: MemberState, increment: bool = False, at_least: int = 0
    ) -> None:
        """Changes this member's record, with `increment` under a higher incarnation, and gossips it."""
        previous = self._own_record
        incarnation = max(previous.incarnation, at_least) + increment
        report = 0 if incarnation != previous.incarnation else previous.self_report
        self._own_record = msgspec.structs.replace(
            previous, state=state, incarnation=incarnation, self_report=report
        )
        self.view.put(now, self._own_record)
        self._actions.append(act.MemberChanged(previous, self._own_record))
        self._queue_gossip(now, self._own_record)

    def _report_unreachable(self, now: float) -> None:
        """Gossips the changed set of members that this one can't reach."""
        self.prober.unreachable_changed = False
        unreachable = tuple(
            sorted((">" if heard else "") + name for name, heard in self.prober.unreachable.items())
        )
        self._own_record = msgspec.structs.replace(
            self._own_record, unreachable=unreachable, self_report=self._own_record.self_report + 1
        )
        self.view.put(now, self._own_record)
        self._queue_gossip(now, self._own_record)

    def _own_record_received(self, now: float, record: MemberRecord) -> None:
        """Handles a received record of this member: refutes it, or checks for a name conflict."""
        if record.instance_id == self.instance_id:
            if record.state is MemberState.LEFT:
                self._terminate(f"{record.reported_by or 'an operator'} declared this member gone")
            elif record.incarnation > self._own_record.incarnation or (
                record.incarnation == self._own_record.incarnation
                and record.state in (MemberState.SUSPECT, MemberState.DEAD)
            ):
                if self.options.lifeguard:
                    self.prober.adjust_health_score(1)
                self._raise_incarnation_above(now, record.incarnation)
        elif record.is_live and record.address != self.address:
            if self._name_conflict.conflict_reported(now, record):
                self._check_name_conflict(now)
        elif record.incarnation >= self._own_record.incarnation:
            self._raise_incarnation_above(now, record.incarnation)  # an earlier process of this member

    def _raise_incarnation_above(self, now: float, incarnation: int) -> None:
        if incarnation >= self._own_record.incarnation:
            self._update_own_record(now, self.state, increment=True, at_least=incarnation)

    # --- Name conflicts ---------------------------------------------------------------------------------
    def _check_name_conflict(self, now: float) -> None:
        if self._name_conflict.count_query(now):
            self._actions.append(act.CheckNameConflict(self._name_conflict.address))
        else:  # no response: an earlier process at another address
            self._raise_incarnation_above(now, self._name_conflict.incarnation)

    def _terminate(self, reason: str) -> None:
        self.has_ended = True
        self._actions.append(act.Terminate(reason))

    # --- Joining ----------------------------------------------------------------------------------------
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
        """A member has sent its whole view: this one becomes alive unless a name check is in progress."""
        if self.state is MemberState.JOINING:
            if self._name_conflict.is_pending:
                self._join_at_ms = self._name_conflict.next_ms
            else:
                self._update_own_record(now, MemberState.ALIVE)

    # --- Suspicion --------------------------------------------------------------------------------------
    def _probe_failed(self, now: float, name: str, refused: bool) -> None:
        """Suspects a member that neither this one nor a helper could reach."""
        record = self.view.get(name)
        if record and record.is_live:
            suspected = msgspec.structs.replace(
                record, state=MemberState.SUSPECT, reported_by=self.name, connection_refused=refused
            )
            self._accept(now, suspected)
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
            # No message was received since a pause: this member itself may be cut off.
            self._verdicts_from_ms, self._heard_since_pause = now + self.options.silent_ms, True
            return
        live = len(self.view.ring)
        for name, suspicion in list(self._suspicions.items()):
            record = self.view.get(name)
            if not record or now < suspicion.expires_ms(self.options, live):
                continue
            if not suspicion.was_probed:
                if suspicion.probe_at_ms == INF:
                    suspicion.probe_at_ms = now + self.options.probe_ms
            else:
                self._accept(
                    now, msgspec.structs.replace(record, state=MemberState.DEAD, reported_by=self.name)
                )

    # --- Messages -----------------------------------------------------------------------------------------
    def _send(self, to: str, address: str, message: m.Message) -> None:
        """Sends a message, with this member's record and gossip piggybacked on probes and their responses."""
        records = dict.fromkeys(message.records)
        if isinstance(message, m.Ping | m.Ack) and self.state is not MemberState.JOINING:
            records[self._own_record] = None
        if isinstance(message, m.Ping | m.Ack | m.PingRequest | m.Nack):
            records.update(
                dict.fromkeys(
                    self._gossip_queue.next_records(self.options.max_piggybacked_records, len(self.view.ring))
                )
            )
        self._actions.append(act.Send(to, address, msgspec.structs.replace(message, records=tuple(records))))

    def _send_records(self, name: str, records: tuple[MemberRecord, ...]) -> None:
        if record := self.view.get(name):
            self._actions.append(act.Send(name, record.address, m.Gossip(records)))

    def _random_members(self, max_count: int) -> list[str]:
        other_members = self.view.other_members()
        return self._rng.sample(other_members, min(max_count, len(other_members)))

    def _gossip(self, now: float) -> None:
        targets = (
            list(dict.fromkeys([*self.view.probe_targets(), *self._connected]))
            if self.options.probe_on_ring
            else []
        )
        targets = [
            name for name in targets if (record := self.view.get(name)) and record.is_live
        ] or self._random_members(GOSSIP_FANOUT)
        for name in self._rng.sample(targets, min(GOSSIP_FANOUT, len(targets))):
            if records := self._gossip_queue.next_records(
                self.options.max_piggybacked_records, len(self.view.ring)
            ):
                self._send_records(name, records)
        self._gossip_at_ms = (
            now + self.options.gossip_interval_ms if len(self._gossip_queue) and targets else INF
        )

    def _ping_received(self, sender: str, address: str, ping: m.Ping) -> None:
        age = self._now_ms - self.started_ms
        record = self.view.get(sender)
        suspected = (record,) if record and record.state is not MemberState.ALIVE else ()
        self._send(sender, address, m.Ack(suspected, ping.seq, self.instance_id, age))
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
