"""Connections to servers in rare situations. Each order of events is forced over real connections."""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import Any

import pytest
from sockets import SETTINGS, Backend, Request, Rig, backend, echo, host, limiter, message, run, until

from basaltpoint.core.table import StartAttempt
from basaltpoint.fronts.platform.config import MIN_REUSE_IDLE_S
from basaltpoint.fronts.platform.request_exchange import CLIENT_CHECK_AFTER_S
from basaltpoint.interface import Status
from basaltpoint.policy.send_rules import Denial
from basaltpoint.upstream.buffered import BufferedAttempt, platform_connection
from basaltpoint.upstream.servers import AttemptResult, ServerConnections

SURPLUS_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond"
ASK = b"GET /read HTTP/1.1\r\n\r\n"


def test_an_unsolicited_response_is_discarded() -> None:
    """A surplus response arrives when the next request would have been written after the first response."""

    async def test() -> None:
        async def script(request: Request) -> None:
            if len(server.requests) > 1:
                # The next request triggers the late response, which forces the worst order.
                server.requests[0].writer.write(SURPLUS_RESPONSE)
            if request.connection > 1 or len(server.requests) == 1:
                await echo(request)

        async with (
            backend(script) as server,
            limiter(host("a", server.address), min_reuse_idle_s=MIN_REUSE_IDLE_S) as rig,
        ):
            client = await rig.connect()
            assert (await client.ask(message("fix", "one"))).body == b"one"
            assert (await client.ask(message("fix", "two"))).body == b"two"
            assert [request.connection for request in server.requests] == [1, 2]
            await server.requests[0].closed()  # because of the unsolicited response

    run(test())


def test_the_most_recently_used_idle_connection_is_reused() -> None:
    """The most recently used one is chosen among those idle for long enough; others are kept for later."""

    async def test() -> None:
        async with backend(echo) as server:
            servers, loop = (
                ServerConnections(10, 1.0, 60.0, platform_connection, min_idle_s=30.0),
                asyncio.get_running_loop(),
            )
            name, port = server.address.split(":")
            servers.update_server(1, (name, int(port)), True)

            async def ask() -> Status:
                ended: asyncio.Future[AttemptResult] = loop.create_future()
                raw = b"GET /read HTTP/1.1\r\nReq-Id: x\r\n\r\n"
                servers.start_attempt(1, BufferedAttempt(raw, loop.time() + 20, ended.set_result))
                return (await ended).status

            for _ in range(3):
                assert await ask() is Status.OK
            assert [request.connection for request in server.requests] == [1, 2, 3]
            idle = servers._servers[1].idle_connections
            idle[0].idle_since -= 31.0
            idle[1].idle_since -= 30.5
            assert await ask() is Status.OK
            assert server.requests[-1].connection == 2
            servers.close()

    run(test())


@pytest.mark.parametrize("lost", [True, False], ids=["lost", "late"])
def test_a_connection_lost_while_connecting_is_counted_once(lost: bool) -> None:
    """The protocol saw the connection, and then its opener got an error."""

    async def test() -> None:
        async with backend() as server:
            servers, loop = ServerConnections(10, 1.0, 60.0, platform_connection), asyncio.get_running_loop()
            create = loop.create_connection

            async def fails(*args: Any, **more: Any) -> Any:
                transport, _ = await create(*args, **more)
                if lost:
                    transport.abort()
                    await asyncio.sleep(0)
                raise TimeoutError

            loop.create_connection = fails  # type: ignore[method-assign]
            name, port = server.address.split(":")
            servers.update_server(1, (name, int(port)), True)
            ended: asyncio.Future[AttemptResult] = loop.create_future()
            servers.start_attempt(1, BufferedAttempt(ASK, loop.time() + 20, ended.set_result))
            assert (await ended).status is Status.CONNECT_FAILED
            await until(lambda: not servers._connecting)
            await until(lambda: servers._open_connections == 0)
            await asyncio.sleep(0.02)  # later events of this connection must not be counted again
            assert (servers._open_connections, servers._servers[1].open_connections) == (0, 0)

    run(test())


