#!/usr/bin/env bash
# run-case-2.sh N: runs the script of case N. Exit 0: the rule held, 1: it was broken, 2: not run.
set -uo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
program="$root/target/review-2/case-$1"
if [ ! -x "$program" ] || [ ! -x "$root/target/bin/daisydriftd" ]; then
  echo "build first: the build of deploy/system.toml, then review/build-2.sh"
  exit 2
fi
folder="$(mktemp -d)"
# The processes under test end with the program, which kills them by their ids.
trap 'rm -rf "$folder"' EXIT
CASE_ROOT="$root" CASE_TEMP="$folder" CASE_FOLDER="$root/review/$1" timeout -k 2 116 "$program"
status=$?
[ "$status" -le 2 ] || status=2
[ -z "${KEEP_LOGS:-}" ] || cp "$folder"/*.log "$KEEP_LOGS"
exit "$status"
