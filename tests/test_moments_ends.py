"""Races at a limiter's shutdown, a client's disconnect and a connection's close, forced on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from sockets import (
    SETTINGS,
    Answer,
    Client,
    agent,
    backend,
    config,
    document,
    echo,
    host,
    limiter,
    message,
    run,
    until,
    unused_address,
)
from waiting import TEST_TIMEOUT_S

from basaltpoint.fronts.platform import client_connection, clients
from basaltpoint.fronts.platform.clients import sigkill_after_s
from basaltpoint.fronts.unread import UnreadData, peek
from basaltpoint.system import accepting

ROOT = Path(__file__).parent.parent
LONG = [{**service, "aimMs": 12_000.0, "hardLimitMs": 20_000.0} for service in SETTINGS["services"]]


def with_long_deadlines() -> dict[str, Any]:
    return {"settings": {"services": LONG}}


@pytest.mark.parametrize("cls", ["read", "upload", "fix"])
def test_all_is_answered_before_sigkill_whatever_the_deadlines(
    monkeypatch: pytest.MonkeyPatch, cls: str
) -> None:
    """A server hangs with a request of 12 s at SIGTERM: there is no time to wait for its response."""
    monkeypatch.setattr(clients, "MAX_SIGKILL_DEADLINE_S", 0.2)  # SIGKILL 0.9 s after SIGTERM

    async def test() -> None:
        async with (
            backend() as server,
            limiter(host("a", server.address), **with_long_deadlines()) as rig,
        ):
            client = await rig.connect()
            client.send(message(cls, "held", Req_Deadline="20"))
            await server.arrived.get()
            drain = asyncio.create_task(rig.clients.drain())
            answer = await client.answer()
            # A request that may have been executed and must not be repeated fails; the others may be retried.
            assert answer.code == (502 if cls == "fix" else 429)
            await drain
            assert rig.limiter.open_requests == 0
            assert rig.clients.sigkill_after_s == pytest.approx(0.9)

    run(test())


def test_a_request_at_the_end_of_a_drain_is_refused_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """It arrives on an old connection when there is no time for a server's response."""
    monkeypatch.setattr(clients, "FLUSH_S", 20.0)
    monkeypatch.setattr(clients, "MIN_DRAIN_LISTEN_S", 0.01)
    monkeypatch.setattr(clients, "DRAIN_QUIET_S", 0.0)

    async def test() -> None:
        async with (
            backend() as server,
            limiter(host("a", server.address), **with_long_deadlines()) as rig,
        ):
            client = await rig.connect()
            client.send(message("fix", "one")[:30])
            await until(lambda: bool(rig.clients.receiving))
            drain = asyncio.create_task(rig.clients.drain())
            await until(lambda: rig.clients.closing)
            rig.limiter.table.final_deadline_ms = rig.limiter.now()  # the final deadline
            client.send(message("fix", "one")[30:])
            answer = await client.answer()
            assert (answer.code, answer.headers["connection"]) == (503, "close")
            await client.closed()
            await drain
            assert not server.requests

    run(test())


def test_an_unfinished_upload_ends_with_the_process(monkeypatch: pytest.MonkeyPatch) -> None:
    """A long upload at the end of the drain fails and does not delay it."""
    monkeypatch.setattr(clients, "MAX_SIGKILL_DEADLINE_S", 0.2)

    async def test() -> None:
        async with backend() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            head = message("fix", "long").replace(b"Content-Length: 0", b"Content-Length: 200000")
            client.send(head + b"x" * 100_000)
            await until(lambda: any(p.stream for p in rig.limiter._exchanges.values()))
            drain = asyncio.create_task(rig.clients.drain())
            assert (await client.answer()).code in (429, 502)
            await drain
            assert rig.limiter.open_requests == 0

    run(test())


