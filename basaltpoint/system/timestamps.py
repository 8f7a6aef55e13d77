"""Times that outlive a process, by two clocks: the wall clock, which may step, and the time since the boot.

Within one boot of the host ages come from CLOCK_BOOTTIME (clock_gettime(2)), which no setting of the time
moves; boot_id of proc(5) tells boots apart. Across boots, and on another host, only the wall clock is left.
"""

from __future__ import annotations

import functools
import time
from dataclasses import dataclass
from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


@dataclass(frozen=True, slots=True)
class Timestamp:
    """One moment. `unix_ms`: by the wall clock; `boot_s`: seconds since the boot whose id is `boot`."""

    unix_ms: float
    boot_id: str = ""
    boot_s: float = 0.0

    def seconds_since(self, earlier: Timestamp) -> float:
        """How long ago the earlier one was, never below 0."""
        if self.boot_id and self.boot_id == earlier.boot_id:
            return max(0.0, self.boot_s - earlier.boot_s)
        return max(0.0, (self.unix_ms - earlier.unix_ms) / 1000.0)


@functools.cache
def boot_id() -> str:
    """The id of this host's boot; empty where the system does not tell."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""


def boot_s() -> float:
    """Seconds since the boot, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def now() -> Timestamp:
    """This moment by both clocks."""
    return Timestamp(time.time() * 1000.0, boot_id(), boot_s())
