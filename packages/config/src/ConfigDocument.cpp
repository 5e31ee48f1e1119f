#include "daisydrift/config/ConfigDocument.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace daisydrift {

namespace {

/// Length of a SHA-256 digest in hexadecimal digits.
constexpr std::size_t kDigestLength = 64;

/// Length of KeyEntry::prefix in characters.
constexpr std::size_t kPrefixLength = 8;

/// Largest number of slots or connections of one upstream.
constexpr std::uint32_t kMaxUpstreamLimit = 1'000'000;

void CheckName(const std::string& aName,
               const char* aWhat,
               const SourceLocation& aPlace,
               Findings& aFindings)
{
  if (!IsValidName(aName)) {
    aFindings.Add(aPlace,
                  "bad_name",
                  std::string(aWhat) +
                    " must be 1 to 64 letters, digits, '-', '_' or '.', starting with a letter or "
                    "digit");
  }
}

void CheckRange(std::int64_t aValue,
                std::int64_t aMinimum,
                std::int64_t aMaximum,
                const char* aWhat,
                const SourceLocation& aPlace,
                Findings& aFindings)
{
  if (aValue < aMinimum || aValue > aMaximum) {
    aFindings.Add(aPlace,
                  "out_of_range",
                  std::string(aWhat) + " must be from " + std::to_string(aMinimum) + " to " +
                    std::to_string(aMaximum));
  }
}

bool IsHex(const std::string& aText)
{
  return aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

/// Validates the keys, their uniqueness and their teams.
void ValidateKeys(const ConfigDocument& aDocument,
                  const SourceLocation& aPlace,
                  Findings& aFindings)
{
  std::set<std::string> prefixes;
  std::set<std::string> digests;
  for (const auto& [id, key] : aDocument.keys) {
    ValidateKey(key, aPlace, aFindings);
    if (!prefixes.insert(key.prefix).second) {
      aFindings.Add(aPlace, "duplicate_key_prefix", "prefix of key " + id + " is used twice");
    }
    if (!key.digest.empty() && !digests.insert(key.digest).second) {
      aFindings.Add(aPlace, "duplicate_key_digest", "digest of key " + id + " is used twice");
    }
    if (!key.revokedAt && aDocument.teams.count(key.team) == 0) {
      aFindings.Add(
        aPlace, "unknown_team", "key " + id + " is for team " + key.team + ", which doesn't exist");
    }
  }
}

} // namespace

std::string TeamRow(const TeamName& aName)
{
  return "team/" + aName;
}

std::string KeyRow(const std::string& aId)
{
  return "key/" + aId;
}

std::string FailureDomainRow(const FailureDomain& aName)
{
  return "failure-domain/" + aName;
}

std::string ServiceRow(const std::string& aName)
{
  return "service/" + aName;
}

bool IsValidName(const std::string& aName)
{
  auto isAlphanumeric = [](char aCharacter) {
    return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0;
  };
  auto isAllowed = [&isAlphanumeric](char aCharacter) {
    return isAlphanumeric(aCharacter) || aCharacter == '-' || aCharacter == '_' ||
           aCharacter == '.';
  };
  return !aName.empty() && aName.size() <= kMaxNameLength && isAlphanumeric(aName.front()) &&
         std::all_of(aName.begin(), aName.end(), isAllowed);
}

void ValidateTeam(const TeamEntry& aTeam, const SourceLocation& aPlace, Findings& aFindings)
{
  CheckName(aTeam.name, "name of a team", aPlace, aFindings);
  CheckRange(aTeam.weight, 1, kMaxTeamWeight, "weight", aPlace, aFindings);
  CheckRange(aTeam.ceiling.milliCores, 0, kMaxCeiling, "milli_cores", aPlace, aFindings);
  CheckRange(aTeam.ceiling.memoryMiB, 0, kMaxCeiling, "memory_mib", aPlace, aFindings);
  CheckRange(aTeam.ceiling.accelerators, 0, kMaxCeiling, "accelerators", aPlace, aFindings);
}

void ValidateKey(const KeyEntry& aKey, const SourceLocation& aPlace, Findings& aFindings)
{
  CheckName(aKey.id, "id of a key", aPlace, aFindings);
  CheckName(aKey.team, "team of a key", aPlace, aFindings);
  if (aKey.prefix.size() != kPrefixLength || !IsValidName(aKey.prefix)) {
    aFindings.Add(aPlace, "bad_value", "prefix of a key must be the first 8 characters of the key");
  }
  // The digest is absent in a document for display.
  if (!aKey.digest.empty() && (aKey.digest.size() != kDigestLength || !IsHex(aKey.digest))) {
    aFindings.Add(aPlace, "bad_value", "digest of a key must be 64 lower-case hexadecimal digits");
  }
}

void ValidateFailureDomain(const FailureDomainEntry& aDomain,
                           const SourceLocation& aPlace,
                           Findings& aFindings)
{
  CheckName(aDomain.name, "name of a failure domain", aPlace, aFindings);
  CheckName(aDomain.region, "region of a failure domain", aPlace, aFindings);
}

void ValidateService(const ServiceEntry& aService,
                     const SourceLocation& aPlace,
                     Findings& aFindings)
{
  CheckName(aService.name, "name of a service", aPlace, aFindings);
  CheckRange(
    aService.slotsPerUpstream, 1, kMaxUpstreamLimit, "slots_per_upstream", aPlace, aFindings);
  CheckRange(aService.connectionsPerUpstream,
             1,
             kMaxUpstreamLimit,
             "connections_per_upstream",
             aPlace,
             aFindings);
  for (const TeamName& team : aService.teams) {
    CheckName(team, "team of a service", aPlace, aFindings);
  }
  if (std::adjacent_find(aService.teams.begin(), aService.teams.end(), std::greater_equal<>()) !=
      aService.teams.end()) {
    aFindings.Add(aPlace, "bad_value", "teams of a service must be sorted and different");
  }
}

void ValidatePolicy(const PolicyEntry& aPolicy, const SourceLocation& aPlace, Findings& aFindings)
{
  if (!aPolicy.preset.empty() && aPolicy.preset != "waiting_time" && aPolicy.preset != "packing") {
    aFindings.Add(aPlace, "bad_value", "preset must be \"waiting_time\", \"packing\" or empty");
  }
}

void ValidateConfig(const ConfigDocument& aDocument,
                    const std::string& aSource,
                    Findings& aFindings)
{
  const SourceLocation kPlace{ aSource };
  for (const auto& [name, team] : aDocument.teams) {
    ValidateTeam(team, kPlace, aFindings);
  }
  ValidateKeys(aDocument, kPlace, aFindings);
  for (const auto& [name, domain] : aDocument.failureDomains) {
    ValidateFailureDomain(domain, kPlace, aFindings);
  }
  for (const auto& [name, service] : aDocument.services) {
    ValidateService(service, kPlace, aFindings);
    for (const TeamName& team : service.teams) {
      if (aDocument.teams.count(team) == 0) {
        aFindings.Add(kPlace,
                      "unknown_team",
                      "service " + name + " names team " + team + ", which doesn't exist");
      }
    }
  }
  ValidatePolicy(aDocument.policy, kPlace, aFindings);
  for (const auto& [row, version] : aDocument.changedIn) {
    CheckRange(static_cast<std::int64_t>(version),
               1,
               static_cast<std::int64_t>(aDocument.version),
               "version of a row",
               kPlace,
               aFindings);
  }
}

} // namespace daisydrift
