#pragma once
// Conversions between standard strings and Cap'n Proto text and data.

#include <capnp/blob.h>

#include <string>

namespace daisydrift {

inline capnp::Text::Reader ToText(const std::string& aValue)
{
  return { aValue.c_str(), aValue.size() };
}

inline capnp::Data::Reader ToData(const std::string& aValue)
{
  return { reinterpret_cast<const kj::byte*>(aValue.data()), aValue.size() };
}

inline std::string FromText(capnp::Text::Reader aValue)
{
  return { aValue.cStr(), aValue.size() };
}

inline std::string FromData(capnp::Data::Reader aValue)
{
  return { reinterpret_cast<const char*>(aValue.begin()), aValue.size() };
}

} // namespace daisydrift
