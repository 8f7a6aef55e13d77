"""The trace: a log line for each decision about a request, an attempt, a connection or the server list.

Off by default, as it writes a line for each step of each request. `enable` turns it on for the process; the
platform's limiter does so if `GW_TRACE` is set. Callers check `enabled` first, so that no arguments are
evaluated on the path of every request while it is off.
"""

from __future__ import annotations

import logging

log = logging.getLogger("basaltpoint.trace")

enabled = False


def enable() -> None:
    """Turns the trace on; it is written to the regular log."""
    global enabled
    enabled = True
    log.setLevel(logging.DEBUG)


def event(text: str, *values: object) -> None:
    """Writes one line; `text` is a format string as for `logging`."""
    log.debug(text, *values)
