#pragma once
// Selection of the tasks that get a second run, and of the workers for it.

#include "Placement.h"
#include "StragglerRule.h"

namespace daisydrift::dispatch {

/// Finds the tasks whose run holds up their step, and workers for a copy of them. Only capacity
/// that no waiting task could use now is given to a copy, so copies delay no other work.
class CopyPlanner
{
public:
  /// aTermStart: start of the leader's term, before which it knows nothing of any worker.
  CopyPlanner(FleetState& aState, Placement& aPlacement, TimePoint aTermStart);

  struct Straggler
  {
    Step* step = nullptr;
    std::uint32_t index = 0;
    StragglerCause cause = StragglerCause::None;
    RunObservation run;
  };

  /// The tasks for which a copy is worthwhile and allowed, by priority and arrival.
  std::vector<Straggler> Find(TimePoint aNow) const;
  /// Forgets the waiting work of the round before.
  void BeginRound() { this->waiting.clear(); }
  /// Adds a step with waiting tasks, which no copy may hold up.
  void AddWaiting(const Step& aStep);
  /// The best worker for a copy; null when there is none.
  Worker* Choose(const Straggler& aStraggler, TimePoint aNow) const;
  /// True when a ticket of the advice service is all that a copy may lack.
  bool NeedsAdvice(const Step& aStep) const;

private:
  /// The work that waits for a service: the smallest steps of each kind, since a worker with room
  /// for a larger one has room for these.
  struct WaitingWork
  {
    std::vector<const Step*> steps;
    bool hasManyKinds = false;
  };

  RunObservation Observe(const Attempt& aAttempt, Duration aExpected, TimePoint aNow) const;
  void FindIn(Step& aStep, TimePoint aNow, std::vector<Straggler>& aFound) const;
  bool CouldServeWaiting(const std::string& aService, const Worker& aWorker) const;

  FleetState& state;
  Placement& placement;
  TimePoint termStart;
  std::unordered_map<std::string, WaitingWork> waiting;
};

} // namespace daisydrift::dispatch
