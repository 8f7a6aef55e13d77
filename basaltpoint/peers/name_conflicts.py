"""Whether another process has this member's name: it is asked three times, at the address told of it."""

from __future__ import annotations

import math

from basaltpoint.peers.messages import MemberRecord
from basaltpoint.peers.options import MembershipOptions

MAX_QUERIES = 3
MIN_RECHECK_INTERVAL_MS = 5000.0  # one that did not answer, or ends by itself, is not asked again within


class NameConflict:
    """At most one is asked at a time."""

    def __init__(self, options: MembershipOptions) -> None:
        self._options = options
        self.address, self.incarnation = "", 0
        self._instance_id = self._queries = 0
        self.next_ms = math.inf
        self._recheck_ms = -math.inf

    @property
    def is_pending(self) -> bool:
        return self.next_ms < math.inf

    def conflict_reported(self, now: float, row: MemberRecord) -> bool:
        """Another life is told of under this name; whether it is to be asked now."""
        if self.is_pending or (row.instance_id == self._instance_id and now < self._recheck_ms):
            self.incarnation = max(self.incarnation, row.incarnation)
            return False
        self.address, self.incarnation, self._instance_id, self._queries = (
            row.address,
            row.incarnation,
            row.instance_id,
            0,
        )
        self._recheck_ms = now + MIN_RECHECK_INTERVAL_MS
        return True

    def is_due(self, now: float) -> bool:
        return now >= self.next_ms

    def count_query(self, now: float) -> bool:
        """Count a try; False where there were enough."""
        if self._queries >= MAX_QUERIES:
            self.close()
            return False
        self._queries += 1
        self.next_ms = now + self._options.name_check_timeout_ms
        return True

    def close(self) -> None:
        self.next_ms = math.inf
