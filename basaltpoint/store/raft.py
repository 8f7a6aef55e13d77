"""Raft without I/O (Ongaro, Consensus: Bridging Theory and Practice, 2014).

The caller passes in messages, the time and the completion of disk writes; `Raft` returns what to write, send
and apply. It reads no clock and uses only the random generator that it is given. `Output` states the caller's
duties. Numbers in brackets are sections of the dissertation.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

from basaltpoint.store import messages as m
from basaltpoint.store.log import Log
from basaltpoint.store.messages import Entry, EntryKind, HardState, Membership, Message, Snapshot
from basaltpoint.store.wire import encode

# Bytes of entries in one message; the message with its header fits into one frame of the transport.
MAX_APPEND_BYTES = 256 * 1024
SNAPSHOT_CHUNK_BYTES = 256 * 1024
# Entries sent to a follower without a response; with more, a slow follower would fill the leader's buffers.
MAX_UNACKNOWLEDGED_ENTRIES = 4096
# Entries that a learner may lack when it becomes a voter; with more, commits would wait for it.
MAX_LEARNER_LAG_ENTRIES = 1000
# Stands in `HardState.voted_for` after a recovery until the next term: a vote may have been granted in this
# term, and its candidate is not known.
UNKNOWN_VOTE = "-"


class Role(Enum):
    """The role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RefusedError(Exception):
    """The request was refused and not started; the text states the reason."""


class BusyError(RefusedError):
    """The request was refused and not started; a retry may succeed shortly."""


@dataclass(frozen=True, slots=True)
class RaftOptions:
    """Timing, in ms. The election timeout is drawn at random between `election_ms` and twice that."""

    election_ms: float = 250.0
    heartbeat_ms: float = 50.0


@dataclass(slots=True)
class Output:
    """Work for the caller, to be done in this order.

    1. Send `early_messages`.
    2. Write and sync `install_snapshot`, `entries` (the first one replaces all entries from its index on) and
       `hard_state`, then call `Raft.mark_synced`.
    3. Send `messages`, restore `restore_snapshot`, apply `committed_entries`, complete each of
       `confirmed_reads` once its index is applied, and fail `failed_reads`.
    """

    early_messages: list[tuple[str, Message]] = field(default_factory=list)
    install_snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()
    hard_state: HardState | None = None
    messages: list[tuple[str, Message]] = field(default_factory=list)
    restore_snapshot: Snapshot | None = None
    committed_entries: tuple[Entry, ...] = ()
    confirmed_reads: list[tuple[int, int]] = field(default_factory=list)  # token, read index
    failed_reads: list[int] = field(default_factory=list)  # tokens

    def __bool__(self) -> bool:
        return any(getattr(self, name) for name in self.__slots__)


@dataclass(slots=True)
class Progress:
    """Replication state that a leader keeps for another member."""

    next_index: int
    match_index: int = 0
    last_response_ms: float = 0.0
    acknowledged_round: int = 0
    probing: bool = True  # sends one message at a time until the last matching index is known
    awaits_response: bool = False  # a probe or a part of a snapshot has no response yet
    # The snapshot being sent. It is kept to its end: a newer one would start again at offset 0.
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0  # bytes


@dataclass(slots=True)
class PendingRead:
    """A read that waits for a quorum to confirm that this replica was still the leader on its arrival."""

    heartbeat_round: int
    read_index: int
    token: int
    requester: str  # name of the follower that forwarded the read; empty: this replica


