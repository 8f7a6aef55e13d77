"""Every decision of the gateway; its types, events and actions stand in `ironstage/interface.py`.

Two lanes of request classes are capped at the back end by the thresholds of de Waal's report BS-R9025
(Section 3); customers are held to quotas by a metered let-in share.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_right
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from ironstage import interface as api
from ironstage.interface import Effect, Scope, ServerState, Status

# --- Constants: unit, reason -------------------------------------------------------------------
RERUN_MS = 500.0  # ms; thresholds follow a load that moves in seconds
WINDOW_MS = 5000.0  # ms; latency window: some hundred completions at tens of requests a second
FEWEST = 10  # completions that the window holds at least, however old; below, the last thresholds stay
OLDEST_MS = 20000.0  # ms; older ones say nothing of now
POOLING = 1.5  # roots of a threshold that chance may add: own small counts swing, their sum hardly
LEAST_CAP = 0.2  # requests; a lane is never shut: without completions it could not open again
AIM_PART = 0.15  # of lane one's aim as bound on the mean: most answers, not half, shall be within it
TIGHT = 1.34  # times the tightest aim: what still counts as tight; nearer aims are one lane
LITTLE_WORTH = 0.3  # late worth up to which attempts end at the aim
FLOORS = tuple(n / 10 for n in range(9, 1, -1))  # of lane two's arrivals as T: the highest feasible
LOW_RISE = 1.3  # a rerun; how fast the remembered light-load latency may rise: doubles in some 2 s
BOUND = 96  # most of either threshold in the search; caps its cost (about 5 ms in CPython)
LAG_STEP_MS = 100.0  # ms; the lag between a period's end and its use being heard is sought in steps
LAG_STEPS = 30  # of these; a meter later than this is not followed
LAG_START = 8  # steps; the guess before evidence
PART_ERROR = 0.15  # of our part of a customer, by which it may be misjudged
LAG_PULL = 0.1  # of a miss's usual size for each squared step from that guess; breaks ties only
PHASE_KEEP = 0.95  # of the evidence on when readings change kept at each change; not varied
LAG_KEEP = 0.995  # of the evidence kept a reading: some hundred readings decide
HISTORY_MS = 10000.0  # ms; own first sends kept of a customer, at least: the meter's lag in view
SHARE_PRIOR = 8.0  # units; weight of "evenly spread" against metered evidence of our share
OWN_LEAST = 1.0  # units of a burst that are ours; with fewer, own sends tell nothing of the store
PRIOR_USE = 1.0  # of the rate; what a customer is taken to use before its meter was read
PRIOR_UNITS = 0.3  # units that this guess weighs
READING_KEEP = 0.5  # of the earlier readings' weight kept at a new one
STORE_USE = 0.7  # of the rate; what the others are taken to draw together
STORE_UNITS = 0.7  # units that this guess weighs
FORGET_MS = 40000.0  # ms; a customer idle so long, its stores full, has nothing left to remember
LIGHT_MS = 10000.0  # ms; nor has one idle so long of whom little more than one try was seen
LIGHT_UNITS = 1.0  # of tries and metered use, faded; up to that it is little
TIDY_MS = 1000.0  # ms; how often such customers are looked for
MOST_CUSTOMERS = 5000  # some 2 KB each; beyond, the longest idle go as soon as their ceiling is full
AGE_MS = 20000.0  # ms; readings lose weight over such times: customers change their ways
THEN_LEAST = 0.05  # the least share that a reading is divided by
SHARE_KEEP = 0.85  # of that evidence kept a metered period: weights shift within tens of seconds
SURE_ROOM = 0.25  # of the burst; with more than this left in the store the share is not asked
KEPT = 0.1  # of the burst, times what a request's worth falls short of the dearest's: kept for such
KEPT_OVER = 0.5  # of the same, times the root of what the let-in share falls short of 1
DEBT = 1.0  # of the burst; how far below empty the store estimate may run
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
SPARE = 0.5  # of the burst; beyond it a try that comes too late takes nothing that others need
FEW = 0.6  # of the ready servers; more suspects than this mean a slow back end, not lost servers
REFERENCE_MS = 200.0  # ms; mean latency before anything was measured
RETEST_MS = 1000.0  # ms; first wait before a suspect gets a trial, doubled up to 8 times
ERRORS = 2  # with no good answer between; a server that fails at once looks free and draws all traffic
FULL_MS = 200.0  # ms; a server that turned a request away is left alone this long
COLD_PART = 0.8  # of the allowance of a cold server that we use: room for chance
BUSY_WEIGHT = 2.0  # requests that a wholly busy report counts for; 0 and 6 were no better
LOOKS = 12  # random servers looked at for a send
USUAL_PART = 0.1  # of a report that goes into the usual load, which stands for a missing or old one
ZONE_MISSES = 3  # failures with no answer from a zone between; it is then left alone but for trials
REPORT_MS = 1500.0  # ms; a load report older than this says nothing

INF = math.inf


# --- Threshold search (de Waal, Algorithms 3.8 and 3.9) -----------------------------------------
def j_sums(n: int, x: float, y: float) -> tuple[float, float, float]:
    """J1, J2, J3 of (15)-(17); their inner sums are binomial and collapse to powers of 1 - x."""
    one = two = three = 0.0
    term = 1.0 / (1.0 - x)
    for j in range(n + 1):
        one += term
        two += (j + 1) * x / (1.0 - x) * term
        three += j * term
        term *= y / (1.0 - x)
    return one, two, three


def sole_caller(rho1: float, rho2: float, m2: int) -> tuple[float, float]:
    """S1(1, m2) in mean service times and T2(1, m2) as a part of lambda2, by (28)-(31)."""
    four = five = before = 0.0
    for j in range(m2 + 1):
        before = four + five
        four += rho2**j
        five += (j + 1) * rho1 * rho2**j
    # By (14), S1 = J5 / (lambda1 J4): (30) as printed divides by J4 + J5.
    return five / (rho1 * four), before / (four + five)


def unbounded_lane_two(rho1: float, rho2: float, sojourn: float) -> float:
    """The largest M1 with S1(M1, inf) within bound; 0 where there is none."""
    best = 0.0
    for m1 in range(1, BOUND + 1 if rho2 < 1 else 1):
        if j_sums(m1, rho2, rho1)[2] > sojourn * rho1 * j_sums(m1 - 1, rho2, rho1)[0]:
            break
        best = m1
    return best


def best_lane_one(
    rows: list[float], before: list[float], rho1: float, sojourn: float, floor: float
) -> tuple[int, float, bool]:
    """(M1, T1 part, whether S1 stopped it): the largest feasible M1 for the rows' M2."""
    best, reached, slow = 0, 0.0, False
    total, below, length = rows[0], before[0], 0.0
    for m1 in range(1, len(rows)):
        admitted = total
        total += rows[m1]
        below += before[m1]
        length += m1 * rows[m1]
        slow = length > sojourn * rho1 * admitted
        if slow or below < floor * total:
            break
        best, reached = m1, admitted / total
    return best, reached, slow


