"""The HTTP front's limiter: maps requests to routes and accounts, and the table's effects to attempts."""

from __future__ import annotations

import asyncio
import logging
import math
import random
import socket
import time
from collections.abc import Callable, Mapping
from functools import partial
from types import MappingProxyType

from basaltpoint import interface as api
from basaltpoint.config.build import ServerSpec, Setup
from basaltpoint.core.table import (
    CancelAttempt,
    Effect,
    Fault,
    NewRequest,
    Reply,
    RequestResult,
    RequestTable,
    ShortenAttempt,
    StartAttempt,
    StartResponse,
)
from basaltpoint.fronts.http import message
from basaltpoint.fronts.http.connection import ClientConnection
from basaltpoint.fronts.http.exchange import HealthCheck, RequestExchange
from basaltpoint.fronts.http.message import (
    BadRequestError,
    Headers,
    Origin,
    Request,
    RequestRewrite,
    UpstreamRequest,
)
from basaltpoint.fronts.shell import MIN_WAIT_MS, RESPONSE_MARGIN_MS, RequestTableDriver
from basaltpoint.fronts.unread import FIRST_REQUEST_GRACE_S
from basaltpoint.interface import Effect as Repeats
from basaltpoint.interface import RefusalReason, ServerState, Status
from basaltpoint.membership.checks import Checks
from basaltpoint.policy import DecisionModule
from basaltpoint.routing.accounts import UnknownClient, client_address, is_trusted
from basaltpoint.system.pending_connections import PendingConnections
from basaltpoint.system.turn_queue import TurnQueue
from basaltpoint.telemetry.figures import Figures
from basaltpoint.upstream.servers import TIMER_RESOLUTION_S, AttemptResult, ServerConnections
from basaltpoint.upstream.streams import StreamAttempt, StreamConnection

log = logging.getLogger(__name__)

RESERVED_DESCRIPTORS = 32  # file descriptors for the listener, the event loop and the log
SERVER_SOCKET_FRACTION = 0.4  # fraction of the sockets that may be connections to servers


