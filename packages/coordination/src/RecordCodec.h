#pragma once
// JSON encoding of stored records and of calls between instances.

#include "daisydrift/coordination/JsonText.h"
#include "daisydrift/dispatch.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace daisydrift::coordination {

nlohmann::json ToJson(const JobDefinition& aDefinition);
/// Parses a record; nothing when it is malformed. The same holds for the functions below.
std::optional<JobDefinition> JobDefinitionFromJson(const nlohmann::json& aRecord);

/// Replaces the stored definition of a job in a final state.
inline constexpr const char* kDefinitionTombstone = "closed";

/// Parses a stored definition; nothing for a tombstone.
std::optional<JobDefinition> OpenDefinitionFromText(const std::string& aText);

nlohmann::json ToJson(const JobProgress& aProgress);
std::optional<JobProgress> JobProgressFromJson(const nlohmann::json& aRecord);

nlohmann::json ToJson(const AdviceRequest& aRequest);
std::optional<AdviceRequest> AdviceRequestFromJson(const nlohmann::json& aRecord);

} // namespace daisydrift::coordination
