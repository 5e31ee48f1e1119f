#pragma once
// Public header of the package `routing`: interactive requests from admission to the answer.
// `RequestRouter` is the thread-safe entry point; the classes below it decide and take the time as
// an argument.

#include "daisydrift/routing/AdmissionQueue.h"
#include "daisydrift/routing/HedgingPolicy.h"
#include "daisydrift/routing/RequestRouter.h"
#include "daisydrift/routing/RetryBudget.h"
#include "daisydrift/routing/RetryPolicy.h"
#include "daisydrift/routing/RoutingEngine.h"
#include "daisydrift/routing/RoutingSettings.h"
#include "daisydrift/routing/UpstreamShare.h"
#include "daisydrift/routing/UpstreamTable.h"
