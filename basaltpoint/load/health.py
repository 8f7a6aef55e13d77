"""The generator's own health: for which spells its numbers don't count. Free of I/O.

A generator that was starved sends late and reads late, and both look like a slow limiter. Every turn of the
loop is noted; where none came for too long, the time between was nobody's.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Spell:
    """Numbers of this time don't count. Seconds from the run's start."""

    from_s: float
    to_s: float
    why: str

    def touches(self, from_s: float, to_s: float) -> bool:
        return self.from_s <= to_s and from_s <= self.to_s


class Watch:
    """Notes turns of the loop, late sends and stolen time; keeps the spells they make, in order."""

    def __init__(self, late_s: float, stall_s: float, steal: float) -> None:
        self._late_s, self._stall_s, self._steal = late_s, stall_s, steal
        self._last: float | None = None
        self.spells: list[Spell] = []

    def beat(self, now_s: float) -> None:
        """A turn of the loop; called first in every one, before anything is recorded in it."""
        if self._last is not None and now_s - self._last > self._stall_s:
            self._add(Spell(self._last, now_s, "the loop stood still"))
        self._last = now_s

    def sent(self, intended_s: float, now_s: float) -> None:
        """A try went out."""
        if now_s - intended_s > self._late_s:
            self._add(Spell(intended_s, now_s, "sent late"))

    def stolen(self, from_s: float, to_s: float, part: float) -> None:
        """What part of the machine's time others took in between, as its counters say."""
        if part > self._steal:
            self._add(Spell(from_s, to_s, f"{part:.0%} of the machine's time was taken"))

    def _add(self, spell: Spell) -> None:
        """Join it with the last one where they meet; the first reason names the whole."""
        if self.spells and spell.touches(self.spells[-1].from_s, self.spells[-1].to_s):
            last = self.spells.pop()
            spell = Spell(min(last.from_s, spell.from_s), max(last.to_s, spell.to_s), last.why)
        self.spells.append(spell)

    def sound(self, from_s: float, to_s: float) -> bool:
        """Whether no spell touches this time. The latest come first: records come in order of ends."""
        for spell in reversed(self.spells):
            if spell.touches(from_s, to_s):
                return False
            if spell.to_s < from_s:
                break
        return True


def merged(groups: list[list[Spell]]) -> list[Spell]:
    """The spells of several processes as one list: where any was starved, the whole run's numbers are."""
    made: list[Spell] = []
    for spell in sorted((s for group in groups for s in group), key=lambda s: (s.from_s, s.to_s)):
        if made and spell.touches(made[-1].from_s, made[-1].to_s):
            last = made.pop()
            spell = Spell(last.from_s, max(last.to_s, spell.to_s), last.why)
        made.append(spell)
    return made
