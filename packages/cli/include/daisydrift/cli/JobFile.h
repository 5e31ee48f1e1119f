#pragma once
// Job files: JSON with comments.

#include "daisydrift/base.h"

#include <optional>
#include <string>

namespace daisydrift {

/// Checks a job file and returns the body of its submission; nothing when there is a finding.
/// Codes: those of ReadJson and ObjectReader, and "bad_value".
std::optional<std::string> ReadJobFile(const std::string& aText,
                                       const std::string& aSource,
                                       Findings& aFindings);

} // namespace daisydrift
