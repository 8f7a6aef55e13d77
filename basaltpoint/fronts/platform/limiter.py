"""The platform's limiter: passes requests, responses and lists to the request table, applies its effects."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import time
from collections.abc import Callable
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
from basaltpoint.handover.held_ids import HeldIds
from basaltpoint.handover.id_claims import RequestIdClaims
from basaltpoint.handover.platform_state import PlatformState, import_module_state
from basaltpoint.interface import Status
from basaltpoint.membership.hosts import HostList, parse_list
from basaltpoint.membership.lease import MembershipLease
from basaltpoint.membership.server_starts import ServerStarts
from basaltpoint.policy import DecisionModule
from basaltpoint.telemetry import trace
from basaltpoint.telemetry.figures import Figures, Gauges
from basaltpoint.telemetry.response_times import ResponseTimes
from basaltpoint.upstream.buffered import BufferedAttempt, platform_connection
from basaltpoint.upstream.send_guard import SendGuard
from basaltpoint.upstream.servers import AttemptResult, ServerConnections

log = logging.getLogger(__name__)

PROBE_TIMEOUT_S = 0.25
SERVER_TIMEOUT_S = 5.0  # for a server that stops during a response or does not accept a body
MAX_LOAD_VALUE = 10_000.0  # of any value in a load report; no server has or serves more requests
SERVER_SOCKET_FRACTION = 0.4  # of the sockets; the rest are for clients
RESERVED_DESCRIPTORS = 32  # descriptors for the listener, discovery, the loop and the log

# An attempt that ends so has certainly not been executed, although it was written.
NEVER_EXECUTED = frozenset([Status.FULL, Status.CONNECT_FAILED, Status.MOOT])

PROBE_REQUEST = b"GET /metrics/load HTTP/1.1\r\nHost: backend.local\r\n\r\n"


def longest_repetition_ms(settings: api.Settings) -> float:
    """Returns for how long a request may be repeated by the settings, in ms."""
    return max(max(cls.deadline_ms, cls.dedup_window_ms) for cls in settings.classes)


class RequestTerms(NamedTuple):
    """A request's Req-Id, how long its client waits, and the values for the decision module."""

    request_id: bytes
    cls: int
    plan: int
    customer: int
    units: float
    customer_limiters: int
    wait_s: float


def parse_load_report(fields: tuple[str, ...], raw: bytes) -> tuple[float, ...]:
    """Returns a load report's values in the settings' order; empty if it is invalid or out of range."""
    try:
        values = tuple(float(json.loads(raw)[name]) for name in fields) if raw else ()
    except (ValueError, KeyError, TypeError, RecursionError, OverflowError):
        return ()
    return values if all(0 <= value <= MAX_LOAD_VALUE for value in values) else ()


