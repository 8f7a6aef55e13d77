"""Fleets of limiter processes under long pauses and under a ring of one-way link cuts."""

from __future__ import annotations

import asyncio
import math
from pathlib import Path

from fleetprocs import assert_no_resurrection, running_fleet, wait_until_agreed
from waiting import run, until

from basaltpoint.rehearsal.faults import Fault, FaultKind

SHORT_TIMEOUTS = "silent_ms = 1000\nprobe_ms = 200"


def test_three_of_six_members_recover_from_pauses_of_3_10_and_60_s(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path, 6, SHORT_TIMEOUTS) as made:
            pauses = {"l4": 3, "l5": 10, "l6": 60}
            paused = list(pauses)
            for name in paused:
                made.pause(name)
            running = ["l1", "l2", "l3"]
            started_s = asyncio.get_running_loop().time()
            for name, seconds in pauses.items():
                await asyncio.sleep(started_s + seconds - asyncio.get_running_loop().time())
                made.resume(name)
                running.append(name)
                await wait_until_agreed(made, *running)
            for name in paused:
                assert "was paused for" in made.read_log(name)
                # It may declare dead only members that were still paused when it resumed.
                paused_longer = set(paused[paused.index(name) + 1 :])
                dead = {
                    saw.member
                    for saw in made.read_journals()[0]
                    if saw.observer == name and saw.state == "dead"
                }
                assert dead <= paused_longer
            assert_no_resurrection(made)

    run(test())


def test_ring_of_one_way_cuts_kills_nobody(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path, 5, "silent_ms = 5000\nprobe_ms = 200") as made:
            names = made.names
            cuts = [
                Fault(FaultKind.CUT, 0, math.inf, sources=(one,), targets=(other,))
                for one, other in zip(names, [*names[1:], names[0]], strict=True)
            ]
            before = made.proxies.forwarded_frames.total()
            for cut in cuts:
                await made.begin_fault(cut)
            # 300 frames per member take longer than any suspicion without refutation.
            await until(lambda: made.proxies.forwarded_frames.total() >= before + 300 * len(names))
            for cut in cuts:
                await made.end_fault(cut)
            await wait_until_agreed(made, *names)
            assert not [saw for saw in made.read_journals()[0] if saw.state == "dead"]

    run(test())
