"""Let-in share, store estimate and the meter's clock."""

from __future__ import annotations

import random

import pytest
from helpers import Rig, sends

from basaltpoint import interface as api
from basaltpoint.policy import decision_module, server_set
from basaltpoint.policy.quota import Customer, MeterClock

PLAN = api.Plan(rate=10, burst=20)


def play(lag: float, seconds: int = 60, scale: float = 1.0) -> tuple[MeterClock, Customer]:
    """A customer sent on by two gateways alike, and a meter that is `lag` ms late."""
    rng = random.Random(3)
    clock, customer = MeterClock(1000.0), Customer(PLAN, 2, 0.0)
    both: list[float] = []
    now, burst = 0.0, 1.0
    while now < seconds * 1000.0:
        now += rng.expovariate(1 / 40.0)
        if rng.random() < 0.02:
            burst = rng.choice([0.1, 0.3, 1.0])
        if rng.random() > burst * scale:
            continue
        both.append(now)
        if rng.random() < 0.5:
            customer.draw(now, 1.0)
            end = (now + 60.0 - lag) // 1000.0 * 1000.0
            used = sum(1 for at in both if end - 1000.0 <= at < end)
            customer.apply_reading(now + 60.0, round(used / PLAN.rate * 100), clock)
    return clock, customer


@pytest.mark.parametrize("lag", [400.0, 900.0, 1500.0])
def test_the_clock_finds_the_period_a_reading_speaks_of(lag: float) -> None:
    clock, _ = play(lag)
    _, end = clock.reading_period(60000.0)
    true_end = (60000.0 - lag) // 1000.0 * 1000.0
    assert abs((end - true_end + 500) % 1000 - 500) < 200
    assert abs(end - true_end) < 1200


def test_our_part_is_learned() -> None:
    _, customer = play(700.0)
    assert 0.3 < customer.local_share() < 0.7


def test_what_was_metered_before_our_start_says_nothing_of_our_part() -> None:
    """After a restart the first readings speak of seconds in which all came through the others.

    Held against us, they halved our part of every customer, and customers inside their quotas were refused.
    """
    clock, customer = MeterClock(1000.0, first_request_ms=5000.0), Customer(PLAN, 2, 5000.0)
    for step in range(3):
        customer.draw(5000.0 + step * 100.0, 1.0)
        customer.apply_reading(5010.0 + step * 700.0, 90 + step, clock)
    assert customer.local_share() == 0.5 and customer.whole == 0.0
    for step in range(6):
        customer.draw(7500.0 + step * 1000.0, 1.0)
        customer.apply_reading(9000.0 + step * 1000.0, 80 + step, clock)
    assert customer.local_share() < 0.45  # of what was metered since, it does


def part_after(usage: int, own: int, periods: int) -> float:
    """Our part of a customer of two limiters, of whose `usage` a period we sent `own` units."""
    clock, customer = MeterClock(1000.0), Customer(PLAN, 2, 0.0)
    for step in range(periods):
        for n in range(own):
            customer.draw(step * 1000.0 + 10.0 + n, 1.0)
        customer.apply_reading(step * 1000.0 + 1400.0, usage + step % 2, clock)
    return customer.local_share()


def test_a_quota_that_is_used_up_teaches_nothing_of_our_part() -> None:
    """What was refused was not sent: a limiter that refused more learned a smaller part, and refused more."""
    assert part_after(100, 1, 20) == 0.5
    assert part_after(95, 9, 20) == 0.5


def test_our_part_is_learned_from_quiet_periods_and_fades_once_the_quota_is_used_up() -> None:
    assert part_after(50, 5, 20) > 0.6
    assert part_after(50, 1, 20) < 0.42
    clock, customer = MeterClock(1000.0), Customer(PLAN, 2, 0.0)
    customer.own, customer.whole = 60.0, 60.0
    before = customer.local_share()
    for step in range(20):
        customer.apply_reading(step * 1000.0 + 10.0, 120 + step % 2, clock)
    assert before > 0.75 and customer.local_share() < 0.56


