"""The trace: a log line for each decision about a request, an attempt, a connection or the list of servers.

Off by default, as it costs a line for each step of each request. `enable` turns it on for the process; the
platform's limiter does so where `GW_TRACE` is set. Callers look at `on` first: the question stands in the way
of every request, and nothing is worded while it is off.
"""

from __future__ import annotations

import logging

log = logging.getLogger("basaltpoint.trace")

enabled = False  # whether the trace is written


def enable() -> None:
    """Write the trace with the ordinary log from here on."""
    global enabled
    enabled = True
    log.setLevel(logging.DEBUG)


def event(text: str, *values: object) -> None:
    """One line; `text` is a format as of `logging`."""
    log.debug(text, *values)
