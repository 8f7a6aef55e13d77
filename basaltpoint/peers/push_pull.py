"""Full exchanges: views that differ are brought together, also with those that are held dead."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence

from basaltpoint.peers.messages import MAX_RECORDS_PER_MESSAGE, MemberRecord, MemberState, Message, PushPull
from basaltpoint.peers.options import MembershipOptions
from basaltpoint.peers.view import MembershipView, precedence

MAX_PARTIAL_RESPONSES = (
    4  # answers in several parts under way; of more the oldest is forgotten, and asked for again later
)

RecordVersion = tuple[str, tuple[int, int, int, int]]


def record_version(row: MemberRecord) -> RecordVersion:
    """What tells a row apart from others, but for who accuses."""
    return row.name, precedence(row)


class PushPullExchange:
    """Asks a digest's worth, answers with all where it differs, and tells back what the other lacks."""

    def __init__(
        self,
        view: MembershipView,
        options: MembershipOptions,
        rng: random.Random,
        send_message: Callable[[str, str, Message], None],
    ) -> None:
        self._view, self._options, self._rng, self._send_message = view, options, rng, send_message
        self._received_versions: dict[
            str, set[RecordVersion]
        ] = {}  # what an answer has told of, by who tells

    def next_interval_ms(self) -> float:
        """Until the next: longer in large fleets, as their views are longer, too."""
        size = max(1.0, math.log2(max(1, len(self._view.ring))) - 4.0)
        return self._options.push_pull_interval_ms * size * self._rng.uniform(0.8, 1.2)

    def send_digest(self, name: str, address: str) -> None:
        self._send_message(name, address, PushPull((), self._view.digest()))

    def contact_dead_or_seed(self, seeds: Sequence[tuple[str, str]]) -> None:
        """Ask one that is held dead, or a seed that is not among the living, whether it is there."""
        alive = {known.record.address for known in self._view.members.values() if known.record.is_live}
        found = [(row.name, row.address) for row in self._view.records if row.state is MemberState.DEAD]
        found += [seed for seed in seeds if seed[1] not in alive]
        if found:
            self.send_digest(*self._rng.choice(found))

    def message_received(self, sender: str, address: str, message: PushPull) -> bool:
        """A message of one; whether somebody has now told all that it knows."""
        if message.step == 0 and message.digest != self._view.digest():
            self._send_records(sender, address, self._view.records, 1)
        if message.step != 1:
            return False
        versions = self._received_versions.setdefault(sender, set())
        versions.update(record_version(row) for row in message.records)
        if message.is_last:
            del self._received_versions[sender]
            if missing := [row for row in self._view.records if record_version(row) not in versions]:
                self._send_records(sender, address, missing, 2)
        while len(self._received_versions) > MAX_PARTIAL_RESPONSES:
            del self._received_versions[next(iter(self._received_versions))]
        return message.is_last

    def _send_records(self, name: str, address: str, records: Sequence[MemberRecord], step: int) -> None:
        for at in range(0, len(records), MAX_RECORDS_PER_MESSAGE):
            chunk = tuple(records[at : at + MAX_RECORDS_PER_MESSAGE])
            self._send_message(
                name, address, PushPull(chunk, 0, step, at + MAX_RECORDS_PER_MESSAGE >= len(records))
            )