def test_an_effect_that_raises_does_not_block_the_others(caplog: pytest.LogCaptureFixture) -> None:
    """Its request is answered as one that may have run; later effects are carried out in the same turn."""

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            carry_out, broken = rig.limiter._servers.start_attempt, list[int]()

            def begin(number: int, attempt: Any) -> Any:
                if not broken:
                    broken.append(number)
                    raise RuntimeError("a fault of this program")
                return carry_out(number, attempt)

            rig.limiter._servers.start_attempt = begin  # type: ignore[method-assign]
            client, other = await rig.connect(), await rig.connect()
            client.send(message("fix", "broken"))
            assert (await client.answer()).code == 502
            assert (await other.ask(message("fix", "sound"))).body == b"sound"
            assert rig.limiter.open_requests == 0 and not rig.limiter.table.requests

    run(test())
    assert any(r.levelno == logging.ERROR and "StartAttempt" in r.getMessage() for r in caplog.records)
    assert StartAttempt.__name__ == "StartAttempt"


WINDOW_MS = 1000.0
KEYED = [{**row, "windowMs": WINDOW_MS} for row in SETTINGS["services"]]


@pytest.mark.parametrize("cls", ["upload", "read"])
def test_a_retry_is_sent_only_within_the_deduplication_window(cls: str) -> None:
    """It was decided in time, but connects after the server has forgotten the first attempt."""

    async def test() -> None:
        gate, connecting = asyncio.Event(), asyncio.Event()
        async with (
            backend() as server,
            limiter(host("a", server.address), settings={"services": KEYED}, connect_s=20.0) as rig,
        ):
            loop = asyncio.get_running_loop()
            connect = loop.sock_connect

            async def late(sock: socket.socket, dial: Any) -> None:
                connecting.set()
                await gate.wait()
                await connect(sock, dial)

            client = await rig.connect()
            client.send(message(cls, "one"))
            first = await server.arrived.get()
            loop.sock_connect = late  # type: ignore[method-assign]
            first.reset()
            await connecting.wait()
            await asyncio.sleep(WINDOW_MS / 1000 + 0.02)
            gate.set()
            if cls == "read":  # safe requests may run any number of times
                await echo(await server.arrived.get())
                assert (await client.answer()).body == b"one"
            else:
                assert (await client.answer()).code == 429
                await until(lambda: not rig.limiter._servers._connecting)
                client.send(message(cls, "two"))
                assert (await server.arrived.get()).headers["req-id"] == "two"
            assert [r.headers["req-id"] for r in server.requests].count("one") == (2 if cls == "read" else 1)

    run(test())


@pytest.mark.parametrize("written", [True, False])
def test_the_write_deadline_ends_unwritten_attempts_only(written: bool) -> None:
    """A server that got the request in time may respond until the attempt's own deadline."""

    async def test() -> None:
        async with backend() as server:
            servers, loop = ServerConnections(10, 20.0, 60.0, platform_connection), asyncio.get_running_loop()
            if not written:
                loop.sock_connect = lambda *_: asyncio.Event().wait()  # type: ignore
            name, port = server.address.split(":")
            servers.update_server(1, (name, int(port)), True)
            ended: asyncio.Future[AttemptResult] = loop.create_future()
            by = loop.time() + (2.0 if written else 0.05)
            attempt = BufferedAttempt(ASK, loop.time() + 20, ended.set_result, write_by=by)
            servers.start_attempt(1, attempt)
            if written:
                request = await server.arrived.get()
                attempt.write_by = loop.time()
                attempt._time_out()  # as its timer does
                request.reply(body=b"x")
            assert (await ended).status is (Status.OK if written else Status.CONNECT_FAILED)
            servers.close()

    run(test())


async def client_with_unread_requests(server: Backend, rig: Rig) -> tuple[socket.socket, list[Request], Any]:
    """A client with four requests at a server and four more unread, and its connection at the limiter."""
    sock = socket.create_connection(rig.clients.address)
    sock.sendall(b"".join(message(ident=f"r-{n}") for n in range(4)))
    requests = [await server.arrived.get() for _ in range(4)]
    [client] = rig.clients._open
    sock.sendall(b"".join(message(ident=f"r-{n}") for n in range(4, 8)))
    return sock, requests, client


