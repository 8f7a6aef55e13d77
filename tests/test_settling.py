"""Units that are known only after the response: how the platform front reads the header that states them."""

from __future__ import annotations

import pytest
from sockets import Request, backend, host, limiter, message, run

POST_PAID = {
    "contracts": [{"name": "basic", "rate": 10.0, "mostAtOnce": 50.0}],
    "specifics": {"mostUnits": 4, "meteringMs": 1000.0, "postPaid": True},
}
ESTIMATED_UNITS = 2.0


async def units_drawn(response_headers: list[str], status: str = "200 OK") -> float:
    """Returns the units drawn by a request of two estimated units after a response with these headers."""

    async def script(request: Request) -> None:
        request.reply(status, b"x", *response_headers)

    async with backend(script) as server:
        async with limiter(host("a", server.address), settings=POST_PAID) as rig:
            client = await rig.connect()
            terms = {"X_Api_Key": f"{7:016x}", "X_Call_Terms": "units=2,spread=1,first=0"}
            await client.ask(
                message("fix", method="POST", **terms) if status != "200 OK" else message(**terms)
            )
            return rig.limiter.decision_module.customers[7].units_drawn_until(1e18)[0]


@pytest.mark.parametrize(("value", "units"), [("1", 1.0), ("4", 4.0), ("2", 2.0), ("3.5", 3.5)])
def test_units_stated_in_the_response_replace_the_estimate(value: str, units: float) -> None:
    """The header was once not read, so quotas always used the estimate."""

    async def test() -> None:
        assert await units_drawn([f"X-Cost-Units: {value}"]) == units

    run(test())


@pytest.mark.parametrize("value", ["", "0", "-1", "nan", "1e3", "four", "4.01", "99999", "1" * 500])
def test_invalid_units_leave_the_estimate(value: str) -> None:
    """A value that is no number or above the maximum of a request would block or free the customer."""

    async def test() -> None:
        assert await units_drawn([f"X-Cost-Units: {value}"]) == ESTIMATED_UNITS

    run(test())


def test_missing_units_leave_the_estimate() -> None:
    async def test() -> None:
        assert await units_drawn([]) == ESTIMATED_UNITS

    run(test())


def test_units_of_a_failed_response_are_ignored() -> None:
    async def test() -> None:
        assert await units_drawn(["X-Cost-Units: 4"], "500 Internal Server Error") == ESTIMATED_UNITS

    run(test())
