#include "daisydrift/config/Edits.h"

#include "daisydrift/config/Audit.h"
#include "daisydrift/config/ConfigCodec.h"
#include "daisydrift/config/Digest.h"
#include "daisydrift/config/EditCodec.h"
#include "daisydrift/external.h"
#include "daisydrift/settings.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace daisydrift {

namespace {

/// Largest length of an actor's name in an audit entry, in bytes.
constexpr std::size_t kMaxActorLength = 256;

/// Applies the edits of one request to a copy of the document, and collects conflicts and findings.
class EditBatch
{
public:
  EditBatch(const ConfigDocument& aBase,
            ConfigVersion aBaseVersion,
            WallTime aNow,
            EditOutcome& aOutcome)
    : base(aBase)
    , baseVersion(aBaseVersion)
    , now(aNow)
    , outcome(aOutcome)
    , next(aBase)
  {
  }

  void ApplyAll(const std::vector<Edit>& aEdits)
  {
    for (std::size_t i = 0; i < aEdits.size(); ++i) {
      this->place.source = "edits[" + std::to_string(i) + "]";
      std::visit([this](const auto& aEdit) { this->Apply(aEdit); }, aEdits[i]);
    }
  }

  ConfigDocument& Next() { return this->next; }

private:
  /// True when the row has not changed since the base version; otherwise adds a conflict.
  bool CheckUnchanged(const std::string& aRow)
  {
    auto found = this->base.changedIn.find(aRow);
    if (found == this->base.changedIn.end() || found->second <= this->baseVersion) {
      return true;
    }
    if (this->conflictRows.insert(aRow).second) {
      this->outcome.conflicts.push_back({ aRow,
                                          "changed in version " + std::to_string(found->second) +
                                            ", after the base version " +
                                            std::to_string(this->baseVersion) });
    }
    return false;
  }

  void Report(const char* aCode, const std::string& aMessage)
  {
    this->outcome.findings.Add(this->place, aCode, aMessage);
  }

  /// True when aCheck adds no findings.
  template<typename Check, typename Row>
  bool IsValid(Check aCheck, const Row& aRow)
  {
    std::size_t before = this->outcome.findings.Items().size();
    aCheck(aRow, this->place, this->outcome.findings);
    return this->outcome.findings.Items().size() == before;
  }

  /// True when the team exists; otherwise adds a conflict if the team was removed after the base
  /// version, and a finding if not.
  bool RequireTeam(const TeamName& aTeam)
  {
    if (this->next.teams.count(aTeam) > 0) {
      return true;
    }
    if (this->CheckUnchanged(TeamRow(aTeam))) {
      this->Report("unknown_team", "team " + aTeam + " does not exist");
    }
    return false;
  }

  void Apply(const PutTeam& aEdit)
  {
    if (this->IsValid(ValidateTeam, aEdit.team) && this->CheckUnchanged(TeamRow(aEdit.team.name))) {
      this->next.teams[aEdit.team.name] = aEdit.team;
    }
  }

  void Apply(const RemoveTeam& aEdit)
  {
    if (!this->CheckUnchanged(TeamRow(aEdit.name))) {
      return;
    }
    if (this->next.teams.erase(aEdit.name) == 0) {
      this->Report("not_found", "team " + aEdit.name + " does not exist");
      return;
    }
    for (auto& [id, key] : this->next.keys) {
      if (key.team == aEdit.name && !key.revokedAt && this->CheckUnchanged(KeyRow(id))) {
        key.revokedAt = this->now;
      }
    }
    for (auto& [name, service] : this->next.services) {
      auto found = std::find(service.teams.begin(), service.teams.end(), aEdit.name);
      if (found != service.teams.end() && this->CheckUnchanged(ServiceRow(name))) {
        service.teams.erase(found);
      }
    }
  }