@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
def test_no_retry_for_a_client_that_disconnected_while_reading_was_paused(how: str) -> None:
    """Its connection has four requests in hand; more requests and the end of the stream are unread."""

    async def test() -> None:
        async with backend() as server, limiter(host("a", server.address)) as rig:
            sock, requests, client = await client_with_unread_requests(server, rig)
            assert client._is_read_paused
            if how == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            if how == "half-close":
                sock.shutdown(socket.SHUT_WR)
            else:
                sock.close()
            await until(lambda: client.has_client_disconnected())
            for request in requests:
                request.reply("500 Internal Server Error")  # each would be retried
            await until(lambda: not rig.clients._open and not rig.limiter.open_requests)
            assert len(server.requests) == 4
            sock.close()

    run(test())


def test_unread_requests_of_a_disconnected_client_are_not_sent() -> None:
    """When the requests ahead are answered, reading resumes, but the unread requests have no client."""

    async def test() -> None:
        async with backend() as server, limiter(host("a", server.address)) as rig:
            sock, requests, client = await client_with_unread_requests(server, rig)
            sock.shutdown(socket.SHUT_WR)
            await until(lambda: client.has_client_disconnected())
            for request in requests:
                await echo(request)
            await until(lambda: not rig.clients._open)
            assert len(server.requests) == 4
            sock.close()

    run(test())


def test_no_retry_for_a_client_whose_disconnection_is_unread() -> None:
    """The disconnection and the failure of its attempt occur in one turn, the failure first."""

    async def test() -> None:
        async with backend() as server, limiter(host("a", server.address), max_reuse_idle_s=30.0) as rig:
            socks = [socket.create_connection(rig.clients.address) for _ in range(2)]
            for number, sock in enumerate(socks):
                sock.sendall(message(ident=f"first-{number}"))
            for request in [await server.arrived.get() for _ in socks]:
                await echo(request)
            await until(
                lambda: not rig.limiter.open_requests
            )  # two connections are idle: a retry would be sent at once
            socks[0].sendall(message(ident="left"))
            await server.arrived.get()
            [attempt] = rig.limiter._attempts.values()
            socks[0].close()
            attempt.connection.reset()  # type: ignore[union-attr]
            await until(lambda: len(rig.clients._open) == 1)
            assert [request.headers["req-id"] for request in server.requests].count("left") == 1
            socks[1].close()

    run(test())


def test_an_attempt_connected_late_is_not_written_for_a_disconnected_client() -> None:
    """Reading from the client is paused, so only the operating system knows of its disconnection."""

    async def test() -> None:
        gate, loop = asyncio.Event(), asyncio.get_running_loop()
        connect = loop.sock_connect

        async def late(sock: socket.socket, dial: Any) -> None:
            await gate.wait()
            await connect(sock, dial)

        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            loop.sock_connect = late  # type: ignore[method-assign]
            sock = socket.create_connection(rig.clients.address)
            sock.sendall(b"".join(message(ident=f"r-{n}") for n in range(4)))
            await until(lambda: len(rig.limiter._servers._connecting) == 4)
            [client] = rig.clients._open
            assert client._is_read_paused
            sock.close()
            await asyncio.sleep(2 * CLIENT_CHECK_AFTER_S)
            loop.sock_connect = connect  # type: ignore[method-assign]
            gate.set()
            await until(lambda: not rig.limiter._servers._connecting)
            await until(lambda: not rig.limiter.open_requests)
            assert not server.requests
            assert rig.limiter.guard.withheld[Denial.CLIENT] >= 1  # reading resumes with the first response

    run(test())


def test_the_deadline_sent_to_a_server_is_the_time_left_at_the_write() -> None:
    """The connection was established 0.2 s late, so less time is left than at the decision."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        connect = loop.sock_connect

        async def late(sock: socket.socket, dial: Any) -> None:
            await asyncio.sleep(0.2)
            await connect(sock, dial)

        async with backend() as server, limiter(host("a", server.address)) as rig:
            loop.sock_connect = late  # type: ignore[method-assign]
            client = await rig.connect()
            sent = loop.time()
            client.send(message("fix", "late", Req_Deadline="1.000"))
            request = await server.arrived.get()
            left = 1.0 - (loop.time() - sent)
            assert float(request.headers["req-deadline"]) <= left + 0.05  # 0.15 s are allowed
            await echo(request)
            assert (await client.answer()).code == 200

    run(test())
