#pragma once
// Public header of the package `rpc`: calls between entry instances. No header of it includes
// Cap'n Proto.

#include "daisydrift/rpc/PeerChannel.h"
#include "daisydrift/rpc/PeerChannels.h"
#include "daisydrift/rpc/PeerMessages.h"
#include "daisydrift/rpc/PeerResult.h"
#include "daisydrift/rpc/PeerServer.h"
#include "daisydrift/rpc/PeerService.h"
#include "daisydrift/rpc/RpcLoop.h"
