"""Membership: merging of records, and the state machine in virtual time under random and chosen faults."""

from __future__ import annotations

import math
import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from basaltpoint.links.frames import encode_frame
from basaltpoint.peers.actions import Action, MemberChanged, Send
from basaltpoint.peers.dissemination import GossipQueue
from basaltpoint.peers.messages import (
    INCARNATION_LIMIT,
    MAX_MESSAGE_BYTES,
    PEER_PROTOCOL,
    Gossip,
    MemberRecord,
    MemberState,
    Message,
    Ping,
    PingRequest,
    PushPull,
    UnknownMessage,
)
from basaltpoint.peers.name_conflicts import NameConflict
from basaltpoint.peers.options import MembershipOptions
from basaltpoint.peers.prober import MAX_RELAYED_PROBES
from basaltpoint.peers.push_pull import PushPullExchange
from basaltpoint.peers.state_machine import MembershipStateMachine
from basaltpoint.peers.suspicion import Suspicion
from basaltpoint.peers.view import MembershipView, merge, precedence, validation_error
from basaltpoint.rehearsal import checks
from basaltpoint.rehearsal.faults import Fault, FaultKind, last_fault_end_s, random_faults
from basaltpoint.rehearsal.model import FleetModel

MEMBER_RECORDS = st.builds(
    MemberRecord,
    st.just("a"),
    st.sampled_from(["x:1", "y:2"]),
    st.integers(1, 4),
    st.sampled_from(MemberState),
    st.integers(1, 3),
    reported_by=st.sampled_from(["", "b", "c"]),
    connection_refused=st.booleans(),
    self_report=st.integers(0, 2),
)


def run_model(
    count: int, faults: list[Fault], seconds: float, seed: int = 1, **options: object
) -> FleetModel:
    names = [f"l{at + 1}" for at in range(count)]
    model = FleetModel(names, MembershipOptions(**options), faults, seed)  # type: ignore[arg-type]
    model.run_until(seconds)
    return model


def assert_converged(model: FleetModel, seconds: float) -> float:
    """Returns the seconds from the last fault until all views agreed; fails on any finding of the checks."""
    lives, saws = model.lifetimes, model.observations
    from_s = last_fault_end_s(model.faults, seconds)
    took, findings = checks.time_to_agreement(lives, saws, from_s, seconds)
    findings += checks.find_resurrections(lives, saws) + checks.find_reachable_dead_to_all(
        lives, saws, model.faults, seconds
    )
    assert not findings and not model.terminations
    return took


# --- Records -------------------------------------------------------------------------------------------
@given(MEMBER_RECORDS, MEMBER_RECORDS, MEMBER_RECORDS)
def test_merge_is_commutative_associative_and_idempotent(
    a: MemberRecord, b: MemberRecord, c: MemberRecord
) -> None:
    assert merge(a, b) == merge(b, a)
    assert merge(merge(a, b), c) == merge(a, merge(b, c))
    assert merge(a, a) == a
    assert precedence(merge(a, b)) == max(precedence(a), precedence(b))


@pytest.mark.parametrize(
    "record",
    [
        MemberRecord("a", "x:1", 0, MemberState.ALIVE, 1),
        MemberRecord("a", "x:1", INCARNATION_LIMIT, MemberState.ALIVE, 1),
        MemberRecord("", "x:1", 1, MemberState.ALIVE, 1),
        MemberRecord("a" * 65, "x:1", 1, MemberState.ALIVE, 1),
        MemberRecord("a", "x" * 129, 1, MemberState.ALIVE, 1),
        MemberRecord("a", "x:1", 1, MemberState.ALIVE, 1, unreachable=("b",) * 9),
    ],
)
def test_invalid_record_is_rejected_with_a_reason(record: MemberRecord) -> None:
    assert (
        "allowed" in validation_error(record)
        or "longer" in validation_error(record)
        or "more than" in validation_error(record)
    )


