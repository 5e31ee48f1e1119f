#pragma once
// Tells faulty workers, on which all jobs fail, from faulty jobs, which fail on all workers.

#include "ClusterState.h"

namespace daisydrift::core {

/// Tracks the outcomes of attempts on each worker. A worker on which several different jobs failed
/// in a row is quarantined: it gets one task at a time as a probe, and the failures on it no longer
/// count against the jobs.
class WorkerReliability
{
public:
  explicit WorkerReliability(ClusterState& aState);

  /// Handles a success on the worker; ends its quarantine or probation.
  void OnSuccess(EntityIndex aWorker);
  /// Handles a failure that is not known to be the job's fault; may begin a quarantine.
  void OnFailure(EntityIndex aWorker, Job& aJob, std::uint32_t aTask, TimePoint aNow);
  /// Handles a failed probe: schedules the next one after twice the delay.
  void OnProbeFailure(EntityIndex aWorker, TimePoint aNow);
  /// Removes the job's failures from all workers, because the job itself is faulty.
  void ClearFailures(const Job& aJob);
  /// Removes all references to a job.
  void EraseJob(const Job& aJob) { this->ClearFailures(aJob); }
  /// Ends the quarantine of workers for which no probe could be started in time and puts them on
  /// probation: the next failure quarantines them again.
  void Advance(TimePoint aNow);
  /// Clears the history of a worker that was replaced and ends its quarantine.
  void Reset(EntityIndex aWorker);
  /// Quarantined worker that is due for a probe and has aSize free, or kNoEntity if there is none
  /// or the job is not suitable as a probe.
  EntityIndex FindWorkerToProbe(const Job& aJob, const Resources& aSize, TimePoint aNow) const;
  /// Number of workers in quarantine.
  std::size_t QuarantinedCount() const { return this->quarantined.size(); }

private:
  struct Failure
  {
    Job* job = nullptr;
    std::uint32_t task = 0;
  };
  struct Probe
  {
    TimePoint dueAt;
    Duration delay;
  };

  void BeginQuarantine(EntityIndex aWorker, Duration aDelay, TimePoint aNow);
  void EndQuarantine(EntityIndex aWorker);
  static void DeductFailure(const Failure& aFailure, EntityIndex aWorker);

  ClusterState& state;
  /// Consecutive failures of each worker that has any.
  std::map<EntityIndex, std::vector<Failure>> consecutiveFailures;
  std::map<EntityIndex, Probe> quarantined;
  /// Delay of the last probe of each worker on probation.
  std::map<EntityIndex, Duration> probation;
};

} // namespace daisydrift::core
