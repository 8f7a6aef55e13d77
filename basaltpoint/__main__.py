"""`python -m basaltpoint`: with `GW_CONFIG` the platform's limiter, until SIGTERM."""

from __future__ import annotations

import sys


def main() -> int:
    from basaltpoint.daemon.platform import main as platform

    return platform()


if __name__ == "__main__":
    sys.exit(main())
