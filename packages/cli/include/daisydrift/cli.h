#pragma once
// Public header of the package `cli`: the command line for operators and callers.

#include "daisydrift/cli/CommandLine.h"
#include "daisydrift/cli/CommandTable.h"
#include "daisydrift/cli/JobFile.h"
