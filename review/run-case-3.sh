#!/bin/bash
# Runs one script of the third review: run-case-3.sh NUMBER NAME. Build it before with
# review/build-3.sh. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 118 target/review-3/review-case "$2" target/bin/daisydriftd "$folder" "review/$1/record.txt"
code=$?
[ "$code" -eq 0 ] || [ "$code" -eq 1 ] || code=2
exit "$code"