def test_fields_and_messages_of_newer_versions_are_ignored() -> None:
    newer = msgspec.msgpack.encode(["g", [["a", "x:1", 1, 1, 1, "", False, 0, [], "later"]], "later"])
    assert PEER_PROTOCOL.decode(memoryview(newer)) == Gossip(
        (MemberRecord("a", "x:1", 1, MemberState.ALIVE, 1),)
    )
    assert PEER_PROTOCOL.decode(memoryview(msgspec.msgpack.encode(["zz", 1]))) == UnknownMessage()
    with pytest.raises(msgspec.DecodeError):
        PEER_PROTOCOL.decode(memoryview(msgspec.msgpack.encode(["p", "no rows"])))


@given(st.integers(2, 300))
def test_member_probes_a_logarithmic_number_of_others(count: int) -> None:
    view = MembershipView("m0")
    for at in range(count):
        view.put(0.0, MemberRecord(f"m{at}", f"x:{at}", 1, MemberState.ALIVE, 1))
    watched = view.probe_targets()
    assert len(watched) == len(set(watched)) == (count - 1).bit_length() and "m0" not in watched


@given(st.integers(0, 40), st.integers(1, 8))
def test_record_is_gossiped_a_limited_number_of_times(record_count: int, max_records: int) -> None:
    queue, transmissions = GossipQueue(), dict[str, int]()
    for at in range(record_count):
        queue.add(MemberRecord(f"m{at}", "x:1", 1, MemberState.ALIVE, 1))
    while records := queue.next_records(max_records, 12):
        assert len(records) <= max_records
        for record in records:
            transmissions[record.name] = transmissions.get(record.name, 0) + 1
    assert len(transmissions) == record_count and set(transmissions.values()) <= {12} and not len(queue)


def test_received_copies_of_the_same_record_reduce_its_transmissions() -> None:
    record, queue = MemberRecord("m", "x:1", 2, MemberState.SUSPECT, 1, reported_by="a"), GossipQueue()
    transmissions = []
    for received in ((), (record,), (record, record), (MemberRecord("m", "x:1", 1, MemberState.ALIVE, 1),)):
        queue.add(record)
        for one in received:
            queue.received(one, 12)
        transmissions.append(0)
        while queue.next_records(8, 12):
            transmissions[-1] += 1
    assert transmissions == [12, 4, 0, 12]


# --- The state machine ---------------------------------------------------------------------------------
@pytest.mark.parametrize("count", [3, 12, 40])
@pytest.mark.parametrize("seed", range(4))
def test_views_converge_after_random_faults_without_resurrection(count: int, seed: int) -> None:
    rng = random.Random(seed)
    faults = random_faults(rng, [f"l{at + 1}" for at in range(count)], 90.0, 4)
    assert_converged(run_model(count, faults, 180.0, seed), 180.0)


@pytest.mark.parametrize("count", [2, 3, 12, 40])
def test_killed_member_is_detected_by_all_within_seconds(count: int) -> None:
    model = run_model(count, [Fault(FaultKind.KILL, 10.0, math.inf, members=(f"l{count}",))], 30.0)
    assert_converged(model, 30.0)
    (kill,) = checks.find_crashes(model.lifetimes, model.observations, 30.0)
    assert not kill.undetected_by and max(kill.detected_s.values()) < 2.5


@pytest.mark.parametrize("paused", [("l2",), ("l2", "l3", "l5")])
@pytest.mark.parametrize("pause_s", [3.0, 10.0, 60.0])
def test_paused_members_declare_nobody_dead(paused: tuple[str, ...], pause_s: float) -> None:
    model = run_model(5, [Fault(FaultKind.PAUSE, 10.0, 10.0 + pause_s, members=paused)], 120.0)
    assert_converged(model, 120.0)
    wrong_deaths = checks.find_wrong_deaths(model.lifetimes, model.observations)
    assert all(finding.members[1] in paused for finding in wrong_deaths)
    if pause_s <= 5.0:
        assert not wrong_deaths


