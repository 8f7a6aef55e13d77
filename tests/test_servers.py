"""Outcomes of attempts over sockets: an unsafe request is retried only if it was certainly not executed."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import pytest
from sockets import (
    Backend,
    Request,
    agent,
    backend,
    echo,
    host,
    limiter,
    listing,
    message,
    run,
    until,
    unused_address,
)

from basaltpoint.fronts.platform.config import MAX_REUSE_IDLE_S
from basaltpoint.interface import Status
from basaltpoint.policy import server_set
from basaltpoint.upstream import buffered
from basaltpoint.upstream.buffered import BufferedAttempt, platform_connection
from basaltpoint.upstream.servers import AttemptResult, ServerConnections

DECLINED_HEADER = "Srv-Declined: 1"


async def ask_once(server: Backend, cls: str = "fix", **headers: str) -> tuple[int, int, bytes]:
    """The response to one request, and how many requests the server received."""
    async with limiter(host("a", server.address)) as rig:
        client = await rig.connect()
        answer = await client.ask(message(cls, **headers))
        return answer.code, len(server.requests), answer.body


@pytest.mark.parametrize(
    ("status", "header", "code", "attempts"),
    [
        ("200 OK", "X-Other: 1", 200, 1),
        ("500 Internal Server Error", "X-Other: 1", 502, 1),
        ("503 Service Unavailable", DECLINED_HEADER, 429, 1),
        ("504 Gateway Timeout", DECLINED_HEADER, 429, 1),
        ("503 Service Unavailable", "X-Other: 1", 502, 1),
        ("504 Gateway Timeout", "Srv-Declined: 0", 502, 1),
        ("500 Internal Server Error", DECLINED_HEADER, 502, 1),
        ("404 Not Found", "X-Other: 1", 502, 1),
    ],
)
def test_server_responses(status: str, header: str, code: int, attempts: int) -> None:
    async def test() -> None:
        async def script(request: Request) -> None:
            request.reply(status, b"body", header)

        async with backend(script) as server:
            got = await ask_once(server)
        assert got == (code, attempts, b"body" if code == 200 else b"")

    run(test())


@pytest.mark.parametrize("status", ["503 Service Unavailable", "504 Gateway Timeout"])
@pytest.mark.parametrize("cls", ["read", "upload", "fix"])
def test_a_declined_attempt_is_retried_on_another_server(
    monkeypatch: pytest.MonkeyPatch, status: str, cls: str
) -> None:
    """It was not executed, whatever its class; a server that has just declined gets no further attempt."""
    monkeypatch.setattr(server_set, "FULL_SERVER_PAUSE_MS", 1e6)

    async def test() -> None:
        async def declines(request: Request) -> None:
            request.reply(status, b"", DECLINED_HEADER)

        async with backend(declines) as one, backend(declines) as two, backend(declines) as three:
            full = [one, two, three]
            async with limiter(*(host(f"s-{n}", each.address) for n, each in enumerate(full))) as rig:
                client = await rig.connect()
                assert (await client.ask(message(cls, "all"))).code == 429
                assert [len(each.requests) for each in full] == [1, 1, 1]
        async with backend(declines) as one, backend(echo) as two:
            async with limiter(host("a", one.address), host("b", two.address)) as rig:
                client = await rig.connect()
                for n in range(8):
                    assert (await client.ask(message(cls, f"{n}"))).body == f"{n}".encode()
                assert len(one.requests) <= 1 and len(two.requests) == 8

    run(test())


def test_forwarding_of_request_and_response() -> None:
    async def test() -> None:
        async def script(request: Request) -> None:
            request.reply(body=b"\x00\xff" * 30000)

        async with backend(script) as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            answer = await client.ask(message("upload", "id-7", b"\x00payload\xff"))
            assert answer.body == b"\x00\xff" * 30000
            [got] = server.requests
            assert got.line == "POST /upload/7?a=%20b HTTP/1.1"
            assert got.body == b"\x00payload\xff"
            assert got.headers["req-id"] == "id-7"
            assert got.headers["idempotency-key"] == "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
            assert 0 < float(got.headers["req-deadline"]) <= 90.0

    run(test())


def test_refused_connection() -> None:
    async def test() -> None:
        async with limiter(host("a", unused_address())) as rig:
            client = await rig.connect()
            assert (await client.ask(message("fix"))).code == 429

    run(test())


@contextlib.contextmanager
def full_listener() -> Iterator[str]:
    """An address at which no connection is established, as its backlog is full."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(listener.getsockname())
        host, port = listener.getsockname()
        yield f"{host}:{port}"


