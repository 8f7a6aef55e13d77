"""One pool of servers: its fleet, the two lanes, their windows and the caps that the search finds."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Sequence

from basaltpoint import interface as api
from basaltpoint.policy.server_health import ServerHealth
from basaltpoint.policy.server_set import LATENCY_WINDOW_MS, ServerSet
from basaltpoint.policy.thresholds import INF, find_thresholds

# --- Constants: unit, reason -------------------------------------------------------------------
SILENCE_CHECK_INTERVAL_MS = (
    100.0  # ms; how often it is looked for servers that have fallen silent under what is out there
)
CAPS_UPDATE_INTERVAL_MS = 500.0  # ms; thresholds follow a load that moves in seconds
MIN_COMPLETIONS = (
    10  # completions that the window holds at least, however old; below, the last thresholds stay
)
MAX_COMPLETION_AGE_MS = 20000.0  # ms; older ones say nothing of now
CAP_MARGIN_ROOTS = 1.5  # roots of a threshold that chance may add: own small counts swing, their sum hardly
MIN_LANE_CAP = 0.2  # requests; a lane is never shut: without completions it could not open again
MEAN_AIM_FRACTION = 0.15  # of lane one's aim as bound on the mean: most answers, not half, shall be within it
TIGHT_AIM_RATIO = 1.34  # times the tightest aim: what still counts as tight; nearer aims are one lane
LANE_TWO_FLOORS = tuple(n / 10 for n in range(9, 1, -1))  # of lane two's arrivals as T: the highest feasible
LIGHT_LATENCY_RISE_RATIO = (
    1.3  # a rerun; how fast the remembered light-load latency may rise: doubles in some 2 s
)
MAX_SAMPLES = 120  # answers that the window holds at most; where many come, it follows the sooner for it
LOSS_WINDOW_MS = 1500.0  # ms; a jam fills within one, and answers from before it are quick
MIN_LOSS_FRACTION = (
    0.15  # of the attempts in that time; with more time-outs though answers come quickly, answers get lost
)
MAX_LOSS_FRACTION = 0.5  # of the same; with more it is the back end that is lost, and trying more buries it
QUICK_AIM_FRACTION = 0.25  # of the tightest aim; three in four answers within it are quick
FIRST_ATTEMPT_FRACTION = (
    0.65  # of the time left; repeatable work is given up then while more is lost than is late
)
MAX_LATE_FRACTION = 0.01  # of the recent answers may be late then: else it is load, and one more try feeds it
MIN_STRAY_FRACTION = 0.02  # of the recent attempts; with fewer time-outs hardly an answer gets lost


def split_lanes(classes: Sequence[api.RequestClass]) -> list[int]:
    """Lane 0 holds the tight aims; aims that hardly differ share it, as squeezing equals loses more."""
    tightest = min((c.aim_ms for c in classes), default=0.0)
    return [0 if c.aim_ms <= TIGHT_AIM_RATIO * tightest else 1 for c in classes]


class Pool:
    """What one pool's requests wait for; customers and their quotas are the gateway's."""

    def __init__(
        self, number: int, settings: api.Settings, rng: random.Random, healths: dict[int, ServerHealth]
    ) -> None:
        self.number = number
        self.servers = ServerSet(settings, rng, healths)
        self.update_settings(settings)
        self.caps: tuple[float, float] = (INF, INF)
        self.lane_outstanding = [0, 0]
        self.latencies: deque[tuple[float, int, float]] = deque()
        self.light_latencies_ms = [INF, INF, INF]  # light-load latency of lane one, lane two and both
        self.arrivals: deque[tuple[float, int, float]] = deque()
        self.mean_outstanding, self.mean_updated_ms = 0.0, -INF
        self.first_arrival_ms = INF  # when the first request came
        self.caps_updated_ms = self.silence_checked_ms = -INF
        self.timeouts: deque[tuple[float, int, float]] = deque()  # as latencies, of time-outs
        self.losing_responses = False
        self.attempts_outstanding: dict[
            tuple[int, int], tuple[float, int, float, int]
        ] = {}  # sent, lane, time-out, server
        self.has_stray_losses = False  # some answers get lost though hardly one is late

    def update_settings(self, settings: api.Settings) -> None:
        """Take up settings; what was measured stays."""
        self.settings = self.servers.settings = settings
        own = settings.pool_classes.get(
            self.number, () if settings.pool_classes else range(len(settings.classes))
        )
        self.lanes = dict(zip(own, split_lanes([settings.classes[n] for n in own]), strict=True))

    def tick(self, now: float) -> list[api.Action]:
        """Keep the mean count out, and the caps as old as RERUN_MS at most."""
        actions: list[api.Action] = []
        gone = 1.0 - math.exp((self.mean_updated_ms - now) / LATENCY_WINDOW_MS)
        self.mean_outstanding, self.mean_updated_ms = (
            self.mean_outstanding + gone * (sum(self.lane_outstanding) - self.mean_outstanding),
            now,
        )
        if now - self.silence_checked_ms >= SILENCE_CHECK_INTERVAL_MS:
            self.silence_checked_ms = now
            self.servers.update_silent(
                now, ((sent, server) for sent, _, _, server in self.attempts_outstanding.values())
            )
        if now - self.caps_updated_ms >= CAPS_UPDATE_INTERVAL_MS:
            self.caps_updated_ms = now
            self.servers.mean_outstanding = self.mean_outstanding
            self.servers.choose_subset()
            self._rerun(now, actions)
            # One request a server is no jam, and caps that went on falling in one would hold its mean count
            # down for good: by the search's scale, caps follow what is out.
            whole = sum(self.caps[lane] for lane in set(self.lanes.values()))
            up = max(1.0, len(self.servers.ready) / max(1, self.settings.limiter_count) / max(whole, 1e-9))
            self.caps = (self.caps[0] * up, self.caps[1] * up)
        return actions

    def remaining_capacity(self, lane: int) -> float:
        """Requests that the lane may take still; below one, the chance that it takes one more."""
        return self.caps[lane] + CAP_MARGIN_ROOTS * math.sqrt(self.caps[lane]) - self.lane_outstanding[lane]

    def _light(self, which: int, latencies: list[float]) -> float:
        """The 10th-percentile latency, remembered through a jam, where it waits too and load reads low.
        It hurts, for some seconds, where requests truly become heavier."""
        if latencies:
            tenth = sorted(latencies)[len(latencies) // 10]
            self.light_latencies_ms[which] = min(
                tenth, self.light_latencies_ms[which] * LIGHT_LATENCY_RISE_RATIO
            )
        return self.light_latencies_ms[which] if self.light_latencies_ms[which] < INF else 0.0

    def _rerun(self, now: float, actions: list[api.Action]) -> None:
        """Estimate the load from the window and set the lane caps by the search."""
        for queue, least in (
            (self.latencies, MIN_COMPLETIONS),
            (self.arrivals, MIN_COMPLETIONS),
            (self.timeouts, 0),
        ):
            while queue and queue[0][0] < now - (
                LATENCY_WINDOW_MS if len(queue) > least else MAX_COMPLETION_AGE_MS
            ):
                queue.popleft()
        if len(self.latencies) > MAX_SAMPLES:
            self.latencies = deque(list(self.latencies)[-MAX_SAMPLES:])
            self.timeouts = deque(each for each in self.timeouts if each[0] >= self.latencies[0][0])
        lanes: list[list[float]] = [[], []]
        aim = min(
            (self.settings.classes[n].aim_ms for n, lane in self.lanes.items() if lane == 0), default=INF
        )
        # Lost answers are told from a jam by the others, which come quickly: no load, worth another try.
        # It also covers vanished servers; it would feed a jam whose time-outs are one class's alone.
        quick = sorted(elapsed for *_, elapsed in self.latencies)
        recent = sorted(elapsed for at, _, elapsed in self.latencies if at > now - LOSS_WINDOW_MS)
        lost = sum(1 for at, *_ in self.timeouts if at > now - LOSS_WINDOW_MS)
        heavy = MIN_LOSS_FRACTION * (lost + len(recent)) < lost <= MAX_LOSS_FRACTION * (lost + len(recent))
        before, heavy = self.losing_responses, heavy and len(recent) > 3
        self.losing_responses = heavy and recent[len(recent) * 3 // 4] < QUICK_AIM_FRACTION * aim
        late = sum(1 for elapsed in quick if elapsed > FIRST_ATTEMPT_FRACTION * aim)
        enough = len(self.timeouts) >= max(2.0, MIN_STRAY_FRACTION * len(quick))
        self.has_stray_losses = (
            len(quick) > MIN_COMPLETIONS and enough and late <= MAX_LATE_FRACTION * len(quick)
        )
        if self.losing_responses and not before:
            actions.append(api.Log(f"answers get lost: {len(self.timeouts)} beside {len(quick)}"))
        for _, lane, elapsed in [*self.latencies, *(() if self.losing_responses else self.timeouts)]:
            lanes[lane].append(elapsed)
        # What is out for longer than most take tells of a jam before any of it ends.
        for sent, lane, until, _ in () if self.losing_responses else self.attempts_outstanding.values():
            if now - sent > self.servers.mean_latency_ms:
                lanes[lane].append(min(now, until) - sent)
        every = sorted(lanes[0] + lanes[1])
        if every:
            self.servers.mean_latency_ms = max(1.0, sum(every) / len(every))
        if len(every) < MIN_COMPLETIONS:
            return
        self.servers.median_latency_ms = every[len(every) // 2]
        if not lanes[0]:
            return
        low = [self._light(which, lane) for which, lane in enumerate(lanes)]
        load = 1.0 - self._light(2, every) / self.servers.mean_latency_ms
        asked = [lane for _, lane, _ in self.arrivals]
        rates = [asked.count(which) for which in (0, 1)]
        weight = [rates[which] * low[which] for which in (0, 1)]
        if load <= 0 or sum(weight) <= 0 or low[0] <= 0:
            return
        rho = [load * part / sum(weight) for part in weight]
        tries = (
            find_thresholds(rho[0], rho[1], MEAN_AIM_FRACTION * aim / low[0], floor)
            for floor in LANE_TWO_FLOORS
        )
        found = next((pair for pair in tries if pair is not None), None)
        if found is None:
            return
        # Counted from nothing the mean would be low for seconds, and the caps with it.
        counted = 1.0 - math.exp((self.first_arrival_ms - now) / LATENCY_WINDOW_MS)
        scale = max(1e-3, self.mean_outstanding / counted * (1.0 - load) / load)
        caps = (max(MIN_LANE_CAP, found[0] * scale), max(MIN_LANE_CAP, found[1] * scale))
        if (min(caps) < INF) != (min(self.caps) < INF):
            actions.append(api.Log(f"lane caps {caps[0]:.1f} {caps[1]:.1f} at load {load:.2f}"))
        self.caps = caps
