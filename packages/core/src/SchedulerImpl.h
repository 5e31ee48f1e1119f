#pragma once
// Implementation of Scheduler.

#include "Enforcement.h"
#include "Explainer.h"
#include "JobStarter.h"
#include "LimitAdjuster.h"
#include "TaskOutcomes.h"
#include "daisydrift/core/Scheduler.h"

namespace daisydrift {

/// Owns the cluster state and the components of the policy, and forwards events and scheduling
/// rounds to them. The functions have the same contracts as those of Scheduler.
class Scheduler::Impl
{
public:
  explicit Impl(const PolicySettings& aSettings);

  std::error_code AddJob(const JobSpec& aSpec, TimePoint aNow);
  std::error_code CancelJob(JobNumber aJob);
  std::error_code EraseJob(JobNumber aJob);
  void SetTeams(const std::vector<TeamPolicy>& aTeams);
  void SetDrained(const std::set<FailureDomain>& aDrained, TimePoint aNow);
  void UpdateWorker(const WorkerDescription& aWorker, TimePoint aNow);
  void OnStarted(const AttemptId& aAttempt, TimePoint aNow);
  void OnEnded(const AttemptId& aAttempt,
               AttemptOutcome aOutcome,
               const std::string& aDetail,
               TimePoint aNow);
  void OnCheckpointed(const AttemptId& aAttempt, TimePoint aNow);
  void OnUsage(const AttemptId& aAttempt, const Resources& aUsage, TimePoint aNow);
  void RestoreAttempt(const AttemptId& aAttempt,
                      const WorkerId& aWorker,
                      const Resources& aLimit,
                      TimePoint aNow);
  void RestoreLimit(const AttemptId& aAttempt, const Resources& aLimit);
  void RestoreTask(const TaskId& aTask,
                   std::uint32_t aAttempts,
                   std::uint32_t aFailures,
                   bool aHasSucceeded);
  void RestoreTaskWithUnknownOutcome(const TaskId& aTask, std::uint32_t aAttempts);
  std::vector<Decision> Decide(TimePoint aNow, std::size_t aMaxStarts);
  std::vector<TeamUsage> Teams() const;

  PolicySettings settings;
  core::ClusterState state;
  core::DecisionRecorder recorder;
  core::Placer placer;
  core::WorkerReliability reliability;
  core::Timers timers;
  core::TaskOutcomes outcomes;
  core::TeamShares shares;
  core::Preemption preemption;
  core::GangPlanner gangs;
  core::Enforcement enforcement;
  core::LimitAdjuster limitAdjuster;
  core::JobStarter jobStarter;
  core::Explainer explainer;

private:
  /// Recovery: the worker has reported, so the limits of its attempts are the real ones.
  void ConfirmLimits(core::Worker& aWorker);
  void FireTimers(TimePoint aNow);
  /// Fails jobs whose tasks have outgrown every worker or their team's ceiling.
  void FailOversizedJobs();
  /// Removes a task from its job's waiting tasks and returns it; null if it is unknown or not
  /// waiting.
  core::Task* RemoveWaitingTask(const TaskId& aTask);
  /// Recovery: resets a task to its initial state if it was cancelled with its job before its
  /// running attempt was restored. Returns whether it did.
  bool ReopenTask(const TaskId& aTask);
};

} // namespace daisydrift
