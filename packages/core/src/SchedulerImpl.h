#pragma once
// The parts of the decision library behind Scheduler.

#include "Enforcement.h"
#include "Explainer.h"
#include "StartRound.h"
#include "TaskOutcomes.h"
#include "UsageControl.h"
#include "daisydrift/core/Scheduler.h"

namespace daisydrift {

/// Owns the state and the policies and passes events and rounds to them. The calls mean the same as
/// those of Scheduler.
class Scheduler::Impl
{
public:
  explicit Impl(const PolicySettings& aSettings);

  std::error_code AddJob(const JobSpec& aSpec, TimePoint aNow);
  std::error_code CancelJob(JobNumber aJob);
  std::error_code ForgetJob(JobNumber aJob);
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
  void RestoreLostTask(const TaskId& aTask, std::uint32_t aAttempts);
  std::vector<Decision> Decide(TimePoint aNow, std::size_t aMaxStarts);
  std::vector<TeamUsage> Teams() const;

  PolicySettings settings;
  core::ClusterState state;
  core::Commands commands;
  core::Placer placer;
  core::WorkerTrust trust;
  core::Timers timers;
  core::TaskOutcomes outcomes;
  core::TeamShares shares;
  core::Preemption preemption;
  core::GangPlanner gangs;
  core::Enforcement enforcement;
  core::UsageControl usage;
  core::StartRound starts;
  core::Explainer explainer;

private:
  void FireTimers(TimePoint aNow);
  /// Fails jobs that have outgrown what the fleet or their team's ceiling can hold.
  void FailOversizedJobs();
  /// Finds a task that waits; takes it off its job's list of waiting tasks. Null when there is
  /// none.
  core::Task* TakeWaitingTask(const TaskId& aTask);
  /// Recovery: makes a task initial again that was cancelled with its job before its running
  /// attempt was restored. Returns false when there is none.
  bool ReopenTask(const TaskId& aTask);
};

} // namespace daisydrift
