#pragma once
// Choice of workers for the tasks of a step.

#include "WorkerReliability.h"

namespace daisydrift::dispatch {

/// Chooses workers on a nearly full fleet with a mix of short tasks (highest priority) and long
/// tasks (lower priorities). Short tasks go to the worker on which they end soonest. Long tasks are
/// packed tightly and leave headroom for short ones.
class Placement
{
public:
  Placement(FleetState& aState, WorkerReliability& aReliability);

  /// Determines the workers that accept starts; the set stays fixed for one round.
  void BeginRound(TimePoint aNow);
  /// Workers of the step's service that accept starts in this round.
  const std::vector<Worker*>& Accepting(const Step& aStep) const;
  /// True when the worker has the label that the step requires.
  static bool Matches(const Step& aStep, const Worker& aWorker);
  /// Number of tasks of the step that fit on the worker now, at most aMaxSlots.
  std::uint32_t CountSlots(const Step& aStep, const Worker& aWorker, std::uint32_t aMaxSlots) const;
  /// Cost of running a task of the step on the worker; lower is better.
  double Score(const Step& aStep, const Worker& aWorker) const;
  /// The best worker that has capacity for the task and, where needed, a valid ticket; null when
  /// there is none.
  Worker* Choose(Step& aStep, const Task& aTask, TimePoint aNow);
  /// One worker for each task of a gang; empty when not all of them fit.
  std::vector<Worker*> ChooseForGang(Step& aStep, TimePoint aNow);
  /// Workers that may get a start of the step now; with valid tickets when its queue uses advice.
  std::vector<Worker*> Candidates(Step& aStep, TimePoint aNow);

private:
  bool Fits(const Step& aStep, const Worker& aWorker) const;

  FleetState& state;
  WorkerReliability& reliability;
  /// Workers that accept starts in this round, by service.
  std::unordered_map<std::string, std::vector<Worker*>> accepting;
};

} // namespace daisydrift::dispatch
