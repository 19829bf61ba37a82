#!/usr/bin/env bash
# Kills all daemons at once while the store turns one of them away, and checks FLOW. Exit codes: 1 broken, 0 held, 2 could not
# run. With TROUBLE=0 no daemon is killed and the store serves all.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
[ -x target/fireflypind ] && [ -x target/review-3/standin-3 ] || { echo "build first: deploy/system.toml and review/build-3.sh" >&2; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
target/review-3/standin-3 -case outage -daemon target/fireflypind -dir "$dir" -record "$here/record.txt" -trouble="$trouble"
