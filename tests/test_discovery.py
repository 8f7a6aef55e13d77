"""The discovery client: received lists, interrupted and silent watches, and invalid data."""

from __future__ import annotations

import asyncio
import json
import random
import time
from types import SimpleNamespace
from typing import Any

import pytest
from sockets import (
    Backend,
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

from basaltpoint.interface import ServerState
from basaltpoint.membership import discovery
from basaltpoint.membership.backoff import Backoff
from basaltpoint.membership.discovery import READ_BATCH_DELAY_S, Watch
from basaltpoint.membership.hosts import HostList, parse_list
from basaltpoint.membership.json_stream import JsonObjectStream, MalformedStreamError


def test_drain_during_a_request() -> None:
    """Requests in hand are completed, idle connections closed, and no new request goes to the server."""

    async def test() -> None:
        async with backend() as one, backend(echo) as two, agent() as watched:
            a = host("a", one.address)
            async with limiter(a, watched=watched) as rig:
                client, other = await rig.connect(), await rig.connect()
                client.send(message("fix", "first"))
                pending = await one.arrived.get()
                assert await watched.watches.get() == "/discovery/hosts?follow=1&since=1"
                watched.send(
                    listing(2, host("a", one.address, "leaving"), host("b", two.address), whole=False)
                )
                await until(lambda: rig.watch.seq == 2)
                for n in range(5):
                    assert (await other.ask(message("fix", f"next-{n}"))).code == 200
                await echo(pending)
                assert (await client.answer()).body == b"first"
                await pending.closed()
                assert (len(one.requests), len(two.requests)) == (1, 5)

    run(test())


def test_server_missing_from_a_full_list() -> None:
    async def test() -> None:
        async with backend(echo) as one, backend(echo) as two, agent() as watched:
            async with limiter(host("a", one.address), watched=watched) as rig:
                await watched.watches.get()
                client = await rig.connect()
                assert (await client.ask(message("fix", "before"))).code == 200
                watched.send(listing(5, host("b", two.address)))
                await one.requests[0].closed()
                for n in range(4):
                    assert (await client.ask(message("fix", f"{n}"))).code == 200
                assert (len(one.requests), len(two.requests)) == (1, 4)

    run(test())


def test_watch_reconnects_after_a_reset() -> None:
    async def test() -> None:
        async with backend(echo) as one, backend(echo) as two, agent() as watched:
            async with limiter(host("a", one.address), watched=watched) as rig:
                await watched.watches.get()
                watched.send(listing(3, host("a", one.address), whole=False))
                await until(lambda: rig.watch.seq == 3)
                watched.send(b'{"seq":4,"whole":true,"hosts":[')  # a line without an end
                watched.cut()
                assert await watched.watches.get() == "/discovery/hosts?follow=1&since=3"
                client = await rig.connect()
                assert (await client.ask(message("fix", "known"))).code == 200
                watched.send(listing(4, host("a", one.address, "left"), host("b", two.address), whole=False))
                await until(lambda: rig.watch.seq == 4)
                assert (await client.ask(message("fix", "moved"))).code == 200
                assert (len(one.requests), len(two.requests)) == (1, 1)

    run(test())


def test_a_silent_watch_is_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    """A watch without data for the time of two heartbeats is replaced: the host may have vanished."""
    monkeypatch.setattr(discovery, "WATCH_TIMEOUT_S", 0.1)

    async def test() -> None:
        async with agent() as watched, limiter(watched=watched):
            for _ in range(3):
                await watched.watches.get()

    run(test())


def test_requests_are_served_without_discovery() -> None:
    """Without discovery the known list stays in use."""

    async def test() -> None:
        async with backend(echo) as one, limiter(host("a", one.address)) as rig:
            task = asyncio.create_task(rig.watch.run())
            client = await rig.connect()
            for n in range(3):
                assert (await client.ask(message("fix", f"{n}"))).code == 200
                await asyncio.sleep(0.06)
            assert not task.done()
            task.cancel()

    run(test())


A, B = host("a", "127.0.0.1:1"), host("b", "127.0.0.1:2")


class WatchFixture:
    """A watch without a socket that records the lists it reports."""

    def __init__(self) -> None:
        self.lists: list[HostList] = []
        self.connection: Any = SimpleNamespace(awaits_first_list=True)
        self.watch = Watch(("127.0.0.1", 1), self.lists.append, Backoff(random.Random(1)))

    def receive(self, line: object) -> bool:
        raw = line if isinstance(line, bytes) else json.dumps(line).encode()
        try:
            [host_list] = JsonObjectStream().feed(raw)
        except MalformedStreamError:
            return False
        return self.watch.list_received(self.connection, host_list)


@pytest.mark.parametrize(
    "line",
    [
        b"nonsense",
        b"[1, 2]",
        b"null",
        b'{"seq": 9}',
        b'{"seq": 9, "whole": true, "hosts": null}',
        b'{"seq": "9", "whole": true, "hosts": []}',
        b'{"seq": true, "whole": true, "hosts": []}',
        b'{"whole": true, "hosts": []}',
        b"[" * 100_000,
        b'\xff\xfe{"seq": 9}',
    ],
)
def test_malformed_line(line: bytes) -> None:
    watch = WatchFixture()
    assert watch.receive(listing(3, A, B))
    assert not watch.receive(line)  # requests the list again
    assert (len(watch.lists), watch.watch.seq) == (1, 3)


@pytest.mark.parametrize(
    "wrong",
    [
        {"dial": "nowhere"},
        {"dial": "127.0.0.1:99999"},
        {"dial": 9},
        {"health": "merry"},
        {"health": []},
        {"born_ms": "NaN"},
        {"born_ms": 1e999},
        {"share": None},
        {"host": ""},
        {"host": ["a"]},
    ],
)
def test_malformed_entry(wrong: dict[str, object]) -> None:
    """Valid entries apply, but omitted servers are kept: the invalid entry may be one of them."""
    watch = WatchFixture()
    assert not watch.receive(listing(3, A, {**B, **wrong}))
    [got] = watch.lists
    assert (got.whole, [entry.name for entry in got.hosts]) == (False, ["a"])
    assert watch.watch.seq == 0


def test_repeated_and_late_lists_are_ignored() -> None:
    watch = WatchFixture()
    watch.receive(listing(3, A, B))
    for old in (listing(3), listing(2), listing(2, {**A, "health": "left"}, whole=False)):
        assert watch.receive(old)
    assert len(watch.lists) == 1
    watch.connection.awaits_first_list = True  # a new watch, whose first full list may have a lower version
    watch.receive(listing(1, A))
    assert (watch.watch.seq, len(watch.lists)) == (1, 2)


def test_departed_server_without_address() -> None:
    host_list, is_complete = parse_list(listing(3, {"host": "a", "health": "left"}, whole=False))
    assert is_complete and host_list.hosts[0].name == "a"


def test_start_is_converted_once() -> None:
    """A start reported repeatedly is converted once; otherwise each list would look like a restart."""

    async def test() -> None:
        async with agent() as watched:
            born = time.time() * 1000 - 3000
            async with limiter(host("a", "127.0.0.1:1", born_ms=born), watched=watched) as rig:
                await watched.watches.get()
                fleet = rig.limiter.decision_module.pools[0].servers
                before = fleet.records[0]
                for seq in range(2, 50):
                    watched.send(listing(seq, host("a", "127.0.0.1:1", born_ms=born)))
                await until(lambda: rig.watch.seq == 49)
                assert fleet.records[0] is before
                assert 2500 < rig.limiter.now() - before.entry.started_ms < 30_000

    run(test())


def test_server_with_a_new_address() -> None:
    """Requests go to the new address of a server."""

    async def test() -> None:
        async def send(number: int, server: Backend) -> None:
            assert (await client.ask(message("fix", f"{number}"))).code == 200
            assert len(server.requests) == 1

        async with backend(echo) as one, backend(echo) as two, agent() as watched:
            async with limiter(host("a", one.address), watched=watched) as rig:
                client = await rig.connect()
                await watched.watches.get()
                await send(1, one)
                watched.send(listing(2, host("a", two.address), whole=False))
                await one.requests[0].closed()
                await send(2, two)

    run(test())


def test_switch_to_another_agent() -> None:
    """The watch switches at once, the known list stays in use, and the new agent has its own versions."""

    async def test() -> None:
        async with backend(echo) as one, backend(echo) as two, agent() as old, agent() as new:
            async with limiter(host("a", one.address), watched=old) as rig:
                await old.watches.get()
                old.send(listing(41, host("a", one.address)))
                await until(lambda: rig.watch.seq == 41)
                rig.watch.set_address(new.address)
                assert await new.watches.get() == "/discovery/hosts?follow=1&since=0"
                client = await rig.connect()
                assert (await client.ask(message("fix", "known"))).code == 200
                new.send(listing(2, host("a", one.address, "leaving"), host("b", two.address)))
                await until(lambda: rig.watch.seq == 2)
                assert (await client.ask(message("fix", "moved"))).code == 200
                assert (len(one.requests), len(two.requests)) == (1, 1)

    run(test())


def test_switch_of_agent_during_a_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    """A watch that is waiting for its next call switches at once."""
    monkeypatch.setattr(Backoff, "next_delay_s", lambda self: 60.0)

    async def test() -> None:
        async with agent() as new, limiter() as rig:
            task = asyncio.create_task(rig.watch.run())
            await asyncio.sleep(0.05)
            rig.watch.set_address(new.address)
            await new.watches.get()
            task.cancel()

    run(test())


def test_removed_servers_leave_no_state() -> None:
    """Removed by a change or by omission, after their last request; numbers are not reused."""

    async def test() -> None:
        async with backend() as server, agent() as watched:
            async with limiter(host("s-0", server.address), watched=watched) as rig:
                fleet, numbers = rig.limiter.decision_module.pools[0].servers, set[int]()
                await watched.watches.get()
                client = await rig.connect()
                client.send(message("fix", "held"))
                pending = await server.arrived.get()
                for n in range(1, 200):
                    new = host(f"s-{n}", server.address)
                    if n % 2:
                        watched.send(listing(n + 1, new))
                    else:
                        left = {"host": f"s-{n - 1}", "health": "left"}
                        watched.send(listing(n + 1, new, left, whole=False))
                    await until(lambda n=n: rig.watch.seq == n + 1)  # type: ignore[misc]
                    assert len(rig.limiter.listed_servers.numbers) == len(rig.limiter._servers._servers) == 1
                    assert len(fleet.records) == 2  # the listed server and the one with a request in hand
                    numbers |= set(rig.limiter.listed_servers.numbers.values())
                assert len(numbers) == 199
                await echo(pending)
                assert (await client.answer()).body == b"held"
                assert len(fleet.records) == 1

    run(test())


def test_changes_of_one_read_are_applied_before_the_lease_is_renewed() -> None:
    """If the lease were renewed first, requests could go to a server whose drain has been read."""
    order: list[str] = []
    watch = Watch(
        ("127.0.0.1", 1),
        lambda changes: order.append(f"list {changes.seq}, {len(changes.hosts)} changed"),
        Backoff(random.Random(1)),
        on_lease_change=lambda: order.append("current"),
    )
    stream: Any = SimpleNamespace(awaits_first_list=True)
    watch.list_received(stream, listing(3, A))
    for version, entry in enumerate((A, {**A, "health": "leaving"}, B), start=4):
        watch.list_received(stream, listing(version, entry, whole=False))
    watch.read_finished()
    assert order == ["list 3, 1 changed", "list 6, 2 changed", "current"]


def test_an_invalid_entry_keeps_the_whole_read_from_renewing_the_lease() -> None:
    watch = WatchFixture()
    current: list[None] = []
    watch.watch._on_lease_change = lambda: current.append(None)
    watch.receive(listing(3, A))
    watch.receive(listing(4, {**A, "health": "leaving"}, whole=False))
    assert not watch.receive(listing(5, {**B, "dial": "nowhere"}, whole=False))
    watch.watch.read_finished()
    assert [hosts.hosts[0].state for hosts in watch.lists[:2]] == [ServerState.READY, ServerState.DRAINING]
    assert not current


def test_changes_in_quick_succession_are_read_together() -> None:
    async def test() -> None:
        nowhere = unused_address()
        async with agent() as watched, limiter(host("a", nowhere), watched=watched) as rig:
            await watched.watches.get()
            applied: list[HostList] = []
            on_list = rig.watch._on_list

            def count(lists: HostList) -> None:
                applied.append(lists)
                on_list(lists)

            rig.watch._on_list = count
            began = time.monotonic()
            for number in range(2, 302):
                watched.send(listing(number, host(f"d-{number}", nowhere), whole=False))
                await asyncio.sleep(0.001)
            await until(lambda: rig.limiter.known_seq == 301)
            assert len(applied) <= 3 + (time.monotonic() - began) / READ_BATCH_DELAY_S < 300
            assert sorted(entry.name for lists in applied for entry in lists.hosts) == sorted(
                f"d-{number}" for number in range(2, 302)
            )

    run(test())


class PauseCountingTransport:
    """Counts how often reading from a watch was paused."""

    def __init__(self) -> None:
        self.pauses = 0

    def pause_reading(self) -> None:
        self.pauses += 1

    def resume_reading(self) -> None:
        pass

    def is_closing(self) -> bool:
        return False


def test_a_list_received_byte_by_byte_is_not_delayed() -> None:
    """The bytes arrive in quick succession; reading may be paused only after the end of a list."""

    async def test() -> None:
        watch, transport = WatchFixture(), PauseCountingTransport()
        stream = discovery._WatchConnection(watch.watch)
        stream.connection_made(transport)  # type: ignore[arg-type]
        raw = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for version in range(1, 4):
            line = json.dumps(listing(version, A, B)).encode() + b"\n"
            raw += b"%x\r\n%s\r\n" % (len(line), line)
        for at in range(len(raw)):
            stream.data_received(raw[at : at + 1])
        assert [each.seq for each in watch.lists] == [1, 2, 3]
        assert transport.pauses <= 2

    run(test())
