#pragma once
// Reader of JSON with comments.

#include "daisydrift/base.h"
#include "daisydrift/settings/JsonValue.h"

#include <optional>
#include <string>
#include <string_view>

namespace daisydrift {

/// Deepest nesting read; deeper input is refused, so that it cannot exhaust the stack.
constexpr unsigned kMaxJsonDepth = 64;

/// Findings reported for one text; the reader stops after them.
constexpr std::size_t kMaxJsonFindings = 100;

/// Reads JSON; `//` and `/* */` comments are allowed. Never throws. Problems are added to aFindings
/// with the codes "syntax", "duplicate_key", "invalid_utf8" and "too_deep"; after a problem reading
/// goes on at the next member or item. The value is present when its outermost structure could be
/// read, and whole only when nothing was found.
std::optional<JsonValue> ReadJson(std::string_view aText,
                                  const std::string& aSource,
                                  Findings& aFindings);

} // namespace daisydrift
