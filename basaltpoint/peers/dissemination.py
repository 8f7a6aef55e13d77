"""Which rows are told on, and how often: a number of times that grows with the fleet's logarithm."""

from __future__ import annotations

from basaltpoint.peers.messages import MemberRecord
from basaltpoint.peers.view import precedence

RETRANSMIT_FACTOR = (
    3  # of the binary logarithm of the members: at a fifth of messages lost, and more, all still hear
)
TRANSMISSIONS_PER_RECEIPT = (
    8  # tellings that one hearing stands for: whoever tells it knows it, and tells others, too
)
MAX_QUEUED_RECORDS = (
    512  # rows that wait; beyond, the one told most often goes, and full exchanges mend what it costs
)


class GossipQueue:
    """Rows waiting to be told on; the least told go first."""

    def __init__(self) -> None:
        self._queue: dict[str, tuple[MemberRecord, int]] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, row: MemberRecord) -> None:
        """Tell a row, instead of any older one about the same member."""
        self._queue[row.name] = row, 0
        if len(self._queue) > MAX_QUEUED_RECORDS:
            del self._queue[max(self._queue, key=lambda name: self._queue[name][1])]

    def received(self, row: MemberRecord, members: int) -> None:
        """Another tells what waits here: so much less is left to tell."""
        waiting, told = self._queue.get(row.name, (None, 0))
        if waiting is not None and precedence(waiting) == precedence(row):
            self._set_transmissions(row.name, waiting, told + TRANSMISSIONS_PER_RECEIPT, members)

    def _set_transmissions(self, name: str, row: MemberRecord, told: int, members: int) -> None:
        if told >= RETRANSMIT_FACTOR * max(1, members).bit_length():
            del self._queue[name]
        else:
            self._queue[name] = row, told

    def next_records(self, max_records: int, members: int) -> tuple[MemberRecord, ...]:
        """Up to `most` rows for one message; what was told often enough is forgotten."""
        if not self._queue:
            return ()
        chosen = sorted(self._queue.items(), key=lambda item: item[1][1])[:max_records]
        for name, (row, told) in chosen:
            self._set_transmissions(name, row, told + 1, members)
        return tuple(row for _, (row, _) in chosen)
