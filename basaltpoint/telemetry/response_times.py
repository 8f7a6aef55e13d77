"""Counts final responses that start after their client's time.

Up to half a second after its time a response only earns nothing; later, the request counts as lost (the
platform's rules). The times are those that this process knows: a wrong view of when a client began to wait is
not noticed here.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator

log = logging.getLogger(__name__)

TOLERANCE_S = 0.05  # of every time limit (the platform's rules)
LOST_AFTER_S = 0.5  # beyond the client's time


class ResponseTimes:
    """Counts the late responses of one process."""

    def __init__(self) -> None:
        self.late = 0  # by more than the tolerance; those that count as lost included
        self.lost = 0

    def started(self, request_id: bytes, waited_s: float, wait_s: float) -> None:
        """A response starts after `waited_s` seconds; its client waits for `wait_s`."""
        late_s = waited_s - wait_s
        if late_s <= TOLERANCE_S:
            return
        self.late += 1
        self.lost += late_s > LOST_AFTER_S
        log.warning(
            "late response: request %s, after %.3f s, its client waits for %.3f s",
            request_id.decode("latin-1"),
            waited_s,
            wait_s,
        )

    def metric_lines(self) -> Iterator[str]:
        """Yields the counts as lines for the control address."""
        yield f"gw_late_responses {self.late}"
        yield f"gw_lost_responses {self.lost}"
