#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases 6 to 10 start. The node itself is built
# by the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin-2 ./review/standin-2/*.go
