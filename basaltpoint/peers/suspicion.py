"""Suspicion timeout: how long a member is suspected before it is declared dead (Lifeguard, section IV.B).

The timeout starts long and shrinks as other members independently suspect the same member. It is longer after
silence than after a refused connection: a paused process keeps its connections, and its kernel accepts new
ones for it; a killed process does neither.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from basaltpoint.peers.messages import MemberRecord
from basaltpoint.peers.options import MembershipOptions

PROBE_VALID_MS = 3000.0  # an unanswered probe counts as evidence for this long


@dataclass(slots=True)
class Suspicion:
    """The suspicion of one member in one incarnation."""

    incarnation: int
    started_ms: float
    connection_refused: bool  # a member found that the host refuses connections
    suspected_by: set[str] = field(default_factory=set)
    extension_ms: float = 0.0  # extension of the timeout after pauses of this process
    probe_at_ms: float = math.inf  # when this member probes it itself; infinite once done
    was_probed: bool = False  # this member probed it, also indirectly, without an ack
    probed_at_ms: float = -math.inf  # when that probe failed
    pending_dead: MemberRecord | None = None  # another's verdict of death, accepted once `was_probed`

    def confirm(self, member: str, refused: bool) -> bool:
        """Adds a member that suspects it, too; returns whether that is new."""
        new = member not in self.suspected_by or (refused and not self.connection_refused)
        self.suspected_by.add(member)
        self.connection_refused = self.connection_refused or refused
        return new

    def probe_is_stale(self, now: float) -> bool:
        """Whether the probe is too old as evidence: the member may have been paused, its refutation lost."""
        return self.was_probed and now - self.probed_at_ms > PROBE_VALID_MS

    def expires_ms(self, options: MembershipOptions, members: int) -> float:
        """Returns when the member is declared dead unless it refutes the suspicion."""
        scale = max(1.0, math.log10(max(1, members)))
        if self.connection_refused:
            return self.started_ms + options.refused_suspicion_ms * scale + self.extension_ms
        min_ms = options.silent_ms * scale if options.lifeguard else options.swim_suspicion_ms * scale
        if not options.lifeguard:
            return self.started_ms + min_ms + self.extension_ms
        max_ms, needed = options.max_suspicion_factor * min_ms, min(options.confirmations, members - 2)
        if needed < 1:
            return self.started_ms + min_ms + self.extension_ms
        fraction = math.log(len(self.suspected_by)) / math.log(needed + 1) if self.suspected_by else 0.0
        return self.started_ms + max(min_ms, max_ms - (max_ms - min_ms) * fraction) + self.extension_ms
