"""Push-pull exchanges, which reconcile views that differ, also with dead members and with seeds."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence

from basaltpoint.peers.messages import MAX_RECORDS_PER_MESSAGE, MemberRecord, MemberState, Message, PushPull
from basaltpoint.peers.options import MembershipOptions
from basaltpoint.peers.view import MembershipView, precedence

MAX_PARTIAL_RESPONSES = 4  # above, the oldest incomplete response is dropped; a later exchange repeats it

RecordVersion = tuple[str, tuple[int, int, int, int]]


def record_version(record: MemberRecord) -> RecordVersion:
    """Returns what identifies a version of a record, regardless of who suspects the member."""
    return record.name, precedence(record)


class PushPullExchange:
    """Sends digests, responds to differing ones with all records, and returns what the other member lacks."""

    def __init__(
        self,
        view: MembershipView,
        options: MembershipOptions,
        rng: random.Random,
        send_message: Callable[[str, str, Message], None],
    ) -> None:
        self._view, self._options, self._rng, self._send_message = view, options, rng, send_message
        self._received_versions: dict[str, set[RecordVersion]] = {}  # by sender, of an incomplete response

    def next_interval_ms(self) -> float:
        """Returns the time until the next exchange; longer in large fleets, as their views are larger."""
        size = max(1.0, math.log2(max(1, len(self._view.ring))) - 4.0)
        return self._options.push_pull_interval_ms * size * self._rng.uniform(0.8, 1.2)

    def send_digest(self, name: str, address: str) -> None:
        self._send_message(name, address, PushPull((), self._view.digest()))

    def contact_dead_or_seed(self, seeds: Sequence[tuple[str, str]]) -> None:
        """Starts an exchange with a random dead member, or a seed that is not at a live member's address."""
        alive = {known.record.address for known in self._view.members.values() if known.record.is_live}
        found = [
            (record.name, record.address) for record in self._view.records if record.state is MemberState.DEAD
        ]
        found += [seed for seed in seeds if seed[1] not in alive]
        if found:
            self.send_digest(*self._rng.choice(found))

    def message_received(self, sender: str, address: str, message: PushPull) -> bool:
        """Handles a push-pull message; returns whether it completes the other member's response."""
        if message.step == 0 and message.digest != self._view.digest():
            self._send_records(sender, address, self._view.records, 1)
        if message.step != 1:
            return False
        versions = self._received_versions.setdefault(sender, set())
        versions.update(record_version(record) for record in message.records)
        if message.is_last:
            del self._received_versions[sender]
            if missing := [record for record in self._view.records if record_version(record) not in versions]:
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
