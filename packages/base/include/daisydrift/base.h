#pragma once
// Public header of the package `base`: types shared by all packages.

#include "daisydrift/base/Clock.h"
#include "daisydrift/base/Errors.h"
#include "daisydrift/base/Finding.h"
#include "daisydrift/base/Ids.h"
#include "daisydrift/base/LogLine.h"
#include "daisydrift/base/Metrics.h"
#include "daisydrift/base/RefCounted.h"
#include "daisydrift/base/Resources.h"
#include "daisydrift/base/Result.h"
#include "daisydrift/base/StateChart.h"
