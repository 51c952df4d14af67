#!/bin/bash
# Runs the case; writes record.txt beside this file. Takes about 14 s.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
export CASE_DIR=review/4
[ -x target/review/case-4 ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review/case-4
