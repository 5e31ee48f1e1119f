#!/usr/bin/env bash
# Runs the soak test with fault injection: first the regression seeds (which failed in the past), then COUNT new seeds
# starting at FIRST, three at a time. Keeps the logs of failed seeds in BUILD_DIR/soak.
# With "planned": only planned stops, reloads and changes of the configuration, which must cut no request.
# With "slow-links": slow links to the store and a configuration that grows to 1 MB.
# With "odd": odd entries in the store, odd messages to the instances, and jobs of odd shape.
# Usage: soak.sh BUILD_DIR FIRST COUNT [SECONDS] [planned|slow-links|odd]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
first=$2
count=$3
seconds=${4:-12}
options=${5:+--$5}
run_one() {
  local seed=$1 folder=$build/soak/$1
  shift
  # A regression seed may have options of its own.
  local own=${*:---seconds $seconds $options}
  rm -rf "$folder"
  mkdir -p "$folder"
  if "$build/bin/daisydrift-soak" --program "$build/bin/daisydriftd" --folder "$folder" --seed "$seed" \
    $own > "$folder/events.log" 2>&1; then
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
{
  # xargs would join a line that ends with a blank with the next one.
  sed -nE 's/^([0-9]+) (\[([^]]*)\])?.*/\1 \3/; s/ $//; /^[0-9]/p' platform/soak/regression-seeds.txt
  seq "$first" $((first + count - 1))
} | xargs -P 3 -L 1 bash -c 'run_one "$@"' run_one