def test_one_way_cut_link_is_reported_and_kills_nobody() -> None:
    model = run_model(5, [Fault(FaultKind.CUT, 10.0, 70.0, sources=("l2",), targets=("l1",))], 60.0)
    assert not checks.find_wrong_deaths(model.lifetimes, model.observations)
    reported = {cut[:2] for cut in model.nodes["l4"].membership.view.broken_links()}
    assert ("l1", "l2") in reported or ("l2", "l1") in reported
    model.run_until(120.0)
    assert not list(model.nodes["l4"].membership.view.broken_links())


def test_ring_of_one_way_cuts_kills_nobody() -> None:
    names = [f"l{at + 1}" for at in range(5)]
    ring = [
        Fault(FaultKind.CUT, 10.0, 70.0, sources=(name,), targets=(names[(at + 1) % 5],))
        for at, name in enumerate(names)
    ]
    model = run_model(5, ring, 120.0)
    assert_converged(model, 120.0)
    assert not checks.find_wrong_deaths(model.lifetimes, model.observations)


def test_views_converge_after_a_partition_with_changes_on_both_sides() -> None:
    sides = (("l1", "l2"), ("l3", "l4", "l5"))
    faults = [
        Fault(FaultKind.SPLIT, 10.0, 60.0, sides=sides),
        Fault(FaultKind.KILL, 20.0, math.inf, members=("l2",)),
        Fault(FaultKind.STOP, 25.0, 45.0, members=("l3",)),
        Fault(FaultKind.KILL, 30.0, 50.0, members=("l4",)),
    ]
    assert assert_converged(run_model(5, faults, 120.0), 120.0) < 15.0


def test_later_process_with_a_conflicting_name_terminates() -> None:
    model = run_model(3, [], 10.0)
    later_process = model._make_state_machine(
        "l2", "other:1", 7, 9999, [("l1", "l1")], MembershipOptions(), random.Random(1), 10_000.0
    )
    later_process.tick(10_000.0)
    later_process.message_received(
        10_001.0,
        "l1",
        "l1",
        PushPull(model.nodes["l1"].membership.view.records, 0, 1),
    )
    later_process.take_actions()
    later_process.name_conflict_found(10_002.0, model.nodes["l2"].membership.instance_id, 10_000.0)
    (end,) = [action for action in later_process.take_actions() if type(action).__name__ == "Terminate"]
    assert "the name l2 is in use at l2" in end.reason and later_process.has_ended


def test_false_records_are_bounded_and_a_false_death_is_refuted() -> None:
    model = run_model(5, [], 10.0)
    node = model.nodes["l1"]
    false_records = tuple(MemberRecord(f"x{at}", f"x:{at}", 5, MemberState.ALIVE, 1) for at in range(2000))
    for at in range(0, 2000, 100):
        node.membership.message_received(10_000.0, "l5", "l5", Gossip(false_records[at : at + 100]))
    assert len(node.membership.view.members) <= 4 * MembershipOptions().max_members
    victim = model.nodes["l2"].membership.view.get("l2")
    assert victim
    dead = MemberRecord("l2", "l2", victim.incarnation, MemberState.DEAD, victim.instance_id, "l5")
    node.membership.message_received(10_000.0, "l5", "l5", Gossip((dead,)))
    model._carry_out_actions(node)
    model.run_until(15.0)
    record = node.membership.view.get("l2")
    assert record and record.state is MemberState.ALIVE and record.incarnation > victim.incarnation


def test_removing_a_live_member_requires_force() -> None:
    model = run_model(3, [], 10.0)
    node = model.nodes["l1"]
    assert "--force" in node.membership.remove_member(10_000.0, "l2", False)
    assert "known are" in node.membership.remove_member(10_000.0, "l9", False)
    assert node.membership.remove_member(10_000.0, "l2", True) == ""
    model._carry_out_actions(node)
    model.run_until(12.0)
    assert [(name, why) for _, name, why in model.terminations] == [("l2", "l1 declared this member gone")]


