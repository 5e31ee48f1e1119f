#pragma once
// Store of the tests with faults that FakeStore does not have: writes that take effect long after
// the caller gave up on them, and a report of each write that took effect.

#include "daisydrift/platform.h"

#include <functional>
#include <vector>

namespace daisydrift {

/// What happens to a call.
enum class CallFate
{
  Normal,
  Unreachable,
  AnswerLost,
  RequestLost,
  Overloaded,
  /// The call takes effect only when DeliverDelayed() is called. Reads are lost.
  Delayed
};

class UnreliableStore : public Store
{
public:
  /// Asked before each call; empty means Normal.
  std::function<CallFate(const std::string& aOperation, const std::string& aKey)> decide;
  /// Told of each write that took effect.
  std::function<void(const std::string& aKey, const std::string& aValue)> onWrite;

  /// Lets the delayed writes reach the store now.
  void DeliverDelayed()
  {
    for (auto& call : std::exchange(this->delayed, {})) {
      call();
    }
  }

  Result<StoreEntry> Get(const std::string& aKey, std::chrono::milliseconds aTimeout) override
  {
    auto fate = this->Decide("get", aKey);
    return fate ? Result<StoreEntry>(*fate) : this->inner.Get(aKey, aTimeout);
  }
  Result<std::vector<StoreEntry>> List(const std::string& aPrefix,
                                       std::chrono::milliseconds aTimeout) override
  {
    auto fate = this->Decide("list", aPrefix);
    return fate ? Result<std::vector<StoreEntry>>(*fate) : this->inner.List(aPrefix, aTimeout);
  }
  Result<Revision> CompareAndSwap(const std::string& aKey,
                                  const std::string& aValue,
                                  Revision aExpected,
                                  LeaseId aLease,
                                  std::chrono::milliseconds aTimeout) override
  {
    auto write = [=, this] {
      auto written = this->inner.CompareAndSwap(aKey, aValue, aExpected, aLease, aTimeout);
      if (written && this->onWrite) {
        this->onWrite(aKey, aValue);
      }
      return written;
    };
    CallFate fate = this->decide ? this->decide("cas", aKey) : CallFate::Normal;
    if (fate == CallFate::Delayed) {
      this->delayed.push_back([=] { static_cast<void>(write()); });
    }
    if (fate == CallFate::AnswerLost) {
      static_cast<void>(write());
    }
    return fate == CallFate::Normal ? write() : Result<Revision>(ErrorOf(fate));
  }
  std::error_code Delete(const std::string& aKey,
                         Revision aExpected,
                         std::chrono::milliseconds aTimeout) override
  {
    return this->inner.Delete(aKey, aExpected, aTimeout);
  }
  Result<WatchResult> Watch(const std::string& aPrefix,
                            Revision aAfter,
                            std::chrono::milliseconds aWait) override
  {
    return this->inner.Watch(aPrefix, aAfter, aWait);
  }
  Result<LeaseId> GrantLease(std::chrono::milliseconds aTtl,
                             std::chrono::milliseconds aTimeout) override
  {
    return this->inner.GrantLease(aTtl, aTimeout);
  }
  std::error_code RenewLease(LeaseId aLease, std::chrono::milliseconds aTimeout) override
  {
    return this->inner.RenewLease(aLease, aTimeout);
  }
  std::error_code RevokeLease(LeaseId aLease, std::chrono::milliseconds aTimeout) override
  {
    return this->inner.RevokeLease(aLease, aTimeout);
  }

private:
  static Errc ErrorOf(CallFate aFate)
  {
    return aFate == CallFate::Unreachable  ? Errc::Unreachable
           : aFate == CallFate::Overloaded ? Errc::Overloaded
                                           : Errc::OutcomeUnknown;
  }
  /// Error of a read, or nothing when it is carried out.
  std::optional<Errc> Decide(const std::string& aOperation, const std::string& aKey)
  {
    CallFate fate = this->decide ? this->decide(aOperation, aKey) : CallFate::Normal;
    return fate == CallFate::Normal ? std::nullopt : std::optional<Errc>(ErrorOf(fate));
  }

  ManualClock clock;
  FakeStore inner{ this->clock };
  std::vector<std::function<void()>> delayed;
};

} // namespace daisydrift
