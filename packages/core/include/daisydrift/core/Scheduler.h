#pragma once
// The scheduling library: takes events and the current time, returns decisions.

#include "daisydrift/core/Types.h"

#include <memory>
#include <optional>

namespace daisydrift {

struct PolicySettings;

/// Decides which task runs on which worker in one region. Deterministic: the same sequence of calls
/// yields the same decisions. Not thread-safe. A decision takes effect in the scheduler's state as
/// soon as it is made; a caller that cannot make it durable must discard the whole scheduler.
class Scheduler
{
public:
  explicit Scheduler(const PolicySettings& aSettings);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /// Checks whether a job can ever run within its team's ceiling and on the known workers. Returns
  /// the reason if it cannot. Does not change the state.
  std::optional<Explanation> CheckJob(const JobSpec& aSpec) const;
  /// Adds an accepted job. Errors: Conflict (job number in use), NotFound (unknown team),
  /// InvalidArgument (number 0, no tasks, a zero or negative size, or a negative run time).
  std::error_code AddJob(const JobSpec& aSpec, TimePoint aNow);
  /// Cancels a job: its waiting tasks end at once, its running tasks are stopped by the next
  /// Decide. Errors: NotFound.
  std::error_code CancelJob(JobNumber aJob, TimePoint aNow);
  /// Removes a finished job from memory. Errors: NotFound, NotPermitted (not finished).
  std::error_code EraseJob(JobNumber aJob);

  /// Replaces all team policies. A team that is missing from aTeams gets a ceiling of zero.
  void SetTeams(const std::vector<TeamPolicy>& aTeams, TimePoint aNow);
  /// Replaces the set of failure domains that operators have drained.
  void SetDrainedFailureDomains(const std::set<FailureDomain>& aDrained, TimePoint aNow);
  /// Adds or updates a worker. WorkerHealth::Gone ends its attempts as Interrupted.
  void UpdateWorker(const WorkerDescription& aWorker, TimePoint aNow);

  /// Handles a worker's report that an attempt has started.
  void OnStarted(const AttemptId& aAttempt, TimePoint aNow);
  /// Handles the end of an attempt. Reports of unknown or already ended attempts are ignored.
  void OnEnded(const AttemptId& aAttempt,
               AttemptOutcome aOutcome,
               const std::string& aDetail,
               TimePoint aNow);
  /// Handles a worker's report that the attempt has written a checkpoint.
  void OnCheckpointed(const AttemptId& aAttempt, TimePoint aNow);
  /// Handles a usage report of a running attempt. Reports lag behind the actual usage.
  void OnUsage(const AttemptId& aAttempt, const Resources& aUsage, TimePoint aNow);

  /// Recovery: restores an attempt that is recorded as assigned and not known to have ended. Call
  /// after AddJob.
  void RestoreAttempt(const AttemptId& aAttempt,
                      const WorkerId& aWorker,
                      const Resources& aLimit,
                      TimePoint aNow);
  /// Recovery: sets the limit that the worker enforces on an attempt, which an earlier leader may
  /// have changed without a durable record. Call before the worker becomes Live; unknown attempts
  /// are ignored.
  void RestoreLimit(const AttemptId& aAttempt, const Resources& aLimit);
  /// Recovery: restores the number of attempts and failures of a task and whether it has succeeded.
  void RestoreTask(const TaskId& aTask,
                   std::uint32_t aAttempts,
                   std::uint32_t aFailures,
                   bool aHasSucceeded);

  /// Recovery: restores a task that is not repeatable and ended with an unknown outcome. It is not
  /// run again.
  void RestoreTaskWithUnknownOutcome(const TaskId& aTask, std::uint32_t aAttempts);

  /// Runs a scheduling round at aNow with at most aMaxStarts starts. A gang is started as a whole
  /// and may exceed that number.
  std::vector<Decision> Decide(TimePoint aNow, std::size_t aMaxStarts);

  /// Status of a job, or nothing if the job is unknown.
  std::optional<JobStatus> Status(JobNumber aJob) const;
  /// Status of all known jobs, ordered by number.
  std::vector<JobStatus> Jobs() const;
  /// Why the job waits, or nothing if it is unknown or not waiting.
  std::optional<Explanation> Explain(JobNumber aJob, TimePoint aNow) const;
  /// Usage and shares of all teams, ordered by name.
  std::vector<TeamUsage> Teams(TimePoint aNow) const;
  /// Size and run-time estimates and their relative errors, ordered by team and kind.
  std::vector<SizeEstimate> SizeEstimates() const;
  /// Sum of the resources committed to attempts on a worker; zero if the worker is unknown.
  Resources Committed(const WorkerId& aWorker) const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace daisydrift
