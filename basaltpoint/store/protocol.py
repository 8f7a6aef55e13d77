"""What goes over the store's connections after the greeting: requests, answers, messages of replicas."""

from __future__ import annotations

import msgspec

from basaltpoint.links.frames import Frame, Greeting, WireProtocol
from basaltpoint.store import messages
from basaltpoint.store import state_machine as kv

MAX_COMMAND_BYTES = (
    4 << 20
)  # bytes of the longest command: with its head it fits into a frame between replicas
PAGE_BYTES = 1 << 20  # bytes of keys and values in one answer


class ReplicaMessage(Frame, frozen=True, tag="m"):
    """A message of the core."""

    message: messages.AnyMessage


class ExecuteCommand(Frame, frozen=True, tag="do"):
    """Apply a command."""

    ident: int
    command: kv.Command


class Get(Frame, frozen=True, tag="get"):
    """What stands under all keys with a prefix, after a key; `local` asks for no proof that it is current."""

    ident: int
    prefix: str
    after: str = ""
    local: bool = False
    exact: bool = False


class Watch(Frame, frozen=True, tag="watch"):
    """Tell all changes from a revision on."""

    ident: int
    prefix: str
    revision: int


class CancelWatch(Frame, frozen=True, tag="unwatch"):
    """End a watch."""

    ident: int


class GetStatus(Frame, frozen=True, tag="status"):
    """Tell how it stands."""

    ident: int


class ChangeMembership(Frame, frozen=True, tag="change"):
    """Change the membership: what is one of add, promote, remove."""

    ident: int
    action: str
    name: str
    address: str = ""


class TransferLeadership(Frame, frozen=True, tag="transfer"):
    """Hand the leadership to a member."""

    ident: int
    name: str


class TakeSnapshot(Frame, frozen=True, tag="snap"):
    """Write a snapshot now."""

    ident: int


class DumpState(Frame, frozen=True, tag="dump"):
    """Tell the whole state, from an offset on; 0 begins anew, with what is current."""

    ident: int
    offset: int


class DumpChunk(Frame, frozen=True, tag="U"):
    """A part of the state."""

    ident: int
    total_bytes: int
    data: bytes
    error: str = ""


class CommandResponse(Frame, frozen=True, tag="D"):
    """The answer to a command; `error` as in machine.Result, or unavailable, unknown, refused."""

    ident: int
    result: kv.Result


class Page(Frame, frozen=True, tag="P"):
    """The answer to `Get`: with `more` it is to be asked again, after the last key."""

    ident: int
    revision: int
    values: dict[str, kv.Value]
    more: bool = False
    error: str = ""
    age_ms: float = 0.0  # how long ago this replica knew that it was current


class WatchEvents(Frame, frozen=True, tag="E"):
    """Changes, in their order; `compacted` ends the watch: not all of them are held any more."""

    ident: int
    revision: int  # all up to it have been told
    events: tuple[kv.Event, ...]
    compacted: int = 0


class ReplicaStatus(Frame, frozen=True, tag="S"):
    """How a replica stands."""

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
    recovering: bool
    failure: str
    age_ms: float
    match_indexes: dict[str, int] = msgspec.field(default_factory=dict)  # of a leader: what each member holds


class ForwardedRequest(Frame, frozen=True, tag="f"):
    """A follower passes a client's request on to the leader."""

    ident: int
    request: ExecuteCommand | ChangeMembership | TransferLeadership


class ForwardedResponse(Frame, frozen=True, tag="F"):
    """The leader's answer to it."""

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
