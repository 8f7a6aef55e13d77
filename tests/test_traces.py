"""The decision module decides as it did: digests recorded from the module as one file (commit adb9746).

Where a change of decisions is meant, record anew and say so in the commit.
"""

from __future__ import annotations

import pytest
from traces import digest, trace

from basaltpoint import interface as api
from basaltpoint.policy import Gateway

STEPS = 4000  # events of arrival; some 16 s of the module's clock
RECORDED = {
    1: "cf3e85462e735c76",
    2: "53d256f4508d145e",
    3: "383ba0b8e9f762cf",
    4: "375ac20068eb353f",
    5: "9a4dd4a15e447c53",
    6: "c6c45cbb919a9f57",
    7: "4aec5cb42254c840",
    8: "e5f5e2c3f19cb4fc",
    9: "8672fc367c7b1d9f",
    10: "9d0a1fefb12055b0",
    11: "a4fab27fdbc67f83",
    12: "8b543148a45b8b25",
}


@pytest.mark.parametrize("seed", RECORDED)
def test_decisions_are_those_recorded(seed: int) -> None:
    assert digest(trace(api, Gateway, seed, STEPS)) == RECORDED[seed]
