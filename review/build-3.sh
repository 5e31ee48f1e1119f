#!/bin/bash
# Builds the stand-in of the third review's scripts into target/review-3, from the static libraries
# that the build of deploy/system.toml leaves in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
if [ ! -f target/platform/libdaisydrift_platform.a ]; then
  echo "build first: the build of deploy/system.toml" >&2
  exit 1
fi
rm -rf "$out"
mkdir -p "$out"
includes=(-Ireview/standin-3 -Iplatform/src -Iplatform/include)
for package in base http dispatch coordination settings; do
  includes+=("-Ipackages/$package/include")
done
objects=()
for source in review/standin-3/*.cpp; do
  object="$out/$(basename "$source" .cpp).o"
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers "${includes[@]}" \
    -DBOOST_ALL_NO_LIB -DFMT_SHARED -DSPDLOG_COMPILED_LIB -DSPDLOG_FMT_EXTERNAL -DSPDLOG_SHARED_LIB \
    -c "$source" -o "$object" &
  objects+=("$object")
done
wait
for object in "${objects[@]}"; do
  test -s "$object"
done
g++ "${objects[@]}" target/platform/libdaisydrift_platform.a \
  target/packages/coordination/libdaisydrift_coordination.a \
  target/packages/dispatch/libdaisydrift_dispatch.a target/packages/http/libdaisydrift_http.a \
  target/packages/settings/libdaisydrift_settings.a target/packages/base/libdaisydrift_base.a \
  -lhttp_parser -lspdlog -lfmt -lcrypto -lpthread -o "$out/review-case"
