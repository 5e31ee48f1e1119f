#pragma once
// The decision library: events in, decisions out, time passed in.

#include "daisydrift/core/Types.h"

#include <memory>
#include <optional>

namespace daisydrift {

struct PolicySettings;

/// Decides which task runs where in one region. Deterministic: the same calls give the same
/// decisions. Not thread-safe. It holds a decision as done at once; if a decision can't be made
/// durable, the whole state is discarded.
class Scheduler
{
public:
  explicit Scheduler(const PolicySettings& aSettings);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /// Checks whether a job can ever run with the ceiling of its team and the workers known. Returns
  /// the reason when not. Does not change the state.
  std::optional<Explanation> CheckJob(const JobSpec& aSpec) const;
  /// Adds an accepted job. Errors: Conflict (number in use), NotFound (unknown team),
  /// InvalidArgument.
  std::error_code AddJob(const JobSpec& aSpec, TimePoint aNow);
  /// Cancels a job: waiting tasks end at once, running tasks are stopped by the next Decide.
  /// Errors: NotFound.
  std::error_code CancelJob(JobNumber aJob, TimePoint aNow);
  /// Drops a finished job from memory. Errors: NotFound, NotPermitted (not finished).
  std::error_code ForgetJob(JobNumber aJob);

  /// Replaces all team policies. Teams with work that are missing keep a ceiling of zero.
  void SetTeams(const std::vector<TeamPolicy>& aTeams, TimePoint aNow);
  /// Replaces the set of failure domains that operators have taken out of service.
  void SetDrainedFailureDomains(const std::set<FailureDomain>& aDrained, TimePoint aNow);
  /// Adds or changes a worker. Gone ends its attempts as Interrupted.
  void UpdateWorker(const WorkerDescription& aWorker, TimePoint aNow);

  /// The worker reports that an attempt has started.
  void OnStarted(const AttemptId& aAttempt, TimePoint aNow);
  /// The attempt ended; unknown and repeated reports are ignored.
  void OnEnded(const AttemptId& aAttempt,
               AttemptOutcome aOutcome,
               const std::string& aDetail,
               TimePoint aNow);
  /// A checkpoint of the attempt was written.
  void OnCheckpointed(const AttemptId& aAttempt, TimePoint aNow);
  /// Lagged usage of a running attempt.
  void OnUsage(const AttemptId& aAttempt, const Resources& aUsage, TimePoint aNow);

  /// Recovery: an attempt recorded as assigned and not known to have ended. Call after AddJob.
  void RestoreAttempt(const AttemptId& aAttempt,
                      const WorkerId& aWorker,
                      const Resources& aLimit,
                      TimePoint aNow);
  /// Recovery: the size that the worker holds an attempt to, which an earlier leader may have
  /// changed without a record. Call before the worker becomes Live; unknown attempts are ignored.
  void RestoreLimit(const AttemptId& aAttempt, const Resources& aLimit);
  /// Recovery: a task that has used aAttempts attempts with aFailures failures, and has succeeded
  /// or not.
  void RestoreTask(const TaskId& aTask,
                   std::uint32_t aAttempts,
                   std::uint32_t aFailures,
                   bool aHasSucceeded);

  /// Recovery: a task that is not repeatable and has ended without an outcome. It is not run again.
  void RestoreLostTask(const TaskId& aTask, std::uint32_t aAttempts);

  /// Makes decisions at aNow, at most aMaxStarts starts (a gang counts whole and may exceed it).
  std::vector<Decision> Decide(TimePoint aNow, std::size_t aMaxStarts);

  /// State of a job, or nothing when unknown.
  std::optional<JobStatus> Status(JobNumber aJob) const;
  /// All jobs known, by number.
  std::vector<JobStatus> Jobs() const;
  /// Why the job waits; nothing when unknown or not waiting.
  std::optional<Explanation> Explain(JobNumber aJob, TimePoint aNow) const;
  /// Usage and share of each team, by name.
  std::vector<TeamUsage> Teams(TimePoint aNow) const;
  /// Size and run-time estimates with their errors, by team and kind.
  std::vector<SizeEstimate> SizeEstimates() const;
  /// Sum of limits committed on a worker; zero when unknown.
  Resources Committed(const WorkerId& aWorker) const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace daisydrift
