"""The standalone limiter's file: tables, keys, units, defaults and bounds. The reference is made from here.

Each field's text stands in its Meta as `description`; `basaltpoint reference` prints them.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from basaltpoint.interface import Effect
from basaltpoint.routing.accounts import KeyPolicy


class KeyMissing(Enum):
    """What becomes of a keyed request without its key."""

    REFUSE = "refuse"
    UNSAFE = "unsafe"


NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"  # of anything that a file names


def described(text: str, **bounds: Any) -> Meta:
    """A key's bounds, and its line of the reference."""
    return Meta(description=text, **bounds)


class Table(msgspec.Struct, frozen=True, kw_only=True):
    """Any table of the file."""


class LimitsTable(Table, frozen=True, kw_only=True):
    """`[limits]`: what the process may use."""

    memory_mb: Annotated[
        float,
        described(
            "Memory for bodies and buffers, beside the program's own 40 MB. Too small: 503 under load; too large: the system ends the process.",
            ge=8,
            le=1048576,
        ),
    ] = 192.0
    sockets: Annotated[
        int, described("Descriptors; 60% for clients, 40% for servers, 32 kept back.", ge=64, le=1048576)
    ] = 1024
    requests: Annotated[int, described("Requests in hand at once; beyond, 503.", ge=1, le=1000000)] = 1000
    head_kb: Annotated[
        int,
        described("Longest head of a request or an answer; beyond, 431 or a failed attempt.", ge=1, le=1024),
    ] = 16
    buffer_kb: Annotated[
        int,
        described(
            "Bytes of one streamed answer or request held for a slow reader; then its sender is paused.",
            ge=4,
            le=16384,
        ),
    ] = 64


class ClientsTable(Table, frozen=True, kw_only=True):
    """`[clients]`: connections of clients."""

    idle_s: Annotated[
        float, described("A kept connection with no request is closed after this.", gt=0, le=86400)
    ] = 60.0
    head_s: Annotated[float, described("For a request's head to come whole; beyond, 408.", gt=0, le=600)] = (
        5.0
    )
    stall_s: Annotated[
        float,
        described(
            "A client that sends or reads nothing for so long, with a request or an answer under way, is cut off.",
            gt=0,
            le=3600,
        ),
    ] = 30.0
    drain_s: Annotated[
        float,
        described("After SIGTERM requests in hand may take so long; then they are cut off.", gt=0, le=3600),
    ] = 30.0


class IdentityTable(Table, frozen=True, kw_only=True):
    """`[identity]`: how accounts are told."""

    header: Annotated[str, described("Header that brings the API key.", pattern=r"^[A-Za-z0-9-]{1,64}$")] = (
        "X-Api-Key"
    )
    bearer: Annotated[
        bool, described("Whether `Authorization: Bearer KEY` counts, too; the header goes first.")
    ] = True
    no_key: Annotated[KeyPolicy, described("A request with no key: 401, or the anonymous plan.")] = (
        KeyPolicy.REFUSE
    )
    unknown_key: Annotated[
        KeyPolicy, described("A request with a key of no account: 401, or the anonymous plan.")
    ] = KeyPolicy.REFUSE
    anonymous_plan: Annotated[
        str,
        described(
            "Plan of each client address without an account; needed where one of the two above says so."
        ),
    ] = ""
    forward_key: Annotated[bool, described("Whether the key goes on to the servers.")] = False
    trusted_proxies: Annotated[
        tuple[str, ...],
        described("Networks (CIDR) whose X-Forwarded-For is believed for the client's address."),
    ] = ()


class PlanTable(Table, frozen=True, kw_only=True):
    """`[[plan]]`: what an account may use."""

    name: Annotated[str, described("Its name.", pattern=NAME_PATTERN)]
    rate: Annotated[float, described("Units a second that the quota fills with.", gt=0, le=1e9)]
    burst: Annotated[
        float,
        described(
            "Units that may be used at once. Below the units of one request none passes.", gt=0, le=1e9
        ),
    ]
    parallel: Annotated[int, described("Requests out at once; 0 for no bound.", ge=0, le=1000000)] = 0
    ceiling_rate: Annotated[
        float,
        described(
            "Units a second that can never be passed, whatever the quota lets through; 0 for none.",
            ge=0,
            le=1e9,
        ),
    ] = 0.0
    ceiling_burst: Annotated[
        float, described("Units of the ceiling at once. It starts empty with the process.", ge=0, le=1e9)
    ] = 0.0


class AccountTable(Table, frozen=True, kw_only=True):
    """`[[account]]`: who may ask."""

    name: Annotated[str, described("Its name.", pattern=NAME_PATTERN)]
    plan: Annotated[str, described("Name of its plan.", min_length=1)]
    keys: Annotated[
        tuple[str, ...],
        described("Digests of its keys, `sha256:` and 64 hex digits, as `basaltpoint hash-key` prints them."),
    ]


