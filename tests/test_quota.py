"""Customer quotas: the admitted fraction, the estimated quota bucket and the meter's clock."""

from __future__ import annotations

import random

import pytest
from helpers import Rig, sends

from basaltpoint import interface as api
from basaltpoint.policy import decision_module, server_set
from basaltpoint.policy.quota import Customer, MeterClock

PLAN = api.Plan(rate=10, burst=20)


def simulate_meter(lag: float, seconds: int = 60, scale: float = 1.0) -> tuple[MeterClock, Customer]:
    """Simulates a customer of two limiters with equal shares and a meter with a lag of `lag` ms."""
    rng = random.Random(3)
    clock, customer = MeterClock(1000.0), Customer(PLAN, 2, 0.0)
    draw_times: list[float] = []
    now, intensity = 0.0, 1.0
    while now < seconds * 1000.0:
        now += rng.expovariate(1 / 40.0)
        if rng.random() < 0.02:
            intensity = rng.choice([0.1, 0.3, 1.0])
        if rng.random() > intensity * scale:
            continue
        draw_times.append(now)
        if rng.random() < 0.5:
            customer.draw(now, 1.0)
            end = (now + 60.0 - lag) // 1000.0 * 1000.0
            used = sum(1 for at in draw_times if end - 1000.0 <= at < end)
            customer.apply_reading(now + 60.0, round(used / PLAN.rate * 100), clock)
    return clock, customer


@pytest.mark.parametrize("lag", [400.0, 900.0, 1500.0])
def test_the_clock_finds_the_period_that_a_reading_describes(lag: float) -> None:
    clock, _ = simulate_meter(lag)
    _, end = clock.reading_period(60000.0)
    true_end = (60000.0 - lag) // 1000.0 * 1000.0
    assert abs((end - true_end + 500) % 1000 - 500) < 200
    assert abs(end - true_end) < 1200


def test_the_local_share_is_learned() -> None:
    _, customer = simulate_meter(700.0)
    assert 0.3 < customer.local_share() < 0.7


def test_readings_of_periods_before_the_start_do_not_change_the_local_share() -> None:
    """After a restart the first readings describe seconds in which the other limiters got all requests.

    When they counted, they halved the local share of every customer, and customers within their quotas were
    refused.
    """
    clock, customer = MeterClock(1000.0, first_request_ms=5000.0), Customer(PLAN, 2, 5000.0)
    for step in range(3):
        customer.draw(5000.0 + step * 100.0, 1.0)
        customer.apply_reading(5010.0 + step * 700.0, 90 + step, clock)
    assert customer.local_share() == 0.5 and customer.whole == 0.0
    for step in range(6):
        customer.draw(7500.0 + step * 1000.0, 1.0)
        customer.apply_reading(9000.0 + step * 1000.0, 80 + step, clock)
    assert customer.local_share() < 0.45  # readings of later periods count


def local_share_after(usage: int, own: int, periods: int) -> float:
    """Returns the local share of one of two limiters that draws `own` units of `usage` per period."""
    clock, customer = MeterClock(1000.0), Customer(PLAN, 2, 0.0)
    for step in range(periods):
        for n in range(own):
            customer.draw(step * 1000.0 + 10.0 + n, 1.0)
        customer.apply_reading(step * 1000.0 + 1400.0, usage + step % 2, clock)
    return customer.local_share()


def test_periods_with_an_exhausted_quota_do_not_change_the_local_share() -> None:
    """Refused requests are not metered, so refusals would lower the local share.

    A limiter that refused more learned a smaller share and then refused even more.
    """
    assert local_share_after(100, 1, 20) == 0.5
    assert local_share_after(95, 9, 20) == 0.5


def test_the_local_share_is_learned_within_the_quota_and_decays_when_it_is_exhausted() -> None:
    assert local_share_after(50, 5, 20) > 0.6
    assert local_share_after(50, 1, 20) < 0.42
    clock, customer = MeterClock(1000.0), Customer(PLAN, 2, 0.0)
    customer.own, customer.whole = 60.0, 60.0
    before = customer.local_share()
    for step in range(20):
        customer.apply_reading(step * 1000.0 + 10.0, 120 + step % 2, clock)
    assert before > 0.75 and customer.local_share() < 0.56


def test_the_clock_starts_with_the_first_request() -> None:
    rig = Rig()
    assert rig.decision_module.meter_clock.first_request_ms > 1e9
    rig.arrive(300.0)
    rig.arrive(700.0)
    assert rig.decision_module.meter_clock.first_request_ms == 300.0


