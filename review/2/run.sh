#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. What was sent, answered and run goes to record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standins ] && [ -x target/dogwoodweir-entry ] || exit 2
exec target/review-standins lost-grant review/2