def test_relayed_probes_of_a_flooding_member_are_bounded() -> None:
    model = run_model(40, [], 10.0)
    node = model.nodes["l1"]
    for seq in range(2 * MAX_RELAYED_PROBES):
        node.membership.message_received(10_000.0, "l5", "l5", PingRequest((), seq, "l7", "l7"))
    assert len(node.membership.prober.relayed_probes) == MAX_RELAYED_PROBES
    assert (
        sum(
            type(a).__name__ == "Send" and isinstance(a.message, Ping) for a in node.membership.take_actions()
        )
        <= MAX_RELAYED_PROBES + 1
    )  # type: ignore[union-attr]


# --- Successors and pauses -----------------------------------------------------------------------------
def test_successor_inherits_the_age_that_decides_a_name_conflict() -> None:
    model = run_model(3, [], 10.0)
    predecessor = model.nodes["l2"].membership
    records = predecessor.hand_over()
    for age_ms, ends in ((10_000.0, False), (0.0, True)):
        successor = model._make_member("l2", 1)
        successor.take_over(10_000.0, records, age_ms)
        successor.name_conflict_found(10_001.0, predecessor.instance_id + 1, 5_000.0)
        assert (successor.has_ended, successor.instance_id, successor.view.ring) == (
            ends,
            predecessor.instance_id,
            predecessor.view.ring,
        )
    assert predecessor.next_timer_ms == math.inf and not predecessor.take_actions()


@pytest.mark.parametrize("count", [3, 12, 40, 200])
def test_upgrade_changes_no_view(count: int) -> None:
    on = tuple(f"l{at + 1}" for at in range(0, count, 3))
    model = run_model(count, [Fault(FaultKind.UPGRADE, 15.0, math.inf, members=on)], 45.0)
    assert_converged(model, 45.0)
    # Later views hold only what a successor took over: members alive, in their first incarnations.
    first = {(saw.member, saw.incarnation, "alive") for saw in model.observations if saw.at_s < 15.0}
    assert {
        (saw.member, saw.incarnation, saw.state) for saw in model.observations if saw.at_s >= 15.0
    } <= first


class SingleMember:
    """One state machine, driven by the test, with two other members that never respond."""

    def __init__(self, seed: int = 1) -> None:
        options = MembershipOptions(max_health_score=0)  # a bad local health would stretch all timeouts
        self.peers = MembershipStateMachine("l1", "l1", 1, 1000, [], options, random.Random(seed), 0.0)
        self.now = 0.0
        self.actions: list[Action] = []
        self.run_until(1.0)
        records = tuple(MemberRecord(name, name, 1, MemberState.ALIVE, 5) for name in ("l2", "l3"))
        self.peers.message_received(self.now, "l3", "l3", Gossip(records))

    def run_until(self, until: float) -> list[Action]:
        """Runs all timers until the given time; returns the actions."""
        actions: list[Action] = []
        while True:
            actions += self.peers.take_actions()
            due = max(self.now, self.peers.next_timer_ms)
            if due > until:
                break
            self.now = due
            self.peers.tick(self.now)
        self.now = until
        return actions

    def resume_after(self, after: float) -> list[Action]:
        """Simulates a pause of that many ms, then runs the late timers; returns the actions."""
        self.now += after
        self.peers.tick(self.now)
        return self.peers.take_actions()

    def state_of(self, name: str) -> MemberState:
        record = self.peers.view.get(name)
        assert record
        return record.state


@pytest.mark.parametrize(
    "others_declare_dead", [False, True], ids=["by its own timeout", "declared dead by another"]
)
def test_member_is_probed_again_before_an_old_failed_probe_counts(others_declare_dead: bool) -> None:
    """The suspected member may have been paused during the old probe, and its refutation lost."""
    member = SingleMember()
    others = tuple(MemberRecord(f"m{at}", f"m{at}", 1, MemberState.ALIVE, 5) for at in range(40))
    member.peers.message_received(member.now, "l3", "l3", Gossip(others))
    target = next(record for record in others if record.name not in member.peers.view.probe_targets())
    suspicion = replace(target, state=MemberState.SUSPECT, reported_by="l3")
    for by in ("l3", "l2", "m1", "m2"):  # confirmed so often that it expires first
        member.peers.message_received(member.now, "l3", "l3", Gossip((replace(suspicion, reported_by=by),)))
    last_probe_ms = 0.0
    while member.state_of(target.name) is not MemberState.DEAD:
        now = member.now
        if others_declare_dead and now - last_probe_ms > 5_000.0 and last_probe_ms:
            member.peers.message_received(
                now, "l3", "l3", Gossip((replace(suspicion, state=MemberState.DEAD),))
            )
        actions = member.run_until(now + 250.0)
        if [
            a
            for a in actions
            if isinstance(a, Send) and a.member == target.name and isinstance(a.message, Ping)
        ]:
            last_probe_ms = member.now
        assert member.now < 120_000.0
    assert member.now - last_probe_ms < 3_000.0 < member.now


