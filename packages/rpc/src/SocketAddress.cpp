#include "SocketAddress.h"

#include <arpa/inet.h>

namespace daisydrift {

bool ToSocketAddress(const Endpoint& aEndpoint, sockaddr_in& aOut)
{
  aOut = {};
  aOut.sin_family = AF_INET;
  aOut.sin_port = htons(aEndpoint.port);
  return ::inet_pton(AF_INET, aEndpoint.address.c_str(), &aOut.sin_addr) == 1;
}

} // namespace daisydrift