@contextlib.asynccontextmanager
async def ending(path: Path, address: str) -> Any:
    """A limiter process with deadlines of 20 s and one server that never responds."""
    listen, file = unused_address(), path / "config.json"
    raw = document(listen, host("a", address))
    raw["settings"] = {**SETTINGS, "services": LONG}
    file.write_text(json.dumps(raw))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "basaltpoint",
        cwd=ROOT,
        env={**os.environ, "GW_CONFIG": str(file)},
        stderr=(path / "log").open("wb"),
    )
    name, port = listen.split(":")
    try:
        yield process, name, int(port)
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


async def ready(name: str, port: int) -> None:
    """Waits until a limiter reports that it is ready."""
    while True:
        with contextlib.suppress(ConnectionError):
            client = Client(*await asyncio.open_connection(name, port))
            answer = await client.ask(b"GET /up HTTP/1.1\r\n\r\n")
            client.close()
            if answer.code == 200:
                return
        await asyncio.sleep(0.02)


def test_a_process_terminated_while_a_server_hangs(tmp_path: Path) -> None:
    """SIGTERM with outstanding requests of all classes: each is answered, and the process exits."""

    async def test() -> None:
        async with backend() as server, ending(tmp_path, server.address) as (process, name, port):
            asked: list[Client] = []
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await ready(name, port)
            for n, cls in enumerate(["read", "upload", "fix"]):
                asked.append(Client(*await asyncio.open_connection(name, port)))
                asked[-1].send(message(cls, f"r-{n}", Req_Deadline="20"))
                await server.arrived.get()
            process.send_signal(signal.SIGTERM)
            answers: list[Answer] = [await client.answer() for client in asked]
            assert [answer.code for answer in answers] == [429, 429, 502]
            assert await process.wait() == 0

    run(test())


class VirtualTimeAsyncio:
    """`asyncio` with a virtual clock: a sleep takes exactly its time, whatever the load of the host."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __getattr__(self, name: str) -> Any:
        return getattr(asyncio, name)

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(0)
        self.now += seconds


@pytest.mark.parametrize("deadline_ms", [50.0, 80.0, 400.0, 2500.0, 20_000.0])
def test_a_drain_is_over_before_sigkill_whatever_the_deadlines(
    monkeypatch: pytest.MonkeyPatch, deadline_ms: float
) -> None:
    """An incomplete request keeps its connection open to the end; all waits of the drain take full time."""
    virtual = VirtualTimeAsyncio()
    services = [{**row, "aimMs": deadline_ms, "hardLimitMs": deadline_ms} for row in SETTINGS["services"]]

    async def test() -> None:
        async with limiter(settings={"services": services}) as rig:
            client = await rig.connect()
            client.send(message(ident="half")[:40])
            await until(lambda: bool(rig.clients.receiving))
            monkeypatch.setattr(clients, "asyncio", virtual)
            monkeypatch.setattr(clients, "monotonic", lambda: virtual.now)
            [half] = rig.clients.receiving
            half.connected_at = half.request_begun_at = 1e9  # it is still being received
            await rig.clients.drain()
            assert virtual.now < 1000.0 + rig.clients.sigkill_after_s

    run(test())


def test_the_time_to_sigkill_follows_from_the_settings() -> None:
    made = config(**with_long_deadlines()).settings
    assert sigkill_after_s(made) == 3.7
    assert sigkill_after_s(
        replace(made, classes=(replace(made.classes[0], deadline_ms=80.0),))
    ) == pytest.approx(0.78)


# --- Connections that close ---------------------------------------------------------------------------
def test_no_connection_is_closed_with_an_unread_request_in_its_socket() -> None:
    """If an idle connection receives a request before it is to be closed, the request is served first."""

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            assert (await client.ask(message(ident="one"))).body == b"one"
            [connection] = rig.clients.idle_connections
            assert peek(connection._sock) is UnreadData.NOTHING
            client.send(message(ident="two"))
            end = time.monotonic() + TEST_TIMEOUT_S
            while (
                peek(connection._sock) is UnreadData.NOTHING and time.monotonic() < end
            ):  # blocks the loop: nothing is read meanwhile
                pass
            rig.clients._close_idle(time.monotonic())
            assert not rig.clients._make_room()
            assert (await client.answer()).body == b"two"
            assert rig.clients._make_room()
            await client.closed()

    run(test())


def test_a_response_is_not_lost_by_bytes_after_its_request() -> None:
    """The response closes the connection while data is unread: a plain close would cause a reset."""

    async def test() -> None:
        async with backend() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message(ident="one", Connection="close"))
            first = await server.arrived.get()
            [connection] = rig.clients._open
            assert connection._transport
            connection._transport.pause_reading()
            connection._is_read_paused = True
            client.send(message(ident="two") * 50)
            await until(lambda: peek(connection._sock) is UnreadData.BYTES)
            await echo(first)
            await until(lambda: bool(connection.has_responded))
            await asyncio.sleep(0.05)  # time for a reset, which would overtake unread data
            assert (await client.answer()).body == b"one"
            await client.closed()
            assert len(server.requests) == 1

    run(test())


@pytest.mark.parametrize("extra", ["read before the response", "sent during the response"])
def test_a_slow_reader_gets_its_last_response_complete_whatever_it_sends_after(
    monkeypatch: pytest.MonkeyPatch, extra: str
) -> None:
    """The response exceeds the kernel's send buffer when the connection is to be closed."""
    monkeypatch.setattr(client_connection, "LINGER_S", 0.01)
    body = bytes(range(256)) * 240

    async def test() -> None:
        async with backend() as server, limiter(host("a", server.address)) as rig:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(rig.clients.address)
            early = extra == "read before the response"
            sock.sendall(message(ident="one", Connection=None if early else "close"))
            first = await server.arrived.get()
            [connection] = rig.clients._open
            connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            if early:
                sock.sendall(b"no request\r\n\r\n")
                await until(lambda: connection._has_rejected)
            first.reply(body=body)
            await until(lambda: not connection._requests)
            assert connection._transport
            assert connection._transport.get_write_buffer_size() > 0
            if not early:
                sock.sendall(message(ident="two"))
            await asyncio.sleep(0.1)  # longer than LINGER_S
            sock.setblocking(False)
            got, loop = b"", asyncio.get_running_loop()
            with contextlib.suppress(ConnectionResetError):  # caused by the unread data
                # The rest stays in the kernel until the connection is closed here.
                while connection._transport.get_write_buffer_size() and (
                    piece := await loop.sock_recv(sock, 512)
                ):
                    got += piece
                await until(lambda: not rig.clients._open)
                while piece := await loop.sock_recv(sock, 65536):
                    got += piece
            assert body in got
            assert len(server.requests) == 1
            sock.close()

    run(test())