def test_settled_units_count_at_the_time_of_the_response() -> None:
    """The meter counts them then, too; counted at the time of sending, a period would not balance."""
    customer = Customer(PLAN, 1, 0.0)
    customer.draw(100.0, 4.0)
    left = customer.quota_bucket.level
    customer.settle(1200.0, -3.0)
    assert customer.quota_bucket.level == pytest.approx(min(PLAN.burst, left + 3.0 + 11.0))
    assert customer.units_drawn_until(1000.0)[0] == 4.0 and customer.units_drawn_until(1300.0)[0] == 1.0
    customer.settle(1300.0, 2.0)
    assert customer.units_drawn_until(1300.0)[0] == 3.0


def test_the_local_share_stays_positive_if_more_was_returned_than_drawn() -> None:
    """Guards against a local share of zero or less, by which the clock divided."""
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
def test_the_first_successful_response_settles_whichever_attempt_it_ends(attempt: int) -> None:
    rig = Rig(plans=(PLAN,), post_paid=True)
    [sent] = sends(rig.arrive(10.0))
    customer = rig.decision_module.customers[1]
    if attempt:
        [sent] = sends(rig.end_attempt(20.0, sent, "connect_failed"))
    before = customer.units_drawn_until(1e9)[0]
    rig.end_attempt(60.0, sent, "ok", attempt, units=4.0)
    assert customer.units_drawn_until(1e9)[0] == before + 3.0


def test_nothing_is_settled_with_prepaid_units_or_without_reported_units() -> None:
    for post_paid, units in ((False, 4.0), (True, 0.0)):
        rig = Rig(plans=(PLAN,), post_paid=post_paid)
        [sent] = sends(rig.arrive(10.0))
        rig.end_attempt(60.0, sent, "ok", units=units)
        assert rig.decision_module.customers[1].units_drawn_until(1e9)[0] == 1.0


def test_a_repeated_reading_does_not_lower_the_admitted_fraction_further() -> None:
    clock, customer = MeterClock(1000.0), Customer(PLAN, 2, 0.0)
    customer.apply_reading(10.0, 200, clock)
    once = customer.admitted_fraction(250.0)
    for step in range(1, 12):
        customer.apply_reading(10.0 + step * 20, 200, clock)
    assert customer.admitted_fraction(250.0) == pytest.approx(once, abs=0.01) and once < 0.6


def test_readings_of_zero_restore_the_admitted_fraction() -> None:
    clock, customer = MeterClock(1000.0), Customer(PLAN, 1, 0.0)
    customer.apply_reading(10.0, 300, clock)
    assert customer.admitted_fraction(20.0) < 0.5
    for step in range(1, 9):
        customer.apply_reading(10.0 + 1000.0 * step, 0, clock)
    assert customer.admitted_fraction(8020.0) == 1.0


def test_old_readings_yield_to_the_prior() -> None:
    """Guards against a minute-old reading that restricts a rarely seen customer (big-1, cca-main-later)."""
    clock, customer = MeterClock(1000.0), Customer(PLAN, 300, 0.0)
    customer.apply_reading(10.0, 500, clock)
    assert customer.admitted_fraction(1000.0) < 0.4
    assert customer.admitted_fraction(150000.0) > 0.9


def test_with_many_limiters_a_first_request_is_admitted_and_repeated_ones_count() -> None:
    """With one reading per minute only own requests reveal a runaway account (big-1, cca-main-later)."""
    customer = Customer(api.Plan(rate=1, burst=4), 300, 0.0)
    assert not customer.refusal_reason(1000.0, 1.0, 0.9)
    assert customer.refusal_reason(2000.0, 1.0, 0.9)
    assert customer.admitted_fraction(120000.0) > 0.9


def test_a_plan_without_a_rate_is_limited_by_its_meter() -> None:
    clock, customer = MeterClock(1000.0), Customer(api.Plan(rate=0, burst=0, max_parallel=4), 3, 0.0)
    assert not customer.refusal_reason(5.0, 1.0, 0.99)
    customer.apply_reading(10.0, 400, clock)
    assert customer.refusal_reason(20.0, 1.0, 0.5)


def test_the_quota_bucket_of_a_plan_without_a_rate_does_not_change() -> None:
    clock, customer = MeterClock(1000.0), Customer(api.Plan(rate=0, burst=8, max_parallel=4), 3, 0.0)
    customer.apply_reading(3000.0, 400, clock)
    assert customer.anchor == (8, 0.0) and customer.quota_bucket.level == 8


def test_own_draws_are_limited_to_the_quota() -> None:
    customer = Customer(PLAN, 1, 0.0)
    passed = 0
    for step in range(200):
        if not customer.refusal_reason(step * 5.0, 1.0, 0.0):
            customer.draw(step * 5.0, 1.0)
            passed += 1
    assert passed <= PLAN.burst * 1.3 + PLAN.rate


