"""How long a member is doubted before it is held dead (Lifeguard, section IV.B).

The time begins long and shrinks as others come to the same doubt by themselves. Silence is borne longer than
a refusal: a process that stands still keeps its connections, and its host goes on to accept new ones for it;
one that was killed does neither.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from basaltpoint.peers.messages import MemberRecord
from basaltpoint.peers.options import MembershipOptions

PROBE_VALID_MS = 3000.0  # a question that got no answer says so long that there is none


@dataclass(slots=True)
class Suspicion:
    """One member doubted, in one incarnation."""

    incarnation: int
    started_ms: float
    connection_refused: bool
    suspected_by: set[str] = field(default_factory=set)
    extension_ms: float = 0.0  # ms by which the end was put off
    probe_at_ms: float = math.inf  # when this member is to ask it for itself; infinite once it has
    was_probed: bool = False  # this member has, and so have others for it: no answer
    probed_at_ms: float = -math.inf  # when that was
    pending_dead: MemberRecord | None = None  # others hold it dead; believed once this member has asked

    def confirm(self, member: str, refused: bool) -> bool:
        """Another doubts it, too; whether that is news."""
        new = member not in self.suspected_by or (refused and not self.connection_refused)
        self.suspected_by.add(member)
        self.connection_refused = self.connection_refused or refused
        return new

    def probe_is_stale(self, now: float) -> bool:
        """Whether it was asked long ago: it may have stood still then, and its contradiction been lost."""
        return self.was_probed and now - self.probed_at_ms > PROBE_VALID_MS

    def expires_ms(self, options: MembershipOptions, members: int) -> float:
        """When it is held dead, if nothing is heard of it."""
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
