"""Many connections with incomplete requests must not keep other clients out."""

from __future__ import annotations

import asyncio
import resource
from pathlib import Path

from sockets import backend, echo, host, message, run
from test_process import program

DESCRIPTORS = 512
INCOMPLETE = 1500  # three times the descriptors of the limiter; each sends part of a head
COMPLETE = 100
# Bytes of a concurrent upload; a hundredth of it in each round is far above MIN_BODY_BYTES_PER_S.
LONG = 4_000_000


def test_requests_on_new_connections_are_served_among_incomplete_ones(tmp_path: Path) -> None:
    def limit() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))

    async def test() -> None:
        async with (
            backend(echo) as server,
            program(tmp_path, host("a", server.address), limit=limit, sockets=DESCRIPTORS) as made,
        ):
            slow = await made.connect()
            slow.send(message("upload", "slow", Content_Length=str(LONG)) + b"x" * (LONG // 4))
            incomplete = []

            async def send_part() -> None:
                client = await made.connect()
                client.send(message("fix")[:40])
                incomplete.append(client)

            async def send_complete(n: int) -> None:
                client = await made.connect()
                assert (await client.ask(message("fix", f"complete-{n}"))).body == f"complete-{n}".encode()
                client.close()

            for n in range(COMPLETE):
                async with asyncio.TaskGroup() as group:
                    for _ in range(INCOMPLETE // COMPLETE):
                        group.create_task(send_part())
                await send_complete(n)
                slow.send(b"x" * (LONG * 3 // 4 // COMPLETE))
            # The slow upload is the oldest and has made progress all the time.
            assert (await slow.answer()).body == b"slow"
            for client in incomplete:
                client.close()
            assert "Traceback" not in (tmp_path / "log").read_text()

    run(test())
