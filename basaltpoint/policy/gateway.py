"""Every decision of the gateway; its types, events and actions stand in `basaltpoint/interface.py`.

Two lanes of request classes are capped at the back end by the thresholds of de Waal's report BS-R9025
(Section 3); customers are held to quotas by a metered let-in share.
"""

from __future__ import annotations

import math
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from basaltpoint import interface as api
from basaltpoint.interface import Effect, Scope, Status
from basaltpoint.policy.fleet import WINDOW_MS, Fleet, Peer
from basaltpoint.policy.quota import LIGHT_MS, Customer, MeterClock
from basaltpoint.policy.thresholds import INF, thresholds

# --- Constants: unit, reason -------------------------------------------------------------------
RERUN_MS = 500.0  # ms; thresholds follow a load that moves in seconds
FEWEST = 10  # completions that the window holds at least, however old; below, the last thresholds stay
OLDEST_MS = 20000.0  # ms; older ones say nothing of now
POOLING = 1.5  # roots of a threshold that chance may add: own small counts swing, their sum hardly
LEAST_CAP = 0.2  # requests; a lane is never shut: without completions it could not open again
AIM_PART = 0.15  # of lane one's aim as bound on the mean: most answers, not half, shall be within it
TIGHT = 1.34  # times the tightest aim: what still counts as tight; nearer aims are one lane
LITTLE_WORTH = 0.3  # late worth up to which attempts end at the aim
FLOORS = tuple(n / 10 for n in range(9, 1, -1))  # of lane two's arrivals as T: the highest feasible
LOW_RISE = 1.3  # a rerun; how fast the remembered light-load latency may rise: doubles in some 2 s
TIDY_MS = 1000.0  # ms; how often such customers are looked for
MOST_CUSTOMERS = 5000  # some 2 KB each; beyond, the longest idle go as soon as their ceiling is full
LOSS = 0.15  # of the recent attempts; with more time-outs though answers come quickly, answers get lost
QUICK = 0.25  # of the tightest aim; three in four answers within it are quick
EARLY = 0.5  # of the time left; repeatable work is then given up so early, and tried once more
LATE = 0.65  # of the time left; repeatable work is given up then while more is lost than is late
TAIL = 0.01  # of the recent answers may be late then: else it is load, and one more try feeds it
STRAY = 0.02  # of the recent attempts; with fewer time-outs hardly an answer gets lost
WAITS = 64  # of a class's latest tries; of these the wait of first ones is read
WAIT_STEP_MS = 8.0  # waits so near are one: on its way a try loses a little
COMMON = 0.7  # of the tries with the commonest wait; one that so many share is a first try's, too
LATEST = 0.5  # of the aim; a repeat with less than the mean latency left, or this, comes too late


@dataclass(slots=True)
class Attempt:
    number: int
    server: api.Server  # as it was then: it may be forgotten before the request is
    sent: float
    out: bool = True
    may_have_run: bool = True


# --- Request life cycle -------------------------------------------------------------------------
@dataclass(slots=True)
class Request:
    event: api.Arrival
    cls: api.RequestClass
    lane: int
    end_ms: float  # work past this is worth nothing
    customer: Customer
    attempts: list[Attempt] = field(default_factory=list)
    open: bool = True
    streaming: bool = False

    def outstanding(self) -> int:
        return sum(1 for attempt in self.attempts if attempt.out)


NEVER_RAN = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)


def split_lanes(classes: tuple[api.RequestClass, ...]) -> list[int]:
    """Lane 0 holds the tight aims; aims that hardly differ share it, as squeezing equals loses more."""
    tightest = min((c.aim_ms for c in classes), default=0.0)
    return [0 if c.aim_ms <= TIGHT * tightest else 1 for c in classes]


