"""What a soak writes down while it runs: requests, their arrivals at servers, processes, lists.

Times are monotonic seconds of the driver's process, which plays clients, servers and discovery.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from basaltpoint.standins.discovery import ListChange


@dataclass(slots=True)
class Asked:
    """One request of a client, from its last byte on."""

    ident: str
    limiter: str
    effect: str  # "safe", "keyed" or "unsafe"
    sent_at: float
    wait_s: float
    fresh: bool  # over a new connection: it may not be closed unread
    whole: bool = True  # all of it was sent
    left_at: float | None = None  # the client closed the connection
    ended_at: float | None = None
    code: int = 0  # of the final answer; 0: the connection ended without one
    refused: bool = False  # the connection could not be made, or was closed between two requests


@dataclass(slots=True)
class Arrival:
    """One attempt as a server saw it; `at`: its first byte."""

    server: str
    at: float
    ident: str
    key: str
    told_wait_s: float
    ran: bool = False  # its work was begun and was no dropped repeat
    bare: bool = False  # it was answered whole, with no length
    ended_at: float | None = None


@dataclass(slots=True)
class Life:
    """One process of a limiter."""

    limiter: str
    started_at: float
    told_to_end_at: float | None = None  # SIGTERM
    killed_at: float | None = None  # SIGKILL
    ended_at: float | None = None
    code: int | None = None

    def within(self, at: float) -> bool:
        return self.started_at <= at and (self.ended_at is None or at <= self.ended_at)


@dataclass(slots=True)
class AgentRecord:
    """What one agent had, and when; `muted_at`: its open watches fell silent."""

    had: list[tuple[float, int]] = field(default_factory=list)
    muted_at: list[float] = field(default_factory=list)

    def had_at(self, version: int) -> float | None:
        """When it first had this version or a later one."""
        return next((at for at, known in self.had if known >= version), None)


@dataclass(frozen=True, slots=True)
class ServerStart:
    """A server that started cold; discovery told it with this version."""

    server: str
    at: float
    version: int


@dataclass(frozen=True, slots=True)
class SlowStart:
    """What the settings allow a cold server, and what a warm one can do.

    `cold_from`: part of its capacity at its start; `cold_s`: until it is warm; it falls when it gets over
    `tip_multiple` times its capacity for `fall_s`. `capacity`: requests a second of a warm server.
    """

    cold_from: float
    cold_s: float
    tip_multiple: float
    fall_s: float
    capacity: float

    def allowed(self, age_s: float) -> float:
        """Requests in `fall_s` that a server of this age takes."""
        part = min(1.0, self.cold_from + (1.0 - self.cold_from) * age_s / self.cold_s)
        return self.tip_multiple * self.capacity * part * self.fall_s


@dataclass(slots=True)
class Record:
    """All of a run. `agents`: of each limiter, since when it was configured with which agent."""

    grace_s: float
    window_s: float
    longest_s: float
    asked: list[Asked] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    agents: dict[str, list[tuple[float, AgentRecord]]] = field(default_factory=dict)
    changes: Sequence[ListChange] = ()
    slow_start: SlowStart | None = None
    starts: list[ServerStart] = field(default_factory=list)
    lags: list[tuple[float, float]] = field(default_factory=list)  # when, and how late the driver was
    log_findings: list[str] = field(default_factory=list)  # lines of the limiters' logs that must not be
    faults: list[tuple[float, str]] = field(default_factory=list)  # when each began, in words

    def lag_at(self, at: float, before_s: float = 0.3) -> float:
        """How late the driver may have noted something at this time."""
        return max((lag for when, lag in self.lags if at - before_s <= when <= at + before_s), default=0.0)
