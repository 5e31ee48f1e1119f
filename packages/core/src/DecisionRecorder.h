#pragma once
// Decisions of a scheduling round, applied to the state as they are made.

#include "ClusterState.h"

namespace daisydrift::core {

/// Records decisions and applies each to the state at once, so that later decisions of the same
/// round take it into account.
class DecisionRecorder
{
public:
  DecisionRecorder(ClusterState& aState, const PolicySettings& aSettings);

  /// Starts the next waiting task of the job on the worker and returns the attempt. The worker must
  /// have aSize free, and the start must keep the team within its ceiling.
  Attempt& Start(Job& aJob, EntityIndex aWorker, const Resources& aSize, TimePoint aNow);
  /// Stops an attempt unless it is already being stopped. Requests a checkpoint if the task can
  /// write one and its job is not ending.
  void Stop(Attempt& aAttempt, StopReason aReason);
  /// Stops the attempt and, if its job is a gang, all other attempts of the job.
  void StopWithGang(Attempt& aAttempt, StopReason aReason);
  /// Changes the limit of an attempt. A raise is committed at once, a reduction only after it has
  /// taken effect on the worker (see LimitAdjuster).
  void Throttle(Attempt& aAttempt, const Resources& aLimit, TimePoint aNow);
  /// Records that a job has reached its final state.
  void FinishJob(Job& aJob);

  /// Returns the recorded decisions and clears them.
  std::vector<Decision> Take() { return std::move(this->decisions); }
  /// Number of starts in this round.
  std::size_t StartCount() const { return this->startCount; }
  /// Begins a new round with no decisions and no starts.
  void BeginRound();

private:
  ClusterState& state;
  const PolicySettings& settings;
  std::vector<Decision> decisions;
  std::size_t startCount = 0;
};

} // namespace daisydrift::core
