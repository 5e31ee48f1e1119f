#pragma once
// Store for tests that adds to FakeStore writes that take effect long after their call has timed
// out, and a callback for each write that took effect.

#include "daisydrift/external.h"

#include <functional>
#include <vector>

namespace daisydrift {

/// Simulated outcome of a store call.
enum class CallOutcome
{
  Normal,
  Unreachable,
  ResponseLost,
  RequestLost,
  Overloaded,
  /// The call fails with OutcomeUnknown, and a write takes effect when DeliverDelayed() is called.
  Delayed
};

/// Clock of the store; a base class, because FakeStore's constructor needs it.
struct StoreClock
{
  ManualClock storeClock;
};

class UnreliableStore
  : private StoreClock
  , public FakeStore
{
public:
  UnreliableStore()
    : FakeStore(this->storeClock)
  {
  }

  /// Chooses the outcome of each call; empty means Normal.
  std::function<CallOutcome(const std::string& aOperation, const std::string& aKey)> chooseOutcome;
  /// Called after each write that took effect.
  std::function<void(const std::string& aKey, const std::string& aValue)> onWrite;

  /// Carries out the delayed writes.
  void DeliverDelayed()
  {
    for (auto& call : std::exchange(this->delayed, {})) {
      call();
    }
  }

  Result<StoreEntry> Get(const std::string& aKey, std::chrono::milliseconds aTimeout) override
  {
    auto outcome = this->ChooseReadError("get", aKey);
    return outcome ? Result<StoreEntry>(*outcome) : FakeStore::Get(aKey, aTimeout);
  }
  Result<std::vector<StoreEntry>> List(const std::string& aPrefix,
                                       std::chrono::milliseconds aTimeout) override
  {
    auto outcome = this->ChooseReadError("list", aPrefix);
    return outcome ? Result<std::vector<StoreEntry>>(*outcome) : FakeStore::List(aPrefix, aTimeout);
  }
  Result<Revision> CompareAndSwap(const std::string& aKey,
                                  const std::string& aValue,
                                  Revision aExpected,
                                  LeaseId aLease,
                                  std::chrono::milliseconds aTimeout) override
  {
    auto write = [=, this] {
      auto written = FakeStore::CompareAndSwap(aKey, aValue, aExpected, aLease, aTimeout);
      if (written && this->onWrite) {
        this->onWrite(aKey, aValue);
      }
      return written;
    };
    CallOutcome outcome =
      this->chooseOutcome ? this->chooseOutcome("cas", aKey) : CallOutcome::Normal;
    if (outcome == CallOutcome::Delayed) {
      this->delayed.push_back([=] { static_cast<void>(write()); });
    }
    if (outcome == CallOutcome::ResponseLost) {
      static_cast<void>(write());
    }
    return outcome == CallOutcome::Normal ? write() : Result<Revision>(ErrorFor(outcome));
  }

private:
  static Errc ErrorFor(CallOutcome aOutcome)
  {
    return aOutcome == CallOutcome::Unreachable  ? Errc::Unreachable
           : aOutcome == CallOutcome::Overloaded ? Errc::Overloaded
                                                 : Errc::OutcomeUnknown;
  }
  /// Error of a read, or nothing when the read is to be carried out.
  std::optional<Errc> ChooseReadError(const std::string& aOperation, const std::string& aKey)
  {
    CallOutcome outcome =
      this->chooseOutcome ? this->chooseOutcome(aOperation, aKey) : CallOutcome::Normal;
    return outcome == CallOutcome::Normal ? std::nullopt : std::optional<Errc>(ErrorFor(outcome));
  }

  std::vector<std::function<void()>> delayed;
};

} // namespace daisydrift
