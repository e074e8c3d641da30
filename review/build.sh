#!/bin/sh
# The stand-ins are plain Python of the standard library: nothing is compiled or installed, they are only checked.
set -eu
cd "$(dirname "$0")/.."
for file in review/harness.py review/*/case.py; do
    .venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
