"""Records of what happened in a rehearsal; the checks are pure functions over them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Observation:
    """A change in the view that one member has of another."""

    at_s: float  # seconds, monotonic or of the model
    observer: str
    member: str
    incarnation: int
    state: str  # joining, alive, suspect, dead, left; gone if the view no longer holds the name


@dataclass(frozen=True, slots=True)
class ProcessLifetime:
    """The time that one process ran; `ended_s` is infinite while it runs. Times are seconds."""

    name: str
    started_s: float
    ended_s: float
    is_announced: bool = False  # it left in good order and told its peers
    first_incarnation: int = 0  # observations of a lower one concern an earlier process


@dataclass(frozen=True, slots=True)
class OperatorCommand:
    """An operator's command about a server, sent to the store over one limiter's links. Times are seconds."""

    command: str  # drain or undrain
    server: str
    limiter: str
    started_s: float
    completed_s: float
    error: str = ""  # why it was not acknowledged


@dataclass(frozen=True, slots=True)
class Finding:
    """A violation: something that must not happen."""

    at_s: float
    kind: str  # as it stands in the verdict, e.g. "wrong death"
    members: tuple[str, ...]
    expected: str
