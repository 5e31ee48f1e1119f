#pragma once
// Conversion of endpoints to socket addresses.

#include "daisydrift/external.h"

#include <netinet/in.h>

namespace daisydrift {

/// Converts an endpoint; returns false when its address is not an IPv4 address.
bool ToSocketAddress(const Endpoint& aEndpoint, sockaddr_in& aOut);

} // namespace daisydrift
