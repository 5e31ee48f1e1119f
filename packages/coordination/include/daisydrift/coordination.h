#pragma once
// Public header of the package `coordination`: what an instance does between callers, the store and
// the workers.

#include "daisydrift/coordination/AdviceClient.h"
#include "daisydrift/coordination/FleetConfig.h"
#include "daisydrift/coordination/HttpPeers.h"
#include "daisydrift/coordination/Instance.h"
#include "daisydrift/coordination/JsonText.h"
#include "daisydrift/coordination/KeyValueStore.h"
#include "daisydrift/coordination/MachineGateway.h"
#include "daisydrift/coordination/PeerTransport.h"
#include "daisydrift/coordination/WorkerGateway.h"
