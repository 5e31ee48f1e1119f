#!/bin/bash
# run-case-3.sh NUMBER NAME TROUBLE: runs one script of the third review and writes review/NUMBER/record.txt.
# TROUBLE is 1, or 0 to leave the disruption out. Exit code: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
cd "$(dirname "$0")/.." || exit 2
case "${3:-}" in
  0 | 1) ;;
  *)
    echo "TROUBLE must be 0 or 1" >&2
    exit 2
    ;;
esac
if [ ! -x target/bin/daisydriftd ] || [ ! -x target/review-3/review-case ]; then
  echo "build first: the build of deploy/system.toml, then review/build-3.sh" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
# The processes under test end with the program, also when it is killed.
TROUBLE="$3" timeout --kill-after=1 118 target/review-3/review-case "$2" target/bin/daisydriftd "$folder" \
  "review/$1/record.txt"
code=$?
[ "$code" -eq 0 ] || [ "$code" -eq 1 ] || code=2
exit "$code"
