"""The consensus core: Raft without I/O (Ongaro, Consensus: Bridging Theory and Practice, 2014).

It is given messages, the time and what has reached the disk; it returns what to write, send and apply. It
reads no clock and draws chance from the generator it was given. The caller's part is stated at `Output`;
sections in brackets are of the dissertation.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

from basaltpoint.store import messages as m
from basaltpoint.store.log import Log
from basaltpoint.store.messages import Entry, EntryKind, HardState, Membership, Message, Snapshot
from basaltpoint.store.wire import encode

MAX_APPEND_BYTES = (
    256 * 1024
)  # bytes of entries in one message; a frame of the transport holds it and its head
SNAPSHOT_CHUNK_BYTES = 256 * 1024  # bytes of a snapshot in one message
MAX_UNACKNOWLEDGED_ENTRIES = (
    4096  # entries sent on without an answer; beyond, a slow follower would fill the leader's buffers
)
MAX_LEARNER_LAG_ENTRIES = (
    1000  # entries that a learner may lack to become a voter; with more, commits would wait for it
)
UNKNOWN_VOTE = "-"  # as a vote: given, to whom is not known any more


class Role(Enum):
    """What a replica is at present."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RefusedError(Exception):
    """A request that can't be granted now, and why."""


class BusyError(RefusedError):
    """A request that may be granted in a moment: nothing of it was begun."""


@dataclass(frozen=True, slots=True)
class RaftOptions:
    """Times in ms. The election time is drawn from `election_ms` to twice that."""

    election_ms: float = 250.0
    heartbeat_ms: float = 50.0


@dataclass(slots=True)
class Output:
    """What is to be done, in this order.

    Send `early`. Write `install`, `entries` (the first replaces all from its index on) and `hard`, and have
    them on the disk; then call `Raft.synced`. Only then send `messages`, apply `restore` and `applies`, and
    answer `reads`.
    """

    early_messages: list[tuple[str, Message]] = field(default_factory=list)
    install_snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()
    hard_state: HardState | None = None
    messages: list[tuple[str, Message]] = field(default_factory=list)
    restore_snapshot: Snapshot | None = None
    committed_entries: tuple[Entry, ...] = ()
    confirmed_reads: list[tuple[int, int]] = field(default_factory=list)  # token, index that must be applied
    failed_reads: list[int] = field(default_factory=list)  # tokens of reads that won't be answered

    def __bool__(self) -> bool:
        return any(getattr(self, name) for name in self.__slots__)


@dataclass(slots=True)
class Progress:
    """What a leader knows of another member."""

    next_index: int
    match_index: int = 0
    last_response_ms: float = 0.0
    acknowledged_round: int = 0
    probing: bool = True  # one message at a time, until it is known where the logs agree
    awaits_response: bool = False  # such a message is out
    snapshot: Snapshot | None = None  # the same one to its end: later ones would begin from nothing
    snapshot_offset: int = 0


@dataclass(slots=True)
class PendingRead:
    """A read that waits for proof that the leader still led when it came."""

    heartbeat_round: int
    read_index: int
    token: int
    requester: str  # "" for this replica


