"""The clients' side on the wire: what is taken on, in which order it is answered, what is turned down."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import replace
from typing import Any

import pytest
from sockets import (
    Request,
    Rig,
    backend,
    config,
    echo,
    host,
    limiter,
    message,
    run,
    until,
)

from basaltpoint import interface as api
from basaltpoint.fronts.platform import clients


def test_split_bytes() -> None:
    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            for byte in message("upload", "split", b"body"):
                client.send(bytes([byte]))
                await client.writer.drain()
                await asyncio.sleep(0)
            assert (await client.answer()).body == b"split"
            assert server.requests[0].body == b"body"

    run(test())


def test_pipelined_bytes() -> None:
    """Answers come in the order of the requests, though a later one is ready first."""

    async def test() -> None:
        async with backend() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            names = [f"id-{n}" for n in range(3)]
            client.send(b"".join(message("read", name) for name in names) + message(X_Tier="none"))
            held = [await server.arrived.get() for _ in names]
            for request in sorted(held, key=lambda r: r.headers["req-id"], reverse=True):
                await echo(request)
            assert [(await client.answer()).body.decode() for _ in names] == names
            assert (await client.answer()).code == 400

    run(test())


def test_many_pipelined() -> None:
    """More than are read ahead: the rest waits in the socket and is answered all the same."""

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            names = [f"id-{n}" for n in range(40)]
            for name in names:
                client.send(message("read", name))
                await asyncio.sleep(0)
            assert [(await client.answer()).body.decode() for _ in names] == names

    run(test())


BAD: list[tuple[bytes, int]] = [
    (message(Req_Id=None), 400),
    (message(Req_Id=""), 400),
    (message(Req_Id="with space"), 400),
    (message(Req_Kind=None), 400),
    (message(Req_Kind="fix"), 400),
    (message(path="/nothing/1", Req_Kind="nothing"), 404),
    (message(path="*"), 404),
    (message(path="/"), 404),
    (message(X_Tier=None), 400),
    (message(X_Tier="gold"), 400),
    (message(X_Api_Key=None), 400),
    (message(X_Api_Key="b4d65521"), 400),
    (message(X_Api_Key="00000000b4d6552g"), 400),
    (message(X_Api_Key="ffffffffffffffff"), 400),
    (message(Req_Deadline=None), 400),
    (message(Req_Deadline="soon"), 400),
    (message(Req_Deadline="nan"), 400),
    (message(Req_Deadline="inf"), 400),
    (message(Req_Deadline="0"), 400),
    (message(Req_Deadline="-1"), 400),
    (message(X_Call_Terms=None), 400),
    (message(X_Call_Terms="units=x,spread=3,first=1"), 400),
    (message(X_Call_Terms="units=-1,spread=3,first=1"), 400),
    (message(X_Call_Terms="units=1,spread=0,first=1"), 400),
    (message(X_Call_Terms="units=1,spread=3"), 400),
    (message(X_Call_Terms=",,=,"), 400),
    (message(X_Call_Terms="units=1,spread=4,first=1"), 400),
    (message(X_Call_Terms="units=1,spread=3,first=3"), 400),
    (message(X_Call_Terms="units=1,spread=3,first=-1"), 400),
    (message(X_Call_Terms="units=1e300,spread=3,first=1"), 400),
    (message(X_Call_Terms="units=1_0,spread=3,first=1"), 400),
    (message(X_Call_Terms="units=7,spread=3,first=1"), 400),
    (message(X_Call_Terms="units=1,spread=3,first=1,spread=2"), 400),
    (message(Req_Deadline="1_0"), 400),
    (message(Req_Deadline="1e300"), 400),
    (message(method="POST", Content_Length="0"), 405),
    (message(method="DELETE"), 405),
    (message("read", Content_Length="2", body=b"xy"), 400),
    (message("upload", Idempotency_Key=None), 400),
    (message("fix", Idempotency_Key="5c0f"), 400),
]


@pytest.mark.parametrize(("raw", "code"), BAD)
def test_bad_request(raw: bytes, code: int) -> None:
    """Told at once; it reaches no server, and its connection goes on."""

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            assert (await client.ask(raw)).code == code
            assert (await client.ask(message(ident="good"))).body == b"good"
            assert len(server.requests) == 1 and rig.limiter.open_requests == 0

    run(test())


BROKEN: list[tuple[bytes, int]] = [
    (b"nonsense\r\n\r\n", 400),
    (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),
    (b"GET /read HTTP/9.9\r\n\r\n", 400),
    (message("fix", Content_Length="-5"), 400),
    (message("fix", Content_Length="2", Transfer_Encoding="chunked"), 400),
    (message(x_tier="gold"), 400),
    (message(x_call_terms="units=1,spread=1,first=0"), 400),
    (message("fix", Content_Length="67108865"), 413),
    (message("fix", Content_Length="99999999999999999999"), 400),
    (message(Content_Length="100000"), 400),
    (message(X_Large="x" * 20_000), 431),
    (message(path="/read/" + "x" * 20_000), 431),
    (b"GET /read HTTP/1.1\r\n" + b"".join(b"X-%d: y\r\n" % n for n in range(200)) + b"\r\n", 431),
    (b"GET /read HTTP/1.1\r\nX-Endless: " + b"x" * 40_000, 431),
]


@pytest.mark.parametrize(("raw", "code"), BROKEN)
def test_broken_bytes(raw: bytes, code: int) -> None:
    """What can't be read to its end is answered and cut off; what was taken before it is answered first."""

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            neighbour, client = await rig.connect(), await rig.connect()
            client.send(message(ident="before") + raw)
            assert (await client.answer()).body == b"before"
            answer = await client.answer()
            assert (answer.code, answer.headers["connection"]) == (code, "close")
            await client.closed()
            assert (await neighbour.ask(message(ident="good"))).body == b"good"
            assert len(server.requests) == 2 and rig.limiter.open_requests == 0

    run(test())


