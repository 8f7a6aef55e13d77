#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
[ -x .venv/bin/python ] || { echo "the build of deploy/balancer.toml has not run"; exit 2; }
export PYTHONDONTWRITEBYTECODE=1
exec .venv/bin/python "$here/case.py"
