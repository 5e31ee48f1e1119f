#pragma once
// TCP connect that preserves the system's error code, of which kj reports only the text.

#include "daisydrift/external.h"

#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <kj/io.h>

namespace daisydrift {

/// Result of an attempt to connect.
struct ConnectResult
{
  /// Zero when connected.
  std::error_code error;
  kj::Own<kj::AsyncIoStream> stream;
};

/// Connects to an endpoint without a timeout. Only for use on the event loop's thread.
kj::Promise<ConnectResult> TcpConnect(kj::AsyncIoContext& aIo, const Endpoint& aEndpoint);

} // namespace daisydrift
