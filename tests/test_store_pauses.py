"""Stopped replicas that keep their connections open: clients move to another replica within a few seconds."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

from storeprocs import TEST_TIMEOUT_S, Cluster, cluster
from waiting import run

# Without liveness checks by the client each of these takes over 8 s; with them about 1 s.
MAX_DURATION_S = 5.0


async def order_by_leadership(replicas: Cluster, leader_first: bool) -> list[str]:
    """Returns all names, with the leader first or last."""
    leader = await replicas.leader()
    others = [name for name in replicas.names if name != leader]
    return [leader, *others] if leader_first else [*others, leader]


def test_writes_and_reads_continue_when_the_connected_leader_is_stopped(tmp_path: Path) -> None:
    async def test() -> None:
        with cluster(tmp_path) as replicas:
            names = await order_by_leadership(replicas, leader_first=True)
            client = replicas.client(*names)
            await client.put("k", b"1", within_s=TEST_TIMEOUT_S)
            replicas.running[names[0]].send_signal(signal.SIGSTOP)
            began = time.monotonic()
            await client.put("k", b"2", within_s=TEST_TIMEOUT_S)
            wrote = time.monotonic() - began
            value = await client.get("k", within_s=TEST_TIMEOUT_S)
            client.close()
            assert value and value.value == b"2"
            assert wrote < MAX_DURATION_S

    run(test())


def test_a_request_forwarded_to_a_stopped_leader_is_retried(tmp_path: Path) -> None:
    async def test() -> None:
        with cluster(tmp_path) as replicas:
            names = await order_by_leadership(replicas, leader_first=False)
            # Connects to a follower, which keeps running and has a new leader within a second.
            client = replicas.client(*names)
            await client.put("k", b"1", within_s=TEST_TIMEOUT_S)
            replicas.running[names[-1]].send_signal(signal.SIGSTOP)
            began = time.monotonic()
            await client.put("k", b"2", within_s=TEST_TIMEOUT_S)
            client.close()
            assert time.monotonic() - began < MAX_DURATION_S

    run(test())


def test_a_watch_moves_away_from_a_stopped_replica(tmp_path: Path) -> None:
    async def test() -> None:
        with cluster(tmp_path) as replicas:
            names = await order_by_leadership(replicas, leader_first=False)
            watcher, writer = replicas.client(*names), replicas.client(names[-1])
            seen: asyncio.Queue[bytes] = asyncio.Queue()
            await writer.put("k", b"1", within_s=TEST_TIMEOUT_S)

            async def follow() -> None:
                async for events, _ in watcher.watch("k", 1):
                    for event in events:
                        if event.value:
                            seen.put_nowait(event.value.value)

            task = asyncio.create_task(follow())
            assert await seen.get() == b"1"
            replicas.running[names[0]].send_signal(signal.SIGSTOP)
            began = time.monotonic()
            await writer.put("k", b"2", within_s=TEST_TIMEOUT_S)
            assert await seen.get() == b"2"
            assert time.monotonic() - began < MAX_DURATION_S
            task.cancel()
            watcher.close()
            writer.close()

    run(test())
