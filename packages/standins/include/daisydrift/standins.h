#pragma once
// Public header of the package `standins`: servers that replace the platform in tests and
// demonstrations, and TCP peers with fault injection for tests.

#include "daisydrift/standins/DirectoryServer.h"
#include "daisydrift/standins/HistoryCollector.h"
#include "daisydrift/standins/RawConnection.h"
#include "daisydrift/standins/RawListener.h"
#include "daisydrift/standins/StoreServer.h"
#include "daisydrift/standins/TcpRelay.h"
#include "daisydrift/standins/UpstreamServer.h"
#include "daisydrift/standins/WorkerServer.h"
