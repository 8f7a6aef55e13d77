"""Quotas: the metered let-in share, the estimate of a customer's store and its ceiling."""

from __future__ import annotations

import math
from bisect import bisect_right
from dataclasses import dataclass

from basaltpoint import interface as api
from basaltpoint.policy.thresholds import INF

# --- Constants: unit, reason -------------------------------------------------------------------
LAG_STEP_MS = 100.0  # ms; the lag between a period's end and its use being heard is sought in steps
LAG_STEPS = 30  # of these; a meter later than this is not followed
INITIAL_LAG_STEPS = 8  # steps; the guess before evidence
LOCAL_SHARE_ERROR_FRACTION = 0.15  # of our part of a customer, by which it may be misjudged
LAG_PRIOR_WEIGHT = 0.1  # of a miss's usual size for each squared step from that guess; breaks ties only
PHASE_DECAY_RATIO = 0.95  # of the evidence on when readings change kept at each change; not varied
LAG_DECAY_RATIO = 0.995  # of the evidence kept a reading: some hundred readings decide
DRAW_LOG_MS = 10000.0  # ms; own first sends kept of a customer, at least: the meter's lag in view
MAX_LEARNING_USAGE_PERCENT = 90  # percent of the rate; of a period that used more our part is not learned
SHARE_PRIOR_UNITS = 20.0  # units; weight of "evenly spread" against metered evidence of our share
MIN_LOCAL_BURST_UNITS = 1.0  # units of a burst that are ours; with fewer, own sends tell nothing of the store
PRIOR_USE_FRACTION = 1.0  # of the rate; what a customer is taken to use before its meter was read
EXCESS_COST_PRIOR_FRACTION = 0.8  # more, of the rate, where all that goes on beyond the quota is lost
PRIOR_UNITS = 0.2  # units that this guess weighs
EXCESS_COST_EXPONENT = (
    2.5  # power of a metered excess, times the same; a limiter of many reads it seldom, so pulls more
)
READING_DECAY_RATIO = 0.5  # of the earlier readings' weight kept at a new one
OTHERS_PRIOR_FRACTION = 0.7  # of the rate; what the others are taken to draw together
EXCESS_COST_OTHERS_FRACTION = 0.15  # more, of the rate, where all that goes on beyond the quota is lost
OTHERS_PRIOR_UNITS = 0.7  # units that this guess weighs
FORGET_IDLE_MS = 40000.0  # ms; a customer idle so long, its stores full, has nothing left to remember
FORGET_LIGHT_IDLE_MS = 10000.0  # ms; nor has one idle so long of whom little more than one try was seen
MAX_LIGHT_UNITS = 1.0  # of tries and metered use, faded; up to that it is little
READING_AGE_MS = 20000.0  # ms; readings lose weight over such times: customers change their ways
MIN_ADMITTED_FRACTION = 0.05  # the least share that a reading is divided by
SHARE_DECAY_RATIO = 0.85  # of that evidence kept a metered period: weights shift within tens of seconds
CERTAIN_ROOM_FRACTION = 0.25  # of the burst; with more than this left in the store the share is not asked
RESERVED_FRACTION = (
    0.1  # of the burst, times what a request's worth falls short of the dearest's: kept for such
)
RESERVED_OVERLOAD_FRACTION = 0.5  # of the same, times the root of what the let-in share falls short of 1
MAX_DEBT_FRACTION = 1.0  # of the burst; how far below empty the store estimate may run
MIN_SPARE_FRACTION = 0.5  # of the burst; beyond it a try that comes too late takes nothing that others need


@dataclass(slots=True)
class TokenBucket:
    """A store that fills at a rate (units a second) up to a depth."""

    rate: float
    depth: float
    level: float
    updated_ms: float

    def refill(self, now: float) -> float:
        self.level = min(self.depth, self.level + self.rate * (now - self.updated_ms) / 1000.0)
        self.updated_ms = now
        return self.level


