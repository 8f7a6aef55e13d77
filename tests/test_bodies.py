"""Bodies of any size, both ways: passed on as they come, in little memory, never whole in looks when cut."""

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

from basaltpoint.daemon.platform import SWEEP_S
from basaltpoint.fronts.platform import client_connection, clients
from basaltpoint.fronts.platform import limiter as limiting
from basaltpoint.upstream import buffered

MB = 1 << 20


class Raw:
    """A server by hand: each connection's bytes are the test's to read and write."""

    def __init__(self) -> None:
        self.arrived: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()
        self.address = ""

    async def request(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, dict[str, str]]:
        """The next request's head, and its connection."""
        reader, writer = await self.arrived.get()
        rows = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")[1:-2]
        return reader, writer, {k.lower(): v for k, v in (row.split(": ", 1) for row in rows)}


@contextlib.asynccontextmanager
async def raw() -> AsyncIterator[Raw]:
    made = Raw()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        made.arrived.put_nowait((reader, writer))

    server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=4 * MB)
    made.address = "{}:{}".format(*server.sockets[0].getsockname())
    try:
        yield made
    finally:
        server.close()


async def read_chunked(reader: asyncio.StreamReader) -> bytes:
    """A chunked body up to its last chunk; IncompleteReadError where it is cut."""
    parts = []
    while size := int(await reader.readuntil(b"\r\n"), 16):
        parts.append((await reader.readexactly(size + 2))[:-2])
    assert await reader.readexactly(2) == b"\r\n"
    return b"".join(parts)


async def head_of(client: Client) -> tuple[int, dict[str, str]]:
    line, *rows = (await client.reader.readuntil(b"\r\n\r\n")).decode().rstrip().split("\r\n")
    return int(line.split(" ")[1]), {k.lower(): v for k, v in (row.split(": ", 1) for row in rows)}


async def take(client: Client) -> tuple[int, bytes]:
    """A whole answer, however it is framed."""
    code, headers = await head_of(client)
    if "content-length" in headers:
        return code, await client.reader.readexactly(int(headers["content-length"]))
    if headers.get("transfer-encoding") == "chunked":
        return code, await read_chunked(client.reader)
    return code, await client.reader.read()


def noise(size: int, seed: int = 5) -> bytes:
    return random.Random(seed).randbytes(size)


def framed(body: bytes, how: str, rng: random.Random) -> bytes:
    """An answer of 200 in each of HTTP/1.1's forms."""
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
def test_an_answer_of_any_size_and_form_cut_anywhere(how: str, size: int) -> None:
    async def test() -> None:
        rng, body = random.Random(size), noise(size)
        async with raw() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message("fix"))
            _, writer, _ = await server.request()
            rest = framed(body, how, rng)
            while rest:
                cut = rng.choice([1, 2, 700, 60_000, 200_000])
                writer.write(rest[:cut])
                await writer.drain()
                rest = rest[cut:]
            if how == "close":
                writer.close()
            assert await take(client) == (200, body)
            assert rig.limiter.open == 0 and rig.limiter.figures.counts_of(2).answered == 1

    run(test())


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize("size", [65536, 65537, 700_001])
def test_a_body_of_any_size_cut_anywhere(chunked: bool, size: int) -> None:
    async def test() -> None:
        rng, body = random.Random(size), noise(size)
        async with raw() as server, limiter(host("a", server.address)) as rig:
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
            assert await take(client) == (200, b"done")
            assert rig.limiter.open == 0 and rig.clients._bytes == 0

    run(test())


def test_first_bytes_go_on_before_the_rest_has_come() -> None:
    async def test() -> None:
        async with raw() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message("upload", Content_Length="200000") + b"a" * 70_000)
            reader, writer, _ = await server.request()
            assert await reader.readexactly(70_000) == b"a" * 70_000  # the client has sent no more
            assert rig.limiter.open == 1
            client.send(b"b" * 130_000)
            assert await reader.readexactly(130_000) == b"b" * 130_000
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + b"c" * 10)
            assert (await head_of(client))[0] == 200
            assert await client.reader.readexactly(10) == b"c" * 10  # the server has sent no more
            writer.write(b"c" * 99_990)
            assert await client.reader.readexactly(99_990) == b"c" * 99_990
            await until(lambda: rig.limiter.open == 0)

    run(test())


