"""The bridge: requests, answers and lists become the module's events, its actions become sends."""

from __future__ import annotations

import asyncio
import itertools
import json
import logging
import math
import time
from collections import deque
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from basaltpoint import interface as api
from basaltpoint.fronts.platform.config import Config
from basaltpoint.interface import ServerState, Status
from basaltpoint.membership.discovery import Host, HostList, parse_list
from basaltpoint.policy import Gateway
from basaltpoint.upstream.servers import TIMER_S, Attempt, Reply, Servers

log = logging.getLogger(__name__)

EPOCH_MS = 1e9  # the module's clock starts here, so that no start of a server falls to 0 ('long ago')
EARLY_S = 0.010  # the module's deadline lies so much before the client's: the answer is on its way, too
PROBE_S = 0.25
LOAD_MOST = 10_000.0  # of any figure in a load report; no server holds or serves more
SERVER_PART = 0.4  # of the sockets may be connections to servers
MARGIN = 32  # descriptors for the listener, discovery, the loop and the log

PROBE = b"GET /metrics/load HTTP/1.1\r\nHost: backend.local\r\n\r\n"


class Call(Protocol):
    """A client's request as the client side hands it over."""

    @property
    def forward(self) -> bytes: ...  # request line and headers that go on, without the deadline
    @property
    def body(self) -> bytes: ...
    def answer(
        self, code: int, body: bytes = b"", content_type: bytes = b"", retry_s: float = 0.0
    ) -> None: ...


@dataclass(frozen=True, slots=True)
class Terms:
    """A request's `name` (Req-Id), how long its client waits, and what the module is told of it."""

    name: bytes
    cls: int
    plan: int
    customer: int
    units: float
    doors: int
    wait_s: float


@dataclass(slots=True)
class _Taken:
    call: Call
    name: bytes
    deadline_ms: float
    overdue: asyncio.TimerHandle
    attempts: list[Attempt | None] = field(default_factory=list)
    open: bool = True
    out: int = 0


def read_load(fields: tuple[str, ...], raw: bytes) -> tuple[float, ...]:
    """A load report in the settings' order; what is none, or has a figure beyond sense, says nothing."""
    try:
        values = tuple(float(json.loads(raw)[name]) for name in fields) if raw else ()
    except (ValueError, KeyError, TypeError, RecursionError, OverflowError):
        return ()
    return values if all(0 <= value <= LOAD_MOST for value in values) else ()


