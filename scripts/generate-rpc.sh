#!/usr/bin/env bash
# Rewrites the committed code of the RPC schema. Run it after each change of a .capnp file. Needs the Debian package
# capnproto, which a build does not.
set -euo pipefail
cd "$(dirname "$0")/../packages/rpc"
capnp compile --src-prefix=schema -oc++:src/generated schema/peer.capnp
