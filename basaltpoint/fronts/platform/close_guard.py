"""The check right before this process closes a client's connection, and the count of what it found.

Whatever was taken gets one final answer, and a request whose bytes lie in a closed socket gets none
(STANDING). Each place that closes sees to that; here it is checked once for all of them, and a case is a
violation: counted, and logged with the reason of the close and the requests that it cost.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterator, Sequence
from enum import Enum

log = logging.getLogger(__name__)


class CloseViolation(Enum):
    """What a close cost."""

    UNANSWERED = "requests in hand have no answer"
    UNREAD = "bytes lie in it unread"


class CloseGuard:
    """What one process closed over."""

    def __init__(self) -> None:
        self.violations: Counter[CloseViolation] = Counter()

    def check_close(self, reason: str, unanswered: Sequence[str], unread: bool) -> None:
        """A connection is closed for this reason; `unanswered`: the ids of its requests with no answer."""
        if unanswered:
            self.violations[CloseViolation.UNANSWERED] += 1
            log.error(
                "violation: a connection was closed (%s) over requests %s", reason, ", ".join(unanswered)
            )
        if unread:
            self.violations[CloseViolation.UNREAD] += 1
            log.error("violation: a connection was closed (%s) over bytes that were not read", reason)

    def metric_lines(self) -> Iterator[str]:
        """The counts, one a line, for the control address."""
        for dropped in CloseViolation:
            yield f'gw_violations{{rule="{dropped.name.lower()}"}} {self.violations[dropped]}'
