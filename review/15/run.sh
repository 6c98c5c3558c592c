#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/dotterel-gateway ] && [ -x target/review-3/case-memory ] || exit 2
timeout --kill-after=2 115 target/review-3/case-memory review/15/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
