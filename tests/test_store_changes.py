"""Membership changes by operators when responses are lost, unknown or temporarily refused."""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from basaltpoint.links.frames import PROTOCOL_VERSION, Greeting
from basaltpoint.links.transport import Link
from basaltpoint.store import command
from basaltpoint.store import protocol as p
from basaltpoint.store import state_machine as kv
from basaltpoint.store.client import Client, Endpoint, StoreError
from basaltpoint.store.messages import Member, Membership

CONNECTION_LOST = "lost"  # the replica closes the connection instead of responding


class ScriptedReplica:
    """Responds to each change or transfer with the next error kind and text of a list, or CONNECTION_LOST."""

    def __init__(self, responses: list[tuple[str, str]], members: list[str]) -> None:
        self.responses = responses
        self.members = Membership(tuple(Member(name, f"{name}:1") for name in members))
        self.request_count = 0
        self.transfers_needed = 1  # number of requests until r1 leads

    def greeting_received(self, link: Link) -> bool:
        return True

    def link_closed(self, link: Link) -> None:
        pass

    def status(self, ident: int) -> p.ReplicaStatus:
        term = commit = applied = last = revision = 1
        log = (term, commit, applied, last, revision)
        leader = "r0" if self.request_count < self.transfers_needed else "r1"
        return p.ReplicaStatus(ident, "r0", "", "leader", leader, *log, 0, self.members, False, "", 0.0)

    def frame_received(self, link: Link, frame: Any) -> None:
        match frame:
            case p.ChangeMembership() | p.TransferLeadership():
                self.request_count += 1
                error, text = self.responses.pop(0)
                if error == CONNECTION_LOST:
                    link.close()
                else:
                    link.send(p.CommandResponse(frame.ident, kv.Result(0, error, text)))
            case p.Get():
                link.send(p.Page(frame.ident, 0, {}))
            case p.GetStatus():
                link.send(self.status(frame.ident))


def with_client(path: Path, replica: ScriptedReplica, act: Callable[[Client], Awaitable[Any]]) -> None:
    async def story() -> None:
        socket = str(path / "replica.sock")
        greeting = Greeting(PROTOCOL_VERSION, "")
        server = await asyncio.get_running_loop().create_unix_server(
            lambda: Link(replica, greeting, True, p.STORE_PROTOCOL), socket
        )
        client = Client([Endpoint(socket)])
        try:
            await act(client)
        finally:
            client.close()
            server.close()

    asyncio.run(story())


UNKNOWN = ("unknown", "the leadership changed meanwhile")
UNAVAILABLE = ("unavailable", "another change is not committed yet")
REMOVED = ("refused", "r3 is no member; members are r0, r1, r2")
ALREADY_MEMBER = ("refused", "r3 is a member already")
SUCCESS = ("", "")


@pytest.mark.parametrize("first", [UNKNOWN, (CONNECTION_LOST, "")])
def test_a_removal_of_unknown_outcome_that_was_applied_succeeds(
    tmp_path: Path, first: tuple[str, str]
) -> None:
    replica = ScriptedReplica([first, REMOVED], ["r0", "r1", "r2"])
    with_client(tmp_path, replica, lambda client: client.change_membership("remove", "r3"))
    assert replica.request_count == 2


@pytest.mark.parametrize("first", [UNKNOWN, (CONNECTION_LOST, "")])
def test_a_removal_of_unknown_outcome_is_requested_again(tmp_path: Path, first: tuple[str, str]) -> None:
    replica = ScriptedReplica([first, UNAVAILABLE, UNKNOWN, SUCCESS], ["r0", "r1", "r2", "r3"])
    with_client(tmp_path, replica, lambda client: client.change_membership("remove", "r3"))
    assert replica.request_count == 4


def test_an_addition_of_unknown_outcome_that_was_applied_succeeds(tmp_path: Path) -> None:
    replica = ScriptedReplica([UNKNOWN, ALREADY_MEMBER], ["r0", "r1", "r2", "r3"])
    with_client(tmp_path, replica, lambda client: client.change_membership("add", "r3", "r3:1"))
    assert replica.request_count == 2


def test_an_addition_is_refused_if_the_name_has_another_address(tmp_path: Path) -> None:
    async def add(client: Client) -> None:
        with pytest.raises(StoreError, match="r3 is a member already"):
            await client.change_membership("add", "r3", "elsewhere:1")

    replica = ScriptedReplica([UNKNOWN, ALREADY_MEMBER], ["r0", "r1", "r2", "r3"])
    with_client(tmp_path, replica, add)


@pytest.mark.parametrize("before", [[], [UNAVAILABLE], [UNAVAILABLE, UNAVAILABLE]])
def test_a_removal_of_an_unknown_member_is_refused(tmp_path: Path, before: list[tuple[str, str]]) -> None:
    async def remove(client: Client) -> None:
        with pytest.raises(StoreError, match="r3 is no member"):
            await client.change_membership("remove", "r3")

    with_client(tmp_path, ScriptedReplica([*before, REMOVED], ["r0", "r1", "r2"]), remove)


def test_a_transfer_of_unknown_outcome_is_requested_again(tmp_path: Path) -> None:
    replica = ScriptedReplica([UNKNOWN, UNAVAILABLE, SUCCESS], ["r0", "r1"])
    with_client(tmp_path, replica, lambda client: client.transfer_leadership("r1"))
    assert replica.request_count == 3


def test_a_transfer_that_the_leader_gave_up_is_requested_again(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    replica = ScriptedReplica([SUCCESS, SUCCESS], ["r0", "r1"])
    replica.transfers_needed = 2
    monkeypatch.setattr(command, "TRANSFER_RETRY_INTERVAL_S", 0.05)
    args = argparse.Namespace(name="r1", within=5.0)
    with_client(tmp_path, replica, lambda client: command.transfer_leadership(client, args))
    assert capsys.readouterr().out == "r1 leads\n"
    assert replica.request_count == 2


def test_a_change_whose_outcome_stays_unknown_is_unavailable(tmp_path: Path) -> None:
    async def remove(client: Client) -> None:
        with pytest.raises(StoreError) as error:
            await client.change_membership("remove", "r3", within_s=0.3)
        assert error.value.error == "unavailable" and "leadership changed" in str(error.value)

    with_client(tmp_path, ScriptedReplica([UNKNOWN] * 100, ["r0", "r1", "r2", "r3"]), remove)
