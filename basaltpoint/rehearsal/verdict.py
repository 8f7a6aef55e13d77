"""Builds the verdict of a rehearsal as plain values, in one form for real processes and for the model."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any

from basaltpoint.rehearsal import checks
from basaltpoint.rehearsal.events import Observation, ProcessLifetime
from basaltpoint.rehearsal.faults import Fault, last_fault_end_s, separates_until_end, shift_times


def build_verdict(
    lifetimes: Sequence[ProcessLifetime],
    observations: Sequence[Observation],
    faults: Sequence[Fault],
    seconds: float,
    started_s: float,
    end_s: float,
) -> dict[str, Any]:
    """Returns `members`, `findings` and `views`, with times in seconds from the start of the rehearsal.

    `lifetimes` and `observations` have times of a clock that read `started_s` at the start of the rehearsal
    and `end_s` when it was judged. The times of `faults` and `seconds`, its duration, count from its start.
    """
    shifted = [shift_times(fault, started_s) for fault in faults]
    agreed_s, disagreements = checks.time_to_agreement(
        lifetimes, observations, started_s + last_fault_end_s(faults, seconds), end_s
    )
    violations = checks.find_resurrections(lifetimes, observations) + checks.find_reachable_dead_to_all(
        lifetimes, observations, shifted, end_s
    )
    violations += [] if separates_until_end(faults, seconds) else disagreements
    return {
        "members": {
            "detected_s": [
                {"name": crash.member, "at_s": crash.at_s - started_s, "by": crash.detected_s}
                for crash in checks.find_crashes(lifetimes, observations, end_s)
            ],
            "wrong_deaths": len(checks.find_wrong_deaths(lifetimes, observations)),
            "agreed_s": None if math.isinf(agreed_s) else agreed_s,
        },
        "findings": [finding_to_dict(f.at_s - started_s, f.kind, f.members, f.expected) for f in violations],
        "views": [
            [observation.at_s - started_s, observation.observer, observation.member, observation.state]
            for observation in observations
        ],
    }


def finding_to_dict(at_s: float, kind: str, members: tuple[str, ...], expected: str) -> dict[str, Any]:
    """Returns one violation as it stands in the verdict."""
    return {"at_s": at_s, "kind": kind, "members": list(members), "expected": expected}
