#pragma once
// Public header of the package `external`: narrow interfaces to the external systems that
// daisydrift depends on, their HTTP adapters, and in-memory fakes. docs/platform-contract.md states
// what is assumed of each system.

#include "daisydrift/external/Endpoint.h"
#include "daisydrift/external/FakeStore.h"
#include "daisydrift/external/FakeWorkerFleet.h"
#include "daisydrift/external/HttpInstanceDirectory.h"
#include "daisydrift/external/HttpStore.h"
#include "daisydrift/external/HttpUpstreamClient.h"
#include "daisydrift/external/HttpWorkerClient.h"
#include "daisydrift/external/InstanceDirectory.h"
#include "daisydrift/external/Store.h"
#include "daisydrift/external/StoreModel.h"
#include "daisydrift/external/UpstreamClient.h"
#include "daisydrift/external/WorkerClient.h"
#include "daisydrift/external/WorkerModel.h"
