#pragma once
// The configuration document.

#include "daisydrift/base.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisydrift {

/// Version of the configuration; each accepted edit raises it by one. 0 means "never edited".
using ConfigVersion = std::uint64_t;

/// Wall-clock time in whole seconds. Used in audit entries and for the expiry of keys only.
using WallTime = std::chrono::sys_seconds;

/// Bounds of the document.
constexpr std::size_t kMaxNameLength = 64;
constexpr std::uint32_t kMaxTeamWeight = 1'000'000;
constexpr std::int64_t kMaxCeiling = 1'000'000'000'000;

/// A team with its weight and its ceiling across the whole fleet.
struct TeamEntry
{
  TeamName name;
  /// Share relative to other teams when the fleet is full, from 1.
  std::uint32_t weight = 1;
  /// Resources that the team may have running at once.
  Resources ceiling;
  /// Tasks that the team may have running at once.
  std::uint32_t maxRunningTasks = 0;
  /// Work for this team's queue is accepted from everybody, without a key.
  bool hasOpenQueue = false;

  bool operator==(const TeamEntry&) const = default;
};

/// A key that members of a team use. Only its digest is kept.
struct KeyEntry
{
  /// Identity of the key, unique in the document.
  std::string id;
  TeamName team;
  /// First 8 characters of the key, unique in the document, for people.
  std::string prefix;
  /// SHA-256 of the key in lower-case hexadecimal.
  std::string digest;
  /// Time from which the key is refused; none means never.
  std::optional<WallTime> expiry;
  /// Time of its revocation; none means that it is not revoked.
  std::optional<WallTime> revokedAt;

  bool operator==(const KeyEntry&) const = default;
};

/// A failure domain of the fleet.
struct FailureDomainEntry
{
  FailureDomain name;
  std::string region;
  /// Taken out of service: nothing new starts there.
  bool isDrained = false;

  bool operator==(const FailureDomainEntry&) const = default;
};

/// An upstream service for interactive requests.
struct ServiceEntry
{
  std::string name;
  std::uint32_t slotsPerUpstream = 1;
  std::uint32_t connectionsPerUpstream = 1;
  /// Every team may call the service.
  bool isOpenToAllTeams = false;
  /// Teams that may call it when it is not open to all, sorted.
  std::vector<TeamName> teams;

  bool operator==(const ServiceEntry&) const = default;
};

/// Policy of the whole fleet.
struct PolicyEntry
{
  /// "waiting_time", "packing", or "" to leave it to the settings of each instance.
  std::string preset;

  bool operator==(const PolicyEntry&) const = default;
};

/// One row changed by an edit.
struct AuditChange
{
  /// Row such as "team/ledger".
  std::string row;
  /// JSON text of the row before and after, without digests of keys; "" means absent.
  std::string before;
  std::string after;

  bool operator==(const AuditChange&) const = default;
};

/// Record of one accepted edit.
struct AuditEntry
{
  /// Version that the edit made; entries are numbered by it without gaps.
  ConfigVersion version = 0;
  /// Version that the editor had seen.
  ConfigVersion baseVersion = 0;
  /// Unique id of the edit, given by its author.
  std::string editId;
  /// SHA-256 of the edits asked for, without their base version, so that an id is not taken twice
  /// for different edits.
  std::string requestDigest;
  std::string actor;
  WallTime when{};
  std::string result;
  std::vector<AuditChange> changes;
  /// SHA-256 of all rows of the document after the edit.
  std::string contentDigest;
  /// Digest of the entry before; "" for the first.
  std::string previousDigest;
  /// SHA-256 over all fields above.
  std::string digest;

  bool operator==(const AuditEntry&) const = default;
};

/// The configuration of the fleet. One value of the store holds all of it.
struct ConfigDocument
{
  ConfigVersion version = 0;
  std::map<TeamName, TeamEntry> teams;
  /// By id.
  std::map<std::string, KeyEntry> keys;
  std::map<FailureDomain, FailureDomainEntry> failureDomains;
  std::map<std::string, ServiceEntry> services;
  PolicyEntry policy;

  /// Version of the last change of each row, also of rows removed; rows are named as in
  /// AuditChange.
  std::map<std::string, ConfigVersion> changedIn;
  /// Removals up to this version are forgotten, so edits made on older versions are refused.
  ConfigVersion oldestBase = 0;

  /// The newest audit entries, oldest first.
  std::vector<AuditEntry> audit;
  /// Digest of the newest entry moved to `audit/<n>`; "" when none was moved.
  std::string auditAnchor;
  /// Chunks moved so far: the next one is `audit/<auditChunks>`.
  std::uint64_t auditChunks = 0;

  bool operator==(const ConfigDocument&) const = default;
};

/// Names of rows.
std::string TeamRow(const TeamName& aName);
std::string KeyRow(const std::string& aId);
std::string FailureDomainRow(const FailureDomain& aName);
std::string ServiceRow(const std::string& aName);
/// The only row of the policy.
inline const std::string kPolicyRow = "policy";

/// True for 1 to 64 letters, digits, '-', '_' and '.', starting with a letter or digit.
bool IsValidName(const std::string& aName);

/// Checks the rules of the document, also those between rows. aSource names the document in
/// findings, which have no line.
void ValidateConfig(const ConfigDocument& aDocument,
                    const std::string& aSource,
                    Findings& aFindings);

/// Checks of one row; each adds findings at aPlace.
void ValidateTeam(const TeamEntry& aTeam, const Place& aPlace, Findings& aFindings);
void ValidateKey(const KeyEntry& aKey, const Place& aPlace, Findings& aFindings);
void ValidateFailureDomain(const FailureDomainEntry& aDomain,
                           const Place& aPlace,
                           Findings& aFindings);
void ValidateService(const ServiceEntry& aService, const Place& aPlace, Findings& aFindings);
void ValidatePolicy(const PolicyEntry& aPolicy, const Place& aPlace, Findings& aFindings);

} // namespace daisydrift
