"""A limiter's end, clients that go, connections that close: each crossing forced, over real connections."""

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
    """A server hangs under a request of 12 s when SIGTERM comes: it can't be waited for that long."""
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
            # What may have run and must not be repeated has failed; of the rest a retry is harmless.
            assert answer.code == (502 if cls == "fix" else 429)
            await drain
            assert rig.limiter.open_requests == 0
            assert rig.clients._sigkill_after_s == pytest.approx(0.9)

    run(test())


def test_a_request_in_the_last_moment_of_a_drain_is_refused_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """It came on an old connection when no answer of a server can be had any more."""
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
            rig.limiter.table.final_deadline_ms = rig.limiter.now()  # the time has come
            client.send(message("fix", "one")[30:])
            answer = await client.answer()
            assert (answer.code, answer.headers["connection"]) == (503, "close")
            await client.closed()
            await drain
            assert not server.requests

    run(test())


def test_a_body_that_still_comes_ends_with_the_process(monkeypatch: pytest.MonkeyPatch) -> None:
    """A long one on its way to a server when the drain's time is up: failed, not waited for."""
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
    """A limiter as a process with deadlines of 20 s before one server that never answers."""
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
    """Wait until a limiter says that it takes clients."""
    while True:
        with contextlib.suppress(ConnectionError):
            client = Client(*await asyncio.open_connection(name, port))
            answer = await client.ask(b"GET /up HTTP/1.1\r\n\r\n")
            client.close()
            if answer.code == 200:
                return
        await asyncio.sleep(0.02)


def test_a_process_told_to_end_beside_a_server_that_hangs(tmp_path: Path) -> None:
    """SIGTERM with requests of all kinds out: each is answered, and the process ends by itself."""

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


class Given:
    """`asyncio` with a clock of its own: a wait takes what it says, whatever the machine does."""

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
    """Half a request holds its connection to the last moment; every wait of the drain is taken in full."""
    given = Given()
    services = [{**row, "aimMs": deadline_ms, "hardLimitMs": deadline_ms} for row in SETTINGS["services"]]

    async def test() -> None:
        async with limiter(settings={"services": services}) as rig:
            client = await rig.connect()
            client.send(message(ident="half")[:40])
            await until(lambda: bool(rig.clients.receiving))
            monkeypatch.setattr(clients, "asyncio", given)
            monkeypatch.setattr(clients, "monotonic", lambda: given.now)
            [half] = rig.clients.receiving
            half.connected_at = half.request_begun_at = 1e9  # it goes on coming
            await rig.clients.drain()
            assert given.now < 1000.0 + rig.clients._sigkill_after_s

    run(test())


def test_the_time_to_sigkill_is_the_settings() -> None:
    made = config(**with_long_deadlines()).settings
    assert sigkill_after_s(made) == 3.7
    assert sigkill_after_s(
        replace(made, classes=(replace(made.classes[0], deadline_ms=80.0),))
    ) == pytest.approx(0.78)


# --- Connections that close ---------------------------------------------------------------------------
def test_no_connection_is_closed_over_a_request_that_lies_in_its_socket() -> None:
    """It fell idle, then the next request came, then it was to be closed: the request goes first."""

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            assert (await client.ask(message(ident="one"))).body == b"one"
            [kept] = rig.clients.idle_connections
            assert peek(kept._sock) is UnreadData.NOTHING
            client.send(message(ident="two"))
            end = time.monotonic() + TEST_TIMEOUT_S
            while (
                peek(kept._sock) is UnreadData.NOTHING and time.monotonic() < end
            ):  # holds the loop: nothing is read meanwhile
                pass
            rig.clients._close_idle(time.monotonic())
            assert not rig.clients._make_room()
            assert (await client.answer()).body == b"two"
            assert rig.clients._make_room()
            await client.closed()

    run(test())


def test_an_answer_is_not_lost_to_bytes_behind_its_request() -> None:
    """The answer says close, and more lay in the socket: closing over it would reset the connection."""

    async def test() -> None:
        async with backend() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message(ident="one", Connection="close"))
            first = await server.arrived.get()
            [kept] = rig.clients._open
            assert kept._transport
            kept._transport.pause_reading()
            kept._is_read_paused = True
            client.send(message(ident="two") * 50)
            await until(lambda: peek(kept._sock) is UnreadData.BYTES)
            await echo(first)
            await until(lambda: bool(kept.has_responded))
            await asyncio.sleep(0.05)  # a reset would have come by now, and gone before what is unread here
            assert (await client.answer()).body == b"one"
            await client.closed()
            assert len(server.requests) == 1

    run(test())


