"""The state machine of active health checks: when a server is checked, and its verdict."""

from __future__ import annotations

import random
from itertools import pairwise

from basaltpoint.interface import ProbeRule
from basaltpoint.membership.checks import Checks

RULE = ProbeRule(every_ms=1000.0, rise=2, fall=3)


def run_checks(checks: Checks, until: float, failing: dict[int, tuple[float, float]]) -> tuple[list, list]:
    """Completes each check at once; servers fail within their interval. Returns the checks and verdicts."""
    started, verdicts = [], []
    while (now := checks.next_due_ms) is not None and now < until:
        for ident in checks.start_due(now):
            started.append((now, ident))
            start, end = failing.get(ident, (0.0, 0.0))
            if (up := checks.record_result(now, ident, not start < now < end)) is not None:
                verdicts.append((now, ident, up))
    return started, verdicts


def test_a_server_is_down_after_three_failures_and_up_after_two_successes() -> None:
    checks = Checks(random.Random(3))
    checks.update_servers(0.0, {1: RULE, 2: RULE})
    asked, verdicts = run_checks(checks, 14_000.0, {2: (3000.0, 9000.0)})
    times = [now for now, ident in asked if ident == 2]
    assert all(abs(b - a - 1000.0) < 1e-6 for a, b in pairwise(times))
    first = next(now for now in times if now > 3000)
    back = next(now for now in times if now > 9000)
    assert verdicts == [(first + 2000, 2, False), (back + 1000, 2, True)]


def test_a_success_resets_the_count_of_failures() -> None:
    checks = Checks(random.Random(1))
    checks.update_servers(0.0, {1: RULE})
    verdicts = []
    for good in (False, False, True, False, False, False):
        now = checks.next_due_ms
        assert now is not None and checks.start_due(now) == [1]
        verdicts.append(checks.record_result(now, 1, good))
    assert verdicts == [None] * 5 + [False]


def test_a_server_added_again_is_checked_once_per_period() -> None:
    """Removed and added again, as by two reloads: old entries and late results cause no extra checks."""
    checks = Checks(random.Random(5))
    checks.update_servers(0.0, {1: RULE})
    when = checks.next_due_ms or 0.0
    assert checks.start_due(when) == [1]
    checks.update_servers(when, {})
    checks.update_servers(when, {1: RULE})
    assert [checks.record_result(when + 1, 1, False) for _ in range(3)] == [
        None
    ] * 3  # from before its removal
    checks.update_servers(when + 2, {})
    checks.update_servers(when + 2, {1: RULE})
    asked, _ = run_checks(checks, when + 5000.0, {})
    times = [now for now, _ in asked]
    assert len(times) in (4, 5) and all(abs(b - a - 1000.0) < 1e-6 for a, b in pairwise(times))


def test_a_down_server_that_is_no_longer_checked_is_reported() -> None:
    checks = Checks(random.Random(2))
    checks.update_servers(0.0, {1: RULE, 2: RULE})
    run_checks(checks, 6000.0, {2: (0.0, 9000.0)})
    assert checks.update_servers(6000.0, {1: RULE}) == [2]
    assert checks.update_servers(6001.0, {}) == []


def test_first_checks_are_spread_over_the_period() -> None:
    checks = Checks(random.Random(4))
    checks.update_servers(0.0, {ident: RULE for ident in range(200)})
    first = {ident: now for now, ident in run_checks(checks, 1000.0, {})[0]}
    assert len(first) == 200 and sum(1 for now in first.values() if now < 500.0) in range(70, 131)