def test_probe_in_progress_during_a_pause_causes_no_suspicion() -> None:
    member = SingleMember()
    while not any(probe.is_indirect for probe in member.peers.prober.probes.values()):
        member.run_until(member.now + 10.0)
    assert member.state_of("l2") is member.state_of("l3") is MemberState.ALIVE
    member.resume_after(10_000.0)
    assert not any(
        isinstance(a, MemberChanged) and a.after.state is MemberState.SUSPECT
        for a in member.peers.take_actions()
    )
    assert member.state_of("l2") is member.state_of("l3") is MemberState.ALIVE


@pytest.mark.parametrize("seed", range(6))
def test_suspicion_that_expired_during_a_pause_is_extended_and_probed_again(seed: int) -> None:
    member = SingleMember(seed)
    while member.state_of("l2") is not MemberState.SUSPECT:
        member.run_until(member.now + 10.0)
    suspected_ms = member.now
    member.run_until(suspected_ms + 2_000.0)
    actions = member.resume_after(30_000.0)
    assert any(isinstance(a, Send) and a.member == "l2" and isinstance(a.message, Ping) for a in actions)
    member.peers.message_received(
        member.now, "l3", "l3", Gossip()
    )  # without a message, it would consider itself cut off
    # 7 s of suspicion, as no member is left to confirm it, plus 30 s of pause and 1 s for probes.
    member.run_until(suspected_ms + 37_500.0)
    assert member.state_of("l2") is MemberState.SUSPECT
    member.run_until(suspected_ms + 60_000.0)
    assert member.state_of("l2") is MemberState.DEAD


class NeverPaused(MembershipStateMachine):
    """Fails if it detects a pause; the model runs its timers in time."""

    def _detect_pause(self, now: float) -> None:
        super()._detect_pause(now)
        assert self.timer_delay_ms < 1.0


def test_shortened_suspicion_is_not_taken_for_a_pause() -> None:
    split = Fault(FaultKind.SPLIT, 10.0, 40.0, sides=(("l1", "l2"), ("l3", "l4", "l5")))
    for seed in range(4):
        model = FleetModel(
            [f"l{at + 1}" for at in range(5)],
            MembershipOptions(silent_ms=1500.0),
            [split],
            seed,
            make_state_machine=NeverPaused,
        )
        model.run_until(60.0)
        assert_converged(model, 60.0)


def test_occasional_message_loss_is_not_reported_as_a_broken_link() -> None:
    names = tuple(f"l{at + 1}" for at in range(12))
    model = run_model(
        12, [Fault(FaultKind.DROP, 10.0, 70.0, sources=names, targets=names, fraction=0.05)], 70.0
    )
    assert (
        sum(node.membership.view.members[name].record.self_report for name, node in model.nodes.items()) < 12
    )
    assert not checks.find_wrong_deaths(model.lifetimes, model.observations)


def test_unconfirmed_connection_refusal_counts_as_silence() -> None:
    member = SingleMember()
    member.peers.prober.probe_soon(member.now, "l2")
    member.run_until(member.now + 1.0)
    member.peers.connection_refused(member.now, "l2")
    member.run_until(member.now + 2_000.0)
    record = member.peers.view.get("l2")
    assert record and record.state is MemberState.SUSPECT and not record.connection_refused


