"""How the decision module tells an overload of the back end from lost servers and lost responses."""

from __future__ import annotations

import pytest
from helpers import Rig, sends, server

from basaltpoint import interface as api
from basaltpoint.policy.pool import MAX_SAMPLES, MIN_COMPLETIONS
from basaltpoint.policy.thresholds import INF


def serve_requests(rig: Rig, start: float, end: float, every: float, elapsed: float) -> None:
    """Sends a request each `every` ms; each is answered after `elapsed` ms."""
    now = start
    while now < end:
        for sent in sends(rig.arrive(now - elapsed)):
            rig.end_attempt(now, sent, "ok", elapsed=elapsed)
        now += every


def test_time_outs_of_an_overload_leave_the_mean_with_the_window() -> None:
    """Guards against time-outs that stay in the mean latency after the window.

    In the scenario stubborn (seed 101) ten of them stayed for 20 s; the caps fell to 3, and a third of all
    requests was refused.
    """
    rig = Rig()
    serve_requests(rig, 200.0, 4000.0, 50.0, 100.0)
    for sent in [sends(rig.arrive(4000.0 + n))[0] for n in range(MIN_COMPLETIONS - 1)]:
        rig.end_attempt(5100.0, sent, "timeout", elapsed=1000.0)
    serve_requests(rig, 5200.0, 12_000.0, 50.0, 100.0)
    pool = rig.decision_module.pools[0]
    assert not pool.timeouts
    assert pool.servers.mean_latency_ms == pytest.approx(100.0)


def test_long_outstanding_attempts_raise_the_mean_before_any_of_them_ends() -> None:
    rig = Rig()
    serve_requests(rig, 200.0, 3000.0, 50.0, 100.0)
    pool = rig.decision_module.pools[0]
    assert pool.servers.mean_latency_ms == pytest.approx(100.0)
    for n in range(40):
        rig.arrive(3000.0 + n)
    rig.tick(3800.0)
    assert pool.servers.mean_latency_ms > 300.0


def test_a_streaming_response_is_not_an_outstanding_attempt() -> None:
    rig = Rig()
    serve_requests(rig, 200.0, 3000.0, 50.0, 100.0)
    [sent] = sends(rig.arrive(3000.0))
    rig.decision_module.handle(3050.0, api.StreamBegun(sent.request, 0, sent.server))
    serve_requests(rig, 3100.0, 60_000.0, 200.0, 100.0)
    assert rig.decision_module.pools[0].servers.mean_latency_ms == pytest.approx(100.0)
    assert not rig.decision_module.pools[0].attempts_outstanding


def test_many_responses_shorten_the_window() -> None:
    """At 200 responses per second a change shows after the window's 120 samples instead of after 5 s."""
    rig = Rig()
    serve_requests(rig, 200.0, 3000.0, 5.0, 100.0)
    serve_requests(rig, 3300.0, 4500.0, 5.0, 300.0)
    pool = rig.decision_module.pools[0]
    assert len(pool.latencies) <= MAX_SAMPLES + 100
    assert pool.servers.mean_latency_ms == pytest.approx(300.0)


def test_time_outs_after_fast_responses_do_not_count_as_lost_responses() -> None:
    """Guards against fast responses from before an overload that make its time-outs look like losses.

    In the scenario short-bursts (seed 103) attempts were then given up early and retried during the overload.
    """
    rig = Rig()
    serve_requests(rig, 200.0, 3000.0, 50.0, 40.0)
    outstanding = [sends(rig.arrive(3000.0 + n))[0] for n in range(20)]
    for sent in outstanding:
        rig.end_attempt(4100.0, sent, "timeout", elapsed=1000.0)
    rig.tick(4700.0)
    assert not rig.decision_module.pools[0].losing_responses


def test_time_outs_beside_fast_responses_are_lost_responses() -> None:
    rig = Rig()
    serve_requests(rig, 200.0, 3000.0, 50.0, 40.0)
    outstanding = [sends(rig.arrive(3000.0 + n))[0] for n in range(20)]
    serve_requests(rig, 3100.0, 4100.0, 25.0, 40.0)
    for sent in outstanding:
        rig.end_attempt(4100.0, sent, "timeout", elapsed=1000.0)
    serve_requests(rig, 4125.0, 4700.0, 25.0, 40.0)
    assert rig.decision_module.pools[0].losing_responses


