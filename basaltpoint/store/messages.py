"""Structures of the consensus layer: log entries, membership, persistent state and messages between replicas.

All are msgspec structures, written to disk and to the wire as MessagePack arrays. New fields are appended
with a default, so that replicas of two versions understand each other during a rolling upgrade.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec


class EntryKind(IntEnum):
    """The content of a log entry."""

    COMMAND = 0  # a command for the state machine
    MEMBERSHIP = 1  # the cluster's membership from this entry on
    NO_OP = 2  # the first entry of a new leader; committing it commits entries of earlier terms


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log."""

    term: int
    index: int
    kind: EntryKind
    data: bytes = b""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A replica of the cluster.

    A name is never used again after a removal: otherwise a replica with a new disk could vote against
    promises that the former replica made under the same name.
    """

    name: str
    address: str = ""  # HOST:PORT for its peers
    voter: bool = True  # False: a learner


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """The voters and learners of the cluster."""

    members: tuple[Member, ...] = ()

    @property
    def voters(self) -> tuple[str, ...]:
        return tuple(member.name for member in self.members if member.voter)

    @property
    def names(self) -> tuple[str, ...]:
        return tuple(member.name for member in self.members)

    def find(self, name: str) -> Member | None:
        return next((member for member in self.members if member.name == name), None)

    @property
    def quorum(self) -> int:
        return len(self.voters) // 2 + 1


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """State that must be on disk before a replica responds to a message."""

    term: int = 0
    voted_for: str = ""  # the candidate that received the vote in this term; empty: none
    # While the replica may lack entries that it acknowledged, it grants no vote (see `Raft._enter_recovery`).
    recovering: bool = False
    recovery_goal: tuple[int, int] = (0, 0)  # term and index of the last entry needed to end the recovery


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state of the state machine that replaces all entries up to `index`."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    data: bytes = b""


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages between replicas; `term` is the sender's current term."""

    term: int


class RequestVote(Message, frozen=True, tag="v"):
    """Requests a vote; with `pre_vote`, asks only whether the vote would be granted (Ongaro 9.6)."""

    last_index: int
    last_term: int
    pre_vote: bool = False
    is_transfer: bool = False  # part of a leadership transfer: an active leader is no reason to reject it
    acknowledged_index: int = 0  # index up to which the receiver is known to have acknowledged entries


class RequestVoteResponse(Message, frozen=True, tag="V"):
    """Response to `RequestVote`."""

    granted: bool
    pre_vote: bool = False
    acknowledged_index: int = 0  # index up to which the candidate is known to have acknowledged entries


class AppendEntries(Message, frozen=True, tag="a"):
    """Entries after `prev_index`; without entries, a heartbeat."""

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    heartbeat_round: int  # echoed in the response: proves that the sender still led when it sent this message
    acknowledged_index: int = 0  # index up to which the receiver has acknowledged entries to this leader
    # Acknowledged index of every member. It lets a later leader or voter detect a replica that lost entries.
    acknowledged_indexes: tuple[tuple[str, int], ...] = ()


class AppendEntriesResponse(Message, frozen=True, tag="A"):
    """Response to `AppendEntries`, and to the last part of `InstallSnapshot`.

    `index` is the last index that matches the leader's log or, without `success`, the last that may match.
    """

    success: bool
    index: int
    heartbeat_round: int


class InstallSnapshot(Message, frozen=True, tag="c"):
    """A part of a snapshot, for a follower that needs entries that the leader's log no longer holds."""

    last_included_index: int
    last_included_term: int
    membership: Membership
    offset: int  # bytes
    total_bytes: int
    data: bytes
    heartbeat_round: int


class InstallSnapshotResponse(Message, frozen=True, tag="C"):
    """Response to a part of a snapshot that is not the last: the offset in bytes that is needed next."""

    last_included_index: int
    next_offset: int
    heartbeat_round: int


class TimeoutNow(Message, frozen=True, tag="t"):
    """Tells the target of a leadership transfer to start an election at once (Ongaro 3.10)."""


class ReadIndex(Message, frozen=True, tag="r"):
    """A follower requests the read index: the index that it must have applied for a linearizable read."""

    token: int


class ReadIndexResponse(Message, frozen=True, tag="R"):
    """Response to `ReadIndex`; `index` is -1 where the receiver is not the leader."""

    token: int
    index: int


class RecoveryRequest(Message, frozen=True, tag="h"):
    """A replica that may have lost acknowledged entries asks the others for the end of their logs."""


class RecoveryResponse(Message, frozen=True, tag="H"):
    """Response to `RecoveryRequest`."""

    last_index: int
    last_term: int


AnyMessage = (
    RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | InstallSnapshotResponse
    | TimeoutNow
    | ReadIndex
    | ReadIndexResponse
    | RecoveryRequest
    | RecoveryResponse
)
