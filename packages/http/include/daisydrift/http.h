#pragma once
// Public header of the package `http`: HTTP/1.1 client and server on one event loop.

#include "daisydrift/http/EventLoop.h"
#include "daisydrift/http/HttpClient.h"
#include "daisydrift/http/HttpListener.h"
#include "daisydrift/http/HttpMessages.h"
#include "daisydrift/http/MemoryBudget.h"
