#!/usr/bin/env bash
# Builds the stand-in that the scripts of review/ start. Run it after the build of the deploy file, which puts the daemon
# under target/. It needs no network beyond what that build needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/standin ./review/standin
