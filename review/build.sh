#!/bin/sh
# Prepares the stand-ins of the cases. They are Python programs that use the standard library only, so nothing is
# compiled; this checks that each of them can be read.
cd "$(dirname "$0")" || exit 1
command -v python3 > /dev/null || { echo "python3 is missing"; exit 1; }
for file in standins/*.py */case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
echo "the stand-ins of the cases are ready"
