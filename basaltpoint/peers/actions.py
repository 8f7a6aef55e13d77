"""What the peers' machine asks of its shell."""

from __future__ import annotations

from dataclasses import dataclass

from basaltpoint.peers.messages import MemberRecord, Message


@dataclass(frozen=True, slots=True)
class Send:
    """Send to a member; a message that can't go out is lost."""

    member: str
    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member is seen otherwise than before; None where it was not known."""

    before: MemberRecord | None
    after: MemberRecord


@dataclass(frozen=True, slots=True)
class CheckNameConflict:
    """Ask who answers there under this member's own name, over a connection apart; tell `rival` of it."""

    address: str


@dataclass(frozen=True, slots=True)
class Terminate:
    """This process can't be a member; the reason is the operator's to read."""

    reason: str


@dataclass(frozen=True, slots=True)
class ProtocolViolation:
    """A member sent what it may not; for the log."""

    member: str
    problem: str


@dataclass(frozen=True, slots=True)
class PauseDetected:
    """This process stood still; for the log."""

    duration_ms: float


Action = Send | MemberChanged | CheckNameConflict | Terminate | ProtocolViolation | PauseDetected