def test_a_gateway_starts_with_its_first_request() -> None:
    rig = Rig()
    assert rig.decision_module.meter_clock.first_request_ms > 1e9
    rig.arrive(300.0)
    rig.arrive(700.0)
    assert rig.decision_module.meter_clock.first_request_ms == 300.0


def test_units_settled_after_the_answer_count_when_the_meter_counts_them() -> None:
    """At their answer, not at their sending: else the two sides of a period would not balance."""
    customer = Customer(PLAN, 1, 0.0)
    customer.draw(100.0, 4.0)
    left = customer.quota_bucket.level
    customer.settle(1200.0, -3.0)
    assert customer.quota_bucket.level == pytest.approx(min(PLAN.burst, left + 3.0 + 11.0))
    assert customer.units_drawn_until(1000.0)[0] == 4.0 and customer.units_drawn_until(1300.0)[0] == 1.0
    customer.settle(1300.0, 2.0)
    assert customer.units_drawn_until(1300.0)[0] == 3.0


def test_a_period_in_which_more_was_given_back_than_drawn_leaves_a_part() -> None:
    """Our part was negative or nothing then, and the clock divided by it."""
    clock, customer = MeterClock(1000.0), Customer(PLAN, 2, 0.0)
    for step in range(40):
        now = step * 1000.0
        if step % 2:
            customer.settle(now + 10.0, -30.0)
        else:
            customer.draw(now + 10.0, 31.0)
        customer.apply_reading(now + 20.0, 30 + step % 2, clock)
        assert 0.0 < customer.local_share() <= 1.0


@pytest.mark.parametrize("attempt", [0, 1])
def test_the_first_good_answer_settles_whichever_attempt_it_ends(attempt: int) -> None:
    rig = Rig(plans=(PLAN,), post_paid=True)
    [sent] = sends(rig.arrive(10.0))
    customer = rig.decision_module.customers[1]
    if attempt:
        [sent] = sends(rig.done(20.0, sent, "connect_failed"))
    before = customer.units_drawn_until(1e9)[0]
    rig.done(60.0, sent, "ok", attempt, units=4.0)
    assert customer.units_drawn_until(1e9)[0] == before + 3.0


def test_nothing_is_settled_where_quotas_go_by_the_guess_or_nothing_was_told() -> None:
    for post_paid, units in ((False, 4.0), (True, 0.0)):
        rig = Rig(plans=(PLAN,), post_paid=post_paid)
        [sent] = sends(rig.arrive(10.0))
        rig.done(60.0, sent, "ok", units=units)
        assert rig.decision_module.customers[1].units_drawn_until(1e9)[0] == 1.0


def test_repeating_a_reading_does_not_wind_the_share_down() -> None:
    clock, customer = MeterClock(1000.0), Customer(PLAN, 2, 0.0)
    customer.apply_reading(10.0, 200, clock)
    once = customer.admitted_fraction(250.0)
    for step in range(1, 12):
        customer.apply_reading(10.0 + step * 20, 200, clock)
    assert customer.admitted_fraction(250.0) == pytest.approx(once, abs=0.01) and once < 0.6


def test_no_use_restores_the_share() -> None:
    clock, customer = MeterClock(1000.0), Customer(PLAN, 1, 0.0)
    customer.apply_reading(10.0, 300, clock)
    assert customer.admitted_fraction(20.0) < 0.5
    for step in range(1, 9):
        customer.apply_reading(10.0 + 1000.0 * step, 0, clock)
    assert customer.admitted_fraction(8020.0) == 1.0