def test_the_whole_backlog_is_accepted_before_the_listener_closes(monkeypatch: pytest.MonkeyPatch) -> None:
    """More connections than one batch, each with a complete request, when the listener closes."""
    monkeypatch.setattr(accepting, "MAX_ACCEPT_BATCH", 2)
    monkeypatch.setattr(clients, "MIN_DRAIN_LISTEN_S", 0.0)
    monkeypatch.setattr(clients, "DRAIN_QUIET_S", -1.0)

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            rig.clients._acceptor.pause()  # no accept until the end of the drain
            asked = [await rig.connect() for _ in range(9)]
            for n, client in enumerate(asked):
                client.send(message(ident=f"r-{n}"))
            drain = asyncio.create_task(rig.clients.drain())
            for n, client in enumerate(asked):
                assert (await client.answer()).body == f"r-{n}".encode()
                client.close()
            await drain

    run(test())


# --- Clients that disconnect ----------------------------------------------------------------------------
def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.close()


@pytest.mark.parametrize("how", ["close", "reset", "half-close"])
def test_a_request_whose_client_left_before_it_was_read_is_not_sent(how: str) -> None:
    """Its client disconnects while it waits in the backlog."""

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address), max_reuse_idle_s=30.0) as rig:
            client = await rig.connect()
            assert (
                await client.ask(message(ident="first"))
            ).body == b"first"  # leaves an idle server connection
            rig.clients._acceptor.pause()
            sock = socket.create_connection(rig.clients.address)
            paused = time.monotonic()
            sock.sendall(message(ident="left"))
            if how == "reset":
                reset(sock)
            else:
                sock.shutdown(socket.SHUT_WR)
            rig.clients.listen()
            await until(lambda: rig.clients._acceptor.last_accept_at > paused)
            await until(lambda: len(rig.clients._open) == 1)
            assert (await client.ask(message(ident="stays"))).body == b"stays"
            assert [request.headers["req-id"] for request in server.requests] == ["first", "stays"]
            sock.close()

    run(test())


