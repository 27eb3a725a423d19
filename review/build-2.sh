#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain Python and need no library: the build
# of the deploy file (deploy/build) comes first and makes target/deps, from which the scripts start
# the programs. Fails if one of them can't be started.
set -eu
cd "$(dirname "$0")/.."
test -e target/deps/apricotrail_platform/__main__.py
python3 - <<'CHECK'
"""Compiles the stand-ins and the cases in memory."""
from pathlib import Path

for path in [Path("review/rig/rig.py"), *(Path(f"review/{n}/case.py") for n in range(6, 11))]:
    if not path.exists():
        continue
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
CHECK
