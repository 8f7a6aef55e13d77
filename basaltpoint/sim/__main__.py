"""`python -m basaltpoint.sim`: the decision module on the simulator's wire."""

import sys

from basaltpoint.sim.adapter import main

if __name__ == "__main__":
    sys.exit(main())
