"""What peers tell each other: rows about members, and the messages that carry them.

All are MessagePack arrays. New fields come last, with a default: those of a newer version are left unread,
and a message of a kind that this version does not know is passed over.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Any

import msgspec

from basaltpoint.links.frames import Frame, Greeting, WireProtocol

MAX_MESSAGE_BYTES = 64 << 10  # bytes of the longest message; a longer one ends the connection
MAX_SEND_BUFFER_BYTES = (
    256 << 10
)  # bytes waiting for a member that reads slowly; beyond, messages to it are dropped
MAX_RECORDS_PER_MESSAGE = 128  # of one message; a view that has more goes in several
INCARNATION_LIMIT = 1 << 53  # incarnations stay below it: beyond, a row is refused


class MemberState(IntEnum):
    """A member's; within one incarnation the higher wins."""

    JOINING = 0  # it has not heard yet whether its name is free
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4  # it said so, or an operator did


LIVE_STATES = (MemberState.JOINING, MemberState.ALIVE, MemberState.SUSPECT)


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is said of one member."""

    name: str
    address: str  # HOST:PORT for the others
    incarnation: int  # only the member itself raises it
    state: MemberState
    instance_id: int  # drawn anew by each process: tells two of one name apart
    reported_by: str = ""  # of a suspicion: who suspects
    connection_refused: bool = (
        False  # of a suspicion: its host refuses connections, it does not merely keep silent
    )
    self_report: int = 0  # counts what the member says of itself within an incarnation
    unreachable: tuple[
        str, ...
    ] = ()  # living members that it can't reach itself; > before those that it hears

    @property
    def is_live(self) -> bool:
        return self.state in LIVE_STATES


class Message(Frame, frozen=True):
    """Any message; `rows` ride along."""

    records: tuple[MemberRecord, ...] = ()


class Ping(Message, frozen=True, tag="p"):
    """Are you there? An `Ack` answers. Asked on behalf of `origin`, who gets an `Ack` as well."""

    seq: int = 0
    origin: str = ""
    origin_address: str = ""
    origin_seq: int = 0


class Ack(Message, frozen=True, tag="a"):
    """The answer: it lives under this life, for so long."""

    seq: int = 0
    instance_id: int = 0
    age_ms: float = 0.0
    is_direct: bool = True  # False: passed on by another


class PingRequest(Message, frozen=True, tag="q"):
    """Ping another for me."""

    seq: int = 0
    target: str = ""
    address: str = ""


class Nack(Message, frozen=True, tag="n"):
    """I could not reach it in time, but you reach me; `refused`: its host refuses."""

    seq: int = 0
    connection_refused: bool = False


class Gossip(Message, frozen=True, tag="g"):
    """Rows alone."""


class PushPull(Message, frozen=True, tag="s"):
    """A full exchange. The asker tells its view's digest; one whose view differs answers with all its rows,
    and the asker then tells those of its own that differ. The last message has `last`."""

    digest: int = 0
    step: int = 0  # 0 asked, 1 answered, 2 told back
    is_last: bool = True


class ViewRequest(Message, frozen=True, tag="l"):
    """An operator asks for a member's view."""

    request_id: int = 0


class MemberView(msgspec.Struct, frozen=True, array_like=True):
    """One member as another sees it."""

    record: MemberRecord
    since_ms: float  # how long it has been in this state here
    last_heard_ms: float  # how long ago its own word came, directly; -1: never
    rtt_ms: float  # of the last answer; -1: none


class ViewResponse(Frame, frozen=True, tag="L"):
    """The answer to it."""

    request_id: int
    member: str
    members: tuple[MemberView, ...]
    health_score: int  # how far it doubts itself, 0 to 8
    problems: tuple[str, ...] = ()  # members that were named for what they sent


class RemoveRequest(Message, frozen=True, tag="r"):
    """An operator declares a member gone for good."""

    request_id: int = 0
    name: str = ""
    force: bool = False


class RemoveResponse(Frame, frozen=True, tag="R"):
    """The answer to it; `problem` says why not."""

    request_id: int
    problem: str = ""


class UnknownMessage(Frame, frozen=True, tag="?"):
    """A message of a kind that this version does not know."""


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
    """One frame; msgspec.DecodeError where it is none."""
    try:
        return _decode(data)
    except msgspec.ValidationError:
        parts = _kind(data)
        if parts and isinstance(parts[0], str) and parts[0] not in KNOWN_TAGS:
            return UnknownMessage()
        raise


PEER_PROTOCOL = WireProtocol("fleet", decode, MAX_MESSAGE_BYTES, MAX_SEND_BUFFER_BYTES)
