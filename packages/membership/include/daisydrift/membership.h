#pragma once
// Public header of the package `membership`: seats (numbered slots for entry instances), leadership
// of a region, evidence of store outages, and the age of the configuration. The rules are in
// docs/design.md, sections 2.6 to 2.8.

#include "daisydrift/membership/ConfigFreshness.h"
#include "daisydrift/membership/Leadership.h"
#include "daisydrift/membership/LeasedKey.h"
#include "daisydrift/membership/LeasedRole.h"
#include "daisydrift/membership/OutageEvidence.h"
#include "daisydrift/membership/PredecessorStopDetector.h"
#include "daisydrift/membership/RetryDelay.h"
#include "daisydrift/membership/SeatHolder.h"
#include "daisydrift/membership/StoreReachability.h"
#include "daisydrift/membership/SupporterState.h"
