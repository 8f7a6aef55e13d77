#!/bin/sh
# Builds what the cases 6 to 10 start, after the build of deploy/balancer.toml. The stand-ins are Python scripts of
# the standard library; only the standalone limiter needs an environment of its own, from requirements-standalone.txt.
set -eu
cd "$(dirname "$0")/.."
env=review/rig_2/.venv
libraries="import msgspec, re2, sortedcontainers, uvloop, httptools"
if test -x "$env/bin/python" && "$env/bin/python" -c "$libraries" 2>/dev/null; then
    exit 0
fi
rm -rf "$env"
python3 -m venv "$env"
"$env/bin/pip" -q install -r requirements-standalone.txt
"$env/bin/python" -c "$libraries"
