"""Faults that close no connection: a replica that stands still costs those who ask it little."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

from storeprocs import TEST_TIMEOUT_S, Cluster, cluster
from waiting import run

# Before the client looked after the replica that it asks, each of these took over 8 s; now some 1 s.
BOUND_S = 5.0


async def first(made: Cluster, leads: bool) -> list[str]:
    """All names, the leader first or last."""
    leader = await made.leader()
    others = [name for name in made.names if name != leader]
    return [leader, *others] if leads else [*others, leader]


def test_writes_and_reads_go_on_where_the_leader_that_is_asked_stands_still(tmp_path: Path) -> None:
    async def test() -> None:
        with cluster(tmp_path) as made:
            names = await first(made, leads=True)
            client = made.client(*names)
            await client.put("k", b"1", within_s=TEST_TIMEOUT_S)
            made.running[names[0]].send_signal(signal.SIGSTOP)
            began = time.monotonic()
            await client.put("k", b"2", within_s=TEST_TIMEOUT_S)
            wrote = time.monotonic() - began
            value = await client.get("k", within_s=TEST_TIMEOUT_S)
            client.close()
            assert value and value.value == b"2"
            assert wrote < BOUND_S

    run(test())


def test_a_request_that_was_passed_on_to_a_leader_that_stands_still_is_asked_again(tmp_path: Path) -> None:
    async def test() -> None:
        with cluster(tmp_path) as made:
            names = await first(made, leads=False)
            client = made.client(*names)  # asks a follower, which stays and has a new leader within a second
            await client.put("k", b"1", within_s=TEST_TIMEOUT_S)
            made.running[names[-1]].send_signal(signal.SIGSTOP)
            began = time.monotonic()
            await client.put("k", b"2", within_s=TEST_TIMEOUT_S)
            client.close()
            assert time.monotonic() - began < BOUND_S

    run(test())


def test_a_watch_moves_on_from_a_replica_that_stands_still(tmp_path: Path) -> None:
    async def test() -> None:
        with cluster(tmp_path) as made:
            names = await first(made, leads=False)
            watcher, writer = made.client(*names), made.client(names[-1])
            seen: asyncio.Queue[bytes] = asyncio.Queue()
            await writer.put("k", b"1", within_s=TEST_TIMEOUT_S)

            async def follow() -> None:
                async for events, _ in watcher.watch("k", 1):
                    for event in events:
                        if event.value:
                            seen.put_nowait(event.value.value)

            task = asyncio.create_task(follow())
            assert await seen.get() == b"1"
            made.running[names[0]].send_signal(signal.SIGSTOP)
            began = time.monotonic()
            await writer.put("k", b"2", within_s=TEST_TIMEOUT_S)
            assert await seen.get() == b"2"
            assert time.monotonic() - began < BOUND_S
            task.cancel()
            watcher.close()
            writer.close()

    run(test())
