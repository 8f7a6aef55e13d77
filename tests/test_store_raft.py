"""Raft in simulated time: each test guards against one failure."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from storesim import ClusterSimulation, Faults, Host, run_seed

from basaltpoint.store import messages as m
from basaltpoint.store import state_machine as kv
from basaltpoint.store.messages import Member, Membership
from basaltpoint.store.node import Node
from basaltpoint.store.raft import MAX_LEARNER_LAG_ENTRIES, BusyError, RefusedError
from basaltpoint.store.state_machine import Command, Put, Transaction

MAX_WAIT_MS = 60_000.0


class FaultFreeCluster(ClusterSimulation):
    """A simulated cluster whose only faults are those that the test causes."""

    def __init__(self, size: int = 3, seed: int = 1) -> None:
        super().__init__(seed, size, Faults(0, 0, 0, False), MAX_WAIT_MS * 100, clients=0)
        self.wait_until(lambda: self.leader is not None and self.node(self.leader).raft.commit_index > 0)

    def wait_until(self, condition: Callable[[], bool], max_ms: float = MAX_WAIT_MS) -> None:
        self.run_until(condition, max_ms)
        assert condition(), "the condition did not become true"

    def advance(self, ms: float) -> None:
        self.schedule(ms, lambda: None)
        self.run_until(lambda: False, ms)

    @staticmethod
    def node(host: Host | None) -> Node:
        assert host and host.node
        return host.node

    @property
    def leading_host(self) -> Host:
        leader = self.leader
        assert leader
        return leader

    def followers(self) -> list[Host]:
        return [host for host in self.hosts.values() if host is not self.leading_host]

    def propose(self, host: Host, command: Command) -> list[kv.Result | None]:
        """Returns a list that receives the result."""
        results: list[kv.Result | None] = []
        self.run_on(host, lambda node, now: node.propose(now, command, results.append))
        return results

    def write(self, key: str, value: str, host: Host | None = None, **named: Any) -> kv.Result:
        results = self.propose(host or self.leading_host, put(key, value, **named))
        self.wait_until(lambda: bool(results))
        assert results[0] is not None
        return results[0]

    def read(self, host: Host, key: str) -> list[str | None]:
        """Returns a list that receives the value of a linearizable read, or "refused"."""
        seen: list[str | None] = []

        def done(is_current: bool) -> None:
            value = self.node(host).state_machine.state.values.get(key)
            seen.append((value.value.decode() if value else None) if is_current else "refused")

        def start_read(node: Node, now: float) -> None:
            try:
                node.read(now, done)
            except RefusedError:
                seen.append("refused")

        self.run_on(host, start_read)
        return seen

    def isolate(self, host: Host, receives: bool = False, sends: bool = False) -> None:
        for name in self.hosts:
            if name != host.name:
                self.blocked_links |= set() if receives else {(name, host.name)}
                self.blocked_links |= set() if sends else {(host.name, name)}

    def change_membership(self, members: list[Member]) -> list[kv.Result | None]:
        results: list[kv.Result | None] = []
        self.run_on(
            self.leading_host,
            lambda node, now: node.change_membership(now, Membership(tuple(members)), results.append),
        )
        return results

    def add_member(self, name: str, voter: bool = False) -> Host:
        host = self.add_host(name)
        members = list(self.node(self.leading_host).raft.membership.members)
        results = self.change_membership([*members, Member(name, f"{name}:1", voter)])
        self.wait_until(lambda: bool(results))
        return host

    def remove_member(self, removed: Host) -> None:
        members = self.node(self.leading_host).raft.membership.members
        results = self.change_membership([member for member in members if member.name != removed.name])
        self.wait_until(lambda: bool(results))

    def write_entries(self, count: int) -> None:
        for at in range(count):
            self.write(f"fill{at % 7}", str(at))


def put(key: str, value: str, session: int = 0, number: int = 0, lease: int = 0) -> Command:
    return Command(Transaction((), (Put(key, value.encode(), lease),)), session, number)


def refusal_text(action: Callable[[], object]) -> str:
    with pytest.raises(RefusedError) as error:
        action()
    return str(error.value)


def busy_text(action: Callable[[], object]) -> str:
    """Returns the text of a refusal after which a retry may succeed."""
    with pytest.raises(BusyError) as error:
        action()
    return str(error.value)


# --- Under random faults -------------------------------------------------------------------------------
@pytest.mark.parametrize("first", range(0, 180, 20))
def test_three_replicas_keep_every_property_under_faults(first: int) -> None:
    for seed in range(first, first + 20):
        run_seed(seed, 3)


@pytest.mark.parametrize("first", range(1000, 1060, 10))
def test_five_replicas_keep_every_property_under_faults(first: int) -> None:
    for seed in range(first, first + 10):
        run_seed(seed, 5)


def test_the_same_seed_gives_the_same_run() -> None:
    one, other = run_seed(7, 3), run_seed(7, 3)
    assert (one.steps, one.history, one.log) == (other.steps, other.history, other.log)


# --- Elections -------------------------------------------------------------------------------------------
def test_a_replica_that_returns_from_a_partition_does_not_depose_the_leader() -> None:
    sim = FaultFreeCluster()
    away, term = sim.followers()[0], sim.node(sim.leading_host).raft.hard_state.term
    sim.isolate(away)
    sim.advance(10_000)
    sim.blocked_links.clear()
    sim.advance(3_000)
    assert sim.node(sim.leading_host).raft.hard_state.term == term
    assert sim.node(away).raft.leader == sim.leading_host.name


def test_a_removed_member_that_keeps_requesting_votes_changes_nothing() -> None:
    sim = FaultFreeCluster(size=4)
    removed, lead = sim.followers()[0], sim.leading_host
    sim.remove_member(removed)
    term = sim.node(lead).raft.hard_state.term
    assert removed.name in sim.node(removed).raft.membership.names, "the member must not know of its removal"
    sim.advance(20_000)
    assert sim.leading_host is lead and sim.node(lead).raft.hard_state.term == term
    assert sim.node(removed).raft.hard_state.term == term and not sim.node(removed).is_leader


def test_vote_requests_of_a_removed_member_are_ignored_while_a_leader_is_active() -> None:
    sim = FaultFreeCluster(size=4)
    removed, lead = sim.followers()[0], sim.leading_host
    sim.remove_member(removed)
    term = sim.node(lead).raft.hard_state.term
    for _ in range(50):  # a replica without pre-vote
        for host in sim.hosts.values():
            if host is not removed:
                sim.send(removed, host.name, m.RequestVote(term + 100, 10**6, term + 99))
        sim.advance(100)
    assert sim.leading_host is lead and sim.node(lead).raft.hard_state.term == term


def test_a_leader_that_receives_nothing_steps_down() -> None:
    sim = FaultFreeCluster()
    lead = sim.leading_host
    sim.isolate(lead, sends=True)  # its heartbeats still prevent an election
    sim.wait_until(lambda: not sim.node(lead).is_leader, 2_000)
    sim.wait_until(lambda: sim.leader is not None and sim.leader is not lead)
    assert sim.write("a", "1").error == ""


def test_a_leadership_transfer_takes_less_than_an_election_timeout() -> None:
    sim = FaultFreeCluster()
    target, began = sim.followers()[0], sim.now_ms
    sim.run_on(sim.leading_host, lambda node, now: node.raft.transfer_leadership(now, target.name))
    sim.wait_until(lambda: sim.leader is target)
    assert sim.now_ms - began < 100
    assert "no voter" in refusal_text(
        lambda: sim.node(target).raft.transfer_leadership(sim.local_time(target), "nobody")
    )
    sim.run_on(
        target, lambda node, now: node.raft.transfer_leadership(now, target.name)
    )  # already the leader
    assert sim.write("a", "1").error == "" and sim.leader is target


def test_a_leadership_transfer_to_an_unreachable_member_is_abandoned() -> None:
    sim = FaultFreeCluster()
    lead, target = sim.leading_host, sim.followers()[0]
    sim.isolate(target)
    sim.run_on(lead, lambda node, now: node.raft.transfer_leadership(now, target.name))
    assert "handed over" in busy_text(
        lambda: sim.node(lead).propose(sim.local_time(lead), put("a", "1"), print)
    )
    sim.advance(1_000)
    assert sim.write("a", "2", lead).error == ""


# --- Reads and writes of a former leader ---------------------------------------------------------------
def test_a_partitioned_leader_serves_no_stale_read() -> None:
    for sends, receives in ((False, False), (False, True), (True, False)):
        sim = FaultFreeCluster()
        old = sim.leading_host
        old.clock_rate = 0.01  # with this slow clock it takes itself for the leader for long
        sim.write("a", "old")
        sim.isolate(old, receives=receives, sends=sends)
        if sends:  # the others still follow it, but it commits nothing
            seen, results = sim.read(old, "a"), sim.propose(old, put("a", "new"))
            sim.advance(3_000)
            assert not seen and not results
            continue
        others = [host for host in sim.hosts.values() if host is not old]
        sim.wait_until(lambda others=others: any(host.node and host.node.is_leader for host in others))
        sim.write("a", "new", sim.leading_host)
        seen = sim.read(old, "a")
        sim.advance(3_000)
        assert seen in ([], ["refused"]), seen


def test_a_leader_that_was_paused_acknowledges_nothing_and_serves_no_stale_read() -> None:
    sim = FaultFreeCluster()
    old = sim.leading_host
    sim.write("a", "old")
    old.is_paused = True
    written = sim.propose(old, put("a", "lost?"))  # received during the pause
    seen = sim.read(old, "a")
    sim.wait_until(lambda: sim.leader is not None and sim.leader is not old)
    sim.write("a", "new")
    for _ in range(20):  # these ticks run before messages that arrived during the pause
        sim.run_on(old, lambda node, now: node.tick(now))
    with pytest.raises(RefusedError):
        sim.resume(old)
    sim.advance(3_000)
    assert not written and "old" not in seen
    later = sim.read(old, "a")
    sim.wait_until(lambda: bool(later))
    assert later == ["new"]


def test_a_follower_read_returns_acknowledged_writes() -> None:
    sim = FaultFreeCluster()
    for at in range(10):
        sim.write("a", str(at))
        for host in sim.followers():
            seen = sim.read(host, "a")
            sim.wait_until(lambda seen=seen: bool(seen))
            assert seen == [str(at)]


def test_a_read_forwarded_to_a_lost_leader_fails_once_another_leads() -> None:
    sim = FaultFreeCluster()
    sim.write("a", "1")
    host, old = sim.followers()[0], sim.leading_host
    results: list[bool] = []
    sim.isolate(old, receives=False, sends=False)  # its response will never arrive
    sim.run_on(host, lambda node, now: node.read(now, results.append))
    sim.wait_until(lambda: sim.node(host).raft.leader not in ("", old.name))
    assert results == [False]


def test_a_command_whose_response_was_lost_is_applied_once() -> None:
    sim = FaultFreeCluster()
    opened = sim.propose(sim.leading_host, Command(kv.OpenSession()))
    sim.wait_until(lambda: bool(opened))
    session = opened[0].ident if opened[0] else 0
    first = sim.write("a", "1", session=session, number=1)
    sim.write("a", "2")
    sim.crash(sim.leading_host)
    sim.wait_until(lambda: sim.leader is not None)
    again = sim.write("a", "1", session=session, number=1)
    assert again == first
    seen = sim.read(sim.leading_host, "a")
    sim.wait_until(lambda: bool(seen))
    assert seen == ["2"]


def test_entries_of_an_earlier_term_are_not_committed_by_counting() -> None:
    """An entry of an earlier term on a majority may still be replaced (figure 3.7 of the dissertation)."""
    sim = FaultFreeCluster(size=5)
    s1, (s2, s3, s4, s5) = sim.leading_host, sim.followers()
    for host in (s3, s4, s5):
        sim.isolate(host)
    sim.propose(s1, put("a", "maybe"))
    sim.wait_until(lambda: sim.node(s2).raft.log.last_index == sim.node(s1).raft.log.last_index)
    sim.blocked_links.clear()
    term = sim.node(s1).raft.hard_state.term
    index = sim.node(s1).raft.log.last_index
    assert sim.node(s1).raft.commit_index < index or sim.node(s1).raft.log.term_at(index) == term
    # As the leader of a later term it finds the entry on a majority, which holds none of its own entries yet.
    raft = sim.node(s1).raft
    raft._become_follower(term + 5, "")
    raft.role = type(raft.role).LEADER
    raft._term_start_index = index + 1
    raft._update_progress()
    raft.commit_index = index - 1
    for name in (s2.name, s3.name):
        raft.progress[name].match_index = index
    raft._advance_commit_index()
    assert raft.commit_index == index - 1


# --- Members ------------------------------------------------------------------------------------------
def test_a_new_member_receives_a_snapshot_and_votes_once_it_has_caught_up() -> None:
    sim = FaultFreeCluster()
    sim.write_entries(80)
    assert sim.node(sim.leading_host).raft.log.base_index > 0, "the start of the log must be compacted"
    new = sim.add_member("n9")
    sim.wait_until(lambda: sim.node(new).raft.applied_index == sim.node(sim.leading_host).raft.applied_index)
    assert sim.node(new).state_machine.state == sim.node(sim.leading_host).state_machine.state
    results = sim.change_membership(
        [Member(each.name, each.address) for each in sim.node(sim.leading_host).raft.membership.members]
    )
    sim.wait_until(lambda: bool(results))
    assert len(sim.node(new).raft.membership.voters) == 4


def test_a_learner_that_never_catches_up_delays_nothing_and_gets_no_vote() -> None:
    sim = FaultFreeCluster()
    new = sim.add_member("n9")
    sim.isolate(new, sends=True)
    sim.write_entries(MAX_LEARNER_LAG_ENTRIES + 10)
    members = [Member(each.name, each.address) for each in sim.node(sim.leading_host).raft.membership.members]
    text = refusal_text(
        lambda: sim.node(sim.leading_host).change_membership(
            sim.local_time(sim.leading_host), Membership(tuple(members)), print
        )
    )
    assert "n9 lacks" in text
    sim.node(sim.leading_host).raft.progress["n9"].last_response_ms = float(
        "inf"
    )  # it responds, but lacks too many entries
    text = refusal_text(
        lambda: sim.node(sim.leading_host).change_membership(
            sim.local_time(sim.leading_host), Membership(tuple(members)), print
        )
    )
    assert "up to 1000 may be lacking" in text
    assert sim.write("a", "1").error == ""


def test_one_membership_change_at_a_time() -> None:
    sim = FaultFreeCluster()
    members = list(sim.node(sim.leading_host).raft.membership.members)
    removes_two = Membership(tuple(members[:1]))
    assert "one voter" in refusal_text(
        lambda: sim.node(sim.leading_host).change_membership(
            sim.local_time(sim.leading_host), removes_two, print
        )
    )
    for host in sim.followers():
        sim.isolate(host)
    sim.change_membership([*members, Member("x", "x:1", voter=False)])
    adds_another = Membership((*members, Member("y", "y:1", voter=False)))
    assert "not committed" in busy_text(
        lambda: sim.node(sim.leading_host).change_membership(
            sim.local_time(sim.leading_host), adds_another, print
        )
    )


def test_a_removed_leader_steps_down_and_the_others_continue() -> None:
    sim = FaultFreeCluster(size=4)
    old = sim.leading_host
    sim.remove_member(old)
    sim.wait_until(lambda: sim.leader is not None and sim.leader is not old)
    assert sim.write("a", "1").error == ""


# --- Disks ---------------------------------------------------------------------------------------------
def _isolate_one_follower(sim: FaultFreeCluster) -> tuple[Host, Host, Host]:
    """Isolates a follower, so that a write reaches the other two replicas alone.

    Returns the leader, the other follower and the isolated one.
    """
    lead, (holder, lagging) = sim.leading_host, sim.followers()
    sim.isolate(lagging)
    return lead, holder, lagging


@pytest.mark.parametrize("detected_by", ["by its own stamp", "by the others"])
def test_a_replica_with_an_older_disk_does_not_vote_away_acknowledged_writes(detected_by: str) -> None:
    sim = FaultFreeCluster()
    lead, holder, lagging = _isolate_one_follower(sim)
    old = holder.files.copy()
    sim.write("a", "acknowledged")
    holder.node, holder.files = None, old
    holder.incarnation += 1
    holder.may_be_stale = detected_by == "by its own stamp"
    if detected_by == "by the others":
        # The isolated follower knows the holder's acknowledged index, as heartbeats carry it, but no entries.
        acknowledged_index = sim.node(lead).raft.applied_index
        sim.node(lagging).raft._acknowledged_indexes[holder.name] = acknowledged_index
    sim.crash(lead)
    lead.incarnation += 1  # prevents its restart
    sim.blocked_links.clear()
    sim.start(holder)
    sim.advance(20_000)
    assert sim.leader is None, "two replicas without an acknowledged write elected a leader"
    sim.start(lead)
    sim.wait_until(lambda: sim.leader is not None)
    seen = sim.read(sim.leading_host, "a")
    sim.wait_until(lambda: bool(seen))
    assert seen == ["acknowledged"]
    sim.wait_until(lambda: not sim.node(holder).raft.hard_state.recovering)
    sim.wait_until(lambda: sim.node(holder).state_machine.state == sim.node(lead).state_machine.state)


def test_an_older_disk_is_brought_up_to_date_while_the_leader_is_active() -> None:
    sim = FaultFreeCluster()
    holder = sim.followers()[0]
    old = holder.files.copy()
    sim.write_entries(60)
    holder.node, holder.files = None, old
    holder.incarnation += 1
    sim.start(holder)
    sim.wait_until(
        lambda: sim.node(holder).raft.applied_index == sim.node(sim.leading_host).raft.applied_index
    )
    sim.wait_until(lambda: not sim.node(holder).raft.hard_state.recovering)
    sim.crash(next(host for host in sim.followers() if host is not holder))
    assert sim.write("a", "1").error == ""


def test_a_recovering_replica_repeats_its_requests_until_it_gets_responses() -> None:
    sim = FaultFreeCluster()
    holder = sim.followers()[0]
    old = holder.files.copy()
    sim.write_entries(5)
    holder.node, holder.files, holder.may_be_stale = None, old, True
    holder.incarnation += 1
    sim.isolate(holder)
    sim.start(holder)
    sim.advance(20)  # its first requests were lost
    sim.blocked_links.clear()
    sim.wait_until(lambda: not sim.node(holder).raft.hard_state.recovering, 5_000)
    sim.wait_until(
        lambda: sim.node(holder).state_machine.state == sim.node(sim.leading_host).state_machine.state
    )


def test_a_leader_whose_disk_is_full_acknowledges_nothing_and_another_takes_over() -> None:
    sim = FaultFreeCluster()
    old = sim.leading_host
    old.files.is_failing = True
    results = sim.propose(old, put("a", "1"))
    assert results == [None]
    sim.wait_until(lambda: sim.leader is not None and sim.leader is not old)
    assert sim.write("a", "2").error == ""
    assert "No space left" in sim.node(old).failure and not sim.node(old).is_leader


@pytest.mark.parametrize("seed", range(8))
def test_three_full_disks_for_ten_seconds_lose_nothing_that_was_acknowledged(seed: int) -> None:
    """No replica restarts; writes continue once there is space on the disks."""
    sim = ClusterSimulation(seed, 3, Faults(0.01, 0.01, 0, False), faults_end_ms=14_000.0)
    hosts = list(sim.hosts.values())

    def fill(full: bool) -> None:
        for host in hosts:
            host.files.is_failing = full

    sim.schedule(1_500, lambda: fill(True))
    sim.schedule(11_500, lambda: fill(False))
    sim.run()  # checks that the history is linearizable
    assert all(host.incarnation == 1 for host in hosts)
    wrote = [op for op in sim.history if op.kind == "write"]
    assert any(op.end < 1_500 for op in wrote) and any(op.start > 11_500 for op in wrote)


def test_a_replica_whose_disk_is_full_gives_no_vote() -> None:
    sim = FaultFreeCluster()
    full, other = sim.followers()
    full.files.is_failing = True
    sim.write("a", "1")
    sim.wait_until(lambda: bool(sim.node(full).failure))
    sim.crash(sim.leading_host)
    for host in sim.hosts.values():
        host.incarnation += host.node is None
    sim.advance(5_000)
    assert not sim.node(other).is_leader


# --- Leases --------------------------------------------------------------------------------------------
def test_a_holder_that_was_paused_past_its_lease_writes_nothing_under_it() -> None:
    sim = FaultFreeCluster()
    granted = sim.propose(sim.leading_host, Command(kv.GrantLease(1_000)))
    sim.wait_until(lambda: bool(granted))
    lease = granted[0].ident if granted[0] else 0
    sim.write("holder", "me", lease=lease)
    sim.advance(3_000)
    assert "holder" not in sim.node(sim.leading_host).state_machine.state.values
    result = sim.write("holder", "me", lease=lease)
    assert result.error == "lease" and "ended" in result.text


def test_a_lease_that_expires_during_a_leadership_transfer_disturbs_nothing() -> None:
    sim = FaultFreeCluster()
    granted = sim.propose(sim.leading_host, Command(kv.GrantLease(100)))
    sim.wait_until(lambda: bool(granted))
    sim.write("holder", "me", lease=granted[0].ident if granted[0] else 0)
    lead, target = sim.leading_host, sim.followers()[0]
    sim.isolate(target)  # the transfer runs into its timeout
    sim.run_on(lead, lambda node, now: node.raft.transfer_leadership(now, target.name))
    sim.advance(1_000)
    sim.blocked_links.clear()
    sim.wait_until(lambda: "holder" not in sim.node(sim.leading_host).state_machine.state.values, 10_000)


def test_a_lease_outlives_a_change_of_leader_and_then_ends() -> None:
    sim = FaultFreeCluster()
    granted = sim.propose(sim.leading_host, Command(kv.GrantLease(4_000)))
    sim.wait_until(lambda: bool(granted))
    sim.write("holder", "me", lease=granted[0].ident if granted[0] else 0)
    sim.advance(1_000)
    sim.crash(sim.leading_host)
    sim.wait_until(lambda: sim.leader is not None)
    assert "holder" in sim.node(sim.leading_host).state_machine.state.values
    sim.wait_until(lambda: "holder" not in sim.node(sim.leading_host).state_machine.state.values, 10_000)
