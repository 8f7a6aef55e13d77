"""The first seconds of a limiter that starts under full load."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from sockets import SETTINGS, Backend, Client, Request, Rig, backend, host, limiter, message, run

AIMED = {"services": [{**service, "aimMs": 400.0} for service in SETTINGS["services"]]}
OUTSTANDING = 6  # slow requests at any time
SLOW_STEPS, STEP_MS, QUICK_MS = 15, 20.0, 5.0


@dataclass
class OutstandingRequest:
    """A request at the server, and its client."""

    client: Client
    request: Request

    async def end(self) -> None:
        self.request.reply(body=b"x")
        assert (await self.client.answer()).code == 200


async def ask(rig: Rig, server: Backend, ident: str) -> OutstandingRequest | None:
    """Sends a request; returns None if it is refused."""
    client = await rig.connect()
    client.send(message(ident=ident))
    answer, arrival = asyncio.create_task(client.answer()), asyncio.create_task(server.arrived.get())
    await asyncio.wait({answer, arrival}, return_when=asyncio.FIRST_COMPLETED)
    if answer.done():
        arrival.cancel()
        return None
    answer.cancel()
    await asyncio.wait({answer})
    return OutstandingRequest(client, arrival.result())


def test_the_caps_do_not_start_at_zero() -> None:
    """Fast responses among slow ones look like load; the constant number of requests has to stay allowed."""

    async def test() -> None:
        async with backend() as server, limiter(host("a", server.address), settings=AIMED) as rig:
            clock = [rig.limiter.now()]
            rig.limiter.now = lambda: clock[0]  # type: ignore[method-assign]
            outstanding: list[OutstandingRequest | None] = []
            refused = 0
            for step in range(80):
                while len(outstanding) < OUTSTANDING:
                    outstanding.append(await ask(rig, server, f"slow-{step}-{len(outstanding)}"))
                quick = await ask(rig, server, f"quick-{step}")
                clock[0] += QUICK_MS
                if quick:
                    await quick.end()
                clock[0] += STEP_MS - QUICK_MS
                if step % (SLOW_STEPS // OUTSTANDING) == 0 and (oldest := outstanding.pop(0)):
                    await oldest.end()
                refused += (quick is None) + outstanding.count(None)
                outstanding = [each for each in outstanding if each]
            assert not refused

    run(test())
