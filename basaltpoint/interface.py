"""The interface of the decision module: settings, events and actions.

Times are milliseconds of the caller's clock. Nothing here depends on a wire
format; `basaltpoint.policy` makes the decisions.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class Effect(Enum):
    """Whether a request may be executed more than once."""

    SAFE = "safe"  # always
    KEYED = "keyed"  # servers discard repetitions with the same key, within a window and a scope
    UNSAFE = "unsafe"  # never


class DedupScope(Enum):
    """Which servers recognise and discard repetitions of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Status(Enum):
    """How an attempt, probe or counter call ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # rejected by a server that is full
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"  # decided and then not sent


class ServerState(Enum):
    """The state of a server according to discovery."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class ListKind(Enum):
    """What a server list contains."""

    DELTA = "delta"  # the servers that have changed
    FULL = "full"  # all servers
    CACHED = "cached"  # an earlier list
    FAILED = "failed"  # nothing: discovery gave no list


class RefusalReason(Enum):
    """Why a request is refused."""

    QUOTA = "quota"  # the customer's rate and burst
    CEILING = "ceiling"  # the plan's hard ceiling
    PARALLEL = "parallel"  # too many outstanding requests of the customer
    LOAD = "load"  # the lane of its class is at its cap
    SERVERS = "servers"  # no server may get the request
    MEMBERSHIP = "membership"  # the list of servers is not confirmed
    LATE = "late"  # it can no longer be answered in time


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests."""

    aim_ms: float  # wanted time until the response
    deadline_ms: float  # time after which no client waits for the response
    effect: Effect
    dedup_scope: DedupScope
    dedup_window_ms: float  # for which servers remember a key
    late_worth: float  # fraction of the worth that a response keeps after the aim, 0 to 1
    stream: bool = False
    aim_stretch: float = 0.0  # lengthens the aim by the request's own work; 0 for none
    name: str = ""
    worth: float = 1.0  # relative to that of the other classes


@dataclass(frozen=True, slots=True)
class Plan:
    """A quota: a bucket of `burst` units that is refilled at `rate` units a second, and further limits."""

    rate: float
    burst: float
    max_parallel: int = 0  # outstanding requests; 0 for no limit
    ceiling_rate: float = 0.0  # units a second of the hard limit; 0 for no ceiling
    ceiling_depth: float = 0.0  # units
    ceiling_slack: float = 0.0
    excess_worth: float = 0.0  # worth of a response beyond the quota, relative to one within it
    excess_cost: float = 0.0  # cost of a request beyond the quota, on the same scale
    name: str = ""


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one limiter."""

    limiter_index: int  # of this limiter, from 0
    limiter_count: int  # in the whole installation
    zone: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    cold_start_fraction: float  # of its capacity that a server has when it starts
    cold_duration_ms: float  # until a server has its full capacity; 0 for no slow start
    overload_crash_ratio: float  # a server fails that gets more than this multiple of its capacity
    overload_crash_ms: float  # for this long
    drain_grace_ms: float  # after the announcement of a drain, in which requests may still reach the server
    discovery_confirm_ms: float  # longest interval between requests for the list of servers
    meter_period_ms: float  # of the customers' metered use; 0 for no meter
    post_paid: bool  # quotas are settled by the units that the response states
    max_attempts: int  # for one request
    may_hedge: bool  # several attempts of one request may be outstanding
    may_cancel: bool
    may_probe: bool
    max_retry_after_ms: float  # 0 for no advice
    must_subscribe: bool
    report_fields: tuple[str, ...]  # names of the values in load reports, in order
    max_request_units: float = 0.0  # units; 0 if unknown
    handshake_cost: float = 0.0  # fraction of all worth if each first request opens a connection
    # No other limiter draws from these quotas, and an arrival's plan always applies.
    is_only_limiter: bool = False
    pool_classes: Mapping[int, tuple[int, ...]] = field(default_factory=dict)  # class numbers by pool


@dataclass(frozen=True, slots=True)
class ProbeRule:
    """Active checks: one every `every_ms`; down after `fall` failures in a row, up after `rise` successes."""

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
    rating: float  # capacity relative to other servers
    started_ms: float
    ring_position: int = 0  # equal at all limiters, so that they order the same servers alike


@dataclass(frozen=True, slots=True)
class ServerList:
    """The servers of one pool that have changed; a server may belong to several pools under one id."""

    kind: ListKind
    servers: tuple[Server, ...]
    pool: int = 0


@dataclass(frozen=True, slots=True)
class MembershipConfirmed:
    """Until when the list of servers may be used; infinite if no confirmation is required."""

    until_ms: float


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Settings that apply from now on; outstanding requests keep their class."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class RestoredBalance:
    """A customer's balance from before a restart; `ceiling_units_left` is a lower bound."""

    customer: int
    units_left: float
    ceiling_units_left: float


@dataclass(frozen=True, slots=True)
class RestoredLatencies:
    """A pool's latencies from before a restart: `light_load_ms` of lane one, lane two and both."""

    pool: int
    light_load_ms: tuple[float, ...]
    mean_ms: float


# Created for each request: a named tuple is created much faster than a frozen dataclass and is as immutable.
class Arrival(NamedTuple):
    """A client's request: the limiter owes it one final answer by `deadline_ms`."""

    request: int
    cls: int
    plan: int
    customer: int
    units: float
    customer_limiters: int  # over which the customer's requests are spread
    deadline_ms: float
    pool: int = 0


class Outcome(NamedTuple):
    """The end of an attempt.

    `usage`: the customer's metered use in percent of its rate, or None. `units` replace the arrival's
    estimate where quotas are settled after the response; 0 if unknown.
    """

    request: int
    attempt: int
    server: int
    status: Status
    elapsed_ms: float
    closed: bool  # the request has ended, with this attempt or before
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
    """The request's body is being uploaded: the attempt's duration says nothing about the server yet."""

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
    """The result of active checks of a server has changed."""

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
    """A customer's quota: `rate` in units a second; `burst` and what is left in units."""

    rate: float
    burst: float
    units_left: float
    full_in_ms: float
    ceiling_units_left: float = 0.0


class Send(NamedTuple):
    """Starts an attempt.

    It times out at `until_ms`, or at `fully_written_by_ms` if it is not fully written by then.
    """

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
    """Final answer: a client retry is harmless, best after `retry_in_ms` (0: no advice)."""

    request: int
    retry_in_ms: float = 0.0
    reason: RefusalReason = RefusalReason.LOAD


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer that makes no promise about a client retry."""

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
    """A message to one other limiter, or to all if `to` is None."""

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
