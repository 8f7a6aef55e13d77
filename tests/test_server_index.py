"""Large server lists: indexes agree with a full scan, and costs do not depend on the list's length."""

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

MAX_COST_RATIO = 1.5  # of the lines run for 10,000 servers to those for 200


def listed_server(ident: int, state: str = "ready", started: float = 0.0) -> api.Server:
    return replace(server(ident, state=state, started=started), ring_position=ident * 2654435761 % 2**32)


def make_servers(count: int, limiter_count: int = 100) -> ServerSet:
    servers = ServerSet(replace(BASE, limiter_count=limiter_count), random.Random(7), {})
    servers.apply_list(0.0, api.ServerList(ListKind.FULL, tuple(listed_server(n) for n in range(count))))
    return servers


def count_lines(act: Callable[[], Any]) -> int:
    """Returns the number of Python lines run, which does not depend on the host's speed."""
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


def check_indexes(servers: ServerSet) -> None:
    """Compares the incrementally updated collections with a full scan."""
    ready = [record for record in servers.records.values() if record.entry.state is ServerState.READY]
    assert servers.ready == ready
    assert servers.ring == sorted(ready, key=lambda record: (record.entry.ring_position, record.entry.id))
    assert servers.suspects == {record.entry.id for record in ready if record.health.suspect}
    assert servers._trusted.items == [record for record in ready if not record.health.suspect]


@pytest.mark.parametrize("seed", range(20))
def test_indexes_agree_with_a_full_scan(seed: int) -> None:
    rng, now = random.Random(seed), 0.0
    healths: dict[int, ServerHealth] = {}
    # Two pools of one process share the health records.
    pools = [ServerSet(replace(BASE, limiter_count=3), rng, healths) for _ in range(2)]
    for _ in range(300):
        now += 100.0
        servers = rng.choice(pools)
        match rng.randrange(5):
            case 0:
                entries = tuple(
                    listed_server(n, started=rng.choice((0.0, now))) for n in rng.sample(range(40), 25)
                )
                servers.apply_list(now, api.ServerList(ListKind.FULL, entries))
            case 1 | 2:
                states = ("ready", "draining", "gone")
                entries = tuple(
                    listed_server(rng.randrange(40), rng.choice(states), rng.choice((0.0, now)))
                    for _ in range(rng.randrange(1, 6))
                )
                servers.apply_list(now, api.ServerList(ListKind.DELTA, entries))
            case 3 if servers.ready:
                rng.choice(servers.ready).outstanding += 1
            case _ if servers.records:
                record = rng.choice(list(servers.records.values()))
                status = rng.choice((api.Status.OK, api.Status.CONNECT_FAILED, api.Status.ERROR))
                if record.outstanding:
                    servers.record_outcome(now, api.Outcome(1, 0, record.entry.id, status, 50.0, False))
        for each in pools:
            check_indexes(each)


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_a_change_costs_the_same_for_200_and_10_000_servers(state: str) -> None:
    def cost(count: int) -> int:
        servers = make_servers(count)
        event = api.ServerList(ListKind.DELTA, (listed_server(count // 2, state),))
        return count_lines(lambda: servers.apply_list(1.0, event))

    assert cost(10_000) <= MAX_COST_RATIO * cost(200)


@pytest.mark.parametrize("limiter_count", [1, 100])
@pytest.mark.parametrize("allowed", [True, False])
def test_a_choice_costs_the_same_for_200_and_10_000_servers(allowed: bool, limiter_count: int) -> None:
    def cost(count: int) -> int:
        servers = make_servers(count, limiter_count)
        return count_lines(lambda: servers.choose_server(1.0, lambda record: allowed, set()))

    assert cost(10_000) <= MAX_COST_RATIO * cost(200)


def test_a_trusted_server_is_found_if_the_whole_subset_is_suspect() -> None:
    servers = make_servers(3_200)
    for record in [*servers.subset, *servers.ready[:1_800]]:
        servers.mark_suspect(record, 0.0)
    assert not servers.most_are_suspect()
    chosen = [servers.choose_server(1.0, None, set()) for _ in range(50)]
    assert all(record is not None and not record.health.suspect for record in chosen)


def test_the_only_server_that_is_not_draining_is_chosen() -> None:
    servers = make_servers(3_200)
    draining = tuple(listed_server(n, "draining") for n in range(3_200) if n != 1_500)
    servers.apply_list(1.0, api.ServerList(ListKind.DELTA, draining))
    assert servers.choose_server(2.0, None, set()) is servers.records[1_500]


def test_the_only_allowed_server_is_found_within_one_round_of_calls() -> None:
    servers = make_servers(3_200)
    only = servers.ready[2_345]
    rounds = -(-len(servers.ready) // TRUSTED_SCAN_SIZE)
    assert only in [servers.choose_server(1.0, lambda record: record is only, set()) for _ in range(rounds)]


def test_a_list_that_replaces_all_servers_removes_the_old_ones() -> None:
    servers = make_servers(3_200)
    servers.apply_list(
        1.0, api.ServerList(ListKind.FULL, tuple(listed_server(n) for n in range(5_000, 8_200)))
    )
    check_indexes(servers)
    assert len(servers.ready) == len(servers.records) == len(servers.healths) == 3_200


def test_a_server_removed_and_added_in_one_list_is_listed_once() -> None:
    servers = make_servers(300)
    back = (listed_server(7, "gone"), listed_server(7, started=5.0))
    servers.apply_list(10.0, api.ServerList(ListKind.DELTA, back))
    check_indexes(servers)
    assert servers.ready[-1] is servers.records[7] and len(servers.ready) == 300


def test_items_are_sorted() -> None:
    rng = random.Random(3)
    sorted_items: SortedItems[int] = SortedItems(lambda item: item)
    expected: set[int] = set()
    for _ in range(500):
        item = rng.randrange(50)
        if rng.random() < 0.5:
            sorted_items.add(item)
            expected.add(item)
        else:
            sorted_items.discard(item)
            expected.discard(item)
        assert sorted_items.items == sorted(expected)


@pytest.mark.parametrize("size", [5, 6, 11, 12, 13, 100])
def test_a_window_returns_each_item_equally_often(size: int) -> None:
    window: RotatingWindow[int] = RotatingWindow(5)
    items = list(range(size))
    seen = [item for _ in range(size) for item in window.next_items(items)]
    assert all(seen.count(item) == 5 for item in items)
    assert set(seen[: 5 * -(-size // 5)]) == set(items)