def test_silence_in_an_overload_does_not_make_a_server_suspect() -> None:
    """With a median of 650 ms a server that was silent for a second is as slow as the others (stubborn)."""
    rig = Rig([server(n) for n in range(1, 9)])
    serve_requests(rig, 1000.0, 6000.0, 100.0, 650.0)
    [sent] = sends(rig.arrive(6000.0))
    rig.end_attempt(7100.0, sent, "timeout", elapsed=1000.0)
    assert not rig.decision_module.pools[0].servers.suspects


def test_silence_beside_fast_responses_makes_a_server_suspect() -> None:
    rig = Rig([server(n) for n in range(1, 9)])
    serve_requests(rig, 1000.0, 6000.0, 100.0, 150.0)
    [sent] = sends(rig.arrive(6000.0))
    rig.end_attempt(7100.0, sent, "timeout", elapsed=1000.0)
    assert rig.decision_module.pools[0].servers.suspects == {sent.server}


def test_while_most_servers_are_suspect_requests_still_go_to_all() -> None:
    """Guards against sending all requests to the one trusted server of six (short-bursts, seed 11)."""
    rig = Rig([server(n) for n in range(1, 7)])
    servers = rig.decision_module.pools[0].servers
    for record in list(servers.ready)[:5]:
        servers.mark_suspect(record, 1000.0)
    used = {sent.server for n in range(60) for sent in sends(rig.arrive(1010.0 + n))}
    assert used == {1, 2, 3, 4, 5, 6}


def test_while_half_of_the_servers_are_suspect_requests_go_to_the_others() -> None:
    rig = Rig([server(n) for n in range(1, 7)])
    servers = rig.decision_module.pools[0].servers
    for record in list(servers.ready)[:3]:
        servers.mark_suspect(record, 1000.0)
    used = {sent.server for n in range(30) for sent in sends(rig.arrive(1010.0 + n))}
    assert used == {record.entry.id for record in servers.ready if not record.health.suspect}


def test_the_caps_of_all_limiters_add_up_to_at_least_one_request_per_server() -> None:
    rig = Rig([server(n) for n in range(1, 13)])  # of two limiters
    pool = rig.decision_module.pools[0]
    pool.caps = (0.3, 0.2)
    rig.tick(1000.0)
    assert sum(pool.caps) == pytest.approx(6.0)
    pool.caps = (9.0, 0.2)
    rig.tick(2000.0)
    assert pool.caps == (9.0, 0.2)


def test_a_load_report_excludes_own_requests_and_is_smoothed() -> None:
    """Guards against unsmoothed old reports (to 1.5 s) that sent three limiters to one server at once."""
    rig = Rig([server(1), server(2)], report_fields=("inflight",))
    servers = rig.decision_module.pools[0].servers
    for ident in (1, 2):
        servers.records[ident].outstanding = 3
    for step in range(30):
        servers.record_report(100.0 * step, 1, (3.0,))
    assert servers.records[1].load == 0.0
    servers.record_report(3100.0, 2, (23.0,))
    assert servers.records[2].load == pytest.approx(2.0)


# --- Servers that hang, and the attempts that follow ---
THREE = [server(1), server(2), server(3)]


def warm_up(rig: Rig, elapsed: float = 100.0) -> Rig:
    """Answers requests for three seconds, then removes the caps."""
    serve_requests(rig, 500.0, 3000.0, 25.0, elapsed)
    pool = rig.decision_module.pools[0]
    pool.caps_updated_ms, pool.caps = 1e12, (INF, INF)
    return rig


def send_burst(rig: Rig, now: float, count: int) -> dict[int, list[api.Send]]:
    """Sends `count` requests at once; returns the attempts by server."""
    found: dict[int, list[api.Send]] = {}
    for _ in range(count):
        [sent] = sends(rig.arrive(now))
        found.setdefault(sent.server, []).append(sent)
    return found


def respond(rig: Rig, now: float, sent_to: list[api.Send], elapsed: float) -> None:
    for sent in sent_to:
        rig.end_attempt(now, sent, "ok", elapsed=elapsed)


def test_a_hanging_server_is_avoided_before_its_first_time_out() -> None:
    """Guards against time-outs at servers not yet suspect: they were four in five of all time-outs."""
    rig = warm_up(Rig(THREE))
    servers = rig.decision_module.pools[0].servers
    sent_to = send_burst(rig, 3000.0, 3)
    respond(rig, 3100.0, sent_to[1] + sent_to[3], 100.0)
    rig.tick(3290.0)
    assert not servers.silent  # not long enough
    rig.tick(3450.0)
    assert servers.silent == {2} and not servers.suspects
    assert all(sends(rig.arrive(3460.0))[0].server != 2 for _ in range(30))
    assert 2 in rig.decision_module.avoided_servers(3460.0)
    respond(rig, 3900.0, sent_to[2], 900.0)  # it was only slow
    rig.tick(4010.0)
    assert not servers.silent


