#pragma once
// Whole placement of gangs and the reservation for the job that waits longest.

#include "Commands.h"
#include "Placer.h"
#include "Preemption.h"

namespace daisydrift::core {

/// Starts gangs whole or not at all. One reservation at a time holds workers for the oldest job
/// that found no room: it names the workers that are expected to be free first and the time. Only
/// tasks that are expected to end before that time may use them (backfill), and they are stopped
/// when the holder could start without them.
class GangPlanner
{
public:
  GangPlanner(ClusterState& aState, Placer& aPlacer, Commands& aCommands);

  /// Starts all waiting tasks of the job on free workers if all fit; returns whether it did.
  bool StartWhole(Job& aJob, TimePoint aNow);
  /// Chooses or renews the reservation and starts its holder when it fits.
  void Advance(TimePoint aNow);
  /// Stops attempts that aMayStop allows so that the whole job will fit, and reserves their
  /// workers. Returns false, and stops nothing, when not all tasks would fit or another job holds
  /// the reservation.
  bool MakeRoom(const Job& aJob,
                const Preemption& aPreemption,
                const Preemption::VictimFilter& aMayStop,
                TimePoint aNow);
  /// A reserved worker for a task that ends before the holder's expected start, or kNoPosition.
  Position BackfillFor(const Job& aJob, const Resources& aSize, TimePoint aNow) const;
  /// Job that holds the reservation, 0 for none.
  JobNumber Holder() const { return this->holder; }
  /// Expected start of the holder, if there is one that can be told.
  std::optional<TimePoint> ExpectedStart() const { return this->expectedStart; }

  /// Number of tasks of aSize that fit in aFree, at most aMost.
  static std::uint32_t Slots(const Resources& aFree, const Resources& aSize, std::uint32_t aMost);

private:
  /// The job entitled to a reservation, or null.
  Job* FindCandidate(TimePoint aNow) const;
  /// Starts the holder if it fits; stops backfill that alone is in its way.
  bool TryStartHolder(Job& aJob, TimePoint aNow);
  /// Chooses the workers that are expected to have room first.
  void Plan(const Job& aJob, TimePoint aNow);
  void Release();
  bool IsUsable(const Worker& aWorker) const;
  /// Tasks to be started at once for the job.
  static std::uint32_t Needed(const Job& aJob);

  ClusterState& state;
  Placer& placer;
  Commands& commands;
  JobNumber holder = 0;
  std::vector<Position> reserved;
  std::optional<TimePoint> expectedStart;
  TimePoint nextPlan;
};

} // namespace daisydrift::core
