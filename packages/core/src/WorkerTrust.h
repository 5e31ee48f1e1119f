#pragma once
// Tells workers that fail everything from jobs that fail everywhere.

#include "ClusterState.h"

namespace daisydrift::core {

/// Watches the outcomes of each worker. A worker on which several different jobs failed in a row is
/// quarantined: it gets one task at a time to probe it, and the failures on it are taken off the
/// jobs' counts.
class WorkerTrust
{
public:
  explicit WorkerTrust(ClusterState& aState);

  /// Notes a success on the worker; ends its quarantine.
  void OnSuccess(Position aWorker);
  /// Notes a failure that is not known to be the job's fault; may begin a quarantine.
  void OnFailure(Position aWorker, Job& aJob, std::uint32_t aTask, TimePoint aNow);
  /// Notes that a probe failed.
  void OnProbeFailure(Position aWorker, TimePoint aNow);
  /// Takes the job's failures off all workers: the job is at fault.
  void OnJobAtFault(const Job& aJob);
  /// Drops what refers to a job.
  void ForgetJob(const Job& aJob) { this->OnJobAtFault(aJob); }
  /// Returns quarantined workers that could not be probed for long to service, on probation: the
  /// next failure quarantines them again.
  void Advance(TimePoint aNow);
  /// Ends the quarantine of a worker that was replaced.
  void Reset(Position aWorker);
  /// A quarantined worker with room for aSize that is due for a probe, or kNoPosition.
  Position ProbeFor(const Job& aJob, const Resources& aSize, TimePoint aNow) const;
  /// Workers in quarantine.
  std::size_t QuarantinedCount() const { return this->quarantined.size(); }

private:
  struct Failure
  {
    Job* job = nullptr;
    std::uint32_t task = 0;
  };
  struct Probe
  {
    TimePoint at;
    Duration delay;
  };

  void Quarantine(Position aWorker, Duration aDelay, TimePoint aNow);
  void Release(Position aWorker);
  static void TakeOff(const Failure& aFailure, Position aWorker);

  ClusterState& state;
  /// Failures in a row, for workers that have any.
  std::map<Position, std::vector<Failure>> streaks;
  std::map<Position, Probe> quarantined;
  /// Workers on probation, with the delay of their last probe.
  std::map<Position, Duration> probation;
};

} // namespace daisydrift::core