class Limiter(RequestTableDriver):
    """Connects the request table to the clients' requests and the servers' connections."""

    def __init__(
        self,
        config: Config,
        inherited: PlatformState | None = None,
        lease: MembershipLease | None = None,
        claims: RequestIdClaims | None = None,
    ) -> None:
        """`inherited`: the state of the predecessor, if any.

        `lease`: of the list of servers; without it the list needs no confirmation. `claims`: the Req-Ids that
        are open in any process of this limiter; None if it has no other process.
        """
        self._settings = config.settings
        self.decision_module = DecisionModule(config.settings, config.seed)
        self.figures = Figures([cls.name for cls in config.settings.classes])
        super().__init__(
            RequestTable(self.decision_module, config.settings.max_attempts, config.max_open, self.figures)
        )
        self._clock_origin_s = (
            inherited.origin_s if inherited else self._clock_origin_s
        )  # times in the inherited state use it
        max_connections = int((config.sockets - RESERVED_DESCRIPTORS) * SERVER_SOCKET_FRACTION)
        self._servers = ServerConnections(
            max_connections,
            config.connect_s,
            config.max_reuse_idle_s,
            platform_connection,
            config.min_reuse_idle_s,
        )
        self.listed_servers = ListedServers(
            config.zones,
            inherited.server_numbers if inherited else {},
            ServerStarts(inherited.unix_offset_ms if inherited else self.now() - time.time() * 1000),
            self._servers,
            self.now,
            lambda servers: self.apply_effects(self.table.handle_event(self.now(), servers)),
        )
        self.response_times = ResponseTimes()
        self._exchanges: dict[int, RequestExchange] = {}  # by number, of requests without a response
        self._attempts: dict[int, BufferedAttempt] = {}  # the outstanding one, by request number
        self.claims = claims
        self.on_request_ended: Callable[[bytes], None] | None = None  # receives its Req-Id
        self._reserved: set[bytes] = set()  # Req-Ids that were open in the predecessor
        self._held_ids = HeldIds(longest_repetition_ms(config.settings))
        self._lease = lease
        self._lease_until = math.inf  # monotonic seconds
        self.list_confirmed = asyncio.Event()  # the list was confirmed, or discovery is unreachable
        known = (inherited and self._load_list(inherited.servers)) or self._load_list(config.known)
        if not known:
            log.warning("no usable list of servers is known")
        if inherited:
            self._inherit(inherited)
        self.lease_changed()

    def _load_list(self, raw: Any) -> bool:
        try:
            host_list = parse_list(raw)[0]
        except ValueError as error:
            log.warning("a list of servers can't be read: %s", error)
            return False
        self.listed_servers.update(host_list, api.ListKind.CACHED)
        return True

    @property
    def known_seq(self) -> int:
        """The sequence number of the list of servers."""
        return self.listed_servers.version

    # --- Two processes of one limiter ----------------------------------------------------------
    def _inherit(self, inherited: PlatformState) -> None:
        now = self.now()
        for problem in import_module_state(self.decision_module, inherited.module, now):
            log.warning("not taken over: %s", problem)
        self.decision_module.started_ms = now  # unknown customers may have used up their quota
        state.share_limits(self.decision_module, now)  # as the predecessor did after writing this state
        self.reserve_ids(inherited)

    def state_for_successor(self, final_for_ms: float | None) -> PlatformState:
        """Returns the state for the successor.

        `final_for_ms`: how long this process may run after its final state, in which the successor gets the
        whole limits; None: both serve on, and from now on each uses half of the limits.
        """
        self.listed_servers.add_all_new()
        now = self.now()
        names = sorted((self.table.open_keys - self._reserved).union(self._held_ids.until))
        module = state.export_state(self.decision_module, now)
        if final_for_ms is None:
            state.share_limits(self.decision_module, now)
        else:
            state.exhaust_ceilings(self.decision_module, now, final_for_ms)
        return PlatformState(
            self._clock_origin_s,
            self.listed_servers.starts.offset_ms,
            self.listed_servers.document(),
            dict(self.listed_servers.numbers),
            names,
            module,
            self.claims.file_identity if self.claims else "",
        )

    def reserve_ids(self, inherited: PlatformState, is_final: bool = False) -> None:
        """Rejects requests with the predecessor's open Req-Ids as duplicates.

        While it claims them itself, only its final state (`is_final`) is needed: its claims end with it.
        """
        if not is_final and self.claims and inherited.claims_file == self.claims.file_identity:
            return
        fresh = set(inherited.open_req_ids) - self.table.open_keys
        self._reserved |= fresh
        self.table.open_keys |= fresh

    def limit_server_connections(self, share: float) -> None:
        """Limits connections to servers to a share of the maximum; those that are open stay."""
        self._servers.connection_share = share

    def release_id(self, req_id: bytes) -> None:
        if req_id in self._reserved:
            self._reserved.discard(req_id)
            self.table.open_keys.discard(req_id)

    def predecessor_ended(self) -> None:
        """Holds those of its Req-Ids whose requests have not ended, as far as it could tell."""
        self.table.open_keys -= self._reserved
        for req_id in self._reserved:
            self._hold_id(req_id)
        self._reserved.clear()

    # --- Events of clients and discovery -------------------------------------------------------
    @property
    def ready(self) -> bool:
        """Whether requests can be served; stays true while a confirmed list is being confirmed again."""
        return self.list_confirmed.is_set() and self._servers.has_ready_server()

    @property
    def guard(self) -> SendGuard:
        """Counts attempts that were withheld from servers, and those that should have been."""
        return self._servers.guard

    @property
    def open_requests(self) -> int:
        """The number of requests without a response."""
        return self.table.open_count

    def gauges(self) -> Gauges:
        """Returns the current values; only listed servers are counted."""
        avoided = self.decision_module.avoided_servers(self.now())
        listed = set(self.listed_servers.numbers.values())
        return Gauges(self.table.open_count, len(listed), len(avoided & listed))

    def accept_request(
        self, client: ClientSide, terms: RequestTerms, unread_s: float = 0.0
    ) -> RequestExchange:
        """Accepts a request, which then gets one response before its deadline.

        `unread_s`: how long it was unread in its socket; its client has been waiting since then.
        """
        name, cls, plan, customer, units, customer_limiters, wait_s = terms
        wait_ms = min(wait_s, self._settings.classes[cls].deadline_ms / 1000) * 1000
        if unread_s:
            wait_ms = max(MIN_WAIT_MS, wait_ms - unread_s * 1000)
        exchange = RequestExchange(self, client, name, cls, wait_ms)
        exchange.request_number, effects = self.table.admit(
            self.now(),
            NewRequest(cls, plan, customer, units, customer_limiters, wait_ms, RESPONSE_MARGIN_MS, 0, name),
            is_open_elsewhere=not self._claim(name),
        )
        self._exchanges[exchange.request_number] = exchange
        if trace.enabled:
            trace.event(
                "request %d id %s taken, class %d, waits %.3f s",
                exchange.request_number,
                name,
                cls,
                wait_ms / 1000,
            )
        self.apply_effects(effects)
        return exchange

    def _claim(self, req_id: bytes) -> bool:
        """Claims a Req-Id that is not open here; returns False if it is held or open in another process."""
        if self._held_ids.until and req_id in self._held_ids.until:
            return False
        if self.claims is None or req_id in self.table.open_keys or self.claims.claim(req_id):
            return True
        if trace.enabled:
            trace.event("id %s is open in another process of this limiter", req_id)
        return False

    def _release(self, exchange: RequestExchange) -> None:
        """Releases a Req-Id after the end of a request and of its attempts.

        Not if another request of that id is open here, nor while its repetition could be executed, too: a
        copy that was refused meanwhile frees nothing.
        """
        if exchange.request_id in self.table.open_keys or exchange.request_id in self._held_ids.until:
            return
        if exchange.has_client_left and exchange.may_have_run:
            self._hold_id(exchange.request_id)
        else:
            self._free_id(exchange.request_id)

    def _hold_id(self, req_id: bytes) -> None:
        for freed in self._held_ids.hold(self.now(), req_id):
            self._free_id(freed)

    def _free_id(self, req_id: bytes) -> None:
        if self.claims:
            self.claims.release(req_id)
        if self.on_request_ended:
            self.on_request_ended(req_id)

    def abandon(self, exchange: RequestExchange) -> None:
        """Ends a request whose client has disconnected or whose connection is closed."""
        if self._exchanges.pop(exchange.request_number, None):
            if trace.enabled:
                trace.event("request %d: its client has disconnected", exchange.request_number)
            exchange.client_disconnected()
            self.apply_effects(self.table.client_disconnected(self.now(), exchange.request_number))
            self._cancel_unwritten(exchange.request_number)
            self._release(exchange)

    @property
    def process_deadline(self) -> float:
        """When all responses have to be complete, because the process ends, monotonic seconds."""
        return self.to_loop_time(self.table.final_deadline_ms)

    def _cancel_unwritten(self, request_number: int) -> None:
        """Cancels an attempt that is not written yet; unlike others it needs no permission to cancel."""
        if (attempt := self._attempts.get(request_number)) and not attempt.is_written:
            attempt.cancel()

    def update_servers(self, host_list: HostList) -> None:
        self.listed_servers.update(host_list, api.ListKind.FULL if host_list.whole else api.ListKind.DELTA)

    def lease_changed(self) -> None:
        """Passes on until when the list is valid, to the decisions and to the check before each write."""
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
        """Resets stalled server connections, which would otherwise stay open for good."""
        self.lease_changed()  # an unreachable discovery only shows by time
        self.listed_servers.sweep()
        self._servers.close_expired()
        for req_id in self._held_ids.free_expired(self.now()):
            self._free_id(req_id)
        now = monotonic()
        for exchange in list(self._exchanges.values()):
            stream = exchange.stream
            if exchange.end_if_client_disconnected():
                continue
            if stream and exchange.response_started and stream.is_silent(now - SERVER_TIMEOUT_S):
                log.warning("a server has stopped in the middle of a response")
                stream.reset()
            elif stream and (stall := exchange.upload_stall(now, SERVER_TIMEOUT_S)):
                log.warning("a server has stopped in the middle of a body: %s", stall)
                stream.reset()

    def close(self) -> None:
        self._servers.close()

    # --- Effects -------------------------------------------------------------------------------
    def apply_effect(self, effect: Effect) -> None:
        match effect:
            case StartAttempt():
                self._dispatch(effect)
            case Reply():
                if exchange := self._exchanges.pop(effect.request, None):
                    if trace.enabled:
                        trace.event(
                            "request %d ends %s, why %s", effect.request, effect.result.value, effect.reason
                        )
                    self._release(exchange)
                    exchange.finish(effect)
                    self._cancel_unwritten(effect.request)
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
                if exchange := self._exchanges.get(effect.request):
                    exchange.response_started = True

    def _dispatch(self, effect: StartAttempt) -> None:
        request_number, exchange = (
            effect.request,
            self._exchanges[effect.request],
        )  # the table starts attempts for open requests only
        client = exchange.client
        # The first attempt directly follows the reading of the request; before a retry the kernel is queried.
        if client.has_client_disconnected() if effect.attempt else client.client_disconnected_unnoticed:
            client.close_connection()
            self.abandon(exchange)
            self.apply_effects(
                self.table.attempt_ended(self.now(), request_number, effect.attempt, Status.CONNECT_FAILED)
            )
            return
        if trace.enabled:
            self._trace_dispatch(effect)
        exchange.attempt_deadline_ms = effect.end_by_ms
        until = self.to_loop_time(effect.end_by_ms)
        attempt = BufferedAttempt(
            self.message(exchange),
            until,
            partial(self._attempt_ended, exchange, effect.attempt),
            partial(self._attempt_written, exchange),
            exchange,
            self.to_loop_time(effect.write_by_ms),
        )
        # Set before the start: a reused connection may write the whole body at once.
        exchange.attempt, exchange.attempt_number = attempt, effect.attempt
        self._attempts[request_number] = attempt
        self._servers.start_attempt(effect.server, attempt)

    def message(self, exchange: RequestExchange) -> bytes:
        """Returns the request for a server, with the time that its attempt has left."""
        left = f"Req-Deadline: {(exchange.attempt_deadline_ms - self.now()) / 1000:.3f}\r\n\r\n"
        return exchange.client.forwarded_head + left.encode() + exchange.client.body

    def _trace_dispatch(self, effect: StartAttempt) -> None:
        names = {number: name for name, number in self.listed_servers.numbers.items()}
        trace.event(
            "request %d attempt %d goes to %s by version %d",
            effect.request,
            effect.attempt,
            names.get(effect.server, "a removed server"),
            self.known_seq,
        )

    def _attempt_written(self, exchange: RequestExchange) -> None:
        exchange.is_attempt_written = True
        self.figures.counts_of(exchange.cls).sends += 1
        if trace.enabled:
            trace.event("request %d: its attempt's last byte is written", exchange.request_number)

    def _attempt_ended(self, exchange: RequestExchange, number: int, result: AttemptResult) -> None:
        request_number = exchange.request_number
        self._attempts.pop(request_number, None)
        if trace.enabled:
            trace.event("request %d attempt %d ended: %s", request_number, number, result.status.value)
        if exchange.is_attempt_written and result.status not in NEVER_EXECUTED:
            exchange.may_have_run = True
        exchange.ended()
        load = parse_load_report(self._settings.report_fields, result.load)
        # More units than a request can have are ignored: they would count against the customer.
        units = result.units if result.units <= (self._settings.max_request_units or math.inf) else 0.0
        self.apply_effects(
            self.table.attempt_ended(
                self.now(),
                request_number,
                number,
                result.status,
                usage=result.usage,
                report=load,
                units=units,
                payload=result,
            )
        )
        if exchange.is_over:
            self._release(exchange)

    def _probe(self, server: int) -> None:
        now = self.now()

        def ended(result: AttemptResult) -> None:
            load = parse_load_report(self._settings.report_fields, result.load or result.body)
            event = api.ProbeResult(server, result.status, self.now() - now, load)
            self.apply_effects(self.table.handle_event(self.now(), event))

        self._servers.start_attempt(
            server, BufferedAttempt(PROBE_REQUEST, self.to_loop_time(now) + PROBE_TIMEOUT_S, ended)
        )
