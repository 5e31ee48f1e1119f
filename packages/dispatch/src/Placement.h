#pragma once
// Choice of workers for the tasks of a step.

#include "WorkerReliability.h"

#include <array>
#include <functional>

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
  /// The worker with that number, if it is of the step's service and accepts starts in this round;
  /// otherwise null.
  Worker* FindAccepting(const Step& aStep, std::uint32_t aNumber) const;
  /// True when the worker has the label that the step requires.
  static bool Matches(const Step& aStep, const Worker& aWorker);
  /// Number of tasks of the step that fit on the worker now, at most aMaxSlots, beside aTaken,
  /// which another task would take.
  std::uint32_t CountSlots(const Step& aStep,
                           const Worker& aWorker,
                           std::uint32_t aMaxSlots,
                           const Resources& aTaken = {}) const;
  /// Cost of running a task of the step on the worker; lower is better.
  double Score(const Step& aStep, const Worker& aWorker) const;
  /// Workers that may get a start of the step now; with valid tickets when its queue uses advice.
  /// With tickets the cost grows with their number and not with the fleet.
  std::vector<Worker*> Candidates(const Step& aStep, TimePoint aNow);
  /// The best of the candidates that has capacity for the task; null when there is none.
  Worker* Choose(const Step& aStep,
                 const Task& aTask,
                 const std::vector<Worker*>& aCandidates) const;
  /// The gang waits for room in this round. Long tasks that come after the first such gang of their
  /// service prefer workers on which they take none of its room.
  void AddWaitingGang(const Step& aGang);
  /// One worker for each task of a gang; empty when not all of them fit.
  std::vector<Worker*> ChooseForGang(const Step& aStep, TimePoint aNow);
  /// Calls aVisit for the step's workers that accept starts in this round until it returns false.
  /// Those that had room for a task as the round began come first, and each step begins with
  /// another one, so that the steps of a backlog don't all compete for the same workers. aPassed:
  /// number of workers to pass over; they come last.
  void VisitAccepting(const Step& aStep,
                      std::size_t aPassed,
                      const std::function<bool(Worker&)>& aVisit) const;
  /// False when no worker that accepts starts in this round had room for a task of the step as the
  /// round began; rooms only shrink in a round.
  bool MayFit(const Step& aStep) const;

private:
  static constexpr std::size_t kRoomClasses = 12;

  /// Workers of a service that accept starts in this round.
  struct ServiceWorkers
  {
    std::vector<Worker*> accepting;
    /// The same workers by the class of their free cores as the round began; each class holds twice
    /// as many cores as the one before.
    std::array<std::vector<Worker*>, kRoomClasses> byRoom;
    /// The most of each resource that one of them had free as the round began.
    Resources mostFree;
    /// The first gang that waits for room in this round; null when there is none.
    const Step* waitingGang = nullptr;
  };

  bool Fits(const Step& aStep, const Worker& aWorker) const;
  /// The waiting gang for whose room the step's tasks make way; null when there is none.
  const Step* GangAheadOf(const Step& aStep) const;
  /// True when a task of the step leaves room for fewer members of the gang on the worker.
  bool TakesRoomOf(const Step& aGang, const Step& aStep, const Worker& aWorker) const;
  /// Free cores, in thousandths, as the round began; -1 for a worker that accepts no starts.
  std::int64_t RoomAtRoundStart(std::uint32_t aNumber) const
  {
    return aNumber < this->roomAtRoundStart.size() ? this->roomAtRoundStart[aNumber] : -1;
  }
  static std::size_t RoomClassOf(std::int64_t aMilliCores);
  /// True when the worker gets no more than one task, as a probe, and has it.
  static bool IsBusyProbe(const Worker& aWorker)
  {
    return aWorker.isProbing && !aWorker.attempts.empty();
  }

  FleetState& state;
  WorkerReliability& reliability;
  std::uint64_t round = 0;
  /// By worker number. Most waiting steps of a full fleet have tickets for workers without room.
  std::vector<std::int64_t> roomAtRoundStart;
  std::unordered_map<std::string, ServiceWorkers> services;
};

} // namespace daisydrift::dispatch
