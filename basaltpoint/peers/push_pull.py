"""Full exchanges: views that differ are brought together, also with those that are held dead."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence

from basaltpoint.peers.messages import MAX_RECORDS_PER_MESSAGE, MemberRecord, MemberState, Message, PushPull
from basaltpoint.peers.options import MembershipOptions
from basaltpoint.peers.view import MembershipView, precedence

AT_ONCE = 4  # answers in several parts under way; of more the oldest is forgotten, and asked for again later

Told = tuple[str, tuple[int, int, int, int]]


def told(row: MemberRecord) -> Told:
    """What tells a row apart from others, but for who accuses."""
    return row.name, precedence(row)


class Exchange:
    """Asks a digest's worth, answers with all where it differs, and tells back what the other lacks."""

    def __init__(
        self,
        view: MembershipView,
        options: MembershipOptions,
        rng: random.Random,
        tell: Callable[[str, str, Message], None],
    ) -> None:
        self._view, self._options, self._rng, self._tell = view, options, rng, tell
        self._parts: dict[str, set[Told]] = {}  # what an answer has told of, by who tells

    def wait_ms(self) -> float:
        """Until the next: longer in large fleets, as their views are longer, too."""
        size = max(1.0, math.log2(max(1, len(self._view.ring))) - 4.0)
        return self._options.push_pull_interval_ms * size * self._rng.uniform(0.8, 1.2)

    def ask(self, name: str, address: str) -> None:
        self._tell(name, address, PushPull((), self._view.digest()))

    def recall(self, seeds: Sequence[tuple[str, str]]) -> None:
        """Ask one that is held dead, or a seed that is not among the living, whether it is there."""
        alive = {known.record.address for known in self._view.members.values() if known.record.is_live}
        found = [(row.name, row.address) for row in self._view.records if row.state is MemberState.DEAD]
        found += [seed for seed in seeds if seed[1] not in alive]
        if found:
            self.ask(*self._rng.choice(found))

    def came(self, sender: str, address: str, sync: PushPull) -> bool:
        """A message of one; whether somebody has now told all that it knows."""
        if sync.step == 0 and sync.digest != self._view.digest():
            self._tell_all(sender, address, self._view.records, 1)
        if sync.step != 1:
            return False
        parts = self._parts.setdefault(sender, set())
        parts.update(told(row) for row in sync.records)
        if sync.is_last:
            del self._parts[sender]
            if lacks := [row for row in self._view.records if told(row) not in parts]:
                self._tell_all(sender, address, lacks, 2)
        while len(self._parts) > AT_ONCE:
            del self._parts[next(iter(self._parts))]
        return sync.is_last

    def _tell_all(self, name: str, address: str, rows: Sequence[MemberRecord], step: int) -> None:
        for at in range(0, len(rows), MAX_RECORDS_PER_MESSAGE):
            part = tuple(rows[at : at + MAX_RECORDS_PER_MESSAGE])
            self._tell(name, address, PushPull(part, 0, step, at + MAX_RECORDS_PER_MESSAGE >= len(rows)))
