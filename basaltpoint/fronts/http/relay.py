"""The ordinary front: routes and accounts to arrivals, the table's effects to attempts and answers."""

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
from basaltpoint.fronts.shell import EARLY_MS, Shell
from basaltpoint.fronts.unread import FIRST_S
from basaltpoint.interface import Effect as Repeats
from basaltpoint.interface import RefusalReason, ServerState, Status
from basaltpoint.membership.checks import Checks
from basaltpoint.policy import DecisionModule
from basaltpoint.routing.accounts import UnknownClient, client_address, is_trusted
from basaltpoint.system.pending_connections import PendingConnections
from basaltpoint.telemetry.figures import Figures
from basaltpoint.upstream.servers import TIMER_RESOLUTION_S, AttemptResult, ServerConnections
from basaltpoint.upstream.streams import StreamAttempt, StreamConnection

log = logging.getLogger(__name__)

RESERVED_DESCRIPTORS = 32  # descriptors for the listener, the loop and the log
SERVER_SOCKET_FRACTION = 0.4  # of the sockets may be connections to servers


class Relay(Shell):
    """Holds the request table, the servers and what the present configuration says."""

    def __init__(
        self,
        setup: Setup,
        seed: int,
        down_ms: float = 0.0,
        origin_s: float | None = None,
        started_ms: Mapping[str, float] = MappingProxyType({}),
    ) -> None:
        """`down_ms`: for how long, at least, nothing has been sent on by an earlier life of this limiter.

        `origin_s`: where the module's clock began, of an older process that this one goes on for; and
        `started_ms`: when, of that clock, it first heard of each server.
        """
        file = setup.file
        self.setup = setup
        self.name = file.name.encode()
        self.max_head_bytes = file.limits.head_kb * 1024
        self.buffer_bytes = file.limits.buffer_kb * 1024
        self.is_closing = False
        self.decision_module = DecisionModule(setup.settings, seed)
        self.figures = Figures([cls.name for cls in setup.settings.classes])
        super().__init__(
            RequestTable(
                self.decision_module, setup.settings.max_attempts, file.limits.requests, self.figures
            )
        )
        self._origin = self._origin if origin_s is None else origin_s
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
        # When a server was first heard of, after the start.
        self._first_seen_ms = {s.number: started_ms[s.name] for s in setup.servers if s.name in started_ms}
        self._pools: set[int] = set()
        self._exchanges: dict[int, RequestExchange] = {}  # that wait for their reply
        self._attempts: dict[int, StreamAttempt] = {}  # the one that is out, by request
        self._checks = Checks(random.Random(seed))
        self._check_timer: asyncio.TimerHandle | None = None
        self._body_memory_bytes = int(file.limits.memory_mb * (1 << 20))
        self._reserved_bytes = 0  # bytes of bodies
        self.decision_module.started_ms = self.now() - down_ms  # what ceilings have filled since then is sure
        self._apply(setup, first=True)

    # --- Configuration -----------------------------------------------------------------------------
    def update_configuration(self, setup: Setup) -> None:
        """Go over to another configuration at once; requests that are out keep what they were taken with."""
        self.figures.update_classes([cls.name for cls in setup.settings.classes])
        self.do(self.table.handle_event(self.now(), api.SettingsChanged(setup.settings)))
        self._apply(setup, first=False)

    def _apply(self, setup: Setup, first: bool) -> None:
        now, before = self.now(), self._servers_by_number
        self.setup = setup
        up = setup.file.upstream
        self.table.max_attempts = up.attempts
        self.servers.update_settings(up.connect_ms / 1000, up.idle_ms / 1000)
        self._servers_by_number = {spec.number: spec for spec in setup.servers}
        for spec in setup.servers:
            self.servers.update_server(spec.number, spec.address, not spec.drain, spec.max_connections)
            if spec.number not in before:  # the log's later lines go by number
                log.info("server %d is %s at %s:%d", spec.number, spec.name, *spec.address)
            self._first_seen_ms.setdefault(spec.number, 0.0 if first else now)
        pools = set(setup.pools.values())
        for pool in sorted(pools | self._pools):
            members = tuple(self._server(spec) for spec in setup.servers if pool in spec.pools)
            self.do(self.table.handle_event(now, api.ServerList(api.ListKind.FULL, members, pool)))
        self._pools = pools
        for number in before.keys() - self._servers_by_number.keys():
            self.servers.remove_server(number)
            del self._first_seen_ms[number]
        rules = {spec.number: spec.probe_rule for spec in setup.servers if spec.probe_rule and not spec.drain}
        for number in self._checks.update_servers(now, rules):
            self.do(self.table.handle_event(now, api.HealthCheckResult(number, True)))
        self._arm_checks()

    def _server(self, spec: ServerSpec) -> api.Server:
        state = ServerState.DRAINING if spec.drain else ServerState.READY
        started = self._first_seen_ms[spec.number]
        return api.Server(spec.number, spec.zone, 0, state, spec.weight, started)

    # --- What clients bring --------------------------------------------------------------------------
    def admit(self, connection: ClientConnection, request: Request) -> RequestExchange:
        """Route, account and class of a request; BadRequestError where it is answered at once."""
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
        passage = RequestExchange(self, connection, request, route, account)
        self._apply_class_rules(passage)
        passage.upstream_request = self._upstream_request(passage)
        return passage

    def _apply_class_rules(self, passage: RequestExchange) -> None:
        """What the class of the route asks for: its key, its client's own deadline."""
        class_rules, fields = passage.route.class_rules, passage.request.fields
        if class_rules.effect is Repeats.KEYED and not fields.get(class_rules.key_header):
            if class_rules.unkeyed_class is None:
                raise BadRequestError(400, f"{class_rules.key_header} is needed here")
            passage.class_number = class_rules.unkeyed_class
        if class_rules.deadline_header and (text := fields.get(class_rules.deadline_header)):
            passage.wait_ms = min(passage.wait_ms, message.parse_deadline_ms(text))

    def _upstream_request(self, passage: RequestExchange) -> UpstreamRequest:
        route, request, identity = passage.route, passage.request, self.setup.accounts.identity
        path = route.rewrite.apply(request.path) if route.rewrite else None
        drops = route.drop_headers
        if not self.setup.file.identity.forward_key:
            drops |= {identity.header.encode()}
            if identity.bearer and identity.header not in request.fields:
                drops |= {b"authorization"}
        peer = passage.connection.peer
        trusted = is_trusted(peer, self.setup.trusted_networks)
        return message.upstream_request(
            request, Origin(peer, self.name, trusted), RequestRewrite(path, route.set_headers, drops)
        )

    def submit(self, passage: RequestExchange) -> None:
        """Hand a request to the table; from here it gets one answer in time."""
        route, account = passage.route, passage.account
        new_request = NewRequest(
            passage.class_number,
            account.plan,
            account.number,
            route.units,
            1,
            passage.wait_ms,
            EARLY_MS,
            route.pool,
        )
        passage.ident, effects = self.table.admit(self.now(), new_request)
        self._exchanges[passage.ident] = passage
        self.do(effects)

    def client_disconnected(self, passage: RequestExchange) -> None:
        """Its client has gone."""
        self._exchanges.pop(passage.ident, None)
        self.do(self.table.client_disconnected(self.now(), passage.ident))

    def reserve_memory(self, size: int) -> bool:
        """Account for so many bytes of bodies; False where the memory has no room for them."""
        if self._reserved_bytes + size > self._body_memory_bytes:
            return False
        self._reserved_bytes += size
        return True

    def release_memory(self, size: int) -> None:
        self._reserved_bytes -= size

    def connection_opened(self, connection: ClientConnection) -> None:
        if len(self.connections) >= self.max_clients and not self.make_room():
            connection.reset()
            return
        self.connections[connection] = None

    def connection_closed(self, connection: ClientConnection) -> None:
        self.connections.pop(connection, None)

    def has_room(self) -> bool:
        """Whether one more connection may be open."""
        return len(self.connections) + len(self._pending_connections) < self.max_clients

    def make_room(self) -> bool:
        """Close the connection that has been between requests for longest; new ones get their turn."""
        since = time.monotonic() - FIRST_S
        closable = (c for c in self.connections if c.can_close(since))
        idle = min(closable, key=lambda c: c.last_activity_at, default=None)
        if idle is None:
            return False
        del self.connections[idle]
        idle.close()
        return True

    # --- Effects -------------------------------------------------------------------------------------
    def carry_out(self, effect: Effect) -> None:
        match effect:
            case StartAttempt():
                self._dispatch(effect)
            case StartResponse():
                if passage := self._exchanges.get(effect.request):
                    passage.passing = True
            case Reply():
                if passage := self._exchanges.pop(effect.request, None):
                    passage.reply(effect)
            case CancelAttempt():
                self._cancel(effect)
            case api.CloseIdle():
                self.servers.close_idle(effect.server)
            case api.Log():
                log.info("module: %s", effect.text)
            case Fault():
                log.error("%s", effect.text)

    def _dispatch(self, effect: StartAttempt) -> None:
        passage = self._exchanges[effect.request]  # the table sends for no other
        until = self.loop_time(effect.end_by_ms)
        head_only = passage.request.method == b"HEAD"
        ident = effect.request
        attempt = StreamAttempt(
            passage.upstream_message(),
            until,
            partial(self._ended, ident, passage),
            passage,
            head_only,
            write_by=self.loop_time(effect.write_by_ms),
        )
        # Before it begins: over a kept connection all of a streamed body may go at once.
        passage.attempt = self._attempts[ident] = attempt
        passage.number = effect.attempt
        self.servers.start_attempt(effect.server, attempt)

    def _ended(self, ident: int, passage: RequestExchange, answer: AttemptResult) -> None:
        self._attempts.pop(ident, None)
        passage.attempt_ended(answer)

    def attempt_ended(self, passage: RequestExchange, status: Status, final: bool) -> None:
        """An attempt of it is over."""
        self.do(self.table.attempt_ended(self.now(), passage.ident, passage.number, status, is_final=final))

    def _cancel(self, effect: CancelAttempt) -> None:
        if attempt := self._attempts.get(effect.request):
            attempt.cancel()

    # --- Active checks -------------------------------------------------------------------------------
    def _arm_checks(self) -> None:
        if self._check_timer:
            self._check_timer.cancel()
            self._check_timer = None
        if (due := self._checks.next_due_ms) is not None:
            when = self.loop_time(due) + TIMER_RESOLUTION_S
            self._check_timer = asyncio.get_running_loop().call_at(when, self._check_due)

    def _check_due(self) -> None:
        for server in self._checks.start_due(self.now()):
            self._check(server)
        self._arm_checks()

    def _check(self, server: int) -> None:
        health, check = self.setup.file.health, HealthCheck()
        assert health  # a server has a rule by it alone
        host, port = self._servers_by_number[server].address
        name = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        raw = f"GET {health.path} HTTP/1.1\r\nHost: {name}\r\nUser-Agent: {self.setup.file.name}\r\n\r\n"

        def ended(answer: AttemptResult) -> None:
            is_healthy = answer.status is Status.OK and check.is_healthy
            if (up := self._checks.record_result(self.now(), server, is_healthy)) is not None:
                log.info("server %d is %s by its checks", server, "up" if up else "down")
                self.do(self.table.handle_event(self.now(), api.HealthCheckResult(server, up)))
            self._arm_checks()

        until = self.loop_time(self.now() + health.timeout_ms)
        self.servers.start_attempt(server, StreamAttempt(raw.encode(), until, ended, check, False))

    # --- What goes with a refusal ----------------------------------------------------------------------
    def refusal_headers(self, passage: RequestExchange, effect: Reply) -> Headers:
        """Retry-After in whole seconds, and the account's standing (draft-ietf-httpapi-ratelimit-headers)."""
        headers: Headers = []
        if effect.result is not RequestResult.REFUSED:
            return headers
        if effect.retry_in_ms > 0:
            headers.append((b"Retry-After", b"%d" % math.ceil(effect.retry_in_ms / 1000)))
        quota = self.decision_module.quota_status(self.now(), passage.account.number)
        if quota and effect.reason in (RefusalReason.QUOTA, RefusalReason.CEILING, RefusalReason.PARALLEL):
            window, full = math.ceil(quota.burst / quota.rate), math.ceil(quota.full_in_ms / 1000)
            headers.append((b"RateLimit-Policy", b'"quota";q=%d;w=%d' % (quota.burst, window)))
            headers.append((b"RateLimit", b'"quota";r=%d;t=%d' % (quota.units_left, full)))
        return headers

    # --- Bounds in time ------------------------------------------------------------------------------
    def close_stalled(self) -> None:
        """End what stands still: connections, bodies, answers; each would hold its place for good."""
        self.servers.close_expired()
        now, clients = time.monotonic(), self.setup.file.clients
        for connection in list(self.connections):
            if connection.head_started_at is not None and now - connection.head_started_at > clients.head_s:
                connection.time_out("the head does not come whole")
            elif (
                connection.write_blocked_at is not None
                and now - connection.write_blocked_at > clients.stall_s
            ):
                log.warning("a client at %s has stopped reading its answer", connection.peer)
                connection.reset()
            elif connection.awaits_body and now - connection.last_activity_at > clients.stall_s:
                connection.time_out("the body does not come whole")
            elif now - connection.last_activity_at > clients.idle_s and connection.can_close(now):
                connection.close()
        for passage in list(self._exchanges.values()):
            stream = passage.stream
            if (
                stream
                and passage.passing
                and not stream.is_paused
                and now - stream.last_received_at > clients.stall_s
            ):
                log.warning("a server has stopped in the middle of its answer")
                stream.reset()

    @property
    def open_requests(self) -> int:
        """Requests in hand, those whose body is still coming, and those that may be on their way."""
        since = time.monotonic() - FIRST_S
        at_work = sum(
            1
            for connection in self.connections
            if not connection.is_idle or connection.expects_first_request(since)
        )
        return at_work + len(self._pending_connections)

    @property
    def origin_s(self) -> float:
        """Where the module's clock began, on the machine's monotonic clock."""
        return self._origin

    def first_seen_ms(self) -> dict[str, float]:
        """When each server was first heard of, by the module's clock."""
        return {spec.name: self._first_seen_ms[spec.number] for spec in self._servers_by_number.values()}

    def adopt(self, sock: socket.socket, unread_since: float | None = None) -> None:
        """Serve a connection that was accepted, here or by another process."""
        sock.setblocking(False)
        self._pending_connections.attach(sock, ClientConnection(self, sock), lambda: None)

    def hand_over_idle(self, send: Callable[[int], bool]) -> None:
        """Pass connections between requests on to another process."""
        for connection in [c for c in self.connections if c.is_idle]:
            connection.hand_over(send)

    def close_idle(self) -> None:
        """Part of a drain: connections go on which no request is lost by it."""
        since = time.monotonic() - FIRST_S
        for connection in [c for c in self.connections if c.can_close(since)]:
            connection.close()

    def close(self) -> None:
        """End all that is left."""
        for connection in list(self.connections):
            connection.reset()
        for attempt in list(self._attempts.values()):
            attempt.cancel()
        self.servers.close()
        if self._check_timer:
            self._check_timer.cancel()
        self.disarm()