def test_refused_sender() -> None:
    """One that is still sending gets its answer: cut off at once, it would see a reset in its place."""

    async def test() -> None:
        async with limiter(host("a", "127.0.0.1:1")) as rig:
            client = await rig.connect()
            client.send(message(Content_Length="4000000") + b"x" * 4_000_000)
            await client.writer.drain()
            assert (await client.answer()).code == 400

    run(test())


def test_body_of_the_largest_size() -> None:
    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            assert (await client.ask(message("fix", body=b"x" * 65536))).code == 200
            assert server.requests[0].body == b"x" * 65536

    run(test())


def test_hang_up() -> None:
    """Nobody waits for what is out: its attempt is given up and nothing is sent again."""

    async def test() -> None:
        async with backend() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message())
            request = await server.arrived.get()
            client.close()
            await request.closed()
            assert (len(server.requests), rig.limiter.open_requests) == (1, 0)

    run(test())


@pytest.mark.parametrize("header", [{"Connection": "close"}, {"Connection": "Upgrade", "Upgrade": "h2c"}])
def test_close_on_request(header: dict[str, str]) -> None:
    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            answer = await client.ask(message(ident="last", **header) + message(ident="behind"))
            assert (answer.body, answer.headers["connection"]) == (b"last", "close")
            await client.closed()

    run(test())


def test_up() -> None:
    """Ready means that a request could be sent on."""

    async def test() -> None:
        async with limiter() as rig:
            client = await rig.connect()
            assert (await client.ask(b"GET /up HTTP/1.1\r\n\r\n")).code == 503
        async with limiter(host("a", "127.0.0.1:1")) as rig:
            client = await rig.connect()
            assert (await client.ask(b"GET /up HTTP/1.1\r\n\r\n")).code == 200

    run(test())


def test_no_server() -> None:
    """Without any server a request is refused at once."""

    async def test() -> None:
        async with limiter() as rig:
            client = await rig.connect()
            assert (await client.ask(message("fix"))).code == 429

    run(test())


class Module:
    """In the decision module's place: it does what the test says."""

    def __init__(self, rig: Rig, *events: type) -> None:
        self.events, self.rest = events, rig.limiter.decision_module
        rig.limiter.table.handler = self

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, self.events):
            return self.act(event)
        return self.rest.handle(now, event)

    def act(self, event: Any) -> list[api.Action]:
        return []


