"""Pools in the decision module: health and customers are shared, servers and lanes are per pool."""

from __future__ import annotations

from dataclasses import replace

from helpers import BASE, action_names, sends, server

from basaltpoint import interface as api
from basaltpoint.policy import DecisionModule

POOLS = {1: (0, 3), 2: (0, 1)}


class Rig:
    """A decision module with two pools; both list server 2."""

    def __init__(self, **changes: object) -> None:
        settings = replace(
            BASE, pool_classes=POOLS, is_only_limiter=True, meter_period_ms=0.0, max_retry_after_ms=500.0
        )
        self.settings = replace(settings, **changes)  # type: ignore[arg-type]
        self.decision_module = DecisionModule(self.settings, seed=3)
        self.number = 0
        self.listed(0.0, 1, server(1), server(2))
        self.listed(0.0, 2, server(2), server(3))

    def listed(self, now: float, pool: int, *servers: api.Server) -> list[api.Action]:
        return self.decision_module.handle(now, api.ServerList(api.ListKind.FULL, servers, pool))

    def arrive(self, now: float, pool: int, cls: int = 0, customer: int = 1) -> list[api.Action]:
        self.number += 1
        event = api.Arrival(self.number, cls, 0, customer, 1.0, 1, now + 4000.0, pool)
        return self.decision_module.handle(now, event)

    def done(self, now: float, sent: api.Send, status: str, attempt: int = 0) -> list[api.Action]:
        event = api.Outcome(sent.request, attempt, sent.server, api.Status(status), 50.0, status == "ok")
        return self.decision_module.handle(now, event)


def test_a_request_stays_in_its_pool() -> None:
    rig = Rig()
    for pool, expected in ((1, {1, 2}), (2, {2, 3})):
        seen = set()
        for n in range(40):
            (sent,) = sends(rig.arrive(10.0 + n, pool))
            (again,) = sends(rig.done(11.0 + n, sent, "reset"))
            assert {sent.server, again.server} <= expected
            rig.done(12.0 + n, again, "ok", 1)
            seen |= {sent.server, again.server}
        assert seen == expected


def test_pools_share_health_but_not_load() -> None:
    rig = Rig()
    first, second = rig.decision_module.pools[1].servers, rig.decision_module.pools[2].servers
    assert first.records[2].health is second.records[2].health
    attempts = [sends(rig.arrive(10.0, 1))[0] for _ in range(6)]
    assert sum(peer.outstanding for peer in first.records.values()) == 6
    assert second.records[2].outstanding == 0
    # A suspicion in one pool applies to the other.
    for sent in attempts:
        rig.done(20.0, sent, "connect_failed" if sent.server == 2 else "ok")
    assert first.suspects == second.suspects == {2}
    assert {sends(rig.arrive(30.0, 2))[0].server for _ in range(5)} == {3}


def test_a_restart_listed_in_both_pools_creates_one_new_health() -> None:
    rig = Rig()
    for sent in [sends(rig.arrive(10.0, 1))[0] for _ in range(6)]:
        rig.done(20.0, sent, "connect_failed")
    rig.listed(50.0, 1, server(1), server(2, started=40.0))
    rig.listed(50.0, 2, server(2, started=40.0), server(3))
    first, second = rig.decision_module.pools[1].servers, rig.decision_module.pools[2].servers
    assert first.records[2].health is second.records[2].health
    assert not first.records[2].health.suspect and len(first.records[2].health.listeners) == 2
    assert 2 not in first.suspects and 2 not in second.suspects


def test_all_pools_share_a_customers_quota() -> None:
    rig = Rig(plans=(api.Plan(rate=1.0, burst=4.0),))
    admitted = [bool(sends(rig.arrive(10.0, 1 + n % 2))) for n in range(12)]
    assert admitted == [True] * 4 + [False] * 8