def test_connect_timeout() -> None:
    async def test() -> None:
        with full_listener() as address:
            async with limiter(host("a", address)) as rig:
                client = await rig.connect()
                assert (await client.ask(message("fix"))).code == 429

    run(test())


def test_deadline_before_the_connection_is_established() -> None:
    async def test() -> None:
        with full_listener() as address:
            async with limiter(host("a", address), connect_s=20.0) as rig:
                client = await rig.connect()
                assert (await client.ask(message("fix", Req_Deadline="0.2"))).code == 429

    run(test())


def test_reset_after_the_last_byte_of_the_request() -> None:
    async def test() -> None:
        async def script(request: Request) -> None:
            request.reset()

        async with backend(script) as server:
            assert (await ask_once(server))[:2] == (502, 1)

    run(test())


def test_truncated_response() -> None:
    async def test() -> None:
        async def script(request: Request) -> None:
            request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
            request.writer.close()

        async with backend(script) as server:
            assert await ask_once(server) == (502, 1, b"")

    run(test())


INVALID_RESPONSES = {
    "noise": b"\x00\x01\x02 nonsense\r\n\r\n",
    "no number": b"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok",
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok",
    "negative": b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok",
    "no length": b"HTTP/1.1 200 OK\r\n\r\nperhaps half",
    "both": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n",
    "half a head": b"HTTP/1.1 200 OK\r\nContent-Le",
    "half a body": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
    "endless head": b"HTTP/1.1 200 OK\r\n" + b"X-Pad: pppp\r\n" * 2000,
    "endless interim": b"HTTP/1.1 102 Processing\r\n\r\n" * 1000,
    "huge": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok",
}


@pytest.mark.parametrize("raw", INVALID_RESPONSES.values(), ids=INVALID_RESPONSES.keys())
def test_invalid_response(raw: bytes) -> None:
    """The attempt ends at once as possibly executed; the server stays in use, the rest is not read."""

    async def test() -> None:
        async def script(request: Request) -> None:
            if len(server.requests) == 1:
                request.writer.write(raw)
                await request.closed()
            else:
                request.reply(body=b"good")

        async with backend(script) as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            assert (await client.ask(message("fix", "spoilt"))).code == 502
            assert not rig.limiter.decision_module.pools[0].servers.suspects
            assert (await client.ask(message("fix", "next"))).body == b"good"
            assert len(server.requests) == 2

    run(test())


@pytest.mark.parametrize(
    "raw",
    [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\nX-Early: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwholeHTTP/1.1 500 X\r\nContent-Length: 1\r\n\r\nx",
    ],
    ids=["chunked", "interim answer", "bytes behind it"],
)
def test_framing(raw: bytes) -> None:
    async def test() -> None:
        async def script(request: Request) -> None:
            request.writer.write(raw)

        async with backend(script) as server:
            assert await ask_once(server) == (200, 1, b"whole")

    run(test())


def test_interim_response_long_before_the_final_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """An interim response does not start the time-out of incomplete responses."""
    monkeypatch.setattr(buffered, "PARTIAL_RESPONSE_TIMEOUT_S", 0.02)

    async def test() -> None:
        async def script(request: Request) -> None:
            request.writer.write(b"HTTP/1.1 102 Processing\r\n\r\n")
            await asyncio.sleep(0.2)
            request.reply(body=b"whole")

        async with backend(script) as server:
            assert await ask_once(server) == (200, 1, b"whole")

    run(test())


