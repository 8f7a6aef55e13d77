"""How tests over several processes wait: on events, with a patience that no verdict hangs on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop

TEST_TIMEOUT_S = 90.0


def run(test: Coroutine[Any, Any, None], timeout_s: float = 3 * TEST_TIMEOUT_S) -> None:
    """Run a test on the loop that the program uses; one that hangs fails."""

    async def bounded() -> None:
        async with asyncio.timeout(timeout_s):
            await test

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())


async def until(condition: Callable[[], bool], poll_interval_s: float = 0.005) -> None:
    """Wait for something to hold, with so long between two looks."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(poll_interval_s)