class Gateway:
    """One gateway's decisions: `handle` takes each event and returns the actions it causes."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.fleet = Fleet(settings, self.rng)
        self.lanes = split_lanes(settings.classes)
        self.customers: dict[int, Customer] = {}
        self.clock = MeterClock(settings.meter_ms)
        self.requests: dict[int, Request] = {}
        self.caps: tuple[float, float] = (INF, INF)
        self.count = [0, 0]
        self.latencies: deque[tuple[float, int, float]] = deque()
        self.low = [INF, INF, INF]  # light-load latency of lane one, lane two and both
        self.arrivals: deque[tuple[float, int, float]] = deque()
        self.mean_out, self.out_ms = 0.0, -INF
        self.begun = INF  # when the first request came
        self.rerun_ms = -INF
        self.lost: deque[tuple[float, int, float]] = deque()  # as latencies, of time-outs
        self.lossy = False
        self.strays = False  # some answers get lost though hardly one is late
        self.born, self.tidied = INF, 0.0
        self.dearest = max((c.worth for c in settings.classes), default=0.0) or 1.0
        self.waits: list[deque[float]] = [deque(maxlen=WAITS) for _ in settings.classes]
        self.actions: list[api.Action] = []
        self.acts: dict[type, Callable[[float, Any], None]] = {
            api.Arrival: self._arrive,
            api.Outcome: self._outcome,
            api.Abandoned: self._abandon,
            api.ServerList: self._listed,
            api.StreamBegun: self._begun,
        }

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event; the actions take effect in the order given."""
        self.actions = []
        gone = 1.0 - math.exp((self.out_ms - now) / WINDOW_MS)
        self.mean_out, self.out_ms = self.mean_out + gone * (sum(self.count) - self.mean_out), now
        if now - self.rerun_ms >= RERUN_MS:
            self.rerun_ms = now
            self._rerun(now)
        if now - self.tidied >= TIDY_MS:
            self.tidied = now
            self._tidy(now)
        if act := self.acts.get(type(event)):
            act(now, event)
        return self.actions

    def _tidy(self, now: float) -> None:
        """Forget customers that have been idle for longest, and what the flow no longer counts."""
        self.fleet.trim(now)
        over = len(self.customers) - MOST_CUSTOMERS
        gone: list[int] = []
        for ident, customer in self.customers.items():  # the longest idle first
            pressed = len(gone) < over
            if not pressed and now - customer.asked_at < LIGHT_MS:
                break
            if customer.forgettable(now, pressed):
                gone.append(ident)
        for ident in gone:
            del self.customers[ident]

    def _listed(self, now: float, event: api.ServerList) -> None:
        self.fleet.update(now, event)
        self.born = min(self.born, now)
        if self.settings.must_subscribe and event.kind in (api.ListKind.CACHED, api.ListKind.FAILED):
            self.actions.append(api.Subscribe(True))

    def _arrive(self, now: float, event: api.Arrival) -> None:
        """The ordinary path: let-in share, lane cap, server choice; what fails is refused at once."""
        self.begun = min(self.begun, now)
        cls = self.settings.classes[event.cls]
        customer = self.customers.pop(event.customer, None)
        if customer is None:
            customer = Customer(self.settings.plans[event.plan], event.doors, now, self.born)
        self.customers[event.customer] = customer  # behind all others: the latest to ask
        # Where a late answer earns little, an attempt past the aim is waste and feeds a jam.
        in_time = cls.late_worth <= LITTLE_WORTH and cls.aim_stretch <= 0 and not cls.stream
        end = min(event.deadline_ms, now + cls.aim_ms) if in_time else event.deadline_ms
        request = Request(event, cls, self.lanes[event.cls], end, customer)
        self.requests[event.request] = request
        if in_time and self._late(now, event) and not customer.spares(now, event.units):
            self._answer(now, request)
        elif customer.lets_in(now, event.units, self.rng.random(), cls.worth / self.dearest):
            self.arrivals.append((now, request.lane, event.units))
            self.fleet.let_in.append(now)
            # Below the cap by less than one: by chance, which mixes the two whole thresholds beside it.
            cap = self.caps[request.lane]
            room = cap + POOLING * math.sqrt(cap) - self.count[request.lane]
            if self.rng.random() < room and self._send(now, request, set()):
                return
        self._answer(now, request)

    def _late(self, now: float, event: api.Arrival) -> bool:
        """Whether this is a repeat that can hardly be answered within the aim, counted from the first try.

        No try waits past the end of its request, so one that waits for less than first ones do is a repeat,
        and what its wait falls short of the class's deadline has passed. A request that was long on its way
        shows the same. It hurts clients whose first tries wait for less than others': taken for repeats, they
        get what the customer's store can spare.
        """
        cls, waits, wait = self.settings.classes[event.cls], self.waits[event.cls], event.deadline_ms - now
        waits.append(wait)
        left = cls.aim_ms - (cls.deadline_ms - wait)
        if left >= min(self.fleet.mean_ms, LATEST * cls.aim_ms) or len(waits) < FEWEST:
            return False
        # First tries wait alike, repeats for what is left of their time; last ones may wait for longer.
        groups = Counter(round(each / WAIT_STEP_MS) for each in waits)
        least = COMMON * max(groups.values())
        first = min(group for group, size in groups.items() if size >= least)
        return wait < (first - 1) * WAIT_STEP_MS

    def _may_repeat(self, request: Request, peer: Peer, now: float) -> bool:
        """The repeats rule, passed by every send."""
        if request.outstanding() and not self.settings.second_copies:
            return False
        ran = [attempt for attempt in request.attempts if attempt.may_have_run]
        if not ran or request.cls.effect is Effect.SAFE:
            return True
        if request.cls.effect is Effect.UNSAFE or now - ran[0].sent > request.cls.window_ms:
            return False
        return all(self._same_group(request.cls.scope, attempt.server, peer) for attempt in ran)

    def _same_group(self, scope: Scope, server: api.Server, peer: Peer) -> bool:
        if scope is Scope.ALL:
            return True
        return server.zone == peer.entry.zone if scope is Scope.ZONE else server.cell == peer.entry.cell

    def _send(self, now: float, request: Request, avoid: set[int]) -> bool:
        """The one place that sends: every rule on sending is checked here."""
        event, first = request.event, not request.attempts
        if not request.open or request.streaming or now >= request.end_ms:
            return False
        if len(request.attempts) >= self.settings.max_attempts:
            return False
        customer = request.customer
        if first and customer.plan.ceiling_rate > 0 and customer.ceiling.refill(now) < event.units:
            return False
        peer = self.fleet.choose(now, lambda p: self._may_repeat(request, p, now), avoid)
        if peer is None:
            return False
        attempt = Attempt(len(request.attempts), peer.entry, now)
        request.attempts.append(attempt)
        peer.waiting += 1
        peer.allowance -= 1.0
        if peer.suspect:  # a trial; the next one waits for its outcome
            self.fleet.doubt(peer, now)
        self.count[request.lane] += 1
        request.customer.out += 1
        if first:
            request.customer.draw(now, event.units)
        until = request.end_ms
        part = EARLY if self.lossy else LATE if self.strays and first else 1.0
        if request.cls.effect is not Effect.UNSAFE and attempt.number + 1 < self.settings.max_attempts:
            until = now + part * (until - now)
        self.actions.append(api.Send(event.request, peer.entry.id, until))
        return True

    def _answer(self, now: float, request: Request) -> None:
        """The one place that ends a request: refused where a retry is surely harmless, else failed."""
        if not request.open or request.streaming:
            return
        ran = any(attempt.may_have_run for attempt in request.attempts)
        keyed_all = request.cls.effect is Effect.KEYED and request.cls.scope is Scope.ALL
        harmless = not ran or request.cls.effect is Effect.SAFE or keyed_all
        refuse = harmless and not (ran and now >= request.end_ms)
        ident, request.open = request.event.request, False
        self.actions.append(api.Refuse(ident, self._advice(now, request)) if refuse else api.Fail(ident))
        self._forget(request)

    def _advice(self, now: float, request: Request) -> float:
        """When to come back, in ms: once what is out has mostly ended, or where the meter says that the
        quota is used up, once the store holds the units again."""
        customer, wait = request.customer, self.fleet.mean_ms
        short = request.event.units - customer.store.refill(now)
        if (customer.usage or 0) >= 100 and short > 0 and customer.plan.rate > 0:
            wait = max(wait, short / customer.plan.rate * 1000.0)
        return min(self.settings.advice_ms, wait)

    def _forget(self, request: Request) -> None:
        if not request.open and not request.outstanding():
            self.requests.pop(request.event.request, None)

    def _abandon(self, now: float, event: api.Abandoned) -> None:
        """The client has gone: nobody waits for what is still out."""
        if request := self.requests.get(event.request):
            request.open = False
            self._cancel(request)
            self._forget(request)

    def _begun(self, now: float, event: api.StreamBegun) -> None:
        """The answer is the client's now: neither sent again, withdrawn nor ended here."""
        if request := self.requests.get(event.request):
            request.streaming = True

    def _cancel(self, request: Request) -> None:
        if self.settings.may_cancel and not request.streaming:
            ident = request.event.request
            self.actions += [api.Cancel(ident, a.number) for a in request.attempts if a.out]

    def _outcome(self, now: float, event: api.Outcome) -> None:
        """Book an attempt's end, learn from it, then close, retry or answer the request."""
        peer = self.fleet.peers.get(event.server)
        was_suspect = peer is not None and peer.suspect and not self.fleet.all_slow()
        self.fleet.heard(now, event)
        request = self.requests.get(event.request)
        if request is None or not (attempt := request.attempts[event.attempt]).out:
            return
        attempt.out = False
        attempt.may_have_run = event.status not in NEVER_RAN
        self.count[request.lane] -= 1
        request.customer.out -= 1
        if event.usage is not None and self.settings.meter_ms > 0:
            request.customer.meter(now, event.usage, self.clock)
        if self.settings.post_paid and event.status is Status.OK and event.units and not event.attempt:
            request.customer.store.level += request.event.units - event.units
        # Work lost at a suspect says nothing of the back end's load; elsewhere a time-out is a latency.
        if event.status is Status.OK:
            self.latencies.append((now, request.lane, event.elapsed_ms))
        elif event.status is Status.TIMEOUT and not was_suspect:
            self.lost.append((now, request.lane, event.elapsed_ms))
        if event.closed:
            request.open = False
            self._cancel(request)
        elif request.open and not request.outstanding():
            tried = {a.server.id for a in request.attempts}
            if event.status is Status.MOOT or not self._send(now, request, tried):
                self._answer(now, request)
        self._forget(request)

    def _light(self, which: int, latencies: list[float]) -> float:
        """The 10th-percentile latency, remembered through a jam, where it waits too and load reads low.
        It hurts, for some seconds, where requests truly become heavier."""
        if latencies:
            tenth = sorted(latencies)[len(latencies) // 10]
            self.low[which] = min(tenth, self.low[which] * LOW_RISE)
        return self.low[which] if self.low[which] < INF else 0.0

    def _rerun(self, now: float) -> None:
        """Estimate the load from the window and set the lane caps by the search."""
        for queue in (self.latencies, self.lost, self.arrivals):
            while queue and queue[0][0] < now - (WINDOW_MS if len(queue) > FEWEST else OLDEST_MS):
                queue.popleft()
        lanes: list[list[float]] = [[], []]
        aim = min(c.aim_ms for c, lane in zip(self.settings.classes, self.lanes, strict=True) if lane == 0)
        # Lost answers are told from a jam by the others, which come quickly: no load, worth another try.
        # It also covers vanished servers; it would feed a jam whose time-outs are one class's alone.
        quick = sorted(elapsed for *_, elapsed in self.latencies)
        heavy = len(self.lost) > LOSS * (len(self.lost) + len(quick))
        before, self.lossy = self.lossy, len(quick) > 3 and heavy and quick[len(quick) * 3 // 4] < QUICK * aim
        late = sum(1 for elapsed in quick if elapsed > LATE * aim)
        enough = len(self.lost) >= max(2.0, STRAY * len(quick))
        self.strays = len(quick) > FEWEST and enough and late <= TAIL * len(quick)
        if self.lossy and not before:
            self.actions.append(api.Log(f"answers get lost: {len(self.lost)} beside {len(quick)}"))
        for _, lane, elapsed in [*self.latencies, *(() if self.lossy else self.lost)]:
            lanes[lane].append(elapsed)
        every = sorted(lanes[0] + lanes[1])
        if every:
            self.fleet.mean_ms = max(1.0, sum(every) / len(every))
        if len(every) < FEWEST or not lanes[0]:
            return
        low = [self._light(which, lane) for which, lane in enumerate(lanes)]
        load = 1.0 - self._light(2, every) / self.fleet.mean_ms
        rates = [sum(1 for _, lane, _ in self.arrivals if lane == which) for which in (0, 1)]
        weight = [rates[which] * low[which] for which in (0, 1)]
        if load <= 0 or sum(weight) <= 0 or low[0] <= 0:
            return
        rho = [load * part / sum(weight) for part in weight]
        tries = (thresholds(rho[0], rho[1], AIM_PART * aim / low[0], floor) for floor in FLOORS)
        found = next((pair for pair in tries if pair is not None), None)
        if found is None:
            return
        # Counted from nothing the mean would be low for seconds, and the caps with it.
        counted = 1.0 - math.exp((self.begun - now) / WINDOW_MS)
        scale = max(1e-3, self.mean_out / counted * (1.0 - load) / load)
        caps = (max(LEAST_CAP, found[0] * scale), max(LEAST_CAP, found[1] * scale))
        if (min(caps) < INF) != (min(self.caps) < INF):
            self.actions.append(api.Log(f"lane caps {caps[0]:.1f} {caps[1]:.1f} at load {load:.2f}"))
        self.caps = caps
