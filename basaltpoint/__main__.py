"""`python -m basaltpoint`: runs a command, or, with `GW_CONFIG` and no arguments, the platform's limiter."""

from __future__ import annotations

import os
import sys


def main() -> int:
    """Returns the exit code."""
    if len(sys.argv) == 1 and "GW_CONFIG" in os.environ:
        from basaltpoint.daemon import signals

        signals.record_signals()  # before the imports below, which take a while
        from basaltpoint.daemon.platform import main as platform

        return platform()
    from basaltpoint.cli import main as commands

    return commands()


if __name__ == "__main__":
    sys.exit(main())
