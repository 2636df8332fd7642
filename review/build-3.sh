#!/usr/bin/env bash
# Builds the stand-ins of the scripts of REPORT-3.md into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-3/standin-3 .
