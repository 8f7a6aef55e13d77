"""Health of the generator: finds the intervals in which its measurements are unsound. Free of I/O.

A generator that gets too little CPU time sends late and reads late; both look like a slow limiter. Every turn
of the event loop is recorded, and an interval without a turn for too long is unsound.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UnsoundInterval:
    """An interval whose measurements do not count, in seconds from the start of the run."""

    from_s: float
    to_s: float
    reason: str

    def overlaps(self, from_s: float, to_s: float) -> bool:
        return self.from_s <= to_s and from_s <= self.to_s


class HealthMonitor:
    """Records event loop turns, late sends and steal time; keeps the unsound intervals sorted by time."""

    def __init__(self, max_lateness_s: float, max_turn_gap_s: float, max_steal_fraction: float) -> None:
        self._max_lateness_s, self._max_turn_gap_s, self._max_steal_fraction = (
            max_lateness_s,
            max_turn_gap_s,
            max_steal_fraction,
        )
        self._last_turn_s: float | None = None
        self.intervals: list[UnsoundInterval] = []

    def record_turn(self, now_s: float) -> None:
        """Records a turn of the event loop; must be called first in every turn, before any other record."""
        if self._last_turn_s is not None and now_s - self._last_turn_s > self._max_turn_gap_s:
            self._add(UnsoundInterval(self._last_turn_s, now_s, "the loop stood still"))
        self._last_turn_s = now_s

    def record_send(self, intended_s: float, now_s: float) -> None:
        """Records that an attempt was sent."""
        if now_s - intended_s > self._max_lateness_s:
            self._add(UnsoundInterval(intended_s, now_s, "sent late"))

    def record_steal(self, from_s: float, to_s: float, fraction: float) -> None:
        """Records the fraction of the host's CPU time that other virtual machines took (steal time)."""
        if fraction > self._max_steal_fraction:
            self._add(UnsoundInterval(from_s, to_s, f"{fraction:.0%} of the machine's time was taken"))

    def _add(self, interval: UnsoundInterval) -> None:
        """Adds an interval; merges it with the last one if they overlap, and keeps the earlier reason."""
        if self.intervals and interval.overlaps(self.intervals[-1].from_s, self.intervals[-1].to_s):
            last = self.intervals.pop()
            interval = UnsoundInterval(
                min(last.from_s, interval.from_s), max(last.to_s, interval.to_s), last.reason
            )
        self.intervals.append(interval)

    def is_sound(self, from_s: float, to_s: float) -> bool:
        """Whether no unsound interval overlaps this time.

        Scans backwards, since records arrive in order of their end.
        """
        for interval in reversed(self.intervals):
            if interval.overlaps(from_s, to_s):
                return False
            if interval.to_s < from_s:
                break
        return True


def merge_intervals(groups: list[list[UnsoundInterval]]) -> list[UnsoundInterval]:
    """Merges the intervals of several workers: the whole run is unsound while any worker is."""
    result: list[UnsoundInterval] = []
    for interval in sorted((s for group in groups for s in group), key=lambda s: (s.from_s, s.to_s)):
        if result and interval.overlaps(result[-1].from_s, result[-1].to_s):
            last = result.pop()
            interval = UnsoundInterval(last.from_s, max(last.to_s, interval.to_s), last.reason)
        result.append(interval)
    return result
