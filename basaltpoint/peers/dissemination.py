"""Which rows are told on, and how often: a number of times that grows with the fleet's logarithm."""

from __future__ import annotations

from basaltpoint.peers.messages import MemberRecord
from basaltpoint.peers.view import precedence

TIMES = 3  # of the binary logarithm of the members: at a fifth of messages lost, and more, all still hear
HEARD = 8  # tellings that one hearing stands for: whoever tells it knows it, and tells others, too
MOST = 512  # rows that wait; beyond, the one told most often goes, and full exchanges mend what it costs


class Spread:
    """Rows waiting to be told on; the least told go first."""

    def __init__(self) -> None:
        self._waiting: dict[str, tuple[MemberRecord, int]] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, row: MemberRecord) -> None:
        """Tell a row, instead of any older one about the same member."""
        self._waiting[row.name] = row, 0
        if len(self._waiting) > MOST:
            del self._waiting[max(self._waiting, key=lambda name: self._waiting[name][1])]

    def heard(self, row: MemberRecord, members: int) -> None:
        """Another tells what waits here: so much less is left to tell."""
        waiting, told = self._waiting.get(row.name, (None, 0))
        if waiting is not None and precedence(waiting) == precedence(row):
            self._count(row.name, waiting, told + HEARD, members)

    def _count(self, name: str, row: MemberRecord, told: int, members: int) -> None:
        if told >= TIMES * max(1, members).bit_length():
            del self._waiting[name]
        else:
            self._waiting[name] = row, told

    def take(self, most: int, members: int) -> tuple[MemberRecord, ...]:
        """Up to `most` rows for one message; what was told often enough is forgotten."""
        if not self._waiting:
            return ()
        chosen = sorted(self._waiting.items(), key=lambda item: item[1][1])[:most]
        for name, (row, told) in chosen:
            self._count(name, row, told + 1, members)
        return tuple(row for _, (row, _) in chosen)
