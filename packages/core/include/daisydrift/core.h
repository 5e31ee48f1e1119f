#pragma once
// Public header of the package `core`: the decision library.

#include "daisydrift/core/PolicySettings.h"
#include "daisydrift/core/Scheduler.h"
#include "daisydrift/core/Types.h"
