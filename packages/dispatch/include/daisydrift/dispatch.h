#pragma once
// Public header of the package `dispatch`: scheduling of multi-step jobs.

#include "daisydrift/dispatch/AdmissionPolicy.h"
#include "daisydrift/dispatch/DispatchSettings.h"
#include "daisydrift/dispatch/DispatchTypes.h"
#include "daisydrift/dispatch/Dispatcher.h"
#include "daisydrift/dispatch/LeadershipConfirmation.h"
#include "daisydrift/dispatch/OutageEstimator.h"
#include "daisydrift/dispatch/ReturnSchedule.h"
#include "daisydrift/dispatch/WaitForecast.h"