def test_push_pull_exchange_reconciles_two_views() -> None:
    views = {name: MembershipView(name) for name in ("a", "b")}
    for name, others in (("a", range(0, 300)), ("b", range(100, 400))):
        for at in others:
            state = MemberState.DEAD if (at + len(name)) % 7 == 0 else MemberState.ALIVE
            views[name].put(0.0, MemberRecord(f"m{at}", "x:1", 1 + (name == "b") * (at % 2), state, 1))
    waiting: list[tuple[str, PushPull]] = []

    def exchange(name: str) -> PushPullExchange:
        def tell(to: str, address: str, message: Message) -> None:
            assert isinstance(message, PushPull) and len(encode_frame(message)) < MAX_MESSAGE_BYTES
            waiting.append((to, message))

        return PushPullExchange(views[name], MembershipOptions(), random.Random(1), tell)

    both = {name: exchange(name) for name in views}
    both["a"].send_digest("b", "b")
    while waiting:
        to, sync = waiting.pop(0)
        for record in sync.records:
            current = views[to].get(record.name)
            views[to].put(0.0, merge(current, record) if current else record)
        both[to].message_received("a" if to == "b" else "b", "x", sync)
    assert (
        views["a"].digest() == views["b"].digest()
        and len(views["a"].members) == len(views["b"].members) == 400
    )


def test_partition_heals_without_seeds() -> None:
    split = Fault(FaultKind.SPLIT, 10.0, 60.0, sides=(("l1", "l2", "l3"), ("l4", "l5")))
    model = run_model(5, [split], 5.0)
    for node in model.nodes.values():
        node.membership.set_seeds(())
    model.run_until(120.0)
    assert_converged(model, 120.0)


def test_suspicion_shrinks_with_confirmations_and_with_a_refusal() -> None:
    options = MembershipOptions()
    suspicion, expiries_ms = Suspicion(1, 0.0, False), []
    for who in ("a", "b", "c", "d"):
        assert suspicion.confirm(who, False) and not suspicion.confirm(who, False)
        expiries_ms.append(suspicion.expires_ms(options, 200))
    scale = math.log10(200)
    assert expiries_ms == sorted(expiries_ms, reverse=True) and len(set(expiries_ms)) == 4
    assert expiries_ms[0] == pytest.approx(14_000 * scale) and expiries_ms[3] == pytest.approx(7_000 * scale)
    assert suspicion.confirm("a", True) and suspicion.expires_ms(options, 200) == pytest.approx(400 * scale)


def test_local_health_degrades_at_the_isolated_member_only() -> None:
    cut = Fault(FaultKind.SPLIT, 10.0, 60.0, sides=(("l1",), ("l2", "l3", "l4", "l5")))
    model = run_model(5, [cut], 14.0)
    scores = {name: node.membership.prober.health_score for name, node in model.nodes.items()}
    assert scores["l1"] >= 3 and max(scores[name] for name in ("l2", "l3", "l4", "l5")) <= 2


def test_name_conflict_is_checked_three_times() -> None:
    conflict = NameConflict(MembershipOptions())
    assert conflict.conflict_reported(0.0, MemberRecord("l1", "x:1", 7, MemberState.ALIVE, 5))
    assert [conflict.count_query(500.0 * at) for at in range(4)] == [True, True, True, False]
    assert not conflict.is_pending
    assert (
        not conflict.conflict_reported(2_000.0, MemberRecord("l1", "x:1", 9, MemberState.ALIVE, 5))
        and conflict.incarnation == 9
    )
    assert conflict.conflict_reported(6_000.0, MemberRecord("l1", "x:1", 9, MemberState.ALIVE, 5))


def test_refuting_a_suspicion_degrades_local_health() -> None:
    model = run_model(3, [], 10.0)
    peers = model.nodes["l1"].membership
    own = peers.view.get("l1")
    assert own and peers.prober.health_score == 0
    peers.message_received(
        10_000.0,
        "l2",
        "l2",
        Gossip((msgspec.structs.replace(own, state=MemberState.SUSPECT, reported_by="l2"),)),
    )
    after = peers.view.get("l1")
    assert after and after.incarnation > own.incarnation and peers.prober.health_score == 1