def test_a_server_that_answers_other_requests_is_not_silent() -> None:
    rig = warm_up(Rig(THREE))
    sent_to = send_burst(rig, 3000.0, 6)
    respond(rig, 3150.0, [*sent_to[1], *sent_to[3], sent_to[2][1]], 150.0)
    rig.tick(3900.0)
    assert not rig.decision_module.pools[0].servers.silent


def test_if_most_servers_are_silent_none_is_avoided() -> None:
    rig = warm_up(Rig(THREE))
    respond(rig, 3100.0, send_burst(rig, 3000.0, 3)[1], 100.0)
    rig.tick(3500.0)
    assert not rig.decision_module.pools[0].servers.silent


def test_time_outs_of_simultaneous_attempts_count_once() -> None:
    """Guards against each of eight time-outs doubling the delay: a hang of 1 s cost the server for 8 s."""
    rig = warm_up(Rig(THREE))
    sent_to = send_burst(rig, 3000.0, 24)
    respond(rig, 3100.0, sent_to[1] + sent_to[3], 100.0)
    for sent in sent_to[2]:
        rig.end_attempt(4000.0, sent, "timeout", elapsed=1000.0)
    health = rig.decision_module.pools[0].servers.records[2].health
    assert (health.suspect, health.backoff, health.retest_ms) == (True, 1, 5000.0)
    trial = next(s for s in (sends(rig.arrive(5100.0))[0] for _ in range(200)) if s.server == 2)
    assert (health.backoff, health.retest_ms) == (2, 7100.0)
    rig.end_attempt(6100.0, trial, "timeout", elapsed=1000.0)
    assert (health.backoff, health.retest_ms) == (2, 7100.0)  # the trial was counted when it was sent


@pytest.mark.parametrize(("lost", "losing"), [(2, False), (8, True), (19, True), (21, False), (60, False)])
def test_time_outs_count_as_lost_responses_only_beside_enough_responses(lost: int, losing: bool) -> None:
    """105 time-outs beside 11 responses are an overload; counted as losses, they removed the caps."""
    rig = warm_up(Rig())
    outstanding = [sends(rig.arrive(3000.0))[0] for _ in range(lost)]
    for sent in [sends(rig.arrive(3900.0))[0] for _ in range(20)]:
        rig.end_attempt(4000.0, sent, "ok", elapsed=100.0)
    for sent in outstanding:
        rig.end_attempt(4000.0, sent, "timeout", elapsed=1000.0)
    pool = rig.decision_module.pools[0]
    pool.caps_updated_ms = 0.0
    rig.tick(4600.0)  # earlier responses are outside of the loss window
    assert pool.losing_responses is losing


def test_no_retry_with_hardly_any_time_left() -> None:
    """A retry needs at least half the median latency: with 50 ms left of 200 it would be wasted work."""
    rig = warm_up(Rig(THREE))
    late, soon = sends(rig.arrive(3000.0))[0], sends(rig.arrive(3000.0))[0]
    assert sends(rig.end_attempt(3960.0, late, "reset", elapsed=960.0)) == []
    assert len(sends(rig.end_attempt(3940.0, soon, "reset", elapsed=940.0))) == 1


def test_time_is_reserved_for_a_retry_only_if_it_is_enough_for_one() -> None:
    """Guards against ever shorter attempts in an overload: 620, 433, 216, 107, 49 ms with a median of 300."""
    rig = warm_up(Rig(THREE), 300.0)
    rig.decision_module.pools[0].losing_responses = True
    first = sends(rig.arrive(3000.0))[0]
    assert first.until_ms == 3500.0
    [second] = sends(rig.end_attempt(3500.0, first, "timeout", elapsed=500.0))
    assert second.until_ms == 4000.0


def test_no_retry_at_a_server_that_has_just_rejected_an_attempt_as_full() -> None:
    """Guards against three retries of each request that kept all servers full."""
    rig = warm_up(Rig())
    [first] = sends(rig.arrive(3000.0))
    [second] = sends(rig.end_attempt(3010.0, first, "full"))
    assert second.server != first.server
    done = rig.end_attempt(3020.0, second, "full", attempt=1)
    assert [type(action) for action in done] == [api.Refuse]
    [later] = sends(rig.arrive(3020.0))  # a first attempt is permitted
    assert len(sends(rig.end_attempt(3300.0, later, "reset"))) == 1  # the pause is over
