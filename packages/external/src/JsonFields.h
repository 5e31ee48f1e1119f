#pragma once
// Checked numbers of JSON messages. Internal to the package.

#include <nlohmann/json.hpp>

#include <cstdint>

namespace daisydrift {

/// Largest amount, of any unit, that a message may carry. A fleet's sum of such amounts stays far
/// within 64 bits.
constexpr std::uint64_t kMaxAmount = 1'000'000'000'000;

/// Value of member aName, a whole number up to aMaximum; throws nlohmann::json::exception for
/// anything else. The conversion of a fraction or negative number is not left to the library, which
/// does it without a check.
inline std::uint64_t UnsignedField(const nlohmann::json& aObject,
                                   const char* aName,
                                   std::uint64_t aMaximum = UINT64_MAX)
{
  const nlohmann::json& field = aObject.at(aName);
  if (!field.is_number_unsigned() || field.get<std::uint64_t>() > aMaximum) {
    throw nlohmann::json::other_error::create(
      501, std::string("'") + aName + "' is out of range", nullptr);
  }
  return field.get<std::uint64_t>();
}

/// As above, of an amount or a duration in milliseconds.
inline std::int64_t AmountField(const nlohmann::json& aObject, const char* aName)
{
  return static_cast<std::int64_t>(UnsignedField(aObject, aName, kMaxAmount));
}

} // namespace daisydrift
