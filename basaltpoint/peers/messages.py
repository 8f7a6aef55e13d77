"""What peers tell each other: rows about members, and the messages that carry them.

All are MessagePack arrays. New fields come last, with a default: those of a newer version are left unread,
and a message of a kind that this version does not know is passed over.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Any

import msgspec

from basaltpoint.links.frames import Greeting, Part, Speech

FRAME = 64 << 10  # bytes of the longest message; a longer one ends the connection
BUFFER = 256 << 10  # bytes waiting for a member that reads slowly; beyond, messages to it are dropped
ROWS = 128  # of one message; a view that has more goes in several
LAST = 1 << 53  # incarnations stay below it: beyond, a row is refused


class State(IntEnum):
    """A member's; within one incarnation the higher wins."""

    JOINING = 0  # it has not heard yet whether its name is free
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4  # it said so, or an operator did


LIVE = (State.JOINING, State.ALIVE, State.SUSPECT)


class Row(msgspec.Struct, frozen=True, array_like=True):
    """What is said of one member."""

    name: str
    address: str  # HOST:PORT for the others
    incarnation: int  # only the member itself raises it
    state: State
    life: int  # drawn anew by each process: tells two of one name apart
    by: str = ""  # of a suspicion: who suspects
    refused: bool = False  # of a suspicion: its host refuses connections, it does not merely keep silent
    report: int = 0  # counts what the member says of itself within an incarnation
    unreached: tuple[str, ...] = ()  # living members that it can't reach itself; > before those that it hears

    @property
    def live(self) -> bool:
        return self.state in LIVE


class Message(Part, frozen=True):
    """Any message; `rows` ride along."""

    rows: tuple[Row, ...] = ()


class Ping(Message, frozen=True, tag="p"):
    """Are you there? An `Ack` answers. Asked on behalf of `origin`, who gets an `Ack` as well."""

    seq: int = 0
    origin: str = ""
    origin_address: str = ""
    origin_seq: int = 0


class Ack(Message, frozen=True, tag="a"):
    """The answer: it lives under this life, for so long."""

    seq: int = 0
    life: int = 0
    age_ms: float = 0.0
    direct: bool = True  # False: passed on by another


class Ask(Message, frozen=True, tag="q"):
    """Ping another for me."""

    seq: int = 0
    target: str = ""
    address: str = ""


class Nack(Message, frozen=True, tag="n"):
    """I could not reach it in time, but you reach me; `refused`: its host refuses."""

    seq: int = 0
    refused: bool = False


class Gossip(Message, frozen=True, tag="g"):
    """Rows alone."""


class Sync(Message, frozen=True, tag="s"):
    """A full exchange. The asker tells its view's digest; one whose view differs answers with all its rows,
    and the asker then tells those of its own that differ. The last message has `last`."""

    digest: int = 0
    step: int = 0  # 0 asked, 1 answered, 2 told back
    last: bool = True


class Look(Message, frozen=True, tag="l"):
    """An operator asks for a member's view."""

    ident: int = 0


class Seen(msgspec.Struct, frozen=True, array_like=True):
    """One member as another sees it."""

    row: Row
    since_ms: float  # how long it has been in this state here
    heard_ms: float  # how long ago its own word came, directly; -1: never
    rtt_ms: float  # of the last answer; -1: none


class Looked(Part, frozen=True, tag="L"):
    """The answer to it."""

    ident: int
    me: str
    seen: tuple[Seen, ...]
    doubt: int  # how far it doubts itself, 0 to 8
    problems: tuple[str, ...] = ()  # members that were named for what they sent


class Remove(Message, frozen=True, tag="r"):
    """An operator declares a member gone for good."""

    ident: int = 0
    name: str = ""
    force: bool = False


class Removed(Part, frozen=True, tag="R"):
    """The answer to it; `problem` says why not."""

    ident: int
    problem: str = ""


class Unknown(Part, frozen=True, tag="?"):
    """A message of a kind that this version does not know."""


Any_ = Ping | Ack | Ask | Nack | Gossip | Sync | Look | Looked | Remove | Removed
_decode = msgspec.msgpack.Decoder(Greeting | Any_).decode
_kind = msgspec.msgpack.Decoder(list[Any]).decode
KINDS = frozenset(["hi", "p", "a", "q", "n", "g", "s", "l", "L", "r", "R"])


def decode(data: memoryview) -> Any:
    """One frame; msgspec.DecodeError where it is none."""
    try:
        return _decode(data)
    except msgspec.ValidationError:
        parts = _kind(data)
        if parts and isinstance(parts[0], str) and parts[0] not in KINDS:
            return Unknown()
        raise


PEERS = Speech("fleet", decode, FRAME, BUFFER)
