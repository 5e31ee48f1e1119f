#pragma once
// Public header of the package `daemon`.

#include "daisydrift/daemon/Daemon.h"
