"""A slow-down of everything, as the module sees it: a jam is told from lost servers and lost answers."""

from __future__ import annotations

import pytest
from helpers import Rig, sends, server

from basaltpoint import interface as api
from basaltpoint.policy.pool import MAX_SAMPLES, MIN_COMPLETIONS
from basaltpoint.policy.thresholds import INF


def served(rig: Rig, start: float, end: float, every: float, elapsed: float) -> None:
    """Requests answered one by one, each after `elapsed`."""
    now = start
    while now < end:
        for sent in sends(rig.arrive(now - elapsed)):
            rig.done(now, sent, "ok", elapsed=elapsed)
        now += every


def test_time_outs_of_a_jam_leave_the_mean_with_the_window() -> None:
    """Stubborn, seed 101: ten time-outs stood in the mean for 20 s, and caps of 3 refused a third of all."""
    rig = Rig()
    served(rig, 200.0, 4000.0, 50.0, 100.0)
    for sent in [sends(rig.arrive(4000.0 + n))[0] for n in range(MIN_COMPLETIONS - 1)]:
        rig.done(5100.0, sent, "timeout", elapsed=1000.0)
    served(rig, 5200.0, 12_000.0, 50.0, 100.0)
    pool = rig.decision_module.pools[0]
    assert not pool.timeouts
    assert pool.servers.mean_latency_ms == pytest.approx(100.0)


def test_what_is_out_for_long_tells_of_a_jam_before_any_of_it_ends() -> None:
    rig = Rig()
    served(rig, 200.0, 3000.0, 50.0, 100.0)
    pool = rig.decision_module.pools[0]
    assert pool.servers.mean_latency_ms == pytest.approx(100.0)
    for n in range(40):
        rig.arrive(3000.0 + n)
    rig.tick(3800.0)
    assert pool.servers.mean_latency_ms > 300.0


def test_an_answer_that_streams_is_not_out() -> None:
    rig = Rig()
    served(rig, 200.0, 3000.0, 50.0, 100.0)
    [sent] = sends(rig.arrive(3000.0))
    rig.decision_module.handle(3050.0, api.StreamBegun(sent.request, 0, sent.server))
    served(rig, 3100.0, 60_000.0, 200.0, 100.0)
    assert rig.decision_module.pools[0].servers.mean_latency_ms == pytest.approx(100.0)
    assert not rig.decision_module.pools[0].attempts_outstanding


def test_many_answers_shorten_the_window() -> None:
    """At 200 answers a second a change shows after the 120 that the window holds, not after 5 s."""
    rig = Rig()
    served(rig, 200.0, 3000.0, 5.0, 100.0)
    served(rig, 3300.0, 4500.0, 5.0, 300.0)
    pool = rig.decision_module.pools[0]
    assert len(pool.latencies) <= MAX_SAMPLES + 100
    assert pool.servers.mean_latency_ms == pytest.approx(300.0)


def test_quick_answers_from_before_a_jam_do_not_make_its_time_outs_lost_answers() -> None:
    """Short-bursts, seed 103: taken for lost, they were given up early and sent again into the jam."""
    rig = Rig()
    served(rig, 200.0, 3000.0, 50.0, 40.0)
    out = [sends(rig.arrive(3000.0 + n))[0] for n in range(20)]
    for sent in out:
        rig.done(4100.0, sent, "timeout", elapsed=1000.0)
    rig.tick(4700.0)
    assert not rig.decision_module.pools[0].losing_responses


def test_time_outs_beside_quick_answers_are_lost_answers() -> None:
    rig = Rig()
    served(rig, 200.0, 3000.0, 50.0, 40.0)
    out = [sends(rig.arrive(3000.0 + n))[0] for n in range(20)]
    served(rig, 3100.0, 4100.0, 25.0, 40.0)
    for sent in out:
        rig.done(4100.0, sent, "timeout", elapsed=1000.0)
    served(rig, 4125.0, 4700.0, 25.0, 40.0)
    assert rig.decision_module.pools[0].losing_responses


def test_silence_in_a_jam_does_not_make_a_suspect() -> None:
    """Stubborn: with a median of 650 ms, a server that was silent for a second is as slow as all."""
    rig = Rig([server(n) for n in range(1, 9)])
    served(rig, 1000.0, 6000.0, 100.0, 650.0)
    [sent] = sends(rig.arrive(6000.0))
    rig.done(7100.0, sent, "timeout", elapsed=1000.0)
    assert not rig.decision_module.pools[0].servers.suspects


