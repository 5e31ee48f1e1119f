#pragma once
// Parsing of JSON that comes from outside the process.

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace daisydrift {

/// Most levels of lists and objects within each other.
inline constexpr std::size_t kMaxDocumentDepth = 64;

/// Why ParseJson returned nothing, for log lines.
inline constexpr const char* kJsonUnreadable = "not JSON, or nested too deep";

/// Parses JSON; nothing when it is malformed or nested deeper than kMaxDocumentDepth.
std::optional<nlohmann::json> ParseJson(const std::string& aText);

} // namespace daisydrift
