"""The limiter's use of the metered usage that servers report in their responses."""

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
LAG_MS = 1100.0  # from a period's end until its use is reported
LARGE, SMALL = 30.0, 3.0  # requests/s of one customer, and of each of twelve others while active


def generate_requests(rng: random.Random, seconds: int) -> Iterator[tuple[float, int, bool]]:
    """Yields time, customer and whether this limiter gets the request; its share of the large one varies."""
    now = 0.0
    active, share = set(range(1, 13)), 0.5
    for second in range(seconds):
        if second % 4 == 0:
            share = rng.choice([0.15, 0.5, 0.8])
        active = {n for n in range(1, 13) if rng.random() < (0.8 if n in active else 0.3)}
        while (
            now := now + rng.expovariate((LARGE + SMALL * len(active)) / 1000.0)
        ) < second * 1000.0 + 1000.0:
            large = rng.random() < LARGE / (LARGE + SMALL * len(active)) or not active
            customer = 0 if large else rng.choice(sorted(active))
            yield now, customer, rng.random() < (share if large else 0.5)
        now = second * 1000.0 + 1000.0


# These seeds distinguish the two ways of learning within the short run; others do not.
@pytest.mark.parametrize("seed", [2, 3, 4])
def test_the_meter_lag_is_learned_although_a_large_customers_share_varies(seed: int) -> None:
    """A wrong lag compares the draws of one period with the use of another and falsifies the quota bucket."""

    async def test() -> None:
        reported = "0"

        async def script(request: Request) -> None:
            request.reply("200 OK", b"x", f"X-RateLimit-Used: {reported}")

        async with backend(script) as server:
            async with limiter(host("a", server.address), settings=METERED) as rig:
                start = rig.limiter.now() // 1000.0 * 1000.0 + 1000.0
                clock = [start]
                rig.limiter.now = lambda: clock[0]  # type: ignore[method-assign]
                client, sent, number = await rig.connect(), [], count()
                for now, customer, is_local in generate_requests(random.Random(seed), 20):
                    sent.append((now, customer))
                    if is_local:
                        end = (now - LAG_MS) // 1000.0 * 1000.0
                        used = sum(
                            1 for at, sender in sent if sender == customer and end - 1000.0 <= at < end
                        )
                        clock[0], reported = start + now, str(used)
                        key = {"X_Api_Key": f"{customer:016x}", "X_Call_Terms": "units=1,spread=2,first=0"}
                        answer = await client.ask(message(ident=f"id-{next(number)}", **key))
                        assert answer.code == 200
                last = (clock[0] - start - LAG_MS) // 1000.0 * 1000.0
                assert (
                    abs(rig.limiter.decision_module.meter_clock.reading_period(clock[0])[1] - start - last)
                    <= 150.0
                )

    run(test())