def test_largest_buffered_response() -> None:
    """The head does not count towards the body's limit, however they are split."""

    async def test() -> None:
        async def script(request: Request) -> None:
            head = b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * 15000 + b"\r\nContent-Length: 65536\r\n\r\n"
            request.writer.write(head + b"x" * 50000)
            await asyncio.sleep(0.05)
            request.writer.write(b"x" * 15536)

        async with backend(script) as server:
            assert (await ask_once(server))[:2] == (200, 1)

    run(test())


def test_silent_server() -> None:
    """The attempt times out, its connection is closed, and the client gets a response by its deadline."""

    async def test() -> None:
        async with backend() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message("fix", Req_Deadline="0.3"))
            request = await server.arrived.get()
            assert (await client.answer()).code == 502
            await request.closed()
            assert len(server.requests) == 1

    run(test())


async def run_attempt(
    servers: ServerConnections, number: int, raw: bytes, seconds: float = 20.0
) -> AttemptResult:
    loop = asyncio.get_running_loop()
    ended: asyncio.Future[AttemptResult] = loop.create_future()
    servers.start_attempt(number, BufferedAttempt(raw, loop.time() + seconds, ended.set_result))
    return await ended


class Listener:
    """A server on plain sockets, so that the test controls what is in the kernel's buffers."""

    def __init__(self) -> None:
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.socket.setblocking(False)
        self.address: tuple[str, int] = self.socket.getsockname()

    async def accept(self) -> socket.socket:
        return (await asyncio.get_running_loop().sock_accept(self.socket))[0]


REQUEST = b"POST /fix HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.mark.parametrize("timed_out", [False, True], ids=["broken", "timed out"])
def test_before_the_last_byte(timed_out: bool) -> None:
    """A request that was not written completely was not executed, however its attempt ends."""

    async def test() -> None:
        listener, servers = Listener(), ServerConnections(10, 1.0, MAX_REUSE_IDLE_S, platform_connection)
        servers.update_server(1, listener.address, True)
        large = b"POST /fix HTTP/1.1\r\nContent-Length: 64000000\r\n\r\n" + b"x" * 64_000_000
        task = asyncio.create_task(run_attempt(servers, 1, large, 0.3 if timed_out else 20.0))
        peer = await listener.accept()
        await asyncio.get_running_loop().sock_recv(peer, 100)
        if not timed_out:
            peer.close()
        assert (await task).status is Status.CONNECT_FAILED

    run(test())


def test_idle_connection_closed_by_the_server_before_the_event_loop_notices() -> None:
    """The server has closed the connection, the event loop has not run since: a new connection is used."""

    async def test() -> None:
        loop, listener, servers = (
            asyncio.get_running_loop(),
            Listener(),
            ServerConnections(10, 1.0, MAX_REUSE_IDLE_S, platform_connection),
        )
        servers.update_server(1, listener.address, True)
        first = asyncio.create_task(run_attempt(servers, 1, REQUEST))
        peer = await listener.accept()
        await loop.sock_recv(peer, 100)
        peer.send(OK)
        assert (await first).status is Status.OK
        peer.close()
        ended: asyncio.Future[AttemptResult] = loop.create_future()
        # The event loop does not run between the close and this call.
        servers.start_attempt(1, BufferedAttempt(REQUEST, loop.time() + 20, ended.set_result))
        peer = await listener.accept()
        assert await loop.sock_recv(peer, 100) == REQUEST
        peer.send(OK)
        assert (await ended).status is Status.OK

    run(test())


def test_idle_connection_closed_while_a_request_is_sent() -> None:
    """The request fails and is never retried, as it may have been executed."""

    async def test() -> None:
        async def script(request: Request) -> None:
            if len(server.requests) == 1:
                request.reply(body=b"first")
            else:
                request.reset()

        async with backend(script) as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            assert (await client.ask(message("fix", "one"))).code == 200
            assert (await client.ask(message("fix", "two"))).code == 502
            assert [request.connection for request in server.requests] == [1, 1]

    run(test())


