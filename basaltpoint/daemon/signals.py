"""Signals that come while the program still starts: kept until its loop can hear them.

Without this a SIGHUP in the first tenths of a second ends the process, as it does any program that has not
asked for it. What comes before the interpreter itself is up (some 20 ms) can't be kept here.
"""

from __future__ import annotations

import signal
from types import FrameType

_came: set[int] = set()


def _keep(number: int, frame: FrameType | None) -> None:
    _came.add(number)


def record_signals() -> None:
    """From here on no signal of operators is lost or deadly."""
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _keep)


def was_received(*numbers: int) -> bool:
    """Whether one of these came before whoever asks took them over."""
    return not _came.isdisjoint(numbers)
