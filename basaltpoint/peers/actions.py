"""Actions that the membership state machine asks its caller to carry out."""

from __future__ import annotations

from dataclasses import dataclass

from basaltpoint.peers.messages import MemberRecord, Message


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a member; it is lost if it can't be sent."""

    member: str
    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member's record has changed; `before` is None if the member was unknown."""

    before: MemberRecord | None
    after: MemberRecord


@dataclass(frozen=True, slots=True)
class CheckNameConflict:
    """Another process seems to use this member's name: ping it over a separate connection.

    The response goes to `name_conflict_found`.
    """

    address: str


@dataclass(frozen=True, slots=True)
class Terminate:
    """This process can't be a member of the fleet; the reason is for the operator."""

    reason: str


@dataclass(frozen=True, slots=True)
class ProtocolViolation:
    """A member sent something that is not allowed; for the log."""

    member: str
    problem: str


@dataclass(frozen=True, slots=True)
class PauseDetected:
    """This process was paused, by a stopped process or a blocked event loop; for the log."""

    duration_ms: float


Action = Send | MemberChanged | CheckNameConflict | Terminate | ProtocolViolation | PauseDetected