def test_silence_beside_quick_answers_makes_a_suspect() -> None:
    rig = Rig([server(n) for n in range(1, 9)])
    served(rig, 1000.0, 6000.0, 100.0, 150.0)
    [sent] = sends(rig.arrive(6000.0))
    rig.done(7100.0, sent, "timeout", elapsed=1000.0)
    assert rig.decision_module.pools[0].servers.suspects == {sent.server}


def test_while_most_are_suspects_work_still_goes_to_all() -> None:
    """Short-bursts, seed 11: five of six were suspects, and the sixth got everything."""
    rig = Rig([server(n) for n in range(1, 7)])
    fleet = rig.decision_module.pools[0].servers
    for peer in list(fleet.ready)[:5]:
        fleet.mark_suspect(peer, 1000.0)
    used = {sent.server for n in range(60) for sent in sends(rig.arrive(1010.0 + n))}
    assert used == {1, 2, 3, 4, 5, 6}


def test_half_of_the_fleet_in_doubt_is_not_all_of_it() -> None:
    rig = Rig([server(n) for n in range(1, 7)])
    fleet = rig.decision_module.pools[0].servers
    for peer in list(fleet.ready)[:3]:
        fleet.mark_suspect(peer, 1000.0)
    used = {sent.server for n in range(30) for sent in sends(rig.arrive(1010.0 + n))}
    assert used == {peer.entry.id for peer in fleet.ready if not peer.health.suspect}


def test_caps_never_add_up_to_less_than_one_request_a_server_over_all_limiters() -> None:
    rig = Rig([server(n) for n in range(1, 13)])  # of two limiters
    pool = rig.decision_module.pools[0]
    pool.caps = (0.3, 0.2)
    rig.tick(1000.0)
    assert sum(pool.caps) == pytest.approx(6.0)
    pool.caps = (9.0, 0.2)
    rig.tick(2000.0)
    assert pool.caps == (9.0, 0.2)


def test_a_report_counts_without_our_own_requests_and_moves_the_choice_slowly() -> None:
    """Reports up to 1.5 s old, taken as they came, sent three limiters to the same server at once."""
    rig = Rig([server(1), server(2)], report_fields=("inflight",))
    fleet = rig.decision_module.pools[0].servers
    for ident in (1, 2):
        fleet.records[ident].outstanding = 3
    for step in range(30):
        fleet.record_report(100.0 * step, 1, (3.0,))
    assert fleet.records[1].load == 0.0
    fleet.record_report(3100.0, 2, (23.0,))
    assert fleet.records[2].load == pytest.approx(2.0)


# --- Servers that hang, and what is sent after them ---------------------------------------------------
THREE = [server(1), server(2), server(3)]


def calm(rig: Rig, elapsed: float = 100.0) -> Rig:
    """Answers for three seconds, then caps that hold nothing back."""
    served(rig, 500.0, 3000.0, 25.0, elapsed)
    pool = rig.decision_module.pools[0]
    pool.caps_updated_ms, pool.caps = 1e12, (INF, INF)
    return rig


def spread(rig: Rig, now: float, count: int) -> dict[int, list[api.Send]]:
    """So many requests that come at once, by the server that each went to."""
    found: dict[int, list[api.Send]] = {}
    for _ in range(count):
        [sent] = sends(rig.arrive(now))
        found.setdefault(sent.server, []).append(sent)
    return found


def answer(rig: Rig, now: float, asked: list[api.Send], elapsed: float) -> None:
    for sent in asked:
        rig.done(now, sent, "ok", elapsed=elapsed)


def test_a_server_that_hangs_is_left_alone_before_its_first_time_out() -> None:
    """Short days of a second customer: four in five attempts that timed out went to servers not doubted."""
    rig = calm(Rig(THREE))
    fleet = rig.decision_module.pools[0].servers
    asked = spread(rig, 3000.0, 3)
    answer(rig, 3100.0, asked[1] + asked[3], 100.0)
    rig.tick(3290.0)
    assert not fleet.silent  # some take their time
    rig.tick(3450.0)
    assert fleet.silent == {2} and not fleet.suspects
    assert all(sends(rig.arrive(3460.0))[0].server != 2 for _ in range(30))
    assert 2 in rig.decision_module.avoided_servers(3460.0)
    answer(rig, 3900.0, asked[2], 900.0)  # it was slow, and nothing is held against it
    rig.tick(4010.0)
    assert not fleet.silent


