#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x .venv/bin/python ] || { echo "the build of deploy/balancer.toml has not run"; exit 2; }
exec .venv/bin/python review/"$(basename "$(dirname "$(readlink -f "$0")")")"/case.py