class ClassTable(Table, frozen=True, kw_only=True):
    """`[[class]]`: how requests of a kind may be handled."""

    name: Annotated[str, described("Its name.", pattern=NAME_PATTERN)]
    effect: Annotated[
        Effect,
        described(
            "`safe`: may run any number of times. `keyed`: servers drop repeats of a key. `unsafe`: must not run twice."
        ),
    ]
    key_header: Annotated[
        str, described("Header with the key of a keyed request.", pattern=r"^[A-Za-z0-9-]{1,64}$")
    ] = "Idempotency-Key"
    key_missing: Annotated[
        KeyMissing, described("A keyed request without its key: 400, or handled as unsafe.")
    ] = KeyMissing.REFUSE
    window_ms: Annotated[
        float,
        described(
            "How long servers drop repeats of a key. Too long: an effect twice; too short: fewer repeats.",
            ge=0,
            le=86400000,
        ),
    ] = 0.0
    aim_ms: Annotated[
        float,
        described(
            "Wanted time to the answer's head; the load that is let through is steered by it.",
            gt=0,
            le=3600000,
        ),
    ] = 1000.0
    deadline_ms: Annotated[
        float, described("Longest time to the answer's head; then 504 or 503.", gt=0, le=3600000)
    ] = 5000.0
    deadline_header: Annotated[
        str,
        described(
            "Header in which a client tells its own, shorter deadline in seconds; empty for none.",
            pattern=r"^[A-Za-z0-9-]{0,64}$",
        ),
    ] = ""
    worth: Annotated[
        float,
        described(
            "What an answer is worth beside those of other classes; dear ones are spared when a quota runs low.",
            gt=0,
            le=1000000,
        ),
    ] = 1.0
    late_worth: Annotated[
        float,
        described(
            "What is left of it after the aim, 0 to 1. Up to 0.3 attempts end at the aim, not at the deadline.",
            ge=0,
            le=1,
        ),
    ] = 1.0


class ServerTable(Table, frozen=True, kw_only=True):
    """`[[server]]`: a process that answers."""

    name: Annotated[str, described("Its name.", pattern=NAME_PATTERN)]
    address: Annotated[
        str, described("`HOST:PORT`, with a literal IP address; IPv6 in brackets.", min_length=1)
    ]
    weight: Annotated[float, described("Its size beside others of its pools.", gt=0, le=1000)] = 1.0
    zone: Annotated[
        str, described("Where it stands; servers of one zone that fail together are left alone together.")
    ] = ""
    drain: Annotated[bool, described("Nothing new is sent to it; what is out is finished.")] = False
    connections: Annotated[
        int, described("Most connections to it, over all pools; 0 for no bound of its own.", ge=0, le=100000)
    ] = 0
    health: Annotated[bool, described("Whether `[health]` holds for it.")] = True


class PoolTable(Table, frozen=True, kw_only=True):
    """`[[pool]]`: servers that can do the same."""

    name: Annotated[str, described("Its name.", pattern=NAME_PATTERN)]
    servers: Annotated[
        tuple[str, ...],
        described(
            "Names of its servers. A server in several pools has one health, and one bound on connections."
        ),
    ]


class HealthTable(Table, frozen=True, kw_only=True):
    """`[health]`: active checks. Without this table there are none; failing attempts still count."""

    path: Annotated[
        str, described("What is asked for with GET; 200 to 299 is good.", pattern=r"^/[!-~]*$")
    ] = "/health"
    every_ms: Annotated[float, described("Time between two checks of a server.", ge=50, le=3600000)] = 2000.0
    timeout_ms: Annotated[float, described("No answer by then is a bad one.", ge=10, le=60000)] = 1000.0
    rise: Annotated[int, described("Good ones in a row that bring a server back.", ge=1, le=100)] = 2
    fall: Annotated[int, described("Bad ones in a row that take it out.", ge=1, le=100)] = 3


class UpstreamTable(Table, frozen=True, kw_only=True):
    """`[upstream]`: attempts and connections to servers."""

    attempts: Annotated[int, described("Attempts for one request, one after the other.", ge=1, le=10)] = 3
    connect_ms: Annotated[float, described("For a connection to come up.", ge=1, le=60000)] = 250.0
    idle_ms: Annotated[
        float,
        described(
            "A free connection is used again within this. It must be under the servers' own bound, or unsafe requests fail on connections that were ending.",
            ge=0,
            le=3600000,
        ),
    ] = 1000.0
    cold_ms: Annotated[
        float, described("A server that has come up is given less for so long; 0 for none.", ge=0, le=3600000)
    ] = 0.0
    cold_from: Annotated[
        float, described("Part of its size that it is sure to have when it comes up.", gt=0, le=1)
    ] = 0.2
    retry_after_ms: Annotated[
        float, described("Longest advice in Retry-After; 0 sends none.", ge=0, le=3600000)
    ] = 30000.0


