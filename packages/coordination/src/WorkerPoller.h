#pragma once
// Polls all workers: renews their leases, processes completions and acknowledges them once stored.

#include "CompletionTracker.h"
#include "daisydrift/coordination/Instance.h"

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace daisydrift::coordination {

/// Keeps one long poll open to each worker, which answers when a run ends, or after about a second
/// otherwise. Answers a change of leader on a large fleet: the new one connects to a part of the
/// workers at a time, so that it starts tasks on those that have answered meanwhile, and those that
/// run tasks come first, since their leases end.
class WorkerPoller
{
public:
  struct Hooks
  {
    /// Completions or other changes were processed.
    std::function<void()> onUpdate;
    /// The worker has seen a higher fencing token.
    std::function<void()> onFenced;
    /// The worker has accepted a poll that was sent at aSentAt; the dispatcher knows its report.
    std::function<void(const WorkerId& aWorker, std::int64_t aIncarnation, TimePoint aSentAt)>
      onAccepted;
    /// Returns the latest time at which this leader is known to have led.
    std::function<TimePoint()> confirmedAt;
    /// Returns the fencing token for commands to the worker.
    std::function<Epoch(const WorkerId& aWorker)> fencingToken;
  };

  WorkerPoller(EventLoop& aLoop,
               WorkerGateway& aGateway,
               Dispatcher& aDispatcher,
               const InstanceSettings& aSettings,
               Hooks aHooks);
  ~WorkerPoller();

  /// Starts polling new workers, and stops polling removed ones.
  void Refresh();
  /// Completions that were processed but not acknowledged yet.
  ProcessedCompletions UnacknowledgedCompletions() const;
  /// Marks completions as stored, so that the next poll acknowledges them.
  void Acknowledge(const ProcessedCompletions& aCompletions);
  /// While the store is unavailable, completions cannot be acknowledged, so polls do not wait for
  /// new ones.
  void SetStoreUnavailable(bool aIsUnavailable) { this->isStoreUnavailable = aIsUnavailable; }

private:
  struct PollState
  {
    bool isOpen = false;
    bool wasPolled = false;
    /// The open poll counts in openFirstPolls.
    bool isFirstOpen = false;
    /// The last poll was answered.
    bool hasAnswered = false;
    TimePoint answeredAt;
    std::uint64_t acknowledged = 0;
    /// What the last poll acknowledged.
    std::uint64_t sentAcknowledgement = 0;
    /// The next poll waits until the processed completions are stored.
    bool isWaitingForStore = false;
    /// Increases with each poll that is scheduled or sent; cancels polls that were scheduled
    /// before.
    std::uint64_t generation = 0;
    std::int64_t incarnation = 0;
  };

  /// Longest time that a poll may wait for a completion.
  Duration MaxPollWait(TimePoint aNow) const;
  void Poll(const WorkerId& aWorker);
  /// Sends the first polls of workers that wait for it, up to the limit.
  void StartFirstPolls();
  void SchedulePoll(const WorkerId& aWorker, Duration aDelay);
  void OnPollResult(const WorkerId& aWorker,
                    TimePoint aSentAt,
                    const Result<WorkerReport>& aReport);

  EventLoop& loop;
  WorkerGateway& gateway;
  Dispatcher& dispatcher;
  const InstanceSettings& settings;
  Hooks hooks;
  bool isStoreUnavailable = false;
  /// Time of the last poll of a healthy worker that got no response.
  std::optional<TimePoint> lastLostResponse;
  std::map<WorkerId, PollState> polls;
  /// Workers that have not been polled yet.
  std::deque<WorkerId> firstPolls;
  std::size_t openFirstPolls = 0;
  /// Workers of which completions were processed that are not acknowledged yet.
  std::set<WorkerId> unacknowledged;
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace daisydrift::coordination