  void Apply(const IssueKey& aEdit)
  {
    const KeyEntry& key = aEdit.key;
    if (!this->IsValid(ValidateKey, key) || !this->CheckUnchanged(KeyRow(key.id)) ||
        !this->RequireTeam(key.team)) {
      return;
    }
    if (key.digest.empty() || key.revokedAt) {
      this->Report("bad_value", "a new key needs a digest and must not be revoked");
      return;
    }
    for (const auto& [id, other] : this->next.keys) {
      if (id == key.id || other.prefix == key.prefix || other.digest == key.digest) {
        this->Report("already_exists", "a key with this id, prefix or digest exists");
        return;
      }
    }
    this->DropInactiveKeys();
    this->next.keys[key.id] = key;
  }

  /// Removes keys that have been inactive for too long, so that the document does not grow with
  /// each key ever issued.
  void DropInactiveKeys()
  {
    WallTime limit = this->now - kInactiveKeyRetention;
    std::size_t dropped = 0;
    std::erase_if(this->next.keys, [limit, &dropped](const auto& aItem) {
      const KeyEntry& key = aItem.second;
      bool isInactive =
        (key.revokedAt && *key.revokedAt < limit) || (key.expiry && *key.expiry < limit);
      return isInactive && ++dropped <= kMaxDroppedKeys;
    });
  }

  void Apply(const RevokeKey& aEdit)
  {
    for (auto& [id, key] : this->next.keys) {
      if (id != aEdit.key && key.prefix != aEdit.key) {
        continue;
      }
      if (this->CheckUnchanged(KeyRow(id)) && !key.revokedAt) {
        key.revokedAt = this->now;
      }
      return;
    }
    if (this->CheckUnchanged(KeyRow(aEdit.key))) {
      this->Report("not_found", "no key has this id or prefix");
    }
  }

  void Apply(const PutFailureDomain& aEdit)
  {
    FailureDomainEntry domain{ aEdit.name, aEdit.region, false };
    if (!this->IsValid(ValidateFailureDomain, domain) ||
        !this->CheckUnchanged(FailureDomainRow(domain.name))) {
      return;
    }
    auto known = this->next.failureDomains.find(domain.name);
    domain.isDrained = known != this->next.failureDomains.end() && known->second.isDrained;
    this->next.failureDomains[domain.name] = domain;
  }

  void SetDrained(const FailureDomain& aName, bool aIsDrained)
  {
    if (!this->CheckUnchanged(FailureDomainRow(aName))) {
      return;
    }
    auto known = this->next.failureDomains.find(aName);
    if (known == this->next.failureDomains.end()) {
      this->Report("not_found", "failure domain " + aName + " does not exist");
      return;
    }
    known->second.isDrained = aIsDrained;
  }

  void Apply(const DrainFailureDomain& aEdit) { this->SetDrained(aEdit.name, true); }
  void Apply(const ReturnFailureDomain& aEdit) { this->SetDrained(aEdit.name, false); }

  void Apply(const PutService& aEdit)
  {
    if (!this->IsValid(ValidateService, aEdit.service) ||
        !this->CheckUnchanged(ServiceRow(aEdit.service.name))) {
      return;
    }
    for (const TeamName& team : aEdit.service.teams) {
      if (!this->RequireTeam(team)) {
        return;
      }
    }
    this->next.services[aEdit.service.name] = aEdit.service;
  }

  void Apply(const RemoveService& aEdit)
  {
    if (this->CheckUnchanged(ServiceRow(aEdit.name)) &&
        this->next.services.erase(aEdit.name) == 0) {
      this->Report("not_found", "service " + aEdit.name + " does not exist");
    }
  }

  void Apply(const PutPolicy& aEdit)
  {
    if (this->IsValid(ValidatePolicy, aEdit.policy) && this->CheckUnchanged(kPolicyRow)) {
      this->next.policy = aEdit.policy;
    }
  }