@pytest.mark.parametrize("how", ["length", "chunked"])
def test_a_server_that_breaks_off_ends_in_a_cut_connection(how: str) -> None:
    """Never in another answer, never in one that looks whole; it counts as failed and goes out once."""

    async def test() -> None:
        async with raw() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message())  # one that could be repeated, had nothing begun
            _, writer, _ = await server.request()
            framing = b"Content-Length: 3000000" if how == "length" else b"Transfer-Encoding: chunked"
            writer.write(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n")
            for _ in range(16):
                writer.write((b"" if how == "length" else b"10000\r\n") + b"x" * 65536)
                writer.write(b"" if how == "length" else b"\r\n")
            await writer.drain()
            assert (await head_of(client))[0] == 200
            writer.close()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await (
                    client.reader.readexactly(3_000_000) if how == "length" else read_chunked(client.reader)
                )
            await until(lambda: rig.limiter.figures.counts_of(0).errored == 1)
            assert server.arrived.empty() and rig.limiter.open == 0

    run(test())


def test_a_server_that_stops_after_the_first_megabyte(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(limiting, "SILENT_S", 0.2)

    async def test() -> None:
        async with raw() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message("fix"))
            _, writer, _ = await server.request()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n" + b"x" * MB)
            assert (await head_of(client))[0] == 200
            await client.reader.readexactly(MB)
            ended = asyncio.create_task(client.reader.read())
            while not ended.done():
                rig.limiter.sweep()
                await asyncio.sleep(0.02)
            with contextlib.suppress(ConnectionError):
                assert await ended == b""
            assert rig.limiter.open == 0

    run(test())


def test_a_client_that_stops_reading_holds_a_connection_and_not_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(clients, "STUCK_S", 0.3)

    async def test() -> None:
        async with raw() as server, limiter(host("a", server.address)) as rig:
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
            assert sent < 32 * MB  # the server waits: what is not read stays with it
            [connection] = rig.clients._open
            assert connection._transport and connection._transport.get_write_buffer_size() < MB
            while rig.limiter.open:
                rig.clients.sweep()
                await asyncio.sleep(0.02)
            assert not rig.clients._open

    run(test())


def test_a_slow_upload_is_served_and_one_that_stops_is_not(monkeypatch: pytest.MonkeyPatch) -> None:
    """64 kB a second are due to clients; the time for a body grows with what has come of it."""

    async def test() -> None:
        async with raw() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message("upload", Content_Length="100000") + b"x" * 70_000)
            reader, writer, _ = await server.request()
            await reader.readexactly(70_000)
            [connection] = rig.clients._open
            connection.made -= clients.STALL_S + 70_000 / client_connection.LEAST_RATE - 0.5
            rig.clients.sweep()
            client.send(b"x" * 30_000)
            await reader.readexactly(30_000)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            assert (await take(client))[0] == 200
            client.send(message("upload", "stops", Content_Length="100000") + b"x" * 70_000)
            reader, _, _ = await server.request() if server.arrived.qsize() else (reader, writer, {})
            await until(lambda: rig.limiter.open == 1)
            assert connection.begun
            connection.begun -= clients.STALL_S + 70_000 / client_connection.LEAST_RATE + 0.5
            rig.clients.sweep()
            assert (await take(client))[0] == 408
            await until(lambda: rig.limiter.open == 0 and not rig.limiter.table.requests)
            assert rig.clients._bytes == 0

    run(test())


@pytest.mark.parametrize("size", [20_000, 100_000], ids=["held", "streamed"])
def test_a_client_that_stops_within_a_body_gets_its_error_within_three_seconds(size: int) -> None:
    """However much of it has come: the time for the whole is longer."""

    async def test() -> None:
        async with raw() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            sent = time.monotonic()
            client.send(message("upload", Content_Length=str(size)) + b"x" * (size - 5_000))
            answer = asyncio.create_task(take(client))
            while not answer.done():
                rig.clients.sweep()
                await asyncio.sleep(SWEEP_S)
            assert (await answer)[0] == 408
            assert time.monotonic() - sent < 3.0

    run(test())


def test_a_refusal_before_the_body_needs_none_of_it() -> None:
    """With `Expect: 100-continue` it comes in place of the go-ahead; without, the body is read past."""

    async def test() -> None:
        async with limiter() as rig:  # no server: everything is refused
            client = await rig.connect()
            client.send(message("upload", Content_Length="300000", Expect="100-continue"))
            code, headers = await head_of(client)
            assert (code, headers["connection"]) == (429, "close")
            other = await rig.connect()
            other.send(message("upload", Content_Length="300000") + b"x" * 100_000)
            assert (await take(other))[0] == 429
            other.send(b"x" * 200_000 + message("fix", "next"))
            assert (await take(other))[0] == 429
            assert rig.clients._bytes == 0 and rig.limiter.open == 0

    run(test())


def test_a_refused_sender_that_keeps_no_connection_has_it_ended_behind_the_body() -> None:
    """Left open, each would hold a descriptor for good: nothing more is read from it, and it is not idle."""

    async def test() -> None:
        async with limiter() as rig:
            client = await rig.connect()
            client.send(message("upload", Content_Length="300000", Connection="close") + b"x" * 100_000)
            assert (await take(client))[0] == 429
            client.send(b"x" * 200_000)
            await client.closed()
            await until(lambda: not rig.clients._open)

    run(test())


