"""Full exchanges: views that differ are brought together, also with those that are held dead."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence

from basaltpoint.peers.messages import ROWS, Message, Row, State, Sync
from basaltpoint.peers.options import Options
from basaltpoint.peers.view import View, order

AT_ONCE = 4  # answers in several parts under way; of more the oldest is forgotten, and asked for again later

Told = tuple[str, tuple[int, int, int, int]]


def told(row: Row) -> Told:
    """What tells a row apart from others, but for who accuses."""
    return row.name, order(row)


class Exchange:
    """Asks a digest's worth, answers with all where it differs, and tells back what the other lacks."""

    def __init__(
        self, view: View, options: Options, rng: random.Random, tell: Callable[[str, str, Message], None]
    ) -> None:
        self._view, self._options, self._rng, self._tell = view, options, rng, tell
        self._parts: dict[str, set[Told]] = {}  # what an answer has told of, by who tells

    def wait_ms(self) -> float:
        """Until the next: longer in large fleets, as their views are longer, too."""
        size = max(1.0, math.log2(max(1, len(self._view.ring))) - 4.0)
        return self._options.sync_ms * size * self._rng.uniform(0.8, 1.2)

    def ask(self, name: str, address: str) -> None:
        self._tell(name, address, Sync((), self._view.digest()))

    def recall(self, seeds: Sequence[tuple[str, str]]) -> None:
        """Ask one that is held dead, or a seed that is not among the living, whether it is there."""
        alive = {known.row.address for known in self._view.known.values() if known.row.live}
        found = [(row.name, row.address) for row in self._view.rows if row.state is State.DEAD]
        found += [seed for seed in seeds if seed[1] not in alive]
        if found:
            self.ask(*self._rng.choice(found))

    def came(self, sender: str, address: str, sync: Sync) -> bool:
        """A message of one; whether somebody has now told all that it knows."""
        if sync.step == 0 and sync.digest != self._view.digest():
            self._tell_all(sender, address, self._view.rows, 1)
        if sync.step != 1:
            return False
        parts = self._parts.setdefault(sender, set())
        parts.update(told(row) for row in sync.rows)
        if sync.last:
            del self._parts[sender]
            if lacks := [row for row in self._view.rows if told(row) not in parts]:
                self._tell_all(sender, address, lacks, 2)
        while len(self._parts) > AT_ONCE:
            del self._parts[next(iter(self._parts))]
        return sync.last

    def _tell_all(self, name: str, address: str, rows: Sequence[Row], step: int) -> None:
        for at in range(0, len(rows), ROWS):
            part = tuple(rows[at : at + ROWS])
            self._tell(name, address, Sync(part, 0, step, at + ROWS >= len(rows)))
