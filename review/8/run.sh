#!/bin/sh
# Plays the case with the programs in target/. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/ragwortgap ] && [ -x target/review-2 ] || { echo "build first: deploy/system.toml, review/build-2.sh"; exit 2; }
exec target/review-2 stale-label review/8/record.txt
