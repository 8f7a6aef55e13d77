"""Start while the host lacks descriptors or memory: the process retries to listen and does not exit."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from typing import Any

import pytest
from waiting import run, until

from basaltpoint.system import listening
from basaltpoint.system.listening import open_listener_when_free


@pytest.mark.parametrize("name", ["ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EADDRINUSE"])
def test_listening_is_retried_until_resources_are_available(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    original, failures_left = listening.open_listener, [5]

    def failing_listener(address: tuple[str, int], backlog: int) -> socket.socket:
        if failures_left[0]:
            failures_left[0] -= 1
            number = getattr(errno, name)
            raise OSError(number, os.strerror(number))
        return original(address, backlog)

    monkeypatch.setattr(listening, "open_listener", failing_listener)

    async def test() -> None:
        sock = await open_listener_when_free(("127.0.0.1", 0), 16)
        assert sock.getsockname()[1] and not failures_left[0]
        sock.close()

    run(test())


def test_a_permanent_error_is_raised_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    def denied(address: tuple[str, int], backlog: int) -> socket.socket:
        raise OSError(errno.EACCES, "Permission denied")

    monkeypatch.setattr(listening, "open_listener", denied)
    with pytest.raises(PermissionError):
        run(open_listener_when_free(("127.0.0.1", 1), 16))


def test_an_address_in_use_is_retried_and_raised_in_the_end() -> None:
    async def test() -> Any:
        with socket.create_server(("127.0.0.1", 0)) as occupied:
            started_at = asyncio.get_running_loop().time()
            with pytest.raises(OSError, match="in use"):
                await open_listener_when_free(occupied.getsockname()[:2], 16, 0.2)
            assert asyncio.get_running_loop().time() - started_at >= 0.15
            freed = asyncio.create_task(open_listener_when_free(occupied.getsockname()[:2], 16))
            await asyncio.sleep(0.05)
            assert not freed.done()
            occupied.close()
        await until(freed.done)
        freed.result().close()

    run(test())
