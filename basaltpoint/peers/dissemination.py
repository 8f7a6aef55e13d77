"""Dissemination of member records: the copies sent of each grow with the logarithm of the fleet's size."""

from __future__ import annotations

from basaltpoint.peers.messages import MemberRecord
from basaltpoint.peers.view import precedence

# Multiplied by the binary logarithm of the fleet; reaches all members with 20% and more of messages lost.
RETRANSMIT_FACTOR = 3
TRANSMISSIONS_PER_RECEIPT = 8  # a received copy counts as this many transmissions: its sender gossips it, too
MAX_QUEUED_RECORDS = 512  # above, the most often sent record is dropped; push-pull exchanges make up for it


class GossipQueue:
    """Records to be gossiped, those with the fewest transmissions first."""

    def __init__(self) -> None:
        self._queue: dict[str, tuple[MemberRecord, int]] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, record: MemberRecord) -> None:
        """Queues a record, replacing an older one of the same member."""
        self._queue[record.name] = record, 0
        if len(self._queue) > MAX_QUEUED_RECORDS:
            del self._queue[max(self._queue, key=lambda name: self._queue[name][1])]

    def received(self, record: MemberRecord, members: int) -> None:
        """Counts a copy received from another member against the transmissions left of a queued record."""
        queued, transmissions = self._queue.get(record.name, (None, 0))
        if queued is not None and precedence(queued) == precedence(record):
            self._set_transmissions(record.name, queued, transmissions + TRANSMISSIONS_PER_RECEIPT, members)

    def _set_transmissions(self, name: str, record: MemberRecord, transmissions: int, members: int) -> None:
        if transmissions >= RETRANSMIT_FACTOR * max(1, members).bit_length():
            del self._queue[name]
        else:
            self._queue[name] = record, transmissions

    def next_records(self, max_records: int, members: int) -> tuple[MemberRecord, ...]:
        """Returns up to `max_records` for one message, and removes those that were sent often enough."""
        if not self._queue:
            return ()
        chosen = sorted(self._queue.items(), key=lambda item: item[1][1])[:max_records]
        for name, (record, transmissions) in chosen:
            self._set_transmissions(name, record, transmissions + 1, members)
        return tuple(record for _, (record, _) in chosen)
