"""The generator's own health: for which spells its numbers don't count. Free of I/O.

A generator that was starved sends late and reads late, and both look like a slow limiter. Every turn of the
loop is noted; where none came for too long, the time between was nobody's.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UnsoundInterval:
    """Numbers of this time don't count. Seconds from the run's start."""

    from_s: float
    to_s: float
    reason: str

    def overlaps(self, from_s: float, to_s: float) -> bool:
        return self.from_s <= to_s and from_s <= self.to_s


class HealthMonitor:
    """Notes turns of the loop, late sends and stolen time; keeps the spells they make, in order."""

    def __init__(self, max_lateness_s: float, max_turn_gap_s: float, max_steal_fraction: float) -> None:
        self._max_lateness_s, self._max_turn_gap_s, self._max_steal_fraction = (
            max_lateness_s,
            max_turn_gap_s,
            max_steal_fraction,
        )
        self._last_turn_s: float | None = None
        self.intervals: list[UnsoundInterval] = []

    def record_turn(self, now_s: float) -> None:
        """A turn of the loop; called first in every one, before anything is recorded in it."""
        if self._last_turn_s is not None and now_s - self._last_turn_s > self._max_turn_gap_s:
            self._add(UnsoundInterval(self._last_turn_s, now_s, "the loop stood still"))
        self._last_turn_s = now_s

    def record_send(self, intended_s: float, now_s: float) -> None:
        """A try went out."""
        if now_s - intended_s > self._max_lateness_s:
            self._add(UnsoundInterval(intended_s, now_s, "sent late"))

    def record_steal(self, from_s: float, to_s: float, fraction: float) -> None:
        """What part of the machine's time others took in between, as its counters say."""
        if fraction > self._max_steal_fraction:
            self._add(UnsoundInterval(from_s, to_s, f"{fraction:.0%} of the machine's time was taken"))

    def _add(self, interval: UnsoundInterval) -> None:
        """Join it with the last one where they meet; the first reason names the whole."""
        if self.intervals and interval.overlaps(self.intervals[-1].from_s, self.intervals[-1].to_s):
            last = self.intervals.pop()
            interval = UnsoundInterval(
                min(last.from_s, interval.from_s), max(last.to_s, interval.to_s), last.reason
            )
        self.intervals.append(interval)

    def is_sound(self, from_s: float, to_s: float) -> bool:
        """Whether no spell touches this time. The latest come first: records come in order of ends."""
        for interval in reversed(self.intervals):
            if interval.overlaps(from_s, to_s):
                return False
            if interval.to_s < from_s:
                break
        return True


def merge_intervals(groups: list[list[UnsoundInterval]]) -> list[UnsoundInterval]:
    """The spells of several processes as one list: where any was starved, the whole run's numbers are."""
    result: list[UnsoundInterval] = []
    for interval in sorted((s for group in groups for s in group), key=lambda s: (s.from_s, s.to_s)):
        if result and interval.overlaps(result[-1].from_s, result[-1].to_s):
            last = result.pop()
            interval = UnsoundInterval(last.from_s, max(last.to_s, interval.to_s), last.reason)
        result.append(interval)
    return result
