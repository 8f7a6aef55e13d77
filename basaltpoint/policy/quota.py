"""Customer quotas: the admitted fraction learned from the meter, the quota bucket and the ceiling."""

from __future__ import annotations

import math
from bisect import bisect_right
from dataclasses import dataclass

from basaltpoint import interface as api
from basaltpoint.policy.thresholds import INF

# The lag between a period's end and the first response that reports its use is searched in LAG_STEPS steps.
LAG_STEP_MS = 100.0
LAG_STEPS = 30  # a meter with a longer lag is not followed
INITIAL_LAG_STEPS = 8  # assumed until readings show the lag
LOCAL_SHARE_ERROR_FRACTION = 0.15  # standard error assumed for the local share
LAG_PRIOR_WEIGHT = 0.1  # of a usual error, per squared step from the initial lag; only breaks ties
PHASE_DECAY_RATIO = 0.95  # weight kept, per change of a reading, by earlier evidence on when readings change
LAG_DECAY_RATIO = 0.995  # weight kept per reading; some hundred readings decide on the lag
DRAW_LOG_MS = 10000.0  # minimum time for which a customer's draws are kept; covers the meter's lag
MAX_LEARNING_USAGE_PERCENT = 90  # of the rate; a period with a higher use does not count for the local share
SHARE_PRIOR_UNITS = 20.0  # weight of an even distribution over all limiters against metered evidence
# With a smaller local share of the burst, own draws say nothing of the quota bucket.
MIN_LOCAL_BURST_UNITS = 1.0
PRIOR_USE_FRACTION = 1.0  # of the rate; assumed use of a customer before its first reading
EXCESS_COST_PRIOR_FRACTION = 0.8  # added, times the excess cost, to that assumption
PRIOR_UNITS = 0.2  # weight of that assumption
# A metered excess is raised to this power, times the excess cost, because a limiter of a large fleet gets few
# readings of a customer.
EXCESS_COST_EXPONENT = 2.5
READING_DECAY_RATIO = 0.5  # weight kept by earlier readings at a new one
OTHERS_PRIOR_FRACTION = 0.7  # of the rate; assumed draws of all other limiters together
EXCESS_COST_OTHERS_FRACTION = 0.15  # added, times the excess cost, to that assumption
OTHERS_PRIOR_UNITS = 0.7  # weight of that assumption
FORGET_IDLE_MS = 40000.0  # a customer idle for this time with full buckets has no state worth keeping
FORGET_LIGHT_IDLE_MS = 10000.0  # the same for a customer of whom at most MAX_LIGHT_UNITS were seen
MAX_LIGHT_UNITS = 1.0  # of requests, with decay, and of metered use
READING_AGE_MS = 20000.0  # time constant of the decay of readings, as customers change their behaviour
MIN_ADMITTED_FRACTION = 0.05  # lower limit of the fraction by which a reading is divided
SHARE_DECAY_RATIO = 0.85  # weight kept per metered period; local shares change within tens of seconds
# Of the burst; with more left in the bucket the admitted fraction is not applied.
CERTAIN_ROOM_FRACTION = 0.25
# Fraction of the burst that is reserved for requests of a higher worth, times the difference in worth; the
# second one also times the square root of the fraction of requests that is refused.
RESERVED_FRACTION = 0.1
RESERVED_OVERLOAD_FRACTION = 0.5
MAX_DEBT_FRACTION = 1.0  # of the burst; how far the estimated level may fall below zero
MIN_SPARE_FRACTION = 0.5  # of the burst; a late request may use what the bucket holds beyond this


@dataclass(slots=True)
class TokenBucket:
    """A token bucket that is refilled at `rate` units per second up to `depth` units."""

    rate: float
    depth: float
    level: float
    updated_ms: float  # time of the last refill

    def refill(self, now: float) -> float:
        """Refills the bucket up to `now` (ms) and returns its level."""
        self.level = min(self.depth, self.level + self.rate * (now - self.updated_ms) / 1000.0)
        self.updated_ms = now
        return self.level


