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

/// Adds a key; its id, prefix and digest must be new, and its team must exist. Also removes keys
/// that were revoked or have expired more than kInactiveKeyRetention ago.
struct IssueKey
{
  KeyEntry key;
  bool operator==(const IssueKey&) const = default;
};

/// Revokes a key permanently.
struct RevokeKey
{
  /// Id or prefix of the key.
  std::string key;
  bool operator==(const RevokeKey&) const = default;
};

/// Creates or replaces a failure domain; an existing one keeps its drained state.
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

/// Edits that are applied atomically.
struct EditRequest
{
  /// Version that the author has seen; rows changed since then conflict. None: the edits apply to
  /// any version without conflicts, for example when a failure domain must be drained whatever else
  /// has changed.
  std::optional<ConfigVersion> baseVersion;
  /// Author of the request, for the audit log.
  std::string actor;
  /// Unique id made by the author; requests with the same id are applied at most once.
  std::string editId;
  std::vector<Edit> edits;
};

/// A row that was changed after the base version of a request.
struct EditConflict
{
  std::string row;
  std::string message;
};

/// How long keys stay in the document after they were revoked or have expired.
constexpr std::chrono::hours kInactiveKeyRetention{ 24 * 7 };

/// Largest number of inactive keys removed by one edit; more would exceed the size of its audit
/// entry.
constexpr std::size_t kMaxDroppedKeys = 100;

/// Largest number of removed rows kept in ConfigDocument::changedIn to detect conflicts.
constexpr std::size_t kMaxRemovedRows = 200;

/// Requests that add rows are refused when the document would exceed this size in bytes. The rest
/// up to kMaxStoreValueBytes is reserved for edits that must stay possible, such as revoking a key.
constexpr std::size_t kMaxConfigBytesForNewRows = 800'000;

/// Largest audit entry in bytes; this limits the edits of one request.
constexpr std::size_t kMaxAuditEntryBytes = 100'000;

/// Result of ApplyEdits.
struct EditOutcome
{
  /// No error when accepted. Conflict: see conflicts. InvalidArgument: see findings. ConfigEditor
  /// adds the errors of the store. Only after OutcomeUnknown may the request have been applied.
  std::error_code error;
  /// The version that contains the edits, when accepted.
  ConfigVersion version = 0;
  std::vector<EditConflict> conflicts;
  Findings findings;
  /// False when accepted without a change: the document already had the requested content, or the
  /// request was applied before.
  bool hasChanged = false;
};

/// Applies all edits of aRequest to aDocument, or none. Edits on an older base version succeed when
/// the rows that they affect have not changed since. A change increments the version and appends
/// one audit entry. A request whose edit id is in the audit tail changes nothing and returns the
/// version that it created. When MakeAuditChunk(aDocument) returns a chunk, the caller must write
/// it to the store before this call, since the call removes the chunk's entries from the document.
EditOutcome ApplyEdits(ConfigDocument& aDocument, const EditRequest& aRequest, WallTime aNow);

} // namespace daisydrift