def thresholds(rho1: float, rho2: float, sojourn: float, floor: float) -> tuple[float, float] | None:
    """The optimal (M1, M2), infinite where no cap is due; None where nothing is feasible.

    `sojourn` is S mu1, `floor` is T / lambda2: the product form knows no other units.
    """
    rho1, rho2 = max(rho1, 1e-9), max(rho2, 1e-9)
    if rho1 + rho2 < 1 and sojourn * (1 - rho1 - rho2) >= 1:
        return INF, INF
    last = unbounded_lane_two(rho1, rho2, sojourn)
    if floor >= 1:
        return (last, INF) if last else None
    least = next((m for m in range(BOUND) if sole_caller(rho1, rho2, m)[1] >= floor), None)
    if least is None or sole_caller(rho1, rho2, least)[0] > sojourn:
        return None
    column = [rho1**m1 for m1 in range(BOUND + 1)]
    rows, before = list(column), [0.0] * (BOUND + 1)
    best, top = None, 0.0
    for m2 in range(BOUND + 1):
        if m2:
            column = [pi * rho2 * (m1 + m2) / m2 for m1, pi in enumerate(column)]
            before, rows = rows, [a + b for a, b in zip(rows, column, strict=True)]
        if m2 < least:
            continue
        if rho1 < 1:
            one, two, _ = j_sums(m2, rho1, rho2)
            fewer = j_sums(m2 - 1, rho1, rho2)[0] if m2 else 0.0
            if two <= sojourn * rho1 * one and fewer >= floor * one:
                return INF, m2
        m1, reached, slow = best_lane_one(rows, before, rho1, sojourn, floor)
        if m1 and reached > top:
            best, top = (m1, m2), reached
        # M1(m2) rises while the floor binds and falls while S1 does; only there it has settled.
        if slow and m1 <= last:
            break
    return best


