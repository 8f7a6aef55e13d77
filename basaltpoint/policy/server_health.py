"""What is known of the health of a server's process, and of a zone's failures."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from basaltpoint.policy.thresholds import INF


class HealthListener(Protocol):
    """A pool that the server is in."""

    def health_changed(self, ident: int) -> None:
        """A server has become suspect, or is so no longer."""


@dataclass(slots=True, eq=False)
class ServerHealth:
    """What is known of a process, in whatever pools it serves."""

    started_ms: float
    heard_ms: float = -INF
    suspect: bool = False
    retest_ms: float = 0.0
    last_suspected_ms: float = -INF  # when last; what was sent before that tells nothing new
    backoff: int = 0
    errors: int = 0  # since its last good answer
    avoid_ms: float = -INF
    up_ms: float = 0.0  # when checks last found it back
    down: bool = False  # by checks
    listeners: list[HealthListener] = field(default_factory=list)


@dataclass(slots=True)
class ZoneFailures:
    """Attempts at a zone's servers that failed with no answer from any of them between."""

    count: int
    last_ms: float
