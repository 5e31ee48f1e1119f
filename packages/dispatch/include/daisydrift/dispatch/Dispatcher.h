#pragma once
// Scheduler for multi-step jobs: the caller passes in events and the current time, and gets
// commands back.

#include "daisydrift/dispatch/DispatchSettings.h"
#include "daisydrift/dispatch/DispatchTypes.h"
#include "daisydrift/dispatch/WaitForecast.h"

#include <memory>
#include <set>

namespace daisydrift {

/// Statistics for logs and metrics.
struct DispatchCounts
{
  /// Jobs that are unfinished or still have runs.
  std::size_t jobs = 0;
  std::size_t waitingTasks = 0;
  std::size_t runningTasks = 0;
  std::size_t workers = 0;
  /// Workers that answered the last poll.
  std::size_t reachableWorkers = 0;
  std::size_t quarantinedWorkers = 0;
  /// Requests to the advice service without a response so far.
  std::size_t openAdviceRequests = 0;
  /// Waiting tasks that would exceed their team's resource ceiling.
  std::size_t tasksAtCeiling = 0;
  /// Waiting tasks of queues with the highest priority.
  std::size_t waitingHighestPriority = 0;
  /// Waiting tasks of services, the longest time for which a service has had waiting tasks, and the
  /// job of that service.
  std::size_t waitingServiceTasks = 0;
  Duration longestServiceWait{ 0 };
  JobId longestWaitingService;
  /// Steps for which the last round neither requested advice nor looked for candidates, since its
  /// scans or request slots were used up.
  std::size_t stepsPassedOver = 0;
  /// Tasks that run twice at the moment; in this term, the copies that were started and those that
  /// succeeded before the first run of their task.
  std::size_t runningCopies = 0;
  std::uint64_t copiesStarted = 0;
  std::uint64_t copiesWon = 0;
  /// Sum over all workers.
  Resources capacity;
  /// Part of the capacity that is used by runs which may be active.
  Resources committed;
};

/// Decides which tasks start on which workers, which runs are stopped, and which requests go to the
/// advice service. Deterministic; not thread-safe. A task is started again only after its previous
/// run has provably ended or can no longer start; one of a step that allows copies may have two
/// runs at the same time, on two workers.
class Dispatcher
{
public:
  /// aTermStart is the time from which no earlier leader extends leases.
  Dispatcher(const DispatchSettings& aSettings, TimePoint aTermStart);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Updates the queue and team rules. Rules of queues and teams that aPolicy omits stay in force,
  /// as do newer rules of a queue or team that came with a job.
  void SetPolicy(const FleetPolicy& aPolicy);
  /// Replaces the set of failure domains whose workers get no starts.
  void SetDrainedDomains(const std::set<FailureDomain>& aDomains);

  /// Replaces the set of known workers to drain: they get no starts, and tasks that can migrate are
  /// moved to other workers.
  void SetDrainingWorkers(const std::set<WorkerId>& aWorkers);
  /// Number of runs that may be active on a worker; 0 for an unknown worker.
  std::size_t CountRuns(const WorkerId& aWorker) const;

  /// Adds a worker that the platform's directory lists, or updates its entry.
  void ListWorker(const WorkerListing& aListing);
  /// No earlier leader extends leases beyond the longest one from now on. Without this call they
  /// are assumed to have begun no lease after the start of the term, but to have asked for the
  /// longest that workers grant.
  void OnEarlierLeadersEnded(TimePoint aNow);
  /// The directory no longer lists the worker. Its runs stay counted until their lease expires.
  void UnlistWorker(const WorkerId& aWorker);
  /// Processes a worker's response to a poll that was sent at aSentAt.
  void OnReport(const WorkerId& aWorker,
                const WorkerReport& aReport,
                TimePoint aSentAt,
                TimePoint aNow);
  /// A poll failed, in whatever way.
  void OnPollFailed(const WorkerId& aWorker);
  /// Extends the worker's lease for a poll or command that is sent now. aConfirmedAt is the latest
  /// time at which this leader is known to have led, not in the future; the lease ends at most its
  /// duration later, or when an earlier call has said. Returns the lease end on the worker's clock;
  /// empty before the worker's first report and while it is unresponsive.
  std::optional<std::chrono::milliseconds> ExtendWorkerLease(const WorkerId& aWorker,
                                                             TimePoint aConfirmedAt);
  /// Number of restarts of the worker that were noticed in this term, at most maxFencedRestarts.
  /// Commands carry a fencing number that grows with it, so that a worker which has accepted one
  /// refuses late commands that were meant for its earlier incarnations.
  std::uint32_t CountRestarts(const WorkerId& aWorker) const;
  /// False between the first report after a restart and the response to a poll that was sent after
  /// it. Such a poll must not wait.
  bool IsFenced(const WorkerId& aWorker) const;
  /// Highest number of that worker's processed completions; 0 for an unknown worker.
  std::uint64_t LastCompletion(const WorkerId& aWorker) const;
  /// Workers that are listed or may have active runs.
  std::vector<WorkerId> Workers() const;
  /// Directory entry of a worker; null when unknown.
  const WorkerListing* FindWorker(const WorkerId& aWorker) const;

