#pragma once
// Semantics of a worker without transport, shared by the in-memory fake and the stand-in server.

#include "daisydrift/external/WorkerClient.h"

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace daisydrift {

/// Age of a report, by the worker's clock, above which a renewal that refers to it has no effect.
inline constexpr std::chrono::seconds kMaxObservedReportAge{ 10 };

/// Simulated behaviour of a task: how long it runs and how it ends.
struct TaskBehaviour
{
  /// Zero or less: the task runs until it is stopped.
  std::chrono::milliseconds runTime{ 0 };
  bool succeeds = true;
  std::string detail;
};

/// Event or throttling of an attempt as the worker executed it. The history is the basis for
/// checks of what actually ran.
struct WorkerHistoryEntry
{
  TimePoint time;
  WorkerEventKind kind = WorkerEventKind::Started;
  AttemptId attempt;
  /// Started, and when isResized: resource limit of the attempt.
  Resources limit;
  /// Started: payload of the command.
  std::string payload;
  /// True when the attempt was throttled to `limit`; `kind` is meaningless then.
  bool isResized = false;
};

/// State of one worker. Not thread-safe; the caller passes the current time.
class WorkerModel
{
public:
  /// Selects the behaviour of a started task by its attempt and payload.
  using BehaviourHook =
    std::function<TaskBehaviour(const AttemptId& aAttempt, const std::string& aPayload)>;

  WorkerModel(std::string aIncarnation,
              Resources aCapacity,
              std::chrono::milliseconds aInitialLease);

  /// Sets the hook for the behaviour of started tasks; without a hook they run until stopped.
  void SetBehaviour(BehaviourHook aHook) { this->behaviour = std::move(aHook); }
  /// Executes one exchange. Errors: Fenced. If aHighestEpoch is given, it receives the highest
  /// epoch seen before the exchange.
  Result<SyncReport> Sync(const SyncRequest& aRequest,
                          TimePoint aNow,
                          Epoch* aHighestEpoch = nullptr);
  /// Ends tasks whose run time has elapsed or whose lease has expired.
  void Advance(TimePoint aNow);
  /// Restarts the worker under a new incarnation. All running attempts end without events.
  void Restart(std::string aIncarnation, TimePoint aNow);
  /// Events and throttlings of attempts in the order in which the worker processed them, over all
  /// incarnations.
  const std::vector<WorkerHistoryEntry>& History() const { return this->history; }
  /// Maximum, for each resource, of the total limit of attempts that ran at the same time. A
  /// throttle is taken into account only at the next start.
  const Resources& PeakCommitment() const { return this->peakCommitment; }
  /// Number of attempts that are running.
  std::size_t RunningCount() const { return this->running.size(); }

  /// ID of the current incarnation.
  const std::string& Incarnation() const { return this->incarnation; }
  const Resources& Capacity() const { return this->capacity; }

private:
  struct Task
  {
    Resources limit;
    /// Usage with the initial limit; reports cap it at the current limit.
    Resources usage;
    TimePoint endTime;
    bool hasRunTime = false;
    bool succeeds = true;
    std::string detail;
    TimePoint leaseExpiry;
  };

  void ApplyRequest(const SyncRequest& aRequest, TimePoint aNow);
  void ExecuteCommand(const WorkerCommand& aCommand, TimePoint aNow);
  void StartAttempt(const WorkerCommand& aCommand, TimePoint aNow);
  void FinishAttempt(const AttemptId& aAttempt,
                     WorkerEventKind aKind,
                     const std::string& aDetail,
                     TimePoint aNow);
  void RecordEvent(const AttemptId& aAttempt,
                   WorkerEventKind aKind,
                   const std::string& aDetail,
                   TimePoint aNow);
  bool IsRenewalFresh(std::uint64_t aObservedReport, TimePoint aNow) const;
  Resources CommittedResources() const;

  std::string incarnation;
  Resources capacity;
  Duration initialLease;
  BehaviourHook behaviour;
  Epoch highestEpoch = 0;
  std::map<AttemptId, Task> running;
  /// All attempts that this incarnation has received a Start or Stop for; a further Start is
  /// ignored.
  std::set<AttemptId> knownAttempts;
  std::deque<WorkerEvent> events;
  std::uint64_t lastEventNumber = 0;
  std::uint64_t lastReportNumber = 0;
  /// Numbers and times of recent reports, oldest first, for the age check of renewals.
  std::deque<std::pair<std::uint64_t, TimePoint>> reportTimes;
  std::vector<WorkerHistoryEntry> history;
  Resources peakCommitment;
};

} // namespace daisydrift
