"""A new process of a limiter takes over from the one that runs: each story over real processes."""

from __future__ import annotations

import asyncio
import re
import signal
import socket
from pathlib import Path
from typing import Any

import pytest
from fleetprocs import assert_no_resurrection, running_fleet, wait_until_agreed, wait_until_seen
from test_rehearsal import played
from waiting import TEST_TIMEOUT_S, run, until

from basaltpoint.config.address import parse_address
from basaltpoint.handover import upgrade_state
from basaltpoint.handover.link import socket_path
from basaltpoint.handover.upgrade_state import VERSION, HandoverError, Hello, UpgradeState
from basaltpoint.rehearsal import processes
from basaltpoint.rehearsal.processes import READY, Processes

STEADY = "silent_ms = 20000\nprobe_ms = 200"


def said(made: Processes, name: str, text: str) -> int:
    return made.log(name).count(text)


async def ask(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, path: bytes = b"/") -> int:
    """One request over a connection that stays; its code."""
    writer.write(b"GET %s HTTP/1.1\r\nHost: x\r\nX-Api-Key: 0123456789abcdef\r\n\r\n" % path)
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    found = re.search(r"(?i)content-length: (\d+)", head)
    await reader.readexactly(int(found[1]) if found else 0)
    return int(head.split(" ")[1])


def test_an_upgraded_member_keeps_its_place_and_its_clients_connections(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path, 3, STEADY) as made:
            reader, writer = await asyncio.open_connection(*parse_address(made.members["l2"].listen))
            assert await ask(reader, writer) == 401  # it knows no key; that it answers is what counts
            before = {by: [s for s in made.journal()[0] if s.by == by] for by in ("l1", "l3")}
            for times in range(1, 4):
                older = made.members["l2"].process
                await made.upgrade("l2")
                assert made.members["l2"].process is not older and older and older.returncode == 0
                await until(lambda times=times: said(made, "l2", "took over from the predecessor") == times)  # type: ignore[misc]
                assert await ask(reader, writer) == 401
            await wait_until_agreed(made, "l1", "l2", "l3")
            # Nobody saw anything: no doubt, no death, no other incarnation.
            for by, rows in before.items():
                assert [s for s in made.journal()[0] if s.by == by] == rows
            assert_no_resurrection(made)
            writer.close()

    run(test())


def test_a_place_passed_on_while_a_link_is_cut_one_way_is_held_by_all(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path, 4, STEADY) as made:
            fault = processes.Fault(processes.Kind.CUT, 0, 1, sources=("l2",), targets=("l1",))
            await made.begin(fault)
            await made.upgrade("l2")
            passed = made.links.passed.total()
            await until(lambda: made.links.passed.total() > passed + 200)
            await made.over(fault)
            await wait_until_agreed(made, "l1", "l2", "l3", "l4")
            assert not [saw for saw in made.journal()[0] if saw.state == "dead"]

    run(test())


async def waits(made: Processes, name: str) -> Any:
    """A newer process of it that waits."""
    before = said(made, name, READY)
    newer = made._process(made.members[name])
    await until(lambda: said(made, name, READY) > before)
    return newer


def test_the_newer_one_serves_in_a_new_incarnation_where_the_older_is_killed(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path, 3) as made:
            first = made.journal()[1]["l2"][-1][1]
            newer = await waits(made, "l2")
            await made.end("l2")
            made.members["l2"].process, made.members["l2"].began_s = newer, 0.0
            await until(lambda: made.journal()[1]["l2"][-1][1] > first)
            assert "the predecessor ended without sending its state" in made.log("l2")
            await wait_until_agreed(made, "l1", "l2", "l3")

    run(test())


def test_the_older_one_goes_on_where_the_newer_is_killed_or_told_to_end(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path, 3, STEADY) as made:
            for times, number in enumerate((signal.SIGKILL, signal.SIGTERM), 1):
                newer = await waits(made, "l2")
                newer.send_signal(number)
                await asyncio.to_thread(newer.wait, TEST_TIMEOUT_S)
                await until(lambda times=times: said(made, "l2", "the successor ended") == times)  # type: ignore[misc]
                reader, writer = await asyncio.open_connection(*parse_address(made.members["l2"].listen))
                assert await ask(reader, writer) == 401
                writer.close()
            assert await made.end("l2", signal.SIGTERM) == 0
            await wait_until_seen(made, "l1", "l2", "left")

    run(test())


