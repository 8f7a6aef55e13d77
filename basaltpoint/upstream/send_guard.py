"""The check right before an attempt's first byte is written, and the count of what it found.

Between the decision on an attempt and its writing a connection may have to come up: the server may have begun
to drain, the list of servers may have lost its confirmation, the client may have gone. The rules are those
of `policy.send_rules`. What is withheld here is counted by its denial; what was written although a bound had
passed by the time the write was over is a violation, counted and logged with the times that allowed it.
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
    """What one process may write to servers now."""

    def __init__(self) -> None:
        self.lease_expires_at = math.inf  # of the list of servers, monotonic seconds
        self.withheld: Counter[Denial] = Counter()
        self.violations: Counter[Denial] = Counter()
        self.stalls = 0  # writes that came over a stall late: their servers were told too much time

    def withhold(self, denial: Denial) -> None:
        """Count an attempt that is not written."""
        self.withheld[denial] += 1
        log.info("an attempt is withheld: %s", denial.value)

    def record_stall(self, until: float, whole_by: float) -> None:
        """This process stood still for longer than a stall before an attempt went out: was it too late?"""
        self.stalls += 1
        late = write_denial(monotonic() - MAX_STALL_S, True, self.lease_expires_at, until, whole_by)
        if late is not None:
            self.violations[late] += 1
            log.error(
                "violation: an attempt was written though %s; lease %.3f, end %.3f, whole by %.3f, now %.3f",
                late.value,
                self.lease_expires_at,
                until,
                whole_by,
                monotonic(),
            )

    def metric_lines(self) -> Iterator[str]:
        """The counts, one a line, for the control address."""
        for denial in Denial:
            yield f'gw_withheld{{rule="{denial.name.lower()}"}} {self.withheld[denial]}'
        for denial in Denial:
            yield f'gw_violations{{rule="{denial.name.lower()}"}} {self.violations[denial]}'
        yield f'gw_violations{{rule="told_deadline"}} {self.stalls}'
