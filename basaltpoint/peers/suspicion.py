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

STALE_MS = 3000.0  # a question that got no answer says so long that there is none


@dataclass(slots=True)
class Suspicion:
    """One member doubted, in one incarnation."""

    incarnation: int
    began: float
    refused: bool
    by: set[str] = field(default_factory=set)
    held: float = 0.0  # ms by which the end was put off
    ask_at: float = math.inf  # when this member is to ask it for itself; infinite once it has
    asked: bool = False  # this member has, and so have others for it: no answer
    asked_at: float = -math.inf  # when that was
    verdict: MemberRecord | None = None  # others hold it dead; believed once this member has asked

    def confirm(self, who: str, refused: bool) -> bool:
        """Another doubts it, too; whether that is news."""
        new = who not in self.by or (refused and not self.refused)
        self.by.add(who)
        self.refused = self.refused or refused
        return new

    def stale(self, now: float) -> bool:
        """Whether it was asked long ago: it may have stood still then, and its contradiction been lost."""
        return self.asked and now - self.asked_at > STALE_MS

    def end(self, options: MembershipOptions, members: int) -> float:
        """When it is held dead, if nothing is heard of it."""
        scale = max(1.0, math.log10(max(1, members)))
        if self.refused:
            return self.began + options.refused_suspicion_ms * scale + self.held
        least = options.silent_ms * scale if options.lifeguard else options.swim_suspicion_ms * scale
        if not options.lifeguard:
            return self.began + least + self.held
        most, wanted = options.max_suspicion_factor * least, min(options.confirmations, members - 2)
        if wanted < 1:
            return self.began + least + self.held
        part = math.log(len(self.by)) / math.log(wanted + 1) if self.by else 0.0
        return self.began + max(least, most - (most - least) * part) + self.held
