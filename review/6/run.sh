#!/usr/bin/env bash
# Runs case 6; see claim.txt. Needs the build of the deploy file and review/build-2.sh. With TROUBLE=0 no daemon is
# restarted and no target crashes; all else is the same.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fireflypind ] && [ -x target/review-2/standin-2 ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec timeout 110 target/review-2/standin-2 late-reset review/6
