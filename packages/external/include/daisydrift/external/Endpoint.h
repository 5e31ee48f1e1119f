#pragma once
// IP address and port of a process.

#include <compare>
#include <cstdint>
#include <string>

namespace daisydrift {

/// Address of a listening socket.
struct Endpoint
{
  /// IP address in text form; host names are not resolved.
  std::string address;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/// Text form `address:port`.
std::string ToString(const Endpoint& aEndpoint);

/// Parses `address:port` with an IPv4 address and a port other than 0. Returns false and leaves
/// aOut unchanged when the text is malformed.
bool ParseEndpoint(const std::string& aText, Endpoint& aOut);

} // namespace daisydrift
