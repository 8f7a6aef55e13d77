"""Records signals that arrive during the start, until the event loop handles them.

Without a handler, a SIGHUP in the first tenths of a second would end the process, as is the default. Signals
that arrive before the interpreter is initialised (about 20 ms) can't be recorded.
"""

from __future__ import annotations

import signal
from types import FrameType

_received: set[int] = set()


def _record(number: int, frame: FrameType | None) -> None:
    _received.add(number)


def record_signals() -> None:
    """Installs handlers that record SIGHUP, SIGTERM and SIGINT instead of ending the process."""
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _record)


def was_received(*numbers: int) -> bool:
    """Whether any of the signals arrived before the event loop's handlers replaced the recording ones."""
    return not _received.isdisjoint(numbers)
