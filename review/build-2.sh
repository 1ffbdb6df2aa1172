#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python programs without dependencies: there is nothing to compile.
# Checks that they can be run here.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import pathlib
import sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in [*pathlib.Path("lib-2").glob("*.py"), *pathlib.Path(".").glob("[6-9]/case.py"),
             *pathlib.Path(".").glob("10/case.py")]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PYTHON
