"""Who is there: rows under their join, and the machine in virtual time under faults drawn at random."""

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
from basaltpoint.rehearsal.faults import Fault, Kind, drawn, last_end
from basaltpoint.rehearsal.model import Model

ROWS = st.builds(
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


def play(count: int, faults: list[Fault], seconds: float, seed: int = 1, **options: object) -> Model:
    names = [f"l{at + 1}" for at in range(count)]
    model = Model(names, MembershipOptions(**options), faults, seed)  # type: ignore[arg-type]
    model.run(seconds)
    return model


def settled(model: Model, seconds: float) -> float:
    """How long after the last fault all agreed; fails where they did not, or a rule was broken."""
    lives, saws = model.all_lives, model.saws
    from_s = last_end(model.faults, seconds)
    took, findings = checks.agreed(lives, saws, from_s, seconds)
    findings += checks.back_to_life(lives, saws) + checks.held_dead_by_all(lives, saws, model.faults, seconds)
    assert not findings and not model.ended
    return took


# --- Rows ----------------------------------------------------------------------------------------------
@given(ROWS, ROWS, ROWS)
def test_the_join_is_the_same_in_any_order_and_any_number_of_times(
    a: MemberRecord, b: MemberRecord, c: MemberRecord
) -> None:
    assert merge(a, b) == merge(b, a)
    assert merge(merge(a, b), c) == merge(a, merge(b, c))
    assert merge(a, a) == a
    assert precedence(merge(a, b)) == max(precedence(a), precedence(b))


@pytest.mark.parametrize(
    "row",
    [
        MemberRecord("a", "x:1", 0, MemberState.ALIVE, 1),
        MemberRecord("a", "x:1", INCARNATION_LIMIT, MemberState.ALIVE, 1),
        MemberRecord("", "x:1", 1, MemberState.ALIVE, 1),
        MemberRecord("a" * 65, "x:1", 1, MemberState.ALIVE, 1),
        MemberRecord("a", "x" * 129, 1, MemberState.ALIVE, 1),
        MemberRecord("a", "x:1", 1, MemberState.ALIVE, 1, unreachable=("b",) * 9),
    ],
)
def test_a_row_out_of_bounds_is_refused_with_the_reason(row: MemberRecord) -> None:
    assert (
        "allowed" in validation_error(row)
        or "longer" in validation_error(row)
        or "more than" in validation_error(row)
    )


def test_fields_and_messages_of_a_newer_version_are_borne() -> None:
    newer = msgspec.msgpack.encode(["g", [["a", "x:1", 1, 1, 1, "", False, 0, [], "later"]], "later"])
    assert PEER_PROTOCOL.decode(memoryview(newer)) == Gossip(
        (MemberRecord("a", "x:1", 1, MemberState.ALIVE, 1),)
    )
    assert PEER_PROTOCOL.decode(memoryview(msgspec.msgpack.encode(["zz", 1]))) == UnknownMessage()
    with pytest.raises(msgspec.DecodeError):
        PEER_PROTOCOL.decode(memoryview(msgspec.msgpack.encode(["p", "no rows"])))


@given(st.integers(2, 300))
def test_each_is_watched_by_as_many_as_it_watches(count: int) -> None:
    view = MembershipView("m0")
    for at in range(count):
        view.put(0.0, MemberRecord(f"m{at}", f"x:{at}", 1, MemberState.ALIVE, 1))
    watched = view.probe_targets()
    assert len(watched) == len(set(watched)) == (count - 1).bit_length() and "m0" not in watched


@given(st.integers(0, 40), st.integers(1, 8))
def test_news_is_told_often_enough_and_then_no_more(rows: int, most: int) -> None:
    spread, told = GossipQueue(), dict[str, int]()
    for at in range(rows):
        spread.add(MemberRecord(f"m{at}", "x:1", 1, MemberState.ALIVE, 1))
    while taken := spread.next_records(most, 12):
        assert len(taken) <= most
        for row in taken:
            told[row.name] = told.get(row.name, 0) + 1
    assert len(told) == rows and set(told.values()) <= {12} and not len(spread)


def test_what_others_tell_is_told_less_and_another_row_about_the_same_counts_for_nothing() -> None:
    row, spread = MemberRecord("m", "x:1", 2, MemberState.SUSPECT, 1, reported_by="a"), GossipQueue()
    tellings = []
    for heard in ((), (row,), (row, row), (MemberRecord("m", "x:1", 1, MemberState.ALIVE, 1),)):
        spread.add(row)
        for one in heard:
            spread.received(one, 12)
        tellings.append(0)
        while spread.next_records(8, 12):
            tellings[-1] += 1
    assert tellings == [12, 4, 0, 12]


# --- The machine ---------------------------------------------------------------------------------------
@pytest.mark.parametrize("count", [3, 12, 40])
@pytest.mark.parametrize("seed", range(4))
def test_after_faults_at_random_all_agree_and_no_incarnation_lives_again(count: int, seed: int) -> None:
    rng = random.Random(seed)
    faults = drawn(rng, [f"l{at + 1}" for at in range(count)], 90.0, 4)
    settled(play(count, faults, 180.0, seed), 180.0)


@pytest.mark.parametrize("count", [2, 3, 12, 40])
def test_a_kill_is_known_to_all_within_seconds(count: int) -> None:
    model = play(count, [Fault(Kind.KILL, 10.0, math.inf, on=(f"l{count}",))], 30.0)
    settled(model, 30.0)
    (kill,) = checks.kills(model.all_lives, model.saws, 30.0)
    assert not kill.missing and max(kill.detected_s.values()) < 2.5


@pytest.mark.parametrize("on", [("l2",), ("l2", "l3", "l5")])
@pytest.mark.parametrize("pause_s", [3.0, 10.0, 60.0])
def test_who_stood_still_says_of_nobody_that_it_is_gone(on: tuple[str, ...], pause_s: float) -> None:
    model = play(5, [Fault(Kind.PAUSE, 10.0, 10.0 + pause_s, on=on)], 120.0)
    settled(model, 120.0)
    awake = checks.wrong_deaths(model.all_lives, model.saws)
    assert all(finding.members[1] in on for finding in awake)
    if pause_s <= 5.0:
        assert not awake


def test_a_member_that_hears_but_is_not_heard_by_one_is_not_dead_and_the_cut_is_told() -> None:
    model = play(5, [Fault(Kind.CUT, 10.0, 70.0, sources=("l2",), targets=("l1",))], 60.0)
    assert not checks.wrong_deaths(model.all_lives, model.saws)
    told = {cut[:2] for cut in model.nodes["l4"].peers.view.broken_links()}
    assert ("l1", "l2") in told or ("l2", "l1") in told
    model.run(120.0)
    assert not list(model.nodes["l4"].peers.view.broken_links())


def test_a_ring_of_one_sided_cuts_kills_nobody() -> None:
    names = [f"l{at + 1}" for at in range(5)]
    ring = [
        Fault(Kind.CUT, 10.0, 70.0, sources=(name,), targets=(names[(at + 1) % 5],))
        for at, name in enumerate(names)
    ]
    model = play(5, ring, 120.0)
    settled(model, 120.0)
    assert not checks.wrong_deaths(model.all_lives, model.saws)


def test_two_halves_agree_again_whatever_became_of_each() -> None:
    sides = (("l1", "l2"), ("l3", "l4", "l5"))
    faults = [
        Fault(Kind.SPLIT, 10.0, 60.0, sides=sides),
        Fault(Kind.KILL, 20.0, math.inf, on=("l2",)),
        Fault(Kind.STOP, 25.0, 45.0, on=("l3",)),
        Fault(Kind.KILL, 30.0, 50.0, on=("l4",)),
    ]
    assert settled(play(5, faults, 120.0), 120.0) < 15.0


def test_the_later_of_two_processes_with_one_name_ends_and_says_why() -> None:
    model = play(3, [], 10.0)
    late = model._make(
        "l2", "other:1", 7, 9999, [("l1", "l1")], MembershipOptions(), random.Random(1), 10_000.0
    )
    late.tick(10_000.0)
    late.message_received(
        10_001.0,
        "l1",
        "l1",
        PushPull(model.nodes["l1"].peers.view.records, 0, 1),
    )
    late.take_actions()
    late.name_conflict_found(10_002.0, model.nodes["l2"].peers.instance_id, 10_000.0)
    (end,) = [action for action in late.take_actions() if type(action).__name__ == "Terminate"]
    assert "the name l2 is in use at l2" in end.reason and late.has_ended


def test_a_liar_costs_a_bounded_amount_and_its_victim_contradicts_it() -> None:
    model = play(5, [], 10.0)
    node = model.nodes["l1"]
    lies = tuple(MemberRecord(f"x{at}", f"x:{at}", 5, MemberState.ALIVE, 1) for at in range(2000))
    for at in range(0, 2000, 100):
        node.peers.message_received(10_000.0, "l5", "l5", Gossip(lies[at : at + 100]))
    assert len(node.peers.view.members) <= 4 * MembershipOptions().max_members
    victim = model.nodes["l2"].peers.view.get("l2")
    assert victim
    dead = MemberRecord("l2", "l2", victim.incarnation, MemberState.DEAD, victim.instance_id, "l5")
    node.peers.message_received(10_000.0, "l5", "l5", Gossip((dead,)))
    model._after(node)
    model.run(15.0)
    row = node.peers.view.get("l2")
    assert row and row.state is MemberState.ALIVE and row.incarnation > victim.incarnation


def test_an_operators_removal_needs_force_where_somebody_may_still_reach_it() -> None:
    model = play(3, [], 10.0)
    node = model.nodes["l1"]
    assert "--force" in node.peers.remove_member(10_000.0, "l2", False)
    assert "known are" in node.peers.remove_member(10_000.0, "l9", False)
    assert node.peers.remove_member(10_000.0, "l2", True) == ""
    model._after(node)
    model.run(12.0)
    assert [(name, why) for _, name, why in model.ended] == [("l2", "l1 declared this member gone")]


def test_a_message_stays_short_and_a_member_that_floods_asks_for_no_more_than_its_share() -> None:
    model = play(40, [], 10.0)
    node = model.nodes["l1"]
    for seq in range(2 * MAX_RELAYED_PROBES):
        node.peers.message_received(10_000.0, "l5", "l5", PingRequest((), seq, "l7", "l7"))
    assert len(node.peers.prober.relayed_probes) == MAX_RELAYED_PROBES
    assert (
        sum(type(a).__name__ == "Send" and isinstance(a.message, Ping) for a in node.peers.take_actions())
        <= MAX_RELAYED_PROBES + 1
    )  # type: ignore[union-attr]


# --- Pauses, decision by decision ----------------------------------------------------------------------
def test_an_heir_has_the_age_of_its_member_and_so_the_older_claim_to_the_name() -> None:
    model = play(3, [], 10.0)
    older = model.nodes["l2"].peers
    rows = older.hand_over()
    for age_ms, ends in ((10_000.0, False), (0.0, True)):
        successor = model._member("l2", 1)
        successor.take_over(10_000.0, rows, age_ms)
        successor.name_conflict_found(10_001.0, older.instance_id + 1, 5_000.0)
        assert (successor.has_ended, successor.instance_id, successor.view.ring) == (
            ends,
            older.instance_id,
            older.view.ring,
        )
    assert older.next_timer_ms == math.inf and not older.take_actions()


@pytest.mark.parametrize("count", [3, 12, 40, 200])
def test_an_upgrade_changes_no_view(count: int) -> None:
    on = tuple(f"l{at + 1}" for at in range(0, count, 3))
    model = play(count, [Fault(Kind.UPGRADE, 15.0, math.inf, on=on)], 45.0)
    settled(model, 45.0)
    # Whatever is seen from then on is what an successor took over: alive, as first seen.
    first = {(saw.name, saw.incarnation, "alive") for saw in model.saws if saw.at_s < 15.0}
    assert {(saw.name, saw.incarnation, saw.state) for saw in model.saws if saw.at_s >= 15.0} <= first


class Lone:
    """One machine among two others that never answer, called by hand."""

    def __init__(self, seed: int = 1) -> None:
        options = MembershipOptions(max_health_score=0)  # its own doubts would stretch every time here
        self.peers = MembershipStateMachine("l1", "l1", 1, 1000, [], options, random.Random(seed), 0.0)
        self.now = 0.0
        self.done: list[Action] = []
        self.go(1.0)
        rows = tuple(MemberRecord(name, name, 1, MemberState.ALIVE, 5) for name in ("l2", "l3"))
        self.peers.message_received(self.now, "l3", "l3", Gossip(rows))

    def go(self, until: float) -> list[Action]:
        """Tick whenever it is due; what was to be done."""
        done: list[Action] = []
        while True:
            done += self.peers.take_actions()
            due = max(self.now, self.peers.next_timer_ms)
            if due > until:
                break
            self.now = due
            self.peers.tick(self.now)
        self.now = until
        return done

    def wake(self, after: float) -> list[Action]:
        """Stand still, then be called."""
        self.now += after
        self.peers.tick(self.now)
        return self.peers.take_actions()

    def state(self, name: str) -> MemberState:
        row = self.peers.view.get(name)
        assert row
        return row.state


@pytest.mark.parametrize("told", [False, True], ids=["by its own clock", "as another holds it dead"])
def test_nobody_is_held_dead_by_an_answer_that_failed_to_come_long_ago(told: bool) -> None:
    """It may have stood still then, and its contradiction been lost: it is asked before the verdict."""
    lone = Lone()
    others = tuple(MemberRecord(f"m{at}", f"m{at}", 1, MemberState.ALIVE, 5) for at in range(40))
    lone.peers.message_received(lone.now, "l3", "l3", Gossip(others))
    far = next(row for row in others if row.name not in lone.peers.view.probe_targets())
    doubt = replace(far, state=MemberState.SUSPECT, reported_by="l3")
    for by in ("l3", "l2", "m1", "m2"):  # shared by so many it is the first to be decided on
        lone.peers.message_received(lone.now, "l3", "l3", Gossip((replace(doubt, reported_by=by),)))
    asked = 0.0
    while lone.state(far.name) is not MemberState.DEAD:
        now = lone.now
        if told and now - asked > 5_000.0 and asked:
            lone.peers.message_received(now, "l3", "l3", Gossip((replace(doubt, state=MemberState.DEAD),)))
        done = lone.go(now + 250.0)
        if [a for a in done if isinstance(a, Send) and a.member == far.name and isinstance(a.message, Ping)]:
            asked = lone.now
        assert lone.now < 120_000.0
    assert lone.now - asked < 3_000.0 < lone.now


def test_a_probe_that_was_out_during_a_pause_accuses_nobody() -> None:
    lone = Lone()
    while not any(probe.is_indirect for probe in lone.peers.prober.probes.values()):
        lone.go(lone.now + 10.0)
    assert lone.state("l2") is lone.state("l3") is MemberState.ALIVE
    lone.wake(10_000.0)
    assert not any(
        isinstance(a, MemberChanged) and a.after.state is MemberState.SUSPECT
        for a in lone.peers.take_actions()
    )
    assert lone.state("l2") is lone.state("l3") is MemberState.ALIVE


@pytest.mark.parametrize("seed", range(6))
def test_a_doubt_that_ran_out_during_a_pause_is_asked_anew_and_put_off_by_it(seed: int) -> None:
    lone = Lone(seed)
    while lone.state("l2") is not MemberState.SUSPECT:
        lone.go(lone.now + 10.0)
    doubted = lone.now
    lone.go(doubted + 2_000.0)
    woken = lone.wake(30_000.0)
    assert any(isinstance(a, Send) and a.member == "l2" and isinstance(a.message, Ping) for a in woken)
    lone.peers.message_received(
        lone.now, "l3", "l3", Gossip()
    )  # so that it is not this member that is cut off
    # Doubted for 7 s where nobody is left to agree; 30 s of pause and 1 s to ask come on top.
    lone.go(doubted + 37_500.0)
    assert lone.state("l2") is MemberState.SUSPECT
    lone.go(doubted + 60_000.0)
    assert lone.state("l2") is MemberState.DEAD


class Punctual(MembershipStateMachine):
    """Fails where it takes itself to have stood still, in a model that calls in time."""

    def _detect_pause(self, now: float) -> None:
        super()._detect_pause(now)
        assert self.timer_delay_ms < 1.0


def test_a_doubt_that_grows_shorter_is_not_taken_for_a_pause() -> None:
    split = Fault(Kind.SPLIT, 10.0, 40.0, sides=(("l1", "l2"), ("l3", "l4", "l5")))
    for seed in range(4):
        model = Model(
            [f"l{at + 1}" for at in range(5)],
            MembershipOptions(silent_ms=1500.0),
            [split],
            seed,
            make=Punctual,
        )
        model.run(60.0)
        settled(model, 60.0)


def test_a_lost_message_now_and_then_is_not_told_as_a_cut_link() -> None:
    names = tuple(f"l{at + 1}" for at in range(12))
    model = play(12, [Fault(Kind.DROP, 10.0, 70.0, sources=names, targets=names, part=0.05)], 70.0)
    assert sum(node.peers.view.members[name].record.self_report for name, node in model.nodes.items()) < 12
    assert not checks.wrong_deaths(model.all_lives, model.saws)


def test_a_refusal_that_nobody_confirms_is_borne_as_silence() -> None:
    lone = Lone()
    lone.peers.prober.probe_soon(lone.now, "l2")
    lone.go(lone.now + 1.0)
    lone.peers.connection_refused(lone.now, "l2")
    lone.go(lone.now + 2_000.0)
    row = lone.peers.view.get("l2")
    assert row and row.state is MemberState.SUSPECT and not row.connection_refused


def test_a_full_exchange_leaves_both_with_what_either_knew() -> None:
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
        for row in sync.records:
            held = views[to].get(row.name)
            views[to].put(0.0, merge(held, row) if held else row)
        both[to].message_received("a" if to == "b" else "b", "x", sync)
    assert (
        views["a"].digest() == views["b"].digest()
        and len(views["a"].members) == len(views["b"].members) == 400
    )


def test_a_split_ends_also_where_no_seed_is_told_any_more() -> None:
    split = Fault(Kind.SPLIT, 10.0, 60.0, sides=(("l1", "l2", "l3"), ("l4", "l5")))
    model = play(5, [split], 5.0)
    for node in model.nodes.values():
        node.peers.set_seeds(())
    model.run(120.0)
    settled(model, 120.0)


def test_a_doubt_shrinks_as_others_share_it_and_a_refusal_is_shorter_still() -> None:
    options = MembershipOptions()
    doubt, ends = Suspicion(1, 0.0, False), []
    for who in ("a", "b", "c", "d"):
        assert doubt.confirm(who, False) and not doubt.confirm(who, False)
        ends.append(doubt.expires_ms(options, 200))
    scale = math.log10(200)
    assert ends == sorted(ends, reverse=True) and len(set(ends)) == 4
    assert ends[0] == pytest.approx(14_000 * scale) and ends[3] == pytest.approx(7_000 * scale)
    assert doubt.confirm("a", True) and doubt.expires_ms(options, 200) == pytest.approx(400 * scale)


def test_one_that_is_cut_off_doubts_itself_and_the_others_do_not() -> None:
    cut = Fault(Kind.SPLIT, 10.0, 60.0, sides=(("l1",), ("l2", "l3", "l4", "l5")))
    model = play(5, [cut], 14.0)
    doubts = {name: node.peers.prober.health_score for name, node in model.nodes.items()}
    assert doubts["l1"] >= 3 and max(doubts[name] for name in ("l2", "l3", "l4", "l5")) <= 2


def test_another_of_ones_name_is_asked_three_times_before_it_is_taken_for_gone() -> None:
    rivals = NameConflict(MembershipOptions())
    assert rivals.conflict_reported(0.0, MemberRecord("l1", "x:1", 7, MemberState.ALIVE, 5))
    assert [rivals.count_query(500.0 * at) for at in range(4)] == [True, True, True, False]
    assert not rivals.is_pending
    assert (
        not rivals.conflict_reported(2_000.0, MemberRecord("l1", "x:1", 9, MemberState.ALIVE, 5))
        and rivals.incarnation == 9
    )
    assert rivals.conflict_reported(6_000.0, MemberRecord("l1", "x:1", 9, MemberState.ALIVE, 5))


def test_one_that_must_contradict_a_doubt_trusts_itself_less() -> None:
    model = play(3, [], 10.0)
    peers = model.nodes["l1"].peers
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
