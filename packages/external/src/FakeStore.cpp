#include "daisydrift/external/FakeStore.h"

#include <utility>

namespace daisydrift {

FakeStore::FakeStore(const Clock& aClock)
  : clock(aClock)
{
}

void FakeStore::SetFaultHook(FaultHook aHook)
{
  std::lock_guard lock(this->mutex);
  this->faultHook = std::move(aHook);
}

std::uint64_t FakeStore::WriteCalls() const
{
  std::lock_guard lock(this->mutex);
  return this->writeCalls;
}

std::uint64_t FakeStore::ReadCalls() const
{
  std::lock_guard lock(this->mutex);
  return this->readCalls;
}

template<typename CallResult, typename Call>
CallResult FakeStore::RunCall(bool aIsWrite,
                              const char* aOperation,
                              const std::string& aKey,
                              Call aCall)
{
  FaultHook hook;
  {
    std::lock_guard lock(this->mutex);
    ++(aIsWrite ? this->writeCalls : this->readCalls);
    hook = this->faultHook;
  }
  // The hook is called without the lock, so that a test can use the store in it to provoke races.
  StoreFault fault = hook ? hook(aOperation, aKey) : StoreFault::None;
  std::lock_guard lock(this->mutex);
  switch (fault) {
    case StoreFault::Unreachable:
      return make_error_code(Errc::Unreachable);
    case StoreFault::RequestLost:
      return make_error_code(Errc::OutcomeUnknown);
    case StoreFault::Overloaded:
      return make_error_code(Errc::Overloaded);
    case StoreFault::ResponseLost:
      static_cast<void>(aCall(this->clock.Now()));
      return make_error_code(Errc::OutcomeUnknown);
    case StoreFault::None:
      break;
  }
  return aCall(this->clock.Now());
}

Result<StoreEntry> FakeStore::Get(const std::string& aKey, std::chrono::milliseconds)
{
  return this->RunCall<Result<StoreEntry>>(
    false, "get", aKey, [&](TimePoint aNow) { return this->model.Get(aKey, aNow); });
}

Result<std::vector<StoreEntry>> FakeStore::List(const std::string& aPrefix,
                                                std::chrono::milliseconds)
{
  using CallResult = Result<std::vector<StoreEntry>>;
  return this->RunCall<CallResult>(false, "list", aPrefix, [&](TimePoint aNow) {
    return CallResult(this->model.List(aPrefix, aNow));
  });
}

Result<Revision> FakeStore::CompareAndSwap(const std::string& aKey,
                                           const std::string& aValue,
                                           Revision aExpected,
                                           LeaseId aLease,
                                           std::chrono::milliseconds)
{
  return this->RunCall<Result<Revision>>(true, "cas", aKey, [&](TimePoint aNow) {
    return this->model.CompareAndSwap(aKey, aValue, aExpected, aLease, aNow);
  });
}

std::error_code FakeStore::Delete(const std::string& aKey,
                                  Revision aExpected,
                                  std::chrono::milliseconds)
{
  return this->RunCall<std::error_code>(true, "delete", aKey, [&](TimePoint aNow) {
    return this->model.Delete(aKey, aExpected, aNow);
  });
}

Result<WatchResult> FakeStore::Watch(const std::string& aPrefix,
                                     Revision aAfter,
                                     std::chrono::milliseconds)
{
  using CallResult = Result<WatchResult>;
  return this->RunCall<CallResult>(false, "watch", aPrefix, [&](TimePoint aNow) {
    return CallResult(this->model.ChangesSince(aPrefix, aAfter, aNow));
  });
}

Result<LeaseId> FakeStore::GrantLease(std::chrono::milliseconds aTtl, std::chrono::milliseconds)
{
  using CallResult = Result<LeaseId>;
  return this->RunCall<CallResult>(true, "grant", "", [&](TimePoint aNow) {
    return CallResult(this->model.GrantLease(aTtl, aNow));
  });
}

std::error_code FakeStore::RenewLease(LeaseId aLease, std::chrono::milliseconds)
{
  return this->RunCall<std::error_code>(true, "renew", std::to_string(aLease), [&](TimePoint aNow) {
    return this->model.RenewLease(aLease, aNow);
  });
}

std::error_code FakeStore::RevokeLease(LeaseId aLease, std::chrono::milliseconds)
{
  return this->RunCall<std::error_code>(
    true, "revoke", std::to_string(aLease), [&](TimePoint aNow) {
      return this->model.RevokeLease(aLease, aNow);
    });
}

} // namespace daisydrift
