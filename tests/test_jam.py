"""A slow-down of everything, as the module sees it: a jam is told from lost servers and lost answers."""

from __future__ import annotations

import pytest
from helpers import Rig, sends, server

from basaltpoint import interface as api
from basaltpoint.policy.pool import FEWEST, SAMPLES


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
    for sent in [sends(rig.arrive(4000.0 + n))[0] for n in range(FEWEST - 1)]:
        rig.done(5100.0, sent, "timeout", elapsed=1000.0)
    served(rig, 5200.0, 12_000.0, 50.0, 100.0)
    pool = rig.gateway.pools[0]
    assert not pool.lost
    assert pool.fleet.mean_ms == pytest.approx(100.0)


def test_what_is_out_for_long_tells_of_a_jam_before_any_of_it_ends() -> None:
    rig = Rig()
    served(rig, 200.0, 3000.0, 50.0, 100.0)
    pool = rig.gateway.pools[0]
    assert pool.fleet.mean_ms == pytest.approx(100.0)
    for n in range(40):
        rig.arrive(3000.0 + n)
    rig.tick(3800.0)
    assert pool.fleet.mean_ms > 300.0


def test_an_answer_that_streams_is_not_out() -> None:
    rig = Rig()
    served(rig, 200.0, 3000.0, 50.0, 100.0)
    [sent] = sends(rig.arrive(3000.0))
    rig.gateway.handle(3050.0, api.StreamBegun(sent.request, 0, sent.server))
    served(rig, 3100.0, 60_000.0, 200.0, 100.0)
    assert rig.gateway.pools[0].fleet.mean_ms == pytest.approx(100.0)
    assert not rig.gateway.pools[0].out


def test_many_answers_shorten_the_window() -> None:
    """At 200 answers a second a change shows after the 120 that the window holds, not after 5 s."""
    rig = Rig()
    served(rig, 200.0, 3000.0, 5.0, 100.0)
    served(rig, 3300.0, 4500.0, 5.0, 300.0)
    pool = rig.gateway.pools[0]
    assert len(pool.latencies) <= SAMPLES + 100
    assert pool.fleet.mean_ms == pytest.approx(300.0)


def test_quick_answers_from_before_a_jam_do_not_make_its_time_outs_lost_answers() -> None:
    """Short-bursts, seed 103: taken for lost, they were given up early and sent again into the jam."""
    rig = Rig()
    served(rig, 200.0, 3000.0, 50.0, 40.0)
    out = [sends(rig.arrive(3000.0 + n))[0] for n in range(20)]
    for sent in out:
        rig.done(4100.0, sent, "timeout", elapsed=1000.0)
    rig.tick(4700.0)
    assert not rig.gateway.pools[0].lossy


def test_time_outs_beside_quick_answers_are_lost_answers() -> None:
    rig = Rig()
    served(rig, 200.0, 3000.0, 50.0, 40.0)
    out = [sends(rig.arrive(3000.0 + n))[0] for n in range(20)]
    served(rig, 3100.0, 4100.0, 25.0, 40.0)
    for sent in out:
        rig.done(4100.0, sent, "timeout", elapsed=1000.0)
    served(rig, 4125.0, 4700.0, 25.0, 40.0)
    assert rig.gateway.pools[0].lossy


def test_silence_in_a_jam_does_not_make_a_suspect() -> None:
    """Stubborn: with a median of 650 ms, a server that was silent for a second is as slow as all."""
    rig = Rig([server(n) for n in range(1, 9)])
    served(rig, 1000.0, 6000.0, 100.0, 650.0)
    [sent] = sends(rig.arrive(6000.0))
    rig.done(7100.0, sent, "timeout", elapsed=1000.0)
    assert not rig.gateway.pools[0].fleet.suspects


def test_silence_beside_quick_answers_makes_a_suspect() -> None:
    rig = Rig([server(n) for n in range(1, 9)])
    served(rig, 1000.0, 6000.0, 100.0, 150.0)
    [sent] = sends(rig.arrive(6000.0))
    rig.done(7100.0, sent, "timeout", elapsed=1000.0)
    assert rig.gateway.pools[0].fleet.suspects == {sent.server}


def test_while_most_are_suspects_work_still_goes_to_all() -> None:
    """Short-bursts, seed 11: five of six were suspects, and the sixth got everything."""
    rig = Rig([server(n) for n in range(1, 7)])
    fleet = rig.gateway.pools[0].fleet
    for peer in list(fleet.ready)[:5]:
        fleet.doubt(peer, 1000.0)
    used = {sent.server for n in range(60) for sent in sends(rig.arrive(1010.0 + n))}
    assert used == {1, 2, 3, 4, 5, 6}


def test_half_of_the_fleet_in_doubt_is_not_all_of_it() -> None:
    rig = Rig([server(n) for n in range(1, 7)])
    fleet = rig.gateway.pools[0].fleet
    for peer in list(fleet.ready)[:3]:
        fleet.doubt(peer, 1000.0)
    used = {sent.server for n in range(30) for sent in sends(rig.arrive(1010.0 + n))}
    assert used == {peer.entry.id for peer in fleet.ready if not peer.health.suspect}


def test_caps_never_add_up_to_less_than_one_request_a_server_over_all_limiters() -> None:
    rig = Rig([server(n) for n in range(1, 13)])  # of two limiters
    pool = rig.gateway.pools[0]
    pool.caps = (0.3, 0.2)
    rig.tick(1000.0)
    assert sum(pool.caps) == pytest.approx(6.0)
    pool.caps = (9.0, 0.2)
    rig.tick(2000.0)
    assert pool.caps == (9.0, 0.2)


def test_a_report_counts_without_our_own_requests_and_moves_the_choice_slowly() -> None:
    """Reports up to 1.5 s old, taken as they came, sent three limiters to the same server at once."""
    rig = Rig([server(1), server(2)], report_fields=("inflight",))
    fleet = rig.gateway.pools[0].fleet
    for ident in (1, 2):
        fleet.peers[ident].waiting = 3
    for step in range(30):
        fleet.report(100.0 * step, 1, (3.0,))
    assert fleet.peers[1].load == 0.0
    fleet.report(3100.0, 2, (23.0,))
    assert fleet.peers[2].load == pytest.approx(2.0)
