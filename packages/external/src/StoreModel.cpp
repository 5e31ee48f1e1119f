#include "daisydrift/external/StoreModel.h"

namespace daisydrift {

Result<StoreEntry> StoreModel::Get(const std::string& aKey, TimePoint aNow)
{
  this->ExpireLeases(aNow);
  auto found = this->records.find(aKey);
  if (found == this->records.end() || found->second.deleted) {
    return Errc::NotFound;
  }
  return StoreEntry{ aKey, found->second.value, found->second.revision };
}

std::vector<StoreEntry> StoreModel::List(const std::string& aPrefix, TimePoint aNow)
{
  this->ExpireLeases(aNow);
  std::vector<StoreEntry> entries;
  for (auto it = this->records.lower_bound(aPrefix); it != this->records.end(); ++it) {
    if (!it->first.starts_with(aPrefix)) {
      break;
    }
    if (!it->second.deleted) {
      entries.push_back({ it->first, it->second.value, it->second.revision });
    }
  }
  return entries;
}

Result<Revision> StoreModel::CompareAndSwap(const std::string& aKey,
                                            const std::string& aValue,
                                            Revision aExpected,
                                            LeaseId aLease,
                                            TimePoint aNow,
                                            Revision* aCurrent)
{
  this->ExpireLeases(aNow);
  if (aKey.empty() || aValue.size() > kMaxStoreValueBytes) {
    return Errc::InvalidArgument;
  }
  if (aLease != 0 && !this->leases.contains(aLease)) {
    return Errc::LeaseExpired;
  }
  auto found = this->records.find(aKey);
  Revision current =
    found == this->records.end() || found->second.deleted ? 0 : found->second.revision;
  if (aCurrent != nullptr) {
    *aCurrent = current;
  }
  if (current != aExpected) {
    return Errc::Conflict;
  }
  this->records[aKey] = { aValue, ++this->lastRevision, aLease, false };
  return this->lastRevision;
}

std::error_code StoreModel::Delete(const std::string& aKey, Revision aExpected, TimePoint aNow)
{
  this->ExpireLeases(aNow);
  auto found = this->records.find(aKey);
  if (found == this->records.end() || found->second.deleted) {
    return Errc::NotFound;
  }
  if (found->second.revision != aExpected) {
    return Errc::Conflict;
  }
  found->second = { "", ++this->lastRevision, 0, true };
  return {};
}

WatchResult StoreModel::ChangesSince(const std::string& aPrefix, Revision aAfter, TimePoint aNow)
{
  this->ExpireLeases(aNow);
  WatchResult result;
  result.revision = this->lastRevision;
  for (auto it = this->records.lower_bound(aPrefix); it != this->records.end(); ++it) {
    if (!it->first.starts_with(aPrefix)) {
      break;
    }
    const Record& record = it->second;
    if (record.revision > aAfter) {
      result.changes.push_back({ it->first, record.value, record.deleted ? 0 : record.revision });
    }
  }
  return result;
}

LeaseId StoreModel::GrantLease(Duration aTtl, TimePoint aNow)
{
  this->leases[++this->lastLease] = { aTtl, aNow + aTtl };
  return this->lastLease;
}

std::error_code StoreModel::RenewLease(LeaseId aLease, TimePoint aNow)
{
  this->ExpireLeases(aNow);
  auto found = this->leases.find(aLease);
  if (found == this->leases.end()) {
    return Errc::LeaseExpired;
  }
  found->second.expiry = aNow + found->second.ttl;
  return {};
}

std::error_code StoreModel::RevokeLease(LeaseId aLease, TimePoint aNow)
{
  this->ExpireLeases(aNow);
  if (!this->leases.contains(aLease)) {
    return Errc::LeaseExpired;
  }
  this->DropLease(aLease);
  return {};
}

void StoreModel::ExpireLeases(TimePoint aNow)
{
  std::vector<LeaseId> due;
  for (const auto& [id, lease] : this->leases) {
    if (lease.expiry <= aNow) {
      due.push_back(id);
    }
  }
  for (LeaseId id : due) {
    this->DropLease(id);
  }
}

void StoreModel::DropLease(LeaseId aLease)
{
  this->leases.erase(aLease);
  for (auto& [key, record] : this->records) {
    if (!record.deleted && record.lease == aLease) {
      record = { "", ++this->lastRevision, 0, true };
    }
  }
}

} // namespace daisydrift
