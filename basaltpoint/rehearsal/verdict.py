"""What held in a rehearsal, as plain values: the same for real processes and for the model."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any

from basaltpoint.rehearsal import checks
from basaltpoint.rehearsal.events import Observation, ProcessLifetime
from basaltpoint.rehearsal.faults import Fault, last_fault_end_s, separates_until_end, shift_times


def build_verdict(
    lives: Sequence[ProcessLifetime],
    saws: Sequence[Observation],
    faults: Sequence[Fault],
    seconds: float,
    began_s: float,
    end_s: float,
) -> dict[str, Any]:
    """`members`, `findings` and `views`, their times from the rehearsal's begin on.

    `lives` and `saws` are by a clock at which the rehearsal began at `began_s` and was judged at `end_s`.
    """
    shifted = [shift_times(fault, began_s) for fault in faults]
    agreed_s, apart = checks.time_to_agreement(
        lives, saws, began_s + last_fault_end_s(faults, seconds), end_s
    )
    found = checks.find_resurrections(lives, saws) + checks.find_reachable_dead_to_all(
        lives, saws, shifted, end_s
    )
    found += [] if separates_until_end(faults, seconds) else apart
    return {
        "members": {
            "detected_s": [
                {"name": kill.member, "at_s": kill.at_s - began_s, "by": kill.detected_s}
                for kill in checks.find_crashes(lives, saws, end_s)
            ],
            "wrong_deaths": len(checks.find_wrong_deaths(lives, saws)),
            "agreed_s": None if math.isinf(agreed_s) else agreed_s,
        },
        "findings": [finding_to_dict(f.at_s - began_s, f.kind, f.members, f.expected) for f in found],
        "views": [[saw.at_s - began_s, saw.observer, saw.member, saw.state] for saw in saws],
    }


def finding_to_dict(at_s: float, kind: str, members: tuple[str, ...], expected: str) -> dict[str, Any]:
    """One thing that must not be."""
    return {"at_s": at_s, "kind": kind, "members": list(members), "expected": expected}
