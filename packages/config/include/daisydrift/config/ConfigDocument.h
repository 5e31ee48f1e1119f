#pragma once
// The configuration document: rows for teams, keys, failure domains, services and the policy.

#include "daisydrift/base.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisydrift {

/// Version of the configuration; each accepted edit request increments it. 0 means "never edited".
using ConfigVersion = std::uint64_t;

/// Wall-clock time in whole seconds. Used in audit entries and for the expiry of keys only.
using WallTime = std::chrono::sys_seconds;

/// Largest length of a name, in characters.
constexpr std::size_t kMaxNameLength = 64;
/// Largest TeamEntry::weight.
constexpr std::uint32_t kMaxTeamWeight = 1'000'000;
/// Largest amount of each resource type in TeamEntry::ceiling, in the units of Resources.
constexpr std::int64_t kMaxCeiling = 1'000'000'000'000;

/// A team with its weight and its resource limits in the whole fleet.
struct TeamEntry
{
  TeamName name;
  /// Relative share of the fleet when it is full, from 1.
  std::uint32_t weight = 1;
  /// Largest sum of resources of the team's running tasks.
  Resources ceiling;
  /// Largest number of running tasks of the team.
  std::uint32_t maxRunningTasks = 0;
  /// Jobs for this team's queue are accepted from any caller, without a key.
  bool hasOpenQueue = false;

  bool operator==(const TeamEntry&) const = default;
};

/// An API key of a team. Only its digest is stored.
struct KeyEntry
{
  /// Identity of the key, unique in the document.
  std::string id;
  TeamName team;
  /// First 8 characters of the key, unique in the document, for display.
  std::string prefix;
  /// SHA-256 of the key in lower-case hexadecimal.
  std::string digest;
  /// Time from which the key is refused; none means that it does not expire.
  std::optional<WallTime> expiry;
  /// Time of the revocation; none means that the key is not revoked.
  std::optional<WallTime> revokedAt;

  bool operator==(const KeyEntry&) const = default;
};

/// A failure domain of the fleet.
struct FailureDomainEntry
{
  FailureDomain name;
  std::string region;
  /// True when the failure domain is out of service: nothing new starts there.
  bool isDrained = false;

  bool operator==(const FailureDomainEntry&) const = default;
};

/// An upstream service for interactive requests.
struct ServiceEntry
{
  std::string name;
  /// Largest number of concurrent requests of all entry instances to one upstream.
  std::uint32_t slotsPerUpstream = 1;
  /// Largest number of connections of all entry instances to one upstream.
  std::uint32_t connectionsPerUpstream = 1;
  /// True when every team may call the service.
  bool isOpenToAllTeams = false;
  /// Teams that may call the service when it is not open to all, sorted.
  std::vector<TeamName> teams;

  bool operator==(const ServiceEntry&) const = default;
};

/// Policy of the whole fleet.
struct PolicyEntry
{
  /// "waiting_time", "packing", or "" to use the settings of each instance.
  std::string preset;

  bool operator==(const PolicyEntry&) const = default;
};

/// One row changed by an edit.
struct AuditChange
{
  /// Name of the row, such as "team/ledger".
  std::string row;
  /// JSON text of the row before and after the edit, without digests of keys; "" when absent.
  std::string before;
  std::string after;

  bool operator==(const AuditChange&) const = default;
};

/// Record of one accepted edit request.
struct AuditEntry
{
  /// Version that the request created; consecutive from entry to entry.
  ConfigVersion version = 0;
  /// Base version of the request, or the version that it was applied to when it has none.
  ConfigVersion baseVersion = 0;
  /// Unique id of the request, made by its author.
  std::string editId;
  /// SHA-256 of the request without its base version, to detect an id that is reused for other
  /// edits.
  std::string requestDigest;
  /// Author of the request.
  std::string actor;
  WallTime when{};
  /// Always "accepted", since refused requests have no entry.
  std::string result;
  std::vector<AuditChange> changes;
  /// SHA-256 of all rows of the document after the request.
  std::string contentDigest;
  /// Digest of the previous entry; "" for the first entry.
  std::string previousDigest;
  /// SHA-256 over all fields above.
  std::string digest;

  bool operator==(const AuditEntry&) const = default;
};

/// The configuration of the fleet, stored as one value.
struct ConfigDocument
{
  ConfigVersion version = 0;
  std::map<TeamName, TeamEntry> teams;
  /// Keys by id.
  std::map<std::string, KeyEntry> keys;
  std::map<FailureDomain, FailureDomainEntry> failureDomains;
  std::map<std::string, ServiceEntry> services;
  PolicyEntry policy;

  /// Version of the last change of each row, including removed rows; rows are named as in
  /// AuditChange.
  std::map<std::string, ConfigVersion> changedIn;
  /// The entries of `changedIn` for rows removed up to this version may be erased, so edits with an
  /// older base version are refused.
  ConfigVersion oldestBase = 0;

  /// The audit tail: the newest audit entries, oldest first.
  std::vector<AuditEntry> audit;
  /// Digest of the newest entry moved to `audit/<n>`; "" when none was moved.
  std::string auditAnchor;
  /// Number of chunks written so far; the next one is `audit/<auditChunks>`.
  std::uint64_t auditChunks = 0;

  bool operator==(const ConfigDocument&) const = default;
};

/// Names of rows, as in AuditChange.
std::string TeamRow(const TeamName& aName);
std::string KeyRow(const std::string& aId);
std::string FailureDomainRow(const FailureDomain& aName);
std::string ServiceRow(const std::string& aName);
/// The only row of the policy.
inline const std::string kPolicyRow = "policy";

/// True for 1 to 64 letters, digits, '-', '_' and '.', starting with a letter or digit.
bool IsValidName(const std::string& aName);

/// Validates the rows of the document and the references between them. aSource names the document
/// in the findings, which have no line.
void ValidateConfig(const ConfigDocument& aDocument,
                    const std::string& aSource,
                    Findings& aFindings);

/// Validate one row; findings are added at aPlace.
void ValidateTeam(const TeamEntry& aTeam, const SourceLocation& aPlace, Findings& aFindings);
void ValidateKey(const KeyEntry& aKey, const SourceLocation& aPlace, Findings& aFindings);
void ValidateFailureDomain(const FailureDomainEntry& aDomain,
                           const SourceLocation& aPlace,
                           Findings& aFindings);
void ValidateService(const ServiceEntry& aService,
                     const SourceLocation& aPlace,
                     Findings& aFindings);
void ValidatePolicy(const PolicyEntry& aPolicy, const SourceLocation& aPlace, Findings& aFindings);

} // namespace daisydrift
