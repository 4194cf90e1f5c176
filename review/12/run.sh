#!/bin/sh
# Runs the case. Exit code 1: the rule was broken, 0: it held, 2: it could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/vanillalatch ] && [ -x target/review3/case-12 ] || exit 2
export TROUBLE="${TROUBLE:-1}"
RECORD=review/12/record.txt exec target/review3/case-12