def test_silent_module() -> None:
    """The bridge answers at the deadline where the module never does."""

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            Module(rig, api.Arrival)
            client = await rig.connect()
            assert (await client.ask(message(Req_Deadline="0.1"))).code == 504
            assert rig.limiter.open_requests == 0

    run(test())


@pytest.mark.parametrize("event", [api.Arrival, api.Outcome])
def test_failing_module(event: type, caplog: pytest.LogCaptureFixture) -> None:
    """An exception costs its own request alone, and is told in the log."""

    async def test() -> None:
        async def script(request: Request) -> None:
            request.reply("500 Internal Server Error")

        class Failing(Module):
            def act(self, event: Any) -> list[api.Action]:
                raise RuntimeError("a fault of the module")

        async with backend(script) as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            broken = Failing(rig, event)
            assert (await client.ask(message("fix"))).code == 500
            assert rig.limiter.open_requests == 0
            broken.events = ()
            assert (await client.ask(message("fix"))).code == 502

    run(test())
    assert "a fault of the module" in caplog.text


def test_unknown_server_and_moot_sends() -> None:
    """A send that can't be made is told as one: the module may go on with the request."""

    async def test() -> None:
        heard: list[api.Outcome] = []

        class Odd(Module):
            def act(self, event: Any) -> list[api.Action]:
                if isinstance(event, api.Arrival):
                    return [api.Send(event.request, 0, 1.0), api.Send(99, 0, 0.0)]
                heard.append(event)
                return [api.Refuse(1, 250.0)]

        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            Odd(rig, api.Arrival, api.Outcome)
            client = await rig.connect()
            answer = await client.ask(message())
            assert (answer.code, answer.headers["retry-after"]) == (429, "0.250")
            assert [(o.status, o.attempt, o.closed) for o in heard] == [
                (api.Status.MOOT, 0, False),
                (api.Status.MOOT, 0, True),
            ]
            assert not server.requests

    run(test())


def test_probe_and_timer() -> None:
    """A probe's report and a timer come back to the module as events."""

    async def test() -> None:
        async def script(request: Request) -> None:
            request.reply(body=b'{"inflight": 7, "qps": 2.5}')

        heard: asyncio.Queue[Any] = asyncio.Queue()

        class Asking(Module):
            def act(self, event: Any) -> list[api.Action]:
                if isinstance(event, api.Arrival):
                    return [api.Probe(0), api.SetTimer(20.0, 7), api.Fail(event.request)]
                heard.put_nowait(event)
                return []

        async with backend(script) as server, limiter(host("a", server.address)) as rig:
            Asking(rig, api.Arrival, api.ProbeResult, api.TimerFired)
            client = await rig.connect()
            assert (await client.ask(message())).code == 502
            events = {type(event): event for event in [await heard.get(), await heard.get()]}
            probe, timer = events[api.ProbeResult], events[api.TimerFired]
            assert (probe.status, probe.report, timer.token) == (api.Status.OK, (7.0, 2.5), 7)
            assert server.requests[0].line == "GET /metrics/load HTTP/1.1"

    run(test())


def test_most_in_hand() -> None:
    """Beyond the bound a request is refused at once; it was never sent on."""

    async def test() -> None:
        async with backend() as server, limiter(host("a", server.address), max_open=1) as rig:
            one, two = await rig.connect(), await rig.connect()
            one.send(message(ident="one"))
            held = await server.arrived.get()
            assert (await two.ask(message(ident="two"))).code == 503
            await echo(held)
            assert (await one.answer()).body == b"one"

    run(test())


def test_bound_on_connections() -> None:
    """At the bound the longest idle connection gives way, and one that waits for its answer does not."""

    async def test() -> None:
        async with backend() as server, limiter(host("a", server.address)) as rig:
            rig.clients._max_connections = 2
            busy = await rig.connect()
            busy.send(message(ident="busy"))
            held = await server.arrived.get()
            idle = await rig.connect()
            assert (await idle.ask(b"GET /up HTTP/1.1\r\n\r\n")).code == 200
            third = await rig.connect()
            assert (await third.ask(b"GET /up HTTP/1.1\r\n\r\n")).code == 200
            with contextlib.suppress(ConnectionError):
                await idle.closed()
            await echo(held)
            assert (await busy.answer()).body == b"busy"

    run(test())


