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
from basaltpoint.fronts.platform.request_exchange import ClientSide, RequestExchange
from basaltpoint.fronts.shell import CLOCK_START_MS, MIN_WAIT_MS, RESPONSE_MARGIN_MS, RequestTableDriver
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

PROBE_TIMEOUT_S = 0.25
SERVER_TIMEOUT_S = 5.0  # for a server in the middle of an answer, or of a body that it does not take
MAX_LOAD_VALUE = 10_000.0  # of any figure in a load report; no server holds or serves more
SERVER_SOCKET_FRACTION = 0.4  # of the sockets may be connections to servers
RESERVED_DESCRIPTORS = 32  # descriptors for the listener, discovery, the loop and the log

PROBE_REQUEST = b"GET /metrics/load HTTP/1.1\r\nHost: backend.local\r\n\r\n"


class RequestTerms(NamedTuple):
    """A request's `name` (Req-Id), how long its client waits, and what the module is told of it."""

    request_id: bytes
    cls: int
    plan: int
    customer: int
    units: float
    customer_limiters: int
    wait_s: float


def parse_load_report(fields: tuple[str, ...], raw: bytes) -> tuple[float, ...]:
    """A load report in the settings' order; what is none, or has a figure beyond sense, says nothing."""
    try:
        values = tuple(float(json.loads(raw)[name]) for name in fields) if raw else ()
    except (ValueError, KeyError, TypeError, RecursionError, OverflowError):
        return ()
    return values if all(0 <= value <= MAX_LOAD_VALUE for value in values) else ()