@pytest.mark.parametrize("behind", ["read before the answer", "sent while it is on its way"])
def test_a_slow_reader_gets_its_last_answer_whole_whatever_it_sends_behind(
    monkeypatch: pytest.MonkeyPatch, behind: str
) -> None:
    """More of the answer waits here than the system holds when the connection is to end."""
    monkeypatch.setattr(client_connection, "LINGER_S", 0.01)
    body = bytes(range(256)) * 240

    async def test() -> None:
        async with backend() as server, limiter(host("a", server.address)) as rig:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(rig.clients.address)
            early = behind == "read before the answer"
            sock.sendall(message(ident="one", Connection=None if early else "close"))
            first = await server.arrived.get()
            [kept] = rig.clients._open
            kept._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            if early:
                sock.sendall(b"no request\r\n\r\n")
                await until(lambda: kept._has_rejected)
            first.reply(body=body)
            await until(lambda: not kept._requests)
            assert kept._transport
            assert kept._transport.get_write_buffer_size() > 0
            if not early:
                sock.sendall(message(ident="two"))
            await asyncio.sleep(0.1)  # whoever cuts the sender off after a time has done so by now
            sock.setblocking(False)
            got, loop = b"", asyncio.get_running_loop()
            with contextlib.suppress(ConnectionResetError):  # with what lies behind the answer
                # The last of it is left in the system's hands until the connection is gone here.
                while kept._transport.get_write_buffer_size() and (piece := await loop.sock_recv(sock, 512)):
                    got += piece
                await until(lambda: not rig.clients._open)
                while piece := await loop.sock_recv(sock, 65536):
                    got += piece
            assert body in got
            assert len(server.requests) == 1
            sock.close()

    run(test())


def test_the_backlog_is_taken_whole_before_nobody_listens_any_more(monkeypatch: pytest.MonkeyPatch) -> None:
    """More connections than are accepted at a time, each with a whole request, when the listener closes."""
    monkeypatch.setattr(accepting, "MAX_ACCEPT_BATCH", 2)
    monkeypatch.setattr(clients, "MIN_DRAIN_LISTEN_S", 0.0)
    monkeypatch.setattr(clients, "DRAIN_QUIET_S", -1.0)

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            rig.clients._acceptor.pause()  # nobody accepts until the drain's last turn
            asked = [await rig.connect() for _ in range(9)]
            for n, client in enumerate(asked):
                client.send(message(ident=f"r-{n}"))
            drain = asyncio.create_task(rig.clients.drain())
            for n, client in enumerate(asked):
                assert (await client.answer()).body == f"r-{n}".encode()
                client.close()
            await drain

    run(test())


# --- Clients that go ------------------------------------------------------------------------------------
def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.close()


@pytest.mark.parametrize("how", ["close", "reset", "half-close"])
def test_a_request_whose_client_left_before_it_was_read_is_not_sent_on(how: str) -> None:
    """It waited in the backlog; when it is read its client has gone."""

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address), reuse_s=30.0) as rig:
            client = await rig.connect()
            assert (await client.ask(message(ident="first"))).body == b"first"  # its connection is free now
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
def test_a_request_whose_client_left_while_a_connection_came_up_is_not_sent_on(cancels: bool) -> None:
    """Whether the module may cancel what runs or not: this has not begun anywhere."""

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
    """A limiter that is told something before it has read its configuration."""
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


def test_a_new_configuration_told_during_the_start_is_taken_up(tmp_path: Path) -> None:
    """The variable is as old as the start; what the file names since then stands above it."""

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


def test_a_limiter_told_to_end_during_its_start_ends_in_order(tmp_path: Path) -> None:
    async def test() -> None:
        raw = document(unused_address(), host("a", "127.0.0.1:1"))
        (tmp_path / "config.json").write_text(json.dumps(raw))
        async with starting(tmp_path, "SIGTERM") as process:
            assert await process.wait() == 0
        assert "draining" in (tmp_path / "log").read_text()

    run(test())


def test_a_connection_ends_at_once_behind_an_answer_that_has_gone_out() -> None:
    """A client that would keep it costs a crowd its room: nothing is waited for where nothing can be lost."""

    async def test() -> None:
        async with backend(echo) as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            await until(lambda: bool(rig.clients._open))
            [kept] = rig.clients._open
            client.send(message(ident="one", Connection="close"))
            await until(lambda: kept._transport is not None and kept._transport.is_closing())
            assert not kept._is_lingering
            assert (await client.answer()).body == b"one"

    run(test())
