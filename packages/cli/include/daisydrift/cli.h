#pragma once
// The command line of operators and callers.

#include "daisydrift/cli/CommandLine.h"
#include "daisydrift/cli/CommandTable.h"
#include "daisydrift/cli/JobFile.h"
