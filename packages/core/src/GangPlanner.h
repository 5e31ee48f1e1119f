#pragma once
// Placement of whole gangs, and the reservation for the job that has waited longest.

#include "DecisionRecorder.h"
#include "Placer.h"
#include "Preemption.h"

namespace daisydrift::core {

/// Starts all tasks of a gang or none. At most one reservation exists at a time, for the oldest job
/// that does not fit: it covers the workers that are expected to become free first, and the
/// expected start time. Only tasks that are expected to end before that time may use these workers
/// (backfill), and they are stopped once the holder could start without them.
class GangPlanner
{
public:
  GangPlanner(ClusterState& aState, Placer& aPlacer, DecisionRecorder& aRecorder);

  /// Starts all waiting tasks of the job if all fit on free capacity; returns whether it did.
  bool StartAllTasks(Job& aJob, TimePoint aNow);
  /// Starts the holder of the reservation if it fits, and creates or updates the reservation.
  void Advance(TimePoint aNow);
  /// Stops attempts that aIsPreemptible accepts so that all tasks of the job will fit, and reserves
  /// their workers. Returns false, and stops nothing, if not all tasks would fit or another job
  /// holds the reservation; an urgent job takes it over from one that is not urgent.
  bool PreemptForJob(const Job& aJob,
                     const Preemption& aPreemption,
                     const Preemption::AttemptFilter& aIsPreemptible,
                     TimePoint aNow);
  /// Reserved worker for a task that is expected to end before the holder's expected start, or
  /// kNoEntity.
  EntityIndex FindBackfillWorker(const Job& aJob, const Resources& aSize, TimePoint aNow) const;
  /// Job that holds the reservation, or 0 if there is none.
  JobNumber ReservationHolder() const { return this->reservationHolder; }
  /// Expected start of the holder, or nothing if there is no reservation.
  std::optional<TimePoint> ExpectedStart() const { return this->expectedStart; }

  /// Number of tasks of aSize that fit in aFree, limited to aMax.
  static std::uint32_t CountSlots(const Resources& aFree,
                                  const Resources& aSize,
                                  std::uint32_t aMax);

private:
  /// Oldest job entitled to a reservation, or null.
  Job* FindReservationCandidate(TimePoint aNow) const;
  /// Starts the holder if it fits and returns whether it did. Stops backfill attempts if the holder
  /// would fit without them.
  bool TryStartHolder(Job& aJob, TimePoint aNow);
  /// Reserves the workers that are expected to have enough free capacity first.
  void PlanReservation(const Job& aJob, TimePoint aNow);
  void ReleaseReservation();
  bool IsUsable(const Worker& aWorker) const;
  /// Number of tasks of the job that must start at once.
  static std::uint32_t RequiredTaskCount(const Job& aJob);

  ClusterState& state;
  Placer& placer;
  DecisionRecorder& recorder;
  JobNumber reservationHolder = 0;
  std::vector<EntityIndex> reserved;
  std::optional<TimePoint> expectedStart;
  TimePoint nextPlan;
};

} // namespace daisydrift::core
