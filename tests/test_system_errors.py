"""System calls that fail as the Linux manual documents: the origin of each error, and its consequences."""

from __future__ import annotations

import asyncio
import math
import socket
from time import monotonic
from typing import Any

import pytest
from failing import FailingListener, failing
from sockets import backend, echo, host, limiter, message, run, until, unused_address

from basaltpoint.config.address import parse_address
from basaltpoint.fronts.platform import clients
from basaltpoint.membership.lease import MembershipLease
from basaltpoint.system.connecting import connect
from basaltpoint.system.errors import ErrorOrigin, accept_error_origin, connect_error_origin

PENDING = ("EPROTO", "EHOSTUNREACH", "ENETDOWN", "ETIMEDOUT", "ECONNABORTED", "EINTR", "ENONET", "EPERM")
HOST_ERRORS = ("ENFILE", "ENOBUFS", "ENOMEM")


class FailingConnect:
    """The running loop's `sock_connect`, whose next `failures_left` calls fail with an error."""

    def __init__(self, name: str, failures_left: float = math.inf) -> None:
        self._name, self.failures_left = name, failures_left

    def __enter__(self) -> FailingConnect:
        self._loop = asyncio.get_running_loop()
        self._real = self._loop.sock_connect
        self._loop.sock_connect = self._connect  # type: ignore[method-assign]
        return self

    def __exit__(self, *raised: object) -> None:
        self._loop.sock_connect = self._real  # type: ignore[method-assign]

    async def _connect(self, sock: socket.socket, address: Any) -> None:
        if self.failures_left:
            self.failures_left -= 1
            raise failing(self._name)
        await self._real(sock, address)


