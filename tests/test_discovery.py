"""The watch on the wire: what it tells, what breaks it and what must not."""

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


def test_drain_told_mid_flight() -> None:
    """What is out is finished; free connections close, and nothing new goes there."""

    async def test() -> None:
        async with backend() as one, backend(echo) as two, agent() as watched:
            a = host("a", one.address)
            async with limiter(a, watched=watched) as rig:
                client, other = await rig.connect(), await rig.connect()
                client.send(message("fix", "first"))
                held = await one.arrived.get()
                assert await watched.watches.get() == "/discovery/hosts?follow=1&since=1"
                watched.send(
                    listing(2, host("a", one.address, "leaving"), host("b", two.address), whole=False)
                )
                await until(lambda: rig.watch.seq == 2)
                for n in range(5):
                    assert (await other.ask(message("fix", f"next-{n}"))).code == 200
                await echo(held)
                assert (await client.answer()).body == b"first"
                await held.closed()
                assert (len(one.requests), len(two.requests)) == (1, 5)

    run(test())


def test_absent_from_a_whole_list() -> None:
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


def test_watch_cut_and_resumed() -> None:
    async def test() -> None:
        async with backend(echo) as one, backend(echo) as two, agent() as watched:
            async with limiter(host("a", one.address), watched=watched) as rig:
                await watched.watches.get()
                watched.send(listing(3, host("a", one.address), whole=False))
                await until(lambda: rig.watch.seq == 3)
                watched.send(b'{"seq":4,"whole":true,"hosts":[')  # a line that never ends
                watched.cut()
                assert await watched.watches.get() == "/discovery/hosts?follow=1&since=3"
                client = await rig.connect()
                assert (await client.ask(message("fix", "known"))).code == 200
                watched.send(listing(4, host("a", one.address, "left"), host("b", two.address), whole=False))
                await until(lambda: rig.watch.seq == 4)
                assert (await client.ask(message("fix", "moved"))).code == 200
                assert (len(one.requests), len(two.requests)) == (1, 1)

    run(test())


def test_silent_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    """No word within the time of two empty lines: the machine may have vanished."""
    monkeypatch.setattr(discovery, "WATCH_TIMEOUT_S", 0.1)

    async def test() -> None:
        async with agent() as watched, limiter(watched=watched):
            for _ in range(3):
                await watched.watches.get()

    run(test())


def test_refused_and_lost_agent() -> None:
    """Without discovery the list that is known serves on."""

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
    """A watch's lines without a socket: what it hands on."""

    def __init__(self) -> None:
        self.lists: list[HostList] = []
        self.stream: Any = SimpleNamespace(awaits_first_list=True)
        self.watch = Watch(("127.0.0.1", 1), self.lists.append, Backoff(random.Random(1)))

    def receive(self, line: object) -> bool:
        raw = line if isinstance(line, bytes) else json.dumps(line).encode()
        try:
            [told] = JsonObjectStream().feed(raw)
        except MalformedStreamError:
            return False
        return self.watch.list_received(self.stream, told)


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
    told = WatchFixture()
    assert told.receive(listing(3, A, B))
    assert not told.receive(line)  # asked for again
    assert (len(told.lists), told.watch.seq) == (1, 3)


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
    """The others of its list count, but what it leaves out is not gone: it may be that entry."""
    told = WatchFixture()
    assert not told.receive(listing(3, A, {**B, **wrong}))
    [got] = told.lists
    assert (got.whole, [entry.name for entry in got.hosts]) == (False, ["a"])
    assert told.watch.seq == 0


def test_repeats_and_stragglers() -> None:
    told = WatchFixture()
    told.receive(listing(3, A, B))
    for old in (listing(3), listing(2), listing(2, {**A, "health": "left"}, whole=False)):
        assert told.receive(old)
    assert len(told.lists) == 1
    told.stream.awaits_first_list = True  # a new watch: its first line, when whole, is where discovery stands
    told.receive(listing(1, A))
    assert (told.watch.seq, len(told.lists)) == (1, 2)


def test_left_without_address() -> None:
    told, sound = parse_list(listing(3, {"host": "a", "health": "left"}, whole=False))
    assert sound and told.hosts[0].name == "a"


def test_start_is_converted_once() -> None:
    """A start told twice is the same start; else each list would look like a restart."""

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


def test_moved_server() -> None:
    """A server that comes back at another address is reached there."""

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


def test_moved_agent() -> None:
    """The watch moves at once, the known list serves on, and versions that begin anew count."""

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


def test_moved_while_none_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    """A watch that waits before its next try moves without waiting any longer."""
    monkeypatch.setattr(Backoff, "next_delay_s", lambda self: 60.0)

    async def test() -> None:
        async with agent() as new, limiter() as rig:
            task = asyncio.create_task(rig.watch.run())
            await asyncio.sleep(0.05)
            rig.watch.set_address(new.address)
            await new.watches.get()
            task.cancel()

    run(test())