class RouteTable(Table, frozen=True, kw_only=True):
    """`[[route]]`: what holds for which requests."""

    name: Annotated[str, described("Its name.", pattern=NAME_PATTERN)]
    pool: Annotated[str, described("Name of its pool.", min_length=1)]
    class_: Annotated[str, described("Name of its class.", min_length=1)] = msgspec.field(name="class")
    hosts: Annotated[tuple[str, ...], described("Hosts, exact or `*.example.org`; none: any.")] = ()
    path: Annotated[str, described("The whole path, in normal form.", pattern=r"^$|^/")] = ""
    prefix: Annotated[
        str, described("`/a` stands for /a and all below; `/a/` for what is below.", pattern=r"^$|^/")
    ] = ""
    regex: Annotated[str, described("RE2 expression, found anywhere in the path unless anchored.")] = ""
    methods: Annotated[tuple[str, ...], described("Methods; none: any.")] = ()
    headers: Annotated[
        dict[str, str], described("Headers it must have: a value, `*` for any, `!` for none.")
    ] = {}
    priority: Annotated[
        int,
        described("The higher goes first; within one, see the order of matching.", ge=-1000000, le=1000000),
    ] = 0
    units: Annotated[float, described("Units that a request takes from the quota.", gt=0, le=1000000)] = 1.0
    rewrite: Annotated[
        str,
        described(
            "The prefix is replaced by this path in what is sent on; only with `prefix`.", pattern=r"^$|^/"
        ),
    ] = ""
    set_headers: Annotated[
        dict[str, str], described("Headers set on the request that goes on; they replace the client's.")
    ] = {}
    drop_headers: Annotated[tuple[str, ...], described("Headers taken off the request that goes on.")] = ()
    answer_headers: Annotated[dict[str, str], described("Headers set on the answer.")] = {}
    body_kb: Annotated[
        int,
        described(
            "Request bodies up to it are kept, so that the request can be repeated; longer ones are streamed once, and never repeated.",
            ge=0,
            le=1048576,
        ),
    ] = 64
    body_max_kb: Annotated[int, described("Longer bodies get 413; 0 for no bound.", ge=0, le=1073741824)] = 0


class StartPolicy(Enum):
    """What a start without the store does."""

    WAIT = "wait"
    CACHED = "cached"


MEMBER_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}@\S+:[0-9]+$"


class StoreTable(Table, frozen=True, kw_only=True):
    """`[store]`: the replicated store. With it, plans, routes, servers and all else but this limiter's own tables are held there."""

    cluster: Annotated[
        str, described("Name of the cluster; one with another name gets nothing.", pattern=NAME_PATTERN)
    ] = "local"
    name: Annotated[
        str,
        described(
            "The replica that this process runs; it never comes again after a disk was lost. Empty: none, the members are asked.",
            pattern=r"^$|" + NAME_PATTERN,
        ),
    ] = "local"
    dir: Annotated[
        str,
        described(
            "Folder of the replica, and of the copy for a start without the store; relative to this file."
        ),
    ] = "store"
    listen: Annotated[
        str,
        described(
            "`HOST:PORT` for other replicas and clients; empty: this host alone, over a socket in the folder."
        ),
    ] = ""
    advertise: Annotated[
        str, described("`HOST:PORT` at which the others reach it, where that is not `listen`.")
    ] = ""
    members: Annotated[
        tuple[Annotated[str, Meta(pattern=MEMBER_PATTERN)], ...],
        described(
            "The replicas, each `NAME@HOST:PORT`. Of a new cluster they are the first ones; later `basaltpoint store members` tells who they are."
        ),
    ] = ()
    join: Annotated[
        bool, described("This replica is added to a cluster that is there (`basaltpoint store add`).")
    ] = False
    cert: Annotated[
        str,
        described(
            "Certificate (PEM) that holds the replica's name as a DNS name; needed unless every address is of the loopback, where any process of the host may then write."
        ),
    ] = ""
    key: Annotated[str, described("Its private key (PEM).")] = ""
    authority: Annotated[str, described("Certificate (PEM) of the authority that signs all of them.")] = ""
    election_ms: Annotated[
        float,
        described(
            "A leader not heard for so long, up to twice, is replaced. Too small: needless elections under load; too large: longer without writes.",
            ge=50,
            le=60000,
        ),
    ] = 250.0
    heartbeat_ms: Annotated[
        float,
        described(
            "Time between two signs of life of a leader; a third of `election_ms` at most.", ge=5, le=20000
        ),
    ] = 50.0
    state_mb: Annotated[
        int,
        described(
            "Keys and values held at most; the replica takes some four times as much memory.", ge=1, le=4096
        ),
    ] = 64
    snapshot_entries: Annotated[
        int,
        described(
            "Entries of the log after which it is compacted; all of them are read at a start.",
            ge=10,
            le=10000000,
        ),
    ] = 20000
    start: Annotated[
        StartPolicy,
        described(
            "A start without the store waits for it, or serves on from the copy of what was held last."
        ),
    ] = StartPolicy.WAIT
    start_s: Annotated[
        float,
        described("How long a start tries to reach the store before `cached` takes the copy.", gt=0, le=3600),
    ] = 5.0
    balances_s: Annotated[
        float, described("Time between two writes of accounts' balances; 0 writes none.", ge=0, le=3600)
    ] = 1.0
    learned_s: Annotated[
        float,
        described("Age up to which learned latencies are taken up at a start; 0 takes none.", ge=0, le=86400),
    ] = 600.0