def test_a_server_that_answers_others_meanwhile_is_not_passed_over() -> None:
    rig = calm(Rig(THREE))
    asked = spread(rig, 3000.0, 6)
    answer(rig, 3150.0, [*asked[1], *asked[3], asked[2][1]], 150.0)
    rig.tick(3900.0)
    assert not rig.decision_module.pools[0].servers.silent


def test_where_most_servers_are_silent_none_is_passed_over_for_it() -> None:
    rig = calm(Rig(THREE))
    answer(rig, 3100.0, spread(rig, 3000.0, 3)[1], 100.0)
    rig.tick(3500.0)
    assert not rig.decision_module.pools[0].servers.silent


def test_what_was_out_together_is_one_sign_and_not_many() -> None:
    """Each of eight time-outs doubled the wait, and a server that hung for a second was gone for eight."""
    rig = calm(Rig(THREE))
    asked = spread(rig, 3000.0, 24)
    answer(rig, 3100.0, asked[1] + asked[3], 100.0)
    for sent in asked[2]:
        rig.done(4000.0, sent, "timeout", elapsed=1000.0)
    health = rig.decision_module.pools[0].servers.records[2].health
    assert (health.suspect, health.backoff, health.retest_ms) == (True, 1, 5000.0)
    trial = next(s for s in (sends(rig.arrive(5100.0))[0] for _ in range(200)) if s.server == 2)
    assert (health.backoff, health.retest_ms) == (2, 7100.0)
    rig.done(6100.0, trial, "timeout", elapsed=1000.0)
    assert (health.backoff, health.retest_ms) == (2, 7100.0)  # the trial was counted when it went out


@pytest.mark.parametrize(("lost", "lossy"), [(2, False), (8, True), (19, True), (21, False), (60, False)])
def test_answers_count_as_lost_only_beside_as_many_that_come(lost: int, lossy: bool) -> None:
    """105 lost beside 11: that is a back end that drowns; taken for loss, it had no caps at all."""
    rig = calm(Rig())
    out = [sends(rig.arrive(3000.0))[0] for _ in range(lost)]
    for sent in [sends(rig.arrive(3900.0))[0] for _ in range(20)]:
        rig.done(4000.0, sent, "ok", elapsed=100.0)
    for sent in out:
        rig.done(4000.0, sent, "timeout", elapsed=1000.0)
    pool = rig.decision_module.pools[0]
    pool.caps_updated_ms = 0.0
    rig.tick(4600.0)  # what was answered before the others began is older than counts
    assert pool.losing_responses is lossy


def test_no_further_attempt_with_hardly_any_time_left() -> None:
    """Half of the usual time at least: 50 ms at a server that takes 200 are its work and nobody's answer."""
    rig = calm(Rig(THREE))
    late, soon = sends(rig.arrive(3000.0))[0], sends(rig.arrive(3000.0))[0]
    assert sends(rig.done(3960.0, late, "reset", elapsed=960.0)) == []
    assert len(sends(rig.done(3940.0, soon, "reset", elapsed=940.0))) == 1


def test_time_is_kept_for_another_try_only_where_that_is_worth_one() -> None:
    """Halves of halves went out in a jam: 620, 433, 216, 107 and 49 ms, where 300 were usual."""
    rig = calm(Rig(THREE), 300.0)
    rig.decision_module.pools[0].losing_responses = True
    first = sends(rig.arrive(3000.0))[0]
    assert first.until_ms == 3500.0
    [second] = sends(rig.done(3500.0, first, "timeout", elapsed=500.0))
    assert second.until_ms == 4000.0


def test_no_further_attempt_at_a_server_that_has_just_said_it_is_full() -> None:
    """Where all are full, three more of each request were what kept them so."""
    rig = calm(Rig())
    [first] = sends(rig.arrive(3000.0))
    [second] = sends(rig.done(3010.0, first, "full"))
    assert second.server != first.server
    done = rig.done(3020.0, second, "full", attempt=1)
    assert [type(action) for action in done] == [api.Refuse]
    [later] = sends(rig.arrive(3020.0))  # a first one may try: who was full may have room by now
    assert len(sends(rig.done(3300.0, later, "reset"))) == 1  # and they are not left alone for long
