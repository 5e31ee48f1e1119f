#pragma once
// The decision library for jobs made of steps: events in, orders out, time passed in.

#include "daisydrift/dispatch/DispatchSettings.h"
#include "daisydrift/dispatch/DispatchTypes.h"

#include <memory>
#include <set>

namespace daisydrift {

/// Counts for logs and metrics.
struct DispatchCounts
{
  std::size_t jobs = 0;
  std::size_t waitingTasks = 0;
  std::size_t runningTasks = 0;
  std::size_t workers = 0;
  std::size_t workersInReach = 0;
  std::size_t quarantinedWorkers = 0;
  /// Questions to the advice service that are open.
  std::size_t openQuestions = 0;
  /// Waiting tasks whose team is at its ceiling.
  std::size_t tasksAtCeiling = 0;
  /// Waiting tasks of queues of the first priority.
  std::size_t waitingFirstPriority = 0;
  Resources capacity;
  Resources committed;
};

/// Decides which task starts where, which run is stopped, and what is asked of the advice service.
/// Deterministic and not thread-safe. A task is started again only when the run before it has
/// provably ended or can no longer begin.
class Dispatcher
{
public:
  /// aTermStart is the moment from which no earlier leader extends leases.
  Dispatcher(const DispatchSettings& aSettings, TimePoint aTermStart);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  void SetPolicy(const FleetPolicy& aPolicy);
  /// Failure domains that get no starts.
  void SetDrainedDomains(const std::set<FailureDomain>& aDomains);

  /// Workers that are to be emptied: they get no starts, and what can move moves away.
  void SetReserved(const std::set<WorkerId>& aWorkers);
  /// Runs that may be open on a worker.
  std::size_t CountRuns(const WorkerId& aWorker) const;

  /// The worker is listed.
  void ListWorker(const WorkerListing& aListing);
  /// The worker is no longer listed; its runs stay counted until their lease is over.
  void UnlistWorker(const WorkerId& aWorker);
  /// A worker's answer to a look that was sent at aSentAt.
  void OnReport(const WorkerId& aWorker,
                const WorkerReport& aReport,
                TimePoint aSentAt,
                TimePoint aNow);
  /// A look failed; aNeverSent when no connection could be made.
  void OnSilence(const WorkerId& aWorker, bool aNeverSent, TimePoint aNow);
  /// Lease end on the worker's clock for an order sent now; nothing before its first report and
  /// while it is silent.
  std::optional<std::chrono::milliseconds> NextLease(const WorkerId& aWorker, TimePoint aNow);
  /// Highest number of an end of that worker that was taken in.
  std::uint64_t LastEnd(const WorkerId& aWorker) const;
  /// Listed workers and those with open runs.
  std::vector<WorkerId> Workers() const;
  const WorkerListing* FindWorker(const WorkerId& aWorker) const;

  /// Adds an accepted job; one that is known already is left as it is. False when known.
  bool AddJob(const JobDefinition& aDefinition, TimePoint aNow, WallTime aWall);
  /// Recovery: adds a job with what was stored of it.
  void RestoreJob(const JobDefinition& aDefinition,
                  const JobProgress& aProgress,
                  TimePoint aNow,
                  WallTime aWall);
  /// False when unknown. A job in a final state stays as it is.
  bool CancelJob(const JobId& aJob, TimePoint aNow, WallTime aWall);
  void ForgetJob(const JobId& aJob);

  /// Job of a start that was decided; null when it is no longer open.
  const JobId* JobOf(AttemptKey aAttempt) const;
  /// Order of a start whose record is stored; nothing when it is no longer wanted.
  std::optional<StartOrder> TakeStart(AttemptKey aAttempt, TimePoint aNow);
  void OnStartAnswer(AttemptKey aAttempt, StartAnswer aAnswer, TimePoint aNow);
  /// The worker has confirmed a stop.
  void OnStopped(const StopOrder& aOrder, TimePoint aNow);
  /// Answer of the advice service; tickets hold until aValidUntil.
  void OnAdvice(const AdviceQuestion& aQuestion,
                const std::vector<AdviceGrant>& aGrants,
                TimePoint aValidUntil);
  void OnAdviceFailed(const AdviceQuestion& aQuestion, TimePoint aNow);

  /// Decides at aNow. aLanes is the number of questions that can be open at a time.
  DispatchRound Decide(TimePoint aNow, WallTime aWall, std::size_t aLanes);

  /// Jobs whose progress has changed since the last call.
  std::vector<JobId> TakeChanged();
  /// Progress to be stored; nothing when unknown.
  std::optional<JobProgress> Progress(const JobId& aJob) const;
  /// State; nothing when unknown.
  std::optional<DispatchState> State(const JobId& aJob) const;
  /// Jobs of a queue that are not finished and have not begun.
  std::size_t Pending(const QueueName& aQueue) const;
  /// Jobs in a final state of which nothing runs any more; they can be forgotten.
  std::vector<JobId> Closed() const;
  DispatchCounts Counts(TimePoint aNow) const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace daisydrift
