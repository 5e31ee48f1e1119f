#include "daisydrift/membership/RoleHistory.h"

#include "Records.h"

namespace daisydrift {

RoleHistory::RoleHistory(Store& aStore, std::string aKey, LeaseOptions aOptions)
  : store(aStore)
  , key(std::move(aKey))
  , options(aOptions)
{
}

Result<RoleTerm> RoleHistory::Enter(const RoleHolder& aSelf)
{
  RoleTerm term;
  auto error = this->Update([&](RoleTerm& aHistory) {
    std::erase_if(aHistory.formers,
                  [&](const RoleHolder& aFormer) { return aFormer.instance == aSelf.instance; });
    ++aHistory.epoch;
    term = aHistory;
    aHistory.formers.push_back({ aSelf.instance, aSelf.address, aHistory.epoch });
    return std::error_code();
  });
  if (error) {
    return error;
  }
  return term;
}

std::error_code RoleHistory::Settle(Epoch aEpoch)
{
  return this->Update([&](RoleTerm& aHistory) {
    if (aHistory.epoch != aEpoch) {
      return make_error_code(Errc::Conflict);
    }
    std::erase_if(aHistory.formers,
                  [&](const RoleHolder& aFormer) { return aFormer.epoch < aEpoch; });
    return std::error_code();
  });
}

std::error_code RoleHistory::Leave(Epoch aEpoch)
{
  return this->Update([&](RoleTerm& aHistory) {
    std::erase_if(aHistory.formers,
                  [&](const RoleHolder& aFormer) { return aFormer.epoch == aEpoch; });
    return std::error_code();
  });
}

std::error_code RoleHistory::Update(const std::function<std::error_code(RoleTerm&)>& aChange)
{
  std::error_code error;
  for (unsigned i = 0; i < this->options.maxAttempts; ++i) {
    auto entry = this->store.Get(this->key, this->options.callTimeout);
    if (!entry && entry.Error() != Errc::NotFound) {
      error = entry.Error();
      continue;
    }
    RoleTerm history;
    if (entry && !ReadHistory(entry->value, history)) {
      return Errc::Corrupt;
    }
    if (auto refused = aChange(history)) {
      return refused;
    }
    auto written = this->store.CompareAndSwap(
      this->key, WriteHistory(history), entry ? entry->revision : 0, 0, this->options.callTimeout);
    if (written) {
      return {};
    }
    // After a lost answer the change is made once more on what is read then. Entering twice only
    // skips an epoch.
    error = written.Error();
  }
  return error;
}

} // namespace daisydrift
