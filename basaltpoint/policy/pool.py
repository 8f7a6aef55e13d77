"""One pool: its servers, its two lanes of request classes, and the caps on requests outstanding per lane."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Sequence

from basaltpoint import interface as api
from basaltpoint.policy.server_health import ServerHealth
from basaltpoint.policy.server_set import LATENCY_WINDOW_MS, ServerSet
from basaltpoint.policy.thresholds import INF, find_thresholds

SILENCE_CHECK_INTERVAL_MS = 100.0  # how often silent servers are looked for
CAPS_UPDATE_INTERVAL_MS = 500.0  # load changes within seconds
MIN_COMPLETIONS = 10  # kept in the window whatever their age up to the maximum; with fewer the caps stay
MAX_COMPLETION_AGE_MS = 20000.0  # older completions do not describe the present load
# Added to a cap, times its square root: the counts of one limiter vary at random, their sum hardly does.
CAP_MARGIN_ROOTS = 1.5
MIN_LANE_CAP = 0.2  # requests; a closed lane would have no completions and could not open again
MEAN_AIM_FRACTION = 0.15  # bound on lane one's mean latency: most responses, not half, are to meet the aim
TIGHT_AIM_RATIO = 1.34  # times the tightest aim; classes with an aim up to this are in lane one
LANE_TWO_FLOORS = tuple(n / 10 for n in range(9, 1, -1))  # T as a fraction of lane two's arrivals, best first
# Maximum rise of the remembered light-load latency per update of the caps: it doubles in about 2 s.
LIGHT_LATENCY_RISE_RATIO = 1.3
MAX_SAMPLES = 120  # completions in the window; at a high rate the estimates follow changes sooner
LOSS_WINDOW_MS = 1500.0  # an overload builds up within it; older completions may still be fast
# Time-outs as a fraction of the attempts in that window, if the responses are fast. Between the two limits
# responses are being lost; above the second the back end itself fails, and retries would overload it further.
MIN_LOSS_FRACTION = 0.15
MAX_LOSS_FRACTION = 0.5
QUICK_AIM_FRACTION = 0.25  # of the tightest aim; responses are fast if three in four take less
# Of the time left; a retryable first attempt ends here while some responses are lost and few are late. Late
# is a response that takes more than this fraction of the tightest aim.
FIRST_ATTEMPT_FRACTION = 0.65
MAX_LATE_FRACTION = 0.01  # with more late responses the cause is load, to which a retry would add
MIN_STRAY_FRACTION = 0.02  # time-outs as a fraction of the responses; with fewer hardly any response is lost


def split_lanes(classes: Sequence[api.RequestClass]) -> list[int]:
    """Returns the lane of each class: 0 for the tight aims, 1 for the others.

    Classes of similar aims share lane 0, since a cap on one of them would cost more than it gains.
    """
    tightest = min((c.aim_ms for c in classes), default=0.0)
    return [0 if c.aim_ms <= TIGHT_AIM_RATIO * tightest else 1 for c in classes]


class Pool:
    """The servers, lanes and load estimates of one pool; customers and quotas are common to all pools.

    Times are in ms of the caller's clock. Rows of `latencies`, `timeouts` and `arrivals` begin with the time
    and the lane; the third value is the elapsed time in ms, or for an arrival its units.
    """

    def __init__(
        self, number: int, settings: api.Settings, rng: random.Random, healths: dict[int, ServerHealth]
    ) -> None:
        self.number = number
        self.servers = ServerSet(settings, rng, healths)
        self.update_settings(settings)
        self.caps: tuple[float, float] = (INF, INF)  # requests outstanding, by lane
        self.lane_outstanding = [0, 0]
        self.latencies: deque[tuple[float, int, float]] = deque()
        self.light_latencies_ms = [INF, INF, INF]  # at light load, of lane one, lane two and both
        self.arrivals: deque[tuple[float, int, float]] = deque()
        self.mean_outstanding, self.mean_updated_ms = 0.0, -INF
        self.first_arrival_ms = INF
        self.caps_updated_ms = self.silence_checked_ms = -INF
        self.timeouts: deque[tuple[float, int, float]] = deque()
        self.losing_responses = False  # many responses are lost though the others are fast
        # By request and attempt number: send time, lane, time-out and server.
        self.attempts_outstanding: dict[tuple[int, int], tuple[float, int, float, int]] = {}
        self.has_stray_losses = False  # some responses are lost though hardly any is late

    def update_settings(self, settings: api.Settings) -> None:
        """Applies settings; measurements are retained."""
        self.settings = self.servers.settings = settings
        classes = settings.pool_classes.get(
            self.number, () if settings.pool_classes else range(len(settings.classes))
        )
        self.lanes = dict(zip(classes, split_lanes([settings.classes[n] for n in classes]), strict=True))

    def tick(self, now: float) -> list[api.Action]:
        """Updates the mean number outstanding and, at their intervals, the silent servers and the caps."""
        actions: list[api.Action] = []
        smoothing = 1.0 - math.exp((self.mean_updated_ms - now) / LATENCY_WINDOW_MS)
        self.mean_outstanding, self.mean_updated_ms = (
            self.mean_outstanding + smoothing * (sum(self.lane_outstanding) - self.mean_outstanding),
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
            self._update_caps(now, actions)
            # One request per server is no overload. The caps scale with the mean number outstanding, so caps
            # that fell below that would keep the mean, and thereby themselves, low for good.
            total = sum(self.caps[lane] for lane in set(self.lanes.values()))
            factor = max(
                1.0, len(self.servers.ready) / max(1, self.settings.limiter_count) / max(total, 1e-9)
            )
            self.caps = (self.caps[0] * factor, self.caps[1] * factor)
        return actions

    def remaining_capacity(self, lane: int) -> float:
        """Requests that the lane may still accept; a value below one is the probability of accepting one."""
        return self.caps[lane] + CAP_MARGIN_ROOTS * math.sqrt(self.caps[lane]) - self.lane_outstanding[lane]

    def _light_load_latency(self, index: int, latencies: list[float]) -> float:
        """Returns the 10th-percentile latency in ms; a rise of it is followed only slowly.

        In an overload the fastest requests wait, too, and the load would be estimated too low. When requests
        really become heavier, the value is too low for some seconds.
        """
        if latencies:
            tenth = sorted(latencies)[len(latencies) // 10]
            self.light_latencies_ms[index] = min(
                tenth, self.light_latencies_ms[index] * LIGHT_LATENCY_RISE_RATIO
            )
        return self.light_latencies_ms[index] if self.light_latencies_ms[index] < INF else 0.0

    def _update_caps(self, now: float, actions: list[api.Action]) -> None:
        """Estimates the load from the window and sets the lane caps by the threshold search."""
        for queue, min_length in (
            (self.latencies, MIN_COMPLETIONS),
            (self.arrivals, MIN_COMPLETIONS),
            (self.timeouts, 0),
        ):
            while queue and queue[0][0] < now - (
                LATENCY_WINDOW_MS if len(queue) > min_length else MAX_COMPLETION_AGE_MS
            ):
                queue.popleft()
        if len(self.latencies) > MAX_SAMPLES:
            self.latencies = deque(list(self.latencies)[-MAX_SAMPLES:])
            self.timeouts = deque(row for row in self.timeouts if row[0] >= self.latencies[0][0])
        lanes: list[list[float]] = [[], []]
        aim = min(
            (self.settings.classes[n].aim_ms for n, lane in self.lanes.items() if lane == 0), default=INF
        )
        # Time-outs beside fast responses are lost responses: they do not count as load and a retry helps.
        # This includes vanished servers. It would add to an overload in which one class alone times out.
        latencies = sorted(elapsed for *_, elapsed in self.latencies)
        recent = sorted(elapsed for at, _, elapsed in self.latencies if at > now - LOSS_WINDOW_MS)
        lost = sum(1 for at, *_ in self.timeouts if at > now - LOSS_WINDOW_MS)
        loss_in_range = (
            MIN_LOSS_FRACTION * (lost + len(recent)) < lost <= MAX_LOSS_FRACTION * (lost + len(recent))
        )
        before, loss_in_range = self.losing_responses, loss_in_range and len(recent) > 3
        self.losing_responses = loss_in_range and recent[len(recent) * 3 // 4] < QUICK_AIM_FRACTION * aim
        late = sum(1 for elapsed in latencies if elapsed > FIRST_ATTEMPT_FRACTION * aim)
        enough_timeouts = len(self.timeouts) >= max(2.0, MIN_STRAY_FRACTION * len(latencies))
        self.has_stray_losses = (
            len(latencies) > MIN_COMPLETIONS
            and enough_timeouts
            and late <= MAX_LATE_FRACTION * len(latencies)
        )
        if self.losing_responses and not before:
            actions.append(
                api.Log(f"responses are lost: time-outs {len(self.timeouts)}, responses {len(latencies)}")
            )
        for _, lane, elapsed in [*self.latencies, *(() if self.losing_responses else self.timeouts)]:
            lanes[lane].append(elapsed)
        # Attempts outstanding for longer than the mean latency show an overload before any of them ends.
        for sent, lane, until, _ in () if self.losing_responses else self.attempts_outstanding.values():
            if now - sent > self.servers.mean_latency_ms:
                lanes[lane].append(min(now, until) - sent)
        both = sorted(lanes[0] + lanes[1])
        if both:
            self.servers.mean_latency_ms = max(1.0, sum(both) / len(both))
        if len(both) < MIN_COMPLETIONS:
            return
        self.servers.median_latency_ms = both[len(both) // 2]
        if not lanes[0]:
            return
        light = [self._light_load_latency(index, lane) for index, lane in enumerate(lanes)]
        load = 1.0 - self._light_load_latency(2, both) / self.servers.mean_latency_ms
        arrived = [lane for _, lane, _ in self.arrivals]
        rates = [arrived.count(index) for index in (0, 1)]
        weights = [rates[index] * light[index] for index in (0, 1)]
        if load <= 0 or sum(weights) <= 0 or light[0] <= 0:
            return
        rho = [load * weight / sum(weights) for weight in weights]
        searches = (
            find_thresholds(rho[0], rho[1], MEAN_AIM_FRACTION * aim / light[0], floor)
            for floor in LANE_TWO_FLOORS
        )
        found = next((pair for pair in searches if pair is not None), None)
        if found is None:
            return
        # The mean starts at zero; without this correction it and the caps would be too low for seconds.
        elapsed_fraction = 1.0 - math.exp((self.first_arrival_ms - now) / LATENCY_WINDOW_MS)
        scale = max(1e-3, self.mean_outstanding / elapsed_fraction * (1.0 - load) / load)
        caps = (max(MIN_LANE_CAP, found[0] * scale), max(MIN_LANE_CAP, found[1] * scale))
        if (min(caps) < INF) != (min(self.caps) < INF):
            actions.append(api.Log(f"lane caps {caps[0]:.1f}, {caps[1]:.1f} at load {load:.2f}"))
        self.caps = caps
