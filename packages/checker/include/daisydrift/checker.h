#pragma once
// Public header of the package `checker`: checks recorded histories against the invariants I1 to
// I11 of docs/design.md.

#include "daisydrift/checker/HistoryChecker.h"
#include "daisydrift/checker/HistoryEvent.h"
