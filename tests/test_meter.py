"""What the limiter makes of the metered use that servers' answers tell."""

from __future__ import annotations

import random
from collections.abc import Iterator
from itertools import count

import pytest
from sockets import Request, backend, host, limiter, message, run

METERED = {
    "contracts": [{"name": "basic", "rate": 100.0, "mostAtOnce": 100_000.0}],
    "specifics": {"mostUnits": 6, "meteringMs": 1000.0},
}
LAG_MS = 1100.0  # from a period's end until its use is told
LARGE, SMALL = 30.0, 3.0  # tries a second of one customer, and of each of twelve while it asks


def tries(rng: random.Random, seconds: int) -> Iterator[tuple[float, int, bool]]:
    """Time, customer and whether the try is ours; of the large one our part moves every few seconds."""
    now = 0.0
    asking, part = set(range(1, 13)), 0.5
    for second in range(seconds):
        if second % 4 == 0:
            part = rng.choice([0.15, 0.5, 0.8])
        asking = {n for n in range(1, 13) if rng.random() < (0.8 if n in asking else 0.3)}
        while (
            now := now + rng.expovariate((LARGE + SMALL * len(asking)) / 1000.0)
        ) < second * 1000.0 + 1000.0:
            large = rng.random() < LARGE / (LARGE + SMALL * len(asking)) or not asking
            customer = 0 if large else rng.choice(sorted(asking))
            yield now, customer, rng.random() < (part if large else 0.5)
        now = second * 1000.0 + 1000.0


@pytest.mark.parametrize("seed", [2, 3, 4])  # where both ways of learning part; others are too short
def test_the_lag_of_the_meter_is_learned_though_a_large_customer_moves(seed: int) -> None:
    """Else what we sent in one period is held against the use of another, and the store is misjudged."""

    async def test() -> None:
        told = "0"

        async def script(request: Request) -> None:
            request.reply("200 OK", b"x", f"X-RateLimit-Used: {told}")

        async with backend(script) as server:
            async with limiter(host("a", server.address), settings=METERED) as rig:
                start = rig.limiter.now() // 1000.0 * 1000.0 + 1000.0
                clock = [start]
                rig.limiter.now = lambda: clock[0]  # type: ignore[method-assign]
                client, sent, number = await rig.connect(), [], count()
                for now, customer, ours in tries(random.Random(seed), 20):
                    sent.append((now, customer))
                    if ours:
                        end = (now - LAG_MS) // 1000.0 * 1000.0
                        used = sum(1 for at, whose in sent if whose == customer and end - 1000.0 <= at < end)
                        clock[0], told = start + now, str(used)
                        key = {"X_Api_Key": f"{customer:016x}", "X_Call_Terms": "units=1,spread=2,first=0"}
                        answer = await client.ask(message(ident=f"id-{next(number)}", **key))
                        assert answer.code == 200
                last = (clock[0] - start - LAG_MS) // 1000.0 * 1000.0
                assert (
                    abs(rig.limiter.decision_module.meter_clock.reading_period(clock[0])[1] - start - last)
                    <= 150.0
                )

    run(test())
