"""Memory and descriptors count for all processes of a limiter together, also while two of them serve."""

from __future__ import annotations

from typing import Any

from sockets import Backend, Client, backend, message, run, until
from test_handover import Platform, Process, platform
from test_open_ids import stopped

BODY_BYTES = 60_000
MEMORY_MB = 24  # leaves 1 MiB for bodies beside the program
MAX_BODY_BYTES = 1 << 20
SOCKETS = 72  # leaves 16 connections to servers
MAX_SERVER_CONNECTIONS = 16


async def two_processes(platform_: Platform, **limits: Any) -> list[Process]:
    platform_.raw["limits"] = {**platform_.raw["limits"], **limits}
    return [await platform_.start(), await platform_.start()]


async def send_all(
    platform_: Platform, server: Backend, processes: list[Process], count: int, body: bytes = b""
) -> None:
    """Sends requests to each of the processes; returns once each is at the server or has its answer."""
    for process in processes:
        clients, before = [], len(server.requests)
        others = [each for each in processes if each is not process]
        async with stopped(*others):
            for number in range(count):
                client = await platform_.connect()
                ident = f"{platform_.started.index(process)}-{number}"
                key = f"{number:032x}"
                client.send(message("upload", ident, body, Idempotency_Key=key))
                clients.append(client)
            await until(lambda before=before, clients=clients: _settled(server, clients) >= before + count)


def _settled(server: Backend, clients: list[Client]) -> int:
    answered = sum(bool(client.reader._buffer) for client in clients)  # type: ignore[attr-defined]
    return len(server.requests) + answered


def test_bodies_of_two_processes_share_the_memory() -> None:
    """Guards against a limiter over its memory during an upgrade: each process had room for all bodies."""

    async def test() -> None:
        async with backend() as server, platform(server) as platform_:
            processes = await two_processes(platform_, memory_mb=MEMORY_MB)
            count = MAX_BODY_BYTES // BODY_BYTES
            await send_all(platform_, server, processes, count, b"x" * BODY_BYTES)
            assert 0.7 * MAX_BODY_BYTES < len(server.requests) * BODY_BYTES <= MAX_BODY_BYTES

    run(test())


def test_connections_of_two_processes_to_servers_share_the_descriptors() -> None:
    """Guards against a limiter over its descriptors during an upgrade: each process had all for servers."""

    async def test() -> None:
        async with backend() as server, platform(server) as platform_:
            processes = await two_processes(platform_, sockets=SOCKETS)
            await send_all(platform_, server, processes, MAX_SERVER_CONNECTIONS // 2 + 2)
            assert MAX_SERVER_CONNECTIONS // 2 < server.connections <= MAX_SERVER_CONNECTIONS

    run(test())
