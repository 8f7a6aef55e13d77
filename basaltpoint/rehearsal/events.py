"""What happened in a rehearsal, as plain records: the checks are pure functions over them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Observation:
    """A member's view of another changed. Times are seconds of the rehearsal."""

    at_s: float
    observer: str
    member: str
    incarnation: int
    state: str  # joining, alive, suspect, dead, left; gone where a view no longer holds the name


@dataclass(frozen=True, slots=True)
class ProcessLifetime:
    """A process from its start to its end; infinite where it was still there."""

    name: str
    started_s: float
    ended_s: float
    is_announced: bool = False  # it ended in good order, and said so
    first_incarnation: int = 0  # its first: what is said of a lower one is said of an earlier life


@dataclass(frozen=True, slots=True)
class OperatorCommand:
    """An operator's command about a server, given to one limiter's links to the store."""

    command: str  # drain, undrain
    server: str
    limiter: str
    started_s: float
    completed_s: float
    error: str = ""  # why it was not acknowledged


@dataclass(frozen=True, slots=True)
class Finding:
    """Something that must not be."""

    at_s: float
    kind: str
    members: tuple[str, ...]
    expected: str
