#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/jacinthfront ] && [ -x target/review-standin ] || { echo "build first: the deploy file's build line and review/build.sh"; exit 2; }
exec target/review-standin late-config review/3/record.txt
