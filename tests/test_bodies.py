"""Bodies of any size in both directions: streamed with little memory, and recognizably truncated if cut."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import random
import resource
import time
from collections.abc import AsyncIterator

import pytest
from sockets import Client, Rig, host, limiter, message, run, until

from basaltpoint.daemon.platform import SWEEP_INTERVAL_S
from basaltpoint.fronts.platform import client_connection, clients
from basaltpoint.fronts.platform import limiter as limiting
from basaltpoint.upstream import buffered

MB = 1 << 20


class RawServer:
    """A server whose connections the test itself reads and writes."""

    def __init__(self) -> None:
        self.arrived: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()
        self.address = ""

    async def request(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, dict[str, str]]:
        """The next request's connection and headers."""
        reader, writer = await self.arrived.get()
        rows = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")[1:-2]
        return reader, writer, {k.lower(): v for k, v in (row.split(": ", 1) for row in rows)}


@contextlib.asynccontextmanager
async def raw_server() -> AsyncIterator[RawServer]:
    raw = RawServer()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raw.arrived.put_nowait((reader, writer))

    server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=4 * MB)
    raw.address = "{}:{}".format(*server.sockets[0].getsockname())
    try:
        yield raw
    finally:
        server.close()


async def read_chunked(reader: asyncio.StreamReader) -> bytes:
    """A chunked body up to its last chunk; raises IncompleteReadError if it is truncated."""
    parts = []
    while size := int(await reader.readuntil(b"\r\n"), 16):
        parts.append((await reader.readexactly(size + 2))[:-2])
    assert await reader.readexactly(2) == b"\r\n"
    return b"".join(parts)


async def read_head(client: Client) -> tuple[int, dict[str, str]]:
    line, *rows = (await client.reader.readuntil(b"\r\n\r\n")).decode().rstrip().split("\r\n")
    return int(line.split(" ")[1]), {k.lower(): v for k, v in (row.split(": ", 1) for row in rows)}


async def read_response(client: Client) -> tuple[int, bytes]:
    """The status and body of a response, whatever its framing."""
    code, headers = await read_head(client)
    if "content-length" in headers:
        return code, await client.reader.readexactly(int(headers["content-length"]))
    if headers.get("transfer-encoding") == "chunked":
        return code, await read_chunked(client.reader)
    return code, await client.reader.read()


def random_body(size: int, seed: int = 5) -> bytes:
    return random.Random(seed).randbytes(size)


def framed_response(body: bytes, how: str, rng: random.Random) -> bytes:
    """A 200 response in one of the framings of HTTP/1.1."""
    early = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" if how == "interim" else b""
    if how in ("length", "interim"):
        return early + b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    if how == "close":
        return b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body
    parts, at = [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"], 0
    while at < len(body):
        piece = body[at : at + rng.randrange(1, 30_000)]
        parts.append(b"%X;ext=1\r\n%s\r\n" % (len(piece), piece))
        at += len(piece)
    return b"".join([*parts, b"0\r\nX-Sum: 1\r\n\r\n"])


@pytest.mark.parametrize("how", ["length", "chunked", "close", "interim"])
@pytest.mark.parametrize("size", [0, 1, 65536, 65537, 700_001])
def test_a_response_of_any_size_and_framing_split_anywhere(how: str, size: int) -> None:
    async def test() -> None:
        rng, body = random.Random(size), random_body(size)
        async with raw_server() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message("fix"))
            _, writer, _ = await server.request()
            rest = framed_response(body, how, rng)
            while rest:
                cut = rng.choice([1, 2, 700, 60_000, 200_000])
                writer.write(rest[:cut])
                await writer.drain()
                rest = rest[cut:]
            if how == "close":
                writer.close()
            assert await read_response(client) == (200, body)
            assert rig.limiter.open_requests == 0 and rig.limiter.figures.counts_of(2).answered == 1

    run(test())


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize("size", [65536, 65537, 700_001])
def test_a_request_body_of_any_size_split_anywhere(chunked: bool, size: int) -> None:
    async def test() -> None:
        rng, body = random.Random(size), random_body(size)
        async with raw_server() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            framing = {"Content_Length": None, "Transfer_Encoding": "chunked"} if chunked else {}
            head = message("upload", **({"Content_Length": str(size)} | framing))
            rest, at = head, 0
            while chunked and at < size:
                piece = body[at : at + rng.randrange(1, 30_000)]
                rest += b"%x;a=b\r\n%s\r\n" % (len(piece), piece)
                at += len(piece)
            rest += b"0\r\nX-Sum: 1\r\n\r\n" if chunked else body

            async def send() -> None:
                nonlocal rest
                while rest:
                    cut = rng.choice([1, 3, 900, 50_000, 300_000])
                    client.send(rest[:cut])
                    await client.writer.drain()
                    rest = rest[cut:]

            sending = asyncio.create_task(send())
            reader, writer, headers = await server.request()
            if "content-length" in headers:
                got = await reader.readexactly(int(headers["content-length"]))
            else:
                got = await read_chunked(reader)
            await sending
            assert got == body
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
            assert await read_response(client) == (200, b"done")
            assert rig.limiter.open_requests == 0 and rig.clients._body_bytes == 0

    run(test())


