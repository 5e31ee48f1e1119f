#!/usr/bin/env bash
# Regenerates the committed C++ code of the RPC schema; run it after each change of a .capnp file. Needs the Debian
# package capnproto, which a build does not need.
set -euo pipefail
cd "$(dirname "$0")/../packages/rpc"
capnp compile --src-prefix=schema -oc++:src/generated schema/peer.capnp