class MeterClock:
    """Learns which period a reading speaks of; else sends of another would mend the store."""

    def __init__(self, period_ms: float, first_request_ms: float = -INF) -> None:
        self.period_ms = period_ms
        self.first_request_ms = first_request_ms  # when our first request came
        self.errors = [(step - INITIAL_LAG_STEPS) ** 2 * LAG_PRIOR_WEIGHT for step in range(LAG_STEPS)]
        self.sine = self.cosine = 0.0

    def record_change(self, before: float, now: float) -> None:
        """A customer's reading changed between two answers: the meter moved on in between."""
        if now - before < self.period_ms / 4:
            angle = math.tau * ((before + now) / 2 % self.period_ms) / self.period_ms
            self.sine = PHASE_DECAY_RATIO * self.sine + math.sin(angle)
            self.cosine = PHASE_DECAY_RATIO * self.cosine + math.cos(angle)

    def last_change_ms(self, now: float) -> float:
        """When the present readings came out."""
        phase = math.atan2(self.sine, self.cosine) / math.tau * self.period_ms
        return now - (now - phase) % self.period_ms

    def reading_period(self, now: float) -> tuple[float, float]:
        """Start and end of the period that a reading heard now speaks of."""
        best = min(range(LAG_STEPS), key=lambda step: self.errors[step])
        end = self.last_change_ms(now) - best * LAG_STEP_MS
        return end - self.period_ms, end

    def update_lag(self, now: float, customer: Customer, whole: float) -> None:
        """Score each lag by how well our sends, scaled by our part, foretell the reading.

        Each miss counts against what chance and a misjudged part make of it (binomial own sends): else the
        few largest customers decide, by noise. It hurts where the large ones alone are steady.
        """
        moved, part = self.last_change_ms(now), customer.local_share()
        spread = 1.0 + whole * (1.0 - part) / part + (LOCAL_SHARE_ERROR_FRACTION * whole / part) ** 2
        for step in range(LAG_STEPS):
            end = moved - step * LAG_STEP_MS
            own = customer.units_drawn_until(end)[0] - customer.units_drawn_until(end - self.period_ms)[0]
            self.errors[step] = self.errors[step] * LAG_DECAY_RATIO + (own / part - whole) ** 2 / spread


