#include "InMemoryStore.h"

#include <algorithm>

namespace daisydrift {

namespace {
constexpr std::chrono::milliseconds kLostResponseTimeout{ 1000 };
/// Time after which the platform adapter gives up a renewal.
constexpr std::chrono::milliseconds kLostRenewalTimeout{ 500 };
/// Time after its wait at which the platform adapter gives up a watch.
constexpr std::chrono::milliseconds kLostWatchTimeout{ 900 };
constexpr std::chrono::milliseconds kWatchStep{ 5 };
} // namespace

void InMemoryStore::Read(const std::string& aKey,
                         std::function<void(const Result<std::optional<KeyValueItem>>&)> aDone)
{
  this->loop.After(this->responseTime, [this, aKey, aDone] {
    using ItemResult = Result<std::optional<KeyValueItem>>;
    auto found = this->items.find(aKey);
    if (this->isSilent || (this->isReadResponseLost && this->isReadResponseLost())) {
      this->LoseResponse(kLostResponseTimeout, aDone);
    } else if (this->isDown) {
      aDone(ItemResult(Errc::Unreachable));
    } else {
      aDone(found == this->items.end() ? ItemResult(std::nullopt)
                                       : ItemResult(std::optional(found->second)));
    }
  });
}

void InMemoryStore::ReadPage(const std::string& aPrefix,
                             const std::string& aAfter,
                             std::function<void(const Result<KeyValuePage>&)> aDone,
                             std::function<bool()>) // Responses arrive in one part.
{
  this->loop.After(this->responseTime, [this, aPrefix, aAfter, aDone] {
    if (this->isSilent || (this->isReadResponseLost && this->isReadResponseLost())) {
      this->LoseResponse(kLostResponseTimeout, aDone);
      return;
    }
    if (this->isDown || (this->isPrefixUnavailable && this->isPrefixUnavailable(aPrefix))) {
      aDone(Errc::Unreachable);
      return;
    }
    KeyValuePage page;
    page.revision = this->revision;
    std::size_t bytes = 0;
    for (auto next = this->items.upper_bound(std::max(aPrefix, aAfter)); next != this->items.end();
         ++next) {
      const auto& [key, item] = *next;
      if (key.rfind(aPrefix, 0) != 0) {
        break;
      }
      bytes += key.size() + item.value.size();
      bool isTooLong = this->maxResponseBytes > 0 && bytes > this->maxResponseBytes;
      if (page.items.size() == this->pageSize || isTooLong) {
        page.hasMore = true;
        break;
      }
      page.items.push_back(item);
    }
    aDone(page);
  });
}

void InMemoryStore::Watch(const std::string& aPrefix,
                          std::uint64_t aAfterRevision,
                          Duration aWait,
                          std::function<void(const Result<KeyValueChanges>&)> aDone,
                          std::function<bool()> aOnProgress)
{
  this->loop.After(kWatchStep, [this, aPrefix, aAfterRevision, aWait, aDone, aOnProgress] {
    if (this->isSilent || (this->isWatchResponseLost && this->isWatchResponseLost(aPrefix))) {
      this->LoseResponse(aWait + kLostWatchTimeout, aDone);
      return;
    }
    if (this->isDown || aAfterRevision < this->oldestRevision) {
      aDone(this->isDown ? Errc::Unreachable : Errc::NotFound);
      return;
    }
    KeyValueChanges changes;
    changes.revision = this->revision;
    std::size_t bytes = 0;
    auto next = std::upper_bound(
      this->history.begin(),
      this->history.end(),
      aAfterRevision,
      [](std::uint64_t aLeft, const KeyValueChange& aRight) { return aLeft < aRight.revision; });
    for (; next != this->history.end(); ++next) {
      if (next->key.rfind(aPrefix, 0) == 0) {
        changes.changes.push_back(*next);
        bytes += next->key.size() + (next->value ? next->value->size() : 0);
      }
    }
    if (this->maxResponseBytes > 0 && bytes > this->maxResponseBytes) {
      this->LoseResponse(kLostWatchTimeout, aDone);
      return;
    }
    if (changes.changes.empty() && aWait > kWatchStep) {
      this->Watch(aPrefix, aAfterRevision, aWait - kWatchStep, aDone, aOnProgress);
    } else {
      aDone(changes);
    }
  });
}

Result<std::uint64_t> InMemoryStore::Apply(const KeyValueTransaction& aTransaction)
{
  for (const auto& condition : aTransaction.conditions) {
    auto found = this->items.find(condition.key);
    std::uint64_t current = found == this->items.end() ? 0 : found->second.revision;
    if (current != condition.revision) {
      return Errc::Conflict;
    }
  }
  for (const auto& put : aTransaction.puts) {
    if (put.lease != 0 && this->leases.count(put.lease) == 0) {
      return Errc::LeaseExpired;
    }
  }
  ++this->revision;
  ++this->commits;
  for (const auto& put : aTransaction.puts) {
    this->items[put.key] = { put.key, put.value, this->revision, put.lease };
    this->history.push_back({ put.key, put.value, this->revision, put.lease });
  }
  for (const std::string& key : aTransaction.removals) {
    this->items.erase(key);
    this->history.push_back({ key, std::nullopt, this->revision, 0 });
  }
  return this->revision;
}

std::size_t InMemoryStore::CountKeys(const std::string& aPrefix) const
{
  std::size_t count = 0;
  for (auto item = this->items.lower_bound(aPrefix);
       item != this->items.end() && item->first.rfind(aPrefix, 0) == 0;
       ++item) {
    ++count;
  }
  return count;
}

void InMemoryStore::Commit(const KeyValueTransaction& aTransaction,
                           std::function<void(const Result<std::uint64_t>&)> aDone)
{
  CommitFault fault = this->commitFault ? this->commitFault(aTransaction) : CommitFault::None;
  bool isTooLong =
    std::any_of(aTransaction.puts.begin(), aTransaction.puts.end(), [this](const auto& aPut) {
      return aPut.value.size() > this->maxValueBytes;
    });
  this->tooLongValues += isTooLong ? 1 : 0;
  if (this->isSilent) {
    this->LoseResponse(kLostResponseTimeout, aDone);
  } else if (this->isDown || fault == CommitFault::Refused) {
    this->loop.After(this->responseTime, [aDone] { aDone(Errc::Unreachable); });
  } else if (isTooLong || fault == CommitFault::Invalid) {
    this->loop.After(this->responseTime, [aDone] { aDone(Errc::InvalidArgument); });
  } else if (fault == CommitFault::None) {
    this->loop.After(this->responseTime,
                     [this, aTransaction, aDone] { aDone(this->Apply(aTransaction)); });
  } else {
    this->loop.After(fault == CommitFault::AppliedLate ? this->lateDelay : this->responseTime,
                     [this, aTransaction] { static_cast<void>(this->Apply(aTransaction)); });
    this->loop.After(kLostResponseTimeout, [aDone] { aDone(Errc::OutcomeUnknown); });
  }
}

void InMemoryStore::GrantLease(Duration aTimeToLive,
                               std::function<void(const Result<std::uint64_t>&)> aDone)
{
  this->loop.After(this->responseTime, [this, aTimeToLive, aDone] {
    if (this->isSilent) {
      this->LoseResponse(kLostResponseTimeout, aDone);
      return;
    }
    if (this->isDown) {
      aDone(Errc::Unreachable);
      return;
    }
    std::uint64_t lease = this->nextLease++;
    this->leases[lease] = { aTimeToLive, this->loop.Now() + aTimeToLive };
    this->ExpireLease(lease);
    if (this->isGrantResponseLost && this->isGrantResponseLost()) {
      this->LoseResponse(kLostResponseTimeout, aDone);
    } else {
      aDone(lease);
    }
  });
}

void InMemoryStore::ExpireLease(std::uint64_t aLease)
{
  auto found = this->leases.find(aLease);
  TimePoint end = found->second.second;
  this->loop.After(end - this->loop.Now(), [this, aLease] {
    auto lease = this->leases.find(aLease);
    if (lease->second.second > this->loop.Now()) {
      this->ExpireLease(aLease);
      return;
    }
    this->leases.erase(lease);
    std::vector<std::string> ended;
    for (const auto& [key, item] : this->items) {
      if (item.lease == aLease) {
        ended.push_back(key);
      }
    }
    for (const std::string& key : ended) {
      this->Remove(key);
    }
  });
}

void InMemoryStore::RenewLease(std::uint64_t aLease, std::function<void(std::error_code)> aDone)
{
  this->loop.After(this->responseTime, [this, aLease, aDone] {
    auto lease = this->leases.find(aLease);
    if (this->isSilent) {
      this->LoseResponse(kLostRenewalTimeout, aDone);
    } else if (this->isDown) {
      aDone(make_error_code(Errc::Unreachable));
    } else if (lease == this->leases.end()) {
      aDone(make_error_code(Errc::LeaseExpired));
    } else if (this->isRenewalLate && this->isRenewalLate()) {
      this->loop.After(this->lateDelay, [this, aLease] {
        auto late = this->leases.find(aLease);
        if (late != this->leases.end()) {
          late->second.second = this->loop.Now() + late->second.first;
        }
      });
      this->loop.After(kLostRenewalTimeout,
                       [aDone] { aDone(make_error_code(Errc::OutcomeUnknown)); });
    } else {
      lease->second.second = this->loop.Now() + lease->second.first;
      if (this->isRenewalResponseLost && this->isRenewalResponseLost()) {
        this->loop.After(kLostRenewalTimeout,
                         [aDone] { aDone(make_error_code(Errc::OutcomeUnknown)); });
        return;
      }
      aDone({});
    }
  });
}

void InMemoryStore::Put(const std::string& aKey, const std::string& aValue)
{
  static_cast<void>(this->Apply({ {}, { { aKey, aValue, 0 } }, {} }));
}

void InMemoryStore::Remove(const std::string& aKey)
{
  static_cast<void>(this->Apply({ {}, {}, { aKey } }));
}

std::string InMemoryStore::Value(const std::string& aKey) const
{
  auto found = this->items.find(aKey);
  return found == this->items.end() ? "" : found->second.value;
}

} // namespace daisydrift