def test_old_readings_yield_to_the_guess() -> None:
    """big-1 of cca-main-later: a reading a door heard a minute ago bound a rarely seen customer."""
    clock, customer = MeterClock(1000.0), Customer(PLAN, 300, 0.0)
    customer.apply_reading(10.0, 500, clock)
    assert customer.admitted_fraction(1000.0) < 0.4
    assert customer.admitted_fraction(150000.0) > 0.9


def test_behind_many_doors_repeated_tries_weigh_and_a_first_one_passes() -> None:
    """big-1 of cca-main-later: with a reading a minute, own tries are what tells a runaway account."""
    customer = Customer(api.Plan(rate=1, burst=4), 300, 0.0)
    assert not customer.refusal_reason(1000.0, 1.0, 0.9)
    assert customer.refusal_reason(2000.0, 1.0, 0.9)
    assert customer.admitted_fraction(120000.0) > 0.9


def test_a_plan_without_a_rate_goes_by_its_meter() -> None:
    clock, customer = MeterClock(1000.0), Customer(api.Plan(rate=0, burst=0, max_parallel=4), 3, 0.0)
    assert not customer.refusal_reason(5.0, 1.0, 0.99)
    customer.apply_reading(10.0, 400, clock)
    assert customer.refusal_reason(20.0, 1.0, 0.5)


def test_the_store_of_a_plan_without_a_rate_rests() -> None:
    clock, customer = MeterClock(1000.0), Customer(api.Plan(rate=0, burst=8, max_parallel=4), 3, 0.0)
    customer.apply_reading(3000.0, 400, clock)
    assert customer.anchor == (8, 0.0) and customer.quota_bucket.level == 8


def test_own_sends_past_the_whole_quota_are_beyond() -> None:
    customer = Customer(PLAN, 1, 0.0)
    passed = 0
    for step in range(200):
        if not customer.refusal_reason(step * 5.0, 1.0, 0.0):
            customer.draw(step * 5.0, 1.0)
            passed += 1
    assert passed <= PLAN.burst * 1.3 + PLAN.rate


def test_a_wholly_refused_customer_recovers_without_a_meter() -> None:
    customer = Customer(PLAN, 1, 0.0)
    customer.quota_bucket.level, customer.local_bucket.level = -5.0, 0.0
    assert customer.refusal_reason(0.0, 1.0, 0.5)
    assert not customer.refusal_reason(2500.0, 1.0, 0.5)


def test_idle_customers_are_forgotten() -> None:
    """Memory grew with every customer ever seen: thousands, at hundreds of doors each."""
    rig = Rig()
    for n in range(50):
        rig.done(20.0 + n, sends(rig.arrive(10.0 + n, customer=n))[0], "ok")
    (kept,) = sends(rig.arrive(100.0, customer=99))
    rig.arrive(130000.0, customer=7)
    rig.arrive(260000.0, customer=7)
    assert set(rig.decision_module.customers) == {99, 7}
    rig.done(260010.0, kept, "ok")


def test_one_time_customers_are_forgotten() -> None:
    """However many come, only those of the last while are held; one whose try is out stays."""
    rig = Rig()
    kept = sends(rig.arrive(0.0, customer=1_000_000))
    for step in range(5000):
        [sent] = sends(rig.arrive(step * 50.0, customer=step))
        rig.done(step * 50.0 + 20.0, sent, "ok")
    assert kept and 1_000_000 in rig.decision_module.customers
    assert len(rig.decision_module.customers) < 1000
    assert len(rig.decision_module.pools[0].servers.admission_times_ms) < 200


def test_a_flood_of_customers_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """The longest idle go early, but none before its ceiling is full again: it would be passed."""
    monkeypatch.setattr(decision_module, "MAX_CUSTOMERS", 50)
    slow = api.Plan(rate=1000, burst=2000, ceiling_rate=0.5, ceiling_depth=100.0)
    rig = Rig(plans=(slow,))
    now = 300_000.0
    for step in range(300):
        [sent] = sends(rig.arrive(now + step, customer=step))
        rig.done(now + step, sent, "ok")
    rig.tick(now + 1050.0)
    assert len(rig.decision_module.customers) == 300
    rig.tick(now + 5000.0)
    assert len(rig.decision_module.customers) == 50


