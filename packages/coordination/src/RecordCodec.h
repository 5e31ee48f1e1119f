#pragma once
// JSON encoding of stored records and of calls between instances.

#include "daisydrift/coordination/JsonText.h"
#include "daisydrift/dispatch.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace daisydrift::coordination {

nlohmann::json ToJson(const JobDefinition& aDefinition);
/// Parses a record; nothing when it is malformed, and then the reason in aError if that is not
/// null. The same holds for the functions below.
std::optional<JobDefinition> JobDefinitionFromJson(const nlohmann::json& aRecord,
                                                   std::string* aError = nullptr);

/// Highest term that is read: an election each second for thirty years. A higher one would
/// leave no greater terms and run numbers to later leaders.
inline constexpr Epoch kMaxTerm = 1'000'000'000'000;

/// Fencing numbers of one term. Its leader uses the first one for all workers, and a higher one for
/// each worker that restarts, which has forgotten those that it had seen.
inline constexpr Epoch kFencesPerTerm = 1000;

/// Number of the term that follows; above all fencing numbers of the terms up to aNewest, which may
/// be of a version that used one number a term. Not 1, which is the first term, unless aNewest is
/// 0.
constexpr Epoch TermAfter(Epoch aNewest)
{
  return aNewest == 0 ? 1 : (aNewest / kFencesPerTerm + 1) * kFencesPerTerm;
}

/// Replaces the stored definition of a job in a final state.
inline constexpr const char* kDefinitionTombstone = "closed";

/// Takes the place of the definition of a job that was cancelled before it was stored, so that no
/// write of it that is late or repeated finds the id unused.
inline constexpr const char* kWithdrawnTombstone = "withdrawn";

/// True for the text that replaces a definition.
bool IsTombstone(const std::string& aText);

/// Parses a stored definition; nothing, and no error, for a tombstone.
std::optional<JobDefinition> OpenDefinitionFromText(const std::string& aText,
                                                    std::string* aError = nullptr);

nlohmann::json ToJson(const JobProgress& aProgress);
std::optional<JobProgress> JobProgressFromJson(const nlohmann::json& aRecord,
                                               std::string* aError = nullptr);
std::optional<JobProgress> JobProgressFromText(const std::string& aText,
                                               std::string* aError = nullptr);

/// Text of one part of the progress of a job that is stored in parts.
std::string ProgressPartToText(const std::vector<StepProgress>& aSteps);
std::optional<std::vector<StepProgress>> ProgressPartFromText(const std::string& aText,
                                                              std::string* aError = nullptr);

nlohmann::json ToJson(const AdviceRequest& aRequest);
std::optional<AdviceRequest> AdviceRequestFromJson(const nlohmann::json& aRecord,
                                                   std::string* aError = nullptr);

} // namespace daisydrift::coordination
