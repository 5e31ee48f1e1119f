#pragma once
// JSON encoding of edits, used by the operators' interface and the command line.

#include "daisydrift/config/Edits.h"

#include <optional>
#include <string>

namespace daisydrift {

struct JsonValue;

/// JSON text `{"base_version","actor","edit_id","edits":[...]}`; base_version may be absent. Each
/// edit is an object with one member, whose name is the operation: put_team, remove_team,
/// issue_key, revoke_key, put_failure_domain, drain, return, put_service, remove_service,
/// put_policy.
std::string EncodeEdits(const EditRequest& aRequest);

/// Parses the text made by EncodeEdits; returns nothing when there is a finding.
std::optional<EditRequest> ParseEdits(const std::string& aText,
                                      const std::string& aSource,
                                      Findings& aFindings);

/// JSON encoding of one edit.
JsonValue EncodeEdit(const Edit& aEdit);

} // namespace daisydrift