def test_a_fully_refused_customer_recovers_without_a_meter() -> None:
    customer = Customer(PLAN, 1, 0.0)
    customer.quota_bucket.level, customer.local_bucket.level = -5.0, 0.0
    assert customer.refusal_reason(0.0, 1.0, 0.5)
    assert not customer.refusal_reason(2500.0, 1.0, 0.5)


def test_idle_customers_are_forgotten() -> None:
    """Guards against memory that grows with every customer ever seen: thousands at each limiter."""
    rig = Rig()
    for n in range(50):
        rig.end_attempt(20.0 + n, sends(rig.arrive(10.0 + n, customer=n))[0], "ok")
    (pending,) = sends(rig.arrive(100.0, customer=99))
    rig.arrive(130000.0, customer=7)
    rig.arrive(260000.0, customer=7)
    assert set(rig.decision_module.customers) == {99, 7}
    rig.end_attempt(260010.0, pending, "ok")


def test_customers_of_one_request_are_forgotten_early() -> None:
    """Only recent customers are kept, and one with an outstanding attempt."""
    rig = Rig()
    pending = sends(rig.arrive(0.0, customer=1_000_000))
    for step in range(5000):
        [sent] = sends(rig.arrive(step * 50.0, customer=step))
        rig.end_attempt(step * 50.0 + 20.0, sent, "ok")
    assert pending and 1_000_000 in rig.decision_module.customers
    assert len(rig.decision_module.customers) < 1000
    assert len(rig.decision_module.pools[0].servers.admission_times_ms) < 200


def test_the_number_of_customers_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """The longest idle are dropped first, but none before its ceiling is full: it would be exceeded."""
    monkeypatch.setattr(decision_module, "MAX_CUSTOMERS", 50)
    slow = api.Plan(rate=1000, burst=2000, ceiling_rate=0.5, ceiling_depth=100.0)
    rig = Rig(plans=(slow,))
    now = 300_000.0
    for step in range(300):
        [sent] = sends(rig.arrive(now + step, customer=step))
        rig.end_attempt(now + step, sent, "ok")
    rig.tick(now + 1050.0)
    assert len(rig.decision_module.customers) == 300
    rig.tick(now + 5000.0)
    assert len(rig.decision_module.customers) == 50


def test_a_customers_draw_log_is_bounded_by_time() -> None:
    rig = Rig()
    for step in range(5000):
        [sent] = sends(rig.arrive(step * 50.0))
        rig.end_attempt(step * 50.0 + 20.0, sent, "ok")
    [customer] = rig.decision_module.customers.values()
    assert 200 <= len(customer.draw_log) <= 450
    end = 5000 * 50.0
    assert customer.units_drawn_until(end)[0] - customer.units_drawn_until(end - 5025.0)[0] == 100.0


def test_a_ceiling_is_refilled_from_the_limiters_start() -> None:
    """It is empty at the start, as the predecessor may have drawn all of it, and is refilled from then on."""
    plan = api.Plan(rate=1000, burst=2000, ceiling_rate=10.0, ceiling_depth=8.0)
    rig = Rig(plans=(plan,))
    assert not sends(rig.arrive(50.0, customer=1, customer_limiters=2))
    results = [rig.arrive(400.0, customer=2, customer_limiters=2) for _ in range(5)]
    assert sum(len(sends(actions)) for actions in results) == 2  # 0.4 s at half the rate
    results = [rig.arrive(90_000.0, customer=3, customer_limiters=2) for _ in range(9)]
    assert sum(len(sends(actions)) for actions in results) == 4  # half the depth


def test_a_refusal_advises_when_to_retry() -> None:
    """Within the quota after the mean latency, else once the bucket holds the units, up to a maximum."""
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


