#pragma once
// Polls all workers: renews their leases, processes end reports and acknowledges them once stored.

#include "StoredEnds.h"
#include "daisydrift/coordination/Instance.h"

#include <map>
#include <memory>

namespace daisydrift::coordination {

/// Keeps one long poll open to each worker, which answers when a run ends, or after about a second
/// otherwise.
class WorkerLooks
{
public:
  struct Hooks
  {
    /// End reports or other changes were processed.
    std::function<void()> onNews;
    /// The worker has seen a higher fencing token.
    std::function<void()> onFenced;
  };

  WorkerLooks(EventLoop& aLoop,
              WorkerGateway& aGateway,
              Dispatcher& aDispatcher,
              const InstanceSettings& aSettings,
              Epoch aFence,
              Hooks aHooks);
  ~WorkerLooks();

  /// Starts polling new workers, and stops polling removed ones.
  void Refresh();
  /// End reports that were processed but not acknowledged yet.
  TakenEnds Taken() const;
  /// Marks end reports as stored, so that the next poll acknowledges them.
  void Confirm(const TakenEnds& aEnds);
  /// While the store is unavailable, end reports cannot be acknowledged, so polls do not wait for
  /// new ones.
  void SetStoreAway(bool aIsAway) { this->isStoreAway = aIsAway; }

private:
  struct Watch
  {
    bool isOpen = false;
    bool wasAsked = false;
    /// The last poll was answered.
    bool hasAnswered = false;
    std::uint64_t confirmed = 0;
    /// The next poll waits until the processed end reports are stored.
    bool isWaitingForStore = false;
    std::uint64_t generation = 0;
    std::int64_t incarnation = 0;
  };

  /// Longest time that a poll may wait for an end report.
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
  /// Time of the last poll of a healthy worker that got no response.
  std::optional<TimePoint> lostAnswerAt;
  std::map<WorkerId, Watch> watches;
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace daisydrift::coordination