def test_a_customers_log_is_bounded_by_time() -> None:
    rig = Rig()
    for step in range(5000):
        [sent] = sends(rig.arrive(step * 50.0))
        rig.done(step * 50.0 + 20.0, sent, "ok")
    [customer] = rig.decision_module.customers.values()
    assert 200 <= len(customer.draw_log) <= 450
    end = 5000 * 50.0
    assert customer.units_drawn_until(end)[0] - customer.units_drawn_until(end - 5025.0)[0] == 100.0


def test_a_ceiling_fills_from_the_start_of_the_gateway() -> None:
    """Empty at the start, as an earlier life may have drawn all; what it gave since then is there at once."""
    plan = api.Plan(rate=1000, burst=2000, ceiling_rate=10.0, ceiling_depth=8.0)
    rig = Rig(plans=(plan,))
    assert not sends(rig.arrive(50.0, customer=1, doors=2))
    tries = [rig.arrive(400.0, customer=2, doors=2) for _ in range(5)]
    assert sum(len(sends(actions)) for actions in tries) == 2  # 0.4 s of half the rate
    tries = [rig.arrive(90_000.0, customer=3, doors=2) for _ in range(9)]
    assert sum(len(sends(actions)) for actions in tries) == 4  # half the depth


def test_a_refusal_tells_when_to_come_back() -> None:
    """Soon where the quota has room; beyond it once the store holds the units, within the bound."""
    rig = Rig([], plans=(api.Plan(rate=5, burst=1),), max_retry_after_ms=500)
    [refused] = rig.arrive(1.0, customer=1)
    assert isinstance(refused, api.Refuse) and refused.retry_in_ms == server_set.INITIAL_LATENCY_MS
    beyond = rig.decision_module.customers[1]
    beyond.usage, beyond.quota_bucket.level = 300, -0.5
    [refused] = rig.arrive(1.0, customer=1)
    assert isinstance(refused, api.Refuse) and refused.retry_in_ms == pytest.approx(300.0)
    beyond.quota_bucket.level = -9.0
    [refused] = rig.arrive(1.0, customer=1)
    assert isinstance(refused, api.Refuse) and refused.retry_in_ms == 500.0


def held_back(seed: int, seconds: int = 120) -> tuple[float, float]:
    """Two limiters and a late meter; a customer asks for four times its quota, 1 to 4 units at a time.

    Units sent on inside the true quota, as a part of what it gives, and those beyond as a part of all sent.
    """
    rng, lag, plan = random.Random(seed), 1100.0, api.Plan(rate=2.0, burst=8.0)
    clocks = [MeterClock(1000.0) for _ in range(2)]
    limiters = [Customer(plan, 2, 0.0) for _ in clocks]
    store, at, now = plan.burst, 0.0, 0.0
    inside = beyond = 0.0
    sent: list[tuple[float, float]] = []
    answers: list[tuple[float, int]] = []
    while now < seconds * 1000.0:
        now += rng.expovariate(4.0 * plan.rate / 2.0 / 1000.0)
        while answers and answers[0][0] <= now:
            when, door = answers.pop(0)
            end = (when - lag) // 1000.0 * 1000.0
            used = sum(units for then, units in sent if end - 1000.0 <= then < end)
            limiters[door].apply_reading(when, round(used / plan.rate * 100.0), clocks[door])
        door, units = int(rng.random() < 0.4), rng.choice([1.0, 1.0, 2.0, 4.0])
        if limiters[door].refusal_reason(now, units, rng.random()):
            continue
        limiters[door].draw(now, units)
        store, at = min(plan.burst, store + plan.rate * (now - at) / 1000.0), now
        if store >= units:
            store, inside = store - units, inside + units
        else:
            beyond += units
        sent.append((now, units))
        answers.append((now + 100.0, door))
    return inside / (plan.burst + plan.rate * seconds), beyond / (inside + beyond)


