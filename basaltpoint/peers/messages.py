"""Member records and the messages that carry them between the limiters of a fleet.

All are MessagePack arrays. New fields are appended with a default. A process ignores fields and kinds of
messages of newer versions that it does not know.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Any

import msgspec

from basaltpoint.links.frames import Frame, Greeting, WireProtocol

MAX_MESSAGE_BYTES = 64 << 10  # a longer message closes the connection
MAX_SEND_BUFFER_BYTES = 256 << 10  # above, messages to a slowly reading member are dropped
MAX_RECORDS_PER_MESSAGE = 128  # a larger view is sent in several messages
INCARNATION_LIMIT = 1 << 53  # incarnations are below; a record at or above it is rejected


class MemberState(IntEnum):
    """State of a member; within one incarnation the higher value takes precedence."""

    JOINING = 0  # does not know yet whether its name is free
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4  # left by itself, or was removed by an operator


LIVE_STATES = (MemberState.JOINING, MemberState.ALIVE, MemberState.SUSPECT)


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """State of one member as it is gossiped."""

    name: str
    address: str  # HOST:PORT at which the other members reach it
    incarnation: int  # raised only by the member itself, to refute suspicion
    state: MemberState
    instance_id: int  # random for each process: distinguishes two processes with one name
    reported_by: str = ""  # the member that suspects it, declared it dead or removed it
    connection_refused: bool = False  # of a suspicion: its host refuses connections (else: no response)
    self_report: int = 0  # counts the changes of `unreachable` within an incarnation
    # Live members that it can't reach itself; prefixed with > if it still receives their messages.
    unreachable: tuple[str, ...] = ()

    @property
    def is_live(self) -> bool:
        return self.state in LIVE_STATES


class Message(Frame, frozen=True):
    """Base class of membership messages; `records` are piggybacked."""

    records: tuple[MemberRecord, ...] = ()


class Ping(Message, frozen=True, tag="p"):
    """A probe, answered with an `Ack`. For an indirect probe the target sends an `Ack` to `origin`, too."""

    seq: int = 0
    origin: str = ""
    origin_address: str = ""
    origin_seq: int = 0


class Ack(Message, frozen=True, tag="a"):
    """Response to a `Ping`: the target's instance and how long ago its process started."""

    seq: int = 0
    instance_id: int = 0
    age_ms: float = 0.0
    is_direct: bool = True  # False: response to an indirect probe


class PingRequest(Message, frozen=True, tag="q"):
    """Asks a helper to probe `target` for the sender (an indirect probe; SWIM's ping-req)."""

    seq: int = 0
    target: str = ""
    address: str = ""


class Nack(Message, frozen=True, tag="n"):
    """A helper's negative response: no ack from the target in time, or its host refused the connection.

    It also shows the requester that its own link to the helper works (Lifeguard).
    """

    seq: int = 0
    connection_refused: bool = False


class Gossip(Message, frozen=True, tag="g"):
    """Carries piggybacked records only."""


class PushPull(Message, frozen=True, tag="s"):
    """Push-pull exchange of two whole views.

    The initiator sends the digest of its view. A member whose view differs responds with all its records, and
    the initiator then returns its own records that differ. The last message of each step has `is_last`.
    """

    digest: int = 0
    step: int = 0  # 0: digest; 1: all records of the responder; 2: differing records of the initiator
    is_last: bool = True


class ViewRequest(Message, frozen=True, tag="l"):
    """An operator's request for a member's view."""

    request_id: int = 0


class MemberView(msgspec.Struct, frozen=True, array_like=True):
    """One member as another sees it."""

    record: MemberRecord
    since_ms: float  # time since this view last saw its state change
    last_heard_ms: float  # time since the last message that came directly from it; -1: never
    rtt_ms: float  # round-trip time of the last direct ack; -1: none


class ViewResponse(Frame, frozen=True, tag="L"):
    """Response to `ViewRequest`."""

    request_id: int
    member: str
    members: tuple[MemberView, ...]
    health_score: int  # Lifeguard's local health: 0 is healthy, 8 is worst
    problems: tuple[str, ...] = ()  # members that sent something invalid, with the reason


class RemoveRequest(Message, frozen=True, tag="r"):
    """An operator's request to remove a member permanently."""

    request_id: int = 0
    name: str = ""
    force: bool = False


class RemoveResponse(Frame, frozen=True, tag="R"):
    """Response to `RemoveRequest`; `problem` is empty on success."""

    request_id: int
    problem: str = ""


class UnknownMessage(Frame, frozen=True, tag="?"):
    """A message of a kind that this version does not know; it is ignored."""


AnyMessage = (
    Ping
    | Ack
    | PingRequest
    | Nack
    | Gossip
    | PushPull
    | ViewRequest
    | ViewResponse
    | RemoveRequest
    | RemoveResponse
)
_decode = msgspec.msgpack.Decoder(Greeting | AnyMessage).decode
_kind = msgspec.msgpack.Decoder(list[Any]).decode
KNOWN_TAGS = frozenset(["hi", "p", "a", "q", "n", "g", "s", "l", "L", "r", "R"])


def decode(data: memoryview) -> Any:
    """Decodes one frame; raises msgspec.DecodeError if it is invalid."""
    try:
        return _decode(data)
    except msgspec.ValidationError:
        fields = _kind(data)
        if fields and isinstance(fields[0], str) and fields[0] not in KNOWN_TAGS:
            return UnknownMessage()
        raise


PEER_PROTOCOL = WireProtocol("fleet", decode, MAX_MESSAGE_BYTES, MAX_SEND_BUFFER_BYTES)