class Limiter:
    """Holds the request table and the clock; every decision is the module's."""

    def __init__(self, config: Config) -> None:
        self._settings = config.settings
        self._gateway = Gateway(config.settings, config.seed)
        self._origin = time.monotonic()
        # One offset for good: converted afresh each time, a start would seem to move and be a restart.
        self._wall_ms = EPOCH_MS - time.time() * 1000
        self._servers = Servers(int((config.sockets - MARGIN) * SERVER_PART), config.connect_s, config.idle_s)
        self._numbers: dict[str, int] = {}  # of the servers that are not gone
        self._next_number = itertools.count()  # never used again: outcomes may come after the end
        self._zones = {zone: number for number, zone in enumerate(config.zones)}
        self._requests: dict[int, _Taken] = {}
        self._names: set[bytes] = set()  # of the open requests
        self._count = 0
        self._events: deque[api.Event] = deque()
        self._busy = False
        self._max_open = config.max_open
        self.open = 0
        self.known_seq = 0
        self._known(config)

    def _known(self, config: Config) -> None:
        try:
            told = parse_list(config.known)[0]
        except ValueError as error:
            log.warning("no usable list of servers known: %s", error)
            return
        self.known_seq = told.seq
        self._list(told, api.ListKind.CACHED)

    # --- Clock -------------------------------------------------------------------------------
    def _now(self) -> float:
        return (time.monotonic() - self._origin) * 1000 + EPOCH_MS

    def _loop_time(self, ms: float) -> float:
        return (ms - EPOCH_MS) / 1000 + self._origin

    # --- What clients and discovery tell -------------------------------------------------------
    @property
    def ready(self) -> bool:
        return self._servers.any_ready()

    def take(self, call: Call, terms: Terms) -> int:
        """Take a request on; from here it gets one answer, before its client gives up."""
        self._count += 1
        if self.open >= self._max_open:
            call.answer(503)
            return self._count
        if terms.name in self._names:
            # Sent on, a server would see it as a second copy of the one that is open.
            call.answer(409)
            return self._count
        ident, now = self._count, self._now()
        wait_s = min(terms.wait_s, self._settings.classes[terms.cls].deadline_ms / 1000)
        deadline = now + max(wait_s - EARLY_S, wait_s / 2) * 1000
        timer = asyncio.get_running_loop().call_at(
            self._loop_time(now) + wait_s, partial(self._overdue, ident)
        )
        self._requests[ident] = _Taken(call, terms.name, deadline, timer)
        self._names.add(terms.name)
        self.open += 1
        self._post(
            api.Arrival(ident, terms.cls, terms.plan, terms.customer, terms.units, terms.doors, deadline)
        )
        return ident

    def abandon(self, ident: int) -> None:
        """The client has hung up."""
        if (taken := self._requests.get(ident)) and taken.open:
            self._close(ident, taken)
            self._post(api.Abandoned(ident))

    def listed(self, told: HostList) -> None:
        self._list(told, api.ListKind.FULL if told.whole else api.ListKind.DELTA)

    def _list(self, told: HostList, kind: api.ListKind) -> None:
        servers = tuple(self._server(host) for host in told.hosts)
        self._post(api.ServerList(kind, servers))
        left = {host.name for host in told.hosts if host.state is ServerState.GONE}
        if kind is not api.ListKind.DELTA:
            left |= self._numbers.keys() - {host.name for host in told.hosts}
        for name in left:
            self._servers.remove(self._numbers.pop(name))

    def _server(self, host: Host) -> api.Server:
        if (number := self._numbers.get(host.name)) is None:
            number = self._numbers[host.name] = next(self._next_number)
        zone = self._zones.setdefault(host.zone, len(self._zones))
        self._servers.place(number, host.dial, host.state is ServerState.READY)
        started = host.born_ms + self._wall_ms if host.born_ms > 0 else 0.0
        return api.Server(number, zone, host.cell, host.state, host.rating, started)

    def sweep(self) -> None:
        self._servers.sweep()

    def close(self) -> None:
        self._servers.close()

    # --- Events and actions --------------------------------------------------------------------
    def _post(self, event: api.Event) -> None:
        """Give the module an event; what its own actions cause waits until it has returned."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._busy = False

    def _handle(self, event: api.Event) -> None:
        try:
            for action in self._gateway.handle(self._now(), event):
                self._act(action)
        except Exception:
            # A fault in one request must not end the others; its own client is told of a failure.
            log.exception("the module failed on %r", event)
            ident = getattr(event, "request", None)
            if ident is not None and (taken := self._requests.get(ident)) and taken.open:
                self._answer(ident, 500)
                self._events.append(api.Abandoned(ident))

    def _act(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Refuse():
                self._answer(action.request, 429, action.retry_in_ms / 1000)
            case api.Fail():
                self._answer(action.request, 502)
            case api.Cancel():
                self._cancel(action)
            case api.SetTimer():
                fired = partial(self._post, api.TimerFired(action.token))
                when = self._loop_time(self._now() + action.delay_ms)
                asyncio.get_running_loop().call_at(when + TIMER_S, fired)
            case api.Probe():
                self._probe(action.server)
            case api.CloseIdle():
                self._servers.close_idle(action.server)
            case api.Log():
                log.info("module: %s", action.text)
            case api.Subscribe() | api.FetchList():
                pass  # the watch is always on
            case _:
                log.error("an action that this limiter does not know: %r", action)

    def _cancel(self, action: api.Cancel) -> None:
        taken = self._requests.get(action.request)
        attempt = taken.attempts[action.attempt] if taken and action.attempt < len(taken.attempts) else None
        if attempt:
            attempt.cancel()

    def _send(self, action: api.Send) -> None:
        ident, now = action.request, self._now()
        taken = self._requests.get(ident)
        number = len(taken.attempts) if taken else 0
        until = min(action.until_ms or math.inf, taken.deadline_ms) if taken else 0.0
        if not taken or not taken.open or now >= until or number >= self._settings.max_attempts:
            closed = not taken or not taken.open
            self._events.append(api.Outcome(ident, number, action.server, Status.MOOT, 0.0, closed))
            return
        left = f"Req-Deadline: {(until - now) / 1000:.3f}\r\n\r\n"
        attempt = self._servers.send(
            action.server,
            taken.call.forward + left.encode() + taken.call.body,
            self._loop_time(until),
            partial(self._ended, ident, taken, number, action.server, now),
        )
        taken.out += 1
        taken.attempts.append(attempt)

    def _ended(self, ident: int, taken: _Taken, number: int, server: int, sent: float, reply: Reply) -> None:
        """An attempt's end: the first 200 is the client's, and every end is told the module."""
        taken.attempts[number] = None
        taken.out -= 1
        if reply.status is Status.OK and taken.open:
            self._close(ident, taken)
            taken.call.answer(200, reply.body, reply.content_type)
        self._forget(ident, taken)
        self._post(
            api.Outcome(
                ident,
                number,
                server,
                reply.status,
                self._now() - sent,
                not taken.open,
                reply.usage,
                0,
                read_load(self._settings.report_fields, reply.load),
            )
        )

    def _probe(self, server: int) -> None:
        now = self._now()

        def ended(reply: Reply) -> None:
            load = read_load(self._settings.report_fields, reply.load or reply.body)
            self._post(api.ProbeResult(server, reply.status, self._now() - now, load))

        self._servers.send(server, PROBE, self._loop_time(now) + PROBE_S, ended)

    # --- Answers -------------------------------------------------------------------------------
    def _answer(self, ident: int, code: int, retry_s: float = 0.0) -> None:
        if (taken := self._requests.get(ident)) and taken.open:
            self._close(ident, taken)
            taken.call.answer(code, retry_s=retry_s)

    def _close(self, ident: int, taken: _Taken) -> None:
        taken.open = False
        taken.overdue.cancel()
        self.open -= 1
        self._names.discard(taken.name)
        self._forget(ident, taken)

    def _forget(self, ident: int, taken: _Taken) -> None:
        if not taken.open and not taken.out:
            self._requests.pop(ident, None)

    def _overdue(self, ident: int) -> None:
        """The last guard on an answer in time, should the module have been silent."""
        if ident in self._requests:
            log.error("request %d had no answer at its deadline", ident)
            self._answer(ident, 504)
            self._post(api.Abandoned(ident))