def test_first_bytes_are_forwarded_before_the_rest_is_received() -> None:
    async def test() -> None:
        async with raw_server() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message("upload", Content_Length="200000") + b"a" * 70_000)
            reader, writer, _ = await server.request()
            assert await reader.readexactly(70_000) == b"a" * 70_000  # the client has sent no more
            assert rig.limiter.open_requests == 1
            client.send(b"b" * 130_000)
            assert await reader.readexactly(130_000) == b"b" * 130_000
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + b"c" * 10)
            assert (await read_head(client))[0] == 200
            assert await client.reader.readexactly(10) == b"c" * 10  # the server has sent no more
            writer.write(b"c" * 99_990)
            assert await client.reader.readexactly(99_990) == b"c" * 99_990
            await until(lambda: rig.limiter.open_requests == 0)

    run(test())


@pytest.mark.parametrize("how", ["length", "chunked"])
def test_a_truncated_response_closes_the_clients_connection(how: str) -> None:
    """The client gets no other response and none that looks complete; the request fails without a retry."""

    async def test() -> None:
        async with raw_server() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message())  # it could be retried if the response had not started
            _, writer, _ = await server.request()
            framing = b"Content-Length: 3000000" if how == "length" else b"Transfer-Encoding: chunked"
            writer.write(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n")
            for _ in range(16):
                writer.write((b"" if how == "length" else b"10000\r\n") + b"x" * 65536)
                writer.write(b"" if how == "length" else b"\r\n")
            await writer.drain()
            assert (await read_head(client))[0] == 200
            writer.close()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await (
                    client.reader.readexactly(3_000_000) if how == "length" else read_chunked(client.reader)
                )
            await until(lambda: rig.limiter.figures.counts_of(0).errored == 1)
            assert server.arrived.empty() and rig.limiter.open_requests == 0

    run(test())


def test_a_response_that_stalls_after_the_first_megabyte(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(limiting, "SERVER_TIMEOUT_S", 0.2)

    async def test() -> None:
        async with raw_server() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message("fix"))
            _, writer, _ = await server.request()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n" + b"x" * MB)
            assert (await read_head(client))[0] == 200
            await client.reader.readexactly(MB)
            ended = asyncio.create_task(client.reader.read())
            while not ended.done():
                rig.limiter.sweep()
                await asyncio.sleep(0.02)
            with contextlib.suppress(ConnectionError):
                assert await ended == b""
            assert rig.limiter.open_requests == 0

    run(test())


def test_a_client_that_stops_reading_uses_a_connection_but_little_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_connection, "WRITE_TIMEOUT_S", 0.3)

    async def test() -> None:
        async with raw_server() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            client.send(message("fix"))
            _, writer, _ = await server.request()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (32 * MB))
            sent = 0
            with contextlib.suppress(TimeoutError):
                while sent < 32 * MB:
                    writer.write(b"x" * MB)
                    await asyncio.wait_for(writer.drain(), 0.3)
                    sent += MB
            assert sent < 32 * MB  # the server is held back by back pressure
            [connection] = rig.clients._open
            assert connection._transport and connection._transport.get_write_buffer_size() < MB
            while rig.limiter.open_requests:
                rig.clients.sweep()
                await asyncio.sleep(0.02)
            assert not rig.clients._open

    run(test())


