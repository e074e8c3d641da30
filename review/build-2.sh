#!/bin/sh
# Builds what the cases 6 to 10 start besides the sidecar. Their stand-ins are plain Python without dependencies, and run
# with the interpreter that the build of the deploy file has set up; here they are only compiled in memory as a check.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
for file in review/stand_ins_2.py review/[6-9]/case.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
echo "the stand-ins of the second review are ready"
