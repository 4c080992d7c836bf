#!/bin/sh
# Builds the stand-ins of the second review, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-2 ./review/standin-2