def test_a_slow_upload_is_served_and_a_stalled_one_is_not(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients need a rate of 64 kB/s: the time limit of a body grows with the bytes received."""

    async def test() -> None:
        async with raw_server() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message("upload", Content_Length="100000") + b"x" * 70_000)
            reader, writer, _ = await server.request()
            await reader.readexactly(70_000)
            [connection] = rig.clients._open
            connection.connected_at -= (
                clients.HEAD_TIMEOUT_S + 70_000 / client_connection.MIN_BODY_BYTES_PER_S - 0.5
            )
            rig.clients.sweep()
            client.send(b"x" * 30_000)
            await reader.readexactly(30_000)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            assert (await read_response(client))[0] == 200
            client.send(message("upload", "stops", Content_Length="100000") + b"x" * 70_000)
            reader, _, _ = await server.request() if server.arrived.qsize() else (reader, writer, {})
            await until(lambda: rig.limiter.open_requests == 1)
            assert connection.request_begun_at
            connection.request_begun_at -= (
                clients.HEAD_TIMEOUT_S + 70_000 / client_connection.MIN_BODY_BYTES_PER_S + 0.5
            )
            rig.clients.sweep()
            assert (await read_response(client))[0] == 408
            await until(lambda: rig.limiter.open_requests == 0 and not rig.limiter.table.requests)
            assert rig.clients._body_bytes == 0

    run(test())


@pytest.mark.parametrize("size", [20_000, 100_000], ids=["buffered", "streamed"])
def test_a_client_that_stalls_within_a_body_gets_an_error_within_three_seconds(size: int) -> None:
    """The limit applies however much was received; the time limit of the whole body is longer."""

    async def test() -> None:
        async with raw_server() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            sent = time.monotonic()
            client.send(message("upload", Content_Length=str(size)) + b"x" * (size - 5_000))
            answer = asyncio.create_task(read_response(client))
            while not answer.done():
                rig.clients.sweep()
                await asyncio.sleep(SWEEP_INTERVAL_S)
            assert (await answer)[0] == 408
            assert time.monotonic() - sent < 3.0

    run(test())


def test_a_refusal_does_not_wait_for_the_body() -> None:
    """With `Expect: 100-continue` it replaces the 100 response; without, the body is read and discarded."""

    async def test() -> None:
        async with limiter() as rig:  # without a server every request is refused
            client = await rig.connect()
            client.send(message("upload", Content_Length="300000", Expect="100-continue"))
            code, headers = await read_head(client)
            assert (code, headers["connection"]) == (429, "close")
            other = await rig.connect()
            other.send(message("upload", Content_Length="300000") + b"x" * 100_000)
            assert (await read_response(other))[0] == 429
            other.send(b"x" * 200_000 + message("fix", "next"))
            assert (await read_response(other))[0] == 429
            assert rig.clients._body_bytes == 0 and rig.limiter.open_requests == 0

    run(test())


def test_a_refused_upload_with_connection_close_is_closed_after_the_body() -> None:
    """A connection left open would leak a descriptor: it is not read any more, and does not count as idle."""

    async def test() -> None:
        async with limiter() as rig:
            client = await rig.connect()
            client.send(message("upload", Content_Length="300000", Connection="close") + b"x" * 100_000)
            assert (await read_response(client))[0] == 429
            client.send(b"x" * 200_000)
            await client.closed()
            await until(lambda: not rig.clients._open)

    run(test())


def test_100_continue_is_sent_before_a_large_body() -> None:
    async def test() -> None:
        async with raw_server() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message("upload", Content_Length="100000", Expect="100-continue"))
            assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            client.send(b"x" * 100_000)
            reader, writer, _ = await server.request()
            await reader.readexactly(100_000)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            assert (await read_response(client))[0] == 200

    run(test())


def test_a_request_with_truncated_trailers_is_not_forwarded_as_complete() -> None:
    async def test() -> None:
        async with raw_server() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            head = message("upload", Content_Length=None, Transfer_Encoding="chunked")
            client.send(head + b"%x\r\n%s\r\n0\r\nX-Sum: " % (100_000, b"x" * 100_000))
            reader, _, _ = await server.request()
            await reader.readuntil(b"\r\n")
            await reader.readexactly(65_536)
            client.close()
            with contextlib.suppress(ConnectionError):
                assert not (await reader.read()).endswith(b"0\r\n\r\n")
            await until(lambda: rig.limiter.open_requests == 0 and rig.clients._body_bytes == 0)

    run(test())


def test_a_server_that_does_not_read_a_body_causes_back_pressure_on_the_client() -> None:
    async def test() -> None:
        async with raw_server() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message("upload", Content_Length=str(32 * MB)))
            reader, _, _ = await server.request()
            reader._transport.pause_reading()  # type: ignore[attr-defined]
            sent = 0
            with contextlib.suppress(TimeoutError):
                while sent < 32 * MB:
                    client.send(b"x" * MB)
                    await asyncio.wait_for(client.writer.drain(), 0.3)
                    sent += MB
            assert sent < 32 * MB and rig.clients._body_bytes < MB
            assert rig.limiter.open_requests == 1  # the request is delayed, not refused
            reader._transport.resume_reading()  # type: ignore[attr-defined]
            client.close()
            await until(lambda: rig.limiter.open_requests == 0 and rig.clients._body_bytes == 0)

    run(test())


def test_an_upload_is_cancelled_when_its_client_disconnects() -> None:
    async def test() -> None:
        async with raw_server() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message("upload", Content_Length="3000000") + b"x" * 100_000)
            reader, _, _ = await server.request()
            client.close()
            with contextlib.suppress(ConnectionError):
                await reader.read()
            await until(lambda: rig.limiter.open_requests == 0 and not rig.limiter.table.requests)
            assert rig.clients._body_bytes == 0 and rig.limiter.decision_module.pools[0].lane_outstanding == [
                0,
                0,
            ]

    run(test())


def test_a_streamed_response_to_a_pipelined_request_waits_for_its_turn() -> None:
    async def test() -> None:
        async with raw_server() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message("fix", "first") + message("fix", "second"))
            found = {}
            for _ in range(2):
                _, writer, headers = await server.request()
                found[headers["req-id"]] = writer
            found["second"].write(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"s" * 300_000)
            await until(lambda: any(p.response_started for p in rig.limiter._exchanges.values()))
            found["first"].write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nf")
            assert await read_response(client) == (200, b"f")
            assert await read_response(client) == (200, b"s" * 300_000)

    run(test())


def test_a_response_without_length_to_an_http_1_0_client_ends_with_the_connection() -> None:
    async def test() -> None:
        async with raw_server() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message("fix").replace(b"HTTP/1.1", b"HTTP/1.0"))
            _, writer, _ = await server.request()
            body = random_body(200_000)
            writer.write(framed_response(body, "chunked", random.Random(1)))
            code, headers = await read_head(client)
            assert (code, "transfer-encoding" in headers) == (200, False)
            assert await client.reader.read() == body

    run(test())


def test_fifty_large_bodies_in_both_directions_in_little_memory() -> None:
    """Memory is bounded by the buffers, not by the bodies: 50 bodies of 32 MB would take 1,600 MB."""
    size, count = 32 * MB, 50

    async def echo(server: RawServer) -> None:
        while True:
            reader, writer, headers = await server.request()
            asyncio.get_running_loop().create_task(answer(reader, writer, int(headers["content-length"])))

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, left: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % left)
        while left:
            if not (piece := await reader.read(65536)):
                break
            left -= len(piece)
            writer.write(piece)
            await writer.drain()

    async def one(rig: Rig, n: int) -> None:
        client = await rig.connect()
        piece = random_body(65536, n)
        client.send(message("upload", f"id-{n}", Content_Length=str(size), X_Api_Key=f"{n:016x}"))
        for _ in range(4):  # each body stops early, so that part of each is in transit at the same time
            client.send(piece)
        got = hashlib.sha256()
        assert (await read_head(client))[0] == 200
        got.update(await client.reader.readexactly(4 * 65536))
        assert got.digest() == hashlib.sha256(piece * 4).digest()
        client.close()

    async def test() -> None:
        async with raw_server() as server, limiter(host("a", server.address)) as rig:
            serving = asyncio.create_task(echo(server))
            before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            async with asyncio.TaskGroup() as group:
                for n in range(count):
                    group.create_task(one(rig, n))
            grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
            assert grown < 48 * 1024  # KB; client and server are in this process, too
            await until(lambda: rig.limiter.open_requests == 0 and rig.clients._body_bytes == 0)
            serving.cancel()

    run(test())


def test_a_response_above_the_size_limit_is_rejected() -> None:
    async def test() -> None:
        async with raw_server() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message("fix"))
            _, writer, _ = await server.request()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (buffered.MAX_BODY_BYTES + 1))
            assert (await read_response(client))[0] == 502

    run(test())
