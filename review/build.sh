#!/usr/bin/env bash
# Builds the stand-ins of the review into review/bin, from the libraries that the build of deploy/system.toml leaves in
# target/ and the project's own stand-in of the store. Needs no package beyond those of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
includes=(-I review/standin -I platform/soak -I platform/src -I platform/include)
for package in base http dispatch coordination settings external; do
  includes+=(-I "packages/$package/include")
done
"${CXX:-c++}" -std=c++20 -O2 -g1 -Wall -Wextra -Wno-missing-field-initializers \
  -DBOOST_ALL_NO_LIB -DFMT_SHARED -DSPDLOG_COMPILED_LIB -DSPDLOG_FMT_EXTERNAL -DSPDLOG_SHARED_LIB \
  "${includes[@]}" review/standin/*.cpp platform/soak/SoakStore.cpp -o review/bin/standin \
  -Wl,--start-group target/platform/libdaisydrift_platform.a target/packages/*/libdaisydrift_{coordination,dispatch,http,base,settings,external}.a \
  -Wl,--end-group -lspdlog -lfmt -lhttp_parser -lcrypto -lpthread
