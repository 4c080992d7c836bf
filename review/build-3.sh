#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review3 -o target/review-standin-3 ./review/standin-3
