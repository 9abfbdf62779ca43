#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mulberryrelay ] && [ -x target/review-standin-3 ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-standin-3 -case memory -record review/10/record.txt -trouble=$trouble