@pytest.mark.parametrize("name", PENDING)
def test_a_connection_lost_in_the_backlog_affects_no_other(
    name: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Eight lost connections are skipped, and the ones behind them are served."""

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            kept = await rig.connect()
            assert (await kept.ask(message(ident="kept"))).code == 200
            FailingListener(rig.clients._acceptor, name, 8)
            client = await rig.connect()
            assert (await client.ask(message(ident="new"))).code == 200
            assert (await kept.ask(message(ident="again"))).code == 200

    run(test())
    assert "Traceback" not in caplog.text


@pytest.mark.parametrize("name", HOST_ERRORS)
def test_no_connection_is_closed_when_the_whole_host_lacks_resources(name: str) -> None:
    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            kept = [await rig.connect() for _ in range(5)]
            for n, client in enumerate(kept):
                assert (await client.ask(message(ident=f"kept-{n}"))).code == 200
            made = FailingListener(rig.clients._acceptor, name, 8)
            client = await rig.connect()
            assert (await client.ask(message(ident="new"))).code == 200  # accepted later
            assert made.failures_left == 0
            for n, client in enumerate(kept):
                assert (await client.ask(message(ident=f"again-{n}"))).code == 200

    run(test())


@pytest.mark.parametrize("name", ["ENFILE", "ECONNABORTED", "EINTR"])
def test_the_backlog_is_accepted_on_drain_though_accept_fails_at_times(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Connections left in the backlog would be reset, with their requests."""
    monkeypatch.setattr(clients, "MIN_DRAIN_LISTEN_S", 0.0)
    monkeypatch.setattr(clients, "DRAIN_QUIET_S", -1.0)
    services = [
        {"name": name, "aimMs": 500.0, "hardLimitMs": 2000.0, "effect": effect}
        for name, effect in (("read", "idempotent"), ("fix", "at_most_once"))
    ]

    async def test() -> None:
        async with (
            backend(echo) as server,
            limiter(host("a", server.address), settings={"services": services}) as rig,
        ):
            rig.clients._acceptor.pause()
            asked = [await rig.connect() for _ in range(50)]
            for n, client in enumerate(asked):
                client.send(message(ident=f"r-{n}", Req_Deadline="1.9"))
            FailingListener(rig.clients._acceptor, name, 6)
            drain = asyncio.create_task(rig.clients.drain())
            for n, client in enumerate(asked):
                assert (await client.answer()).body == f"r-{n}".encode()
                client.close()
            await drain

    run(test())


@pytest.mark.parametrize("name", ["ENOBUFS", "EADDRNOTAVAIL", "EMFILE", "ENETUNREACH", "EAGAIN"])
def test_a_local_connect_error_is_retried_and_does_not_affect_the_servers_health(name: str) -> None:
    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            with FailingConnect(name, 8) as connecting:
                assert (await client.ask(message("fix", "once", Req_Deadline="2.0"))).code == 200
            assert connecting.failures_left == 0 and len(server.requests) == 1
            assert not rig.limiter.decision_module.avoided_servers(rig.limiter.now())

    run(test())


def test_a_lasting_local_connect_error_is_refused_and_does_not_affect_the_servers_health() -> None:
    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            with FailingConnect("EADDRNOTAVAIL"):
                assert (await client.ask(message("fix", "never", Req_Deadline="0.4"))).code == 429
            assert not rig.limiter.decision_module.avoided_servers(rig.limiter.now())
            assert (await client.ask(message("fix", "then"))).code == 200

    run(test())


def test_a_server_that_refuses_connections_is_avoided() -> None:
    async def test() -> None:
        async with limiter(host("a", unused_address())) as rig:
            client = await rig.connect()
            assert (await client.ask(message("fix", "never", Req_Deadline="0.4"))).code == 429
            assert rig.limiter.decision_module.avoided_servers(rig.limiter.now())

    run(test())


def test_a_local_error_on_a_call_to_discovery_does_not_count_as_its_failure() -> None:
    lease = MembershipLease(0.0, 0.25)
    for at in (0.0, 0.5, 1.0, 2.0):
        lease.call_started(at)
        lease.call_failed_locally()
    assert lease.expires_at(10.0) <= 10.0


def test_error_origins() -> None:
    assert accept_error_origin(failing("EAGAIN")) is ErrorOrigin.WOULD_BLOCK
    assert accept_error_origin(failing("EMFILE")) is ErrorOrigin.PROCESS
    assert accept_error_origin(failing("EBADF")) is ErrorOrigin.PROGRAM
    assert connect_error_origin(TimeoutError()) is ErrorOrigin.PEER
    assert connect_error_origin(failing("ETIMEDOUT")) is ErrorOrigin.PEER
    assert connect_error_origin(failing("EHOSTUNREACH")) is ErrorOrigin.PEER
    assert connect_error_origin(failing("EADDRNOTAVAIL")) is ErrorOrigin.HOST


def test_a_streamed_body_without_a_connection_is_answered_by_the_deadline(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The deadline applies until the body is being sent to a server, also while the host lacks resources."""

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            with FailingConnect("EADDRNOTAVAIL"):
                answer = await client.ask(message("fix", body=b"x" * 100_000, Req_Deadline="0.3"))
            assert answer.code == 429  # no server has received it, so the client may retry
            assert not server.requests

    run(test())
    assert "had no answer at its deadline" not in caplog.text


def test_a_client_that_disconnects_after_a_large_body_is_noticed_before_a_connection_is_established() -> None:
    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            with FailingConnect("EADDRNOTAVAIL"):
                client.send(message("fix", body=b"x" * 200_000))
                await until(lambda: rig.limiter.open_requests == 1)
                client.close()
                async with asyncio.timeout(2.0):
                    await until(lambda: rig.limiter.open_requests == 0)
            other = await rig.connect()
            assert (await other.ask(message("fix", ident="other", body=b"x" * 200_000))).code == 200
            assert [request.headers["req-id"] for request in server.requests] == ["other"]

    run(test())


class InterruptedSocket(socket.socket):
    """A socket whose first `connect` is interrupted, after it started the connection (`starts`) or before."""

    error: OSError
    starts: bool
    calls = 0

    def connect(self, address: Any) -> None:
        self.calls += 1
        if self.calls == 1:
            if self.starts:
                self.connect_ex(address)
            raise self.error
        super().connect(address)


@pytest.mark.parametrize("starts", [False, True])
@pytest.mark.parametrize("name", ["EINTR", "EAGAIN"])
def test_an_interrupted_connect_succeeds_or_is_a_local_error(name: str, starts: bool) -> None:
    async def test() -> None:
        async with backend(echo) as server:
            sock = InterruptedSocket()
            sock.setblocking(False)
            sock.error, sock.starts = failing(name), starts
            address = parse_address(server.address)
            with sock:
                if starts:
                    await connect(sock, address)
                    assert sock.getpeername() == address
                    return
                with pytest.raises(OSError) as raised:
                    await connect(sock, address)
                assert connect_error_origin(raised.value) is ErrorOrigin.HOST

    run(test())


def test_a_refused_connect_raises() -> None:
    async def test() -> None:
        with socket.socket() as sock:
            sock.setblocking(False)
            with pytest.raises(ConnectionRefusedError):
                await connect(sock, parse_address(unused_address()))

    run(test())


@pytest.mark.parametrize(
    "size", [150_000, 400_000]
)  # bytes; read completely, or in part, before a connection is established
def test_waiting_for_a_connection_does_not_extend_the_deadline_of_an_upload(size: int) -> None:
    """The client's wait counts from its last byte, not from when the server has received it."""

    async def test() -> None:
        async with backend() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            with FailingConnect("ENOMEM") as connects:
                began = monotonic()
                client.send(message("fix", body=b"x" * size, Req_Deadline="0.8"))
                await asyncio.sleep(0.5)
                connects.failures_left = 0
                request = await server.arrived.get()
                assert len(request.body) == size
                assert (await client.answer()).code >= 400
            assert monotonic() - began < 0.8 + 0.25

    run(test())


def test_the_deadline_of_a_slow_upload_counts_from_its_last_byte() -> None:
    async def test() -> None:
        async with backend() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            raw = message("fix", body=b"x" * 150_000, Req_Deadline="0.6")
            for start in range(0, len(raw), 20_000):
                client.send(raw[start : start + 20_000])
                await asyncio.sleep(0.06)
            request = await server.arrived.get()
            await asyncio.sleep(0.3)
            request.reply(body=b"late, and in time")
            assert (await client.answer()).body == b"late, and in time"

    run(test())
