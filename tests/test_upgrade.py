"""Handover between two processes of a standalone limiter, tested with real processes."""

from __future__ import annotations

import asyncio
import re
import signal
import socket
from pathlib import Path
from typing import Any

import pytest
from fleetprocs import assert_no_resurrection, running_fleet, wait_until_agreed, wait_until_seen
from test_rehearsal import run_rehearsal
from waiting import TEST_TIMEOUT_S, run, until

from basaltpoint.config.address import parse_address
from basaltpoint.handover import upgrade_state
from basaltpoint.handover.link import socket_path
from basaltpoint.handover.upgrade_state import VERSION, HandoverError, Hello, UpgradeState
from basaltpoint.rehearsal import processes
from basaltpoint.rehearsal.processes import SUCCESSOR_READY_TEXT, FleetProcesses

STEADY = "silent_ms = 20000\nprobe_ms = 200"


def log_count(made: FleetProcesses, name: str, text: str) -> int:
    return made.read_log(name).count(text)


async def ask(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, path: bytes = b"/") -> int:
    """Sends a request over a kept-alive connection; returns the status code."""
    writer.write(b"GET %s HTTP/1.1\r\nHost: x\r\nX-Api-Key: 0123456789abcdef\r\n\r\n" % path)
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    found = re.search(r"(?i)content-length: (\d+)", head)
    await reader.readexactly(int(found[1]) if found else 0)
    return int(head.split(" ")[1])


def test_an_upgraded_member_keeps_its_place_and_its_clients_connections(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path, 3, STEADY) as made:
            reader, writer = await asyncio.open_connection(*parse_address(made.members["l2"].client_address))
            assert await ask(reader, writer) == 401  # the key is unknown; any response shows that it serves
            before = {by: [s for s in made.read_journals()[0] if s.observer == by] for by in ("l1", "l3")}
            for times in range(1, 4):
                older = made.members["l2"].process
                await made.upgrade("l2")
                assert made.members["l2"].process is not older and older and older.returncode == 0
                await until(
                    lambda times=times: log_count(made, "l2", "took over from the predecessor") == times
                )  # type: ignore[misc]
                assert await ask(reader, writer) == 401
            await wait_until_agreed(made, "l1", "l2", "l3")
            # The other members saw no change: no suspicion, no death, no new incarnation.
            for by, rows in before.items():
                assert [s for s in made.read_journals()[0] if s.observer == by] == rows
            assert_no_resurrection(made)
            writer.close()

    run(test())


def test_a_place_handed_over_during_a_one_way_partition_is_accepted_by_all_members(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path, 4, STEADY) as made:
            fault = processes.Fault(processes.FaultKind.CUT, 0, 1, sources=("l2",), targets=("l1",))
            await made.begin_fault(fault)
            await made.upgrade("l2")
            passed = made.proxies.forwarded_frames.total()
            await until(lambda: made.proxies.forwarded_frames.total() > passed + 200)
            await made.end_fault(fault)
            await wait_until_agreed(made, "l1", "l2", "l3", "l4")
            assert not [saw for saw in made.read_journals()[0] if saw.state == "dead"]

    run(test())


async def start_waiting_successor(made: FleetProcesses, name: str) -> Any:
    """Starts a successor and returns it when it waits for the handover."""
    before = log_count(made, name, SUCCESSOR_READY_TEXT)
    successor = made._start_process(made.members[name])
    await until(lambda: log_count(made, name, SUCCESSOR_READY_TEXT) > before)
    return successor


def test_the_successor_starts_a_new_incarnation_if_the_predecessor_is_killed(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path, 3) as made:
            first = made.read_journals()[1]["l2"][-1][1]
            successor = await start_waiting_successor(made, "l2")
            await made.terminate("l2")
            made.members["l2"].process, made.members["l2"].started_s = successor, 0.0
            await until(lambda: made.read_journals()[1]["l2"][-1][1] > first)
            assert "the predecessor ended without sending its state" in made.read_log("l2")
            await wait_until_agreed(made, "l1", "l2", "l3")

    run(test())


