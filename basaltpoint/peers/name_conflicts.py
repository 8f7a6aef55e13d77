"""Whether another process has this member's name: it is asked three times, at the address told of it."""

from __future__ import annotations

import math

from basaltpoint.peers.messages import MemberRecord
from basaltpoint.peers.options import MembershipOptions

TRIES = 3
AGAIN_MS = 5000.0  # one that did not answer, or ends by itself, is not asked again within


class Rivals:
    """At most one is asked at a time."""

    def __init__(self, options: MembershipOptions) -> None:
        self._options = options
        self.address, self.incarnation = "", 0
        self._life = self._tries = 0
        self.next_ms = math.inf
        self._again = -math.inf

    @property
    def pending(self) -> bool:
        return self.next_ms < math.inf

    def met(self, now: float, row: MemberRecord) -> bool:
        """Another life is told of under this name; whether it is to be asked now."""
        if self.pending or (row.instance_id == self._life and now < self._again):
            self.incarnation = max(self.incarnation, row.incarnation)
            return False
        self.address, self.incarnation, self._life, self._tries = (
            row.address,
            row.incarnation,
            row.instance_id,
            0,
        )
        self._again = now + AGAIN_MS
        return True

    def due(self, now: float) -> bool:
        return now >= self.next_ms

    def ask(self, now: float) -> bool:
        """Count a try; False where there were enough."""
        if self._tries >= TRIES:
            self.settled()
            return False
        self._tries += 1
        self.next_ms = now + self._options.name_check_timeout_ms
        return True

    def settled(self) -> None:
        self.next_ms = math.inf
