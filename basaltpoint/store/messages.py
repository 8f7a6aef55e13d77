"""What the consensus core speaks of: entries, members, what must be kept on disk, and messages.

All are msgspec structures: on disk and on the wire they are MessagePack. New fields come last, with a
default, so that replicas of two versions understand each other while one after the other is replaced.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec


class EntryKind(IntEnum):
    """What an entry of the log holds."""

    COMMAND = 0  # for the state machine
    MEMBERSHIP = 1  # who belongs to the cluster from here on
    NO_OP = 2  # a new leader's first: with it, entries of earlier terms are committed


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log."""

    term: int
    index: int
    kind: EntryKind
    data: bytes = b""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A replica: its name never comes again, else a new disk could vote for what an old one promised."""

    name: str
    address: str = ""  # HOST:PORT for its peers
    voter: bool = True


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """Who belongs to the cluster."""

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
    """What a replica must never forget."""

    term: int = 0
    voted_for: str = ""  # whom it voted for in the term
    # While it is not sure to hold all that it acknowledged, it gives no vote (see Raft.recovering).
    recovering: bool = False
    recovery_goal: tuple[int, int] = (0, 0)  # term and index of the last entry it must hold again


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state up to an entry, in that entry's place."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    data: bytes = b""


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Any message between replicas; `term` is the sender's."""

    term: int


class RequestVote(Message, frozen=True, tag="v"):
    """Asks for a vote; `pre`: only whether it would be given (Ongaro 9.6)."""

    last_index: int
    last_term: int
    pre_vote: bool = False
    is_transfer: bool = False  # the leader itself hands over, so that a living leader is no reason to refuse
    acknowledged_index: int = 0  # index up to which the receiver is known to have acknowledged


class RequestVoteResponse(Message, frozen=True, tag="V"):
    """The answer to it."""

    granted: bool
    pre_vote: bool = False
    acknowledged_index: int = 0  # index up to which the asker is known to have acknowledged


class AppendEntries(Message, frozen=True, tag="a"):
    """Entries after `prev_index`; with none it is a heartbeat."""

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    heartbeat_round: int  # of heartbeats: its echo proves that the sender still led when it was sent
    acknowledged_index: int = 0  # index that the receiver has acknowledged to this leader
    acknowledged_indexes: tuple[
        tuple[str, int], ...
    ] = ()  # what others have, for the time when this leader is gone


class AppendEntriesResponse(Message, frozen=True, tag="A"):
    """The answer to it: `index` is the last that agrees, or with `good` false the last that may."""

    success: bool
    index: int
    heartbeat_round: int


class InstallSnapshot(Message, frozen=True, tag="c"):
    """A part of a snapshot for one who lacks entries that the log no longer holds."""

    last_included_index: int
    last_included_term: int
    membership: Membership
    offset: int
    total_bytes: int
    data: bytes
    heartbeat_round: int


class InstallSnapshotResponse(Message, frozen=True, tag="C"):
    """The answer to it: the offset wanted next."""

    last_included_index: int
    next_offset: int
    heartbeat_round: int


class TimeoutNow(Message, frozen=True, tag="t"):
    """Stand for election now: the leader hands over (Ongaro 3.10)."""


class ReadIndex(Message, frozen=True, tag="r"):
    """A follower asks the leader up to which index it must have applied for a current read."""

    token: int


class ReadIndexResponse(Message, frozen=True, tag="R"):
    """The answer to it; -1 where the asked one does not lead."""

    token: int
    index: int


class RecoveryRequest(Message, frozen=True, tag="h"):
    """One who may have lost what it acknowledged asks what the others hold."""


class RecoveryResponse(Message, frozen=True, tag="H"):
    """The answer to it."""

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