def test_the_predecessor_serves_on_if_the_successor_is_killed_or_terminated(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path, 3, STEADY) as made:
            for times, number in enumerate((signal.SIGKILL, signal.SIGTERM), 1):
                successor = await start_waiting_successor(made, "l2")
                successor.send_signal(number)
                await asyncio.to_thread(successor.wait, TEST_TIMEOUT_S)
                await until(lambda times=times: log_count(made, "l2", "the successor ended") == times)  # type: ignore[misc]
                reader, writer = await asyncio.open_connection(
                    *parse_address(made.members["l2"].client_address)
                )
                assert await ask(reader, writer) == 401
                writer.close()
            assert await made.terminate("l2", signal.SIGTERM) == 0
            await wait_until_seen(made, "l1", "l2", "left")

    run(test())


def predecessor_listener_of_l1(made: FleetProcesses) -> socket.socket:
    """Listens, in place of a predecessor, at the path to which a starting process of l1 connects."""
    path = socket_path(made._handover_folder, "l1")
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
def test_a_process_does_not_start_beside_an_incompatible_predecessor(
    tmp_path: Path, text: bytes, why: str
) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path, 1, start=False) as made:
            with predecessor_listener_of_l1(made) as listener:
                made.start("l1")
                other, _ = await asyncio.to_thread(listener.accept)
                other.send(b"d" + text)
                process = made.members["l1"].process
                assert process and await asyncio.to_thread(process.wait, TEST_TIMEOUT_S) == 1
                other.close()
            assert why in made.read_log("l1") and "end it first" in made.read_log("l1")

    run(test())


@pytest.mark.parametrize("held", ["client_address", "own_address"], ids=["clients", "fleet"])
def test_the_successor_waits_until_a_killed_predecessors_address_is_free(tmp_path: Path, held: str) -> None:
    """A killed process's descriptors close one by one, often the handover link before its listeners."""

    async def test() -> None:
        async with running_fleet(tmp_path, 1, start=False) as made:
            with predecessor_listener_of_l1(made) as listener:
                address = parse_address(getattr(made.members["l1"], held))
                with socket.create_server(address):
                    made.start("l1")
                    process = made.members["l1"].process
                    assert process
                    older, _ = await asyncio.to_thread(listener.accept)
                    older.send(b"d" + upgrade_state.encode(Hello(VERSION, "l1")))
                    await until(lambda: log_count(made, "l1", SUCCESSOR_READY_TEXT) == 1)
                    older.close()
                    await until(lambda: "in use" in made.read_log("l1"))
                await until(lambda: "listens at" in made.read_log("l1") or process.poll() is not None)
                assert process.poll() is None, made.read_log("l1")
            reader, writer = await asyncio.open_connection(*parse_address(made.members["l1"].client_address))
            assert await ask(reader, writer) == 401
            writer.close()

    run(test())


def test_an_encoded_document_is_decoded_and_an_invalid_one_is_rejected() -> None:
    document = UpgradeState(VERSION, 5.0, {"pools": [{"number": 7}]}, {"pool": {"gone": 7}}, {}, ("clients",))
    assert upgrade_state.decode(upgrade_state.encode(document), 6.0) == document
    for text, now_s in ((upgrade_state.encode(document), 4.0), (upgrade_state.encode(document)[:-1], 6.0)):
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


def test_upgrades_under_load_lose_no_request_and_reset_no_quota(tmp_path: Path) -> None:
    faults = "".join(f'[[fault]]\nkind = "upgrade"\nat_s = {at}\non = ["l1", "l2"]\n' for at in (2, 4, 6, 8))
    result = run_rehearsal(tmp_path, QUOTA + faults)
    # Without the passed state each of the eight new processes would start with 15 more units, its full burst.
    account, asked = result["limits"]["p-0"], result["requests"]
    assert 160 <= account["sent"] <= account["allowed"] + 15
    assert asked["asked"] > 1000 and asked["none"] == asked["twice"] == 0
    assert {state for at, *_, state in result["views"] if at > 0} <= {"alive"}
    assert result["members"]["wrong_deaths"] == 0
