#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2/. The build of the deploy
# file comes first: it leaves the libraries that the stand-ins use.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for folder in review/6 review/8 review/9 review/10; do
  [ -f "$folder/case.cpp" ] || continue
  echo "builds $folder"
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers \
    -DBOOST_ALL_NO_LIB -DFMT_SHARED -DSPDLOG_COMPILED_LIB -DSPDLOG_FMT_EXTERNAL -DSPDLOG_SHARED_LIB \
    -Ireview/standin-2 -Iplatform/src -Iplatform/include -Ipackages/base/include -Ipackages/http/include \
    -Ipackages/dispatch/include -Ipackages/coordination/include -Ipackages/settings/include \
    "$folder/case.cpp" -o "$out/case-$(basename "$folder")" \
    -Wl,--start-group target/platform/libdaisydrift_platform.a \
    target/packages/*/libdaisydrift_{coordination,dispatch,settings,http,base}.a -Wl,--end-group \
    -lspdlog -lfmt -lhttp_parser -lcrypto -lpthread
done
