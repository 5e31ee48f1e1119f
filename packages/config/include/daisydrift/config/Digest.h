#pragma once
// SHA-256 digests and their comparison.

#include <string>
#include <string_view>

namespace daisydrift {

/// SHA-256 of aText in lower-case hexadecimal, 64 characters.
std::string Sha256Hex(std::string_view aText);

/// True when both are equal. The time does not depend on the position of the first difference.
bool EqualInConstantTime(std::string_view aLeft, std::string_view aRight);

} // namespace daisydrift