class MeterClock:
    """Learns which metered period a usage reading describes, from its phase and its lag.

    Without it, a reading would be compared with the draws of another period, and the quota bucket's level
    would become wrong.
    """

    def __init__(self, period_ms: float, first_request_ms: float = -INF) -> None:
        self.period_ms = period_ms
        self.first_request_ms = first_request_ms  # time of the limiter's first request
        self.errors = [(step - INITIAL_LAG_STEPS) ** 2 * LAG_PRIOR_WEIGHT for step in range(LAG_STEPS)]
        self.sine = self.cosine = 0.0  # sums over the phases at which readings changed

    def record_change(self, previous_ms: float, now: float) -> None:
        """Records that a reading changed between two responses: a new period was published in between."""
        if now - previous_ms < self.period_ms / 4:
            angle = math.tau * ((previous_ms + now) / 2 % self.period_ms) / self.period_ms
            self.sine = PHASE_DECAY_RATIO * self.sine + math.sin(angle)
            self.cosine = PHASE_DECAY_RATIO * self.cosine + math.cos(angle)

    def last_change_ms(self, now: float) -> float:
        """Returns when the present readings were published."""
        phase = math.atan2(self.sine, self.cosine) / math.tau * self.period_ms
        return now - (now - phase) % self.period_ms

    def reading_period(self, now: float) -> tuple[float, float]:
        """Returns start and end, in ms, of the period that a reading received now describes."""
        best = min(range(LAG_STEPS), key=lambda step: self.errors[step])
        end = self.last_change_ms(now) - best * LAG_STEP_MS
        return end - self.period_ms, end

    def update_lag(self, now: float, customer: Customer, metered: float) -> None:
        """Scores each lag by how well the own draws, divided by the local share, predict the reading.

        Each error is divided by its expected variance: binomial variation of the own draws and an error of
        the local share. Otherwise the noise of the few largest customers would decide. The weighting loses
        accuracy where only the large customers are steady.
        """
        changed, share = self.last_change_ms(now), customer.local_share()
        variance = 1.0 + metered * (1.0 - share) / share + (LOCAL_SHARE_ERROR_FRACTION * metered / share) ** 2
        for step in range(LAG_STEPS):
            end = changed - step * LAG_STEP_MS
            own = customer.units_drawn_until(end)[0] - customer.units_drawn_until(end - self.period_ms)[0]
            self.errors[step] = self.errors[step] * LAG_DECAY_RATIO + (own / share - metered) ** 2 / variance


