#pragma once
// Reader of JSON with comments.

#include "daisydrift/base.h"
#include "daisydrift/settings/JsonValue.h"

#include <optional>
#include <string>
#include <string_view>

namespace daisydrift {

/// Maximum nesting depth; deeper input is rejected, so that it cannot exhaust the stack.
constexpr unsigned kMaxJsonDepth = 64;

/// Maximum number of findings for one text; the reader stops when it is reached.
constexpr std::size_t kMaxJsonFindings = 100;

/// Reads JSON; `//` and `/* */` comments are allowed. Never throws. Errors are added to aFindings
/// with the codes "syntax", "duplicate_key", "invalid_utf8" and "too_deep"; after an error, reading
/// continues at the next member or item. Returns a value when its outermost structure could be
/// read; the value is complete only when there are no findings.
std::optional<JsonValue> ReadJson(std::string_view aText,
                                  const std::string& aSource,
                                  Findings& aFindings);

} // namespace daisydrift