class Relay(RequestTableDriver):
    """Owns the request table, the client and server connections and the current configuration."""

    def __init__(
        self,
        setup: Setup,
        seed: int,
        down_ms: float = 0.0,
        origin_s: float | None = None,
        started_ms: Mapping[str, float] = MappingProxyType({}),
    ) -> None:
        """`down_ms`: minimum time for which no earlier process of this limiter has sent requests.

        `origin_s`: start of the predecessor's clock, if this process takes over from one;
        `started_ms`: when, on that clock, it first saw each server.
        """
        file = setup.file
        self.setup = setup
        self.name = file.name.encode()
        self.max_head_bytes = file.limits.head_kb * 1024
        self.buffer_bytes = file.limits.buffer_kb * 1024
        self.is_closing = False
        self.turns = TurnQueue()
        self.decision_module = DecisionModule(setup.settings, seed)
        self.figures = Figures([cls.name for cls in setup.settings.classes])
        super().__init__(
            RequestTable(
                self.decision_module, setup.settings.max_attempts, file.limits.requests, self.figures
            )
        )
        self._clock_origin_s = self._clock_origin_s if origin_s is None else origin_s
        self._pending_connections = PendingConnections()
        self.connections: dict[ClientConnection, None] = {}
        make = partial(
            StreamConnection, max_head_bytes=self.max_head_bytes, write_buffer_bytes=self.buffer_bytes
        )
        max_server_sockets = int((file.limits.sockets - RESERVED_DESCRIPTORS) * SERVER_SOCKET_FRACTION)
        self.max_clients = file.limits.sockets - RESERVED_DESCRIPTORS - max_server_sockets
        up = file.upstream
        self.servers = ServerConnections(max_server_sockets, up.connect_ms / 1000, up.idle_ms / 1000, make)
        self._servers_by_number: dict[int, ServerSpec] = {}
        # When each server was first seen; 0 for those known from the start.
        self._first_seen_ms = {s.number: started_ms[s.name] for s in setup.servers if s.name in started_ms}
        self._pools: set[int] = set()
        self._exchanges: dict[int, RequestExchange] = {}  # by request, until the table's reply
        self._attempts: dict[int, StreamAttempt] = {}  # the running attempt, by request
        self._checks = Checks(random.Random(seed))
        self._check_timer: asyncio.TimerHandle | None = None
        self._body_memory_bytes = int(file.limits.memory_mb * (1 << 20))
        self._reserved_bytes = 0  # of buffered bodies
        self.decision_module.started_ms = self.now() - down_ms  # ceilings have certainly refilled since then
        self._apply(setup, first=True)

    # --- Configuration -----------------------------------------------------------------------------
    def apply_settings(self, setup: Setup) -> None:
        """Applies a new configuration at once; requests in hand keep the settings they were admitted with."""
        self.figures.update_classes([cls.name for cls in setup.settings.classes])
        self.apply_effects(self.table.handle_event(self.now(), api.SettingsChanged(setup.settings)))
        self._apply(setup, first=False)

    def _apply(self, setup: Setup, first: bool) -> None:
        now, previous = self.now(), self._servers_by_number
        self.setup = setup
        upstream = setup.file.upstream
        self.table.max_attempts = upstream.attempts
        self.servers.update_settings(upstream.connect_ms / 1000, upstream.idle_ms / 1000)
        self._servers_by_number = {spec.number: spec for spec in setup.servers}
        for spec in setup.servers:
            self.servers.update_server(spec.number, spec.address, not spec.drain, spec.max_connections)
            if spec.number not in previous:  # later log lines name a server by its number
                log.info("server %d is %s at %s:%d", spec.number, spec.name, *spec.address)
            self._first_seen_ms.setdefault(spec.number, 0.0 if first else now)
        pools = set(setup.pools.values())
        for pool in sorted(pools | self._pools):
            members = tuple(self._server(spec) for spec in setup.servers if pool in spec.pools)
            self.apply_effects(self.table.handle_event(now, api.ServerList(api.ListKind.FULL, members, pool)))
        self._pools = pools
        for number in previous.keys() - self._servers_by_number.keys():
            self.servers.remove_server(number)
            del self._first_seen_ms[number]
        rules = {spec.number: spec.probe_rule for spec in setup.servers if spec.probe_rule and not spec.drain}
        for number in self._checks.update_servers(now, rules):
            self.apply_effects(self.table.handle_event(now, api.HealthCheckResult(number, True)))
        self._arm_checks()

    def _server(self, spec: ServerSpec) -> api.Server:
        state = ServerState.DRAINING if spec.drain else ServerState.READY
        first_seen_ms = self._first_seen_ms[spec.number]
        return api.Server(spec.number, spec.zone, 0, state, spec.weight, first_seen_ms)

    # --- Client requests -----------------------------------------------------------------------------
    def admit(self, connection: ClientConnection, request: Request) -> RequestExchange:
        """Finds a request's route, account and class; BadRequestError if it is rejected."""
        setup = self.setup
        path = request.path
        match = setup.routes.match(request.host, path, request.method.decode("latin-1"), request.fields)
        if (route := match.route) is None:
            if match.allowed_methods:
                allow = ", ".join(sorted(match.allowed_methods)).encode()
                raise BadRequestError(405, "no route takes this method here", [(b"Allow", allow)])
            raise BadRequestError(404, "no route takes this request")
        forwarded = request.fields.get("x-forwarded-for", "")
        address = client_address(connection.peer, forwarded, setup.trusted_networks)
        account = setup.accounts.account_of(request.fields, address)
        if isinstance(account, UnknownClient):
            reason = "the key is unknown" if account.has_key else "a key is needed"
            raise BadRequestError(401, reason, [(b"WWW-Authenticate", b"Bearer")])
        if request.body_length and route.max_body_bytes and request.body_length > route.max_body_bytes:
            raise BadRequestError(413, "the body is too long")
        exchange = RequestExchange(self, connection, request, route, account)
        self._apply_class_rules(exchange)
        exchange.upstream_request = self._upstream_request(exchange)
        return exchange

    def _apply_class_rules(self, exchange: RequestExchange) -> None:
        """Applies the rules of the route's class: required idempotency key, client's own deadline."""
        class_rules, fields = exchange.route.class_rules, exchange.request.fields
        if class_rules.effect is Repeats.KEYED and not fields.get(class_rules.key_header):
            if class_rules.unkeyed_class is None:
                raise BadRequestError(400, f"{class_rules.key_header} is needed here")
            exchange.class_number = class_rules.unkeyed_class
        if class_rules.deadline_header and (text := fields.get(class_rules.deadline_header)):
            exchange.wait_ms = min(exchange.wait_ms, message.parse_deadline_ms(text))

    def _upstream_request(self, exchange: RequestExchange) -> UpstreamRequest:
        route, request, identity = exchange.route, exchange.request, self.setup.accounts.identity
        path = route.rewrite.apply(request.path) if route.rewrite else None
        drop_headers = route.drop_headers
        if not self.setup.file.identity.forward_key:
            drop_headers |= {identity.header.encode()}
            if identity.bearer and identity.header not in request.fields:
                drop_headers |= {b"authorization"}
        peer = exchange.connection.peer
        trusted = is_trusted(peer, self.setup.trusted_networks)
        return message.upstream_request(
            request, Origin(peer, self.name, trusted), RequestRewrite(path, route.set_headers, drop_headers)
        )

    def submit(self, exchange: RequestExchange) -> None:
        """Hands a request to the request table, which sends exactly one reply for it in time."""
        route, account = exchange.route, exchange.account
        waited_ms = (time.monotonic() - exchange.body_complete_at) * 1000 if exchange.body_complete else 0.0
        new_request = NewRequest(
            exchange.class_number,
            account.plan,
            account.number,
            route.units,
            1,
            max(MIN_WAIT_MS, exchange.wait_ms - waited_ms),
            RESPONSE_MARGIN_MS,
            route.pool,
        )
        exchange.request_number, effects = self.table.admit(self.now(), new_request)
        self._exchanges[exchange.request_number] = exchange
        self.apply_effects(effects)

    def client_disconnected(self, exchange: RequestExchange) -> None:
        """Drops a request whose client has disconnected."""
        self._exchanges.pop(exchange.request_number, None)
        self.apply_effects(self.table.client_disconnected(self.now(), exchange.request_number))

    def reserve_memory(self, size: int) -> bool:
        """Reserves memory for bytes of bodies; returns False if the limit is reached."""
        if self._reserved_bytes + size > self._body_memory_bytes:
            return False
        self._reserved_bytes += size
        return True

    def release_memory(self, size: int) -> None:
        self._reserved_bytes -= size

    def connection_opened(self, connection: ClientConnection) -> None:
        if len(self.connections) >= self.max_clients and not self.make_room():
            log.warning("a connection is reset: %d are open, and none of them is idle", self.max_clients)
            connection.reset()
            return
        self.connections[connection] = None

    def connection_closed(self, connection: ClientConnection) -> None:
        self.connections.pop(connection, None)

    def has_room(self) -> bool:
        """Whether another client connection may be opened."""
        return len(self.connections) + len(self._pending_connections) < self.max_clients

    def make_room(self) -> bool:
        """Closes the connection that has been idle for longest, to make room for a new one."""
        since = time.monotonic() - FIRST_REQUEST_GRACE_S
        closable = (c for c in self.connections if c.can_close(since))
        idle = min(closable, key=lambda c: c.last_activity_at, default=None)
        if idle is None:
            return False
        del self.connections[idle]
        idle.close()
        return True

    # --- Effects -------------------------------------------------------------------------------------
    def apply_effect(self, effect: Effect) -> None:
        match effect:
            case StartAttempt():
                self._dispatch(effect)
            case StartResponse():
                if exchange := self._exchanges.get(effect.request):
                    exchange.response_started = True
            case Reply():
                if exchange := self._exchanges.pop(effect.request, None):
                    exchange.reply(effect)
            case CancelAttempt():
                self._cancel(effect)
            case ShortenAttempt():
                if attempt := self._attempts.get(effect.request):
                    attempt.set_end_by(min(attempt.end_by, self.to_loop_time(effect.end_by_ms)))
            case api.CloseIdle():
                self.servers.close_idle(effect.server)
            case api.Log():
                log.info("module: %s", effect.text)
            case Fault():
                log.error("%s", effect.text)

    def _dispatch(self, effect: StartAttempt) -> None:
        exchange = self._exchanges[effect.request]  # the table starts attempts for open requests only
        end_by = self.to_loop_time(effect.end_by_ms)
        head_only = exchange.request.method == b"HEAD"
        ident = effect.request
        attempt = StreamAttempt(
            exchange.upstream_message(),
            end_by,
            partial(self._ended, ident, exchange),
            exchange,
            head_only,
            write_by=self.to_loop_time(effect.write_by_ms),
        )
        # Registered before the start: on a reused connection a streamed body may be sent at once and whole.
        exchange.attempt = self._attempts[ident] = attempt
        exchange.attempt_number = effect.attempt
        self.servers.start_attempt(effect.server, attempt)

    def _ended(self, ident: int, exchange: RequestExchange, result: AttemptResult) -> None:
        self._attempts.pop(ident, None)
        exchange.attempt_ended(result)

    def attempt_ended(self, exchange: RequestExchange, status: Status, final: bool) -> None:
        """Reports the end of an attempt to the request table."""
        self.apply_effects(
            self.table.attempt_ended(
                self.now(), exchange.request_number, exchange.attempt_number, status, is_final=final
            )
        )

    def _cancel(self, effect: CancelAttempt) -> None:
        if attempt := self._attempts.get(effect.request):
            attempt.cancel()

    # --- Active health checks ------------------------------------------------------------------------
    def _arm_checks(self) -> None:
        if self._check_timer:
            self._check_timer.cancel()
            self._check_timer = None
        if (due := self._checks.next_due_ms) is not None:
            when = self.to_loop_time(due) + TIMER_RESOLUTION_S
            self._check_timer = asyncio.get_running_loop().call_at(when, self._check_due)

    def _check_due(self) -> None:
        for server in self._checks.start_due(self.now()):
            self._check(server)
        self._arm_checks()

    def _check(self, server: int) -> None:
        health, check = self.setup.file.health, HealthCheck()
        assert health  # servers have a check rule only with this table
        host, port = self._servers_by_number[server].address
        name = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        raw = f"GET {health.path} HTTP/1.1\r\nHost: {name}\r\nUser-Agent: {self.setup.file.name}\r\n\r\n"

        def ended(result: AttemptResult) -> None:
            is_healthy = result.status is Status.OK and check.is_healthy
            if (is_up := self._checks.record_result(self.now(), server, is_healthy)) is not None:
                log.info("server %d is %s by its checks", server, "up" if is_up else "down")
                self.apply_effects(self.table.handle_event(self.now(), api.HealthCheckResult(server, is_up)))
            self._arm_checks()

        end_by = self.to_loop_time(self.now() + health.timeout_ms)
        self.servers.start_attempt(server, StreamAttempt(raw.encode(), end_by, ended, check, False))

    # --- Headers of a refusal --------------------------------------------------------------------------
    def refusal_headers(self, exchange: RequestExchange, effect: Reply) -> Headers:
        """Returns Retry-After in seconds and the account's quota (draft-ietf-httpapi-ratelimit-headers)."""
        headers: Headers = []
        if effect.result is not RequestResult.REFUSED:
            return headers
        if effect.retry_in_ms > 0:
            headers.append((b"Retry-After", b"%d" % math.ceil(effect.retry_in_ms / 1000)))
        quota = self.decision_module.quota_status(self.now(), exchange.account.number)
        if quota and effect.reason in (RefusalReason.QUOTA, RefusalReason.CEILING, RefusalReason.PARALLEL):
            window, full = math.ceil(quota.burst / quota.rate), math.ceil(quota.full_in_ms / 1000)
            headers.append((b"RateLimit-Policy", b'"quota";q=%d;w=%d' % (quota.burst, window)))
            headers.append((b"RateLimit", b'"quota";r=%d;t=%d' % (quota.units_left, full)))
        return headers

    # --- Timeouts ------------------------------------------------------------------------------------
    def close_stalled(self) -> None:
        """Ends stalled connections, bodies and responses, which would use resources without end."""
        self.servers.close_expired()
        now, clients = time.monotonic(), self.setup.file.clients
        for connection in list(self.connections):
            if connection.is_head_stalled(now - clients.head_s):
                connection.reject_timeout("the head does not come whole")
            elif connection.reset_if_unread(now, clients.stall_s):
                continue
            elif connection.is_body_stalled(now - clients.stall_s):
                connection.reject_timeout("the body does not come whole")
            elif now - connection.last_activity_at > clients.idle_s and connection.can_close(now):
                connection.close()
        for exchange in list(self._exchanges.values()):
            stream = exchange.stream
            if exchange.end_if_client_disconnected():
                continue
            if stream and exchange.response_started and stream.is_silent(now - clients.stall_s):
                log.warning("a server stopped sending in the middle of its response")
                stream.reset()
            elif stream and (stall := exchange.upload_stall(now, clients.stall_s)):
                log.warning("a server stopped taking a body: %s", stall)
                stream.reset()

    @property
    def write_timeout_s(self) -> float:
        return self.setup.file.clients.stall_s

    @property
    def has_unread_input(self) -> bool:
        """Whether a client has sent something that was not read yet, and is to be read."""
        return any(
            connection.has_unread_input for connection in self.connections if not connection.ignores_input
        )

    @property
    def open_requests(self) -> int:
        """The number of requests in hand.

        Included are those that are still being received or possibly on their way, and responses of which this
        process still holds a part.
        """
        since = time.monotonic() - FIRST_REQUEST_GRACE_S
        in_use = sum(
            1
            for connection in self.connections
            if not connection.is_idle
            or connection.has_unwritten_response
            or connection.expects_first_request(since)
        )
        return in_use + len(self._pending_connections)

    @property
    def origin_s(self) -> float:
        """Start of the limiter's clock, in seconds of the host's monotonic clock."""
        return self._clock_origin_s

    def first_seen_ms(self) -> dict[str, float]:
        """When each server was first seen, in milliseconds of the limiter's clock, by name."""
        return {spec.name: self._first_seen_ms[spec.number] for spec in self._servers_by_number.values()}

    def adopt(self, sock: socket.socket, unread_since: float | None = None) -> None:
        """Serves a connection that this or another process has accepted.

        `unread_since`: since when it may hold unread data, monotonic seconds; None: it is new.
        """
        sock.setblocking(False)
        connection = ClientConnection(self, sock, unread_since)
        self._pending_connections.attach(sock, connection, lambda: None)

    def hand_over_idle(self, send: Callable[[int], bool]) -> None:
        """Hands idle connections over to another process."""
        for connection in [c for c in self.connections if c.is_idle]:
            connection.hand_over(send)

    def close_idle(self) -> None:
        """Closes, during a drain, the connections that no request can be lost on."""
        since = time.monotonic() - FIRST_REQUEST_GRACE_S
        for connection in [c for c in self.connections if c.can_close(since)]:
            connection.close()

    def close(self) -> None:
        """Resets all connections and cancels all attempts."""
        for connection in list(self.connections):
            connection.reset()
        for attempt in list(self._attempts.values()):
            attempt.cancel()
        self.servers.close()
        if self._check_timer:
            self._check_timer.cancel()
        self.cancel_tick()