class Raft:
    """The Raft state of one replica."""

    def __init__(
        self,
        name: str,
        options: RaftOptions,
        rng: random.Random,
        now: float,
        hard_state: HardState,
        log: Log,
        may_be_stale: bool = False,
    ) -> None:
        """`now` is in ms. `may_be_stale`: the disk may hold an older copy of this replica's state."""
        self.name, self.options, self.rng = name, options, rng
        self.hard_state, self.log = hard_state, log
        self.role, self.leader = Role.FOLLOWER, ""
        self.commit_index = self.applied_index = log.snapshot.index
        self.synced_index = log.last_index
        self.membership, self.membership_index = log.membership()
        self.progress: dict[str, Progress] = {}
        self.disk_failed = False
        self._now_ms = self._leader_seen_ms = now
        self._leader_seen_ms -= options.election_ms  # no leader is known, so votes may be granted at once
        self._election_deadline_ms = 0.0
        self._next_heartbeat_ms = self._next_quorum_check_ms = 0.0
        self._votes: dict[str, bool] = {}
        self._heartbeat_round = 0
        self._pending_reads: list[PendingRead] = []
        self._forwarded_reads: dict[int, str] = {}  # token -> leader that received the read
        # Index up to which each member has acknowledged committed entries.
        self._acknowledged_indexes: dict[str, int] = {}
        self._transfer: tuple[str, float] | None = None  # target, deadline in ms
        # Term, index and received bytes of a snapshot.
        self._partial_snapshot: tuple[int, int, bytearray] | None = None
        self._recovery_responses: dict[str, m.RecoveryResponse] = {}
        self._term_start_index = 0  # index of this leader's first entry in its term
        self._has_new_entries = False  # entries proposed since the last `take_output`, to be sent together
        self._output = Output()
        self._written_hard_state = hard_state
        self._next_unwritten_index = log.last_index + 1  # first entry that no output contained yet
        self._reset_election_timer()
        if may_be_stale:
            self._enter_recovery()

    # --- Time ------------------------------------------------------------------------------------
    @property
    def next_tick_ms(self) -> float:
        """Time in ms at which `tick` is due."""
        return (
            min(self._next_heartbeat_ms, self._next_quorum_check_ms)
            if self.role is Role.LEADER
            else self._election_deadline_ms
        )

    def tick(self, now: float) -> None:
        """Runs expired timers.

        Every other input runs this first, so that a replica that was suspended does not act on outdated
        knowledge.
        """
        self._now_ms = max(self._now_ms, now)
        if self.disk_failed:
            return
        if self.role is Role.LEADER:
            self._tick_leader()
        elif self._now_ms >= self._election_deadline_ms:
            self._reset_election_timer()
            if self.hard_state.recovering:
                self._request_recovery()
            elif self.name in self.membership.voters:
                self._start_election(pre_vote=True)

    def _reset_election_timer(self) -> None:
        self._election_deadline_ms = self._now_ms + self.options.election_ms * (1.0 + self.rng.random())

    def _tick_leader(self) -> None:
        if self._now_ms >= self._next_quorum_check_ms:
            self._next_quorum_check_ms = self._now_ms + self.options.election_ms
            oldest_response_ms = self._now_ms - self.options.election_ms
            responsive = {
                name for name, other in self.progress.items() if other.last_response_ms >= oldest_response_ms
            } | {self.name}
            if not self._is_quorum(responsive):  # check quorum [6.2]: clients would wait in vain
                self._become_follower(self.hard_state.term, "")
                return
        if self._transfer and self._now_ms >= self._transfer[1]:
            self._transfer = None  # the target did not take over in time
        if self._now_ms >= self._next_heartbeat_ms:
            self._broadcast_append()

    def _is_quorum(self, names: set[str]) -> bool:
        return sum(name in names for name in self.membership.voters) >= self.membership.quorum

    # --- Requests ------------------------------------------------------------------------------------
    def _require_leader(self, now: float) -> None:
        self.tick(now)
        if self.role is not Role.LEADER:
            raise RefusedError("this replica does not lead")

    def propose(self, now: float, data: bytes, kind: EntryKind = EntryKind.COMMAND) -> int:
        """Appends a command to the log and returns its index.

        RefusedError where this replica is not the leader.
        """
        self._require_leader(now)
        if self._transfer:
            raise BusyError("the leadership is being handed over")
        index = self.log.last_index + 1
        self.log.append(Entry(self.hard_state.term, index, kind, data))
        if kind is EntryKind.MEMBERSHIP:
            self._reload_membership()
        self._has_new_entries = True
        return index

    def request_read(self, now: float, token: int) -> None:
        """Requests the read index for a linearizable read [6.4]. RefusedError where no leader is known."""
        self.tick(now)
        if self.role is Role.LEADER:
            self._start_read(token, "")
        elif self.leader and not self.disk_failed:
            self._forwarded_reads[token] = self.leader
            self._send_after_sync(self.leader, m.ReadIndex(self.hard_state.term, token))
        else:
            raise RefusedError("no leader is known")

    def cancel_read(self, token: int) -> None:
        """Forgets a read that nobody waits for."""
        self._forwarded_reads.pop(token, None)

    def _start_read(self, token: int, requester: str) -> None:
        # Until its first entry is committed, a leader does not know the true commit index [6.4].
        index = max(self.commit_index, self._term_start_index)
        self._heartbeat_round += 1
        self._pending_reads.append(PendingRead(self._heartbeat_round, index, token, requester))
        self._broadcast_append()
        self._confirm_reads()

    def change_membership(self, now: float, membership: Membership) -> int:
        """Starts a membership change [4.1] and returns the index of its entry.

        RefusedError states the obstacle.
        """
        self._require_leader(now)
        if self.commit_index < self._term_start_index or self.membership_index > self.commit_index:
            raise BusyError("another change is not committed yet")
        changed_voters = set(membership.voters) ^ set(self.membership.voters)
        if len(changed_voters) > 1:
            raise RefusedError("one voter may come or go at a time")
        if not membership.voters:
            raise RefusedError("one voter must be left")
        if len(set(membership.names)) != len(membership.names):
            raise RefusedError("a name may stand once")
        for name in changed_voters & set(membership.voters):
            self._require_caught_up(name)
        return self.propose(now, encode(membership), EntryKind.MEMBERSHIP)

    def _require_caught_up(self, name: str) -> None:
        progress = self.progress.get(name)
        if progress is None:
            raise RefusedError(f"{name} must be a learner first")
        missing_entries = self.log.last_index - progress.match_index
        if (
            missing_entries > MAX_LEARNER_LAG_ENTRIES
            or progress.last_response_ms < self._now_ms - self.options.election_ms
        ):
            raise RefusedError(
                f"{name} lacks {missing_entries} entries or is not heard; "
                f"up to {MAX_LEARNER_LAG_ENTRIES} may be lacking"
            )

    def transfer_leadership(self, now: float, name: str) -> None:
        """Starts a leadership transfer [3.10].

        RefusedError where this replica is no leader or `name` no voter.
        """
        self._require_leader(now)
        if name not in self.membership.voters:
            raise RefusedError(f"{name} is no voter")
        if name == self.name:
            return  # already the leader
        self._transfer = name, self._now_ms + self.options.election_ms
        self._send_append(name)
        self._send_timeout_now(name)

    def _send_timeout_now(self, name: str) -> None:
        if (
            self._transfer
            and self._transfer[0] == name
            and self.progress[name].match_index == self.log.last_index
        ):
            self._send_after_sync(name, m.TimeoutNow(self.hard_state.term))

    # --- Output and disk -------------------------------------------------------------------------------
    def take_output(self) -> Output:
        """Returns the work since the last call."""
        if self._has_new_entries and self.role is Role.LEADER:
            for name in self.progress:
                self._send_append(name)
        self._has_new_entries = False
        output, self._output = self._output, Output()
        if self._next_unwritten_index <= self.log.last_index:
            output.entries = self.log.entries_after(self._next_unwritten_index - 1)
            self._next_unwritten_index = self.log.last_index + 1
        if self.hard_state != self._written_hard_state:
            output.hard_state = self._written_hard_state = self.hard_state
        last = min(self.commit_index, self.synced_index)
        if last > self.applied_index:
            output.committed_entries = self.log.entries_after(self.applied_index, last=last)
            self.applied_index = last
        return output

    def mark_synced(self, now: float, index: int) -> None:
        """Records that all output so far is synced to disk, with the log up to `index`."""
        self.tick(now)
        self.synced_index = min(index, self.log.last_index)
        self._finish_recovery()
        if self.role is Role.LEADER:
            self._advance_commit_index()
        elif self.role is Role.CANDIDATE:
            self._count_votes()

    def compact_log(self, snapshot: Snapshot) -> None:
        """Drops entries that a snapshot on disk has made unnecessary."""
        if snapshot.index > self.log.snapshot.index:
            self.log.compact(snapshot)

    def mark_disk_failed(self) -> None:
        """Stops taking part after a disk failure, as promises already made may be lost."""
        if self.role is Role.LEADER:
            self._become_follower(self.hard_state.term, "")
        self.disk_failed, self.role, self._election_deadline_ms = True, Role.FOLLOWER, float("inf")
        self._output.messages.clear()

    def mark_disk_recovered(self, now: float) -> None:
        """Resumes as a follower without a leader, after log and hard state were written to the disk again."""
        self._output = Output()
        self.disk_failed, self._written_hard_state, self._next_unwritten_index = (
            False,
            self.hard_state,
            self.log.last_index + 1,
        )
        self._now_ms = max(self._now_ms, now)
        self._reset_election_timer()
        self.mark_synced(now, self.log.last_index)

    # --- Messages ----------------------------------------------------------------------------------------
    def step(self, now: float, sender: str, message: Message) -> None:
        """Handles a message from another replica."""
        self.tick(now)
        if self.disk_failed or self._handle_term(sender, message):
            return
        match message:
            case m.RequestVote():
                self._handle_vote_request(sender, message)
            case m.RequestVoteResponse():
                self._handle_vote_response(sender, message)
            case m.AppendEntries():
                self._handle_append(sender, message)
            case m.InstallSnapshot():
                self._handle_snapshot_chunk(sender, message)
            case m.AppendEntriesResponse():
                self._handle_append_response(sender, message)
            case m.InstallSnapshotResponse():
                self._handle_snapshot_response(sender, message)
            case m.TimeoutNow():
                if self.name in self.membership.voters and not self.hard_state.recovering:
                    self._start_election(pre_vote=False, is_transfer=True)
            case m.ReadIndex():
                self._handle_read_request(sender, message)
            case m.ReadIndexResponse():
                self._handle_read_response(message)
            case m.RecoveryRequest():
                self._send_after_sync(
                    sender, m.RecoveryResponse(self.hard_state.term, self.log.last_index, self.log.last_term)
                )
            case m.RecoveryResponse():
                self._handle_recovery_response(sender, message)

    def _handle_term(self, sender: str, message: Message) -> bool:
        """Handles a message of another term and returns whether it is done with.

        Adopts a higher term first.
        """
        term = self.hard_state.term
        if isinstance(message, m.RecoveryRequest | m.RecoveryResponse) or message.term == term:
            return False
        if message.term < term:
            # The sender is an outdated leader or candidate: the response tells it the current term.
            if isinstance(message, m.AppendEntries | m.InstallSnapshot):
                self._send_after_sync(
                    sender, m.AppendEntriesResponse(term, False, 0, message.heartbeat_round)
                )
            elif isinstance(message, m.RequestVote):
                self._send_after_sync(sender, m.RequestVoteResponse(term, False, message.pre_vote))
            return True
        if isinstance(message, m.RequestVote):
            # No vote while a leader is active: removed or partitioned replicas would keep deposing it
            # [4.2.3].
            if not message.is_transfer and self._has_live_leader():
                return True
            if message.pre_vote:
                return False
        if isinstance(message, m.RequestVoteResponse) and message.pre_vote and message.granted:
            return False
        if isinstance(message, m.ReadIndex | m.ReadIndexResponse | m.TimeoutNow):
            return True
        leads = isinstance(message, m.AppendEntries | m.InstallSnapshot)
        self._become_follower(message.term, sender if leads else "")
        return False

    def _has_live_leader(self) -> bool:
        """Whether this replica is the leader or received from one within the minimum election timeout."""
        return self.role is Role.LEADER or (
            bool(self.leader) and self._now_ms - self._leader_seen_ms < self.options.election_ms
        )

    def _send_after_sync(self, receiver: str, message: Message) -> None:
        self._output.messages.append((receiver, message))

    def _become_follower(self, term: int, leader: str) -> None:
        if term > self.hard_state.term:
            self.hard_state = HardState(term, "", self.hard_state.recovering, self.hard_state.recovery_goal)
        if self.role is Role.LEADER:
            self._output.failed_reads += [read.token for read in self._pending_reads if not read.requester]
            for read in self._pending_reads:
                if read.requester:
                    self._send_after_sync(
                        read.requester, m.ReadIndexResponse(self.hard_state.term, read.token, -1)
                    )
            self._pending_reads, self.progress, self._transfer = [], {}, None
        if self.role is not Role.FOLLOWER:
            self._reset_election_timer()
        self.role, self.leader = Role.FOLLOWER, leader
        self._drop_forwarded_reads()

    def _drop_forwarded_reads(self) -> None:
        """Fails reads that were forwarded to a former leader: a response may never come."""
        for token in [token for token, name in self._forwarded_reads.items() if name != self.leader]:
            del self._forwarded_reads[token]
            self._output.failed_reads.append(token)

    # --- Elections [3.4, 9.6] ------------------------------------------------------------------------------
    def _start_election(self, pre_vote: bool, is_transfer: bool = False) -> None:
        self.leader = ""
        self._drop_forwarded_reads()
        if pre_vote:
            self.role, term = Role.PRE_CANDIDATE, self.hard_state.term + 1
        else:
            self.role, term = Role.CANDIDATE, self.hard_state.term + 1
            self.hard_state = HardState(term, self.name)
        self._reset_election_timer()
        self._votes = {self.name: True}
        last, last_term = self.log.last_index, self.log.last_term
        for name in self.membership.voters:
            if name != self.name:
                seen = self._acknowledged_indexes.get(name, 0)
                self._send_after_sync(name, m.RequestVote(term, last, last_term, pre_vote, is_transfer, seen))
        if pre_vote:
            self._count_votes()  # in a real election, the vote for itself counts once it is synced

    def _handle_vote_request(self, sender: str, message: m.RequestVote) -> None:
        if self._has_lost_entries(message.acknowledged_index):
            return
        is_up_to_date = (message.last_term, message.last_index) >= (self.log.last_term, self.log.last_index)
        acknowledged_index = self._acknowledged_indexes.get(sender, 0)
        if message.pre_vote:
            granted = message.term > self.hard_state.term and not self._has_live_leader()
        else:
            granted = self.hard_state.voted_for in ("", sender)
        granted = granted and is_up_to_date and not self.hard_state.recovering
        if granted and not message.pre_vote:
            self.hard_state = HardState(self.hard_state.term, sender)
            self._reset_election_timer()
        term = message.term if granted else self.hard_state.term
        self._send_after_sync(
            sender, m.RequestVoteResponse(term, granted, message.pre_vote, acknowledged_index)
        )

    def _handle_vote_response(self, sender: str, message: m.RequestVoteResponse) -> None:
        expected_role = Role.PRE_CANDIDATE if message.pre_vote else Role.CANDIDATE
        if self._has_lost_entries(message.acknowledged_index) or self.role is not expected_role:
            return
        if message.granted and message.term != self.hard_state.term + message.pre_vote:
            return
        self._votes[sender] = message.granted
        self._count_votes()

    def _count_votes(self) -> None:
        won = self._is_quorum({name for name, granted in self._votes.items() if granted})
        if self.role is Role.PRE_CANDIDATE and won:
            self._start_election(pre_vote=False)
        elif self.role is Role.CANDIDATE and won and self._written_hard_state == self.hard_state:
            self._become_leader()

    def _become_leader(self) -> None:
        self.role, self.leader = Role.LEADER, self.name
        self._pending_reads, self._transfer = [], None
        self._term_start_index = self.log.last_index + 1
        self._update_progress()
        self._next_quorum_check_ms = self._now_ms + self.options.election_ms
        self.propose(self._now_ms, b"", EntryKind.NO_OP)
        self._broadcast_append()

    def _update_progress(self) -> None:
        """Keeps one `Progress` for each other member."""
        previous, self.progress = self.progress, {}
        for name in self.membership.names:
            if name != self.name:
                self.progress[name] = previous.get(name) or Progress(
                    self.log.last_index + 1, last_response_ms=self._now_ms
                )

    # --- Log replication by the leader [3.5] -----------------------------------------------------------
    def _broadcast_append(self) -> None:
        self._next_heartbeat_ms = self._now_ms + self.options.heartbeat_ms
        for name, other in self.progress.items():
            other.awaits_response = False
            self._send_append(name, force=True)

    def _send_append(self, name: str, force: bool = False) -> None:
        """Sends missing entries within the flow control limits; with `force`, at least one message."""
        progress = self.progress[name]
        while force or self._can_send(progress):
            force = False
            if progress.snapshot or progress.next_index <= self.log.base_index:
                self._send_snapshot_chunk(name, progress)
                return
            prev_index = progress.next_index - 1
            term = self.log.term_at(prev_index)
            assert term is not None
            # While the match index is unknown or too much is unacknowledged, entries would be sent in vain.
            withholds_entries = (
                progress.probing or progress.next_index - progress.match_index > MAX_UNACKNOWLEDGED_ENTRIES
            )
            entries = () if withholds_entries else self.log.entries_after(prev_index, MAX_APPEND_BYTES)
            progress.awaits_response = progress.probing
            progress.next_index += len(entries)
            acknowledged_indexes = tuple(
                (each, self._acknowledged_index(each)) for each in (self.name, *self.progress)
            )
            self._output.early_messages.append(
                (
                    name,
                    m.AppendEntries(
                        self.hard_state.term,
                        prev_index,
                        term,
                        entries,
                        self.commit_index,
                        self._heartbeat_round,
                        progress.match_index,
                        acknowledged_indexes,
                    ),
                )
            )

    def _can_send(self, progress: Progress) -> bool:
        if progress.probing or progress.snapshot or progress.next_index <= self.log.base_index:
            return not progress.awaits_response
        return (
            progress.next_index <= self.log.last_index
            and progress.next_index - progress.match_index <= MAX_UNACKNOWLEDGED_ENTRIES
        )

    def _acknowledged_index(self, name: str) -> int:
        """Index up to which a member holds committed entries, which it never drops in regular operation."""
        match = self.synced_index if name == self.name else self.progress[name].match_index
        return min(match, self.commit_index)

    def _send_snapshot_chunk(self, name: str, progress: Progress) -> None:
        if progress.snapshot is None:
            progress.snapshot, progress.snapshot_offset = self.log.snapshot, 0
        snapshot, progress.awaits_response = progress.snapshot, True
        data = bytes(
            snapshot.data[progress.snapshot_offset : progress.snapshot_offset + SNAPSHOT_CHUNK_BYTES]
        )
        self._output.early_messages.append(
            (
                name,
                m.InstallSnapshot(
                    self.hard_state.term,
                    snapshot.index,
                    snapshot.term,
                    snapshot.membership,
                    progress.snapshot_offset,
                    len(snapshot.data),
                    data,
                    self._heartbeat_round,
                ),
            )
        )

    def _handle_append_response(self, sender: str, message: m.AppendEntriesResponse) -> None:
        if self.role is not Role.LEADER or (progress := self.progress.get(sender)) is None:
            return
        self._record_response(progress, message.heartbeat_round)
        if message.success:
            if progress.snapshot and message.index >= progress.snapshot.index:
                progress.snapshot = None
            if progress.match_index < message.index <= self.log.last_index:
                progress.match_index = message.index
                progress.next_index = max(progress.next_index, message.index + 1)
            progress.probing = progress.awaits_response = False
            self._advance_commit_index()
            if self.role is not Role.LEADER:  # the commit was its own removal
                return
            self._send_timeout_now(sender)
        elif not progress.snapshot:
            # The member may have lost entries with its disk, so the match index may go back.
            progress.match_index = min(progress.match_index, message.index)
            progress.next_index = min(message.index, self.log.last_index) + 1
            progress.probing, progress.awaits_response = True, False
        self._send_append(sender)

    def _handle_snapshot_response(self, sender: str, message: m.InstallSnapshotResponse) -> None:
        if self.role is not Role.LEADER or (progress := self.progress.get(sender)) is None:
            return
        self._record_response(progress, message.heartbeat_round)
        if progress.snapshot and progress.snapshot.index == message.last_included_index:
            progress.snapshot_offset, progress.awaits_response = message.next_offset, False
            self._send_append(sender)

    def _record_response(self, progress: Progress, heartbeat_round: int) -> None:
        progress.last_response_ms = self._now_ms
        if heartbeat_round > progress.acknowledged_round:
            progress.acknowledged_round = heartbeat_round
            self._confirm_reads()

    def _confirm_reads(self) -> None:
        """Completes reads whose heartbeat round a quorum has acknowledged, as it led on their arrival."""
        while self._pending_reads:
            read = self._pending_reads[0]
            responded = {
                name
                for name, other in self.progress.items()
                if other.acknowledged_round >= read.heartbeat_round
            } | {self.name}
            if not self._is_quorum(responded):
                return
            if read.requester:
                self._send_after_sync(
                    read.requester, m.ReadIndexResponse(self.hard_state.term, read.token, read.read_index)
                )
            else:
                self._output.confirmed_reads.append((read.token, read.read_index))
            del self._pending_reads[0]

    def _advance_commit_index(self) -> None:
        """Commits entries that a quorum holds, if the last one is of the current term [3.6.2]."""
        match_indexes = sorted(
            (
                self.synced_index if name == self.name else self.progress[name].match_index
                for name in self.membership.voters
            ),
            reverse=True,
        )
        index = match_indexes[self.membership.quorum - 1]
        if index > self.commit_index and self.log.term_at(index) == self.hard_state.term:
            self.commit_index = index
            if self.membership_index <= index and self.name not in self.membership.voters:
                self._broadcast_append()  # announces the commit of its own removal
                self._become_follower(self.hard_state.term, "")

    def _reload_membership(self) -> None:
        """Reloads the membership: an entry takes effect once it is in the log [4.1]."""
        self.membership, self.membership_index = self.log.membership()
        if self.role is Role.LEADER:
            self._update_progress()

    # --- Log replication at a follower ------------------------------------------------------------------
    def _record_leader(self, sender: str) -> None:
        """Records a message from the leader of the current term."""
        if self.role is not Role.FOLLOWER:
            self._become_follower(self.hard_state.term, sender)
        self.leader, self._leader_seen_ms = sender, self._now_ms
        self._reset_election_timer()

    def _handle_append(self, sender: str, message: m.AppendEntries) -> None:
        assert self.role is not Role.LEADER, "two leaders of one term"
        self._record_leader(sender)
        self._acknowledged_indexes.update(message.acknowledged_indexes)
        if self._has_lost_entries(message.acknowledged_index) or self._awaits_recovery_goal():
            self._request_recovery()  # repeated at each heartbeat: earlier requests may be lost
            return
        index = message.prev_index
        if index < self.commit_index and (matched_index := self._committed_match(message)) is not None:
            self._send_after_sync(
                sender,
                m.AppendEntriesResponse(self.hard_state.term, True, matched_index, message.heartbeat_round),
            )
            return
        if self.log.term_at(index) != message.prev_term:
            self._send_after_sync(
                sender,
                m.AppendEntriesResponse(
                    self.hard_state.term, False, self._conflict_hint(index), message.heartbeat_round
                ),
            )
            return
        for entry in message.entries:
            term = self.log.term_at(entry.index)
            if term != entry.term:
                if term is not None:
                    self._truncate(entry.index)
                self.log.append(entry)
                if entry.kind is EntryKind.MEMBERSHIP:
                    self._reload_membership()
        index += len(message.entries)
        self.commit_index = max(self.commit_index, min(message.commit_index, index))
        self._send_after_sync(
            sender, m.AppendEntriesResponse(self.hard_state.term, True, index, message.heartbeat_round)
        )

    def _committed_match(self, message: m.AppendEntries) -> int | None:
        """Returns the commit index if all entries are committed or the log no longer reaches back, else None.

        Committed entries match the leader's in any case, so only later ones need a comparison.
        """
        last = message.prev_index + len(message.entries)
        if last <= self.commit_index or message.prev_index < self.log.base_index:
            return self.commit_index
        return None

    def _conflict_hint(self, index: int) -> int:
        """Returns the last index that may match: the one before the conflicting term."""
        if index > self.log.last_index:
            return self.log.last_index
        term = self.log.term_at(index)
        while index > self.commit_index + 1 and self.log.term_at(index - 1) == term:
            index -= 1
        return max(index - 1, self.commit_index)

    def _truncate(self, index: int) -> None:
        assert index > self.commit_index, "a committed entry would be replaced"
        self.log.truncate(index)
        self.synced_index = min(self.synced_index, index - 1)
        self._next_unwritten_index = min(self._next_unwritten_index, index)
        self._reload_membership()

    def _handle_snapshot_chunk(self, sender: str, message: m.InstallSnapshot) -> None:
        assert self.role is not Role.LEADER, "two leaders of one term"
        self._record_leader(sender)
        if self._awaits_recovery_goal():
            self._request_recovery()
            return
        if message.last_included_index <= self.commit_index:
            self._send_after_sync(
                sender,
                m.AppendEntriesResponse(
                    self.hard_state.term, True, self.commit_index, message.heartbeat_round
                ),
            )
            return
        if (
            self.log.term_at(message.last_included_index) == message.last_included_term
        ):  # the log matches up to here already
            self.commit_index = message.last_included_index
            self._send_after_sync(
                sender,
                m.AppendEntriesResponse(
                    self.hard_state.term, True, message.last_included_index, message.heartbeat_round
                ),
            )
            return
        key = message.term, message.last_included_index
        if self._partial_snapshot is None or self._partial_snapshot[:2] != key:
            self._partial_snapshot = *key, bytearray()
        received = self._partial_snapshot[2]
        if message.offset == len(received):
            received += message.data
        if len(received) < message.total_bytes:
            self._send_after_sync(
                sender,
                m.InstallSnapshotResponse(
                    self.hard_state.term, message.last_included_index, len(received), message.heartbeat_round
                ),
            )
            return
        self._install_snapshot(
            Snapshot(
                message.last_included_index,
                message.last_included_term,
                message.membership,
                bytes(received),
            )
        )
        self._send_after_sync(
            sender,
            m.AppendEntriesResponse(
                self.hard_state.term, True, message.last_included_index, message.heartbeat_round
            ),
        )

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        self._partial_snapshot = None
        self.log.restore(snapshot)
        self.commit_index = self.applied_index = self.synced_index = snapshot.index
        self._next_unwritten_index = snapshot.index + 1
        self._output.install_snapshot = self._output.restore_snapshot = snapshot
        self._reload_membership()

    def _handle_read_request(self, sender: str, message: m.ReadIndex) -> None:
        if self.role is Role.LEADER:
            self._start_read(message.token, sender)
        else:
            self._send_after_sync(sender, m.ReadIndexResponse(self.hard_state.term, message.token, -1))

    def _handle_read_response(self, message: m.ReadIndexResponse) -> None:
        if self._forwarded_reads.pop(message.token, None) is None:
            return
        if message.index < 0:
            self._output.failed_reads.append(message.token)
        else:
            self._output.confirmed_reads.append((message.token, message.index))

    # --- Recovery from a disk that may have lost acknowledged entries -----------------------------------
    def _has_lost_entries(self, acknowledged_index: int) -> bool:
        """Whether a peer knows of acknowledged entries that are missing here: an older disk was put back.

        Enters the recovery in this case.
        """
        if acknowledged_index <= self.log.last_index or (
            self.hard_state.recovering and not self._awaits_recovery_goal()
        ):
            return False
        if not self._awaits_recovery_goal():
            self._enter_recovery()
        return True

    def _enter_recovery(self) -> None:
        """Starts the recovery: grants no vote and acknowledges nothing until the others report their logs."""
        if self.membership.voters == (self.name,):
            return  # there is no other voter to recover from
        if self.role is not Role.FOLLOWER:
            self._become_follower(self.hard_state.term, "")
        self.hard_state = HardState(self.hard_state.term, UNKNOWN_VOTE, True)
        self._recovery_responses = {}
        self._request_recovery()

    def _request_recovery(self) -> None:
        if self._awaits_recovery_goal():
            for name in self.membership.voters:
                if name != self.name:
                    self._send_after_sync(name, m.RecoveryRequest(self.hard_state.term))

    def _awaits_recovery_goal(self) -> bool:
        return self.hard_state.recovering and self.hard_state.recovery_goal == (0, 0)

    def _handle_recovery_response(self, sender: str, message: m.RecoveryResponse) -> None:
        """Sets the recovery goal once enough voters have responded.

        Every quorum that this replica may have been part of includes one of those voters (as in the recovery
        of Viewstamped Replication).
        """
        if not self._awaits_recovery_goal():
            return
        self._recovery_responses[sender] = message
        voters = self.membership.voters
        responses = [
            self._recovery_responses[name]
            for name in voters
            if name in self._recovery_responses and name != self.name
        ]
        if len(responses) < len(voters) - self.membership.quorum + 1:
            return
        term = max(self.hard_state.term, *(each.term for each in responses))
        goal = max((each.last_term, each.last_index) for each in responses)
        # Goal (0, 0): all logs are empty, so nothing can have been lost.
        self.hard_state = HardState(term, UNKNOWN_VOTE, goal != (0, 0), goal)
        self._finish_recovery()

    def _finish_recovery(self) -> None:
        """Ends the recovery once the synced log reaches the recovery goal."""
        hard = self.hard_state
        if not hard.recovering or self._awaits_recovery_goal():
            return
        if (self.log.term_at(self.synced_index) or 0, self.synced_index) >= hard.recovery_goal:
            self.hard_state = HardState(hard.term, hard.voted_for)