class Customer:
    """What this gateway holds of one customer: the let-in share and an estimate of the store.

    The store estimate is an exception to the let-in share: for bursts that the store covers, spikes
    that the meter cannot tell yet and missing readings. It can hurt when our part is misjudged.
    """

    # fmt: off
    __slots__ = (
        "anchor",
        "asked",
        "asked_at",
        "born",
        "ceiling",
        "draw_log",
        "excess_cost",
        "heard_at",
        "limiter_count",
        "local_bucket",
        "outstanding",
        "own",
        "plan",
        "quota_bucket",
        "read_at",
        "seen",
        "usage",
        "used",
        "whole",
    )
    # fmt: on

    def __init__(
        self, plan: api.Plan, limiter_count: int, now: float, limiter_started_ms: float = 0.0
    ) -> None:
        self.plan = plan
        self.excess_cost = min(
            1.0, max(0.0, plan.excess_cost - plan.excess_worth)
        )  # excess costs so much of its worth
        self.limiter_count = max(1, limiter_count)
        self.quota_bucket = TokenBucket(plan.rate, plan.burst, plan.burst, now)
        self.seen = self.used = 0.0  # weighted time metered, and units used in it
        self.asked, self.asked_at, self.born = 0.0, now, limiter_started_ms
        # Alone within 1/doors of the ceiling; empty when this gateway started, as its last life may have
        # drawn all, and filled since then: nothing of this customer was sent on.
        rate, depth = plan.ceiling_rate / self.limiter_count, plan.ceiling_depth / self.limiter_count
        self.ceiling = TokenBucket(rate, depth, 0.0, min(limiter_started_ms, now))
        # Our part of the store, by our sends alone: it may always go on.
        self.local_bucket = TokenBucket(
            plan.rate / self.limiter_count,
            plan.burst / self.limiter_count,
            plan.burst / self.limiter_count,
            now,
        )
        # Of own first sends: time, running sums of units, and of units with the others' share.
        self.draw_log = [(-INF, 0.0, 0.0)]
        self.anchor = (plan.burst, now)  # store estimate at the end of the last metered period
        self.heard_at = self.read_at = -INF
        self.own = self.whole = 0.0
        self.usage: int | None = None
        self.outstanding = 0

    def change_plan(self, now: float, plan: api.Plan) -> None:
        """Go over to another plan: what is left of the store counts as the same part of the new one."""
        level = plan.burst * (self.quota_bucket.refill(now) / self.plan.burst if self.plan.burst > 0 else 1.0)
        self.quota_bucket = TokenBucket(plan.rate, plan.burst, level, now)
        rate, depth = plan.ceiling_rate / self.limiter_count, plan.ceiling_depth / self.limiter_count
        # A ceiling is never granted anew by a change: what was drawn stays drawn.
        self.ceiling = TokenBucket(rate, depth, min(depth, self.ceiling.refill(now)), now)
        self.anchor, self.plan = (level, now), plan

    def local_share(self) -> float:
        """Our part of the customer's traffic, learned from the meter; even before evidence."""
        prior = SHARE_PRIOR_UNITS / self.limiter_count
        part = (self.own + prior) / (self.whole + SHARE_PRIOR_UNITS)
        return part if part < 1.0 else 1.0  # `min` costs a call, four times a request

    def admitted_fraction(self, now: float) -> float:
        """The let-in share: the rate over the use that readings, own tries and a thin guess foretell.

        All fade, so that what a rarely seen customer once did does not bind it (Gamma-Poisson). In a large
        fleet most first requests are of those beyond their quota; so where excess costs, one unheard of is
        taken to use more than its rate. It hurts quiet ones there: a third of first requests is refused.
        """
        if self.plan.rate <= 0:
            return min(1.0, 100.0 / (self.usage or 100.0))
        weight, rate = math.exp((self.read_at - now) / READING_AGE_MS), self.plan.rate / 1000.0
        units = (
            PRIOR_UNITS + self.used * weight + self.asked * math.exp((self.asked_at - now) / READING_AGE_MS)
        )
        watched = self.local_share() * READING_AGE_MS * (1.0 - math.exp((self.born - now) / READING_AGE_MS))
        prior = PRIOR_UNITS / ((PRIOR_USE_FRACTION + EXCESS_COST_PRIOR_FRACTION * self.excess_cost) * rate)
        return min(1.0, rate * (prior + self.seen * weight + watched) / units)

    def estimate_other_draws(self) -> tuple[float, float]:
        """What the others draw in a burst's time for each own unit, and units a ms besides (as share)."""
        part, rate = self.local_share(), max(1e-9, self.plan.rate / 1000.0)
        use = OTHERS_PRIOR_FRACTION + EXCESS_COST_OTHERS_FRACTION * self.excess_cost
        weight = OTHERS_PRIOR_UNITS / (use * rate) + part * self.plan.burst / rate
        return (1.0 - part) * self.plan.burst / rate / weight, (1.0 - part) * OTHERS_PRIOR_UNITS / weight

    def draw(self, now: float, units: float) -> None:
        """Book a first send: the others draw in proportion, unseen."""
        lump, besides = self.estimate_other_draws()
        taken = units * (1.0 + lump)
        self.quota_bucket.rate = self.plan.rate - 1000.0 * besides
        self.quota_bucket.refill(now)
        self.quota_bucket.level = max(-MAX_DEBT_FRACTION * self.plan.burst, self.quota_bucket.level - taken)
        self._record_draw(now, units, taken)
        if self.plan.ceiling_rate > 0:
            self.ceiling.level -= units

    def settle(self, now: float, units: float) -> None:
        """Book what an answer adds to its guess, or gives back, as the meter does; a ceiling does not."""
        level = self.quota_bucket.refill(now) - units
        self.quota_bucket.level = min(self.plan.burst, max(-MAX_DEBT_FRACTION * self.plan.burst, level))
        self._record_draw(now, units, units)

    def _record_draw(self, now: float, units: float, taken: float) -> None:
        part, mine = self.local_share(), self.local_bucket
        left = min(mine.refill(now), part * self.plan.burst) - units
        mine.rate, mine.depth, mine.level = part * self.plan.rate, part * self.plan.burst, max(0.0, left)
        self.draw_log.append((now, self.draw_log[-1][1] + units, self.draw_log[-1][2] + taken))
        half = len(self.draw_log) // 2
        if half > 8 and self.draw_log[half][0] < now - DRAW_LOG_MS:
            del self.draw_log[:half]

    def can_be_forgotten(self, now: float, pressed: bool) -> bool:
        """Whether one made anew would stand as this one does; when pressed the ceiling alone counts."""
        if self.outstanding or self.ceiling.refill(now) < self.ceiling.depth:
            return False
        faded = self.asked * math.exp((self.asked_at - now) / READING_AGE_MS)
        light = max(faded, self.whole) <= MAX_LIGHT_UNITS
        idle = now - self.asked_at >= (FORGET_LIGHT_IDLE_MS if light else FORGET_IDLE_MS)
        return pressed or (idle and self.quota_bucket.refill(now) >= self.quota_bucket.depth)

    def units_drawn_until(self, until: float) -> tuple[float, float]:
        """Units of own first sends up to then, without and with the others', from some origin."""
        return self.draw_log[max(0, bisect_right(self.draw_log, (until, INF, INF)) - 1)][1:]

    def apply_reading(self, now: float, usage: int, clock: MeterClock) -> None:
        """Take one reading a metered period: set the let-in share, mend the store estimate."""
        before, self.heard_at = self.heard_at, now
        if usage == self.usage and self.read_at >= clock.last_change_ms(now):
            return
        if usage != self.usage and self.usage is not None:
            clock.record_change(before, now)
        then, last = (
            max(MIN_ADMITTED_FRACTION, self.admitted_fraction(now)),
            self.read_at,
        )  # use is the outcome of that share
        self.usage, self.read_at, period = usage, now, clock.period_ms
        start, end = clock.reading_period(now)
        whole = usage / 100.0 * self.plan.rate * period / 1000.0
        keep = READING_DECAY_RATIO * math.exp((last - now) / READING_AGE_MS)
        self.seen = self.seen * keep + period
        self.used = (
            self.used * keep
            + whole * max(1.0, usage / 100.0) ** (EXCESS_COST_EXPONENT * self.excess_cost) / then
        )
        if self.plan.rate > 0 and start >= clock.first_request_ms:
            # Of a period in which nobody could come to us, as we had not started, our part says nothing.
            clock.update_lag(now, self, whole)
            own = self.units_drawn_until(end)[0] - self.units_drawn_until(start)[0]
            # Nor does one that used the quota up: what is refused is not sent, and whoever refused more
            # would learn a smaller part, and refuse more.
            taught = usage < MAX_LEARNING_USAGE_PERCENT
            self.own = self.own * SHARE_DECAY_RATIO + taught * max(0.0, min(own, whole))
            self.whole = self.whole * SHARE_DECAY_RATIO + taught * whole
        if self.plan.rate > 0:
            self._update_anchor(now, start, end, whole)

    def _update_anchor(self, now: float, start: float, end: float, whole: float) -> None:
        """Replay the store: the metered use up to a period's end, our foretelling since then."""
        rate, burst = self.plan.rate / 1000.0, self.plan.burst
        level, at = self.anchor
        if start < at - (end - start) / 2:
            return
        taken = [self.units_drawn_until(t)[1] for t in (at, start, end)]
        net = rate - self.estimate_other_draws()[1]
        level = min(burst, max(0.0, level + net * (start - at) - (taken[1] - taken[0])))
        level = min(burst, max(0.0, level + rate * (end - start) - whole))
        self.anchor = (level, end)
        left = level + net * (now - end) - (self.draw_log[-1][2] - taken[2])
        self.quota_bucket.level, self.quota_bucket.updated_ms = (
            min(burst, max(-MAX_DEBT_FRACTION * burst, left)),
            now,
        )

    def has_spare_units(self, now: float, units: float) -> bool:
        """Whether the store has so much left that these units will hardly be missed."""
        return (
            self.plan.rate <= 0
            or self.quota_bucket.refill(now) - units >= MIN_SPARE_FRACTION * self.plan.burst
        )

    def _reserved_units(self, share: float, worth: float) -> float:
        """Units that a request leaves in the store for dearer ones, by its worth as a part of the dearest's.

        What a customer asks beyond its quota is refused anyhow; so it is the cheaper part. It also gives the
        estimate a margin. It hurts a customer that asks for cheap things alone: that much of its burst, and
        where it is beyond its quota a little of its rate, go unused.
        """
        over = RESERVED_OVERLOAD_FRACTION * math.sqrt(1.0 - share)
        return (RESERVED_FRACTION + over) * (1.0 - worth) * self.plan.burst

    def refusal_reason(
        self, now: float, units: float, dice: float, worth: float = 1.0, exact: bool = False
    ) -> api.RefusalReason | None:
        """The let-in share; a store full enough passes without it where it rests on own sends.

        None where the request may go on, else why not. `exact`: nobody else draws, so the store alone counts.
        """
        share = self.admitted_fraction(now)
        self.asked = self.asked * math.exp((self.asked_at - now) / READING_AGE_MS) + units
        self.asked_at = now
        if (
            self.outstanding
            and self.plan.max_parallel
            and self.outstanding / self.local_share() >= self.plan.max_parallel
        ):
            return api.RefusalReason.PARALLEL
        if self.plan.rate <= 0:
            return None if dice < share else api.RefusalReason.QUOTA
        kept = self._reserved_units(1.0 if exact else share, worth)
        left = self.quota_bucket.refill(now) - units - kept
        sure = (
            self.local_share() * self.plan.burst >= MIN_LOCAL_BURST_UNITS
            and left >= CERTAIN_ROOM_FRACTION * self.plan.burst
        )
        # What the others draw unseen may look like all of it; the parts of all still add up to the store.
        sure = sure or (not exact and self.local_bucket.refill(now) - units >= kept)
        return None if sure or (left >= 0.0 and (exact or dice < share)) else api.RefusalReason.QUOTA
