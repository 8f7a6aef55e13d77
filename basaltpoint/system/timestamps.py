"""Timestamps that outlive a process, by two clocks: the wall clock, which may step, and the time since boot.

Within one boot of the host, ages are computed from CLOCK_BOOTTIME (clock_gettime(2)), which setting the time
does not change; boot_id of proc(5) identifies the boot. Across boots or hosts only the wall clock is usable.
"""

from __future__ import annotations

import functools
import time
from dataclasses import dataclass
from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


@dataclass(frozen=True, slots=True)
class Timestamp:
    """A point in time. `unix_ms`: by the wall clock; `boot_s`: seconds since the boot with id `boot_id`."""

    unix_ms: float
    boot_id: str = ""
    boot_s: float = 0.0

    def seconds_since(self, earlier: Timestamp) -> float:
        """Seconds from the earlier timestamp to this one, never below 0."""
        if self.boot_id and self.boot_id == earlier.boot_id:
            return max(0.0, self.boot_s - earlier.boot_s)
        return max(0.0, (self.unix_ms - earlier.unix_ms) / 1000.0)


@functools.cache
def boot_id() -> str:
    """The id of this host's boot; empty if the system does not provide it."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""


def boot_s() -> float:
    """Seconds since boot, including time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def now() -> Timestamp:
    """The current time by both clocks."""
    return Timestamp(time.time() * 1000.0, boot_id(), boot_s())
