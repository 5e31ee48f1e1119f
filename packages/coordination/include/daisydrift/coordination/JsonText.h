#pragma once
// Parsing of JSON that comes from outside the process.

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace daisydrift {

/// Parses JSON; nothing when it is malformed.
std::optional<nlohmann::json> ParseJson(const std::string& aText);

} // namespace daisydrift
