#pragma once
// Reliability and speed of workers.

#include "FleetState.h"

namespace daisydrift::dispatch {

/// Detects workers that fail, hang or slow down all their tasks while they report themselves
/// healthy. A worker on which several different jobs fail in a row is quarantined, and then probed
/// with one task at a time.
class WorkerReliability
{
public:
  explicit WorkerReliability(FleetState& aState);

  /// True when the worker may get a start now; does not check its free capacity.
  bool AcceptsStarts(const Worker& aWorker, TimePoint aNow) const;
  void OnSuccess(Attempt& aAttempt, TimePoint aNow);
  void OnFailure(Attempt& aAttempt, TimePoint aNow);
  /// A task on the worker made no progress.
  void OnStall(Worker& aWorker, TimePoint aNow);
  /// The worker refused a start; it gets no others for aPause.
  void OnRefusal(Worker& aWorker, Duration aPause, TimePoint aNow);
  /// Clears the history of a worker that has restarted.
  static void Reset(Worker& aWorker);

private:
  void Quarantine(Worker& aWorker, TimePoint aNow);

  FleetState& state;
};

} // namespace daisydrift::dispatch
