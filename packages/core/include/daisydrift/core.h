#pragma once
// Public header of the `core` package, the scheduling library.

#include "daisydrift/core/PolicySettings.h"
#include "daisydrift/core/Scheduler.h"
#include "daisydrift/core/Types.h"
