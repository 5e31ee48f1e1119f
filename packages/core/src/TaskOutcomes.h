#pragma once
// What the end of an attempt means for its task, its job and its worker.

#include "Commands.h"
#include "Timers.h"
#include "WorkerTrust.h"

namespace daisydrift::core {

/// Applies reports of workers to tasks and jobs: retries, final failures and completion.
class TaskOutcomes
{
public:
  TaskOutcomes(ClusterState& aState,
               const PolicySettings& aSettings,
               WorkerTrust& aTrust,
               Timers& aTimers);

  /// Applies the end of an attempt.
  void OnEnded(Attempt& aAttempt,
               AttemptOutcome aOutcome,
               const std::string& aDetail,
               TimePoint aNow);
  /// Ends a job before its tasks are done: waiting tasks end, running ones will be stopped.
  void EndJob(Job& aJob, JobState aState, const std::string& aReason);
  /// Makes a delayed task ready.
  void OnDelayOver(const TaskId& aTask);
  /// Puts the job on the list of the next round when it may be complete or has work to stop.
  void Review(Job& aJob) { this->reviewed.insert(aJob.spec.number); }
  /// Stops work of jobs that end, stops incomplete gangs, and announces complete jobs.
  void Settle(Commands& aCommands);

private:
  void OnSucceeded(Job& aJob, std::uint32_t aTask, Duration aRunTime, TimePoint aNow);
  void OnFailed(Job& aJob,
                std::uint32_t aTask,
                Position aWorker,
                const std::string& aDetail,
                TimePoint aNow);
  /// Puts the task back into the queue, at once or after a delay.
  void Retry(Job& aJob, std::uint32_t aTask, Duration aDelay, TimePoint aNow);
  /// Delay before a service task is started again, which doubles while it ends soon after starts.
  Duration ServiceDelay(Job& aJob, std::uint32_t aTask, Duration aRunTime) const;
  void Fail(Job& aJob, std::uint32_t aTask, const std::string& aReason, bool aIsJobAtFault);
  static std::size_t DifferentWorkers(const Job& aJob, std::uint32_t aTask);
  static bool IsComplete(const Job& aJob);
  static void Conclude(Job& aJob);

  ClusterState& state;
  const PolicySettings& settings;
  WorkerTrust& trust;
  Timers& timers;
  std::set<JobNumber> reviewed;
};

} // namespace daisydrift::core
