#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2/. The build of the deploy
# file comes first: it leaves the libraries that the stand-ins use.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for folder in review/6 review/7 review/8 review/9 review/10; do
  [ -f "$folder/case.cpp" ] || continue
  echo "builds $folder"
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -o "$out/case-$(basename "$folder")" \
    -Ireview/standin-2 -Iplatform/src -Iplatform/include -Ipackages/base/include -Ipackages/http/include \
    -Ipackages/dispatch/include -Ipackages/coordination/include -Ipackages/settings/include "$folder/case.cpp" \
    target/platform/libdaisydrift_platform.a target/packages/coordination/libdaisydrift_coordination.a \
    target/packages/dispatch/libdaisydrift_dispatch.a target/packages/settings/libdaisydrift_settings.a \
    target/packages/http/libdaisydrift_http.a target/packages/base/libdaisydrift_base.a \
    -lspdlog -lfmt -lhttp_parser -lcrypto -lpthread
done
