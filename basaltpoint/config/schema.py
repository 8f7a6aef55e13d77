"""The configuration file of the standalone limiter: tables, keys, units, defaults and bounds.

`basaltpoint reference` generates the reference page from this module: from the description in each field's
Meta and from the text after the colon in each table's docstring. Field names are keys of the file.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from basaltpoint.interface import Effect
from basaltpoint.routing.accounts import KeyPolicy


class KeyMissing(Enum):
    """What happens to a keyed request that comes without its key."""

    REFUSE = "refuse"
    UNSAFE = "unsafe"


NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"  # of every name that a file defines


def described(text: str, **bounds: Any) -> Meta:
    """Returns a key's bounds and its description in the reference."""
    return Meta(description=text, **bounds)


class Table(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of all tables of the file."""


class LimitsTable(Table, frozen=True, kw_only=True):
    """`[limits]`: resources that the process may use."""

    memory_mb: Annotated[
        float,
        described(
            "Memory for bodies and buffers, in addition to about 40 MB of the program itself. Too small: 503 under load; too large: the operating system kills the process.",
            ge=8,
            le=1048576,
        ),
    ] = 192.0
    sockets: Annotated[
        int,
        described(
            "Descriptors for connections: 60% for clients, 40% for servers; 32 are reserved.",
            ge=64,
            le=1048576,
        ),
    ] = 1024
    requests: Annotated[
        int,
        described("Maximum number of requests handled at once; further requests get 503.", ge=1, le=1000000),
    ] = 1000
    head_kb: Annotated[
        int,
        described(
            "Maximum size of the head of a request or a response. A longer request gets 431; a longer response fails the attempt.",
            ge=1,
            le=1024,
        ),
    ] = 16
    buffer_kb: Annotated[
        int,
        described(
            "Buffer for one streamed request or response whose reader is slow; when it is full, reading from the sender pauses.",
            ge=4,
            le=16384,
        ),
    ] = 64


class ClientsTable(Table, frozen=True, kw_only=True):
    """`[clients]`: client connections."""

    idle_s: Annotated[
        float, described("A client connection without a request is closed after this time.", gt=0, le=86400)
    ] = 60.0
    head_s: Annotated[
        float,
        described("Time in which a request's head must arrive; after it the client gets 408.", gt=0, le=600),
    ] = 5.0
    stall_s: Annotated[
        float,
        described(
            "A connection is closed if its client neither sends nor reads for this time while a request or response is being transferred. A client's system need not announce what it has read: the time for half of its receive window at 32 kB a second is added.",
            gt=0,
            le=3600,
        ),
    ] = 30.0
    drain_s: Annotated[
        float,
        described(
            "Time that open requests may still take after SIGTERM. Shortly before its end those that are left get their answer: refused, or failed if they may have run. Long responses are cut off then.",
            gt=0,
            le=3600,
        ),
    ] = 30.0


class IdentityTable(Table, frozen=True, kw_only=True):
    """`[identity]`: how a request's account is identified."""

    header: Annotated[
        str, described("Header that contains the API key.", pattern=r"^[A-Za-z0-9-]{1,64}$")
    ] = "X-Api-Key"
    bearer: Annotated[
        bool,
        described(
            "Whether the key is also accepted as `Authorization: Bearer KEY`; `header` takes precedence."
        ),
    ] = True
    no_key: Annotated[
        KeyPolicy, described("A request without a key is refused with 401 or gets the anonymous plan.")
    ] = KeyPolicy.REFUSE
    unknown_key: Annotated[
        KeyPolicy, described("A request with an unknown key is refused with 401 or gets the anonymous plan.")
    ] = KeyPolicy.REFUSE
    anonymous_plan: Annotated[
        str,
        described(
            "Plan of each client address without an account; required if `no_key` or `unknown_key` is `anonymous`."
        ),
    ] = ""
    forward_key: Annotated[bool, described("Whether the key is forwarded to the servers.")] = False
    trusted_proxies: Annotated[
        tuple[str, ...],
        described("Networks (CIDR) of proxies whose X-Forwarded-For is trusted for the client's address."),
    ] = ()


class PlanTable(Table, frozen=True, kw_only=True):
    """`[[plan]]`: quota and limits of accounts."""

    name: Annotated[str, described("Its name.", pattern=NAME_PATTERN)]
    rate: Annotated[float, described("Units per second with which the quota refills.", gt=0, le=1e9)]
    burst: Annotated[
        float,
        described("Units that may be used at once. A request of more units is never admitted.", gt=0, le=1e9),
    ]
    parallel: Annotated[
        int,
        described(
            "Maximum number of an account's requests being processed at once; 0 for no limit.",
            ge=0,
            le=1000000,
        ),
    ] = 0
    ceiling_rate: Annotated[
        float,
        described(
            "Units per second that are never exceeded, whatever the quota allows; 0 for no ceiling.",
            ge=0,
            le=1e9,
        ),
    ] = 0.0
    ceiling_burst: Annotated[
        float,
        described(
            "Units that the ceiling allows at once. It is empty when the process starts.", ge=0, le=1e9
        ),
    ] = 0.0


class AccountTable(Table, frozen=True, kw_only=True):
    """`[[account]]`: customers with their API keys."""

    name: Annotated[str, described("Its name.", pattern=NAME_PATTERN)]
    plan: Annotated[str, described("Name of its plan.", min_length=1)]
    keys: Annotated[
        tuple[str, ...],
        described(
            "Digests of its API keys, `sha256:` and 64 hex digits, as printed by `basaltpoint hash-key`."
        ),
    ]


class ClassTable(Table, frozen=True, kw_only=True):
    """`[[class]]`: how a kind of request is handled."""

    name: Annotated[str, described("Its name.", pattern=NAME_PATTERN)]
    effect: Annotated[
        Effect,
        described(
            "`safe`: may be executed any number of times. `keyed`: servers drop a repeated request with the same key. `unsafe`: must not be executed twice."
        ),
    ]
    key_header: Annotated[
        str, described("Header that contains the key of a keyed request.", pattern=r"^[A-Za-z0-9-]{1,64}$")
    ] = "Idempotency-Key"
    key_missing: Annotated[
        KeyMissing, described("A keyed request without its key is refused with 400 or handled as unsafe.")
    ] = KeyMissing.REFUSE
    window_ms: Annotated[
        float,
        described(
            "Time for which servers drop repeated requests with the same key. Too large: a request may take effect twice; too small: fewer retries.",
            ge=0,
            le=86400000,
        ),
    ] = 0.0
    aim_ms: Annotated[
        float,
        described(
            "Target for the time until the response's head; the admitted load is controlled by it.",
            gt=0,
            le=3600000,
        ),
    ] = 1000.0
    deadline_ms: Annotated[
        float,
        described(
            "Maximum time until the response's head; after it the client gets 504 or 503.", gt=0, le=3600000
        ),
    ] = 5000.0
    deadline_header: Annotated[
        str,
        described(
            "Header in which a client may send a shorter deadline of its own, in seconds; empty for none.",
            pattern=r"^[A-Za-z0-9-]{0,64}$",
        ),
    ] = ""
    worth: Annotated[
        float,
        described(
            "Value of a response relative to other classes; when a quota runs low, requests of a higher worth are refused last.",
            gt=0,
            le=1000000,
        ),
    ] = 1.0
    late_worth: Annotated[
        float,
        described(
            "Fraction of the worth that a response after `aim_ms` still has, 0 to 1. Up to 0.3, attempts end at the aim instead of the deadline.",
            ge=0,
            le=1,
        ),
    ] = 1.0


class ServerTable(Table, frozen=True, kw_only=True):
    """`[[server]]`: a process that handles requests."""

    name: Annotated[str, described("Its name.", pattern=NAME_PATTERN)]
    address: Annotated[str, described("`IP:PORT`; an IPv6 address is written in brackets.", min_length=1)]
    weight: Annotated[
        float, described("Its capacity relative to other servers of its pools.", gt=0, le=1000)
    ] = 1.0
    zone: Annotated[
        str,
        described("Its location; when several servers of a zone fail together, the whole zone is avoided."),
    ] = ""
    drain: Annotated[bool, described("Whether it gets no new requests; those sent before are completed.")] = (
        False
    )
    connections: Annotated[
        int,
        described(
            "Maximum number of connections to it over all pools; 0 for no limit of its own.", ge=0, le=100000
        ),
    ] = 0
    health: Annotated[bool, described("Whether it gets the active checks of `[health]`.")] = True


class PoolTable(Table, frozen=True, kw_only=True):
    """`[[pool]]`: servers that handle the same requests."""

    name: Annotated[str, described("Its name.", pattern=NAME_PATTERN)]
    servers: Annotated[
        tuple[str, ...],
        described(
            "Names of its servers. A server in several pools has one health state and one limit of connections for all of them."
        ),
    ]


class HealthTable(Table, frozen=True, kw_only=True):
    """`[health]`: active checks of the servers. Without this table only the results of requests are used."""

    path: Annotated[
        str,
        described(
            "Path that is requested with GET; a status from 200 to 299 is a success.", pattern=r"^/[!-~]*$"
        ),
    ] = "/health"
    every_ms: Annotated[float, described("Time between two checks of a server.", ge=50, le=3600000)] = 2000.0
    timeout_ms: Annotated[
        float, described("A check without a response after this time has failed.", ge=10, le=60000)
    ] = 1000.0
    rise: Annotated[
        int, described("Successive successful checks after which a server is used again.", ge=1, le=100)
    ] = 2
    fall: Annotated[
        int, described("Successive failed checks after which a server is no longer used.", ge=1, le=100)
    ] = 3


class UpstreamTable(Table, frozen=True, kw_only=True):
    """`[upstream]`: attempts and connections to servers."""

    attempts: Annotated[
        int, described("Maximum number of attempts for one request, one after the other.", ge=1, le=10)
    ] = 3
    connect_ms: Annotated[float, described("Time-out for opening a connection.", ge=1, le=60000)] = 250.0
    idle_ms: Annotated[
        float,
        described(
            "Time for which an idle connection is reused. It must be less than the servers' own idle time-out; otherwise unsafe requests fail on connections that a server is closing.",
            ge=0,
            le=3600000,
        ),
    ] = 1000.0
    cold_ms: Annotated[
        float,
        described(
            "Duration of the slow start, in which a server that came up gets less load; 0 for none.",
            ge=0,
            le=3600000,
        ),
    ] = 0.0
    cold_from: Annotated[
        float, described("Fraction of its capacity that a server certainly has when it comes up.", gt=0, le=1)
    ] = 0.2
    retry_after_ms: Annotated[
        float, described("Maximum value of Retry-After; with 0 the header is not sent.", ge=0, le=3600000)
    ] = 30000.0


class RouteTable(Table, frozen=True, kw_only=True):
    """`[[route]]`: conditions on requests, and how matching requests are handled."""

    name: Annotated[str, described("Its name.", pattern=NAME_PATTERN)]
    pool: Annotated[str, described("Name of its pool.", min_length=1)]
    class_: Annotated[str, described("Name of its class.", min_length=1)] = msgspec.field(name="class")
    hosts: Annotated[tuple[str, ...], described("Hosts, exact or as `*.example.org`; empty: any.")] = ()
    path: Annotated[str, described("The whole path, in normal form.", pattern=r"^$|^/")] = ""
    prefix: Annotated[
        str,
        described(
            "Path prefix: `/a` matches /a and every path below it, `/a/` only the paths below.",
            pattern=r"^$|^/",
        ),
    ] = ""
    regex: Annotated[
        str, described("RE2 expression that matches anywhere in the path unless it is anchored.")
    ] = ""
    methods: Annotated[tuple[str, ...], described("Methods; empty: any.")] = ()
    headers: Annotated[
        dict[str, str],
        described("Conditions on headers: a value, `*` for any value, `!` for an absent header."),
    ] = {}
    priority: Annotated[
        int,
        described(
            "Routes of a higher priority are tried first; for equal priorities see the order of matching.",
            ge=-1000000,
            le=1000000,
        ),
    ] = 0
    units: Annotated[float, described("Units that a request takes from the quota.", gt=0, le=1000000)] = 1.0
    rewrite: Annotated[
        str,
        described(
            "Path that replaces the prefix in the forwarded request; only with `prefix`.", pattern=r"^$|^/"
        ),
    ] = ""
    set_headers: Annotated[
        dict[str, str], described("Headers set on the forwarded request; they replace the client's.")
    ] = {}
    drop_headers: Annotated[tuple[str, ...], described("Headers removed from the forwarded request.")] = ()
    answer_headers: Annotated[dict[str, str], described("Headers set on the response.")] = {}
    body_kb: Annotated[
        int,
        described(
            "Request bodies up to this size are buffered, so that the request can be retried; longer ones are streamed, and the request is not retried.",
            ge=0,
            le=1048576,
        ),
    ] = 64
    body_max_kb: Annotated[
        int,
        described(
            "Maximum size of a request body; a longer one gets 413; 0 for no limit.", ge=0, le=1073741824
        ),
    ] = 0


class StartPolicy(Enum):
    """What a limiter does if the store can't be reached when it starts."""

    WAIT = "wait"
    CACHED = "cached"


MEMBER_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}@\S+:[0-9]+$"


