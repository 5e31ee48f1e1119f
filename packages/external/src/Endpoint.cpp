#include "daisydrift/external/Endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace daisydrift {

std::string ToString(const Endpoint& aEndpoint)
{
  return aEndpoint.address + ":" + std::to_string(aEndpoint.port);
}

bool ParseEndpoint(const std::string& aText, Endpoint& aOut)
{
  auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  Endpoint endpoint;
  endpoint.address = aText.substr(0, colon);
  in_addr parsed{};
  if (inet_pton(AF_INET, endpoint.address.c_str(), &parsed) != 1) {
    return false;
  }
  const char* first = aText.data() + colon + 1;
  const char* last = aText.data() + aText.size();
  auto [next, error] = std::from_chars(first, last, endpoint.port);
  if (error != std::errc() || next != last || endpoint.port == 0) {
    return false;
  }
  aOut = endpoint;
  return true;
}

} // namespace daisydrift