# --- Quota --------------------------------------------------------------------------------------
@dataclass(slots=True)
class TokenBucket:
    """A store that fills at a rate (units a second) up to a depth."""

    rate: float
    depth: float
    level: float
    at: float

    def refill(self, now: float) -> float:
        self.level = min(self.depth, self.level + self.rate * (now - self.at) / 1000.0)
        self.at = now
        return self.level


class MeterClock:
    """Learns which period a reading speaks of; else sends of another would mend the store."""

    def __init__(self, period: float) -> None:
        self.period = period
        self.errors = [(step - LAG_START) ** 2 * LAG_PULL for step in range(LAG_STEPS)]
        self.sine = self.cosine = 0.0

    def changed(self, before: float, now: float) -> None:
        """A customer's reading changed between two answers: the meter moved on in between."""
        if now - before < self.period / 4:
            angle = math.tau * ((before + now) / 2 % self.period) / self.period
            self.sine = PHASE_KEEP * self.sine + math.sin(angle)
            self.cosine = PHASE_KEEP * self.cosine + math.cos(angle)

    def moved(self, now: float) -> float:
        """When the present readings came out."""
        phase = math.atan2(self.sine, self.cosine) / math.tau * self.period
        return now - (now - phase) % self.period

    def window(self, now: float) -> tuple[float, float]:
        """Start and end of the period that a reading heard now speaks of."""
        best = min(range(LAG_STEPS), key=lambda step: self.errors[step])
        end = self.moved(now) - best * LAG_STEP_MS
        return end - self.period, end

    def learn(self, now: float, customer: Customer, whole: float) -> None:
        """Score each lag by how well our sends, scaled by our part, foretell the reading.

        Each miss counts against what chance and a misjudged part make of it (binomial own sends): else the
        few largest customers decide, by noise. It hurts where the large ones alone are steady.
        """
        moved, part = self.moved(now), customer.part()
        spread = 1.0 + whole * (1.0 - part) / part + (PART_ERROR * whole / part) ** 2
        for step in range(LAG_STEPS):
            end = moved - step * LAG_STEP_MS
            own = customer.drawn(end)[0] - customer.drawn(end - self.period)[0]
            self.errors[step] = self.errors[step] * LAG_KEEP + (own / part - whole) ** 2 / spread