class Raft:
    """One replica's part."""

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
        """`suspect`: the disk may be an older copy of itself."""
        self.name, self.options, self.rng = name, options, rng
        self.hard_state, self.log = hard_state, log
        self.role, self.leader = Role.FOLLOWER, ""
        self.commit_index = self.applied_index = log.snapshot.index
        self.synced_index = log.last_index
        self.membership, self.membership_index = log.membership()
        self.progress: dict[str, Progress] = {}
        self.disk_failed = False
        self._now_ms = self._leader_seen_ms = now
        self._leader_seen_ms -= options.election_ms  # no leader is known: nothing speaks against a vote
        self._election_deadline_ms = 0.0
        self._next_heartbeat_ms = self._next_quorum_check_ms = 0.0
        self._votes: dict[str, bool] = {}
        self._heartbeat_round = 0
        self._pending_reads: list[PendingRead] = []
        self._forwarded_reads: dict[int, str] = {}  # reads asked of a leader: token, its name
        self._acknowledged_indexes: dict[
            str, int
        ] = {}  # index up to which each has acknowledged committed entries
        self._transfer: tuple[str, float] | None = None
        self._partial_snapshot: tuple[int, int, bytearray] | None = (
            None  # term, index and start of a snapshot
        )
        self._recovery_responses: dict[str, m.RecoveryResponse] = {}
        self._term_start_index = 0  # index of the first entry of this replica's leadership
        self._has_new_entries = False  # entries were proposed since the last `take`: they go out together
        self._output = Output()
        self._written_hard_state = hard_state
        self._next_unwritten_index = log.last_index + 1  # first entry that was not handed out to be written
        self._reset_election_timer()
        if may_be_stale:
            self._enter_recovery()

    # --- Time ------------------------------------------------------------------------------------
    @property
    def next_tick_ms(self) -> float:
        """When `tick` is due."""
        return (
            min(self._next_heartbeat_ms, self._next_quorum_check_ms)
            if self.role is Role.LEADER
            else self._election_deadline_ms
        )

    def tick(self, now: float) -> None:
        """What is due by now. Each input does this first: one who slept must not act on what it knew."""
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
            since = self._now_ms - self.options.election_ms
            alive = {name for name, other in self.progress.items() if other.last_response_ms >= since} | {
                self.name
            }
            if not self._is_quorum(alive):  # check quorum [6.2]: its clients would wait for nothing
                self._become_follower(self.hard_state.term, "")
                return
        if self._transfer and self._now_ms >= self._transfer[1]:
            self._transfer = None  # it did not take over in time; go on here
        if self._now_ms >= self._next_heartbeat_ms:
            self._broadcast_append()

    def _is_quorum(self, names: set[str]) -> bool:
        return sum(name in names for name in self.membership.voters) >= self.membership.quorum

    # --- What is asked of it -------------------------------------------------------------------------
    def _require_leader(self, now: float) -> None:
        self.tick(now)
        if self.role is not Role.LEADER:
            raise RefusedError("this replica does not lead")

    def propose(self, now: float, data: bytes, kind: EntryKind = EntryKind.COMMAND) -> int:
        """Append a command where this replica leads; its index. RefusedError elsewhere."""
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
        """Ask up to where a current read must be applied [6.4]; RefusedError where nobody leads."""
        self.tick(now)
        if self.role is Role.LEADER:
            self._start_read(token, "")
        elif self.leader and not self.disk_failed:
            self._forwarded_reads[token] = self.leader
            self._send_after_sync(self.leader, m.ReadIndex(self.hard_state.term, token))
        else:
            raise RefusedError("no leader is known")

    def cancel_read(self, token: int) -> None:
        """Nobody waits for a read any more."""
        self._forwarded_reads.pop(token, None)

    def _start_read(self, token: int, requester: str) -> None:
        # Until an entry of its own term is committed, it does not know all that is [6.4]; its first one is.
        index = max(self.commit_index, self._term_start_index)
        self._heartbeat_round += 1
        self._pending_reads.append(PendingRead(self._heartbeat_round, index, token, requester))
        self._broadcast_append()
        self._confirm_reads()

    def change_membership(self, now: float, membership: Membership) -> int:
        """Begin a change of membership [4.1]; its index. RefusedError says what stands against it."""
        self._require_leader(now)
        if self.commit_index < self._term_start_index or self.membership_index > self.commit_index:
            raise BusyError("another change is not committed yet")
        moved = set(membership.voters) ^ set(self.membership.voters)
        if len(moved) > 1:
            raise RefusedError("one voter may come or go at a time")
        if not membership.voters:
            raise RefusedError("one voter must be left")
        if len(set(membership.names)) != len(membership.names):
            raise RefusedError("a name may stand once")
        for name in moved & set(membership.voters):
            self._require_caught_up(name)
        return self.propose(now, encode(membership), EntryKind.MEMBERSHIP)

    def _require_caught_up(self, name: str) -> None:
        other = self.progress.get(name)
        if other is None:
            raise RefusedError(f"{name} must be a learner first")
        lack = self.log.last_index - other.match_index
        if lack > MAX_LEARNER_LAG_ENTRIES or other.last_response_ms < self._now_ms - self.options.election_ms:
            raise RefusedError(
                f"{name} lacks {lack} entries or is not heard; up to {MAX_LEARNER_LAG_ENTRIES} may be lacking"
            )

    def transfer_leadership(self, now: float, name: str) -> None:
        """Hand the leadership over [3.10], if `name` has it not; RefusedError where that can't be."""
        self._require_leader(now)
        if name not in self.membership.voters:
            raise RefusedError(f"{name} is no voter")
        if name == self.name:
            return  # it leads already
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

    # --- The disk --------------------------------------------------------------------------------------
    def take_output(self) -> Output:
        """What is to be done since the last call."""
        if self._has_new_entries and self.role is Role.LEADER:
            for name in self.progress:
                self._send_append(name)
        self._has_new_entries = False
        out, self._output = self._output, Output()
        if self._next_unwritten_index <= self.log.last_index:
            out.entries = self.log.entries_after(self._next_unwritten_index - 1)
            self._next_unwritten_index = self.log.last_index + 1
        if self.hard_state != self._written_hard_state:
            out.hard_state = self._written_hard_state = self.hard_state
        upto = min(self.commit_index, self.synced_index)
        if upto > self.applied_index:
            out.committed_entries = self.log.entries_after(self.applied_index, last=upto)
            self.applied_index = upto
        return out

    def mark_synced(self, now: float, index: int) -> None:
        """All that was handed out is on the disk, the log up to an index."""
        self.tick(now)
        self.synced_index = min(index, self.log.last_index)
        self._finish_recovery()
        if self.role is Role.LEADER:
            self._advance_commit_index()
        elif self.role is Role.CANDIDATE:
            self._count_votes()

    def compact_log(self, snapshot: Snapshot) -> None:
        """A snapshot of what was applied is on the disk; earlier entries may go."""
        if snapshot.index > self.log.snapshot.index:
            self.log.compact(snapshot)

    def mark_disk_failed(self) -> None:
        """The disk failed: what was promised may not be kept, so nothing more is promised."""
        if self.role is Role.LEADER:
            self._become_follower(self.hard_state.term, "")
        self.disk_failed, self.role, self._election_deadline_ms = True, Role.FOLLOWER, float("inf")
        self._output.messages.clear()

    def mark_disk_recovered(self, now: float) -> None:
        """The disk holds log and hard state anew: take part again, as a follower that has heard nothing."""
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
        """Take a message in."""
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
        """Whether a message is of another term and ends here; a higher one is taken over first."""
        term = self.hard_state.term
        if isinstance(message, m.RecoveryRequest | m.RecoveryResponse) or message.term == term:
            return False
        if message.term < term:
            # It led once, or asks for votes in vain: tell the term.
            if isinstance(message, m.AppendEntries | m.InstallSnapshot):
                self._send_after_sync(
                    sender, m.AppendEntriesResponse(term, False, 0, message.heartbeat_round)
                )
            elif isinstance(message, m.RequestVote):
                self._send_after_sync(sender, m.RequestVoteResponse(term, False, message.pre_vote))
            return True
        if isinstance(message, m.RequestVote):
            # Nobody takes a living leader down: one cut off or removed would do it again and again [4.2.3].
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
        """Whether a leader was heard within the shortest election time, or is this replica."""
        return self.role is Role.LEADER or (
            bool(self.leader) and self._now_ms - self._leader_seen_ms < self.options.election_ms
        )

    def _send_after_sync(self, to: str, message: Message) -> None:
        self._output.messages.append((to, message))

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
        """Whoever was asked for a read leads no more, or is not heard: the answer may never come."""
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
            self._count_votes()  # a vote for itself counts once it is on the disk

    def _handle_vote_request(self, sender: str, message: m.RequestVote) -> None:
        if self._has_lost_entries(message.acknowledged_index):
            return
        fresh = (message.last_term, message.last_index) >= (self.log.last_term, self.log.last_index)
        known = self._acknowledged_indexes.get(sender, 0)
        if message.pre_vote:
            granted = message.term > self.hard_state.term and not self._has_live_leader()
        else:
            granted = self.hard_state.voted_for in ("", sender)
        granted = granted and fresh and not self.hard_state.recovering
        if granted and not message.pre_vote:
            self.hard_state = HardState(self.hard_state.term, sender)
            self._reset_election_timer()
        term = message.term if granted else self.hard_state.term
        self._send_after_sync(sender, m.RequestVoteResponse(term, granted, message.pre_vote, known))

    def _handle_vote_response(self, sender: str, message: m.RequestVoteResponse) -> None:
        wanted = Role.PRE_CANDIDATE if message.pre_vote else Role.CANDIDATE
        if self._has_lost_entries(message.acknowledged_index) or self.role is not wanted:
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
        """One progress for each other member."""
        old, self.progress = self.progress, {}
        for name in self.membership.names:
            if name != self.name:
                self.progress[name] = old.get(name) or Progress(
                    self.log.last_index + 1, last_response_ms=self._now_ms
                )

    # --- The leader's side of the log [3.5] ------------------------------------------------------------
    def _broadcast_append(self) -> None:
        self._next_heartbeat_ms = self._now_ms + self.options.heartbeat_ms
        for name, other in self.progress.items():
            other.awaits_response = False
            self._send_append(name, force=True)

    def _send_append(self, name: str, force: bool = False) -> None:
        """What a member lacks, as far as it may be sent; with `beat` one message at least."""
        progress = self.progress[name]
        while force or self._can_send(progress):
            force = False
            if progress.snapshot or progress.next_index <= self.log.base_index:
                self._send_snapshot_chunk(name, progress)
                return
            prev = progress.next_index - 1
            term = self.log.term_at(prev)
            assert term is not None
            # While it is probed, or has not answered for long, entries would be sent in vain.
            full = progress.probing or progress.next_index - progress.match_index > MAX_UNACKNOWLEDGED_ENTRIES
            entries = () if full else self.log.entries_after(prev, MAX_APPEND_BYTES)
            progress.awaits_response = progress.probing
            progress.next_index += len(entries)
            marks = tuple((each, self._acknowledged_index(each)) for each in (self.name, *self.progress))
            self._output.early_messages.append(
                (
                    name,
                    m.AppendEntries(
                        self.hard_state.term,
                        prev,
                        term,
                        entries,
                        self.commit_index,
                        self._heartbeat_round,
                        progress.match_index,
                        marks,
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
        """Up to where a member holds committed entries: these it can't lose in good order."""
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
            if self.role is not Role.LEADER:  # that committed its own removal
                return
            self._send_timeout_now(sender)
        elif not progress.snapshot:
            # What it held once it may have lost with its disk: what counts is what it says now.
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
        """Reads whose round a quorum has answered: it led when they came."""
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
        """Commit what a quorum holds, where the last entry of it is of this term [3.6.2]."""
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
                self._broadcast_append()  # the others learn that it is committed
                self._become_follower(self.hard_state.term, "")

    def _reload_membership(self) -> None:
        """Membership holds from the moment that it stands in the log [4.1]."""
        self.membership, self.membership_index = self.log.membership()
        if self.role is Role.LEADER:
            self._update_progress()

    # --- The follower's side ---------------------------------------------------------------------------
    def _record_leader(self, sender: str) -> None:
        """A leader of this term has spoken."""
        if self.role is not Role.FOLLOWER:
            self._become_follower(self.hard_state.term, sender)
        self.leader, self._leader_seen_ms = sender, self._now_ms
        self._reset_election_timer()

    def _handle_append(self, sender: str, message: m.AppendEntries) -> None:
        assert self.role is not Role.LEADER, "two leaders of one term"
        self._record_leader(sender)
        self._acknowledged_indexes.update(message.acknowledged_indexes)
        if self._has_lost_entries(message.acknowledged_index) or self._awaits_recovery_goal():
            self._request_recovery()  # at each heartbeat: nobody may have heard it the first time
            return
        index = message.prev_index
        if index < self.commit_index and (held := self._committed_match(message)) is not None:
            self._send_after_sync(
                sender, m.AppendEntriesResponse(self.hard_state.term, True, held, message.heartbeat_round)
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
        """Entries that are committed here agree in any case; only what lies behind them is compared.

        What is to be answered where that is nothing, or where the log no longer goes back so far.
        """
        last = message.prev_index + len(message.entries)
        if last <= self.commit_index or message.prev_index < self.log.base_index:
            return self.commit_index
        return None

    def _conflict_hint(self, index: int) -> int:
        """The last index that may agree, before the whole of a term that does not."""
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
        ):  # held already, and so is all before it
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

    # --- A disk that may have lost what it acknowledged ---------------------------------------------------
    def _has_lost_entries(self, acknowledged_index: int) -> bool:
        """Whether another knows that more was acknowledged here than there is: an older disk was put back."""
        if acknowledged_index <= self.log.last_index or (
            self.hard_state.recovering and not self._awaits_recovery_goal()
        ):
            return False
        if not self._awaits_recovery_goal():
            self._enter_recovery()
        return True

    def _enter_recovery(self) -> None:
        """Give no vote and acknowledge nothing until the others have told what was promised."""
        if self.membership.voters == (self.name,):
            return  # nobody else could tell
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
        """Of each quorum that it may have been part of, another is among so many others (VR's recovery)."""
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
        self.hard_state = HardState(
            term, UNKNOWN_VOTE, goal != (0, 0), goal
        )  # where nobody holds anything, nothing is lost
        self._finish_recovery()

    def _finish_recovery(self) -> None:
        """End the doubt where all is held again that may have been acknowledged."""
        hard = self.hard_state
        if not hard.recovering or self._awaits_recovery_goal():
            return
        if (self.log.term_at(self.synced_index) or 0, self.synced_index) >= hard.recovery_goal:
            self.hard_state = HardState(hard.term, hard.voted_for)
