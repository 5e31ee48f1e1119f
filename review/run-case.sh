#!/usr/bin/env bash
# run-case.sh CASE FOLDER [TROUBLE]: runs one case of review/bin/standin against the program of the deploy file. Exit code: 1
# if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE, as an argument or else from the environment, is
# 1, or 0 to leave the disruption out.
set -u
root="$(cd "$(dirname "$0")/.." && pwd)"
folder="$(cd "$2" && pwd)"
trouble="${3:-${TROUBLE:-1}}"
case "$trouble" in
  0 | 1) ;;
  *)
    echo "TROUBLE must be 0 or 1" >&2
    exit 2
    ;;
esac
program="$root/target/bin/daisydriftd"
standin="$root/review/bin/standin"
if [ ! -x "$program" ] || [ ! -x "$standin" ]; then
  echo "build first: the build of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
scratch="$(mktemp -d)" || exit 2
trap 'rm -rf "$scratch"' EXIT
# The instances end with the stand-in, also when it is killed.
timeout --kill-after=2 115 "$standin" "$1" "$program" "$scratch" "$folder/record.txt" "$trouble"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
