#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x target/figtrail ] && [ -x target/review-2/case-9 ] || exit 2
exec target/review-2/case-9 -program target/figtrail -record review/9/record.txt -trouble=$trouble
