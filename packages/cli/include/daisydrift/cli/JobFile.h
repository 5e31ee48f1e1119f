#pragma once
// Job files: JSON with comments.

#include "daisydrift/base.h"

#include <optional>
#include <string>

namespace daisydrift {

/// Validates a job file and returns the JSON body that submits the job. Returns nothing when it has
/// findings, which are added to aFindings with the codes of ReadJson and ObjectReader, or
/// "bad_value". aSource names the file in the findings.
std::optional<std::string> ReadJobFile(const std::string& aText,
                                       const std::string& aSource,
                                       Findings& aFindings);

} // namespace daisydrift
