"""The bridge: requests, answers and lists go into the request table; its effects come out."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import time
from collections.abc import Callable, Iterable
from functools import partial
from time import monotonic
from typing import Any, NamedTuple

from basaltpoint import interface as api
from basaltpoint.core.table import (
    CancelAttempt,
    Effect,
    Fault,
    NewRequest,
    Reply,
    RequestTable,
    ShortenAttempt,
    StartAttempt,
    StartResponse,
)
from basaltpoint.fronts.platform.config import Config
from basaltpoint.fronts.platform.listed_servers import ListedServers
from basaltpoint.fronts.platform.passage import Call, Passage
from basaltpoint.fronts.shell import EARLY_MS, EPOCH_MS, LEAST_WAIT_MS, Shell
from basaltpoint.handover import state
from basaltpoint.handover.platform_state import PlatformState, import_module_state
from basaltpoint.interface import Status
from basaltpoint.membership.hosts import HostList, parse_list
from basaltpoint.membership.lease import MembershipLease
from basaltpoint.membership.server_starts import ServerStarts
from basaltpoint.policy import DecisionModule
from basaltpoint.telemetry import trace
from basaltpoint.telemetry.figures import Figures, Gauges
from basaltpoint.upstream.buffered import BufferedAttempt, platform_connection
from basaltpoint.upstream.send_guard import SendGuard
from basaltpoint.upstream.servers import AttemptResult, ServerConnections

log = logging.getLogger(__name__)

PROBE_S = 0.25
SILENT_S = 5.0  # for a server in the middle of an answer, or of a body that it does not take
LOAD_MOST = 10_000.0  # of any figure in a load report; no server holds or serves more
SERVER_PART = 0.4  # of the sockets may be connections to servers
MARGIN = 32  # descriptors for the listener, discovery, the loop and the log

PROBE = b"GET /metrics/load HTTP/1.1\r\nHost: backend.local\r\n\r\n"


class Terms(NamedTuple):
    """A request's `name` (Req-Id), how long its client waits, and what the module is told of it."""

    name: bytes
    cls: int
    plan: int
    customer: int
    units: float
    doors: int
    wait_s: float


def read_load(fields: tuple[str, ...], raw: bytes) -> tuple[float, ...]:
    """A load report in the settings' order; what is none, or has a figure beyond sense, says nothing."""
    try:
        values = tuple(float(json.loads(raw)[name]) for name in fields) if raw else ()
    except (ValueError, KeyError, TypeError, RecursionError, OverflowError):
        return ()
    return values if all(0 <= value <= LOAD_MOST for value in values) else ()


