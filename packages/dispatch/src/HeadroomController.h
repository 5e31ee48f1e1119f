#pragma once
// Choice of the cores that lower priorities leave free for the first one.

#include "daisydrift/base.h"

#include <chrono>
#include <cstddef>

namespace daisydrift::dispatch {

/// Chooses the share of a worker's cores that queues below the first priority leave free. Answers a
/// burst of long tasks on a full fleet: the headroom lets short tasks start at once, but while long
/// ones wait it stays unused most of the time, and they lose that part of the fleet.
///
/// The headroom shrinks while steps of lower priorities wait and those of the first one and of
/// services do not, and grows again as soon as these wait, or nothing else does. Growing is the
/// faster of the two: tasks that took the headroom release it only when they end.
class HeadroomController
{
public:
  /// Waiting steps of one group of queues that can still be in time.
  struct Waiting
  {
    std::size_t steps = 0;
    /// Those that have waited for a large part of their slack, the time by which they may start
    /// later than at once.
    std::size_t atRisk = 0;

    /// Counts a step that has waited for aWaited and has aSlack; aRiskShare: the part of the slack
    /// from which it is at risk.
    void Add(Duration aWaited, Duration aSlack, double aRiskShare);
    /// True when a single slow step is not the cause.
    bool IsAtRisk() const;
  };

  /// Parts of the slack from which steps of the first priority and of lower ones are at risk. Short
  /// tasks have little slack, a part of which advice and the store take even on an empty fleet.
  static constexpr double kFirstPriorityRisk = 0.25;
  static constexpr double kLowerPriorityRisk = 0.1;

  /// @param aMost Share of a worker's cores while there is no shortage; 0 to 1.
  explicit HeadroomController(double aMost);

  /// Moves the headroom by the time since the last update.
  void Update(const Waiting& aFirstPriority, const Waiting& aLowerPriorities, TimePoint aNow);
  /// Share of a worker's cores; 0 to 1.
  double Headroom() const { return this->headroom; }

private:
  double most;
  double headroom;
  TimePoint updatedAt;
};

} // namespace daisydrift::dispatch
