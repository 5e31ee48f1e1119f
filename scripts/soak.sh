#!/usr/bin/env bash
# Runs the soak test with fault injection: first the regression seeds (which failed in the past), then COUNT new seeds
# starting at FIRST, three at a time. Keeps the logs of failed seeds in BUILD_DIR/soak.
# With "planned": only planned stops, reloads and changes of the configuration, which must cut no request.
# Usage: soak.sh BUILD_DIR FIRST COUNT [SECONDS] [planned]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
first=$2
count=$3
seconds=${4:-12}
options=${5:+--$5}
run_one() {
  local seed=$1 folder=$build/soak/$1
  rm -rf "$folder"
  mkdir -p "$folder"
  if "$build/bin/daisydrift-soak" --program "$build/bin/daisydriftd" --folder "$folder" --seed "$seed" \
    --seconds "$seconds" $options > "$folder/events.log" 2>&1; then
    grep event=soak_ended "$folder/events.log"
    rm -rf "$folder"
  else
    echo "failed: seed $seed, logs in $folder"
    grep -E 'event=violation|event=soak_ended' "$folder/events.log" || true
    return 1
  fi
}
export -f run_one
export build seconds options
{ grep -oE '^[0-9]+' platform/soak/regression-seeds.txt; seq "$first" $((first + count - 1)); } |
  xargs -P 3 -I{} bash -c 'run_one {}'
