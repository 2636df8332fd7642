#!/bin/sh
# Builds the stand-ins of the scripts. Needs no network: they use the standard library only.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS="-buildvcs=false" go build -o ../../target/review-standin .