  const ConfigDocument& base;
  ConfigVersion baseVersion;
  WallTime now;
  EditOutcome& outcome;
  ConfigDocument next;
  SourceLocation place;
  std::set<std::string> conflictRows;
};

/// Adds the rows that differ between two maps.
template<typename Row, typename Name, typename Encode>
void AddChanges(const std::map<std::string, Row>& aOld,
                const std::map<std::string, Row>& aNew,
                Name aName,
                Encode aEncode,
                std::vector<AuditChange>& aOut)
{
  std::set<std::string> names;
  for (const auto& [name, row] : aOld) {
    auto found = aNew.find(name);
    if (found == aNew.end() || !(found->second == row)) {
      names.insert(name);
    }
  }
  for (const auto& [name, row] : aNew) {
    if (aOld.count(name) == 0) {
      names.insert(name);
    }
  }
  auto textOf = [&aEncode](const std::map<std::string, Row>& aRows, const std::string& aKey) {
    auto found = aRows.find(aKey);
    return found == aRows.end() ? std::string() : ToJsonText(aEncode(found->second));
  };
  for (const std::string& name : names) {
    aOut.push_back({ aName(name), textOf(aOld, name), textOf(aNew, name) });
  }
}

std::vector<AuditChange> ChangesBetween(const ConfigDocument& aOld, const ConfigDocument& aNew)
{
  std::vector<AuditChange> changes;
  auto encodeKey = [](const KeyEntry& aKey) { return EncodeKey(aKey, KeyDigests::Omitted); };
  AddChanges(aOld.teams, aNew.teams, TeamRow, EncodeTeam, changes);
  AddChanges(aOld.keys, aNew.keys, KeyRow, encodeKey, changes);
  AddChanges(
    aOld.failureDomains, aNew.failureDomains, FailureDomainRow, EncodeFailureDomain, changes);
  AddChanges(aOld.services, aNew.services, ServiceRow, EncodeService, changes);
  if (!(aOld.policy == aNew.policy)) {
    changes.push_back(
      { kPolicyRow, ToJsonText(EncodePolicy(aOld.policy)), ToJsonText(EncodePolicy(aNew.policy)) });
  }
  return changes;
}

/// Erases the versions of the oldest removed rows beyond kMaxRemovedRows, and raises oldestBase
/// accordingly.
void EraseOldestRemovedRows(ConfigDocument& aDocument)
{
  std::vector<std::pair<ConfigVersion, std::string>> removed;
  auto isPresent = [&aDocument](const std::string& aRow) {
    std::size_t slash = aRow.find('/');
    std::string kind = aRow.substr(0, slash);
    std::string name = slash == std::string::npos ? "" : aRow.substr(slash + 1);
    return aRow == kPolicyRow || (kind == "team" && aDocument.teams.count(name) > 0) ||
           (kind == "key" && aDocument.keys.count(name) > 0) ||
           (kind == "failure-domain" && aDocument.failureDomains.count(name) > 0) ||
           (kind == "service" && aDocument.services.count(name) > 0);
  };
  for (const auto& [row, version] : aDocument.changedIn) {
    if (!isPresent(row)) {
      removed.emplace_back(version, row);
    }
  }
  if (removed.size() <= kMaxRemovedRows) {
    return;
  }
  std::sort(removed.begin(), removed.end());
  removed.resize(removed.size() - kMaxRemovedRows);
  for (const auto& [version, row] : removed) {
    aDocument.changedIn.erase(row);
    aDocument.oldestBase = std::max(aDocument.oldestBase, version);
  }
}

std::size_t RowCount(const ConfigDocument& aDocument)
{
  return aDocument.teams.size() + aDocument.keys.size() + aDocument.failureDomains.size() +
         aDocument.services.size();
}

EditOutcome Reject(EditOutcome aOutcome, Errc aError)
{
  aOutcome.error = aError;
  return aOutcome;
}

/// Checks everything that does not depend on the rows. Returns an outcome when the request is
/// refused or was applied before.
std::optional<EditOutcome> CheckRequest(const ConfigDocument& aDocument,
                                        const EditRequest& aRequest,
                                        const std::string& aRequestDigest)
{
  EditOutcome outcome;
  const SourceLocation kPlace{ "request" };
  bool hasControl = std::any_of(aRequest.actor.begin(), aRequest.actor.end(), [](char aCharacter) {
    return static_cast<unsigned char>(aCharacter) < 0x20;
  });
  if (aRequest.actor.empty() || aRequest.actor.size() > kMaxActorLength || hasControl) {
    outcome.findings.Add(
      kPlace, "bad_value", "actor must be 1 to 256 characters without control characters");
  }
  if (!IsValidName(aRequest.editId)) {
    outcome.findings.Add(
      kPlace, "bad_value", "edit_id must be 1 to 64 letters, digits, '-', '_' or '.'");
  }
  if (aRequest.edits.empty()) {
    outcome.findings.Add(kPlace, "bad_value", "edits must not be empty");
  }
  if (!outcome.findings.Empty()) {
    return Reject(std::move(outcome), Errc::InvalidArgument);
  }
  for (const AuditEntry& entry : aDocument.audit) {
    if (entry.editId != aRequest.editId) {
      continue;
    }
    if (entry.requestDigest != aRequestDigest) {
      outcome.findings.Add(kPlace, "edit_id_reused", "edit_id was used for other edits");
      return Reject(std::move(outcome), Errc::InvalidArgument);
    }
    outcome.version = entry.version;
    return outcome;
  }
  ConfigVersion baseVersion = aRequest.baseVersion.value_or(aDocument.version);
  if (baseVersion > aDocument.version) {
    outcome.conflicts.push_back(
      { "document",
        "the base version is newer than version " + std::to_string(aDocument.version) });
    return Reject(std::move(outcome), Errc::Conflict);
  }
  if (baseVersion < aDocument.oldestBase) {
    outcome.conflicts.push_back({ "document",
                                  "the base version is older than version " +
                                    std::to_string(aDocument.oldestBase) +
                                    "; read the document again" });
    return Reject(std::move(outcome), Errc::Conflict);
  }
  return std::nullopt;
}

} // namespace

