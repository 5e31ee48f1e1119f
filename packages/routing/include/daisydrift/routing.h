#pragma once
// Public header of the package `routing`, which handles interactive requests from admission to the
// response. `RequestRouter` is the thread-safe entry point. The classes that it uses perform no
// I/O, take the time as an argument and aren't thread-safe.

#include "daisydrift/routing/AdmissionQueue.h"
#include "daisydrift/routing/HedgingPolicy.h"
#include "daisydrift/routing/RequestRouter.h"
#include "daisydrift/routing/RetryBudget.h"
#include "daisydrift/routing/RetryPolicy.h"
#include "daisydrift/routing/RoutingEngine.h"
#include "daisydrift/routing/RoutingSettings.h"
#include "daisydrift/routing/UpstreamShare.h"
#include "daisydrift/routing/UpstreamTable.h"
