"""The interface of the decision module: settings, events and actions.

Times are milliseconds of the caller's clock. Nothing here depends on a wire
format, and nothing here decides: `basaltpoint.policy` does.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class Effect(Enum):
    """What a repeat of a request does."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """Which servers discard the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Status(Enum):
    """How an attempt, probe or counter call ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


class ServerState(Enum):
    """What discovery says of a server."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class ListKind(Enum):
    """What a list event holds."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class RefusalReason(Enum):
    """Why a request is refused."""

    QUOTA = "quota"  # the customer's rate and burst
    CEILING = "ceiling"  # the plan's hard ceiling
    PARALLEL = "parallel"  # too many of the customer's requests are out
    LOAD = "load"  # the lane of its class is at its cap
    SERVERS = "servers"  # no server may be sent to
    MEMBERSHIP = "membership"  # the list of servers is not confirmed
    LATE = "late"  # it can't be answered in time any more


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests; `aim_stretch` lengthens the aim by the request's own work."""

    aim_ms: float
    deadline_ms: float
    effect: Effect
    dedup_scope: DedupScope
    dedup_window_ms: float
    late_worth: float
    stream: bool = False
    aim_stretch: float = 0.0
    name: str = ""
    worth: float = 1.0


@dataclass(frozen=True, slots=True)
class Plan:
    """A quota: a store of `burst` units refilled at `rate` a second, and caps beside it."""

    rate: float
    burst: float
    max_parallel: int = 0
    ceiling_rate: float = 0.0
    ceiling_depth: float = 0.0
    ceiling_slack: float = 0.0
    excess_worth: float = 0.0
    excess_cost: float = 0.0
    name: str = ""


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a gateway is told at its start."""

    limiter_index: int
    limiter_count: int
    zone: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    cold_start_fraction: float
    cold_duration_ms: float
    overload_crash_ratio: float
    overload_crash_ms: float
    drain_grace_ms: float
    discovery_confirm_ms: float
    meter_period_ms: float
    post_paid: bool
    max_attempts: int
    may_hedge: bool
    may_cancel: bool
    may_probe: bool
    max_retry_after_ms: float
    must_subscribe: bool
    report_fields: tuple[str, ...]
    max_request_units: float = 0.0  # that one request takes; 0: not told
    handshake_cost: float = 0.0  # of all worth, for one new connection a first try
    is_only_limiter: bool = False  # no other limiter draws from these quotas; an arrival's plan always counts
    pool_classes: Mapping[int, tuple[int, ...]] = field(default_factory=dict)  # the classes of each


@dataclass(frozen=True, slots=True)
class ProbeRule:
    """Active checks: one each `every_ms`; down after `fall` bad ones in a row, up after `rise` good ones."""

    every_ms: float
    rise: int
    fall: int


@dataclass(frozen=True, slots=True)
class Server:
    """An entry of the server list."""

    id: int
    zone: int
    cell: int
    state: ServerState
    rating: float
    started_ms: float
    ring_position: int = 0  # alike at every limiter: all that see the same servers put them into one order


@dataclass(frozen=True, slots=True)
class ServerList:
    """What changed of one pool's servers; a server may stand in several pools under one id."""

    kind: ListKind
    servers: tuple[Server, ...]
    pool: int = 0


@dataclass(frozen=True, slots=True)
class MembershipConfirmed:
    """Until when the list of servers may be acted on; infinite where nothing has to be confirmed."""

    until_ms: float


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Settings that hold from now on; requests that are out keep their class."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class RestoredBalance:
    """What an earlier life left of a customer: units in its quota, and in its ceiling at least."""

    customer: int
    units_left: float
    ceiling_units_left: float


@dataclass(frozen=True, slots=True)
class RestoredLatencies:
    """What was learned of a pool: light-load latencies of lane one, two and both, and the mean one, ms."""

    pool: int
    light_load_ms: tuple[float, ...]
    mean_ms: float


# Made for each request: a tuple is made in a fraction of the time of a frozen dataclass, and is as fixed.
class Arrival(NamedTuple):
    """A client's try: the gateway owes it one final answer by `deadline_ms`."""

    request: int
    cls: int
    plan: int
    customer: int
    units: float
    customer_limiters: int
    deadline_ms: float
    pool: int = 0


class Outcome(NamedTuple):
    """The end of an attempt; `usage` is None or the customer's metered use in percent.

    `units` take the place of the arrival's guess, where quotas are settled after the answer; 0: not told.
    """

    request: int
    attempt: int
    server: int
    status: Status
    elapsed_ms: float
    closed: bool
    usage: int | None = None
    units: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class StreamBegun:
    request: int
    attempt: int
    server: int


@dataclass(frozen=True, slots=True)
class UploadInProgress:
    """The request's body is on its way: the time of this attempt tells nothing of the server yet."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Abandoned:
    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class ProbeResult:
    server: int
    status: Status
    elapsed_ms: float
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """The verdict of active checks on a server has changed."""

    server: int
    is_healthy: bool


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    body: bytes


@dataclass(frozen=True, slots=True)
class CounterTotal:
    name: int
    status: Status
    total: float
    elapsed_ms: float


Event = (
    ServerList
    | MembershipConfirmed
    | SettingsChanged
    | RestoredBalance
    | RestoredLatencies
    | Arrival
    | Outcome
    | StreamBegun
    | UploadInProgress
    | Abandoned
    | TimerFired
    | ProbeResult
    | HealthCheckResult
    | PeerMessage
    | CounterTotal
)


@dataclass(frozen=True, slots=True)
class QuotaStatus:
    """A customer's quota: units a second, units at once, units left, ms until full; the ceiling's left."""

    rate: float
    burst: float
    units_left: float
    full_in_ms: float
    ceiling_units_left: float = 0.0


class Send(NamedTuple):
    """Begin an attempt: given up at `until_ms`, and at `whole_ms` unless its last byte has gone by then."""

    request: int
    server: int
    until_ms: float
    fully_written_by_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class Cancel:
    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: a retry is harmless, best after `retry_in_ms` (0: no advice)."""

    request: int
    retry_in_ms: float = 0.0
    reason: RefusalReason = RefusalReason.LOAD


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer that promises nothing."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    server: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    pass


@dataclass(frozen=True, slots=True)
class CloseIdle:
    server: int


@dataclass(frozen=True, slots=True)
class Tell:
    """A message to one peer, or to all when `to` is None."""

    to: int | None
    body: bytes


@dataclass(frozen=True, slots=True)
class CounterAdd:
    name: int
    amount: float
    lifetime_ms: float


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = (
    Send
    | Cancel
    | Refuse
    | Fail
    | SetTimer
    | Probe
    | Subscribe
    | FetchList
    | CloseIdle
    | Tell
    | CounterAdd
    | Log
)
