"""Every decision of the gateway; its types, events and actions stand in `basaltpoint/interface.py`.

Two lanes of request classes are capped at the back end by the thresholds of de Waal's report BS-R9025
(Section 3); customers are held to quotas by a metered let-in share.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable, Iterable
from functools import partial
from itertools import takewhile
from typing import Any

from basaltpoint import interface as api
from basaltpoint.interface import Effect, RefusalReason, Status
from basaltpoint.policy.pool import FIRST_ATTEMPT_FRACTION, MIN_COMPLETIONS, Pool
from basaltpoint.policy.quota import FORGET_LIGHT_IDLE_MS, Customer, MeterClock
from basaltpoint.policy.requests import Attempt, Request
from basaltpoint.policy.send_rules import (
    Denial,
    attempt_denial,
    dedup_window_end_ms,
    may_be_refused,
    may_retry_at,
)
from basaltpoint.policy.server_health import ServerHealth
from basaltpoint.policy.thresholds import INF

# --- Constants: unit, reason -------------------------------------------------------------------
LITTLE_WORTH = 0.3  # late worth up to which attempts end at the aim
TIDY_MS = 1000.0  # ms; how often such customers are looked for
MAX_CUSTOMERS = 5000  # some 2 KB each; beyond, the longest idle go as soon as their ceiling is full
EARLY = 0.5  # of the time left; repeatable work is then given up so early, and tried once more
WAITS = 64  # of a class's latest tries; of these the wait of first ones is read
WAIT_STEP_MS = 8.0  # waits so near are one: on its way a try loses a little
COMMON = 0.7  # of the tries with the commonest wait; one that so many share is a first try's, too
NEVER_RAN = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)
LATEST = 0.5  # of the aim; a repeat with less than the mean latency left, or this, comes too late


class DecisionModule:
    """One gateway's decisions: `handle` takes each event and returns the actions it causes."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.healths: dict[int, ServerHealth] = {}
        self.pools: dict[int, Pool] = {}
        self.customers: dict[int, Customer] = {}
        self.meter_clock = MeterClock(settings.meter_period_ms, INF)
        self.requests: dict[int, Request] = {}
        self.started_ms, self.tidied = INF, 0.0
        self.lease_until_ms = INF  # until when the list of servers may be acted on
        self.actions: list[api.Action] = []
        self.class_waits: dict[str, deque[float]] = {}
        self.recalled: dict[int, tuple[float, api.RestoredBalance]] = {}
        self._settle(settings)
        self._pool(0)
        self.acts: dict[type, Callable[[float, Any], None]] = {
            api.Arrival: self._arrive,
            api.Outcome: self._outcome,
            api.Abandoned: self._abandon,
            api.ServerList: self._listed,
            api.MembershipConfirmed: self._confirmed,
            api.StreamBegun: self._begun,
            api.UploadInProgress: self._uploading,
            api.SettingsChanged: self._told,
            api.HealthCheckResult: self._checked,
            api.RestoredBalance: self._recall,
            api.RestoredLatencies: self._learn,
        }

    def _settle(self, settings: api.Settings) -> None:
        self.settings = settings
        self.dearest = max((c.worth for c in settings.classes), default=0.0) or 1.0
        old, self.class_waits = self.class_waits, {}
        for number, cls in enumerate(settings.classes):
            name = cls.name or str(number)
            self.class_waits[name] = old.get(name, deque(maxlen=WAITS))
        self.wait_of = list(self.class_waits.values())

    def _pool(self, number: int) -> Pool:
        if (pool := self.pools.get(number)) is None:
            pool = self.pools[number] = Pool(number, self.settings, self.rng, self.healths)
        return pool

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event; the actions take effect in the order given."""
        self.actions = []
        for pool in self._concerned(event):
            self.actions += pool.tick(now)
        if now - self.tidied >= TIDY_MS:
            self.tidied = now
            self._tidy(now)
        if act := self.acts.get(type(event)):
            act(now, event)
        return self.actions

    def _concerned(self, event: api.Event) -> Iterable[Pool]:
        """The pools whose time goes on: that of the event, or all."""
        if len(self.pools) > 1:
            if isinstance(event, api.Arrival):
                return (self._pool(event.pool),)
            if isinstance(event, api.Outcome) and (request := self.requests.get(event.request)):
                return (request.pool,)
        return self.pools.values()

    def quota_status(self, now: float, ident: int) -> api.QuotaStatus | None:
        """What is left of a customer's quota; None for one that nothing is known of."""
        if (customer := self.customers.get(ident)) is None or customer.plan.rate <= 0:
            return None
        plan, left = customer.plan, customer.quota_bucket.refill(now)
        full, ceiling = (plan.burst - left) / plan.rate * 1000.0, customer.ceiling.refill(now)
        return api.QuotaStatus(plan.rate, plan.burst, max(0.0, left), full, max(0.0, ceiling))

    def avoided_servers(self, now: float) -> set[int]:
        """The servers of all pools that nothing ordinary is sent to now."""
        return {ident for pool in self.pools.values() for ident in pool.servers.avoided_servers(now)}

    def customers_since(self, then: float) -> Iterable[int]:
        """The customers that have asked since, the latest first."""
        return takewhile(lambda ident: self.customers[ident].asked_at >= then, reversed(self.customers))

    def _recall(self, now: float, event: api.RestoredBalance) -> None:
        self.recalled[event.customer] = now, event

    def _learn(self, now: float, event: api.RestoredLatencies) -> None:
        pool = self._pool(event.pool)
        pool.light_latencies_ms, pool.servers.mean_latency_ms = list(event.light_load_ms), event.mean_ms

    def _tidy(self, now: float) -> None:
        """Forget customers that have been idle for longest, and what the flow no longer counts."""
        for number, pool in list(self.pools.items()):
            pool.servers.trim_admissions(now)
            if number and not pool.servers.records:  # a peer stays while it has work
                del self.pools[number]
        over = len(self.customers) - MAX_CUSTOMERS
        gone: list[int] = []
        for ident, customer in self.customers.items():  # the longest idle first
            pressed = len(gone) < over
            if not pressed and now - customer.asked_at < FORGET_LIGHT_IDLE_MS:
                break
            if customer.can_be_forgotten(now, pressed):
                gone.append(ident)
        for ident in gone:
            del self.customers[ident]

    def _listed(self, now: float, event: api.ServerList) -> None:
        self._pool(event.pool).servers.apply_list(now, event)
        self.started_ms = min(self.started_ms, now)
        if self.settings.must_subscribe and event.kind in (api.ListKind.CACHED, api.ListKind.FAILED):
            self.actions.append(api.Subscribe(True))

    def _confirmed(self, now: float, event: api.MembershipConfirmed) -> None:
        self.lease_until_ms = event.until_ms

    def _told(self, now: float, event: api.SettingsChanged) -> None:
        self._settle(event.settings)
        for pool in self.pools.values():
            pool.update_settings(event.settings)

    def _checked(self, now: float, event: api.HealthCheckResult) -> None:
        if health := self.healths.get(event.server):
            health.down, health.up_ms = (
                not event.is_healthy,
                now if event.is_healthy else 0.0,
            )  # it may have started anew

    def _arrive(self, now: float, event: api.Arrival) -> None:
        """The ordinary path: let-in share, lane cap, server choice; what fails is refused at once."""
        cls, pool = self.settings.classes[event.cls], self._pool(event.pool)
        pool.first_arrival_ms, self.meter_clock.first_request_ms = (
            min(pool.first_arrival_ms, now),
            min(self.meter_clock.first_request_ms, now),
        )
        customer, worth = self._customer(now, event), cls.worth / self.dearest
        # Where a late answer earns little, an attempt past the aim is waste and feeds a jam.
        in_time = cls.late_worth <= LITTLE_WORTH and cls.aim_stretch <= 0 and not cls.stream
        end = min(event.deadline_ms, now + cls.aim_ms) if in_time else event.deadline_ms
        request = Request(event, cls, pool, pool.lanes[event.cls], end, customer)
        self.requests[event.request] = request
        if in_time and self._late(now, event, pool) and not customer.has_spare_units(now, event.units):
            request.refusal_reason = RefusalReason.LATE
        elif why := customer.refusal_reason(
            now, event.units, self.rng.random(), worth, self.settings.is_only_limiter
        ):
            request.refusal_reason = why
        else:
            pool.arrivals.append((now, request.lane, event.units))
            pool.servers.admission_times_ms.append(now)
            # Below the cap by less than one: by chance, which mixes the two whole thresholds beside it.
            if self.rng.random() < pool.remaining_capacity(request.lane) and self._send(now, request, set()):
                return
        self._answer(now, request)

    def _customer(self, now: float, event: api.Arrival) -> Customer:
        """The customer of an arrival, behind all others: the latest to ask."""
        customer, plan = self.customers.pop(event.customer, None), self.settings.plans[event.plan]
        if customer is None:
            customer = Customer(plan, event.customer_limiters, now, self.started_ms)
            if self.recalled:
                self._restore(event.customer, customer)
        elif self.settings.is_only_limiter and customer.plan is not plan:
            customer.change_plan(now, plan)
        self.customers[event.customer] = customer
        return customer

    def _restore(self, ident: int, customer: Customer) -> None:
        """Go on from what an earlier life left; both stores have filled since that was told."""
        if known := self.recalled.pop(ident, None):
            store, ceiling = customer.quota_bucket, customer.ceiling
            store.level, store.updated_ms = min(store.depth, known[1].units_left), known[0]
            ceiling.level, ceiling.updated_ms = min(ceiling.depth, known[1].ceiling_units_left), known[0]

    def _late(self, now: float, event: api.Arrival, pool: Pool) -> bool:
        """Whether this is a repeat that can hardly be answered within the aim, counted from the first try.

        No try waits past the end of its request, so one that waits for less than first ones do is a repeat,
        and what its wait falls short of the class's deadline has passed. A request that was long on its way
        shows the same. It hurts clients whose first tries wait for less than others': taken for repeats, they
        get what the customer's store can spare.
        """
        cls, waits, wait = self.settings.classes[event.cls], self.wait_of[event.cls], event.deadline_ms - now
        waits.append(wait)
        left = cls.aim_ms - (cls.deadline_ms - wait)
        if left >= min(pool.servers.mean_latency_ms, LATEST * cls.aim_ms) or len(waits) < MIN_COMPLETIONS:
            return False
        # First tries wait alike, repeats for what is left of their time; last ones may wait for longer.
        groups = Counter(round(each / WAIT_STEP_MS) for each in waits)
        least = COMMON * max(groups.values())
        first = min(group for group, size in groups.items() if size >= least)
        return wait < (first - 1) * WAIT_STEP_MS

    def _send(self, now: float, request: Request, avoid: set[int]) -> bool:
        """Begin an attempt where the rules and a server allow it; whether one has begun."""
        event, first, pool = request.arrival, not request.attempts, request.pool
        customer, usual, number = request.customer, pool.servers.median_latency_ms, len(request.attempts)
        if denial := attempt_denial(now, request, self.settings, self.lease_until_ms):
            if denial is Denial.MEMBERSHIP:
                request.refusal_reason = RefusalReason.MEMBERSHIP
            return False
        if first and customer.plan.ceiling_rate > 0 and customer.ceiling.refill(now) < event.units:
            request.refusal_reason = RefusalReason.CEILING
            return False
        allowed = None if first else partial(may_retry_at, now, request)  # the first repeats nothing
        peer = pool.servers.choose_server(now, allowed, avoid)
        if peer is None:
            request.refusal_reason = RefusalReason.SERVERS
            return False
        whole = INF if first else dedup_window_end_ms(request)
        request.attempts.append(Attempt(number, peer.entry, now))
        peer.outstanding += 1
        peer.allowance -= 1.0
        if peer.health.suspect:  # a trial; the next one waits for its outcome
            pool.servers.mark_suspect(peer, now)
        pool.lane_outstanding[request.lane] += 1
        request.customer.outstanding += 1
        if first:
            request.customer.draw(now, event.units)
        until = request.useful_until_ms
        part = (
            EARLY
            if pool.losing_responses
            else FIRST_ATTEMPT_FRACTION
            if pool.has_stray_losses and first
            else 1.0
        )
        rest = (1.0 - part) * (until - now)  # for another try
        if request.request_class.effect is not Effect.UNSAFE and number + 1 < self.settings.max_attempts:
            until -= rest if rest >= usual else 0.0
        pool.attempts_outstanding[event.request, number] = now, request.lane, until, peer.entry.id
        self.actions.append(api.Send(event.request, peer.entry.id, until, whole))
        return True

    def _answer(self, now: float, request: Request) -> None:
        """The one place that ends a request: refused where a retry is surely harmless, else failed."""
        if not request.is_open or request.streaming:
            return
        ident, request.is_open = request.arrival.request, False
        if may_be_refused(now, request):
            self.actions.append(api.Refuse(ident, self._advice(now, request), request.refusal_reason))
        else:
            self.actions.append(api.Fail(ident))
        self._forget(request)

    def _advice(self, now: float, request: Request) -> float:
        """When to come back, in ms: once what is out has mostly ended, or where the meter says that the
        quota is used up, once the store holds the units again."""
        customer, wait = request.customer, request.pool.servers.mean_latency_ms
        short = request.arrival.units - customer.quota_bucket.refill(now)
        known = self.settings.is_only_limiter or (customer.usage or 0) >= 100
        if known and short > 0 and customer.plan.rate > 0:
            wait = max(wait, short / customer.plan.rate * 1000.0)
        return min(self.settings.max_retry_after_ms, wait)

    def _forget(self, request: Request) -> None:
        if not request.is_open and not request.has_outstanding():
            self.requests.pop(request.arrival.request, None)

    def _abandon(self, now: float, event: api.Abandoned) -> None:
        """The client has gone: nobody waits for what is still out."""
        if request := self.requests.get(event.request):
            request.is_open = False
            self._cancel(request)
            self._forget(request)

    def _begun(self, now: float, event: api.StreamBegun) -> None:
        """The answer is the client's now: neither sent again, withdrawn nor ended here."""
        if request := self.requests.get(event.request):
            request.streaming = True
            request.pool.attempts_outstanding.pop((event.request, event.attempt), None)

    def _uploading(self, now: float, event: api.UploadInProgress) -> None:
        """Its time is its client's for now: a slow one would look like a jam."""
        if request := self.requests.get(event.request):
            request.pool.attempts_outstanding.pop((event.request, event.attempt), None)

    def _cancel(self, request: Request) -> None:
        if self.settings.may_cancel and not request.streaming:
            ident = request.arrival.request
            self.actions += [api.Cancel(ident, a.number) for a in request.attempts if a.outstanding]

    def _outcome(self, now: float, event: api.Outcome) -> None:
        """Book an attempt's end, learn from it, then close, retry or answer the request."""
        request = self.requests.get(event.request)
        pool = request.pool if request else self.pools[0]
        peer = pool.servers.records.get(event.server)
        was_suspect = peer is not None and peer.health.suspect and not pool.servers.most_are_suspect()
        pool.servers.record_outcome(now, event)
        if request is None or not (attempt := request.attempts[event.attempt]).outstanding:
            return
        attempt.outstanding = False
        attempt.may_have_run = event.status not in NEVER_RAN
        pool.lane_outstanding[request.lane] -= 1
        pool.attempts_outstanding.pop((event.request, event.attempt), None)
        request.customer.outstanding -= 1
        if event.usage is not None and self.settings.meter_period_ms > 0:
            request.customer.apply_reading(now, event.usage, self.meter_clock)
        if self.settings.post_paid and event.status is Status.OK and event.units:
            request.customer.settle(now, event.units - request.arrival.units)
        # Work lost at a suspect says nothing of the back end's load; elsewhere a time-out is a latency.
        if event.status is Status.OK:
            pool.latencies.append((now, request.lane, event.elapsed_ms))
        elif event.status is Status.TIMEOUT and not was_suspect:
            pool.timeouts.append((now, request.lane, event.elapsed_ms))
        if event.closed:
            request.is_open = False
            self._cancel(request)
        elif request.is_open and not request.has_outstanding():
            tried = {a.server.id for a in request.attempts}
            if event.status is Status.MOOT or not self._send(now, request, tried):
                self._answer(now, request)
        self._forget(request)
