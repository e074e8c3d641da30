#!/bin/sh
# Exit status: 1 = the rule was broken, 0 = it held, 2 = the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
timeout -k 5 113 .venv/bin/python -B "$here/case.py" &
child=$!
trap 'kill "$child" 2>/dev/null' TERM INT HUP
wait "$child"
status=$?
while kill -0 "$child" 2>/dev/null; do # a signal to this script has ended the wait early
    wait "$child"
    status=2
done
case $status in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
