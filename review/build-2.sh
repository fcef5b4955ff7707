#!/bin/sh
# Checks the stand-ins of review/4 to review/6: Python programs that need the standard library only and no build.
set -e
cd "$(dirname "$0")"
python3 - standins-2/harness.py [4-6]/case.py <<'CHECK'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
CHECK
