"""Late client retries: the client's remaining wait shows the age of its request."""

from __future__ import annotations

from sockets import SETTINGS, Client, Request, backend, host, limiter, message, run

SERVICE = {**SETTINGS["services"][0], "aimMs": 60_000.0, "hardLimitMs": 100_000.0}
SCARCE_QUOTA = {"services": [SERVICE], "contracts": [{"name": "basic", "rate": 0.01, "mostAtOnce": 4.0}]}
USUAL_WAIT_S = "90"  # of a client's first request
LATE_WAIT_S = "35"  # 65 s of the request's 100 s have passed, and its aim of 60 s with them
WAIT_IN_TIME_S = "75"
SINGLE_LIMITER_TERMS = "units=1,spread=1,first=0"


async def serve(request: Request) -> None:
    request.reply(body=b"x")


async def send_request(client: Client, ident: str, customer: int, wait: str) -> int:
    raw = message(
        ident=ident,
        X_Api_Key=f"{customer:016x}",
        Req_Deadline=wait,
        X_Call_Terms=SINGLE_LIMITER_TERMS,
    )
    return (await client.ask(raw)).code


def test_a_late_client_retry_takes_no_scarce_units() -> None:
    """A late response has no worth, and its units would be missing for a new request."""

    async def test() -> None:
        async with backend(serve) as server:
            async with limiter(host("a", server.address), settings=SCARCE_QUOTA) as rig:
                client = await rig.connect()
                for n in range(12):  # a few clients wait for longer than most
                    assert (
                        await send_request(
                            client, f"other-{n}", 100 + n, "99" if n % 6 == 0 else USUAL_WAIT_S
                        )
                        == 200
                    )
                assert [await send_request(client, f"first-{n}", 1, USUAL_WAIT_S) for n in range(2)] == [
                    200,
                    200,
                ]
                assert await send_request(client, "late", 1, LATE_WAIT_S) == 429
                assert await send_request(client, "in-time", 1, WAIT_IN_TIME_S) == 200
                assert "late" not in [request.headers["req-id"] for request in server.requests]
                assert await send_request(client, "plenty", 2, LATE_WAIT_S) == 200  # its quota is full

    run(test())


def test_short_waits_mark_no_retry_where_they_are_usual() -> None:
    """This also holds if as many clients wait for longer, as they do with their last retry."""

    async def test() -> None:
        async with backend(serve) as server:
            async with limiter(host("a", server.address), settings=SCARCE_QUOTA) as rig:
                client = await rig.connect()
                for n in range(12):
                    assert (
                        await send_request(client, f"other-{n}", 100 + n, "99" if n % 2 else LATE_WAIT_S)
                        == 200
                    )
                assert [await send_request(client, f"first-{n}", 1, LATE_WAIT_S) for n in range(3)] == [
                    200
                ] * 3

    run(test())
