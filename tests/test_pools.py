"""Pools in the decision module: one health and one customer over all, fleets and lanes of their own."""

from __future__ import annotations

from dataclasses import replace

from helpers import BASE, kinds, sends, server

from basaltpoint import interface as api
from basaltpoint.policy import DecisionModule

POOLS = {1: (0, 3), 2: (0, 1)}


class Rig:
    """A gateway with two pools; server 2 stands in both."""

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
    for pool, members in ((1, {1, 2}), (2, {2, 3})):
        seen = set()
        for n in range(40):
            (sent,) = sends(rig.arrive(10.0 + n, pool))
            (again,) = sends(rig.done(11.0 + n, sent, "reset"))
            assert {sent.server, again.server} <= members
            rig.done(12.0 + n, again, "ok", 1)
            seen |= {sent.server, again.server}
        assert seen == members


def test_one_health_and_two_loads() -> None:
    rig = Rig()
    first, second = rig.decision_module.pools[1].servers, rig.decision_module.pools[2].servers
    assert first.records[2].health is second.records[2].health
    held = [sends(rig.arrive(10.0, 1))[0] for _ in range(6)]
    assert sum(peer.outstanding for peer in first.records.values()) == 6
    assert second.records[2].outstanding == 0
    # What the one pool learns of the server the other knows, too.
    for sent in held:
        rig.done(20.0, sent, "connect_failed" if sent.server == 2 else "ok")
    assert first.suspects == second.suspects == {2}
    assert {sends(rig.arrive(30.0, 2))[0].server for _ in range(5)} == {3}


def test_a_restart_told_to_both_is_one_new_health() -> None:
    rig = Rig()
    for sent in [sends(rig.arrive(10.0, 1))[0] for _ in range(6)]:
        rig.done(20.0, sent, "connect_failed")
    rig.listed(50.0, 1, server(1), server(2, started=40.0))
    rig.listed(50.0, 2, server(2, started=40.0), server(3))
    first, second = rig.decision_module.pools[1].servers, rig.decision_module.pools[2].servers
    assert first.records[2].health is second.records[2].health
    assert not first.records[2].health.suspect and len(first.records[2].health.listeners) == 2
    assert 2 not in first.suspects and 2 not in second.suspects


def test_customers_are_one_for_all_pools() -> None:
    rig = Rig(plans=(api.Plan(rate=1.0, burst=4.0),))
    passed = [bool(sends(rig.arrive(10.0, 1 + n % 2))) for n in range(12)]
    assert passed == [True] * 4 + [False] * 8


def test_a_sole_limiter_lets_exactly_the_burst_through_and_says_when_to_come_back() -> None:
    rig = Rig(plans=(api.Plan(rate=2.0, burst=5.0),), max_retry_after_ms=10_000.0)
    actions = [rig.arrive(10.0, 1)[0] for _ in range(7)]
    assert [isinstance(a, api.Send) for a in actions] == [True] * 5 + [False] * 2
    refused = actions[-1]
    assert isinstance(refused, api.Refuse) and refused.reason is api.RefusalReason.QUOTA
    assert refused.retry_in_ms == 500.0
    standing = rig.decision_module.quota_status(10.0, 1)
    assert standing and (standing.units_left, standing.full_in_ms) == (0.0, 2500.0)
    assert sends(rig.arrive(520.0, 1))


def test_a_sole_limiter_keeps_the_same_part_for_dearer_classes_however_much_is_asked() -> None:
    cheap, dear = replace(BASE.classes[0], name="a"), replace(BASE.classes[0], name="b", worth=5.0)
    plan = api.Plan(rate=0.001, burst=10.0)
    rig = Rig(classes=(cheap, dear), pool_classes={1: (0, 1)}, plans=(plan,))
    passed = [bool(sends(rig.arrive(10.0, 1, 0))) for _ in range(30)]
    assert passed == [True] * 9 + [False] * 21
    assert sends(rig.arrive(10.0, 1, 1))


def test_a_pool_that_goes_while_requests_are_out() -> None:
    rig = Rig()
    (out,) = sends(rig.arrive(10.0, 2))
    (other,) = sends(rig.arrive(10.0, 1))
    rig.decision_module.handle(20.0, api.SettingsChanged(replace(rig.settings, pool_classes={1: (0, 3)})))
    rig.listed(20.0, 2)
    assert 2 in rig.decision_module.pools  # until its request is over
    assert kinds(rig.done(30.0, out, "reset")) == ["Refuse"]  # nothing is left to send it to
    rig.decision_module.handle(5000.0, api.TimerFired(0))
    assert set(rig.decision_module.pools) == {0, 1}
    rig.done(5001.0, other, "ok")
    assert not rig.decision_module.requests and set(rig.decision_module.healths) == {1, 2}


def test_lanes_are_split_among_a_pools_own_classes() -> None:
    tight = replace(BASE.classes[0], aim_ms=100.0, name="tight")
    loose = replace(BASE.classes[0], aim_ms=5000.0, name="loose")
    looser = replace(BASE.classes[0], aim_ms=9000.0, name="looser")
    rig = Rig(classes=(tight, loose, looser), pool_classes={1: (0,), 2: (1, 2)})
    assert rig.decision_module.pools[1].lanes == {0: 0}
    assert rig.decision_module.pools[2].lanes == {1: 0, 2: 1}


def test_new_settings_change_the_plan_and_keep_what_was_drawn() -> None:
    rig = Rig(plans=(api.Plan(rate=1.0, burst=10.0, ceiling_rate=2.0, ceiling_depth=4.0),))
    for _ in range(3):
        rig.arrive(5000.0, 1)
    customer = rig.decision_module.customers[1]
    assert customer.quota_bucket.level == 7.0 and customer.ceiling.level == 1.0
    wider = api.Plan(rate=4.0, burst=20.0, ceiling_rate=8.0, ceiling_depth=16.0)
    rig.decision_module.handle(5000.0, api.SettingsChanged(replace(rig.settings, plans=(wider,))))
    rig.arrive(5000.0, 1)
    assert customer.quota_bucket.level == 13.0  # 7 of 10 became 14 of 20, less this one
    assert customer.ceiling.level == 0.0  # never granted anew


# --- Active checks ---------------------------------------------------------------------------------
def test_a_server_that_its_checks_put_down_gets_nothing_and_comes_back_cold() -> None:
    rig = Rig(cold_duration_ms=5000.0)
    rig.decision_module.handle(1000.0, api.HealthCheckResult(2, is_healthy=False))
    assert {sends(rig.arrive(1000.0, 1))[0].server for _ in range(6)} == {1}
    rig.decision_module.handle(9000.0, api.HealthCheckResult(2, is_healthy=True))
    fleet = rig.decision_module.pools[1].servers
    assert (
        fleet.warm_fraction(fleet.records[2], 10_000.0)
        < 1.0
        == fleet.warm_fraction(fleet.records[1], 10_000.0)
    )
    assert (
        rig.decision_module.handle(9000.0, api.HealthCheckResult(77, is_healthy=False)) == []
    )  # it has left meanwhile
