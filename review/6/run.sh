#!/bin/sh
# Instances answer before they have read a long body and read on later.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hyssopsilld ] && [ -x target/review-2/casekit ] || exit 2
exec target/review-2/casekit 6
