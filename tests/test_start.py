"""The first seconds of a limiter that starts under full load."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from sockets import SETTINGS, Backend, Client, Request, Rig, backend, host, limiter, message, run

AIMED = {"services": [{**service, "aimMs": 400.0} for service in SETTINGS["services"]]}
HELD = 6  # slow requests that are out at any time
SLOW_STEPS, STEP_MS, QUICK_MS = 15, 20.0, 5.0


@dataclass
class Out:
    """A request that the server has, and its client."""

    client: Client
    request: Request

    async def end(self) -> None:
        self.request.reply(body=b"x")
        assert (await self.client.answer()).code == 200


async def ask(rig: Rig, server: Backend, ident: str) -> Out | None:
    """Send a request on; None where it is refused."""
    client = await rig.connect()
    client.send(message(ident=ident))
    answer, arrival = asyncio.create_task(client.answer()), asyncio.create_task(server.arrived.get())
    await asyncio.wait({answer, arrival}, return_when=asyncio.FIRST_COMPLETED)
    if answer.done():
        arrival.cancel()
        return None
    answer.cancel()
    await asyncio.wait({answer})
    return Out(client, arrival.result())


def test_the_caps_do_not_begin_at_nothing() -> None:
    """Quick answers beside slow ones look like load; as many as are out all the time may stay out."""

    async def test() -> None:
        async with backend() as server, limiter(host("a", server.address), settings=AIMED) as rig:
            clock = [rig.limiter.now()]
            rig.limiter.now = lambda: clock[0]  # type: ignore[method-assign]
            held: list[Out | None] = []
            refused = 0
            for step in range(80):
                while len(held) < HELD:
                    held.append(await ask(rig, server, f"slow-{step}-{len(held)}"))
                quick = await ask(rig, server, f"quick-{step}")
                clock[0] += QUICK_MS
                if quick:
                    await quick.end()
                clock[0] += STEP_MS - QUICK_MS
                if step % (SLOW_STEPS // HELD) == 0 and (oldest := held.pop(0)):
                    await oldest.end()
                refused += (quick is None) + held.count(None)
                held = [out for out in held if out]
            assert not refused

    run(test())