class Customer:
    """What this limiter knows of one customer: the admitted fraction and an estimate of its quota bucket.

    Requests are admitted regardless of the admitted fraction when the bucket's estimated level is high
    enough. This admits bursts within the quota and covers load changes that the meter does not show yet and
    missing readings. The estimate is wrong when the local share is. Times are in ms, amounts in units.
    """

    # fmt: off
    __slots__ = (
        "anchor", "asked", "asked_at", "born", "ceiling", "draw_log", "excess_cost", "heard_at",
        "limiter_count", "local_bucket", "outstanding", "own", "plan", "quota_bucket", "read_at", "seen",
        "usage", "used", "whole",
    )
    # fmt: on

    def __init__(
        self,
        plan: api.Plan,
        limiter_count: int,
        now: float,
        limiter_started_ms: float = 0.0,
        ceiling_share: float = 1.0,
    ) -> None:
        """`ceiling_share`: the fraction of this limiter's ceiling that this process may use."""
        self.plan = plan
        # Net loss per unit sent beyond the quota, as a fraction of its worth.
        self.excess_cost = min(1.0, max(0.0, plan.excess_cost - plan.excess_worth))
        self.limiter_count = max(1, limiter_count)
        self.quota_bucket = TokenBucket(plan.rate, plan.burst, plan.burst, now)
        self.seen = self.used = 0.0  # metered time in ms and units used in it, both with decay
        # Units requested here, with decay; time of the last request; start of this limiter.
        self.asked, self.asked_at, self.born = 0.0, now, limiter_started_ms
        # This limiter's fraction of the ceiling. It was empty at the limiter's start, as its predecessor may
        # have drawn all of it, and has been refilled since: no request of this customer was sent in between.
        share = ceiling_share / self.limiter_count
        rate, depth = plan.ceiling_rate * share, plan.ceiling_depth * share
        self.ceiling = TokenBucket(rate, depth, 0.0, min(limiter_started_ms, now))
        # The local share of the quota, reduced by own draws alone: requests within it are always admitted.
        self.local_bucket = TokenBucket(
            plan.rate / self.limiter_count,
            plan.burst / self.limiter_count,
            plan.burst / self.limiter_count,
            now,
        )
        # Own draws: time, running sum of units, and the same with the estimated draws of other limiters.
        self.draw_log = [(-INF, 0.0, 0.0)]
        self.anchor = (plan.burst, now)  # estimated level at the end of the last metered period
        self.heard_at = self.read_at = -INF  # last response with a reading; last new reading
        self.own = self.whole = 0.0  # own draws and metered use, with decay
        self.usage: int | None = None  # last reading, percent of the rate
        self.outstanding = 0  # attempts of this limiter

    def change_plan(self, now: float, plan: api.Plan) -> None:
        """Changes the plan; the quota bucket keeps its level as a fraction of the burst."""
        level = plan.burst * (self.quota_bucket.refill(now) / self.plan.burst if self.plan.burst > 0 else 1.0)
        self.quota_bucket = TokenBucket(plan.rate, plan.burst, level, now)
        rate, depth = plan.ceiling_rate / self.limiter_count, plan.ceiling_depth / self.limiter_count
        # A change of plan never refills the ceiling.
        self.ceiling = TokenBucket(rate, depth, min(depth, self.ceiling.refill(now)), now)
        self.anchor, self.plan = (level, now), plan

    def local_share(self) -> float:
        """Returns the fraction of the customer's requests that this limiter gets, learned from the meter.

        Without evidence the requests are assumed to be distributed evenly over all limiters.
        """
        prior = SHARE_PRIOR_UNITS / self.limiter_count
        share = (self.own + prior) / (self.whole + SHARE_PRIOR_UNITS)
        return share if share < 1.0 else 1.0  # faster than `min`; called four times per request

    def admitted_fraction(self, now: float) -> float:
        """Returns the fraction of requests to admit: the rate divided by the expected use.

        The expected use follows from readings, own requests and a weak prior (Gamma-Poisson). All evidence
        decays, so that old use does not restrict a rarely seen customer. In a large fleet most first requests
        come from customers beyond their quota; so where excess costs, an unknown customer is assumed to use
        more than its rate. As a consequence a third of light customers' first requests is refused there.
        """
        if self.plan.rate <= 0:
            return min(1.0, 100.0 / (self.usage or 100.0))
        weight, rate = math.exp((self.read_at - now) / READING_AGE_MS), self.plan.rate / 1000.0
        units = (
            PRIOR_UNITS + self.used * weight + self.asked * math.exp((self.asked_at - now) / READING_AGE_MS)
        )
        observed = self.local_share() * READING_AGE_MS * (1.0 - math.exp((self.born - now) / READING_AGE_MS))
        prior = PRIOR_UNITS / ((PRIOR_USE_FRACTION + EXCESS_COST_PRIOR_FRACTION * self.excess_cost) * rate)
        return min(1.0, rate * (prior + self.seen * weight + observed) / units)

    def estimate_other_draws(self) -> tuple[float, float]:
        """Estimates the other limiters' draws: units per own unit, and in addition units per ms.

        The first value covers the time in which the burst is refilled.
        """
        share, rate = self.local_share(), max(1e-9, self.plan.rate / 1000.0)
        use = OTHERS_PRIOR_FRACTION + EXCESS_COST_OTHERS_FRACTION * self.excess_cost
        weight = OTHERS_PRIOR_UNITS / (use * rate) + share * self.plan.burst / rate
        return (1.0 - share) * self.plan.burst / rate / weight, (1.0 - share) * OTHERS_PRIOR_UNITS / weight

    def draw(self, now: float, units: float) -> None:
        """Draws the units of a first attempt, and the estimated draws of other limiters in proportion."""
        per_unit, per_ms = self.estimate_other_draws()
        total = units * (1.0 + per_unit)
        self.quota_bucket.rate = self.plan.rate - 1000.0 * per_ms
        self.quota_bucket.refill(now)
        self.quota_bucket.level = max(-MAX_DEBT_FRACTION * self.plan.burst, self.quota_bucket.level - total)
        self._record_draw(now, units, total)
        if self.plan.ceiling_rate > 0:
            self.ceiling.level -= units

    def settle(self, now: float, units: float) -> None:
        """Draws the difference between actual and estimated units (may be negative), as the meter does.

        The ceiling is not adjusted.
        """
        level = self.quota_bucket.refill(now) - units
        self.quota_bucket.level = min(self.plan.burst, max(-MAX_DEBT_FRACTION * self.plan.burst, level))
        self._record_draw(now, units, units)

    def _record_draw(self, now: float, units: float, total: float) -> None:
        share, bucket = self.local_share(), self.local_bucket
        left = min(bucket.refill(now), share * self.plan.burst) - units
        bucket.rate, bucket.depth, bucket.level = (
            share * self.plan.rate,
            share * self.plan.burst,
            max(0.0, left),
        )
        self.draw_log.append((now, self.draw_log[-1][1] + units, self.draw_log[-1][2] + total))
        half = len(self.draw_log) // 2
        if half > 8 and self.draw_log[half][0] < now - DRAW_LOG_MS:
            del self.draw_log[:half]

    def can_be_forgotten(self, now: float, over_limit: bool) -> bool:
        """Whether the customer may be dropped since a new record would be equivalent.

        With `over_limit` (too many customers) only outstanding attempts and the ceiling are considered.
        """
        if self.outstanding or self.ceiling.refill(now) < self.ceiling.depth:
            return False
        recent = self.asked * math.exp((self.asked_at - now) / READING_AGE_MS)
        light = max(recent, self.whole) <= MAX_LIGHT_UNITS
        idle = now - self.asked_at >= (FORGET_LIGHT_IDLE_MS if light else FORGET_IDLE_MS)
        return over_limit or (idle and self.quota_bucket.refill(now) >= self.quota_bucket.depth)

    def units_drawn_until(self, until: float) -> tuple[float, float]:
        """Returns running sums at a time: own units, and the same with estimated draws of other limiters."""
        return self.draw_log[max(0, bisect_right(self.draw_log, (until, INF, INF)) - 1)][1:]

    def apply_reading(self, now: float, usage: int, clock: MeterClock) -> None:
        """Applies a reading (percent of the rate) once per metered period: corrects both estimates."""
        previous_ms, self.heard_at = self.heard_at, now
        if usage == self.usage and self.read_at >= clock.last_change_ms(now):
            return
        if usage != self.usage and self.usage is not None:
            clock.record_change(previous_ms, now)
        # The metered use is what remained after requests were refused by this fraction.
        admitted, last = max(MIN_ADMITTED_FRACTION, self.admitted_fraction(now)), self.read_at
        self.usage, self.read_at, period = usage, now, clock.period_ms
        start, end = clock.reading_period(now)
        metered = usage / 100.0 * self.plan.rate * period / 1000.0
        decay = READING_DECAY_RATIO * math.exp((last - now) / READING_AGE_MS)
        self.seen = self.seen * decay + period
        self.used = (
            self.used * decay
            + metered * max(1.0, usage / 100.0) ** (EXCESS_COST_EXPONENT * self.excess_cost) / admitted
        )
        if self.plan.rate > 0 and start >= clock.first_request_ms:
            # A period before this limiter's start says nothing of its local share, as it got no requests.
            clock.update_lag(now, self, metered)
            own = self.units_drawn_until(end)[0] - self.units_drawn_until(start)[0]
            # A period in which the quota was used up does not count either: refused requests are not metered,
            # so a limiter that refused more would learn a smaller share and refuse even more.
            counts = usage < MAX_LEARNING_USAGE_PERCENT
            self.own = self.own * SHARE_DECAY_RATIO + counts * max(0.0, min(own, metered))
            self.whole = self.whole * SHARE_DECAY_RATIO + counts * metered
        if self.plan.rate > 0:
            self._update_anchor(now, start, end, metered)

    def _update_anchor(self, now: float, start: float, end: float, metered: float) -> None:
        """Recomputes the level: the metered use up to a period's end, the estimated draws since then."""
        rate, burst = self.plan.rate / 1000.0, self.plan.burst
        level, at = self.anchor
        if start < at - (end - start) / 2:
            return
        drawn = [self.units_drawn_until(t)[1] for t in (at, start, end)]
        net_rate = rate - self.estimate_other_draws()[1]
        level = min(burst, max(0.0, level + net_rate * (start - at) - (drawn[1] - drawn[0])))
        level = min(burst, max(0.0, level + rate * (end - start) - metered))
        self.anchor = (level, end)
        left = level + net_rate * (now - end) - (self.draw_log[-1][2] - drawn[2])
        self.quota_bucket.level, self.quota_bucket.updated_ms = (
            min(burst, max(-MAX_DEBT_FRACTION * burst, left)),
            now,
        )

    def has_spare_units(self, now: float, units: float) -> bool:
        """Whether the bucket would still hold enough for other requests after drawing these units."""
        return (
            self.plan.rate <= 0
            or self.quota_bucket.refill(now) - units >= MIN_SPARE_FRACTION * self.plan.burst
        )

    def _reserved_units(self, admitted: float, worth: float) -> float:
        """Returns the units that a request leaves in the bucket; `worth` is a fraction of the highest worth.

        The excess of a customer is refused in any case; the reserve makes it the part of lower worth. It also
        gives the estimate a margin. A customer with requests of low worth alone cannot use that fraction of
        its burst and, beyond its quota, a little of its rate.
        """
        overload = RESERVED_OVERLOAD_FRACTION * math.sqrt(1.0 - admitted)
        return (RESERVED_FRACTION + overload) * (1.0 - worth) * self.plan.burst

    def refusal_reason(
        self, now: float, units: float, random_value: float, worth: float = 1.0, exact: bool = False
    ) -> api.RefusalReason | None:
        """Returns why a request is refused, or None if it is admitted; counts it as requested units.

        A request is admitted with the probability of the admitted fraction (`random_value` lies in [0, 1)) if
        the bucket holds its units, and without it if the local share justifies it. `exact`: no other limiter
        draws from the quota, so that the bucket's level alone decides.
        """
        admitted = self.admitted_fraction(now)
        self.asked = self.asked * math.exp((self.asked_at - now) / READING_AGE_MS) + units
        self.asked_at = now
        if (
            self.outstanding
            and self.plan.max_parallel
            and self.outstanding / self.local_share() >= self.plan.max_parallel
        ):
            return api.RefusalReason.PARALLEL
        if self.plan.rate <= 0:
            return None if random_value < admitted else api.RefusalReason.QUOTA
        reserved = self._reserved_units(1.0 if exact else admitted, worth)
        left = self.quota_bucket.refill(now) - units - reserved
        certain = (
            self.local_share() * self.plan.burst >= MIN_LOCAL_BURST_UNITS
            and left >= CERTAIN_ROOM_FRACTION * self.plan.burst
        )
        # Estimated draws of the other limiters may seem to use up the bucket; but the local shares of all
        # limiters add up to the quota.
        certain = certain or (not exact and self.local_bucket.refill(now) - units >= reserved)
        return (
            None
            if certain or (left >= 0.0 and (exact or random_value < admitted))
            else api.RefusalReason.QUOTA
        )