class Customer:
    """What this gateway holds of one customer: the let-in share and an estimate of the store.

    The store estimate is an exception to the let-in share: for bursts that the store covers, spikes
    that the meter cannot tell yet and missing readings. It can hurt when our part is misjudged.
    """

    __slots__ = (
        "anchor",
        "asked",
        "asked_at",
        "born",
        "ceiling",
        "doors",
        "heard_at",
        "log",
        "out",
        "own",
        "plan",
        "read_at",
        "seen",
        "store",
        "usage",
        "used",
        "whole",
    )

    def __init__(self, plan: api.Plan, doors: int, now: float, born: float = 0.0) -> None:
        self.plan = plan
        self.doors = max(1, doors)
        self.store = TokenBucket(plan.rate, plan.burst, plan.burst, now)
        self.seen = self.used = 0.0  # weighted time metered, and units used in it
        self.asked, self.asked_at, self.born = 0.0, now, born
        # Alone within 1/doors of the ceiling; empty when this gateway started, as its last life may have
        # drawn all, and filled since then: nothing of this customer was sent on.
        began = min(born, now)
        self.ceiling = TokenBucket(
            plan.ceiling_rate / self.doors, plan.ceiling_depth / self.doors, 0.0, began
        )
        # Of own first sends: time, running sums of units, and of units with the others' share.
        self.log = [(-INF, 0.0, 0.0)]
        self.anchor = (plan.burst, now)  # store estimate at the end of the last metered period
        self.heard_at = self.read_at = -INF
        self.own = self.whole = 0.0
        self.usage: int | None = None
        self.out = 0

    def part(self) -> float:
        """Our part of the customer's traffic, learned from the meter; even before evidence."""
        prior = SHARE_PRIOR / self.doors
        return min(1.0, (self.own + prior) / (self.whole + SHARE_PRIOR))

    def share(self, now: float) -> float:
        """The let-in share: the rate over the use that readings, own tries and a thin guess foretell.

        All fade, so that what a rarely seen customer once did does not bind it (Gamma-Poisson).
        """
        if self.plan.rate <= 0:
            return min(1.0, 100.0 / (self.usage or 100.0))
        weight, rate = math.exp((self.read_at - now) / AGE_MS), self.plan.rate / 1000.0
        units = PRIOR_UNITS + self.used * weight + self.asked * math.exp((self.asked_at - now) / AGE_MS)
        watched = self.part() * AGE_MS * (1.0 - math.exp((self.born - now) / AGE_MS))
        return min(1.0, rate * (PRIOR_UNITS / (PRIOR_USE * rate) + self.seen * weight + watched) / units)

    def unseen(self) -> tuple[float, float]:
        """What the others draw in a burst's time for each own unit, and units a ms besides (as share)."""
        part, rate = self.part(), max(1e-9, self.plan.rate / 1000.0)
        weight = STORE_UNITS / (STORE_USE * rate) + part * self.plan.burst / rate
        return (1.0 - part) * self.plan.burst / rate / weight, (1.0 - part) * STORE_UNITS / weight

    def draw(self, now: float, units: float) -> None:
        """Book a first send: the others draw in proportion, unseen."""
        lump, besides = self.unseen()
        taken = units * (1.0 + lump)
        self.store.rate = self.plan.rate - 1000.0 * besides
        self.store.refill(now)
        self.store.level = max(-DEBT * self.plan.burst, self.store.level - taken)
        self.log.append((now, self.log[-1][1] + units, self.log[-1][2] + taken))
        half = len(self.log) // 2
        if half > 8 and self.log[half][0] < now - HISTORY_MS:
            del self.log[:half]
        if self.plan.ceiling_rate > 0:
            self.ceiling.level -= units

    def forgettable(self, now: float, pressed: bool) -> bool:
        """Whether one made anew would stand as this one does; when pressed the ceiling alone counts."""
        if self.out or self.ceiling.refill(now) < self.ceiling.depth:
            return False
        faded = self.asked * math.exp((self.asked_at - now) / AGE_MS)
        light = max(faded, self.whole) <= LIGHT_UNITS
        idle = now - self.asked_at >= (LIGHT_MS if light else FORGET_MS)
        return pressed or (idle and self.store.refill(now) >= self.store.depth)

    def drawn(self, until: float) -> tuple[float, float]:
        """Units of own first sends up to then, without and with the others', from some origin."""
        return self.log[max(0, bisect_right(self.log, (until, INF, INF)) - 1)][1:]

    def meter(self, now: float, usage: int, clock: MeterClock) -> None:
        """Take one reading a metered period: set the let-in share, mend the store estimate."""
        before, self.heard_at = self.heard_at, now
        if usage == self.usage and self.read_at >= clock.moved(now):
            return
        if usage != self.usage and self.usage is not None:
            clock.changed(before, now)
        then, last = max(THEN_LEAST, self.share(now)), self.read_at  # use is the outcome of that share
        self.usage, self.read_at, period = usage, now, clock.period
        start, end = clock.window(now)
        whole = usage / 100.0 * self.plan.rate * period / 1000.0
        keep = READING_KEEP * math.exp((last - now) / AGE_MS)
        self.seen = self.seen * keep + period
        self.used = self.used * keep + whole / then
        if self.plan.rate <= 0:
            return
        clock.learn(now, self, whole)
        own = self.drawn(end)[0] - self.drawn(start)[0]
        self.own = self.own * SHARE_KEEP + min(own, whole)
        self.whole = self.whole * SHARE_KEEP + whole
        self._anchor(now, start, end, whole)

    def _anchor(self, now: float, start: float, end: float, whole: float) -> None:
        """Replay the store: the metered use up to a period's end, our foretelling since then."""
        rate, burst = self.plan.rate / 1000.0, self.plan.burst
        level, at = self.anchor
        if start < at - (end - start) / 2:
            return
        taken = [self.drawn(t)[1] for t in (at, start, end)]
        net = rate - self.unseen()[1]
        level = min(burst, max(0.0, level + net * (start - at) - (taken[1] - taken[0])))
        level = min(burst, max(0.0, level + rate * (end - start) - whole))
        self.anchor = (level, end)
        left = level + net * (now - end) - (self.log[-1][2] - taken[2])
        self.store.level, self.store.at = min(burst, max(-DEBT * burst, left)), now

    def spares(self, now: float, units: float) -> bool:
        """Whether the store has so much left that these units will hardly be missed."""
        return self.plan.rate <= 0 or self.store.refill(now) - units >= SPARE * self.plan.burst

    def _kept(self, share: float, worth: float) -> float:
        """Units that a request leaves in the store for dearer ones, by its worth as a part of the dearest's.

        What a customer asks beyond its quota is refused anyhow; so it is the cheaper part. It also gives the
        estimate a margin. It hurts a customer that asks for cheap things alone: that much of its burst, and
        where it is beyond its quota a little of its rate, go unused.
        """
        over = KEPT_OVER * math.sqrt(1.0 - share)
        return (KEPT + over) * (1.0 - worth) * self.plan.burst

    def lets_in(self, now: float, units: float, dice: float, worth: float = 1.0) -> bool:
        """The let-in share; a store full enough passes without it where it rests on own sends."""
        share = self.share(now)
        self.asked = self.asked * math.exp((self.asked_at - now) / AGE_MS) + units
        self.asked_at = now
        if self.plan.parallel and self.out / self.part() >= self.plan.parallel and self.out:
            return False
        if self.plan.rate <= 0:
            return dice < share
        left = self.store.refill(now) - units - self._kept(share, worth)
        sure = self.part() * self.plan.burst >= OWN_LEAST and left >= SURE_ROOM * self.plan.burst
        return sure or (left >= 0.0 and dice < share)


