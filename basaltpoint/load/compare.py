"""Differences between two reports, with confidence intervals from repeated runs. Free of I/O.

The interval is a bootstrap of the difference of means (Efron, 1979) with a fixed seed, because there are few
runs and their figures are not normally distributed. With fewer than three runs on a side there is no
interval.
"""

from __future__ import annotations

import random
import statistics
from dataclasses import dataclass
from typing import Any

BOOTSTRAP_ROUNDS = 4000
CONFIDENCE_LEVEL = 0.95
MIN_RUNS = 3

FIGURES: tuple[tuple[str, tuple[str, ...]], ...] = (
    ("in time, part", ("total", "in_time")),
    ("refused", ("total", "refused")),
    ("failed", ("total", "failed")),
    ("no answer", ("total", "none")),
    ("answers a request", ("total", "answers_per_request")),
    ("worst 10 s, part in time", ("worst", "in_time")),
    ("p50 ms", ("latency_ms", "all", "p50")),
    ("p99 ms", ("latency_ms", "all", "p99")),
    ("p99.9 ms", ("latency_ms", "all", "p99.9")),
    ("sent late, p99 ms", ("lateness_ms", "p99")),
)


@dataclass(frozen=True, slots=True)
class Difference:
    """One figure of both reports. `low` and `high` bound the difference; None with too few runs."""

    name: str
    before: float
    after: float
    low: float | None
    high: float | None

    @property
    def is_significant(self) -> bool:
        """Whether the interval excludes zero, so that variation among runs does not explain it."""
        return self.low is not None and self.high is not None and (self.low > 0 or self.high < 0)


def find_figure(run: dict[str, Any], path: tuple[str, ...]) -> float | None:
    value: Any = run
    for key in path:
        value = value.get(key) if isinstance(value, dict) else None
    return float(value) if isinstance(value, int | float) else None


def compare(before: list[dict[str, Any]], after: list[dict[str, Any]]) -> list[Difference]:
    """Returns the difference of each figure that both reports have."""
    found = []
    for name, path in FIGURES:
        before_values = [value for run in before if (value := find_figure(run, path)) is not None]
        after_values = [value for run in after if (value := find_figure(run, path)) is not None]
        if before_values and after_values:
            low, high = confidence_interval(before_values, after_values)
            found.append(
                Difference(name, statistics.fmean(before_values), statistics.fmean(after_values), low, high)
            )
    return found


def confidence_interval(a: list[float], b: list[float]) -> tuple[float | None, float | None]:
    """Returns bounds of the difference of means at CONFIDENCE_LEVEL, widened for few runs."""
    if min(len(a), len(b)) < MIN_RUNS:
        return None, None
    rng = random.Random(1)
    deltas = sorted(
        statistics.fmean(rng.choices(b, k=len(b))) - statistics.fmean(rng.choices(a, k=len(a)))
        for _ in range(BOOTSTRAP_ROUNDS)
    )
    cut = int(BOOTSTRAP_ROUNDS * (1 - CONFIDENCE_LEVEL) / 2)
    center = statistics.fmean(b) - statistics.fmean(a)
    # The bootstrap interval of n values is too narrow by the factor sqrt(n / (n - 1)).
    n = min(len(a), len(b))
    widening = (n / (n - 1)) ** 0.5
    return center + (deltas[cut] - center) * widening, center + (deltas[-1 - cut] - center) * widening


def text(differences: list[Difference]) -> str:
    lines = [f"{'':26} {'before':>12} {'after':>12} {'change':>12}  {CONFIDENCE_LEVEL:.0%} of chance"]
    for difference in differences:
        bounds = (
            "too few runs" if difference.low is None else f"{difference.low:+.4g} to {difference.high:+.4g}"
        )
        mark = "  SURE" if difference.is_significant else ""
        change = difference.after - difference.before
        lines.append(
            f"{difference.name:26} {difference.before:12.4g} {difference.after:12.4g} "
            f"{change:+12.4g}  {bounds}{mark}"
        )
    return "\n".join(lines)
