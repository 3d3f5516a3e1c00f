#!/usr/bin/env bash
# Runs the case in the folder that is given: exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
# run. TROUBLE=0 leaves the disruption out. record.txt in the folder gets what was sent, answered and run.
set -u
cd "$(dirname "$0")/../.." || exit 2
record="$1/record.txt"
: >"$record" || exit 2
timeout --preserve-status --kill-after=5 115 python3 "$1/case.py" "$record" >/dev/null 2>>"$record"
status=$?
[ "$status" -le 1 ] || status=2
[ "$status" -ne 1 ] || grep -q "rule broken" "$record" || status=2
exit "$status"