class FleetTable(Table, frozen=True, kw_only=True):
    """`[fleet]`: the other limiters before the same servers. With it, quotas are dealt out among those that are there."""

    cluster: Annotated[
        str, described("Name of the fleet; one with another name gets nothing.", pattern=NAME_PATTERN)
    ] = "local"
    name: Annotated[
        str,
        described(
            "This member's name, unlike any other's; empty: the limiter's.", pattern=r"^$|" + NAME_PATTERN
        ),
    ] = ""
    listen: Annotated[str, described("`HOST:PORT` for the other members.", min_length=1)]
    advertise: Annotated[
        str, described("`HOST:PORT` at which the others reach it, where that is not `listen`.")
    ] = ""
    seeds: Annotated[
        tuple[Annotated[str, Meta(pattern=MEMBER_PATTERN)], ...],
        described(
            "Members to ask at a start, and again while they are not seen, each `NAME@HOST:PORT`. Two or three that are mostly there are enough; with `[store]`, those that live are known from there and none is needed; without either, and with none that names this one, it stays alone."
        ),
    ] = ()
    cert: Annotated[
        str,
        described(
            "Certificate (PEM) that holds the member's name as a DNS name; needed unless `listen` is of the loopback."
        ),
    ] = ""
    key: Annotated[str, described("Its private key (PEM).")] = ""
    authority: Annotated[str, described("Certificate (PEM) of the authority that signs all of them.")] = ""
    most: Annotated[
        int,
        described(
            "Members at most. Each has that part of every ceiling, so that the ceiling holds whoever is there: too large, and much of it lies idle; one more than this is refused.",
            ge=1,
            le=1024,
        ),
    ] = 16
    connections: Annotated[
        int,
        described(
            "Connections kept with other members; too few, and they are made anew for each probe.",
            ge=4,
            le=1024,
        ),
    ] = 32
    probe_ms: Annotated[
        float,
        described(
            "Between two probes of a member. Smaller finds the dead sooner and costs messages; below a loaded host's delays it doubts the living.",
            ge=50,
            le=60000,
        ),
    ] = 500.0
    silent_ms: Annotated[
        float,
        described(
            "A member that nobody reaches, but whose host refuses nothing, is held dead after this, longer in large fleets. Too small: one that stood still is counted out; too large: its part of the quotas lies idle.",
            ge=500,
            le=600000,
        ),
    ] = 7000.0
    journal: Annotated[
        str,
        described(
            "File that gets a JSON line for each change of the view, relative to this file; empty: none."
        ),
    ] = ""


class ConfigFile(Table, frozen=True, kw_only=True):
    """The whole file."""

    listen: Annotated[str, described("`HOST:PORT` where clients connect.", min_length=1)]
    plan: tuple[PlanTable, ...]
    class_: tuple[ClassTable, ...] = msgspec.field(name="class")
    server: tuple[ServerTable, ...]
    pool: tuple[PoolTable, ...]
    route: tuple[RouteTable, ...]
    account: tuple[AccountTable, ...] = ()
    accounts_file: Annotated[
        str,
        described(
            "Further accounts, one JSON object a line with name, plan and keys; relative to this file."
        ),
    ] = ""
    name: Annotated[str, described("This limiter's name, in Via and logs.", pattern=NAME_PATTERN)] = (
        "basaltpoint"
    )
    handover: Annotated[
        str,
        described(
            "Folder in which the next process of this limiter finds this one, relative to this file; its path has 60 bytes at most. Empty: a new process can start only once this one has ended."
        ),
    ] = ""
    limits: LimitsTable = LimitsTable()
    clients: ClientsTable = ClientsTable()
    identity: IdentityTable = IdentityTable()
    health: HealthTable | None = None
    upstream: UpstreamTable = UpstreamTable()
    store: StoreTable | None = None
    fleet: FleetTable | None = None
