#pragma once
// Effects of the end of an attempt on its task, job and worker.

#include "DecisionRecorder.h"
#include "Timers.h"
#include "WorkerReliability.h"

namespace daisydrift::core {

/// Updates tasks and jobs when attempts end: retries, final failures and completion.
class TaskOutcomes
{
public:
  TaskOutcomes(ClusterState& aState,
               const PolicySettings& aSettings,
               WorkerReliability& aReliability,
               Timers& aTimers);

  /// Handles the end of an attempt.
  void OnEnded(Attempt& aAttempt,
               AttemptOutcome aOutcome,
               const std::string& aDetail,
               TimePoint aNow);
  /// Ends a job early: cancels its waiting tasks; ReviewJobs stops the running ones.
  void EndJob(Job& aJob, JobState aState, const std::string& aReason);
  /// Puts a delayed task back into the queue when its delay has expired.
  void OnDelayOver(const TaskId& aTask);
  /// Marks a job that may be complete or have attempts to stop for the next ReviewJobs.
  void MarkForReview(Job& aJob) { this->jobsToReview.insert(aJob.spec.number); }
  /// Stops the attempts of ending jobs and of incomplete gangs, and finishes complete jobs.
  void ReviewJobs(DecisionRecorder& aRecorder);

private:
  void RestartServiceTask(Job& aJob, std::uint32_t aTask, Duration aRunTime, TimePoint aNow);
  void OnFailed(Job& aJob,
                std::uint32_t aTask,
                EntityIndex aWorker,
                const std::string& aDetail,
                TimePoint aNow);
  /// Puts the task back into the queue, at once or after aDelay.
  void RetryTask(Job& aJob, std::uint32_t aTask, Duration aDelay, TimePoint aNow);
  /// Delay before a service task is restarted; doubles with each consecutive early exit.
  Duration RestartDelay(Job& aJob, std::uint32_t aTask, Duration aRunTime) const;
  void FailTask(Job& aJob, std::uint32_t aTask, const std::string& aReason, bool aIsJobAtFault);
  static std::size_t CountFailedWorkers(const Job& aJob, std::uint32_t aTask);
  static bool IsComplete(const Job& aJob);
  static void SetFinalState(Job& aJob);

  ClusterState& state;
  const PolicySettings& settings;
  WorkerReliability& reliability;
  Timers& timers;
  std::set<JobNumber> jobsToReview;
};

} // namespace daisydrift::core