def test_a_customer_far_over_its_quota_gets_nearly_all_of_it_and_little_more() -> None:
    """What the others might draw unseen shut each limiter for seconds after each send: 0.90 was used."""
    plays = [held_back(seed) for seed in range(6)]
    assert sum(used for used, _ in plays) / len(plays) > 0.94
    assert sum(beyond for _, beyond in plays) / len(plays) < 0.1


def test_a_limiter_may_send_on_its_own_part_whatever_it_believes_of_the_others() -> None:
    customer = Customer(PLAN, 2, 0.0)
    customer.quota_bucket.level = 0.0
    for _ in range(10):  # half of the burst
        assert not customer.refusal_reason(0.0, 1.0, 0.99)
        customer.draw(0.0, 1.0)
    assert customer.refusal_reason(0.0, 1.0, 0.99)
    assert not customer.refusal_reason(250.0, 1.0, 0.99)  # half of the rate, and a little for the margin


def test_where_nobody_else_draws_the_store_alone_counts() -> None:
    """A balance that an earlier life left would be passed otherwise."""
    customer = Customer(PLAN, 1, 0.0)
    customer.quota_bucket.level = 0.0
    assert customer.refusal_reason(0.0, 1.0, 0.0, exact=True)


def beyond(over_cost: float, seed: int) -> tuple[float, float]:
    """100 gateways that share nothing: what goes on beyond quotas of all that does, and what is let in.

    Each fifth customer asks for four times its quota, the others for a quarter; each comes through all doors,
    so that a gateway meets most of them for the first time. The meter is a second late.
    """
    rng, doors = random.Random(seed), 100
    plan = api.Plan(rate=4, burst=6, excess_cost=over_cost)
    clocks = [MeterClock(1000.0) for _ in range(doors)]
    sent = excess = asked_inside = 0
    for number in range(20):
        demand = plan.rate * (4.0 if number % 5 == 0 else 0.25)
        seen: dict[int, Customer] = {}
        level, at, now, log = plan.burst, 0.0, 0.0, list[float]()
        while (now := now + rng.expovariate(demand) * 1000.0) < 30_000.0:
            door = rng.randrange(doors)
            customer = seen.setdefault(door, Customer(plan, doors, now))
            level, at = min(plan.burst, level + plan.rate * (now - at) / 1000.0), now
            asked_inside += level >= 1.0
            if customer.refusal_reason(now, 1.0, rng.random()):
                continue
            customer.draw(now, 1.0)
            log.append(now)
            sent += 1
            excess += level < 1.0
            level -= 1.0 if level >= 1.0 else 0.0
            end = now // 1000.0 * 1000.0 - 1000.0
            used = sum(1 for each in log if end - 1000.0 <= each < end)
            customer.apply_reading(now + 100.0, round(used / plan.rate * 100), clocks[door])
    return excess / sent, sent / max(1, asked_inside)


def test_many_gateways_send_less_beyond_quotas_where_that_costs() -> None:
    """And no less where it costs nothing: only what settings price is spared."""
    for seed in range(3):
        free, careful = beyond(0.0, seed), beyond(1.0, seed)
        assert careful[0] < 0.75 * free[0], (free, careful)
        assert free == beyond(0.0, seed)


def test_care_is_what_excess_costs_beside_what_it_earns() -> None:
    for worth, cost, care in ((0.0, 0.5, 0.5), (0.3, 0.0, 0.0), (0.0, 2.0, 1.0), (0.2, 0.6, 0.4)):
        plan = api.Plan(rate=1, burst=4, excess_worth=worth, excess_cost=cost)
        assert Customer(plan, 3, 0.0).excess_cost == pytest.approx(care)