def test_the_go_ahead_comes_before_a_long_body() -> None:
    async def test() -> None:
        async with raw() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message("upload", Content_Length="100000", Expect="100-continue"))
            assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            client.send(b"x" * 100_000)
            reader, writer, _ = await server.request()
            await reader.readexactly(100_000)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            assert (await take(client))[0] == 200

    run(test())


def test_trailers_cut_in_the_middle_are_no_whole_request() -> None:
    async def test() -> None:
        async with raw() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            head = message("upload", Content_Length=None, Transfer_Encoding="chunked")
            client.send(head + b"%x\r\n%s\r\n0\r\nX-Sum: " % (100_000, b"x" * 100_000))
            reader, _, _ = await server.request()
            await reader.readuntil(b"\r\n")
            await reader.readexactly(65_536)
            client.close()
            with contextlib.suppress(ConnectionError):
                assert not (await reader.read()).endswith(b"0\r\n\r\n")
            await until(lambda: rig.limiter.open == 0 and rig.clients._bytes == 0)

    run(test())


def test_a_server_that_takes_nothing_of_a_body_holds_its_client_back() -> None:
    async def test() -> None:
        async with raw() as server, limiter(host("a", server.address)) as rig:
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
            assert sent < 32 * MB and rig.clients._bytes < MB
            assert rig.limiter.open == 1  # it is held back, not turned away
            reader._transport.resume_reading()  # type: ignore[attr-defined]
            client.close()
            await until(lambda: rig.limiter.open == 0 and rig.clients._bytes == 0)

    run(test())


def test_an_upload_is_given_up_when_its_client_goes() -> None:
    async def test() -> None:
        async with raw() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message("upload", Content_Length="3000000") + b"x" * 100_000)
            reader, _, _ = await server.request()
            client.close()
            with contextlib.suppress(ConnectionError):
                await reader.read()
            await until(lambda: rig.limiter.open == 0 and not rig.limiter.table.requests)
            assert rig.clients._bytes == 0 and rig.limiter.decision_module.pools[0].lane_outstanding == [0, 0]

    run(test())


def test_a_long_answer_behind_another_waits_for_its_turn() -> None:
    async def test() -> None:
        async with raw() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message("fix", "first") + message("fix", "second"))
            found = {}
            for _ in range(2):
                _, writer, headers = await server.request()
                found[headers["req-id"]] = writer
            found["second"].write(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"s" * 300_000)
            await until(lambda: any(p.passing for p in rig.limiter._passages.values()))
            found["first"].write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nf")
            assert await take(client) == (200, b"f")
            assert await take(client) == (200, b"s" * 300_000)

    run(test())


def test_an_answer_without_length_to_a_client_of_http_1_0_ends_with_the_connection() -> None:
    async def test() -> None:
        async with raw() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message("fix").replace(b"HTTP/1.1", b"HTTP/1.0"))
            _, writer, _ = await server.request()
            body = noise(200_000)
            writer.write(framed(body, "chunked", random.Random(1)))
            code, headers = await head_of(client)
            assert (code, "transfer-encoding" in headers) == (200, False)
            assert await client.reader.read() == body

    run(test())


def test_fifty_long_bodies_both_ways_in_little_memory() -> None:
    """What is in hand is bounded by the buffers, not by the bodies: 50 of 32 MB would be 1,600."""
    size, count = 32 * MB, 50

    async def echo(server: Raw) -> None:
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
        piece = noise(65536, n)
        client.send(message("upload", f"id-{n}", Content_Length=str(size), X_Api_Key=f"{n:016x}"))
        for _ in range(4):  # held half way: a small part of each is on its way at the same time
            client.send(piece)
        got = hashlib.sha256()
        assert (await head_of(client))[0] == 200
        got.update(await client.reader.readexactly(4 * 65536))
        assert got.digest() == hashlib.sha256(piece * 4).digest()
        client.close()

    async def test() -> None:
        async with raw() as server, limiter(host("a", server.address)) as rig:
            serving = asyncio.create_task(echo(server))
            before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            async with asyncio.TaskGroup() as group:
                for n in range(count):
                    group.create_task(one(rig, n))
            grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
            assert grown < 48 * 1024  # KB, with both peers in this process
            await until(lambda: rig.limiter.open == 0 and rig.clients._bytes == 0)
            serving.cancel()

    run(test())


def test_an_answer_longer_than_any_is_spoilt() -> None:
    async def test() -> None:
        async with raw() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message("fix"))
            _, writer, _ = await server.request()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (buffered.MAX_BODY_BYTES + 1))
            assert (await take(client))[0] == 502

    run(test())
