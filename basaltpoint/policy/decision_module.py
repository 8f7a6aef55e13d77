"""All decisions of one limiter; `basaltpoint/interface.py` defines the settings, events and actions.

The thresholds of de Waal's report BS-R9025 (Section 3) cap the outstanding requests of two lanes of request
classes. Quotas are enforced by admitting a share of each customer's requests; the share follows the meter.
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

# --- Constants ---------------------------------------------------------------------------------
# Attempts end at the aim, not at the deadline, in classes whose late responses are worth no more than this.
MAX_LATE_WORTH_TO_END_AT_AIM = 0.3
CLEANUP_INTERVAL_MS = 1000.0  # between searches for idle customers and unused pools
# A customer takes about 2 KB. Beyond this number the longest idle are removed once their ceiling is full.
MAX_CUSTOMERS = 5000
# Of the time left: while responses get lost, a repeatable attempt times out then and leaves time for a retry.
LOSSY_TIMEOUT_FRACTION = 0.5
WAIT_SAMPLES = 64  # latest waits of a class from which the usual wait of a first request is estimated
WAIT_STEP_MS = 8.0  # rounding of waits: the network takes a little of each wait
# A wait that is at least this ratio as frequent as the most frequent one belongs to first requests as well.
COMMON_WAIT_RATIO = 0.7
# Outcomes that prove that no server executed the attempt.
NOT_EXECUTED = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)
# A client retry is late when it has less time left than the mean latency and than this fraction of the aim.
MIN_TIME_LEFT_FRACTION = 0.5


class DecisionModule:
    """The decisions of one limiter: `handle` takes each event and returns the actions that it causes."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.healths: dict[int, ServerHealth] = {}
        self.pools: dict[int, Pool] = {}
        self.customers: dict[int, Customer] = {}
        self.meter_clock = MeterClock(settings.meter_period_ms, INF)
        self.requests: dict[int, Request] = {}
        self.started_ms, self.last_cleanup_ms = INF, 0.0
        self.ceiling_share = 1.0  # of new customers' ceilings; other processes of this limiter have the rest
        self.lease_until_ms = INF  # the list of servers may be used until then
        self.actions: list[api.Action] = []
        self.class_waits: dict[str, deque[float]] = {}
        self.restored_balances: dict[int, tuple[float, api.RestoredBalance]] = {}
        self._apply_settings(settings)
        self._get_or_create_pool(0)
        self.handlers: dict[type, Callable[[float, Any], None]] = {
            api.Arrival: self._on_arrival,
            api.Outcome: self._on_outcome,
            api.Abandoned: self._on_abandoned,
            api.ServerList: self._on_server_list,
            api.MembershipConfirmed: self._on_membership_confirmed,
            api.StreamBegun: self._on_stream_begun,
            api.UploadInProgress: self._on_upload_in_progress,
            api.SettingsChanged: self._on_settings_changed,
            api.HealthCheckResult: self._on_health_check_result,
            api.RestoredBalance: self._on_restored_balance,
            api.RestoredLatencies: self._on_restored_latencies,
        }

    def _apply_settings(self, settings: api.Settings) -> None:
        self.settings = settings
        self.max_worth = max((c.worth for c in settings.classes), default=0.0) or 1.0
        old, self.class_waits = self.class_waits, {}
        for number, cls in enumerate(settings.classes):
            name = cls.name or str(number)
            self.class_waits[name] = old.get(name, deque(maxlen=WAIT_SAMPLES))
        self.waits_by_class = list(self.class_waits.values())

    def _get_or_create_pool(self, number: int) -> Pool:
        if (pool := self.pools.get(number)) is None:
            pool = self.pools[number] = Pool(number, self.settings, self.rng, self.healths)
        return pool

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decides on one event at `now` (ms); the actions take effect in the order given."""
        self.actions = []
        for pool in self._pools_to_update(event):
            self.actions += pool.tick(now)
        if now - self.last_cleanup_ms >= CLEANUP_INTERVAL_MS:
            self.last_cleanup_ms = now
            self._clean_up(now)
        if handler := self.handlers.get(type(event)):
            handler(now, event)
        return self.actions

    def _pools_to_update(self, event: api.Event) -> Iterable[Pool]:
        """Returns the pools to update before the event: the event's own pool, or all pools."""
        if len(self.pools) > 1:
            if isinstance(event, api.Arrival):
                return (self._get_or_create_pool(event.pool),)
            if isinstance(event, api.Outcome) and (request := self.requests.get(event.request)):
                return (request.pool,)
        return self.pools.values()

    def quota_status(self, now: float, ident: int) -> api.QuotaStatus | None:
        """Returns a customer's quota status; None for an unknown customer or one without a rate."""
        if (customer := self.customers.get(ident)) is None or customer.plan.rate <= 0:
            return None
        plan, units_left = customer.plan, customer.quota_bucket.refill(now)
        full_in_ms, ceiling = (plan.burst - units_left) / plan.rate * 1000.0, customer.ceiling.refill(now)
        return api.QuotaStatus(plan.rate, plan.burst, max(0.0, units_left), full_in_ms, max(0.0, ceiling))

    def avoided_servers(self, now: float) -> set[int]:
        """Returns the servers of all pools that get no ordinary requests now."""
        return {ident for pool in self.pools.values() for ident in pool.servers.avoided_servers(now)}

    def customers_since(self, since_ms: float) -> Iterable[int]:
        """Returns the customers with a request since then, the latest first."""
        return takewhile(lambda ident: self.customers[ident].asked_at >= since_ms, reversed(self.customers))

    def _on_restored_balance(self, now: float, event: api.RestoredBalance) -> None:
        self.restored_balances[event.customer] = now, event

    def _on_restored_latencies(self, now: float, event: api.RestoredLatencies) -> None:
        pool = self._get_or_create_pool(event.pool)
        pool.light_latencies_ms, pool.servers.mean_latency_ms = list(event.light_load_ms), event.mean_ms

    def _clean_up(self, now: float) -> None:
        """Removes idle customers, unused pools and old admission times."""
        for number, pool in list(self.pools.items()):
            pool.servers.trim_admissions(now)
            if number and not pool.servers.records:  # a server stays while it has outstanding attempts
                del self.pools[number]
        excess = len(self.customers) - MAX_CUSTOMERS
        removable: list[int] = []
        for ident, customer in self.customers.items():  # the longest idle first
            must_shrink = len(removable) < excess
            if not must_shrink and now - customer.asked_at < FORGET_LIGHT_IDLE_MS:
                break
            if customer.can_be_forgotten(now, must_shrink):
                removable.append(ident)
        for ident in removable:
            del self.customers[ident]

    def _on_server_list(self, now: float, event: api.ServerList) -> None:
        self._get_or_create_pool(event.pool).servers.apply_list(now, event)
        self.started_ms = min(self.started_ms, now)
        if self.settings.must_subscribe and event.kind in (api.ListKind.CACHED, api.ListKind.FAILED):
            self.actions.append(api.Subscribe(True))

    def _on_membership_confirmed(self, now: float, event: api.MembershipConfirmed) -> None:
        self.lease_until_ms = event.until_ms

    def _on_settings_changed(self, now: float, event: api.SettingsChanged) -> None:
        self._apply_settings(event.settings)
        for pool in self.pools.values():
            pool.update_settings(event.settings)

    def _on_health_check_result(self, now: float, event: api.HealthCheckResult) -> None:
        if health := self.healths.get(event.server):
            # A server that is healthy again may have restarted.
            health.down, health.up_ms = not event.is_healthy, now if event.is_healthy else 0.0

    def _on_arrival(self, now: float, event: api.Arrival) -> None:
        """Starts the first attempt if the customer's quota and the lane's cap allow it, else refuses."""
        cls, pool = self.settings.classes[event.cls], self._get_or_create_pool(event.pool)
        pool.first_arrival_ms, self.meter_clock.first_request_ms = (
            min(pool.first_arrival_ms, now),
            min(self.meter_clock.first_request_ms, now),
        )
        customer, relative_worth = self._customer_of(now, event), cls.worth / self.max_worth
        # Where a late response is worth little, an attempt past the aim is wasted work and adds to overload.
        ends_at_aim = (
            cls.late_worth <= MAX_LATE_WORTH_TO_END_AT_AIM and cls.aim_stretch <= 0 and not cls.stream
        )
        useful_until = min(event.deadline_ms, now + cls.aim_ms) if ends_at_aim else event.deadline_ms
        request = Request(event, cls, pool, pool.lanes[event.cls], useful_until, customer)
        self.requests[event.request] = request
        if (
            ends_at_aim
            and self._is_late_client_retry(now, event, pool)
            and not customer.has_spare_units(now, event.units)
        ):
            request.refusal_reason = RefusalReason.LATE
        elif reason := customer.refusal_reason(
            now, event.units, self.rng.random(), relative_worth, self.settings.is_only_limiter
        ):
            request.refusal_reason = reason
        else:
            pool.arrivals.append((now, request.lane, event.units))
            pool.servers.admission_times_ms.append(now)
            # A remaining capacity below one is a probability: it mixes the two adjacent integer thresholds.
            if self.rng.random() < pool.remaining_capacity(request.lane) and self._start_attempt(
                now, request, set()
            ):
                return
        self._finish(now, request)

    def _customer_of(self, now: float, event: api.Arrival) -> Customer:
        """Returns the customer of an arrival and moves it to the end of the order of last requests."""
        customer, plan = self.customers.pop(event.customer, None), self.settings.plans[event.plan]
        if customer is None:
            customer = Customer(plan, event.customer_limiters, now, self.started_ms, self.ceiling_share)
            if self.restored_balances:
                self._restore_balance(event.customer, customer)
        elif self.settings.is_only_limiter and customer.plan is not plan:
            customer.change_plan(now, plan)
        self.customers[event.customer] = customer
        return customer

    def _restore_balance(self, ident: int, customer: Customer) -> None:
        """Restores the balance from before a restart; both buckets have refilled since it was reported."""
        if restored := self.restored_balances.pop(ident, None):
            bucket, ceiling = customer.quota_bucket, customer.ceiling
            bucket.level, bucket.updated_ms = min(bucket.depth, restored[1].units_left), restored[0]
            ceiling.level, ceiling.updated_ms = (
                min(ceiling.depth, restored[1].ceiling_units_left),
                restored[0],
            )

    def _is_late_client_retry(self, now: float, event: api.Arrival, pool: Pool) -> bool:
        """Whether this is a client retry that is unlikely to be answered within the aim of its first request.

        No client waits past the end of its request. A wait shorter than that of first requests therefore
        marks a retry, and the difference between the class's deadline and the wait has already passed. A
        request that was delayed on its way shows the same. Clients whose first requests wait for less than
        those of others are mistaken for retries; they get only the spare units of the customer's quota.
        """
        cls, waits, wait = (
            self.settings.classes[event.cls],
            self.waits_by_class[event.cls],
            event.deadline_ms - now,
        )
        waits.append(wait)
        left_ms = cls.aim_ms - (cls.deadline_ms - wait)
        if (
            left_ms >= min(pool.servers.mean_latency_ms, MIN_TIME_LEFT_FRACTION * cls.aim_ms)
            or len(waits) < MIN_COMPLETIONS
        ):
            return False
        # First requests have similar waits; retries wait for the rest of their time, the last perhaps longer.
        groups = Counter(round(each / WAIT_STEP_MS) for each in waits)
        min_size = COMMON_WAIT_RATIO * max(groups.values())
        first = min(group for group, size in groups.items() if size >= min_size)
        return wait < (first - 1) * WAIT_STEP_MS

    def _start_attempt(self, now: float, request: Request, avoid: set[int]) -> bool:
        """Starts an attempt if the rules and a server allow it; returns whether it did."""
        event, first, pool = request.arrival, not request.attempts, request.pool
        customer, median_ms, number = request.customer, pool.servers.median_latency_ms, len(request.attempts)
        if denial := attempt_denial(now, request, self.settings, self.lease_until_ms):
            if denial is Denial.MEMBERSHIP:
                request.refusal_reason = RefusalReason.MEMBERSHIP
            return False
        if first and customer.plan.ceiling_rate > 0 and customer.ceiling.refill(now) < event.units:
            request.refusal_reason = RefusalReason.CEILING
            return False
        allowed = None if first else partial(may_retry_at, now, request)  # a first attempt repeats nothing
        record = pool.servers.choose_server(now, allowed, avoid)
        if record is None:
            request.refusal_reason = RefusalReason.SERVERS
            return False
        fully_written_by = INF if first else dedup_window_end_ms(request)
        request.attempts.append(Attempt(number, record.entry, now))
        record.outstanding += 1
        record.allowance -= 1.0
        if record.health.suspect:  # this attempt is a trial; the next trial waits for its outcome
            pool.servers.mark_suspect(record, now)
        pool.lane_outstanding[request.lane] += 1
        request.customer.outstanding += 1
        if first:
            request.customer.draw(now, event.units)
        timeout_at = request.useful_until_ms
        timeout_fraction = (
            LOSSY_TIMEOUT_FRACTION
            if pool.losing_responses
            else FIRST_ATTEMPT_FRACTION
            if pool.has_stray_losses and first
            else 1.0
        )
        retry_time = (1.0 - timeout_fraction) * (timeout_at - now)  # time that is kept for a retry
        if request.request_class.effect is not Effect.UNSAFE and number + 1 < self.settings.max_attempts:
            timeout_at -= retry_time if retry_time >= median_ms else 0.0
        pool.attempts_outstanding[event.request, number] = now, request.lane, timeout_at, record.entry.id
        self.actions.append(api.Send(event.request, record.entry.id, timeout_at, fully_written_by))
        return True

    def _finish(self, now: float, request: Request) -> None:
        """Sends the final answer: refused if a client retry is certainly harmless, else failed.

        No other code ends a request.
        """
        if not request.is_open or request.streaming:
            return
        ident, request.is_open = request.arrival.request, False
        if may_be_refused(now, request):
            self.actions.append(api.Refuse(ident, self._retry_after_ms(now, request), request.refusal_reason))
        else:
            self.actions.append(api.Fail(ident))
        self._remove_if_done(request)

    def _retry_after_ms(self, now: float, request: Request) -> float:
        """Returns the advised delay of a client retry, in ms.

        Most outstanding attempts have ended after the mean latency. If the quota is known to be used up, the
        delay is at least the time until the bucket holds the request's units again.
        """
        customer, delay = request.customer, request.pool.servers.mean_latency_ms
        missing_units = request.arrival.units - customer.quota_bucket.refill(now)
        balance_known = self.settings.is_only_limiter or (customer.usage or 0) >= 100
        if balance_known and missing_units > 0 and customer.plan.rate > 0:
            delay = max(delay, missing_units / customer.plan.rate * 1000.0)
        return min(self.settings.max_retry_after_ms, delay)

    def _remove_if_done(self, request: Request) -> None:
        if not request.is_open and not request.has_outstanding():
            self.requests.pop(request.arrival.request, None)

    def _on_abandoned(self, now: float, event: api.Abandoned) -> None:
        """Closes a request whose client has disconnected and cancels its outstanding attempts."""
        if request := self.requests.get(event.request):
            request.is_open = False
            self._cancel_attempts(request)
            self._remove_if_done(request)

    def _on_stream_begun(self, now: float, event: api.StreamBegun) -> None:
        """Marks a response that is being passed on: no retry, cancellation or final answer follows."""
        if request := self.requests.get(event.request):
            request.streaming = True
            request.pool.attempts_outstanding.pop((event.request, event.attempt), None)

    def _on_upload_in_progress(self, now: float, event: api.UploadInProgress) -> None:
        """Leaves the attempt out of the load estimate, where a slow upload would look like an overload."""
        if request := self.requests.get(event.request):
            request.pool.attempts_outstanding.pop((event.request, event.attempt), None)

    def _cancel_attempts(self, request: Request) -> None:
        if self.settings.may_cancel and not request.streaming:
            ident = request.arrival.request
            self.actions += [api.Cancel(ident, a.number) for a in request.attempts if a.outstanding]

    def _on_outcome(self, now: float, event: api.Outcome) -> None:
        """Records the end of an attempt, then closes, retries or answers its request."""
        request = self.requests.get(event.request)
        pool = request.pool if request else self.pools[0]
        record = pool.servers.records.get(event.server)
        was_suspect = record is not None and record.health.suspect and not pool.servers.most_are_suspect()
        attempts = request.attempts if request else []
        if record and attempts and attempts[event.attempt].server.started_ms != record.entry.started_ms:
            pool.servers.attempt_ended(record)
        else:
            pool.servers.record_outcome(now, event)
        if request is None or not (attempt := request.attempts[event.attempt]).outstanding:
            return
        attempt.outstanding = False
        attempt.may_have_run = event.status not in NOT_EXECUTED
        pool.lane_outstanding[request.lane] -= 1
        pool.attempts_outstanding.pop((event.request, event.attempt), None)
        request.customer.outstanding -= 1
        if event.usage is not None and self.settings.meter_period_ms > 0:
            request.customer.apply_reading(now, event.usage, self.meter_clock)
        if self.settings.post_paid and event.status is Status.OK and event.units:
            request.customer.settle(now, event.units - request.arrival.units)
        # A time-out at a suspect server says nothing about the load; at other servers it counts as a latency.
        if event.status is Status.OK:
            pool.latencies.append((now, request.lane, event.elapsed_ms))
        elif event.status is Status.TIMEOUT and not was_suspect:
            pool.timeouts.append((now, request.lane, event.elapsed_ms))
        if event.closed:
            request.is_open = False
            self._cancel_attempts(request)
        elif request.is_open and not request.has_outstanding():
            tried = {a.server.id for a in request.attempts}
            if event.status is Status.MOOT or not self._start_attempt(now, request, tried):
                self._finish(now, request)
        self._remove_if_done(request)