class StoreTable(Table, frozen=True, kw_only=True):
    """`[store]`: the replicated store. With it, the store holds all tables except those of this limiter itself."""

    cluster: Annotated[
        str, described("Name of the cluster; a process with another name is refused.", pattern=NAME_PATTERN)
    ] = "local"
    name: Annotated[
        str,
        described(
            "Name of the replica that this process runs; a name must not be used again after the replica lost its disk. Empty: no replica; the members are queried.",
            pattern=r"^$|" + NAME_PATTERN,
        ),
    ] = "local"
    dir: Annotated[
        str,
        described(
            "Folder of the replica's data and of the copy for a start without the store; relative to this file."
        ),
    ] = "store"
    listen: Annotated[
        str,
        described(
            "`HOST:PORT` at which other replicas and clients connect; empty: only this host, over a local socket in the folder."
        ),
    ] = ""
    advertise: Annotated[
        str, described("`HOST:PORT` at which the others reach it, if that differs from `listen`.")
    ] = ""
    members: Annotated[
        tuple[Annotated[str, Meta(pattern=MEMBER_PATTERN)], ...],
        described(
            "The replicas, each `NAME@HOST:PORT`. A new cluster starts with them; later `basaltpoint store members` prints the actual members."
        ),
    ] = ()
    join: Annotated[
        bool, described("Whether this replica is added to an existing cluster (`basaltpoint store add`).")
    ] = False
    cert: Annotated[
        str,
        described(
            "Certificate (PEM) with the replica's name as a DNS name; required unless every address is a loopback address. Without it any process of the host may write to the store."
        ),
    ] = ""
    key: Annotated[str, described("Its private key (PEM).")] = ""
    authority: Annotated[
        str, described("Certificate (PEM) of the authority that signs all of these certificates.")
    ] = ""
    election_ms: Annotated[
        float,
        described(
            "A leader is replaced when it was silent for a random time between this and twice this. Too small: needless elections under load; too large: longer times without writes.",
            ge=50,
            le=60000,
        ),
    ] = 250.0
    heartbeat_ms: Annotated[
        float,
        described(
            "Time between two heartbeats of the leader; at most a third of `election_ms`.", ge=5, le=20000
        ),
    ] = 50.0
    state_mb: Annotated[
        int,
        described(
            "Maximum size of all keys and values; the replica uses about four times as much memory.",
            ge=1,
            le=4096,
        ),
    ] = 64
    snapshot_entries: Annotated[
        int,
        described(
            "Number of log entries after which the log is compacted; all entries of the log are read at a start.",
            ge=10,
            le=10000000,
        ),
    ] = 20000
    start: Annotated[
        StartPolicy,
        described(
            "What a start does if the store can't be reached: `wait` for it, or serve from the last `cached` copy of its contents."
        ),
    ] = StartPolicy.WAIT
    start_s: Annotated[
        float,
        described(
            "Time for which a start tries to reach the store before it uses the copy, with `cached`.",
            gt=0,
            le=3600,
        ),
    ] = 5.0
    balances_s: Annotated[
        float,
        described(
            "Time between two writes of the accounts' balances; 0: they are not written.", ge=0, le=3600
        ),
    ] = 1.0
    learned_s: Annotated[
        float,
        described(
            "Maximum age of learned latencies that are used at a start; 0: none are used.", ge=0, le=86400
        ),
    ] = 600.0