def test_servers_that_are_gone_are_forgotten() -> None:
    """By a change or by absence; one with work out once that has ended, and no number comes twice."""

    async def test() -> None:
        async with backend() as server, agent() as watched:
            async with limiter(host("s-0", server.address), watched=watched) as rig:
                fleet, numbers = rig.limiter.decision_module.pools[0].servers, set[int]()
                await watched.watches.get()
                client = await rig.connect()
                client.send(message("fix", "held"))
                held = await server.arrived.get()
                for n in range(1, 200):
                    new = host(f"s-{n}", server.address)
                    if n % 2:
                        watched.send(listing(n + 1, new))
                    else:
                        left = {"host": f"s-{n - 1}", "health": "left"}
                        watched.send(listing(n + 1, new, left, whole=False))
                    await until(lambda n=n: rig.watch.seq == n + 1)  # type: ignore[misc]
                    assert len(rig.limiter.listed_servers.numbers) == len(rig.limiter._servers._servers) == 1
                    assert len(fleet.records) == 2  # and the one with work out
                    numbers |= set(rig.limiter.listed_servers.numbers.values())
                assert len(numbers) == 199
                await echo(held)
                assert (await client.answer()).body == b"held"
                assert len(fleet.records) == 1

    run(test())


def test_what_came_together_is_applied_before_it_counts_as_current() -> None:
    """A lease that is renewed first would let requests out to a server whose drain is read already."""
    order: list[str] = []
    watch = Watch(
        ("127.0.0.1", 1),
        lambda told: order.append(f"list {told.seq}, {len(told.hosts)} changed"),
        Backoff(random.Random(1)),
        on_lease_change=lambda: order.append("current"),
    )
    stream: Any = SimpleNamespace(awaits_first_list=True)
    watch.list_received(stream, listing(3, A))
    for version, entry in enumerate((A, {**A, "health": "leaving"}, B), start=4):
        watch.list_received(stream, listing(version, entry, whole=False))
    watch.read_finished()
    assert order == ["list 3, 1 changed", "list 6, 2 changed", "current"]


def test_an_entry_that_can_not_be_read_keeps_all_that_came_with_it_from_counting_as_current() -> None:
    told = WatchFixture()
    current: list[None] = []
    told.watch._on_lease_change = lambda: current.append(None)
    told.receive(listing(3, A))
    told.receive(listing(4, {**A, "health": "leaving"}, whole=False))
    assert not told.receive(listing(5, {**B, "dial": "nowhere"}, whole=False))
    told.watch.read_finished()
    assert [hosts.hosts[0].state for hosts in told.lists[:2]] == [ServerState.READY, ServerState.DRAINING]
    assert not current


def test_changes_that_follow_closely_are_read_together() -> None:
    async def test() -> None:
        nowhere = unused_address()
        async with agent() as told, limiter(host("a", nowhere), watched=told) as rig:
            await told.watches.get()
            applied: list[HostList] = []
            listed = rig.watch._on_list

            def count(lists: HostList) -> None:
                applied.append(lists)
                listed(lists)

            rig.watch._on_list = count
            began = time.monotonic()
            for number in range(2, 302):
                told.send(listing(number, host(f"d-{number}", nowhere), whole=False))
                await asyncio.sleep(0.001)
            await until(lambda: rig.limiter.known_seq == 301)
            assert len(applied) <= 3 + (time.monotonic() - began) / READ_BATCH_DELAY_S < 300
            assert sorted(entry.name for lists in applied for entry in lists.hosts) == sorted(
                f"d-{number}" for number in range(2, 302)
            )

    run(test())


class SlowTransport:
    """Counts how often a watch was not read for a while."""

    def __init__(self) -> None:
        self.pauses = 0

    def pause_reading(self) -> None:
        self.pauses += 1

    def resume_reading(self) -> None:
        pass

    def is_closing(self) -> bool:
        return False


def test_a_list_that_comes_byte_by_byte_is_not_kept_waiting() -> None:
    """Each byte follows closely on the one before; only the end of a list may be followed by a wait."""

    async def test() -> None:
        told, transport = WatchFixture(), SlowTransport()
        stream = discovery._WatchConnection(told.watch)
        stream.connection_made(transport)  # type: ignore[arg-type]
        raw = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for version in range(1, 4):
            line = json.dumps(listing(version, A, B)).encode() + b"\n"
            raw += b"%x\r\n%s\r\n" % (len(line), line)
        for at in range(len(raw)):
            stream.data_received(raw[at : at + 1])
        assert [each.seq for each in told.lists] == [1, 2, 3]
        assert transport.pauses <= 2

    run(test())
