"""The part of a customer's quota that is kept for the requests of highest worth."""

from __future__ import annotations

from sockets import SETTINGS, Request, backend, host, limiter, message, run

READ, UPLOAD, FIX = SETTINGS["services"]


def scarce_quota(read_points: float) -> dict[str, object]:
    services = [{**READ, "points": read_points}, {**UPLOAD, "points": 3.0}, {**FIX, "points": 5.0}]
    return {"services": services, "contracts": [{"name": "basic", "rate": 0.01, "mostAtOnce": 10.0}]}


async def send_requests(read_points: float) -> list[int]:
    """Sends 7 `fix`, a `read` and a `fix` request of one customer with a burst of 10 and next to no rate.

    Three units are left for the `read`; the limiter keeps 2.4 units of its part for classes of higher worth.
    """

    async def serve(request: Request) -> None:
        request.reply(body=b"x")

    async with backend(serve) as server:
        async with limiter(host("a", server.address), settings=scarce_quota(read_points)) as rig:
            client, codes = await rig.connect(), []
            for n, cls in enumerate(["fix"] * 7 + ["read", "fix"]):
                raw = message(cls, f"id-{n}", X_Call_Terms="units=1,spread=1,first=0")
                codes.append((await client.ask(raw)).code)
            return codes


def test_scarce_units_are_kept_for_the_class_of_highest_worth() -> None:
    async def test() -> None:
        assert await send_requests(3.0) == [200] * 7 + [429, 200]

    run(test())


def test_nothing_is_kept_among_classes_of_equal_worth() -> None:
    async def test() -> None:
        assert await send_requests(5.0) == [200] * 9

    run(test())
