"""Waiting in tests with several processes: on events, with a timeout that decides no result."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop

TEST_TIMEOUT_S = 90.0


def run(test: Coroutine[Any, Any, None], timeout_s: float = 3 * TEST_TIMEOUT_S) -> None:
    """Runs a test on the event loop that the program uses; fails a test that hangs."""

    async def bounded() -> None:
        async with asyncio.timeout(timeout_s):
            await test

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())


async def until(condition: Callable[[], bool], poll_interval_s: float = 0.005) -> None:
    """Waits until a condition holds, and checks it every `poll_interval_s`."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(poll_interval_s)
