"""Frames on the store's connections after the greeting: requests, responses and messages between replicas."""

from __future__ import annotations

import msgspec

from basaltpoint.links.frames import Frame, Greeting, WireProtocol
from basaltpoint.store import messages
from basaltpoint.store import state_machine as kv

MAX_COMMAND_BYTES = 4 << 20  # a command of this size and its header fit into one frame between replicas
PAGE_BYTES = 1 << 20  # keys and values in one response; a page ends once it reaches this size


class ReplicaMessage(Frame, frozen=True, tag="m"):
    """A Raft message from one replica to another."""

    message: messages.AnyMessage


class ExecuteCommand(Frame, frozen=True, tag="do"):
    """Applies a command of the state machine."""

    ident: int
    command: kv.Command


class Get(Frame, frozen=True, tag="get"):
    """Reads the values of all keys with a prefix that sort after `after`.

    `exact` reads the key `prefix` alone. `local` reads the replica's state as it is, without a linearizable
    read.
    """

    ident: int
    prefix: str
    after: str = ""
    local: bool = False
    exact: bool = False


class Watch(Frame, frozen=True, tag="watch"):
    """Subscribes to all changes of keys with a prefix from a revision on."""

    ident: int
    prefix: str
    revision: int


class CancelWatch(Frame, frozen=True, tag="unwatch"):
    """Ends a watch."""

    ident: int


class GetStatus(Frame, frozen=True, tag="status"):
    """Requests the replica's status."""

    ident: int


class ChangeMembership(Frame, frozen=True, tag="change"):
    """Changes the membership; `action` is one of add, promote, remove."""

    ident: int
    action: str
    name: str
    address: str = ""


class TransferLeadership(Frame, frozen=True, tag="transfer"):
    """Transfers the leadership to a member."""

    ident: int
    name: str


class TakeSnapshot(Frame, frozen=True, tag="snap"):
    """Starts to write a snapshot."""

    ident: int


class DumpState(Frame, frozen=True, tag="dump"):
    """Requests the whole state from an offset in bytes on; offset 0 starts with a linearizable read."""

    ident: int
    offset: int


class DumpChunk(Frame, frozen=True, tag="U"):
    """A part of the state, in response to `DumpState`."""

    ident: int
    total_bytes: int
    data: bytes
    error: str = ""


class CommandResponse(Frame, frozen=True, tag="D"):
    """Response to a command; its `error` is as in `Result`, or unavailable, unknown, refused."""

    ident: int
    result: kv.Result


class Page(Frame, frozen=True, tag="P"):
    """Response to `Get`; with `more`, the client continues after the last key."""

    ident: int
    revision: int
    values: dict[str, kv.Value]
    more: bool = False
    error: str = ""
    age_ms: float = 0.0  # time since this replica last had a leader


class WatchEvents(Frame, frozen=True, tag="E"):
    """Changes in order.

    A nonzero `compacted` ends the watch: it is the oldest revision kept, or -1 for too many watches.
    """

    ident: int
    revision: int  # all events up to this revision have been sent
    events: tuple[kv.Event, ...]
    compacted: int = 0


class ReplicaStatus(Frame, frozen=True, tag="S"):
    """Status of a replica."""

    ident: int
    name: str
    cluster: str
    role: str
    leader: str
    term: int
    commit_index: int
    applied_index: int
    last_index: int
    revision: int
    state_bytes: int
    membership: messages.Membership
    recovering: bool  # may lack entries that it acknowledged
    failure: str  # why the replica takes no part; empty: it does
    age_ms: float  # time since this replica last had a leader
    # At the leader: match index of each other member.
    match_indexes: dict[str, int] = msgspec.field(default_factory=dict)


class ForwardedRequest(Frame, frozen=True, tag="f"):
    """A client's request that a follower forwards to the leader."""

    ident: int
    request: ExecuteCommand | ChangeMembership | TransferLeadership


class ForwardedResponse(Frame, frozen=True, tag="F"):
    """The leader's response to `ForwardedRequest`."""

    ident: int
    result: kv.Result


Request = (
    ExecuteCommand
    | Get
    | Watch
    | CancelWatch
    | GetStatus
    | ChangeMembership
    | TransferLeadership
    | TakeSnapshot
    | DumpState
)
AnyFrame = (
    Greeting
    | ReplicaMessage
    | ForwardedRequest
    | ForwardedResponse
    | Request
    | CommandResponse
    | Page
    | WatchEvents
    | ReplicaStatus
    | DumpChunk
)

STORE_PROTOCOL = WireProtocol("store", msgspec.msgpack.Decoder(AnyFrame).decode)
