#pragma once
// Public header of the package `rpc`: RPC between entry instances. None of the public headers
// includes Cap'n Proto.

#include "daisydrift/rpc/PeerChannel.h"
#include "daisydrift/rpc/PeerChannelPool.h"
#include "daisydrift/rpc/PeerMessages.h"
#include "daisydrift/rpc/PeerResult.h"
#include "daisydrift/rpc/PeerServer.h"
#include "daisydrift/rpc/PeerService.h"
#include "daisydrift/rpc/RpcEventLoop.h"
