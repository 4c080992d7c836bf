#!/usr/bin/env bash
# Plays a case: run-case.sh FOLDER CASE. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
for program in target/ragwortgap target/review-standin; do
  [ -x "$program" ] || { echo "$program is missing: run the build of the deploy file and review/build.sh"; exit 2; }
done
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
timeout --kill-after=5 118 target/review-standin "$2" "$folder/record.txt" "$dir" target/ragwortgap
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
