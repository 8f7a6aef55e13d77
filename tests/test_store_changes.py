"""Operators' changes of the membership, with answers that are lost, unknown, or refused for a moment."""

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

LOST = "lost"  # the connection ends in place of an answer


class ScriptedReplica:
    """Answers each change or transfer by the next of a list: an error kind with its text, or LOST."""

    def __init__(self, answers: list[tuple[str, str]], members: list[str]) -> None:
        self.answers = answers
        self.members = Membership(tuple(Member(name, f"{name}:1") for name in members))
        self.asked = 0
        self.transfers_needed = 1  # so many requests until r1 leads

    def greeting_received(self, link: Link) -> bool:
        return True

    def link_closed(self, link: Link) -> None:
        pass

    def standing(self, ident: int) -> p.ReplicaStatus:
        term = commit = applied = last = revision = 1
        log = (term, commit, applied, last, revision)
        leader = "r0" if self.asked < self.transfers_needed else "r1"
        return p.ReplicaStatus(ident, "r0", "", "leader", leader, *log, 0, self.members, False, "", 0.0)

    def frame_received(self, link: Link, frame: Any) -> None:
        match frame:
            case p.ChangeMembership() | p.TransferLeadership():
                self.asked += 1
                error, text = self.answers.pop(0)
                if error == LOST:
                    link.close()
                else:
                    link.send(p.CommandResponse(frame.ident, kv.Result(0, error, text)))
            case p.Get():
                link.send(p.Page(frame.ident, 0, {}))
            case p.GetStatus():
                link.send(self.standing(frame.ident))


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
GONE = ("refused", "r3 is no member; members are r0, r1, r2")
THERE = ("refused", "r3 is a member already")
GRANTED = ("", "")


@pytest.mark.parametrize("first", [UNKNOWN, (LOST, "")])
def test_a_removal_of_unknown_effect_is_found_done(tmp_path: Path, first: tuple[str, str]) -> None:
    replica = ScriptedReplica([first, GONE], ["r0", "r1", "r2"])
    with_client(tmp_path, replica, lambda client: client.change_membership("remove", "r3"))
    assert replica.asked == 2


@pytest.mark.parametrize("first", [UNKNOWN, (LOST, "")])
def test_a_removal_of_unknown_effect_is_asked_anew(tmp_path: Path, first: tuple[str, str]) -> None:
    replica = ScriptedReplica([first, UNAVAILABLE, UNKNOWN, GRANTED], ["r0", "r1", "r2", "r3"])
    with_client(tmp_path, replica, lambda client: client.change_membership("remove", "r3"))
    assert replica.asked == 4


def test_an_addition_of_unknown_effect_is_found_done(tmp_path: Path) -> None:
    replica = ScriptedReplica([UNKNOWN, THERE], ["r0", "r1", "r2", "r3"])
    with_client(tmp_path, replica, lambda client: client.change_membership("add", "r3", "r3:1"))
    assert replica.asked == 2


def test_an_addition_is_refused_where_the_name_has_another_address(tmp_path: Path) -> None:
    async def add(client: Client) -> None:
        with pytest.raises(StoreError, match="r3 is a member already"):
            await client.change_membership("add", "r3", "elsewhere:1")

    replica = ScriptedReplica([UNKNOWN, THERE], ["r0", "r1", "r2", "r3"])
    with_client(tmp_path, replica, add)


@pytest.mark.parametrize("before", [[], [UNAVAILABLE], [UNAVAILABLE, UNAVAILABLE]])
def test_a_removal_of_no_member_is_refused_where_nothing_was_begun(
    tmp_path: Path, before: list[tuple[str, str]]
) -> None:
    async def remove(client: Client) -> None:
        with pytest.raises(StoreError, match="r3 is no member"):
            await client.change_membership("remove", "r3")

    with_client(tmp_path, ScriptedReplica([*before, GONE], ["r0", "r1", "r2"]), remove)


def test_a_transfer_of_unknown_effect_is_asked_anew(tmp_path: Path) -> None:
    replica = ScriptedReplica([UNKNOWN, UNAVAILABLE, GRANTED], ["r0", "r1"])
    with_client(tmp_path, replica, lambda client: client.transfer_leadership("r1"))
    assert replica.asked == 3


def test_a_transfer_that_the_leader_gave_up_is_asked_for_again(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    replica = ScriptedReplica([GRANTED, GRANTED], ["r0", "r1"])
    replica.transfers_needed = 2
    monkeypatch.setattr(command, "TRANSFER_RETRY_INTERVAL_S", 0.05)
    args = argparse.Namespace(name="r1", within=5.0)
    with_client(tmp_path, replica, lambda client: command.transfer_leadership(client, args))
    assert capsys.readouterr().out == "r1 leads\n"
    assert replica.asked == 2


def test_a_change_that_stays_unknown_is_told_so(tmp_path: Path) -> None:
    async def remove(client: Client) -> None:
        with pytest.raises(StoreError) as error:
            await client.change_membership("remove", "r3", within_s=0.3)
        assert error.value.error == "unavailable" and "leadership changed" in str(error.value)

    with_client(tmp_path, ScriptedReplica([UNKNOWN] * 100, ["r0", "r1", "r2", "r3"]), remove)
