"""Closing a connection with a pending request is counted and logged, whatever code closes it."""

from __future__ import annotations

import asyncio

import pytest
from sockets import backend, host, limiter, message, run
from waiting import until

from basaltpoint.fronts.platform.close_guard import CloseGuard, CloseViolation


def test_a_close_with_an_open_request_is_a_violation_that_names_it(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        async with backend() as server, limiter(host("a", server.address)) as rig:
            client = await rig.connect()
            client.send(message(ident="9b1f03aa5c7e2d41"))
            await server.arrived.get()
            [connection] = rig.clients._open
            connection.close("a test")
            assert rig.clients.close_guard.violations == {CloseViolation.UNANSWERED: 1}
            await client.closed()

    run(test())
    assert "violation: a connection was closed (a test) over requests 9b1f03aa5c7e2d41" in caplog.text


def test_a_close_with_unread_bytes_is_a_violation() -> None:
    async def test() -> None:
        async with limiter() as rig:
            client = await rig.connect()
            await until(lambda: bool(rig.clients.idle_connections))
            [connection] = rig.clients._open
            assert connection._transport
            connection._transport.pause_reading()
            client.send(b"GET /up HTTP/1.1\r\n")
            await until(lambda: not connection.is_closable)
            connection.close("a test")
            assert rig.clients.close_guard.violations == {CloseViolation.UNREAD: 1}

    run(test())


def test_a_drain_with_open_requests_and_idle_connections_has_no_violation() -> None:
    services = [
        {"name": name, "aimMs": 500.0, "hardLimitMs": 1000.0, "effect": effect}
        for name, effect in (("read", "idempotent"), ("fix", "at_most_once"))
    ]

    async def test() -> None:
        async with (
            backend() as server,
            limiter(host("a", server.address), settings={"services": services}) as rig,
        ):
            idle, busy = await rig.connect(), await rig.connect()
            busy.send(message("fix", ident="one", Req_Deadline="0.9"))
            await server.arrived.get()  # and gets no response during the whole drain
            drain = asyncio.create_task(rig.clients.drain())
            assert (await busy.answer()).code >= 400
            await drain
            idle.close()
            assert not rig.clients.close_guard.violations

    run(test())


def test_each_count_is_a_line_for_operators() -> None:
    guard = CloseGuard()
    guard.check_close("a test", [], False)
    guard.check_close("a test", ["x", "y"], True)
    assert list(guard.metric_lines()) == [
        'gw_violations{rule="unanswered"} 1',
        'gw_violations{rule="unread"} 1',
    ]
