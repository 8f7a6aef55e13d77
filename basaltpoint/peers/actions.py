"""What the peers' machine asks of its shell."""

from __future__ import annotations

from dataclasses import dataclass

from basaltpoint.peers.messages import Message, Row


@dataclass(frozen=True, slots=True)
class Send:
    """Send to a member; a message that can't go out is lost."""

    to: str
    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class Changed:
    """A member is seen otherwise than before; None where it was not known."""

    before: Row | None
    after: Row


@dataclass(frozen=True, slots=True)
class Rival:
    """Ask who answers there under this member's own name, over a connection apart; tell `rival` of it."""

    address: str


@dataclass(frozen=True, slots=True)
class End:
    """This process can't be a member; the reason is the operator's to read."""

    reason: str


@dataclass(frozen=True, slots=True)
class Named:
    """A member sent what it may not; for the log."""

    name: str
    text: str


@dataclass(frozen=True, slots=True)
class Paused:
    """This process stood still; for the log."""

    for_ms: float


Action = Send | Changed | Rival | End | Named | Paused
