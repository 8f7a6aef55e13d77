"""`python -m basaltpoint.sim` runs the decision module on the simulator's protocol."""

import sys

from basaltpoint.sim.adapter import main

if __name__ == "__main__":
    sys.exit(main())
