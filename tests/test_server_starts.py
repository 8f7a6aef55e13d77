"""Start times of servers on this process's clock, when the wall clock steps forward or back."""

from __future__ import annotations

import time

import pytest
from sockets import Rig, host, limiter, listing, run

from basaltpoint.membership.hosts import parse_list
from basaltpoint.membership.server_starts import ServerStarts

HOUR_MS = 3_600_000.0
WALL_MS = 1.8e12  # the wall clock when this process's clock was 0


def starts_after_step(by_ms: float) -> ServerStarts:
    """The wall clock steps at 1 h of this process's clock."""
    made = ServerStarts(-WALL_MS)
    made.observe_clocks(HOUR_MS, WALL_MS + HOUR_MS + by_ms)
    return made


@pytest.mark.parametrize("by_ms", [-HOUR_MS, -5000.0, 5000.0, HOUR_MS])
def test_a_server_that_starts_after_a_step_has_just_started(by_ms: float) -> None:
    made, now = starts_after_step(by_ms), HOUR_MS + 3000.0
    assert made.started_ms("s", WALL_MS + by_ms + now - 200.0, now) == pytest.approx(now - 200.0, abs=1.0)


@pytest.mark.parametrize("by_ms", [-HOUR_MS, HOUR_MS])
def test_a_server_on_a_host_without_a_step_has_just_started(by_ms: float) -> None:
    """Only this host's clock was set."""
    made, now = starts_after_step(by_ms), HOUR_MS + 3000.0
    assert made.started_ms("s", WALL_MS + now - 200.0, now) == pytest.approx(now - 200.0, abs=1.0)


@pytest.mark.parametrize("by_ms", [-HOUR_MS, -5000.0, 5000.0, HOUR_MS])
def test_a_start_reported_before_does_not_move(by_ms: float) -> None:
    """Otherwise it would look like a restart, and the whole fleet would be cold at once."""
    made = ServerStarts(-WALL_MS)
    before = made.started_ms("s", WALL_MS + 1000.0, 2000.0)
    made.observe_clocks(HOUR_MS, WALL_MS + HOUR_MS + by_ms)
    assert made.started_ms("s", WALL_MS + 1000.0, HOUR_MS + 10.0) == before == pytest.approx(1000.0)


def test_a_start_in_the_future_is_now_and_one_long_ago_stays_so() -> None:
    made = ServerStarts(-WALL_MS)
    assert made.started_ms("s", WALL_MS + 2 * HOUR_MS, 5000.0) == 5000.0
    assert made.started_ms("t", 0.0, 5000.0) == 0.0
    made.forget("s")
    assert made.started_ms("s", WALL_MS + 100.0, 5000.0) == pytest.approx(100.0)


def test_clocks_that_drift_are_no_step() -> None:
    made = ServerStarts(-WALL_MS)
    for n in range(1, 100):
        made.observe_clocks(n * 250.0, WALL_MS + n * 250.0 * 1.0005)
    assert made.offset_ms == -WALL_MS


@pytest.mark.parametrize("hours", [-1, 1])
def test_slow_start_after_the_wall_clock_was_set(hours: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """After a step back a server would skip slow start; after a step forward it would be cold for an hour."""

    def share(rig: Rig, name: str) -> float:
        fleet = rig.limiter.decision_module.pools[0].servers
        return fleet.warm_fraction(fleet.records[rig.limiter.listed_servers.numbers[name]], rig.limiter.now())

    async def test() -> None:
        async with limiter(host("a", "127.0.0.1:1")) as rig:
            plain = time.time
            monkeypatch.setattr(time, "time", lambda: plain() + hours * 3600.0)
            rig.limiter.sweep()
            fresh = host("b", "127.0.0.1:2", born_ms=time.time() * 1000 - 100.0)
            rig.limiter.update_servers(parse_list(listing(2, fresh, whole=False))[0])
            assert share(rig, "b") == pytest.approx(0.2, abs=0.05)  # coldFrom of the settings
            early = host("c", "127.0.0.1:3", born_ms=time.time() * 1000 - 9_000.0)
            rig.limiter.update_servers(parse_list(listing(3, early, whole=False))[0])
            assert share(rig, "c") == pytest.approx(0.92, abs=0.05)  # 9 s of the 10 s have passed

    run(test())
