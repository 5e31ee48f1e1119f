#pragma once
// Parsing of JSON that comes from outside the process.

#include <nlohmann/json.hpp>

#include <cstddef>
#include <limits>
#include <optional>
#include <string>

namespace daisydrift {

/// Most levels of lists and objects within each other.
inline constexpr std::size_t kMaxDocumentDepth = 64;

/// Most values in a call of a peer. The largest legal one is a notice of 128 KiB of jobs, in which
/// each value takes two bytes at least.
inline constexpr std::size_t kMaxPeerCallValues = 131'072;

/// Why ParseJson returned nothing, for log lines.
inline constexpr const char* kJsonUnreadable = "not JSON, or nested too deep";

/// Parses JSON; nothing when it is malformed, nested deeper than kMaxDocumentDepth or has more than
/// aMaxValues values. Members of objects count as two.
std::optional<nlohmann::json> ParseJson(
  const std::string& aText,
  std::size_t aMaxValues = std::numeric_limits<std::size_t>::max());

} // namespace daisydrift