def test_new_connections_get_their_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    """At the bound a connection that has not had time for its first request does not give way."""
    monkeypatch.setattr(clients, "FIRST_REQUEST_GRACE_S", 60.0)

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            rig.clients._max_connections = 2
            names = ["one", "two", "three"]
            made = [await rig.connect() for _ in names]
            await until(lambda: len(rig.clients.idle_connections) == 2)
            for name, client in zip(names, made, strict=True):
                assert (await client.ask(message(ident=name))).body == name.encode()

    run(test())


def test_empty_line_behind_a_request() -> None:
    """It is no request: the connection stays free and is never told that one did not come."""

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            assert (await client.ask(message(ident="one"))).body == b"one"
            [connection] = rig.clients._open
            client.send(b"\r\n")
            other = await rig.connect()  # while it is served the empty line is read
            assert (await other.ask(message(ident="other"))).body == b"other"
            assert connection.request_begun_at is None and connection in rig.clients.idle_connections
            assert (await client.ask(message(ident="two"))).body == b"two"

    run(test())


def test_half_read_request_in_a_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    """A kept connection whose next request has begun to come is not closed under it."""
    monkeypatch.setattr(clients, "MIN_DRAIN_LISTEN_S", 0.05)
    monkeypatch.setattr(clients, "FIRST_REQUEST_GRACE_S", 60.0)

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            assert (await client.ask(message(ident="one"))).body == b"one"
            client.send(message(ident="two")[:-2])
            await until(lambda: not rig.clients.idle_connections)
            drain = asyncio.create_task(rig.clients.drain())
            await until(lambda: rig.clients._acceptor._listener.fileno() < 0)
            for _ in range(5):  # turns of the drain
                await asyncio.sleep(0.01)
            client.send(b"\r\n")
            answer = await client.answer()
            assert (answer.body, answer.headers["connection"]) == (b"two", "close")
            await drain

    run(test())


@pytest.mark.parametrize("raw", [b"", message()[:20]], ids=["silent", "half a request"])
def test_stalled_connection(raw: bytes) -> None:
    """One that says nothing, or whose request never comes whole, gives its socket back."""

    async def test() -> None:
        async with limiter(host("a", "127.0.0.1:1")) as rig:
            client = await rig.connect()
            client.send(raw)
            await until(lambda: bool(rig.clients.receiving if raw else rig.clients.idle_connections))
            rig.clients.sweep()
            [connection] = rig.clients._open
            connection.connected_at -= clients.HEAD_TIMEOUT_S  # counted from the connecting on
            rig.clients.sweep()
            if raw:
                assert (await client.answer()).code == 408
            await client.closed()

    run(test())


def test_crowd_of_half_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """At the bound those that have been at it for longest give way to one that asks."""
    monkeypatch.setattr(clients, "FIRST_REQUEST_GRACE_S", 0.05)

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            rig.clients._max_connections = 3
            crowd = [await rig.connect() for _ in range(9)]
            for client in crowd:
                client.send(message()[:20])
            late = await rig.connect()
            assert (await late.ask(message(ident="late"))).body == b"late"
            assert (await crowd[0].answer()).code == 408

    run(test())


def test_id_of_an_open_request() -> None:
    """It goes on once; the other sender is told, and the id is free again when the first has its answer."""

    async def test() -> None:
        async with backend() as server, limiter(host("a", server.address)) as rig:
            one, two = await rig.connect(), await rig.connect()
            one.send(message(ident="same"))
            held = await server.arrived.get()
            assert (await two.ask(message(ident="same"))).code == 409
            await echo(held)
            assert (await one.answer()).body == b"same"
            server.script = echo
            assert (await two.ask(message(ident="same"))).body == b"same"
            assert (len(server.requests), rig.limiter.open_requests) == (2, 0)

    run(test())


def test_hidden_request() -> None:
    """Behind a request of two lengths nothing is read: it may be another reader's body."""

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            hidden = message("fix", "hidden")
            for coding in ("chunked", "identity", "x, chunked"):
                client = await rig.connect()
                raw = message("fix", Content_Length="5", Transfer_Encoding=coding)
                client.send(raw + b"0\r\n\r\n" + hidden)
                assert (await client.answer()).code == 400
                with contextlib.suppress(ConnectionError):
                    await client.closed()
            assert not server.requests

    run(test())


