"""Large lists: a change costs what changed, and what is kept in order is what a scan would find."""

from __future__ import annotations

import random
import sys
from collections.abc import Callable
from dataclasses import replace
from types import FrameType
from typing import Any

import pytest
from helpers import BASE, server

from basaltpoint import interface as api
from basaltpoint.interface import ListKind, ServerState
from basaltpoint.policy.server_health import ServerHealth
from basaltpoint.policy.server_index import RotatingWindow, SortedItems
from basaltpoint.policy.server_set import TRUSTED_SCAN_SIZE, ServerSet

WITHIN = 1.5  # times the lines that a change or a choice runs through, from 200 servers to 10,000


def named(ident: int, state: str = "ready", started: float = 0.0) -> api.Server:
    return replace(server(ident, state=state, started=started), ring_position=ident * 2654435761 % 2**32)


def fleet_of(count: int, gateways: int = 100) -> ServerSet:
    made = ServerSet(replace(BASE, limiter_count=gateways), random.Random(7), {})
    made.apply_list(0.0, api.ServerList(ListKind.FULL, tuple(named(n) for n in range(count))))
    return made


def lines_run(act: Callable[[], Any]) -> int:
    """How many lines of Python run: the same on every machine."""
    count = 0

    def trace(frame: FrameType, event: str, arg: Any) -> Any:
        nonlocal count
        count += event == "line"
        return trace

    sys.settrace(trace)
    try:
        act()
    finally:
        sys.settrace(None)
    return count


def check(fleet: ServerSet) -> None:
    """Compare what is kept up with what a scan of all finds."""
    ready = [peer for peer in fleet.records.values() if peer.entry.state is ServerState.READY]
    assert fleet.ready == ready
    assert fleet.ring == sorted(ready, key=lambda peer: (peer.entry.ring_position, peer.entry.id))
    assert fleet.suspects == {peer.entry.id for peer in ready if peer.health.suspect}
    assert fleet._trusted.items == [peer for peer in ready if not peer.health.suspect]


@pytest.mark.parametrize("seed", range(20))
def test_what_is_kept_up_is_what_a_scan_would_find(seed: int) -> None:
    rng, now = random.Random(seed), 0.0
    healths: dict[int, ServerHealth] = {}
    fleets = [
        ServerSet(replace(BASE, limiter_count=3), rng, healths) for _ in range(2)
    ]  # two pools of one process
    for _ in range(300):
        now += 100.0
        fleet = rng.choice(fleets)
        match rng.randrange(5):
            case 0:
                entries = tuple(named(n, started=rng.choice((0.0, now))) for n in rng.sample(range(40), 25))
                fleet.apply_list(now, api.ServerList(ListKind.FULL, entries))
            case 1 | 2:
                states = ("ready", "draining", "gone")
                entries = tuple(
                    named(rng.randrange(40), rng.choice(states), rng.choice((0.0, now)))
                    for _ in range(rng.randrange(1, 6))
                )
                fleet.apply_list(now, api.ServerList(ListKind.DELTA, entries))
            case 3 if fleet.ready:
                rng.choice(fleet.ready).outstanding += 1
            case _ if fleet.records:
                peer = rng.choice(list(fleet.records.values()))
                status = rng.choice((api.Status.OK, api.Status.CONNECT_FAILED, api.Status.ERROR))
                if peer.outstanding:
                    fleet.record_outcome(now, api.Outcome(1, 0, peer.entry.id, status, 50.0, False))
        for each in fleets:
            check(each)


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_a_change_costs_the_same_before_200_and_10_000_servers(state: str) -> None:
    def cost(count: int) -> int:
        fleet = fleet_of(count)
        event = api.ServerList(ListKind.DELTA, (named(count // 2, state),))
        return lines_run(lambda: fleet.apply_list(1.0, event))

    assert cost(10_000) <= WITHIN * cost(200)


@pytest.mark.parametrize("gateways", [1, 100])
@pytest.mark.parametrize("fits", [True, False])
def test_a_choice_costs_the_same_before_200_and_10_000_servers(fits: bool, gateways: int) -> None:
    def cost(count: int) -> int:
        fleet = fleet_of(count, gateways)
        return lines_run(lambda: fleet.choose_server(1.0, lambda peer: fits, set()))

    assert cost(10_000) <= WITHIN * cost(200)


def test_a_server_that_is_not_suspect_is_found_where_all_near_are() -> None:
    fleet = fleet_of(3_200)
    for peer in [*fleet.subset, *fleet.ready[:1_800]]:
        fleet.mark_suspect(peer, 0.0)
    assert not fleet.most_are_suspect()
    chosen = [fleet.choose_server(1.0, None, set()) for _ in range(50)]
    assert all(peer is not None and not peer.health.suspect for peer in chosen)


def test_the_one_server_that_does_not_drain_is_chosen() -> None:
    fleet = fleet_of(3_200)
    draining = tuple(named(n, "draining") for n in range(3_200) if n != 1_500)
    fleet.apply_list(1.0, api.ServerList(ListKind.DELTA, draining))
    assert fleet.choose_server(2.0, None, set()) is fleet.records[1_500]


def test_a_server_that_fits_is_found_within_a_round_of_calls() -> None:
    fleet = fleet_of(3_200)
    only = fleet.ready[2_345]
    rounds = -(-len(fleet.ready) // TRUSTED_SCAN_SIZE)
    assert only in [fleet.choose_server(1.0, lambda peer: peer is only, set()) for _ in range(rounds)]


def test_a_list_that_replaces_all_servers_leaves_none_of_the_old_ones() -> None:
    fleet = fleet_of(3_200)
    fleet.apply_list(1.0, api.ServerList(ListKind.FULL, tuple(named(n) for n in range(5_000, 8_200))))
    check(fleet)
    assert len(fleet.ready) == len(fleet.records) == len(fleet.healths) == 3_200


def test_a_server_that_leaves_and_comes_back_in_one_list_is_there_once() -> None:
    fleet = fleet_of(300)
    back = (named(7, "gone"), named(7, started=5.0))
    fleet.apply_list(10.0, api.ServerList(ListKind.DELTA, back))
    check(fleet)
    assert fleet.ready[-1] is fleet.records[7] and len(fleet.ready) == 300


def test_items_are_kept_in_order() -> None:
    rng = random.Random(3)
    kept: SortedItems[int] = SortedItems(lambda item: item)
    held: set[int] = set()
    for _ in range(500):
        item = rng.randrange(50)
        if rng.random() < 0.5:
            kept.add(item)
            held.add(item)
        else:
            kept.discard(item)
            held.discard(item)
        assert kept.items == sorted(held)


@pytest.mark.parametrize("size", [5, 6, 11, 12, 13, 100])
def test_a_window_comes_round_to_each_item_as_often(size: int) -> None:
    window: RotatingWindow[int] = RotatingWindow(5)
    items = list(range(size))
    seen = [item for _ in range(size) for item in window.next_items(items)]
    assert all(seen.count(item) == 5 for item in items)
    assert set(seen[: 5 * -(-size // 5)]) == set(items)
