#!/usr/bin/env bash
# Plays the case; see claim.txt. Run it after the build of deploy/system.toml and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platform ] && [ -x target/review-3/standin-3 ] || exit 2
exec target/review-3/standin-3 quarantine target/platform review/13/record.txt
