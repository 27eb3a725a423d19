#!/bin/sh
# The stand-ins of cases 11 to 15 are Python sources that need only the standard library; this checks
# that each of them compiles with the interpreter that will run them. It writes nothing.
cd "$(dirname "$0")" && exec python3 -P -c '
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("CPython 3.11 is needed")
for folder in ("rig3", "11", "12", "13", "14", "15"):
    for path in sorted(Path(folder).glob("*.py")):
        compile(path.read_text(), str(path), "exec")
'