def test_unsolicited_data_on_an_idle_connection() -> None:
    """An unsolicited response must not be taken for the response to the next request."""

    async def test() -> None:
        async def script(request: Request) -> None:
            request.reply(body=b"own")

        async with backend(script) as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            assert (await client.ask(message("fix", "one"))).body == b"own"
            server.requests[0].reply(body=b"stray")
            await server.requests[0].closed()
            assert (await client.ask(message("fix", "two"))).body == b"own"
            assert server.requests[1].connection == 2

    run(test())


def test_cancelled_attempt_is_closed_before_the_next_one_starts() -> None:
    """The server sees the first attempt's connection close before a second attempt can reach it."""

    async def test() -> None:
        loop, listener, servers = (
            asyncio.get_running_loop(),
            Listener(),
            ServerConnections(10, 1.0, MAX_REUSE_IDLE_S, platform_connection),
        )
        servers.update_server(1, listener.address, True)
        ended: asyncio.Future[AttemptResult] = loop.create_future()
        attempt = servers.start_attempt(1, BufferedAttempt(REQUEST, loop.time() + 20, ended.set_result))
        peer = await listener.accept()
        await loop.sock_recv(peer, 100)
        attempt.cancel()
        assert peer.recv(1) == b""  # at once, before the event loop runs again
        assert (await ended).status is Status.CANCELLED

    run(test())


def test_idle_connections_are_closed_after_the_limit() -> None:
    async def test() -> None:
        async with backend() as server:
            servers = ServerConnections(10, 1.0, MAX_REUSE_IDLE_S, platform_connection)
            name, port = server.address.split(":")
            servers.update_server(1, (name, int(port)), True)
            tasks = [asyncio.create_task(run_attempt(servers, 1, REQUEST)) for _ in range(2)]
            held = [await server.arrived.get() for _ in tasks]
            held[0].reply()
            held[1].reply()
            await asyncio.gather(*tasks)
            servers.close_expired()
            assert server.connections == 2
            closed = [asyncio.create_task(request.closed()) for request in held]
            while not all(task.done() for task in closed):
                servers.close_expired()
                await asyncio.sleep(0.01)

    run(test())


def test_max_connections() -> None:
    """At the limit an idle connection to another server is closed; without one the attempt fails."""

    async def test() -> None:
        async def script(request: Request) -> None:
            request.reply()

        async with backend(script) as one, backend() as two:
            servers = ServerConnections(1, 1.0, MAX_REUSE_IDLE_S, platform_connection)
            for number, server in enumerate((one, two)):
                name, port = server.address.split(":")
                servers.update_server(number, (name, int(port)), True)
            assert (await run_attempt(servers, 0, REQUEST)).status is Status.OK
            task = asyncio.create_task(run_attempt(servers, 1, REQUEST))
            await one.requests[0].closed()
            held = await two.arrived.get()
            assert (await run_attempt(servers, 0, REQUEST)).status is Status.CONNECT_FAILED
            held.reply()
            assert (await task).status is Status.OK

    run(test())


def test_usage_and_load_report() -> None:
    """The metered use and the load report are read from the headers; malformed values are ignored."""

    async def test() -> None:
        headers = iter(
            [["X-RateLimit-Used: 85", 'Srv-Load: {"inflight":7,"qps":3}'], ["X-RateLimit-Used: 1e300"]]
        )

        async def script(request: Request) -> None:
            request.reply("200 OK", b"", *next(headers))

        async with backend(script) as server:
            servers = ServerConnections(10, 1.0, MAX_REUSE_IDLE_S, platform_connection)
            name, port = server.address.split(":")
            servers.update_server(1, (name, int(port)), True)
            reply = await run_attempt(servers, 1, REQUEST)
            assert (reply.usage, reply.load) == (85, b'{"inflight":7,"qps":3}')
            reply = await run_attempt(servers, 1, REQUEST)
            assert (reply.usage, reply.load) == (None, b"")
            await until(lambda: server.connections == 1)

    run(test())


