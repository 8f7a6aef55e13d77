"""What a run came to: counts and latencies by plan and class and by second; parts of it can be joined.

Every request is counted; no latency is sampled. Histograms are HDR (Gil Tene's, three digits), from 1 us to
an hour. Beside those of all requests stand those of requests during which the generator was well.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from typing import Any

from hdrh.histogram import HdrHistogram

from basaltpoint.load.driver import End, Record
from basaltpoint.load.health import Spell, merged

LOWEST_US, HIGHEST_US, DIGITS = 1, 3_600_000_000, 3
BUCKETS_A_TENFOLD = 24  # of the seconds' small histograms: 10% wide, enough for a plot
MOST_ODD = 1000  # odd things told by id; further ones are counted
QUANTILES = (50.0, 90.0, 99.0, 99.9)


def histogram() -> Any:
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def _us(seconds: float) -> int:
    return min(HIGHEST_US, max(LOWEST_US, round(seconds * 1e6)))


class Second:
    """One second of the run, by the intended starts of its requests."""

    __slots__ = ("buckets", "ends", "most_us")

    def __init__(self) -> None:
        self.ends: Counter[str] = Counter()
        self.buckets: Counter[int] = Counter()
        self.most_us = 0

    def add(self, end: End, latency_s: float) -> None:
        self.ends[end.value] += 1
        if end in (End.SERVED, End.LATE):
            value = _us(latency_s)
            self.buckets[round(math.log10(value) * BUCKETS_A_TENFOLD)] += 1
            self.most_us = max(self.most_us, value)

    def quantile_ms(self, part: float) -> float | None:
        """A latency that this part of the answers kept to; None where none came."""
        total = sum(self.buckets.values())
        seen = 0
        for bucket in sorted(self.buckets):
            seen += self.buckets[bucket]
            if seen >= part * total:
                return float(10 ** (bucket / BUCKETS_A_TENFOLD) / 1000)
        return None


class Stats:
    """A Recorder whose state can be packed, sent and joined with that of another process."""

    def __init__(self) -> None:
        self.ends: defaultdict[tuple[str, str], Counter[str]] = defaultdict(Counter)
        self.latency: dict[str, Any] = {}  # by "plan/class", and "" for all
        self.sound = histogram()  # of all requests during which the generator was well
        self.service = histogram()
        self.lateness = histogram()
        self.sends = self.late_sends = 0
        self.seconds: defaultdict[int, Second] = defaultdict(Second)
        self.odd_total = 0
        self.odds: list[tuple[str, str]] = []
        self.spells: list[Spell] = []

    # --- Recorder -----------------------------------------------------------------------------
    def record(self, record: Record) -> None:
        planned = record.planned
        ends = self.ends[planned.plan, planned.cls]
        ends[record.end.value] += 1
        ends["tries"] += record.tries
        ends["answers"] += record.answers
        if not record.sound:
            ends["unsound"] += 1
        if record.end is End.NONE:
            self.odd(str(planned.number), "no answer until it was given up")
        self.seconds[int(planned.at_s)].add(record.end, record.latency_s)
        if record.end in (End.SERVED, End.LATE):
            value = _us(record.latency_s)
            for name in ("", f"{planned.plan}/{planned.cls}"):
                if name not in self.latency:
                    self.latency[name] = histogram()
                self.latency[name].record_value(value)
            self.service.record_value(_us(record.service_s))
            if record.sound:
                self.sound.record_value(value)

    def sent(self, lateness_s: float, sound: bool) -> None:
        self.sends += 1
        self.late_sends += not sound
        self.lateness.record_value(_us(lateness_s))

    def tried(self, request: int, number: int, answers: int, hung_up: bool) -> None:
        """Tries are the ledger's."""

    def odd(self, ident: str, what: str) -> None:
        self.odd_total += 1
        if len(self.odds) < MOST_ODD:
            self.odds.append((ident, what))

    # --- Between processes ----------------------------------------------------------------------
    def pack(self) -> dict[str, Any]:
        """All of it as plain data."""
        return {
            "ends": [[plan, cls, dict(ends)] for (plan, cls), ends in self.ends.items()],
            "latency": {name: one.encode().decode() for name, one in self.latency.items()},
            "sound": self.sound.encode().decode(),
            "service": self.service.encode().decode(),
            "lateness": self.lateness.encode().decode(),
            "sends": [self.sends, self.late_sends],
            "seconds": {
                str(at): [dict(s.ends), [[b, n] for b, n in s.buckets.items()], s.most_us]
                for at, s in self.seconds.items()
            },
            "odd": [self.odd_total, self.odds],
            "spells": [[s.from_s, s.to_s, s.why] for s in self.spells],
        }

    def join(self, packed: dict[str, Any]) -> None:
        """Add what another process packed."""
        for plan, cls, ends in packed["ends"]:
            self.ends[plan, cls].update(ends)
        for name, encoded in packed["latency"].items():
            self.latency.setdefault(name, histogram()).decode_and_add(encoded.encode())
        for name in ("sound", "service", "lateness"):
            getattr(self, name).decode_and_add(packed[name].encode())
        self.sends += packed["sends"][0]
        self.late_sends += packed["sends"][1]
        for at, (ends, buckets, most) in packed["seconds"].items():
            second = self.seconds[int(at)]
            second.ends.update(ends)
            second.buckets.update(dict(buckets))
            second.most_us = max(second.most_us, most)
        self.odd_total += packed["odd"][0]
        self.odds = [*self.odds, *(tuple(pair) for pair in packed["odd"][1])][:MOST_ODD]
        self.spells = merged([self.spells, [Spell(*row) for row in packed["spells"]]])


def quantiles_ms(one: Any) -> dict[str, float]:
    """The usual percentiles of a histogram, in milliseconds."""
    if not one.get_total_count():
        return {}
    found = {f"p{q:g}": one.get_value_at_percentile(q) / 1000 for q in QUANTILES}
    return {**found, "max": one.get_max_value() / 1000, "mean": one.get_mean_value() / 1000}
