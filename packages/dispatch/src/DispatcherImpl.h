#pragma once
// Implementation of the dispatcher: events in Dispatcher.cpp and Reports.cpp, decisions in
// Rounds.cpp, stored progress in Progress.cpp.

#include "AdviceDesk.h"
#include "Placement.h"
#include "TailGuard.h"
#include "WorkOrder.h"
#include "daisydrift/dispatch/Dispatcher.h"

namespace daisydrift {

class Dispatcher::Impl
{
public:
  Impl(const DispatchSettings& aSettings, TimePoint aTermStart);

  /// Takes in the ends that a worker lists.
  void TakeEnds(dispatch::Worker& aWorker, const WorkerReport& aReport, TimePoint aNow);
  /// Compares what a worker runs with what it should run.
  void TakeRunning(dispatch::Worker& aWorker,
                   const WorkerReport& aReport,
                   TimePoint aSentAt,
                   TimePoint aNow);
  void OnEnd(dispatch::Attempt& aAttempt, const EndedTask& aEnd, TimePoint aNow);
  void OnTaskSucceeded(dispatch::Attempt& aAttempt, TimePoint aNow);
  void OnTaskFailed(dispatch::Attempt& aAttempt, TimePoint aNow);
  /// The attempt has ended without an outcome of its own, or never began.
  void Settle(dispatch::Attempt& aAttempt);
  /// Adopts a run that is listed but not known, or orders its stop.
  void OnUnknownRun(dispatch::Worker& aWorker, const RunningTask& aRunning, TimePoint aNow);
  void OnIncarnation(dispatch::Worker& aWorker, std::int64_t aIncarnation);
  void SettleExpired(dispatch::Worker& aWorker, TimePoint aNow);

  void BeginOccurrences(dispatch::Job& aJob, WallTime aWall);
  void CompleteIfDone(dispatch::Job& aJob);
  void StopGang(dispatch::Step& aStep);
  void Sweep(TimePoint aNow, DispatchRound& aRound);
  void CheckProgress(dispatch::Attempt& aAttempt, TimePoint aNow);
  void MoveOffLeaving(dispatch::Attempt& aAttempt, TimePoint aNow);
  bool MayTakeAway(const dispatch::Step& aStep) const;
  void PlaceStep(dispatch::Step& aStep, TimePoint aNow, DispatchRound& aRound);
  void PlaceGang(dispatch::Step& aStep, TimePoint aNow, DispatchRound& aRound);
  void Start(dispatch::Step& aStep,
             std::uint32_t aIndex,
             dispatch::Worker& aWorker,
             RunNumber aRun,
             TimePoint aNow,
             DispatchRound& aRound);
  RunNumber NextRun(const dispatch::Task& aTask) const;
  dispatch::Job& Insert(const JobDefinition& aDefinition, TimePoint aNow);

  DispatchSettings settings;
  TimePoint termStart;
  WallTime wall;
  dispatch::FleetState state;
  dispatch::WorkerTrust trust;
  dispatch::Placement placement;
  dispatch::AdviceDesk advice;
  dispatch::TailGuard tails;
  std::vector<StopOrder> strayStops;
  TimePoint nextSweep;
  std::uint64_t nextSequence = 1;
};

/// Name of the task of an attempt.
TaskName NameOf(const dispatch::Attempt& aAttempt);

} // namespace daisydrift
