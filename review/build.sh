#!/usr/bin/env bash
# The stand-ins of the cases are Python and need no build; this checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import sys, tomllib, pathlib
assert sys.version_info >= (3, 11), sys.version
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
CHECK
