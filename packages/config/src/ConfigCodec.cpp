#include "daisydrift/config/ConfigCodec.h"

#include "daisydrift/config/Digest.h"
#include "daisydrift/settings.h"

#include <limits>

namespace daisydrift {

namespace {

/// Version of the document's format. A reader refuses other versions, since it would lose the parts
/// that it can't read when it writes the document back.
constexpr std::int64_t kFormatVersion = 1;

constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();

/// Largest wall-clock time accepted, in seconds since 1970: the end of the year 9999.
constexpr std::int64_t kMaxWallTime = 253'402'300'799;

JsonValue Integer(std::uint64_t aValue)
{
  return { static_cast<std::int64_t>(aValue) };
}

JsonValue Seconds(WallTime aTime)
{
  return { static_cast<std::int64_t>(aTime.time_since_epoch().count()) };
}

std::uint32_t ReadCount(ObjectReader& aReader, const char* aName, bool aIsRequired = true)
{
  return static_cast<std::uint32_t>(
    aReader.Integer(aName, 0, std::numeric_limits<std::uint32_t>::max(), aIsRequired));
}

std::uint64_t ReadVersion(ObjectReader& aReader, const char* aName)
{
  return static_cast<std::uint64_t>(aReader.Integer(aName, 0, kMaxInteger));
}

std::optional<WallTime> ReadTime(ObjectReader& aReader, const char* aName, bool aIsRequired = false)
{
  if (aReader.Take(aName, JsonKind::Integer, aIsRequired) == nullptr) {
    return std::nullopt;
  }
  return WallTime(std::chrono::seconds(aReader.Integer(aName, 0, kMaxWallTime)));
}

SourceLocation PlaceOf(const JsonValue& aValue, const std::string& aSource)
{
  return { aSource, aValue.line, aValue.column };
}

/// Adds all rows to aOut, in a fixed order.
void SetRows(JsonValue& aOut, const ConfigDocument& aDocument, KeyDigests aKeyDigests)
{
  JsonValue teams = JsonValue::Array();
  for (const auto& [name, team] : aDocument.teams) {
    teams.items.push_back(EncodeTeam(team));
  }
  JsonValue keys = JsonValue::Array();
  for (const auto& [id, key] : aDocument.keys) {
    keys.items.push_back(EncodeKey(key, aKeyDigests));
  }
  JsonValue domains = JsonValue::Array();
  for (const auto& [name, domain] : aDocument.failureDomains) {
    domains.items.push_back(EncodeFailureDomain(domain));
  }
  JsonValue services = JsonValue::Array();
  for (const auto& [name, service] : aDocument.services) {
    services.items.push_back(EncodeService(service));
  }
  aOut.Set("teams", std::move(teams)).Set("keys", std::move(keys));
  aOut.Set("failure_domains", std::move(domains)).Set("services", std::move(services));
  aOut.Set("policy", EncodePolicy(aDocument.policy));
}

/// Reads an array of rows into a map; reports a duplicate name as a finding.
template<typename Row, typename Read, typename Name>
void ReadRows(ObjectReader& aReader,
              const char* aMember,
              std::map<std::string, Row>& aOut,
              Read aRead,
              Name aName)
{
  const JsonValue* array = aReader.Take(aMember, JsonKind::Array, true);
  if (array == nullptr) {
    return;
  }
  for (const JsonValue& item : array->items) {
    Row row = aRead(item);
    std::string name = row.*aName;
    if (!aOut.emplace(name, std::move(row)).second) {
      aReader.Report(item, "duplicate_row", "\"" + name + "\" is given more than once");
    }
  }
}

void ReadChangedIn(ObjectReader& aReader, ConfigDocument& aOut)
{
  const JsonValue* rows = aReader.Take("changed_in", JsonKind::Object, true);
  if (rows == nullptr) {
    return;
  }
  for (const JsonMember& member : rows->members) {
    if (member.value.kind != JsonKind::Integer || member.value.integer < 0) {
      aReader.Report(member.value, "wrong_type", "version of a row must be an integer from 0");
      continue;
    }
    aOut.changedIn[member.name] = static_cast<ConfigVersion>(member.value.integer);
  }
}

} // namespace

JsonValue EncodeTeam(const TeamEntry& aTeam)
{
  JsonValue value = JsonValue::Object();
  value.Set("name", aTeam.name).Set("weight", Integer(aTeam.weight));
  value.Set("milli_cores", aTeam.ceiling.milliCores);
  value.Set("memory_mib", aTeam.ceiling.memoryMiB);
  value.Set("accelerators", aTeam.ceiling.accelerators);
  value.Set("max_running_tasks", Integer(aTeam.maxRunningTasks));
  value.Set("open_queue", aTeam.hasOpenQueue);
  return value;
}

JsonValue EncodeKey(const KeyEntry& aKey, KeyDigests aKeyDigests)
{
  JsonValue value = JsonValue::Object();
  value.Set("id", aKey.id).Set("team", aKey.team).Set("prefix", aKey.prefix);
  if (aKeyDigests == KeyDigests::Included) {
    value.Set("digest", aKey.digest);
  }
  if (aKey.expiry) {
    value.Set("expires_s", Seconds(*aKey.expiry));
  }
  if (aKey.revokedAt) {
    value.Set("revoked_s", Seconds(*aKey.revokedAt));
  }
  return value;
}

JsonValue EncodeFailureDomain(const FailureDomainEntry& aDomain)
{
  JsonValue value = JsonValue::Object();
  value.Set("name", aDomain.name).Set("region", aDomain.region).Set("drained", aDomain.isDrained);
  return value;
}

JsonValue EncodeService(const ServiceEntry& aService)
{
  JsonValue teams = JsonValue::Array();
  for (const TeamName& team : aService.teams) {
    teams.items.emplace_back(team);
  }
  JsonValue value = JsonValue::Object();
  value.Set("name", aService.name);
  value.Set("slots_per_upstream", Integer(aService.slotsPerUpstream));
  value.Set("connections_per_upstream", Integer(aService.connectionsPerUpstream));
  value.Set("open_to_all_teams", aService.isOpenToAllTeams).Set("teams", std::move(teams));
  return value;
}

JsonValue EncodePolicy(const PolicyEntry& aPolicy)
{
  JsonValue value = JsonValue::Object();
  value.Set("preset", aPolicy.preset);
  return value;
}

TeamEntry ParseTeam(const JsonValue& aValue, const std::string& aSource, Findings& aFindings)
{
  std::size_t before = aFindings.Items().size();
  ObjectReader reader(aValue, aSource, "a team", aFindings);
  TeamEntry team;
  team.name = reader.Text("name");
  team.weight = ReadCount(reader, "weight");
  team.ceiling.milliCores = reader.Integer("milli_cores", 0, kMaxCeiling);
  team.ceiling.memoryMiB = reader.Integer("memory_mib", 0, kMaxCeiling);
  team.ceiling.accelerators = reader.Integer("accelerators", 0, kMaxCeiling);
  team.maxRunningTasks = ReadCount(reader, "max_running_tasks");
  team.hasOpenQueue = reader.Boolean("open_queue", false);
  reader.ReportUnknownKeys();
  if (aFindings.Items().size() == before) {
    ValidateTeam(team, PlaceOf(aValue, aSource), aFindings);
  }
  return team;
}

KeyEntry ParseKey(const JsonValue& aValue,
                  const std::string& aSource,
                  Findings& aFindings,
                  KeyDigests aKeyDigests)
{
  std::size_t before = aFindings.Items().size();
  ObjectReader reader(aValue, aSource, "a key", aFindings);
  KeyEntry key;
  key.id = reader.Text("id");
  key.team = reader.Text("team");
  key.prefix = reader.Text("prefix");
  key.digest = reader.Text("digest", aKeyDigests == KeyDigests::Included);
  key.expiry = ReadTime(reader, "expires_s");
  key.revokedAt = ReadTime(reader, "revoked_s");
  reader.ReportUnknownKeys();
  if (aFindings.Items().size() == before) {
    ValidateKey(key, PlaceOf(aValue, aSource), aFindings);
    if (aKeyDigests == KeyDigests::Included && key.digest.empty()) {
      reader.Report(aValue, "bad_value", "digest of a key must not be empty");
    }
  }
  return key;
}

FailureDomainEntry ParseFailureDomain(const JsonValue& aValue,
                                      const std::string& aSource,
                                      Findings& aFindings)
{
  std::size_t before = aFindings.Items().size();
  ObjectReader reader(aValue, aSource, "a failure domain", aFindings);
  FailureDomainEntry domain;
  domain.name = reader.Text("name");
  domain.region = reader.Text("region");
  domain.isDrained = reader.Boolean("drained", false);
  reader.ReportUnknownKeys();
  if (aFindings.Items().size() == before) {
    ValidateFailureDomain(domain, PlaceOf(aValue, aSource), aFindings);
  }
  return domain;
}

ServiceEntry ParseService(const JsonValue& aValue, const std::string& aSource, Findings& aFindings)
{
  std::size_t before = aFindings.Items().size();
  ObjectReader reader(aValue, aSource, "a service", aFindings);
  ServiceEntry service;
  service.name = reader.Text("name");
  service.slotsPerUpstream = ReadCount(reader, "slots_per_upstream");
  service.connectionsPerUpstream = ReadCount(reader, "connections_per_upstream");
  service.isOpenToAllTeams = reader.Boolean("open_to_all_teams", false);
  if (const JsonValue* teams = reader.Take("teams", JsonKind::Array, false)) {
    for (const JsonValue& team : teams->items) {
      if (team.kind != JsonKind::String) {
        reader.Report(team, "wrong_type", "name of a team must be a string");
      }
      service.teams.push_back(team.text);
    }
  }
  reader.ReportUnknownKeys();
  if (aFindings.Items().size() == before) {
    ValidateService(service, PlaceOf(aValue, aSource), aFindings);
  }
  return service;
}

PolicyEntry ParsePolicy(const JsonValue& aValue, const std::string& aSource, Findings& aFindings)
{
  ObjectReader reader(aValue, aSource, "the policy", aFindings);
  PolicyEntry policy;
  policy.preset = reader.Text("preset");
  reader.ReportUnknownKeys();
  ValidatePolicy(policy, PlaceOf(aValue, aSource), aFindings);
  return policy;
}

JsonValue EncodeAuditEntry(const AuditEntry& aEntry, bool aWithDigest)
{
  JsonValue changes = JsonValue::Array();
  for (const AuditChange& change : aEntry.changes) {
    JsonValue item = JsonValue::Object();
    item.Set("row", change.row).Set("before", change.before).Set("after", change.after);
    changes.items.push_back(std::move(item));
  }
  JsonValue value = JsonValue::Object();
  value.Set("version", Integer(aEntry.version));
  value.Set("base_version", Integer(aEntry.baseVersion));
  value.Set("edit_id", aEntry.editId).Set("request_digest", aEntry.requestDigest);
  value.Set("actor", aEntry.actor).Set("when_s", Seconds(aEntry.when));
  value.Set("result", aEntry.result).Set("changes", std::move(changes));
  value.Set("content_digest", aEntry.contentDigest);
  value.Set("previous_digest", aEntry.previousDigest);
  if (aWithDigest) {
    value.Set("digest", aEntry.digest);
  }
  return value;
}

AuditEntry ParseAuditEntry(const JsonValue& aValue, const std::string& aSource, Findings& aFindings)
{
  ObjectReader reader(aValue, aSource, "an audit entry", aFindings);
  AuditEntry entry;
  entry.version = ReadVersion(reader, "version");
  entry.baseVersion = ReadVersion(reader, "base_version");
  entry.editId = reader.Text("edit_id");
  entry.requestDigest = reader.Text("request_digest");
  entry.actor = reader.Text("actor");
  entry.when = ReadTime(reader, "when_s", true).value_or(WallTime());
  entry.result = reader.Text("result");
  if (const JsonValue* changes = reader.Take("changes", JsonKind::Array, true)) {
    for (const JsonValue& item : changes->items) {
      ObjectReader change(item, aSource, "a change", aFindings);
      entry.changes.push_back({ change.Text("row"), change.Text("before"), change.Text("after") });
      change.ReportUnknownKeys();
    }
  }
  entry.contentDigest = reader.Text("content_digest");
  entry.previousDigest = reader.Text("previous_digest");
  entry.digest = reader.Text("digest");
  reader.ReportUnknownKeys();
  return entry;
}

std::string EncodeConfig(const ConfigDocument& aDocument, KeyDigests aKeyDigests)
{
  JsonValue value = JsonValue::Object();
  value.Set("format", kFormatVersion).Set("version", Integer(aDocument.version));
  SetRows(value, aDocument, aKeyDigests);
  JsonValue changedIn = JsonValue::Object();
  for (const auto& [row, version] : aDocument.changedIn) {
    changedIn.members.push_back({ row, 0, 0, Integer(version) });
  }
  value.Set("changed_in", std::move(changedIn)).Set("oldest_base", Integer(aDocument.oldestBase));
  JsonValue audit = JsonValue::Array();
  for (const AuditEntry& entry : aDocument.audit) {
    audit.items.push_back(EncodeAuditEntry(entry));
  }
  value.Set("audit", std::move(audit)).Set("audit_anchor", aDocument.auditAnchor);
  value.Set("audit_chunks", Integer(aDocument.auditChunks));
  return ToJsonText(value);
}

std::optional<ConfigDocument> ParseConfig(const std::string& aText,
                                          const std::string& aSource,
                                          Findings& aFindings,
                                          KeyDigests aKeyDigests)
{
  Findings own;
  ConfigDocument document;
  if (std::optional<JsonValue> root = ReadJson(aText, aSource, own)) {
    ObjectReader reader(*root, aSource, "the configuration", own);
    reader.Integer("format", kFormatVersion, kFormatVersion);
    document.version = ReadVersion(reader, "version");
    auto with = [&](auto aParse) {
      return [&, aParse](const JsonValue& aItem) { return aParse(aItem, aSource, own); };
    };
    auto readKey = [&](const JsonValue& aItem) {
      return ParseKey(aItem, aSource, own, aKeyDigests);
    };
    ReadRows(reader, "teams", document.teams, with(ParseTeam), &TeamEntry::name);
    ReadRows(reader, "keys", document.keys, readKey, &KeyEntry::id);
    ReadRows(reader,
             "failure_domains",
             document.failureDomains,
             with(ParseFailureDomain),
             &FailureDomainEntry::name);
    ReadRows(reader, "services", document.services, with(ParseService), &ServiceEntry::name);
    if (const JsonValue* policy = reader.Take("policy", JsonKind::Object, true)) {
      document.policy = ParsePolicy(*policy, aSource, own);
    }
    ReadChangedIn(reader, document);
    document.oldestBase = ReadVersion(reader, "oldest_base");
    if (const JsonValue* audit = reader.Take("audit", JsonKind::Array, true)) {
      for (const JsonValue& item : audit->items) {
        document.audit.push_back(ParseAuditEntry(item, aSource, own));
      }
    }
    document.auditAnchor = reader.Text("audit_anchor");
    document.auditChunks = ReadVersion(reader, "audit_chunks");
    reader.ReportUnknownKeys();
  }
  if (own.Empty()) {
    ValidateConfig(document, aSource, own);
  }
  aFindings.Append(own);
  if (!own.Empty()) {
    return std::nullopt;
  }
  return document;
}

std::string ContentDigest(const ConfigDocument& aDocument)
{
  JsonValue rows = JsonValue::Object();
  SetRows(rows, aDocument, KeyDigests::Included);
  return Sha256Hex(ToJsonText(rows));
}

} // namespace daisydrift
