"""The check right before an attempt's first byte is written, and its counts.

Opening a connection may take time between the decision on an attempt and its writing: meanwhile the server
may have started to drain, the lease of the server list may have expired, or the client may have disconnected.
The rules are those of `policy.send_rules`. A withheld attempt is counted by its denial. An attempt that was
written although a limit had passed by the end of the write is a violation, counted and logged with all times.
"""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Iterator
from time import monotonic

from basaltpoint.policy.send_rules import MAX_STALL_S, Denial, write_denial

log = logging.getLogger(__name__)


class SendGuard:
    """What one process may write to servers at this moment. Times are monotonic seconds."""

    def __init__(self) -> None:
        self.lease_expires_at = math.inf  # lease of the server list
        self.withheld: Counter[Denial] = Counter()
        self.violations: Counter[Denial] = Counter()
        self.stalls = (
            0  # writes delayed by more than MAX_STALL_S: the deadline that the server got was too late
        )

    def withhold(self, denial: Denial) -> None:
        """Counts an attempt that is not written."""
        self.withheld[denial] += 1
        log.info("attempt withheld: %s", denial.value)

    def record_stall(self, end_by: float, write_by: float) -> None:
        """Counts a write that was delayed by more than `MAX_STALL_S`, and a violation if it was too late."""
        self.stalls += 1
        denial = write_denial(monotonic() - MAX_STALL_S, True, self.lease_expires_at, end_by, write_by)
        if denial is not None:
            self.violations[denial] += 1
            log.error(
                "violation: an attempt was written though %s; "
                "lease %.3f, end by %.3f, write by %.3f, now %.3f",
                denial.value,
                self.lease_expires_at,
                end_by,
                write_by,
                monotonic(),
            )

    def metric_lines(self) -> Iterator[str]:
        """The counts, one per line, for the control address."""
        for denial in Denial:
            yield f'gw_withheld{{rule="{denial.name.lower()}"}} {self.withheld[denial]}'
        for denial in Denial:
            yield f'gw_violations{{rule="{denial.name.lower()}"}} {self.violations[denial]}'
        yield f'gw_violations{{rule="told_deadline"}} {self.stalls}'
