#!/usr/bin/env bash
# Runs all tests. Known failing tests, listed in KNOWN-RED.txt (first field of each line, `package.Program`), run last;
# their results are printed but do not affect the exit status. Usage: run-tests.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
red=""
if [ -s KNOWN-RED.txt ]; then
  red=$(grep -v '^#' KNOWN-RED.txt | awk 'NF{print $1}' | paste -sd'|' - || true)
fi
exclude=()
[ -n "$red" ] && exclude=(-E "^($red)\$")
ctest --test-dir "$build" --output-on-failure -j "$(nproc)" "${exclude[@]}"
if [ -n "$red" ]; then
  echo "known red (listed in KNOWN-RED.txt, not part of the verdict):"
  grep -v '^#' KNOWN-RED.txt
  ctest --test-dir "$build" -j "$(nproc)" -R "^($red)\$" 2>&1 | grep -E 'Passed|Failed' || true
fi
