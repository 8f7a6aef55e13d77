"""The health of a server process, shared by all pools that list it, and the recent failures of a zone."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from basaltpoint.policy.thresholds import INF


class HealthListener(Protocol):
    """A pool that lists the server."""

    def health_changed(self, ident: int) -> None:
        """Called when a server has become suspect or trusted."""


@dataclass(slots=True, eq=False)
class ServerHealth:
    """What is known of one server process; times are in ms of the caller's clock."""

    started_ms: float
    heard_ms: float = -INF  # last response
    suspect: bool = False
    retest_ms: float = 0.0  # time of the next trial request while it is suspect
    last_suspected_ms: float = -INF  # failures of attempts that were sent earlier add no evidence
    backoff: int = 0  # retest delays since it was last trusted
    errors: int = 0  # since its last successful response
    avoid_ms: float = -INF  # a full server is avoided until this time
    up_ms: float = 0.0  # when active health checks last found it healthy again
    down: bool = False  # according to active health checks
    listeners: list[HealthListener] = field(default_factory=list)


@dataclass(slots=True)
class ZoneFailures:
    """Failed attempts at a zone's servers since the last response from any of them."""

    count: int
    last_ms: float
