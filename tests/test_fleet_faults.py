"""Long pauses and links cut in a ring, between several processes."""

from __future__ import annotations

import asyncio
import math
from pathlib import Path

from fleetprocs import assert_no_resurrection, running_fleet, wait_until_agreed
from waiting import run, until

from basaltpoint.rehearsal.faults import Fault, Kind

SHORT = "silent_ms = 1000\nprobe_ms = 200"


def test_half_of_six_stand_still_for_3_10_and_60_s_and_come_back_accusing_nobody(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path, 6, SHORT) as made:
            pauses = {"l4": 3, "l5": 10, "l6": 60}
            stood = list(pauses)
            for name in stood:
                made.pause(name)
            there = ["l1", "l2", "l3"]
            began = asyncio.get_running_loop().time()
            for name, seconds in pauses.items():
                await asyncio.sleep(began + seconds - asyncio.get_running_loop().time())
                made.resume(name)
                there.append(name)
                await wait_until_agreed(made, *there)
            for name in stood:
                assert "stood still" in made.log(name)
                # Whoever still stood when this one woke was gone in truth; of the others it said nothing.
                later = set(stood[stood.index(name) + 1 :])
                dead = {saw.name for saw in made.journal()[0] if saw.by == name and saw.state == "dead"}
                assert dead <= later
            assert_no_resurrection(made)

    run(test())


def test_a_ring_of_links_cut_one_way_kills_nobody(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path, 5, "silent_ms = 5000\nprobe_ms = 200") as made:
            names = made.names
            cuts = [
                Fault(Kind.CUT, 0, math.inf, sources=(one,), targets=(other,))
                for one, other in zip(names, [*names[1:], names[0]], strict=True)
            ]
            before = made.links.passed.total()
            for cut in cuts:
                await made.begin(cut)
            # Longer than any doubt that nobody contradicts: 300 frames of each member.
            await until(lambda: made.links.passed.total() >= before + 300 * len(names))
            for cut in cuts:
                await made.over(cut)
            await wait_until_agreed(made, *names)
            assert not [saw for saw in made.journal()[0] if saw.state == "dead"]

    run(test())
