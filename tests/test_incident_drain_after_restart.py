"""The incident of 2026-12-02: a limiter sent requests to a draining server for longer than the drain grace.

Real processes over loopback: a limiter, two servers, a discovery agent with a slow first response and a
client that sends requests continuously. Report: docs/incidents/2026-12-02-drain-after-restart.md.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from time import monotonic

from limiterprocs import LimiterProcess
from sockets import Backend, Request, backend, echo, host, message, run, until

from basaltpoint.standins.discovery import Agent, Registry

GRACE_S = 0.25 + 0.05  # drainGraceMs of the settings, and the tolerance on the protocol page
FIRST_RESPONSE_DELAY_S = 0.9  # of a busy host or agent


class Arrivals:
    """Records when each request arrived at a server, monotonic seconds."""

    def __init__(self) -> None:
        self.at: list[float] = []

    async def answer(self, request: Request) -> None:
        self.at.append(monotonic())
        await echo(request)

    def after(self, moment: float) -> list[float]:
        return [round(at - moment, 3) for at in self.at if at > moment]


@contextlib.asynccontextmanager
async def continuous_requests(limiter: LimiterProcess) -> AsyncIterator[None]:
    """A client that sends requests continuously and reconnects when its connection is closed."""
    numbers = itertools.count()

    async def ask() -> None:
        while True:
            client = await limiter.connect()
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while True:
                    await client.ask(message("read", f"{next(numbers):016x}", Req_Deadline="1.0"))
                    await asyncio.sleep(0.01)

    task = asyncio.create_task(ask())
    try:
        yield
    finally:
        task.cancel()


Scenario = Callable[[LimiterProcess, Agent, Registry, Arrivals, Arrivals, Backend], Awaitable[None]]


def run_scenario(path: Path, scenario: Scenario) -> None:
    async def test() -> None:
        first, second, limiter = Arrivals(), Arrivals(), LimiterProcess(path)
        async with backend(first.answer) as one, backend(second.answer) as two:
            registry = Registry([host("a", one.address), host("b", two.address)])
            agent = Agent(registry, random.Random(1))
            await agent.start()
            try:
                await limiter.start(agent.address, registry.list_at(1))
                await limiter.up()
                async with continuous_requests(limiter):
                    await until(lambda: len(first.at) > 5 and len(second.at) > 5)
                    await scenario(limiter, agent, registry, first, second, one)
            finally:
                await limiter.kill()
                await agent.close()

    run(test())


def test_a_restarted_limiter_sends_nothing_to_a_server_drained_meanwhile(
    tmp_path: Path,
) -> None:
    """A drain is announced while the limiter is down; it restarts from its old list and discovery is slow."""

    async def scenario(
        limiter: LimiterProcess,
        agent: Agent,
        registry: Registry,
        first: Arrivals,
        second: Arrivals,
        one: Backend,
    ) -> None:
        await limiter.kill()
        registry.apply_change(host("a", one.address, "leaving"))
        await until(lambda: agent.version == 2)
        agent.faults.response_delay_s = (FIRST_RESPONSE_DELAY_S, FIRST_RESPONSE_DELAY_S)
        await limiter.start(agent.address, registry.list_at(1))
        await asyncio.sleep(FIRST_RESPONSE_DELAY_S + 0.5)  # until after the agent's first byte
        served = len(second.at)
        await until(lambda: len(second.at) > served + 5)
        assert first.after(limiter.started_at + GRACE_S) == []

    run_scenario(tmp_path, scenario)


def test_a_limiter_with_a_reset_watch_sends_nothing_to_a_server_drained_meanwhile(
    tmp_path: Path,
) -> None:
    """The same fault in a running process: its watch is reset, and the next first response is late."""

    async def scenario(
        limiter: LimiterProcess,
        agent: Agent,
        registry: Registry,
        first: Arrivals,
        second: Arrivals,
        one: Backend,
    ) -> None:
        agent.faults.response_delay_s = (FIRST_RESPONSE_DELAY_S, FIRST_RESPONSE_DELAY_S)
        agent.reset_watches()
        registry.apply_change(host("a", one.address, "leaving"))
        await until(lambda: agent.version == 2)
        announced_at = agent.versions[-1][0]
        await asyncio.sleep(FIRST_RESPONSE_DELAY_S + 0.5)
        served = len(second.at)
        await until(lambda: len(second.at) > served + 5)
        assert first.after(announced_at + GRACE_S) == []

    run_scenario(tmp_path, scenario)
