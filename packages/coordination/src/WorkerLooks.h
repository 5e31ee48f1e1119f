#pragma once
// Keeps in touch with all workers: renews leases, takes in ends, confirms them once stored.

#include "StoredEnds.h"
#include "daisydrift/coordination/Instance.h"

#include <map>
#include <memory>

namespace daisydrift::coordination {

/// One look is open at each worker, which answers when a run ends; where nothing ends, one look a
/// second.
class WorkerLooks
{
public:
  struct Hooks
  {
    /// Ends or other news were taken in.
    std::function<void()> onNews;
    /// The worker has seen a higher fencing number.
    std::function<void()> onFenced;
  };

  WorkerLooks(EventLoop& aLoop,
              WorkerGateway& aGateway,
              Dispatcher& aDispatcher,
              const InstanceSettings& aSettings,
              Epoch aFence,
              Hooks aHooks);
  ~WorkerLooks();

  /// Starts looking at workers that are new, and stops where none are needed.
  void Refresh();
  /// Ends that were taken in and not confirmed yet.
  TakenEnds Taken() const;
  /// Those ends are stored.
  void Confirm(const TakenEnds& aEnds);
  /// While the store is away ends can't be confirmed, so looks don't wait for them.
  void SetStoreAway(bool aIsAway) { this->isStoreAway = aIsAway; }

private:
  struct Watch
  {
    bool isOpen = false;
    bool wasAsked = false;
    /// The last look was answered.
    bool hasAnswered = false;
    std::uint64_t confirmed = 0;
    /// Waits for its ends to be stored before the next look.
    bool isWaitingForStore = false;
    std::uint64_t generation = 0;
    std::int64_t incarnation = 0;
  };

  /// Longest time that a look may wait for an end.
  Duration WaitOfLook(TimePoint aNow) const;
  void Look(const WorkerId& aWorker);
  void LookLater(const WorkerId& aWorker, Duration aDelay);
  void OnAnswer(const WorkerId& aWorker, TimePoint aSentAt, const Result<WorkerReport>& aReport);

  EventLoop& loop;
  WorkerGateway& gateway;
  Dispatcher& dispatcher;
  const InstanceSettings& settings;
  Epoch fence;
  Hooks hooks;
  bool isStoreAway = false;
  /// When a look at a worker that was well had no answer.
  std::optional<TimePoint> lostAnswerAt;
  std::map<WorkerId, Watch> watches;
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace daisydrift::coordination