@pytest.mark.parametrize("cancels", [True, False])
def test_a_request_whose_client_left_during_the_connect_is_not_sent(cancels: bool) -> None:
    """Also if the module may not cancel running requests: this one has not started at any server."""

    async def test() -> None:
        gate, held = asyncio.Event(), asyncio.Event()
        settings = {"ceilings": {**SETTINGS["ceilings"], "cancel": cancels}}
        async with backend(echo) as server, limiter(host("a", server.address), settings=settings) as rig:
            servers, loop = rig.limiter._servers, asyncio.get_running_loop()
            connect = loop.sock_connect

            async def late(sock: socket.socket, dial: Any) -> None:
                held.set()
                await gate.wait()
                await connect(sock, dial)

            loop.sock_connect = late  # type: ignore[method-assign]
            client = await rig.connect()
            client.send(message(ident="left"))
            await held.wait()
            client.close()
            await until(lambda: rig.limiter.open_requests == 0)
            loop.sock_connect = connect  # type: ignore[method-assign]
            gate.set()
            await until(lambda: not servers._connecting)
            other = await rig.connect()
            assert (await other.ask(message(ident="stays"))).body == b"stays"
            assert [request.headers["req-id"] for request in server.requests] == ["stays"]

    run(test())


# --- Signals during a start -----------------------------------------------------------------------------
EARLY = """
import os, runpy, signal, sys
from basaltpoint.daemon import signals
record_signals = signals.record_signals
signals.record_signals = lambda: (record_signals(), os.kill(os.getpid(), signal.{name}))
sys.argv = ["basaltpoint"]
runpy.run_module("basaltpoint", run_name="__main__")
"""


@contextlib.asynccontextmanager
async def starting(path: Path, name: str, **environ: str) -> Any:
    """A limiter that gets a signal before it has read its configuration."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        EARLY.format(name=name),
        cwd=ROOT,
        env={**os.environ, "GW_CONFIG": str(path / "config.json"), **environ},
        stderr=(path / "log").open("wb"),
    )
    try:
        yield process
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


def test_a_reload_signalled_during_the_start_is_applied(tmp_path: Path) -> None:
    """The variable only applies at the start; a reloaded file takes precedence."""

    async def test() -> None:
        async with agent() as old, agent() as new:
            raw = document(unused_address(), host("a", "127.0.0.1:1"))
            raw["discovery"] = "{}:{}".format(*new.address)
            (tmp_path / "config.json").write_text(json.dumps(raw))
            told = "{}:{}".format(*old.address)
            async with starting(tmp_path, "SIGHUP", GW_DISCOVERY=told) as process:
                assert await new.watches.get() == "/discovery/hosts?follow=1&since=0"
                assert process.returncode is None and old.watches.empty()

    run(test())


def test_a_limiter_terminated_during_its_start_drains(tmp_path: Path) -> None:
    async def test() -> None:
        raw = document(unused_address(), host("a", "127.0.0.1:1"))
        (tmp_path / "config.json").write_text(json.dumps(raw))
        async with starting(tmp_path, "SIGTERM") as process:
            assert await process.wait() == 0
        assert "draining" in (tmp_path / "log").read_text()

    run(test())


def test_a_connection_closes_at_once_after_a_response_that_was_sent() -> None:
    """No lingering close if nothing can be lost: an open connection could keep out another client."""

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            await until(lambda: bool(rig.clients._open))
            [connection] = rig.clients._open
            client.send(message(ident="one", Connection="close"))
            await until(lambda: connection._transport is not None and connection._transport.is_closing())
            assert not connection._is_lingering
            assert (await client.answer()).body == b"one"

    run(test())
