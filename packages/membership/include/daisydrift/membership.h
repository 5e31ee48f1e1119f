#pragma once
// Public header of the package `membership`: seats, leadership, evidence of store outages, and the
// freshness of the configuration. docs/design.md, sections 2.6 to 2.8, states the rules.

#include "daisydrift/membership/ConfigFreshness.h"
#include "daisydrift/membership/Leadership.h"
#include "daisydrift/membership/LeaseState.h"
#include "daisydrift/membership/LeasedKey.h"
#include "daisydrift/membership/OutageEvidence.h"
#include "daisydrift/membership/RetryDelay.h"
#include "daisydrift/membership/SeatHolder.h"
#include "daisydrift/membership/StoreReachability.h"
#include "daisydrift/membership/SuccessorClaim.h"
#include "daisydrift/membership/SupportLedger.h"