def simulate_overuse(seed: int, seconds: int = 120) -> tuple[float, float]:
    """Simulates two limiters, a late meter and a customer that requests four times its quota.

    Requests have 1 to 4 units. Returns the units sent within the true quota as a fraction of the quota, and
    the units beyond it as a fraction of all units sent.
    """
    rng, lag, plan = random.Random(seed), 1100.0, api.Plan(rate=2.0, burst=8.0)
    clocks = [MeterClock(1000.0) for _ in range(2)]
    limiters = [Customer(plan, 2, 0.0) for _ in clocks]
    level, at, now = plan.burst, 0.0, 0.0
    within = beyond = 0.0
    sent: list[tuple[float, float]] = []
    answers: list[tuple[float, int]] = []
    while now < seconds * 1000.0:
        now += rng.expovariate(4.0 * plan.rate / 2.0 / 1000.0)
        while answers and answers[0][0] <= now:
            answered_ms, limiter = answers.pop(0)
            end = (answered_ms - lag) // 1000.0 * 1000.0
            used = sum(units for sent_ms, units in sent if end - 1000.0 <= sent_ms < end)
            limiters[limiter].apply_reading(answered_ms, round(used / plan.rate * 100.0), clocks[limiter])
        limiter, units = int(rng.random() < 0.4), rng.choice([1.0, 1.0, 2.0, 4.0])
        if limiters[limiter].refusal_reason(now, units, rng.random()):
            continue
        limiters[limiter].draw(now, units)
        level, at = min(plan.burst, level + plan.rate * (now - at) / 1000.0), now
        if level >= units:
            level, within = level - units, within + units
        else:
            beyond += units
        sent.append((now, units))
        answers.append((now + 100.0, limiter))
    return within / (plan.burst + plan.rate * seconds), beyond / (within + beyond)


def test_a_customer_far_over_its_quota_gets_little_less_and_little_more_than_it() -> None:
    """Guards against estimated draws of others that stop a limiter for seconds after each draw.

    Only 0.90 of the quota was used then.
    """
    results = [simulate_overuse(seed) for seed in range(6)]
    assert sum(used for used, _ in results) / len(results) > 0.94
    assert sum(beyond for _, beyond in results) / len(results) < 0.1


def test_a_limiter_may_always_use_its_local_share() -> None:
    customer = Customer(PLAN, 2, 0.0)
    customer.quota_bucket.level = 0.0
    for _ in range(10):  # half of the burst
        assert not customer.refusal_reason(0.0, 1.0, 0.99)
        customer.draw(0.0, 1.0)
    assert customer.refusal_reason(0.0, 1.0, 0.99)
    assert not customer.refusal_reason(250.0, 1.0, 0.99)  # half of the rate and a small margin


def test_for_a_sole_limiter_the_bucket_alone_decides() -> None:
    """Otherwise a balance restored from the predecessor would be exceeded."""
    customer = Customer(PLAN, 1, 0.0)
    customer.quota_bucket.level = 0.0
    assert customer.refusal_reason(0.0, 1.0, 0.0, exact=True)


def beyond(over_cost: float, seed: int) -> tuple[float, float]:
    """Simulates 100 limiters without shared state and a meter that is a second late.

    Every fifth customer requests four times its quota, the others a quarter; each uses all limiters, so that
    a limiter meets most customers for the first time. Returns the units beyond quotas as a fraction of all
    units sent, and the units sent relative to the requests within quotas.
    """
    rng, limiter_count = random.Random(seed), 100
    plan = api.Plan(rate=4, burst=6, excess_cost=over_cost)
    clocks = [MeterClock(1000.0) for _ in range(limiter_count)]
    sent = excess = requested_within = 0
    for number in range(20):
        demand = plan.rate * (4.0 if number % 5 == 0 else 0.25)
        seen: dict[int, Customer] = {}
        level, at, now, draws = plan.burst, 0.0, 0.0, list[float]()
        while (now := now + rng.expovariate(demand) * 1000.0) < 30_000.0:
            limiter = rng.randrange(limiter_count)
            customer = seen.setdefault(limiter, Customer(plan, limiter_count, now))
            level, at = min(plan.burst, level + plan.rate * (now - at) / 1000.0), now
            requested_within += level >= 1.0
            if customer.refusal_reason(now, 1.0, rng.random()):
                continue
            customer.draw(now, 1.0)
            draws.append(now)
            sent += 1
            excess += level < 1.0
            level -= 1.0 if level >= 1.0 else 0.0
            end = now // 1000.0 * 1000.0 - 1000.0
            used = sum(1 for each in draws if end - 1000.0 <= each < end)
            customer.apply_reading(now + 100.0, round(used / plan.rate * 100), clocks[limiter])
    return excess / sent, sent / max(1, requested_within)


def test_many_limiters_send_less_beyond_quotas_if_excess_costs() -> None:
    """Without a cost in the settings nothing changes."""
    for seed in range(3):
        free, careful = beyond(0.0, seed), beyond(1.0, seed)
        assert careful[0] < 0.75 * free[0], (free, careful)
        assert free == beyond(0.0, seed)


def test_the_excess_cost_is_net_of_the_excess_worth() -> None:
    for worth, cost, expected in ((0.0, 0.5, 0.5), (0.3, 0.0, 0.0), (0.0, 2.0, 1.0), (0.2, 0.6, 0.4)):
        plan = api.Plan(rate=1, burst=4, excess_worth=worth, excess_cost=cost)
        assert Customer(plan, 3, 0.0).excess_cost == pytest.approx(expected)