  /// Adds an accepted job. Returns false, without any change, when the id is already known.
  bool AddJob(const JobDefinition& aDefinition, TimePoint aNow, WallTime aWall);
  /// Adds a job with its stored progress, the steps of all parts included, after a change of
  /// leader; does nothing when it is known.
  void RestoreJob(const JobDefinition& aDefinition,
                  const JobProgress& aProgress,
                  TimePoint aNow,
                  WallTime aWall);
  /// Cancels a job; a job in a final state is left unchanged. Returns false when it is unknown.
  bool CancelJob(const JobId& aJob, TimePoint aNow, WallTime aWall);
  /// Removes a job with all its attempts.
  void EraseJob(const JobId& aJob);

  /// Job of a decided start; null when the attempt no longer exists.
  const JobId* JobOf(AttemptKey aAttempt) const;
  /// Returns the start command of an attempt whose job progress has been stored and marks it as
  /// sent; empty when the start is no longer wanted.
  std::optional<StartCommand> TakeStartCommand(AttemptKey aAttempt, TimePoint aNow);
  /// True while the start of an attempt may be sent, or sent again: the worker is not leaving and
  /// not drained, and the job is not cancelled.
  bool IsStartAllowed(AttemptKey aAttempt) const;
  /// Processes the result of a start command; does nothing when the attempt no longer exists.
  void OnStartResult(AttemptKey aAttempt, StartResult aResult, TimePoint aNow);
  /// The worker confirmed a stop command.
  void OnStopConfirmed(const StopCommand& aCommand, TimePoint aNow);
  /// The worker confirmed a throttle command. Until then it is sent again.
  void OnThrottleConfirmed(const ThrottleCommand& aCommand, TimePoint aNow);
  /// Response of the advice service; its tickets are valid until aValidUntil. Workers of the
  /// request that are not in aGrants are denied for that step.
  void OnAdvice(const AdviceRequest& aRequest,
                const std::vector<AdviceGrant>& aGrants,
                TimePoint aValidUntil);
  /// An advice request got no response; its step may be named in another request shortly after.
  void OnAdviceFailed(const AdviceRequest& aRequest, TimePoint aNow);

  /// Runs one scheduling round at aNow. aRequestSlots is the number of advice requests that may be
  /// open at the same time.
  DispatchRound Decide(TimePoint aNow, WallTime aWall, std::size_t aRequestSlots);

  /// Returns the jobs whose progress has changed since the last call.
  std::vector<JobId> TakeChangedJobs();
  /// Whole progress of a job; empty when the job is unknown.
  std::optional<JobProgress> Progress(const JobId& aJob) const;
  /// Progress of a job that has changed since the last call, for storage: the parts of a large job,
  /// whose records would grow without bound, and the head. Empty when the job is unknown.
  std::optional<ChangedProgress> TakeChangedProgress(const JobId& aJob);
  /// Ends an accepted job whose progress can't be stored; its runs are stopped.
  void FailJob(const JobId& aJob, TimePoint aNow, WallTime aWall);
  /// State of a job; empty when unknown.
  std::optional<DispatchState> State(const JobId& aJob) const;
  /// Number of jobs of a queue that have not started yet.
  std::size_t CountQueuedJobs(const QueueName& aQueue) const;
  /// Jobs in a final state without active runs; they can be removed with EraseJob.
  std::vector<JobId> ClosedJobs() const;
  DispatchCounts Counts(TimePoint aNow) const;
  /// Forecast of the waits of new jobs, without term and sequence. Jobs that are added within the
  /// next seconds are compared with it when they complete, for its error.
  FleetForecast Forecast(TimePoint aNow);

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace daisydrift
