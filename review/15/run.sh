#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/cases ] && [ -x target/release/cgw-platform ] || exit 2
exec target/review-3/cases kept-limit review/15/record.txt
