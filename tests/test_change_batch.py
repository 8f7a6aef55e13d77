"""Changes that are received together are merged without losing a drain, a removal or a restart."""

from __future__ import annotations

import itertools

import pytest
from sockets import agent, backend, echo, host, limiter, listing, message, run, until

from basaltpoint.interface import ServerState
from basaltpoint.membership.change_batch import ChangeBatch
from basaltpoint.membership.hosts import Host, HostList

STATES = (ServerState.READY, ServerState.DRAINING, ServerState.GONE)
ONE = Host("a", ("127.0.0.1", 1), "z", 0, ServerState.READY, 1.0, 0.0)


def merged(lists: list[HostList]) -> list[HostList]:
    """Returns the lists that are applied, in their order, if all these lists are received together."""
    batch, applied = ChangeBatch(), []
    for changes in lists:
        if not batch.can_merge(changes) and (popped := batch.pop_merged()):
            applied.append(popped)
        batch.add(changes)
    if popped := batch.pop_merged():
        applied.append(popped)
    return applied


def is_backward(before: Host, after: Host) -> bool:
    return STATES.index(after.state) < STATES.index(before.state) or before.born_ms != after.born_ms


@pytest.mark.parametrize("length", [2, 3, 4])
def test_no_order_of_changes_loses_a_drain_or_a_restart(length: int) -> None:
    """Within one merged list a server only moves forward; its state before a move back was applied."""
    for steps in itertools.product(itertools.product(STATES, (1.0, 2.0)), repeat=length):
        hosts = [ONE._replace(state=state, born_ms=born) for state, born in steps]
        lists = [HostList(number, False, (each,)) for number, each in enumerate(hosts)]
        turns = [is_backward(before, after) for before, after in itertools.pairwise(hosts)] + [True]
        seen = [hosts.hosts[0] for hosts in merged(lists)]
        assert seen == [each for each, turn in zip(hosts, turns, strict=True) if turn]


def test_changes_of_many_servers_are_one_list() -> None:
    lists = [HostList(n, False, (ONE._replace(name=f"s-{n}"),)) for n in range(500)]
    [only] = merged(lists)
    assert only.seq == 499 and len(only.hosts) == 500 and not only.whole


def test_a_full_list_is_never_merged_with_changes() -> None:
    assert not ChangeBatch().can_merge(HostList(1, True, (ONE,)))


def test_a_drain_in_the_middle_of_a_read_applies_before_anything_is_sent() -> None:
    """The lists of one read renew the lease; requests that wait for it must find the drain applied."""

    async def test() -> None:
        async with backend(echo) as one, backend(echo) as two, agent() as told:
            async with limiter(host("a", one.address), watched=told) as rig:
                await told.watches.get()
                first, second = host("a", one.address, "leaving"), host("b", two.address)
                for number, entry in enumerate((first, second), start=2):
                    told.send(listing(number, entry, whole=False))
                await until(lambda: rig.limiter.known_seq == 3)
                client = await rig.connect()
                for number in range(5):
                    assert (await client.ask(message(ident=f"r-{number}"))).code == 200
                assert not one.requests and len(two.requests) == 5

    run(test())
