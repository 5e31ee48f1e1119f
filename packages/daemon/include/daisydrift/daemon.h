#pragma once
// Includes all public headers of the package `daemon`.

#include "daisydrift/daemon/Daemon.h"