class FleetTable(Table, frozen=True, kw_only=True):
    """`[fleet]`: the other limiters in front of the same servers. With it, quotas are divided among the live members."""

    cluster: Annotated[
        str, described("Name of the fleet; a process with another name is refused.", pattern=NAME_PATTERN)
    ] = "local"
    name: Annotated[
        str,
        described(
            "This member's name, unique in the fleet; empty: the limiter's name.",
            pattern=r"^$|" + NAME_PATTERN,
        ),
    ] = ""
    listen: Annotated[str, described("`HOST:PORT` at which the other members connect.", min_length=1)]
    advertise: Annotated[
        str, described("`HOST:PORT` at which the others reach it, if that differs from `listen`.")
    ] = ""
    seeds: Annotated[
        tuple[Annotated[str, Meta(pattern=MEMBER_PATTERN)], ...],
        described(
            "Members that are contacted at a start, and again while they are not known, each `NAME@HOST:PORT`. Two or three members that usually run are enough. With `[store]` none are needed, as the live members are known from the store. Without seeds and store a member stays alone unless it is a seed of another one."
        ),
    ] = ()
    cert: Annotated[
        str,
        described(
            "Certificate (PEM) with the member's name as a DNS name; required unless `listen` is a loopback address."
        ),
    ] = ""
    key: Annotated[str, described("Its private key (PEM).")] = ""
    authority: Annotated[
        str, described("Certificate (PEM) of the authority that signs all of these certificates.")
    ] = ""
    most: Annotated[
        int,
        described(
            "Maximum number of members; further ones are refused. Each member gets this fraction of every ceiling, so that the ceiling holds for any number of live members. Too large: much of the ceilings stays unused.",
            ge=1,
            le=1024,
        ),
    ] = 16
    connections: Annotated[
        int,
        described(
            "Maximum number of connections kept open to other members. Too small: a new one is opened for each probe.",
            ge=4,
            le=1024,
        ),
    ] = 32
    probe_ms: Annotated[
        float,
        described(
            "Time between two probes of a member. Smaller: failures are detected sooner, with more messages; less than the delays of a loaded host: live members are suspected.",
            ge=50,
            le=60000,
        ),
    ] = 500.0
    silent_ms: Annotated[
        float,
        described(
            "Time after which a member is declared dead if no other member reaches it and its host refuses no connection; longer in large fleets. Too small: a paused process is declared dead; too large: the dead member's share of the quotas stays unused for longer.",
            ge=500,
            le=600000,
        ),
    ] = 7000.0
    journal: Annotated[
        str,
        described(
            "File to which a JSON line is written for each change in the view of the members; relative to this file; empty: none."
        ),
    ] = ""