EditOutcome ApplyEdits(ConfigDocument& aDocument, const EditRequest& aRequest, WallTime aNow)
{
  // The digest omits the base version, since a retry by another instance may have a newer one.
  const std::string kRequestDigest =
    Sha256Hex(EncodeEdits({ std::nullopt, aRequest.actor, aRequest.editId, aRequest.edits }));
  if (std::optional<EditOutcome> early = CheckRequest(aDocument, aRequest, kRequestDigest)) {
    return *early;
  }
  EditOutcome outcome;
  ConfigVersion baseVersion = aRequest.baseVersion.value_or(aDocument.version);
  EditBatch batch(aDocument, baseVersion, aNow, outcome);
  batch.ApplyAll(aRequest.edits);
  if (!outcome.conflicts.empty()) {
    return Reject(std::move(outcome), Errc::Conflict);
  }
  if (!outcome.findings.Empty()) {
    return Reject(std::move(outcome), Errc::InvalidArgument);
  }
  ConfigDocument& next = batch.Next();
  AuditEntry entry;
  entry.changes = ChangesBetween(aDocument, next);
  outcome.version = aDocument.version;
  if (entry.changes.empty()) {
    return outcome;
  }
  TrimAuditTail(next);
  ++next.version;
  for (const AuditChange& change : entry.changes) {
    next.changedIn[change.row] = next.version;
  }
  EraseOldestRemovedRows(next);
  entry.version = next.version;
  entry.baseVersion = baseVersion;
  entry.editId = aRequest.editId;
  entry.requestDigest = kRequestDigest;
  entry.actor = aRequest.actor;
  entry.when = aNow;
  entry.result = "accepted";
  entry.contentDigest = ContentDigest(next);
  entry.previousDigest = next.audit.empty() ? next.auditAnchor : next.audit.back().digest;
  entry.digest = AuditDigest(entry);
  std::size_t entryBytes = ToJsonText(EncodeAuditEntry(entry)).size();
  next.audit.push_back(std::move(entry));
  bool hasGrown = RowCount(next) > RowCount(aDocument);
  std::size_t limit = hasGrown ? kMaxConfigBytesForNewRows : kMaxStoreValueBytes;
  if (entryBytes > kMaxAuditEntryBytes || EncodeConfig(next).size() > limit) {
    outcome.findings.Add(
      { "request" }, "too_large", "the document or its audit entry would exceed its size limit");
    return Reject(std::move(outcome), Errc::InvalidArgument);
  }
  outcome.version = next.version;
  outcome.hasChanged = true;
  aDocument = std::move(next);
  return outcome;
}

} // namespace daisydrift