def waits_for_l1(made: Processes) -> socket.socket:
    """Where the next process of l1 looks for an older one, listened to by the test."""
    path = socket_path(made._sockets, "l1")
    assert path
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    listener.bind(path)
    listener.listen(1)
    return listener


@pytest.mark.parametrize(
    ("text", "why"),
    [(upgrade_state.encode(Hello(VERSION + 1, "l1")), f"version {VERSION + 1}"), (b"\xc1", "can't be read")],
    ids=["version", "garbage"],
)
def test_an_older_process_that_speaks_otherwise_is_not_pushed_aside(
    tmp_path: Path, text: bytes, why: str
) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path, 1, start=False) as made:
            with waits_for_l1(made) as listener:
                made.start("l1")
                other, _ = await asyncio.to_thread(listener.accept)
                other.send(b"d" + text)
                process = made.members["l1"].process
                assert process and await asyncio.to_thread(process.wait, TEST_TIMEOUT_S) == 1
                other.close()
            assert why in made.log("l1") and "end it first" in made.log("l1")

    run(test())


@pytest.mark.parametrize("held", ["listen", "own"], ids=["clients", "fleet"])
def test_the_newer_one_waits_for_an_address_that_a_killed_older_one_has_not_let_go(
    tmp_path: Path, held: str
) -> None:
    """A killed process's descriptors close one after the other, the local link often before what listens."""

    async def test() -> None:
        async with running_fleet(tmp_path, 1, start=False) as made:
            with waits_for_l1(made) as listener:
                address = parse_address(getattr(made.members["l1"], held))
                with socket.create_server(address):
                    made.start("l1")
                    process = made.members["l1"].process
                    assert process
                    older, _ = await asyncio.to_thread(listener.accept)
                    older.send(b"d" + upgrade_state.encode(Hello(VERSION, "l1")))
                    await until(lambda: said(made, "l1", READY) == 1)
                    older.close()
                    await until(lambda: "in use" in made.log("l1"))
                await until(lambda: "listens at" in made.log("l1") or process.poll() is not None)
                assert process.poll() is None, made.log("l1")
            reader, writer = await asyncio.open_connection(*parse_address(made.members["l1"].listen))
            assert await ask(reader, writer) == 401
            writer.close()

    run(test())


def test_a_document_is_read_by_names_and_what_is_not_known_is_told() -> None:
    told = UpgradeState(VERSION, 5.0, {"pools": [{"number": 7}]}, {"pool": {"gone": 7}}, {}, ("clients",))
    assert upgrade_state.decode(upgrade_state.encode(told), 6.0) == told
    for text, now_s in ((upgrade_state.encode(told), 4.0), (upgrade_state.encode(told)[:-1], 6.0)):
        with pytest.raises(HandoverError):
            upgrade_state.decode(text, now_s)


QUOTA = """
[fleet]
limiters = 2
servers = 2
seconds = 10

[limiter]
plan = [{ name = "p", rate = 20, burst = 30 }]

[[load.plan]]
name = "p"
accounts = 1
rate = 150

[[load.class]]
name = "read"
"""


def test_what_was_drawn_goes_along_and_no_request_is_lost_through_upgrades_under_load(tmp_path: Path) -> None:
    faults = "".join(f'[[fault]]\nkind = "upgrade"\nat_s = {at}\non = ["l1", "l2"]\n' for at in (2, 4, 6, 8))
    result = played(tmp_path, QUOTA + faults)
    # Without the state each of the eight new processes would begin with a burst's part of 15 units more.
    account, asked = result["limits"]["p-0"], result["requests"]
    assert 160 <= account["sent"] <= account["allowed"] + 15
    assert asked["asked"] > 1000 and asked["none"] == asked["twice"] == 0
    assert {state for at, *_, state in result["views"] if at > 0} <= {"alive"}
    assert result["members"]["wrong_deaths"] == 0
