#!/bin/bash
# Builds the stand-ins of the cases. They are Python files that need the standard library alone, so that it is
# enough to see that the environment of the deploy file's build can load them; it needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 .venv/bin/python -c 'import sys; sys.path.insert(0, "review"); import rig'
for file in review/*/case.py; do
    PYTHONDONTWRITEBYTECODE=1 .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
