"""Results of a run: counts and latencies by plan and class and by second; results of workers can be merged.

Every request is counted; no latency is sampled. Histograms are HDR histograms (Gil Tene) with three digits,
from 1 us to one hour. There is a separate histogram of the requests during which the generator was sound.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from typing import Any

from hdrh.histogram import HdrHistogram

from basaltpoint.load.driver import Outcome, RequestRecord
from basaltpoint.load.health import UnsoundInterval, merge_intervals

MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS = 1, 3_600_000_000, 3
BUCKETS_PER_DECADE = 24  # of the histograms per second: buckets 10% wide, enough for a plot
MAX_ANOMALIES = 1000  # kept with their id; further ones are only counted
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def new_histogram() -> Any:
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def _to_us(seconds: float) -> int:
    return min(MAX_LATENCY_US, max(MIN_LATENCY_US, round(seconds * 1e6)))


class SecondStats:
    """Results of one second of the run; requests belong to the second of their intended start."""

    __slots__ = ("buckets", "max_us", "outcomes")

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.buckets: Counter[int] = Counter()
        self.max_us = 0

    def add(self, outcome: Outcome, latency_s: float) -> None:
        self.outcomes[outcome.value] += 1
        if outcome in (Outcome.SERVED, Outcome.LATE):
            value = _to_us(latency_s)
            self.buckets[round(math.log10(value) * BUCKETS_PER_DECADE)] += 1
            self.max_us = max(self.max_us, value)

    def quantile_ms(self, fraction: float) -> float | None:
        """Returns the latency that this fraction of the responses did not exceed; None without responses."""
        total = sum(self.buckets.values())
        counted = 0
        for bucket in sorted(self.buckets):
            counted += self.buckets[bucket]
            if counted >= fraction * total:
                return float(10 ** (bucket / BUCKETS_PER_DECADE) / 1000)
        return None


class Stats:
    """A Recorder whose state can be packed, sent and merged with that of another process."""

    def __init__(self) -> None:
        self.outcomes: defaultdict[tuple[str, str], Counter[str]] = defaultdict(Counter)
        self.latency: dict[str, Any] = {}  # by "plan/class", and "" for all
        self.sound = new_histogram()  # latency of the requests during which the generator was sound
        self.service = new_histogram()
        self.lateness = new_histogram()
        self.sends = self.unsound_sends = 0
        self.seconds: defaultdict[int, SecondStats] = defaultdict(SecondStats)
        self.anomaly_count = 0
        self.anomalies: list[tuple[str, str]] = []
        self.unsound_intervals: list[UnsoundInterval] = []

    # --- Recorder -----------------------------------------------------------------------------
    def record_request(self, record: RequestRecord) -> None:
        planned = record.planned
        outcomes = self.outcomes[planned.plan, planned.class_name]
        outcomes[record.outcome.value] += 1
        outcomes["tries"] += record.attempts
        outcomes["answers"] += record.answers
        if not record.is_sound:
            outcomes["unsound"] += 1
        if record.outcome is Outcome.NONE:
            self.record_anomaly(str(planned.number), "no answer until it was given up")
        self.seconds[int(planned.intended_s)].add(record.outcome, record.latency_s)
        if record.outcome in (Outcome.SERVED, Outcome.LATE):
            value = _to_us(record.latency_s)
            for name in ("", f"{planned.plan}/{planned.class_name}"):
                if name not in self.latency:
                    self.latency[name] = new_histogram()
                self.latency[name].record_value(value)
            self.service.record_value(_to_us(record.service_s))
            if record.is_sound:
                self.sound.record_value(value)

    def record_send(self, lateness_s: float, is_sound: bool) -> None:
        self.sends += 1
        self.unsound_sends += not is_sound
        self.lateness.record_value(_to_us(lateness_s))

    def record_attempt(self, request: int, number: int, answers: int, hung_up: bool) -> None:
        """Does nothing; attempts are recorded in the ledger only."""

    def record_anomaly(self, ident: str, what: str) -> None:
        self.anomaly_count += 1
        if len(self.anomalies) < MAX_ANOMALIES:
            self.anomalies.append((ident, what))

    # --- Between processes ----------------------------------------------------------------------
    def pack(self) -> dict[str, Any]:
        """Returns the results as plain data."""
        return {
            "ends": [[plan, cls, dict(outcomes)] for (plan, cls), outcomes in self.outcomes.items()],
            "latency": {name: histogram.encode().decode() for name, histogram in self.latency.items()},
            "sound": self.sound.encode().decode(),
            "service": self.service.encode().decode(),
            "lateness": self.lateness.encode().decode(),
            "sends": [self.sends, self.unsound_sends],
            "seconds": {
                str(number): [dict(s.outcomes), [[b, n] for b, n in s.buckets.items()], s.max_us]
                for number, s in self.seconds.items()
            },
            "odd": [self.anomaly_count, self.anomalies],
            "spells": [[s.from_s, s.to_s, s.reason] for s in self.unsound_intervals],
        }

    def merge(self, packed: dict[str, Any]) -> None:
        """Adds the packed results of another process."""
        for plan, cls, outcomes in packed["ends"]:
            self.outcomes[plan, cls].update(outcomes)
        for name, encoded in packed["latency"].items():
            self.latency.setdefault(name, new_histogram()).decode_and_add(encoded.encode())
        for name in ("sound", "service", "lateness"):
            getattr(self, name).decode_and_add(packed[name].encode())
        self.sends += packed["sends"][0]
        self.unsound_sends += packed["sends"][1]
        for number, (outcomes, buckets, max_us) in packed["seconds"].items():
            second = self.seconds[int(number)]
            second.outcomes.update(outcomes)
            second.buckets.update(dict(buckets))
            second.max_us = max(second.max_us, max_us)
        self.anomaly_count += packed["odd"][0]
        self.anomalies = [*self.anomalies, *(tuple(pair) for pair in packed["odd"][1])][:MAX_ANOMALIES]
        self.unsound_intervals = merge_intervals(
            [self.unsound_intervals, [UnsoundInterval(*row) for row in packed["spells"]]]
        )


def percentiles_ms(histogram: Any) -> dict[str, float]:
    """Returns the usual percentiles, maximum and mean of a histogram, in milliseconds."""
    if not histogram.get_total_count():
        return {}
    found = {f"p{q:g}": histogram.get_value_at_percentile(q) / 1000 for q in PERCENTILES}
    return {**found, "max": histogram.get_max_value() / 1000, "mean": histogram.get_mean_value() / 1000}
