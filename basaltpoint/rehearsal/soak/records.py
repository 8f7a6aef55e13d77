"""What a soak writes down while it runs: requests, their arrivals at servers, processes, lists.

Times are monotonic seconds of the driver's process, which plays clients, servers and discovery.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from basaltpoint.standins.discovery import ListChange


@dataclass(slots=True)
class RequestRecord:
    """One request of a client, from its last byte on."""

    request_id: str
    limiter: str
    effect: str  # "safe", "keyed" or "unsafe"
    sent_at: float
    timeout_s: float
    is_new_connection: bool  # over a new connection: it may not be closed unread
    is_complete: bool = True  # all of it was sent
    disconnected_at: float | None = None  # the client closed the connection
    ended_at: float | None = None
    status_code: int = 0  # of the final answer; 0: the connection ended without one
    is_unsent: bool = False  # the connection could not be made, or was closed between two requests


@dataclass(slots=True)
class Arrival:
    """One attempt as a server saw it; `at`: its first byte."""

    server: str
    arrived_at: float
    request_id: str
    key: str
    announced_remaining_s: float
    was_executed: bool = False  # its work was begun and was no dropped repeat
    is_without_length: bool = False  # it was answered whole, with no length
    ended_at: float | None = None


@dataclass(slots=True)
class ProcessRecord:
    """One process of a limiter."""

    limiter: str
    started_at: float
    sigterm_at: float | None = None  # SIGTERM
    sigkill_at: float | None = None  # SIGKILL
    ended_at: float | None = None
    exit_code: int | None = None

    def was_running_at(self, at: float) -> bool:
        return self.started_at <= at and (self.ended_at is None or at <= self.ended_at)


@dataclass(slots=True)
class AgentRecord:
    """What one agent had, and when; `muted_at`: its open watches fell silent."""

    version_history: list[tuple[float, int]] = field(default_factory=list)
    silenced_at: list[float] = field(default_factory=list)

    def received_at(self, version: int) -> float | None:
        """When it first had this version or a later one."""
        return next((at for at, known in self.version_history if known >= version), None)


@dataclass(frozen=True, slots=True)
class ServerStart:
    """A server that started cold; discovery told it with this version."""

    server: str
    started_at: float
    version: int


@dataclass(frozen=True, slots=True)
class SlowStart:
    """What the settings allow a cold server, and what a warm one can do.

    `cold_from`: part of its capacity at its start; `cold_s`: until it is warm; it falls when it gets over
    `tip_multiple` times its capacity for `fall_s`. `capacity`: requests a second of a warm server.
    """

    initial_capacity_fraction: float
    warm_up_s: float
    overload_ratio: float
    overload_window_s: float
    capacity_per_s: float

    def max_requests(self, age_s: float) -> float:
        """Requests in `fall_s` that a server of this age takes."""
        part = min(
            1.0,
            self.initial_capacity_fraction + (1.0 - self.initial_capacity_fraction) * age_s / self.warm_up_s,
        )
        return self.overload_ratio * self.capacity_per_s * part * self.overload_window_s


@dataclass(slots=True)
class SoakRecord:
    """All of a run. `agents`: of each limiter, since when it was configured with which agent."""

    drain_grace_s: float
    deduplication_window_s: float
    max_deadline_s: float
    requests: list[RequestRecord] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    processes: list[ProcessRecord] = field(default_factory=list)
    agents: dict[str, list[tuple[float, AgentRecord]]] = field(default_factory=dict)
    list_changes: Sequence[ListChange] = ()
    slow_start: SlowStart | None = None
    server_starts: list[ServerStart] = field(default_factory=list)
    driver_lags: list[tuple[float, float]] = field(default_factory=list)  # when, and how late the driver was
    log_findings: list[str] = field(default_factory=list)  # lines of the limiters' logs that must not be
    faults: list[tuple[float, str]] = field(default_factory=list)  # when each began, in words

    def driver_lag_at(self, at: float, before_s: float = 0.3) -> float:
        """How late the driver may have noted something at this time."""
        return max(
            (lag for when, lag in self.driver_lags if at - before_s <= when <= at + before_s), default=0.0
        )