def test_a_sole_limiter_admits_exactly_the_burst_and_advises_when_to_retry() -> None:
    rig = Rig(plans=(api.Plan(rate=2.0, burst=5.0),), max_retry_after_ms=10_000.0)
    actions = [rig.arrive(10.0, 1)[0] for _ in range(7)]
    assert [isinstance(a, api.Send) for a in actions] == [True] * 5 + [False] * 2
    refused = actions[-1]
    assert isinstance(refused, api.Refuse) and refused.reason is api.RefusalReason.QUOTA
    assert refused.retry_in_ms == 500.0
    standing = rig.decision_module.quota_status(10.0, 1)
    assert standing and (standing.units_left, standing.full_in_ms) == (0.0, 2500.0)
    assert sends(rig.arrive(520.0, 1))


def test_a_sole_limiter_reserves_a_fixed_fraction_for_classes_of_higher_worth() -> None:
    low_worth, high_worth = replace(BASE.classes[0], name="a"), replace(BASE.classes[0], name="b", worth=5.0)
    plan = api.Plan(rate=0.001, burst=10.0)
    rig = Rig(classes=(low_worth, high_worth), pool_classes={1: (0, 1)}, plans=(plan,))
    admitted = [bool(sends(rig.arrive(10.0, 1, 0))) for _ in range(30)]
    assert admitted == [True] * 9 + [False] * 21
    assert sends(rig.arrive(10.0, 1, 1))


def test_a_pool_removed_while_requests_are_outstanding() -> None:
    rig = Rig()
    (out,) = sends(rig.arrive(10.0, 2))
    (other,) = sends(rig.arrive(10.0, 1))
    rig.decision_module.handle(20.0, api.SettingsChanged(replace(rig.settings, pool_classes={1: (0, 3)})))
    rig.listed(20.0, 2)
    assert 2 in rig.decision_module.pools  # until its request has ended
    assert action_names(rig.done(30.0, out, "reset")) == ["Refuse"]  # no server is left
    rig.decision_module.handle(5000.0, api.TimerFired(0))
    assert set(rig.decision_module.pools) == {0, 1}
    rig.done(5001.0, other, "ok")
    assert not rig.decision_module.requests and set(rig.decision_module.healths) == {1, 2}


def test_each_pool_assigns_lanes_among_its_own_classes() -> None:
    tight = replace(BASE.classes[0], aim_ms=100.0, name="tight")
    loose = replace(BASE.classes[0], aim_ms=5000.0, name="loose")
    looser = replace(BASE.classes[0], aim_ms=9000.0, name="looser")
    rig = Rig(classes=(tight, loose, looser), pool_classes={1: (0,), 2: (1, 2)})
    assert rig.decision_module.pools[1].lanes == {0: 0}
    assert rig.decision_module.pools[2].lanes == {1: 0, 2: 1}


def test_new_settings_change_the_plan_and_retain_draws() -> None:
    rig = Rig(plans=(api.Plan(rate=1.0, burst=10.0, ceiling_rate=2.0, ceiling_depth=4.0),))
    for _ in range(3):
        rig.arrive(5000.0, 1)
    customer = rig.decision_module.customers[1]
    assert customer.quota_bucket.level == 7.0 and customer.ceiling.level == 1.0
    wider = api.Plan(rate=4.0, burst=20.0, ceiling_rate=8.0, ceiling_depth=16.0)
    rig.decision_module.handle(5000.0, api.SettingsChanged(replace(rig.settings, plans=(wider,))))
    rig.arrive(5000.0, 1)
    assert customer.quota_bucket.level == 13.0  # 7 of 10 became 14 of 20, less one unit
    assert customer.ceiling.level == 0.0  # never refilled by a change


# --- Active health checks ---
def test_a_server_that_fails_its_checks_gets_no_requests_and_returns_cold() -> None:
    rig = Rig(cold_duration_ms=5000.0)
    rig.decision_module.handle(1000.0, api.HealthCheckResult(2, is_healthy=False))
    assert {sends(rig.arrive(1000.0, 1))[0].server for _ in range(6)} == {1}
    rig.decision_module.handle(9000.0, api.HealthCheckResult(2, is_healthy=True))
    pool_servers = rig.decision_module.pools[1].servers
    assert (
        pool_servers.warm_fraction(pool_servers.records[2], 10_000.0)
        < 1.0
        == pool_servers.warm_fraction(pool_servers.records[1], 10_000.0)
    )
    assert rig.decision_module.handle(9000.0, api.HealthCheckResult(77, is_healthy=False)) == []  # not listed
