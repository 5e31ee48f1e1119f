#pragma once
// Listening TCP socket.

#include "daisydrift/base.h"
#include "daisydrift/external.h"

#include <kj/async-io.h>
#include <kj/io.h>

namespace daisydrift {

/// Bound and listening IPv4 socket.
class ListeningSocket
{
public:
  /// Binds to an endpoint; port 0 selects a free port. Errors: InvalidArgument (not an IPv4
  /// address), or the system's error.
  static Result<ListeningSocket> Open(const Endpoint& aEndpoint);

  /// The bound address.
  const Endpoint& Address() const { return this->address; }
  /// Transfers the socket to the event loop. Only for use on the event loop's thread.
  kj::Own<kj::ConnectionReceiver> Release(kj::LowLevelAsyncIoProvider& aProvider);

private:
  ListeningSocket(kj::AutoCloseFd aSocket, Endpoint aAddress);

  kj::AutoCloseFd socket;
  Endpoint address;
};

} // namespace daisydrift
