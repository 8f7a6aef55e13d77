"""A start while the machine lacks descriptors or memory: the process waits for room, and does not end."""

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
def test_a_listening_socket_is_made_once_there_is_room(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    real, left = listening.open_listener, [5]

    def strained(address: tuple[str, int], backlog: int) -> socket.socket:
        if left[0]:
            left[0] -= 1
            number = getattr(errno, name)
            raise OSError(number, os.strerror(number))
        return real(address, backlog)

    monkeypatch.setattr(listening, "open_listener", strained)

    async def test() -> None:
        made = await open_listener_when_free(("127.0.0.1", 0), 16)
        assert made.getsockname()[1] and not left[0]
        made.close()

    run(test())


def test_trouble_that_does_not_pass_is_told(monkeypatch: pytest.MonkeyPatch) -> None:
    def denied(address: tuple[str, int], backlog: int) -> socket.socket:
        raise OSError(errno.EACCES, "Permission denied")

    monkeypatch.setattr(listening, "open_listener", denied)
    with pytest.raises(PermissionError):
        run(open_listener_when_free(("127.0.0.1", 1), 16))


def test_an_address_that_stays_in_use_is_told_in_the_end() -> None:
    async def test() -> Any:
        with socket.create_server(("127.0.0.1", 0)) as held:
            begun = asyncio.get_running_loop().time()
            with pytest.raises(OSError, match="in use"):
                await open_listener_when_free(held.getsockname()[:2], 16, 0.2)
            assert asyncio.get_running_loop().time() - begun >= 0.15
            freed = asyncio.create_task(open_listener_when_free(held.getsockname()[:2], 16))
            await asyncio.sleep(0.05)
            assert not freed.done()
            held.close()
        await until(freed.done)
        freed.result().close()

    run(test())