class ConfigFile(Table, frozen=True, kw_only=True):
    """The whole configuration file."""

    listen: Annotated[str, described("`IP:PORT` at which clients connect.", min_length=1)]
    plan: tuple[PlanTable, ...]
    class_: tuple[ClassTable, ...] = msgspec.field(name="class")
    server: tuple[ServerTable, ...]
    pool: tuple[PoolTable, ...]
    route: tuple[RouteTable, ...]
    account: tuple[AccountTable, ...] = ()
    accounts_file: Annotated[
        str,
        described(
            "File with further accounts, one JSON object per line with name, plan and keys; relative to this file."
        ),
    ] = ""
    name: Annotated[str, described("This limiter's name in Via headers and logs.", pattern=NAME_PATTERN)] = (
        "basaltpoint"
    )
    handover: Annotated[
        str,
        described(
            "Folder of the local socket at which a successor connects to this process, relative to this file; its path may have at most 60 bytes. Empty: no handover; a new process can start only after this one has ended."
        ),
    ] = ""
    limits: LimitsTable = LimitsTable()
    clients: ClientsTable = ClientsTable()
    identity: IdentityTable = IdentityTable()
    health: HealthTable | None = None
    upstream: UpstreamTable = UpstreamTable()
    store: StoreTable | None = None
    fleet: FleetTable | None = None
