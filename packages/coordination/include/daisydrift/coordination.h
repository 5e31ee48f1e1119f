#pragma once
// Public header of the package `coordination`: membership, leader election, job submission and the
// gateways of an instance.

#include "daisydrift/coordination/AdviceClient.h"
#include "daisydrift/coordination/FleetConfig.h"
#include "daisydrift/coordination/HttpPeerTransport.h"
#include "daisydrift/coordination/Instance.h"
#include "daisydrift/coordination/JsonFields.h"
#include "daisydrift/coordination/JsonText.h"
#include "daisydrift/coordination/KeyValueStore.h"
#include "daisydrift/coordination/MachineGateway.h"
#include "daisydrift/coordination/PeerTransport.h"
#include "daisydrift/coordination/WorkerGateway.h"
