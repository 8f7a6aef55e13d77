"""Lists of thousands of servers: changes of known servers apply at once, new servers in slices."""

from __future__ import annotations

import asyncio
from typing import Any

from sockets import (
    Agent,
    Rig,
    agent,
    backend,
    echo,
    host,
    limiter,
    listing,
    message,
    run,
    until,
    unused_address,
)

from basaltpoint import interface as api
from basaltpoint.fronts.platform.listed_servers import NEW_SERVERS_BATCH
from basaltpoint.interface import ServerState
from basaltpoint.membership.hosts import HostList, parse_list

SERVER_COUNT = 3_200


def hosts_at(prefix: str, dial: str, count: int = SERVER_COUNT, **more: Any) -> list[dict[str, Any]]:
    return [host(f"{prefix}-{number}", dial, **more) for number in range(count)]


def watch_events(rig: Rig) -> list[api.ServerList]:
    """Records each list that the decision module receives from now on."""
    received: list[api.ServerList] = []
    handle_event = rig.limiter.table.handle_event

    def record(now: float, event: api.Event) -> Any:
        if isinstance(event, api.ServerList):
            received.append(event)
        return handle_event(now, event)

    rig.limiter.table.handle_event = record  # type: ignore[method-assign]
    return received


def parsed(raw: dict[str, Any]) -> HostList:
    return parse_list(raw)[0]


async def wait_until_applied(rig: Rig, version: int, servers: int) -> None:
    await until(lambda: rig.limiter.known_seq == version and len(rig.limiter.listed_servers.hosts) == servers)


async def send_first_list(watched: Agent, rig: Rig, *hosts: dict[str, Any]) -> None:
    await watched.watches.get()
    watched.send(listing(2, *hosts))
    await wait_until_applied(rig, 2, len(hosts))


def test_a_list_that_replaces_all_servers_removes_first_and_adds_in_slices() -> None:
    async def test() -> None:
        nowhere = unused_address()
        async with agent() as watched, limiter(host("a", nowhere), watched=watched) as rig:
            await send_first_list(watched, rig, *hosts_at("old", nowhere))
            events = watch_events(rig)
            watched.send(listing(3, *hosts_at("new", nowhere)))
            await wait_until_applied(rig, 3, SERVER_COUNT)
            first, *others = events
            assert {entry.state for entry in first.servers} == {ServerState.GONE}
            assert len(first.servers) == SERVER_COUNT
            assert len(others) == SERVER_COUNT / NEW_SERVERS_BATCH and all(
                len(each.servers) == NEW_SERVERS_BATCH for each in others
            )
            assert len(rig.limiter.decision_module.pools[0].servers.ready) == SERVER_COUNT
            assert len(rig.limiter.listed_servers.numbers) == SERVER_COUNT

    run(test())


def test_a_full_list_with_few_changes_is_cheap() -> None:
    async def test() -> None:
        nowhere = unused_address()
        async with agent() as watched, limiter(host("a", nowhere), watched=watched) as rig:
            hosts = hosts_at("s", nowhere)
            await send_first_list(watched, rig, *hosts)
            events = watch_events(rig)
            hosts[7] = host("s-7", nowhere, "leaving")
            watched.send(listing(3, *hosts[:-1]))
            await wait_until_applied(rig, 3, SERVER_COUNT - 1)
            states = sorted(entry.state.value for event in events for entry in event.servers)
            assert states == [ServerState.DRAINING.value, ServerState.GONE.value]

    run(test())


def test_a_later_list_applies_to_servers_still_waiting_for_their_slice() -> None:
    """A drain, a removal and a new address of servers that wait for their slice."""

    async def test() -> None:
        nowhere, elsewhere = unused_address(), unused_address()
        async with agent() as watched, limiter(host("a", nowhere), watched=watched) as rig:
            await send_first_list(watched, rig, host("a", nowhere))
            events = watch_events(rig)
            changed = [
                host("s-3000", nowhere, "leaving"),
                host("s-3001", nowhere, "left"),
                host("s-3002", elsewhere),
            ]
            rig.limiter.update_servers(parsed(listing(3, *hosts_at("s", nowhere), whole=False)))
            rig.limiter.update_servers(parsed(listing(4, *changed, whole=False)))
            assert not rig.limiter.listed_servers._new and len(events) >= 2
            hosts = rig.limiter.listed_servers.hosts
            assert hosts["s-3000"].state is ServerState.DRAINING
            assert "s-3001" not in hosts and "{}:{}".format(*hosts["s-3002"].address) == elsewhere
            assert len(rig.limiter.decision_module.pools[0].servers.ready) == SERVER_COUNT + 1 - 2
            assert len(rig.limiter.listed_servers.numbers) == SERVER_COUNT + 1 - 1

    run(test())


def test_clients_are_served_between_slices() -> None:
    async def test() -> None:
        async with backend(echo) as server, agent() as watched:
            async with limiter(host("a", server.address), watched=watched) as rig:
                await send_first_list(watched, rig, host("a", server.address))
                client = await rig.connect()
                assert (await client.ask(message(ident="early"))).code == 200
                left: list[int] = []
                rig.limiter.update_servers(parsed(listing(3, *hosts_at("s", unused_address()), whole=False)))
                turns = 0
                while rig.limiter.listed_servers._new:
                    left.append(len(rig.limiter.listed_servers._new))
                    turns += 1
                    await asyncio.sleep(0)
                assert turns >= SERVER_COUNT / NEW_SERVERS_BATCH - 1 and left == sorted(left, reverse=True)

    run(test())


def test_the_last_entry_of_a_server_named_twice_counts() -> None:
    async def test() -> None:
        nowhere = unused_address()
        async with agent() as watched, limiter(host("a", nowhere), watched=watched) as rig:
            await send_first_list(watched, rig, host("a", nowhere))
            twice = (host("a", nowhere, "left"), host("a", nowhere, born_ms=5.0))
            rig.limiter.update_servers(parsed(listing(3, *twice, whole=False)))
            assert rig.limiter.ready and len(rig.limiter.listed_servers.numbers) == 1
            [peer] = rig.limiter.decision_module.pools[0].servers.ready
            assert peer.entry.id == rig.limiter.listed_servers.numbers["a"]

    run(test())
