"""Checks each close of a client's connection, and counts the violations found.

Every accepted request gets one final answer, and a request whose bytes are unread in a closed socket gets
none (the platform's rules). Each place that closes a connection has to ensure this; the check here covers all
of them. A violation is counted, and logged with the reason of the close and the requests that were lost.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterator, Sequence
from enum import Enum

log = logging.getLogger(__name__)


class CloseViolation(Enum):
    """What was lost by closing a connection."""

    UNANSWERED = "requests in hand have no answer"
    UNREAD = "bytes lie in it unread"


class CloseGuard:
    """Counts the violations of one process."""

    def __init__(self) -> None:
        self.violations: Counter[CloseViolation] = Counter()

    def check_close(self, reason: str, unanswered: Sequence[str], unread: bool) -> None:
        """Checks a connection that is about to be closed.

        `unanswered`: the ids of its requests without a response; `unread`: whether its socket holds data.
        """
        if unanswered:
            self.violations[CloseViolation.UNANSWERED] += 1
            log.error(
                "violation: a connection was closed (%s) over requests %s", reason, ", ".join(unanswered)
            )
        if unread:
            self.violations[CloseViolation.UNREAD] += 1
            log.error("violation: a connection was closed (%s) over bytes that were not read", reason)

    def metric_lines(self) -> Iterator[str]:
        """Yields the counts as lines for the control address."""
        for violation in CloseViolation:
            yield f'gw_violations{{rule="{violation.name.lower()}"}} {self.violations[violation]}'