class Limiter(RequestTableDriver):
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
        self._clock_origin_s = (
            inherited.origin_s if inherited else self._clock_origin_s
        )  # what is left tells its times
        most = int((config.sockets - RESERVED_DESCRIPTORS) * SERVER_SOCKET_FRACTION)
        self._servers = ServerConnections(
            most, config.connect_s, config.reuse_s, platform_connection, config.rest_s
        )
        self.listed_servers = ListedServers(
            config.zones,
            inherited.server_numbers if inherited else {},
            ServerStarts(inherited.unix_offset_ms if inherited else self.now() - time.time() * 1000),
            self._servers,
            self.now,
            lambda told: self.apply_effects(self.table.handle_event(self.now(), told)),
        )
        self._exchanges: dict[int, RequestExchange] = {}  # of the requests that wait for their reply
        self._attempts: dict[int, BufferedAttempt] = {}  # the one that is out, by request
        self.on_request_ended: Callable[[bytes], None] | None = (
            None  # hears the name of each request that ends
        )
        self._reserved: set[bytes] = set()  # Req-Ids that the older process has in hand
        self._lease = lease
        self._lease_until = math.inf  # monotonic seconds
        self.list_confirmed = (
            asyncio.Event()
        )  # the list of servers has been confirmed, or nobody can confirm it
        known = (inherited and self._load_list(inherited.servers)) or self._load_list(config.known)
        if not known:
            log.warning("no usable list of servers known")
        if inherited:
            self._inherit(inherited)
        self.lease_changed()

    def _load_list(self, raw: Any) -> bool:
        try:
            told = parse_list(raw)[0]
        except ValueError as error:
            log.warning("a list of servers can't be read: %s", error)
            return False
        self.listed_servers.update(told, api.ListKind.CACHED)
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
        self.reserve_ids(inherited.open_req_ids)

    def state_for_successor(self, halved: bool) -> PlatformState:
        """What the next process needs; `halved`: from here on each of the two uses half of it."""
        self.listed_servers.add_all_new()
        now = self.now()
        names = sorted(self.table.open_keys - self._reserved)
        module = state.export_state(self.decision_module, now)
        if halved:
            state.share_limits(self.decision_module, now)
        return PlatformState(
            self._clock_origin_s,
            self.listed_servers.starts.offset_ms,
            self.listed_servers.document(),
            dict(self.listed_servers.numbers),
            names,
            module,
        )

    def reserve_ids(self, names: Iterable[bytes]) -> None:
        """Requests of these names are another process's: a copy here would be a second one."""
        fresh = set(names) - self.table.open_keys
        self._reserved |= fresh
        self.table.open_keys |= fresh

    def release_id(self, name: bytes) -> None:
        if name in self._reserved:
            self._reserved.discard(name)
            self.table.open_keys.discard(name)

    def release_all_ids(self) -> None:
        for name in list(self._reserved):
            self.release_id(name)

    # --- What clients and discovery tell -------------------------------------------------------
    @property
    def ready(self) -> bool:
        """Whether clients may come; one that has served stays ready while its list is confirmed anew."""
        return self.list_confirmed.is_set() and self._servers.has_ready_server()

    @property
    def guard(self) -> SendGuard:
        """What was withheld from servers, and what should have been."""
        return self._servers.guard

    @property
    def open_requests(self) -> int:
        """Requests that wait for their reply."""
        return self.table.open_count

    def gauges(self) -> Gauges:
        """What stands now; a server that both lists and the module know counts once."""
        avoided = self.decision_module.avoided_servers(self.now())
        listed = set(self.listed_servers.numbers.values())
        return Gauges(self.table.open_count, len(listed), len(avoided & listed))

    def accept_request(self, call: ClientSide, terms: RequestTerms, unread_s: float = 0.0) -> RequestExchange:
        """Take a request on; from here it gets one answer, before its client gives up.

        `unread_s`: how long it lay in its socket; its client has been waiting since then.
        """
        name, cls, plan, customer, units, doors, wait_s = terms
        wait_ms = min(wait_s, self._settings.classes[cls].deadline_ms / 1000) * 1000
        if unread_s:
            wait_ms = max(MIN_WAIT_MS, wait_ms - unread_s * 1000)
        passage = RequestExchange(self, call, name, cls, wait_ms)
        passage.request_number, effects = self.table.admit(
            self.now(), NewRequest(cls, plan, customer, units, doors, wait_ms, RESPONSE_MARGIN_MS, 0, name)
        )
        self._exchanges[passage.request_number] = passage
        if trace.enabled:
            trace.event(
                "request %d id %s taken, class %d, waits %.3f s",
                passage.request_number,
                name,
                cls,
                wait_ms / 1000,
            )
        self.apply_effects(effects)
        return passage

    def abandon(self, passage: RequestExchange) -> None:
        """The client has hung up, or is given up on."""
        if self._exchanges.pop(passage.request_number, None):
            if trace.enabled:
                trace.event("request %d: its client has gone", passage.request_number)
            passage.client_disconnected()
            self.apply_effects(self.table.client_disconnected(self.now(), passage.request_number))
            self._cancel_unwritten(passage.request_number)

    def _cancel_unwritten(self, ident: int) -> None:
        """Nobody waits any more: what no server has begun is not begun, whatever may be cancelled there."""
        if (attempt := self._attempts.get(ident)) and not attempt.is_written:
            attempt.cancel()

    def shorten_deadlines(self, latest: float) -> None:
        """This process ends: from here on all is answered by then, a time of the loop's clock."""
        self.apply_effects(
            self.table.shorten_deadlines(self.now(), self.now() + (latest - monotonic()) * 1000)
        )

    def update_servers(self, told: HostList) -> None:
        self.listed_servers.update(told, api.ListKind.FULL if told.whole else api.ListKind.DELTA)

    def lease_changed(self) -> None:
        """Tell the decisions, and the check before each write, until when the list may be acted on."""
        now = monotonic()
        until = self._lease.expires_at(now) if self._lease else math.inf
        if until > now and not self.list_confirmed.is_set():
            self.list_confirmed.set()
        if until == self._lease_until:
            return
        if (until == math.inf) != (self._lease_until == math.inf):
            log.info("discovery %s", "can't be reached" if until == math.inf else "is waited for")
        self._lease_until = self._servers.guard.lease_expires_at = until
        until_ms = (until - self._clock_origin_s) * 1000 + CLOCK_START_MS
        self.apply_effects(self.table.handle_event(self.now(), api.MembershipConfirmed(until_ms)))

    def sweep(self) -> None:
        """End what stands still: each would hold a server's connection for good."""
        self.lease_changed()  # that nobody can be reached shows by time alone
        self.listed_servers.sweep()
        self._servers.close_expired()
        now = monotonic()
        for passage in list(self._exchanges.values()):
            stream, stuck = passage.stream, passage.write_paused_since
            silent = (
                passage.response_started
                and stream
                and not stream.is_paused
                and now - stream.last_received_at > SERVER_TIMEOUT_S
            )
            if stream and (silent or (stuck is not None and now - stuck > SERVER_TIMEOUT_S)):
                log.warning("a server has stopped in the middle of %s", "an answer" if silent else "a body")
                stream.reset()

    def close(self) -> None:
        self._servers.close()

    # --- Effects -------------------------------------------------------------------------------
    def apply_effect(self, effect: Effect) -> None:
        match effect:
            case StartAttempt():
                self._dispatch(effect)
            case Reply():
                if passage := self._exchanges.pop(effect.request, None):
                    if trace.enabled:
                        trace.event(
                            "request %d ends %s, why %s", effect.request, effect.result.value, effect.reason
                        )
                    passage.finish(effect)
                    self._cancel_unwritten(effect.request)
                    if self.on_request_ended:
                        self.on_request_ended(passage.request_id)
            case CancelAttempt():
                if attempt := self._attempts.get(effect.request):
                    attempt.cancel()
            case ShortenAttempt():
                if attempt := self._attempts.get(effect.request):
                    attempt.set_end_by(min(attempt.end_by, self.to_loop_time(effect.end_by_ms)))
            case api.Probe():
                self._probe(effect.server)
            case api.CloseIdle():
                self._servers.close_idle(effect.server)
            case api.Log():
                log.info("module: %s", effect.text)
            case Fault():
                log.error("%s", effect.text)
            case StartResponse():
                if passage := self._exchanges.get(effect.request):
                    passage.response_started = True

    def _dispatch(self, effect: StartAttempt) -> None:
        ident, passage = effect.request, self._exchanges[effect.request]  # the table sends for no other
        call = passage.client
        # A first attempt follows the request's reading; before a further one the client is looked for.
        if call.is_client_gone() if effect.attempt else call.client_left_unnoticed:
            call.close_connection()
            self.abandon(passage)
            self.apply_effects(
                self.table.attempt_ended(self.now(), ident, effect.attempt, Status.CONNECT_FAILED)
            )
            return
        if trace.enabled:
            self._trace_dispatch(effect)
        passage.attempt_deadline_ms = effect.end_by_ms
        until = self.to_loop_time(effect.end_by_ms)
        attempt = BufferedAttempt(
            self.message(passage),
            until,
            partial(self._attempt_ended, passage, effect.attempt),
            partial(self._attempt_written, passage.cls, ident),
            passage,
            self.to_loop_time(effect.write_by_ms),
        )
        # Before it begins: over a kept connection all of a body may go at once.
        passage.attempt, passage.attempt_number = attempt, effect.attempt
        self._attempts[ident] = attempt
        self._servers.start_attempt(effect.server, attempt)

    def message(self, passage: RequestExchange) -> bytes:
        """A request as a server gets it now, with the time that its attempt has left."""
        left = f"Req-Deadline: {(passage.attempt_deadline_ms - self.now()) / 1000:.3f}\r\n\r\n"
        return passage.client.forward + left.encode() + passage.client.body

    def _trace_dispatch(self, effect: StartAttempt) -> None:
        names = {number: name for name, number in self.listed_servers.numbers.items()}
        trace.event(
            "request %d attempt %d goes to %s by version %d",
            effect.request,
            effect.attempt,
            names.get(effect.server, "a server that is gone"),
            self.known_seq,
        )

    def _attempt_written(self, cls: int, ident: int) -> None:
        self.figures.counts_of(cls).sends += 1
        if trace.enabled:
            trace.event("request %d: its attempt's last byte is written", ident)

    def _attempt_ended(self, passage: RequestExchange, number: int, reply: AttemptResult) -> None:
        ident = passage.request_number
        self._attempts.pop(ident, None)
        if trace.enabled:
            trace.event("request %d attempt %d ended: %s", ident, number, reply.status.value)
        passage.ended()
        load = parse_load_report(self._settings.report_fields, reply.load)
        # A figure beyond what a request can take is no figure of this server's; it would bind the customer.
        units = reply.units if reply.units <= (self._settings.max_request_units or math.inf) else 0.0
        self.apply_effects(
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
            load = parse_load_report(self._settings.report_fields, reply.load or reply.body)
            event = api.ProbeResult(server, reply.status, self.now() - now, load)
            self.apply_effects(self.table.handle_event(self.now(), event))

        self._servers.start_attempt(
            server, BufferedAttempt(PROBE_REQUEST, self.to_loop_time(now) + PROBE_TIMEOUT_S, ended)
        )
