#pragma once
// Decisions of one round, applied to the state as they are made.

#include "ClusterState.h"

namespace daisydrift::core {

/// Collects the decisions and changes the state with each, so that later decisions of the same
/// round see it.
class Commands
{
public:
  Commands(ClusterState& aState, const PolicySettings& aSettings);

  /// Starts the next waiting task of the job on the worker; it must have room and the team must be
  /// within its ceiling. Returns the attempt.
  Attempt& Start(Job& aJob, Position aWorker, const Resources& aSize, TimePoint aNow);
  /// Stops an attempt unless it is being stopped already. A checkpoint is asked for where the task
  /// can write one and is to run again.
  void Stop(Attempt& aAttempt, StopReason aReason);
  /// Stops the attempt, and all other attempts of its job when that is a gang.
  void StopWhole(Attempt& aAttempt, StopReason aReason);
  /// Holds an attempt to a new size. A raise counts at once; a reduction when it has taken effect.
  void Throttle(Attempt& aAttempt, const Resources& aLimit, TimePoint aNow);
  /// Announces the final state of a job.
  void Finish(Job& aJob);

  /// Hands over the decisions collected.
  std::vector<Decision> Take() { return std::move(this->decisions); }
  /// Starts since the last Clear.
  std::size_t StartCount() const { return this->startCount; }
  /// Begins a new round.
  void Clear();

private:
  ClusterState& state;
  const PolicySettings& settings;
  std::vector<Decision> decisions;
  std::size_t startCount = 0;
};

} // namespace daisydrift::core
