#pragma once
// Typed edits of the configuration and their application.

#include "daisydrift/config/ConfigDocument.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisydrift {

/// Creates or replaces a team.
struct PutTeam
{
  TeamEntry team;
  bool operator==(const PutTeam&) const = default;
};

/// Removes a team, revokes its keys and withdraws its access to services.
struct RemoveTeam
{
  TeamName name;
  bool operator==(const RemoveTeam&) const = default;
};

/// Adds a key; its id, prefix and digest must be new and its team must exist. Keys that ended more
/// than kEndedKeyRetention ago are dropped at the same time.
struct IssueKey
{
  KeyEntry key;
  bool operator==(const IssueKey&) const = default;
};

/// Revokes a key for good.
struct RevokeKey
{
  /// Id or prefix of the key.
  std::string key;
  bool operator==(const RevokeKey&) const = default;
};

/// Makes a failure domain known; a known one keeps its drained state.
struct PutFailureDomain
{
  FailureDomain name;
  std::string region;
  bool operator==(const PutFailureDomain&) const = default;
};

/// Takes a failure domain out of service.
struct DrainFailureDomain
{
  FailureDomain name;
  bool operator==(const DrainFailureDomain&) const = default;
};

/// Returns a failure domain to service.
struct ReturnFailureDomain
{
  FailureDomain name;
  bool operator==(const ReturnFailureDomain&) const = default;
};

/// Creates or replaces a service.
struct PutService
{
  ServiceEntry service;
  bool operator==(const PutService&) const = default;
};

/// Removes a service.
struct RemoveService
{
  std::string name;
  bool operator==(const RemoveService&) const = default;
};

/// Replaces the policy.
struct PutPolicy
{
  PolicyEntry policy;
  bool operator==(const PutPolicy&) const = default;
};

/// One edit.
using Edit = std::variant<PutTeam,
                          RemoveTeam,
                          IssueKey,
                          RevokeKey,
                          PutFailureDomain,
                          DrainFailureDomain,
                          ReturnFailureDomain,
                          PutService,
                          RemoveService,
                          PutPolicy>;

/// Edits that are accepted or refused as a whole.
struct EditRequest
{
  /// Version that the author had seen. None: the edits hold for any version, as when a failure
  /// domain must leave whatever else has changed; then no row conflicts.
  std::optional<ConfigVersion> baseVersion;
  /// Who asks, for the audit trail.
  std::string actor;
  /// Unique id, made by the author; the same id is never carried out twice.
  std::string editId;
  std::vector<Edit> edits;
};

/// A row that was changed after the base version of an edit.
struct EditConflict
{
  std::string row;
  std::string message;
};

/// How long keys that were revoked or have expired stay listed.
constexpr std::chrono::hours kEndedKeyRetention{ 24 * 7 };

/// Ended keys dropped by one edit; more would not fit its audit entry.
constexpr std::size_t kMaxDroppedKeys = 100;

/// Removed rows remembered for the detection of conflicts.
constexpr std::size_t kMaxRemovedRows = 200;

/// Edits that add rows are refused when the document would exceed this size in bytes. The rest up
/// to kMaxStoreValueBytes is kept for edits that must stay possible, such as revoking a key.
constexpr std::size_t kMaxGrownConfigBytes = 800'000;

/// Largest audit entry in bytes; bounds the edits of one request.
constexpr std::size_t kMaxAuditEntryBytes = 100'000;

/// Outcome of ApplyEdits.
struct EditOutcome
{
  /// Zero when accepted. Conflict: see conflicts. InvalidArgument: see findings. ConfigEditor adds
  /// the errors of the store; only after OutcomeUnknown the edit may have been carried out.
  std::error_code error;
  /// The version in which the edit is in force, when accepted.
  ConfigVersion version = 0;
  std::vector<EditConflict> conflicts;
  Findings findings;
  /// False when accepted without a change: everything was as asked for, or the edit had been
  /// carried out before.
  bool hasChanged = false;
};

/// Applies all edits of aRequest to aDocument, or none. Edits made on an older base version
/// succeed when the rows that they touch have not changed since. A change raises the version by one
/// and appends one audit entry; a request whose edit id is in the audit tail changes nothing and
/// gives the version that it made. When SpillAudit(aDocument) gives a chunk, the caller must have
/// written it to the store before, since the result no longer holds its entries.
EditOutcome ApplyEdits(ConfigDocument& aDocument, const EditRequest& aRequest, WallTime aNow);

} // namespace daisydrift