# --- Server health and choice -------------------------------------------------------------------
@dataclass(slots=True)
class Attempt:
    number: int
    server: api.Server  # as it was then: it may be forgotten before the request is
    sent: float
    out: bool = True
    may_have_run: bool = True


@dataclass(slots=True)
class Peer:
    """A server as this gateway sees it."""

    entry: api.Server
    told_ms: float
    waiting: int = 0
    heard_ms: float = -INF
    suspect: bool = False
    retest_ms: float = 0.0
    backoff: int = 0
    errors: int = 0  # since its last good answer
    avoid_ms: float = -INF
    load: float = 0.0
    load_ms: float = -INF
    allowance: float = 0.0
    filled_ms: float = 0.0


class Fleet:
    """The list, health by silence, slow start of cold servers, and the choice among them."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.peers: dict[int, Peer] = {}
        self.ready: list[Peer] = []
        self.suspects: dict[int, Peer] = {}
        self.missed: dict[int, tuple[int, float]] = {}  # of a zone: failures since its last answer, when
        self.mean_ms = REFERENCE_MS
        self.usual = 0.0
        self.let_in: deque[float] = deque()

    def update(self, now: float, event: api.ServerList) -> None:
        """Apply a list event; a complete list drops what it does not name."""
        if event.kind is api.ListKind.FAILED:
            return
        named = {entry.id for entry in event.servers}
        if event.kind is not api.ListKind.DELTA:
            for known in self.peers.values():
                if known.entry.id not in named:
                    known.entry = replace(known.entry, state=ServerState.GONE)
        for entry in event.servers:
            peer = self.peers.get(entry.id)
            if peer is None or entry.started_ms > peer.entry.started_ms:
                # A new process: nothing known of the old one holds. Its first send is due at random,
                # so that hundreds of gateways, each of which earns less than one, add up to their part.
                waiting = peer.waiting if peer else 0
                self.peers[entry.id] = Peer(entry, now, waiting=waiting, allowance=self.rng.random())
            else:
                peer.entry = entry
        self.peers = {
            ident: peer
            for ident, peer in self.peers.items()
            if peer.entry.state is not ServerState.GONE or peer.waiting > 0
        }
        self.ready = [peer for peer in self.peers.values() if peer.entry.state is ServerState.READY]
        self.suspects = {peer.entry.id: peer for peer in self.ready if peer.suspect}

    def warmth(self, peer: Peer, now: float) -> float:
        """The part of its capacity a server surely has: from cold_from, evenly over cold_ms."""
        if peer.entry.started_ms <= 0 or self.settings.cold_ms <= 0:
            return 1.0
        age = max(0.0, now - peer.entry.started_ms) / self.settings.cold_ms
        return min(1.0, self.settings.cold_from + (1.0 - self.settings.cold_from) * age)

    def _fill(self, peer: Peer, now: float) -> float:
        """Slow start, for the cold rule: a cold server earns its warm part of a server's usual flow."""
        self.trim(now)
        flow = len(self.let_in) / WINDOW_MS / max(1, len(self.ready))
        gained = (now - max(peer.filled_ms, peer.told_ms)) * flow * COLD_PART * self.warmth(peer, now)
        peer.allowance = min(1.0, peer.allowance + gained)
        peer.filled_ms = now
        return peer.allowance

    def trim(self, now: float) -> None:
        while self.let_in and self.let_in[0] < now - WINDOW_MS:
            self.let_in.popleft()

    def usable(self, peer: Peer, now: float) -> bool:
        """Whether the drain and cold rules let a new attempt go to this server."""
        if peer.entry.state is not ServerState.READY:
            return False
        warm = self.warmth(peer, now)
        return warm >= 1.0 or (self._fill(peer, now) >= 1.0 and peer.waiting < 1 + 4 * warm)

    def cost(self, peer: Peer, now: float) -> float:
        """Least outstanding requests, weighed by size and what its reports say; a cold send due is due."""
        if self.warmth(peer, now) < 1.0:
            return 0.0
        size = max(1e-3, peer.entry.rating)
        fresh = max(0.0, 1.0 - (now - peer.load_ms) / REPORT_MS)
        load = self.usual + fresh * (peer.load - self.usual)  # no report is not idleness
        return (1.0 + peer.waiting + load) / size

    def choose(self, now: float, allowed: Callable[[Peer], bool], avoid: set[int]) -> Peer | None:
        """The cheapest of a few random servers, against herding; suspects only where no other is left."""

        def rank(peer: Peer) -> tuple[bool, float]:
            # A zone cut off or restarting at once: with many gateways nobody can try each of its servers.
            missed, last = self.missed.get(peer.entry.zone, (0, 0.0))
            cut = missed >= ZONE_MISSES and now < last + RETEST_MS
            shunned = (peer.suspect and now < peer.retest_ms) or peer.avoid_ms > now or peer.entry.id in avoid
            return shunned or cut, self.cost(peer, now)

        for pool in (self.rng.sample(self.ready, min(LOOKS, len(self.ready))), self.ready):
            fit = [(rank(peer), peer) for peer in pool if self.usable(peer, now) and allowed(peer)]
            best = min(fit, key=lambda pair: pair[0], default=None)
            if best and not best[0][0]:
                break
        return best[1] if best else None

    def heard(self, now: float, event: api.Outcome) -> None:
        """Learn from an attempt's end; any answer clears a suspicion."""
        if (peer := self.peers.get(event.server)) is None:
            return
        peer.waiting -= 1
        if peer.entry.state is ServerState.GONE:
            if peer.waiting <= 0:
                del self.peers[event.server]
            return
        if event.status in (Status.OK, Status.ERROR, Status.FULL):
            peer.heard_ms = now
            self.missed.pop(peer.entry.zone, None)
        if event.status in (Status.OK, Status.ERROR, Status.FULL, Status.RESET):
            # A reset may be the connection's own end; a process that died refuses the next one, too.
            if event.status is not Status.FULL:
                peer.errors = 0 if event.status is Status.OK else peer.errors + 1
            if peer.errors >= ERRORS:
                self.doubt(peer, now)
            elif event.status is not Status.RESET:
                self.clear(peer)
        # Silence while it had work is the sign of a vanished server, a refused connection of a lost one.
        silent = event.status is Status.TIMEOUT and peer.heard_ms < now - event.elapsed_ms
        if event.status is Status.FULL:
            peer.avoid_ms = now + FULL_MS
        elif silent or event.status is Status.CONNECT_FAILED:
            self.doubt(peer, now)
            self.missed[peer.entry.zone] = self.missed.get(peer.entry.zone, (0, now))[0] + 1, now
        self.report(now, event.server, event.report)

    def report(self, now: float, server: int, values: tuple[float, ...]) -> None:
        """Read a load report: requests in hand or queued, else how busy its cores are."""
        peer = self.peers.get(server)
        if peer is None or not values:
            return
        seen = dict(zip(self.settings.report_fields, values, strict=False))
        held = seen.get("inflight", seen.get("queue", 0.0))
        peer.load = held + BUSY_WEIGHT * min(1.0, seen.get("util", 0.0)) ** 2
        peer.load_ms = now
        self.usual += USUAL_PART * (peer.load - self.usual)

    def clear(self, peer: Peer) -> None:
        peer.suspect, peer.backoff = False, 0
        self.suspects.pop(peer.entry.id, None)

    def doubt(self, peer: Peer, now: float) -> None:
        peer.suspect = True
        self.suspects[peer.entry.id] = peer
        peer.retest_ms = now + RETEST_MS * 2 ** min(3, peer.backoff)
        peer.backoff += 1

    def all_slow(self) -> bool:
        """Whether most are suspect: a jam, whose time-outs are latencies. It hurts if most truly vanished."""
        return len(self.suspects) > FEW * len(self.ready)


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
