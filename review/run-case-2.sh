#!/usr/bin/env bash
# run-case-2.sh N [TROUBLE]: runs the script of case N against the program of the deploy file and writes review/N/record.txt. Exit
# code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE, as an argument or else from the
# environment, is 1, or 0 to leave the disruption out. KEEP_LOGS=FOLDER keeps the output of the processes.
set -u
root="$(cd "$(dirname "$0")/.." && pwd)" || exit 2
trouble="${2:-${TROUBLE:-1}}"
case "$trouble" in
  0 | 1) ;;
  *)
    echo "TROUBLE must be 0 or 1" >&2
    exit 2
    ;;
esac
program="$root/target/review-2/case-$1"
if [ ! -x "$program" ] || [ ! -x "$root/target/bin/daisydriftd" ]; then
  echo "build first: the build of deploy/system.toml, then review/build-2.sh" >&2
  exit 2
fi
scratch="$(mktemp -d)" || exit 2
trap 'rm -rf "$scratch"' EXIT
# The processes under test end with the program, also when it is killed.
TROUBLE="$trouble" CASE_ROOT="$root" CASE_TEMP="$scratch" CASE_FOLDER="$root/review/$1" \
  timeout --kill-after=2 116 "$program"
status=$?
[ "$status" -le 2 ] || status=2
[ -z "${KEEP_LOGS:-}" ] || cp "$scratch"/*.log "$KEEP_LOGS"
exit "$status"
