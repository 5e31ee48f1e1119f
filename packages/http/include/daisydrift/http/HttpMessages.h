#pragma once
// HTTP requests, responses, header fields and endpoint addresses.

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisydrift {

/// Address of a TCP endpoint: IPv4 address and port.
struct SocketEndpoint
{
  std::string address;
  unsigned short port = 0;

  auto operator<=>(const SocketEndpoint&) const = default;
};

/// Parses `address:port`; returns false and leaves aOut unchanged when aText is malformed or the
/// port is 0.
bool ParseEndpoint(std::string_view aText, SocketEndpoint& aOut);

/// Header fields in the order of the message.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Value of the first field named aName (case-insensitive); empty when absent.
std::string_view FindHeader(const HttpHeaders& aHeaders, std::string_view aName);

struct HttpRequest
{
  std::string method;
  /// Path and query, as on the request line.
  std::string target;
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse
{
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

/// Percent-encodes a value for use in a query string.
std::string EncodeQueryValue(std::string_view aValue);

} // namespace daisydrift
