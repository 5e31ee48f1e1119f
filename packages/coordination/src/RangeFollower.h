#pragma once
// Follows the keys with one prefix in the store.

#include "daisydrift/base.h"
#include "daisydrift/coordination/KeyValueStore.h"
#include "daisydrift/http.h"

namespace daisydrift::coordination {

/// Reads all keys with a prefix, then watches them. A call whose response is late is not waited
/// for: the keys are read again beside it, and the first response counts. So a dead connection
/// delays a change by aMaxWatchWait and some 0.3 s at most, and the end of an outage is noticed
/// within some 0.3 s. A response that is arriving is not late, however long it is: a second read
/// would only take a part of the link from it.
class RangeFollower
{
public:
  struct Hooks
  {
    /// All items with the prefix, which replace what was known before.
    std::function<void(const std::vector<KeyValueItem>&)> onRead;
    /// Called for each change since the last read, in the order of the changes.
    std::function<void(const KeyValueChange&)> onChange;
    /// Called after the items or changes of a response have been passed on.
    std::function<void()> onConfirmed;
    /// Called with the result of each read; the error is empty when it succeeded.
    std::function<void(std::error_code)> onReadResult;
  };

  /// @param aMaxWatchWait Longest time that one watch waits for a change.
  RangeFollower(EventLoop& aLoop,
                KeyValueStore& aStore,
                Metrics& aMetrics,
                std::string aPrefix,
                Duration aMaxWatchWait,
                Hooks aHooks);

  /// Reads the keys; ignores the responses of all calls sent before.
  void Restart();
  /// Reads the keys now, unless a read is in flight or a response is arriving.
  void Refresh();
  void Stop();
  /// True while a response is arriving that will confirm the range.
  bool IsReceiving() const;

  /// A time at which what is known was the state of the store; nothing before the first response.
  std::optional<TimePoint> ConfirmedAt() const { return this->confirmedAt; }
  /// Time since then, or since the construction before the first response.
  Duration Age() const
  {
    return this->loop.Now() - this->confirmedAt.value_or(this->constructedAt);
  }

private:
  struct PagedRead;

  /// Starts a wait for the next confirmation; responses to earlier calls no longer count.
  void BeginStep(bool aIsRead);
  void SendRead();
  void SendPageRead(const std::shared_ptr<PagedRead>& aRead);
  void SendWatch();
  /// Hook of a watch or a paged read for the parts of its responses. The first that begins to
  /// arrive is waited for; others are given up while it arrives, and all when the wait is over.
  std::function<bool()> ProgressHook(std::uint64_t aCall);
  /// True when a failed call was given up for another, or should be: the other's response counts.
  bool IsReplaced(std::uint64_t aCall) const
  {
    return this->IsReceiving() && this->arrivingCall != aCall;
  }
  /// Sends a read at that time, unless a confirmation or an earlier scheduled read comes first.
  void ScheduleRead(TimePoint aTime);
  void OnFailure(const char* aCall, std::error_code aError, TimePoint aSentAt);
  /// Logs the first failure or late response since the last confirmation.
  void MarkUnconfirmed(const char* aCall, std::error_code aError, TimePoint aSentAt);
  void Confirm(TimePoint aTime);

  EventLoop& loop;
  KeyValueStore& store;
  Metrics& metrics;
  std::string prefix;
  Duration maxWatchWait;
  Hooks hooks;
  /// Revision after which the next watch continues.
  std::uint64_t revision = 0;
  /// Number of the wait for a confirmation that is in progress, and its first call.
  std::uint64_t step = 0;
  TimePoint stepBegan;
  bool isReadStep = false;
  std::size_t openReads = 0;
  /// Watches and paged reads so far; their number in this order is the name of each.
  std::uint64_t callCount = 0;
  /// When a part of a response in this wait arrived last, and for which call.
  std::optional<TimePoint> lastProgress;
  std::uint64_t arrivingCall = 0;
  TimePoint nextRead = TimePoint::max();
  /// Number of the timer for nextRead; those with lower numbers have been replaced.
  std::uint64_t readTimer = 0;
  TimePoint constructedAt;
  std::optional<TimePoint> confirmedAt;
  /// MarkUnconfirmed has been called since the last confirmation.
  bool isUnconfirmed = false;
  bool isStopping = false;
};

} // namespace daisydrift::coordination
