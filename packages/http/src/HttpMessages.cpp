#include "daisydrift/http/HttpMessages.h"

#include <asio/ip/address_v4.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace daisydrift {

bool ParseEndpoint(std::string_view aText, SocketEndpoint& aOut)
{
  std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  std::string address(aText.substr(0, colon));
  std::error_code error;
  asio::ip::make_address_v4(address, error);
  unsigned short port = 0;
  const char* end = aText.data() + aText.size();
  auto parsed = std::from_chars(aText.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
    return false;
  }
  aOut = { std::move(address), port };
  return true;
}

std::string_view FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  auto isEqual = [](char aLeft, char aRight) {
    return std::tolower(static_cast<unsigned char>(aLeft)) ==
           std::tolower(static_cast<unsigned char>(aRight));
  };
  for (const auto& [name, value] : aHeaders) {
    if (std::equal(name.begin(), name.end(), aName.begin(), aName.end(), isEqual)) {
      return value;
    }
  }
  return {};
}

std::string EncodeQueryValue(std::string_view aValue)
{
  static const char kHexDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (char character : aValue) {
    auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 || character == '-' || character == '_' || character == '.' ||
        character == '/') {
      encoded += character;
    } else {
      encoded += '%';
      encoded += kHexDigits[byte >> 4];
      encoded += kHexDigits[byte & 15];
    }
  }
  return encoded;
}

} // namespace daisydrift
