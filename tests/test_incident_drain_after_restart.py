"""The incident of 2026-12-02: nothing goes to a server whose drain discovery's agent has, beyond the grace.

Real processes over loopback: a limiter, two servers, discovery's agent with a slow first answer, clients that
ask without pause. The page of the incident: docs/incidents/2026-12-02-drain-after-restart.md.
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

GRACE_S = 0.25 + 0.05  # the settings' drainGraceMs, and the protocol page's slack
FIRST_RESPONSE_DELAY_S = 0.9  # until the agent's first word: the machine is busy, or the agent is


class Arrivals:
    """When each request came to a server, monotonic seconds."""

    def __init__(self) -> None:
        self.at: list[float] = []

    async def answer(self, request: Request) -> None:
        self.at.append(monotonic())
        await echo(request)

    def after(self, moment: float) -> list[float]:
        return [round(at - moment, 3) for at in self.at if at > moment]


@contextlib.asynccontextmanager
async def continuous_requests(limiter: LimiterProcess) -> AsyncIterator[None]:
    """A client that asks again and again, over a new connection where the old one has gone."""
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


def run_scenario(path: Path, story: Scenario) -> None:
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
                    await story(limiter, agent, registry, first, second, one)
            finally:
                await limiter.kill()
                await agent.close()

    run(test())


def test_a_restarted_limiter_sends_nothing_to_a_server_that_began_to_drain_while_it_was_dead(
    tmp_path: Path,
) -> None:
    """The incident itself: killed, a drain is told, started with the list of before, a late first answer."""

    async def story(
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
        await asyncio.sleep(FIRST_RESPONSE_DELAY_S + 0.5)  # past the agent's first word
        served = len(second.at)
        await until(lambda: len(second.at) > served + 5)
        assert first.after(limiter.started_at + GRACE_S) == []

    run_scenario(tmp_path, story)


def test_a_limiter_whose_watch_was_reset_sends_nothing_to_a_server_that_began_to_drain_meanwhile(
    tmp_path: Path,
) -> None:
    """The same mistake in a process that runs on: its watch is reset, and the next first word is late."""

    async def story(
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
        told = agent.versions[-1][0]
        await asyncio.sleep(FIRST_RESPONSE_DELAY_S + 0.5)
        served = len(second.at)
        await until(lambda: len(second.at) > served + 5)
        assert first.after(told + GRACE_S) == []

    run_scenario(tmp_path, story)
