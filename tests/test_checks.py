"""Active checks as a machine: when a server is due, and what its answers make of it."""

from __future__ import annotations

import random
from itertools import pairwise

from basaltpoint.interface import ProbeRule
from basaltpoint.membership.checks import Checks

RULE = ProbeRule(every_ms=1000.0, rise=2, fall=3)


def run_checks(checks: Checks, until: float, bad: dict[int, tuple[float, float]]) -> tuple[list, list]:
    """Answers each check at once, badly in a server's bad time; what was asked, and the verdicts."""
    asked, verdicts = [], []
    while (now := checks.next_due_ms) is not None and now < until:
        for ident in checks.start_due(now):
            asked.append((now, ident))
            start, end = bad.get(ident, (0.0, 0.0))
            if (up := checks.record_result(now, ident, not start < now < end)) is not None:
                verdicts.append((now, ident, up))
    return asked, verdicts


def test_a_server_goes_down_after_three_bad_answers_and_up_after_two_good_ones() -> None:
    checks = Checks(random.Random(3))
    checks.update_servers(0.0, {1: RULE, 2: RULE})
    asked, verdicts = run_checks(checks, 14_000.0, {2: (3000.0, 9000.0)})
    times = [now for now, ident in asked if ident == 2]
    assert all(abs(b - a - 1000.0) < 1e-6 for a, b in pairwise(times))
    first = next(now for now in times if now > 3000)
    back = next(now for now in times if now > 9000)
    assert verdicts == [(first + 2000, 2, False), (back + 1000, 2, True)]


def test_one_good_answer_between_bad_ones_starts_the_count_anew() -> None:
    checks = Checks(random.Random(1))
    checks.update_servers(0.0, {1: RULE})
    told = []
    for good in (False, False, True, False, False, False):
        now = checks.next_due_ms
        assert now is not None and checks.start_due(now) == [1]
        told.append(checks.record_result(now, 1, good))
    assert told == [None] * 5 + [False]


def test_a_server_that_comes_again_is_checked_once_a_period() -> None:
    """Removed and listed again, as by two reloads: no older entry or late answer doubles checks."""
    checks = Checks(random.Random(5))
    checks.update_servers(0.0, {1: RULE})
    when = checks.next_due_ms or 0.0
    assert checks.start_due(when) == [1]
    checks.update_servers(when, {})
    checks.update_servers(when, {1: RULE})
    assert [checks.record_result(when + 1, 1, False) for _ in range(3)] == [None] * 3  # of its earlier life
    checks.update_servers(when + 2, {})
    checks.update_servers(when + 2, {1: RULE})
    asked, _ = run_checks(checks, when + 5000.0, {})
    times = [now for now, _ in asked]
    assert len(times) in (4, 5) and all(abs(b - a - 1000.0) < 1e-6 for a, b in pairwise(times))


def test_a_server_that_was_down_and_is_no_longer_checked_is_told() -> None:
    checks = Checks(random.Random(2))
    checks.update_servers(0.0, {1: RULE, 2: RULE})
    run_checks(checks, 6000.0, {2: (0.0, 9000.0)})
    assert checks.update_servers(6000.0, {1: RULE}) == [2]
    assert checks.update_servers(6001.0, {}) == []


def test_new_servers_are_first_checked_over_the_whole_period() -> None:
    checks = Checks(random.Random(4))
    checks.update_servers(0.0, {ident: RULE for ident in range(200)})
    first = {ident: now for now, ident in run_checks(checks, 1000.0, {})[0]}
    assert len(first) == 200 and sum(1 for now in first.values() if now < 500.0) in range(70, 131)