def test_counts_after_every_kind_of_end() -> None:
    """However attempts end, no request, count or connection is left in module, table and sockets."""

    async def test() -> None:
        async def script(request: Request) -> None:
            match request.headers["req-id"].partition("-")[0]:
                case "ok":
                    request.reply(body=b"ok")
                case "error":
                    request.reply("500 Internal Server Error")
                case "declined":
                    request.reply("503 Service Unavailable", b"", DECLINED_HEADER)
                case "reset":
                    request.reset()
                case "spoilt":
                    request.writer.write(b"nonsense\r\n\r\n")
                    await request.closed()
                case "short":
                    request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
                    await request.closed()
                case _:
                    await request.closed()

        async with backend(script) as server, agent() as watched:
            hosts = host("a", server.address), host("b", server.address), host("c", unused_address())
            async with limiter(*hosts, watched=watched) as rig:
                await watched.watches.get()
                kinds = ("ok", "error", "declined", "reset", "spoilt", "short", "silent")
                made = []
                for n, kind in enumerate(kinds * 6):
                    made.append(await rig.connect())
                    cls = ("read", "upload", "fix")[n % 3]
                    made[-1].send(message(cls, f"{kind}-{n}", Req_Deadline="0.5"))
                hung_up = [await rig.connect() for _ in range(5)]
                for n, client in enumerate(hung_up):
                    client.send(message("fix", f"silent-h{n}"))
                await until(lambda: rig.limiter.open_requests >= 5)
                for client in hung_up:
                    client.close()
                watched.send(
                    listing(2, host("d", server.address))
                )  # the others are removed during their requests
                assert {(await client.answer()).code for client in made} <= {200, 429, 502}
                gateway, sockets = rig.limiter.decision_module, rig.limiter._servers
                await until(lambda: not gateway.requests and not rig.limiter.table.requests)
                await until(lambda: not sockets._connecting)
                assert (
                    rig.limiter.open_requests,
                    gateway.pools[0].lane_outstanding,
                    rig.limiter.table.open_keys,
                ) == (
                    0,
                    [0, 0],
                    set(),
                )
                assert all(customer.outstanding == 0 for customer in gateway.customers.values())
                assert [peer.outstanding for peer in gateway.pools[0].servers.records.values()] == [0]
                sockets.close()
                await until(lambda: sockets._open_connections == 0)

    run(test())


def test_a_connection_idle_for_too_long_is_not_reused() -> None:
    """Servers close idle connections, and a request that is sent at that moment can't be retried."""

    async def test() -> None:
        async def script(request: Request) -> None:
            request.reply(body=b"own")

        async with backend(script) as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            assert (await client.ask(message("fix", "one"))).body == b"own"
            await asyncio.sleep(MAX_REUSE_IDLE_S * 2)
            assert (await client.ask(message("fix", "two"))).body == b"own"
            assert [request.connection for request in server.requests] == [1, 2]
            await server.requests[0].closed()

    run(test())


@pytest.mark.parametrize("how", ["drains", "is removed", "has moved"])
def test_a_server_that_changes_while_a_connection_to_it_is_opened(how: str) -> None:
    """The attempt was decided before; the server must get no new requests any more, and gets none."""

    async def test() -> None:
        loop, listener = asyncio.get_running_loop(), Listener()
        servers = ServerConnections(10, 1.0, MAX_REUSE_IDLE_S, platform_connection)
        servers.update_server(1, listener.address, True)
        ended: asyncio.Future[AttemptResult] = loop.create_future()
        servers.start_attempt(1, BufferedAttempt(REQUEST, loop.time() + 20, ended.set_result))
        if how == "drains":
            servers.update_server(1, listener.address, False)
        elif how == "is removed":
            servers.remove_server(1)
        else:
            await asyncio.sleep(0)  # connecting to the old address has started
            servers.update_server(1, ("127.0.0.1", 9), True)
        peer = await listener.accept()
        assert (await ended).status is Status.CONNECT_FAILED
        with contextlib.suppress(ConnectionError):
            assert await loop.sock_recv(peer, 100) == b""
        servers.close()

    run(test())