def test_bodies_are_bounded_together() -> None:
    """What comes beyond is refused; the room is there again once a request is answered or its client gone."""

    async def test() -> None:
        async with backend() as server, limiter(host("a", server.address), body_bytes=100_000) as rig:
            one, two, three = [await rig.connect() for _ in range(3)]
            one.send(message("fix", "one", b"x" * 60_000))
            held = await server.arrived.get()
            two.send(message("fix", "two", b"x" * 60_000)[:-1])
            assert (await two.answer()).code == 503
            await echo(held)
            assert (await one.answer()).body == b"one"
            three.send(message("fix", "three", b"x" * 60_000)[:-1])
            await until(lambda: rig.clients._body_bytes > 50_000)
            three.close()
            await until(lambda: rig.clients._body_bytes == 0)
            server.script = echo
            assert (await one.ask(message("fix", "again", b"x" * 60_000))).body == b"again"
            assert rig.clients._body_bytes == 0

    run(test())


def test_a_timer_that_is_due_already_is_followed_by_others() -> None:
    """A handle for what is due at once tells no time; asking it for one broke every request meanwhile."""

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            for late in (5.0, 6.0, -50.0):
                rig.limiter.table._schedule(rig.limiter.now() - late, 0, 77)
                rig.limiter.schedule_tick()
            client = await rig.connect()
            assert (await client.ask(message())).code == 200
            await until(lambda: rig.limiter.table.next_tick_ms is None)

    run(test())


def test_in_a_crowd_connections_end_behind_their_answers() -> None:
    """Incident r86fa4a: 5,000 connections asked once each and stayed, and used their clients' bound up."""

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            rig.clients._max_connections = 8
            first, second = await rig.connect(), await rig.connect()
            for client in (first, second):
                answer = await client.ask(message())
                assert "connection" not in answer.headers
            third = await rig.connect()
            answer = await third.ask(message(ident="third"))
            assert (answer.body, answer.headers["connection"]) == (b"third", "close")
            await third.closed()
            await until(lambda: len(rig.clients._open) == 2)
            assert "connection" not in (await first.ask(message(ident="again"))).headers

    run(test())


def test_an_open_connection_is_served_through_most_of_a_drain() -> None:
    """Whoever kept its connection stays; nobody else has to take its customers in meanwhile."""

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            rig.clients._keep_open_s = 1.0
            client = await rig.connect()
            assert (await client.ask(message(ident="one"))).body == b"one"
            drain = asyncio.create_task(rig.clients.drain())
            await until(lambda: rig.clients._acceptor._listener.fileno() < 0)
            answer = await client.ask(message(ident="two"))
            assert answer.body == b"two" and "connection" not in answer.headers
            assert (await client.ask(b"GET /up HTTP/1.1\r\n\r\n")).code == 503
            await client.closed()
            await drain
            assert not rig.clients._open

    run(test())


@pytest.mark.parametrize(
    ("aims", "deadlines", "late", "stays"),
    [
        ((1200.0, 1500.0), (5000.0, 5000.0), 0.0, 3.7 - 1.5 - 0.3),  # SIGKILL after 3.7 s at the earliest
        ((300.0, 400.0), (1000.0, 800.0), 0.0, 1.7 - 0.4 - 0.3),
        ((300.0, 400.0), (1000.0, 800.0), 0.5, 1.7 - 1.0 - 0.3),  # a late answer is worth something
        (
            (3000.0, 9000.0),
            (10000.0, 9000.0),
            0.0,
            3.7 - 9.0 - 0.3,
        ),  # none can be sure of its answer
    ],
)
def test_a_drain_lasts_as_long_as_answers_are_sure_before_sigkill(
    aims: tuple[float, ...], deadlines: tuple[float, ...], late: float, stays: float
) -> None:
    made = config().settings
    classes = tuple(
        replace(cls, aim_ms=aim, deadline_ms=deadline, late_worth=late)
        for cls, aim, deadline in zip(made.classes, aims, deadlines, strict=False)
    )
    assert clients.keep_open_s(replace(made, classes=classes)) == pytest.approx(stays)