class Limiter(Shell):
    """Holds the request table, the sockets' side of each request, and the clock."""

    def __init__(
        self, config: Config, inherited: PlatformState | None = None, lease: MembershipLease | None = None
    ) -> None:
        """`inherited`: what an older process of this limiter has left.

        `lease`: of the list of servers; without one it needs no confirmation.
        """
        self._settings = config.settings
        self.decision_module = DecisionModule(config.settings, config.seed)
        self.figures = Figures([cls.name for cls in config.settings.classes])
        super().__init__(
            RequestTable(self.decision_module, config.settings.max_attempts, config.max_open, self.figures)
        )
        self._origin = inherited.origin_s if inherited else self._origin  # what is left tells its times
        most = int((config.sockets - MARGIN) * SERVER_PART)
        self._servers = ServerConnections(
            most, config.connect_s, config.reuse_s, platform_connection, config.rest_s
        )
        self.listed_servers = ListedServers(
            config.zones,
            inherited.server_numbers if inherited else {},
            ServerStarts(inherited.unix_offset_ms if inherited else self.now() - time.time() * 1000),
            self._servers,
            self.now,
            lambda told: self.do(self.table.handle_event(self.now(), told)),
        )
        self._passages: dict[int, Passage] = {}  # of the requests that wait for their reply
        self._attempts: dict[int, BufferedAttempt] = {}  # the one that is out, by request
        self.on_ended: Callable[[bytes], None] | None = None  # hears the name of each request that ends
        self._reserved: set[bytes] = set()  # Req-Ids that the older process has in hand
        self._lease = lease
        self._lease_until = math.inf  # monotonic seconds
        self.started = asyncio.Event()  # the list of servers has been confirmed, or nobody can confirm it
        known = (inherited and self._known(inherited.servers)) or self._known(config.known)
        if not known:
            log.warning("no usable list of servers known")
        if inherited:
            self._inherit(inherited)
        self.lease_changed()

    def _known(self, raw: Any) -> bool:
        try:
            told = parse_list(raw)[0]
        except ValueError as error:
            log.warning("a list of servers can't be read: %s", error)
            return False
        self.listed_servers.take(told, api.ListKind.CACHED)
        return True

    @property
    def known_seq(self) -> int:
        """The version of the list of servers."""
        return self.listed_servers.version

    # --- Two processes of one limiter ----------------------------------------------------------
    def _inherit(self, inherited: PlatformState) -> None:
        now = self.now()
        for what in import_module_state(self.decision_module, inherited.module, now):
            log.warning("not taken over: %s", what)
        self.decision_module.started_ms = now  # of a customer that is not known nothing may have been left
        state.share_limits(self.decision_module, now)  # as the older one did once it had written this
        self.reserve(inherited.open_req_ids)

    def state_for_successor(self, halved: bool) -> PlatformState:
        """What the next process needs; `halved`: from here on each of the two uses half of it."""
        self.listed_servers.add_all_new()
        now = self.now()
        names = sorted(self.table.open_keys - self._reserved)
        module = state.export_state(self.decision_module, now)
        if halved:
            state.share_limits(self.decision_module, now)
        return PlatformState(
            self._origin,
            self.listed_servers.starts.offset_ms,
            self.listed_servers.document(),
            dict(self.listed_servers.numbers),
            names,
            module,
        )

    def reserve(self, names: Iterable[bytes]) -> None:
        """Requests of these names are another process's: a copy here would be a second one."""
        fresh = set(names) - self.table.open_keys
        self._reserved |= fresh
        self.table.open_keys |= fresh

    def release_name(self, name: bytes) -> None:
        if name in self._reserved:
            self._reserved.discard(name)
            self.table.open_keys.discard(name)

    def unreserve(self) -> None:
        for name in list(self._reserved):
            self.release_name(name)

    # --- What clients and discovery tell -------------------------------------------------------
    @property
    def ready(self) -> bool:
        """Whether clients may come; one that has served stays ready while its list is confirmed anew."""
        return self.started.is_set() and self._servers.has_ready_server()

    @property
    def guard(self) -> SendGuard:
        """What was withheld from servers, and what should have been."""
        return self._servers.guard

    @property
    def open(self) -> int:
        """Requests that wait for their reply."""
        return self.table.open_count

    def gauges(self) -> Gauges:
        """What stands now; a server that both lists and the module know counts once."""
        avoided = self.decision_module.avoided_servers(self.now())
        listed = set(self.listed_servers.numbers.values())
        return Gauges(self.table.open_count, len(listed), len(avoided & listed))

    def take(self, call: Call, terms: Terms, unread_s: float = 0.0) -> Passage:
        """Take a request on; from here it gets one answer, before its client gives up.

        `unread_s`: how long it lay in its socket; its client has been waiting since then.
        """
        name, cls, plan, customer, units, doors, wait_s = terms
        wait_ms = min(wait_s, self._settings.classes[cls].deadline_ms / 1000) * 1000
        if unread_s:
            wait_ms = max(LEAST_WAIT_MS, wait_ms - unread_s * 1000)
        passage = Passage(self, call, name, cls, wait_ms)
        passage.ident, effects = self.table.admit(
            self.now(), NewRequest(cls, plan, customer, units, doors, wait_ms, EARLY_MS, 0, name)
        )
        self._passages[passage.ident] = passage
        if trace.enabled:
            trace.event(
                "request %d id %s taken, class %d, waits %.3f s", passage.ident, name, cls, wait_ms / 1000
            )
        self.do(effects)
        return passage

    def abandon(self, passage: Passage) -> None:
        """The client has hung up, or is given up on."""
        if self._passages.pop(passage.ident, None):
            if trace.enabled:
                trace.event("request %d: its client has gone", passage.ident)
            passage.gone()
            self.do(self.table.client_disconnected(self.now(), passage.ident))
            self._keep_back(passage.ident)

    def _keep_back(self, ident: int) -> None:
        """Nobody waits any more: what no server has begun is not begun, whatever may be cancelled there."""
        if (attempt := self._attempts.get(ident)) and not attempt.is_written:
            attempt.cancel()

    def hasten(self, latest: float) -> None:
        """This process ends: from here on all is answered by then, a time of the loop's clock."""
        self.do(self.table.shorten_deadlines(self.now(), self.now() + (latest - monotonic()) * 1000))

    def listed(self, told: HostList) -> None:
        self.listed_servers.take(told, api.ListKind.FULL if told.whole else api.ListKind.DELTA)

    def lease_changed(self) -> None:
        """Tell the decisions, and the check before each write, until when the list may be acted on."""
        now = monotonic()
        until = self._lease.expires_at(now) if self._lease else math.inf
        if until > now and not self.started.is_set():
            self.started.set()
        if until == self._lease_until:
            return
        if (until == math.inf) != (self._lease_until == math.inf):
            log.info("discovery %s", "can't be reached" if until == math.inf else "is waited for")
        self._lease_until = self._servers.guard.lease_expires_at = until
        until_ms = (until - self._origin) * 1000 + EPOCH_MS
        self.do(self.table.handle_event(self.now(), api.MembershipConfirmed(until_ms)))

    def sweep(self) -> None:
        """End what stands still: each would hold a server's connection for good."""
        self.lease_changed()  # that nobody can be reached shows by time alone
        self.listed_servers.sweep()
        self._servers.close_expired()
        now = monotonic()
        for passage in list(self._passages.values()):
            stream, stuck = passage.stream, passage.stuck_since
            silent = (
                passage.passing
                and stream
                and not stream.is_paused
                and now - stream.last_received_at > SILENT_S
            )
            if stream and (silent or (stuck is not None and now - stuck > SILENT_S)):
                log.warning("a server has stopped in the middle of %s", "an answer" if silent else "a body")
                stream.reset()

    def close(self) -> None:
        self._servers.close()

    # --- Effects -------------------------------------------------------------------------------
    def carry_out(self, effect: Effect) -> None:
        match effect:
            case StartAttempt():
                self._dispatch(effect)
            case Reply():
                if passage := self._passages.pop(effect.request, None):
                    if trace.enabled:
                        trace.event(
                            "request %d ends %s, why %s", effect.request, effect.result.value, effect.reason
                        )
                    passage.reply(effect)
                    self._keep_back(effect.request)
                    if self.on_ended:
                        self.on_ended(passage.name)
            case CancelAttempt():
                if attempt := self._attempts.get(effect.request):
                    attempt.cancel()
            case ShortenAttempt():
                if attempt := self._attempts.get(effect.request):
                    attempt.set_end_by(min(attempt.end_by, self.loop_time(effect.end_by_ms)))
            case api.Probe():
                self._probe(effect.server)
            case api.CloseIdle():
                self._servers.close_idle(effect.server)
            case api.Log():
                log.info("module: %s", effect.text)
            case Fault():
                log.error("%s", effect.text)
            case StartResponse():
                if passage := self._passages.get(effect.request):
                    passage.passing = True

    def _dispatch(self, effect: StartAttempt) -> None:
        ident, passage = effect.request, self._passages[effect.request]  # the table sends for no other
        call = passage.call
        # A first attempt follows the request's reading; before a further one the client is looked for.
        if call.gone() if effect.attempt else call.left:
            call.hang_up()
            self.abandon(passage)
            self.do(self.table.attempt_ended(self.now(), ident, effect.attempt, Status.CONNECT_FAILED))
            return
        if trace.enabled:
            self._trace_dispatch(effect)
        passage.until_ms = effect.end_by_ms
        until = self.loop_time(effect.end_by_ms)
        attempt = BufferedAttempt(
            self.message(passage),
            until,
            partial(self._ended, passage, effect.attempt),
            partial(self._sent, passage.cls, ident),
            passage,
            self.loop_time(effect.write_by_ms),
        )
        # Before it begins: over a kept connection all of a body may go at once.
        passage.attempt, passage.number = attempt, effect.attempt
        self._attempts[ident] = attempt
        self._servers.start_attempt(effect.server, attempt)

    def message(self, passage: Passage) -> bytes:
        """A request as a server gets it now, with the time that its attempt has left."""
        left = f"Req-Deadline: {(passage.until_ms - self.now()) / 1000:.3f}\r\n\r\n"
        return passage.call.forward + left.encode() + passage.call.body

    def _trace_dispatch(self, effect: StartAttempt) -> None:
        names = {number: name for name, number in self.listed_servers.numbers.items()}
        trace.event(
            "request %d attempt %d goes to %s by version %d",
            effect.request,
            effect.attempt,
            names.get(effect.server, "a server that is gone"),
            self.known_seq,
        )

    def _sent(self, cls: int, ident: int) -> None:
        self.figures.counts_of(cls).sends += 1
        if trace.enabled:
            trace.event("request %d: its attempt's last byte is written", ident)

    def _ended(self, passage: Passage, number: int, reply: AttemptResult) -> None:
        ident = passage.ident
        self._attempts.pop(ident, None)
        if trace.enabled:
            trace.event("request %d attempt %d ended: %s", ident, number, reply.status.value)
        passage.ended()
        load = read_load(self._settings.report_fields, reply.load)
        # A figure beyond what a request can take is no figure of this server's; it would bind the customer.
        units = reply.units if reply.units <= (self._settings.max_request_units or math.inf) else 0.0
        self.do(
            self.table.attempt_ended(
                self.now(),
                ident,
                number,
                reply.status,
                usage=reply.usage,
                report=load,
                units=units,
                payload=reply,
            )
        )

    def _probe(self, server: int) -> None:
        now = self.now()

        def ended(reply: AttemptResult) -> None:
            load = read_load(self._settings.report_fields, reply.load or reply.body)
            event = api.ProbeResult(server, reply.status, self.now() - now, load)
            self.do(self.table.handle_event(self.now(), event))

        self._servers.start_attempt(server, BufferedAttempt(PROBE, self.loop_time(now) + PROBE_S, ended))
