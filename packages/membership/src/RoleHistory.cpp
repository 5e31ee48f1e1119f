#include "daisydrift/membership/RoleHistory.h"

#include "Records.h"

namespace daisydrift {

RoleHistory::RoleHistory(Store& aStore, std::string aKey, LeaseOptions aOptions)
  : store(aStore)
  , key(std::move(aKey))
  , options(aOptions)
{
}

Result<RoleTerm> RoleHistory::BeginTerm(const RoleHolder& aSelf)
{
  RoleTerm term;
  auto error = this->Update([&](RoleTerm& aHistory) {
    std::erase_if(aHistory.predecessors, [&](const RoleHolder& aPredecessor) {
      return aPredecessor.instance == aSelf.instance;
    });
    ++aHistory.epoch;
    term = aHistory;
    aHistory.predecessors.push_back({ aSelf.instance, aSelf.address, aHistory.epoch });
    return std::error_code();
  });
  if (error) {
    return error;
  }
  return term;
}

std::error_code RoleHistory::EndEarlierTerms(Epoch aEpoch)
{
  return this->Update([&](RoleTerm& aHistory) {
    if (aHistory.epoch != aEpoch) {
      return make_error_code(Errc::Conflict);
    }
    std::erase_if(aHistory.predecessors,
                  [&](const RoleHolder& aPredecessor) { return aPredecessor.epoch < aEpoch; });
    return std::error_code();
  });
}

std::error_code RoleHistory::EndTerm(Epoch aEpoch)
{
  return this->Update([&](RoleTerm& aHistory) {
    std::erase_if(aHistory.predecessors,
                  [&](const RoleHolder& aPredecessor) { return aPredecessor.epoch == aEpoch; });
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
    if (entry && !ParseHistory(entry->value, history)) {
      return Errc::Corrupt;
    }
    if (auto refused = aChange(history)) {
      return refused;
    }
    auto written = this->store.CompareAndSwap(this->key,
                                              SerializeHistory(history),
                                              entry ? entry->revision : 0,
                                              0,
                                              this->options.callTimeout);
    if (written) {
      return {};
    }
    // After a lost response the change is applied again to the value read then. Beginning a term
    // twice only skips an epoch.
    error = written.Error();
  }
  return error;
}

} // namespace daisydrift
