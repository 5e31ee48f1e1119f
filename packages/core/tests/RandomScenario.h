#pragma once
// Scenarios of random events, with invariant checks on the scheduler's decisions.

#include "daisydrift/core.h"

#include <map>
#include <memory>
#include <optional>

namespace daisydrift::test {

/// Runs one scenario against a Scheduler and checks each decision against a model of the workers
/// that is updated from decisions and events only. The first violation is kept as text.
class RandomScenario
{
public:
  RandomScenario();

  /// Applies one event derived from aNumber and runs a decision round.
  void Step(std::uint32_t aNumber);
  /// Ends all faults and limits and runs until all jobs are finished. They must finish within the
  /// time that they would take one after another, each with its tasks one after another (20 s each)
  /// and after the longest wait until services are preempted (60 s) and have stopped.
  void RunToCompletion();
  /// First violation found; empty when there is none.
  const std::string& Violation() const { return this->violation; }
  /// All decisions as text, for comparing two runs.
  const std::string& Trace() const { return this->trace; }

private:
  struct RunningAttempt
  {
    WorkerId worker;
    Resources limit;
    /// Limit that the worker applies until it has applied a reduction of `limit`.
    Resources appliedLimit;
    TimePoint reducedAt;
    TimePoint startedAt;
    TimePoint stopRequestedAt;
    bool isStopping = false;
  };

  void AddJob(std::uint32_t aNumber);
  void EndRandomAttempt(std::uint32_t aNumber);
  void ReportUsage(std::uint32_t aNumber);
  void ChangeWorker(std::uint32_t aNumber);
  void ChangeTeams(std::uint32_t aNumber);
  /// Replaces the scheduler by a new one and restores the durable state in it, as after a change of
  /// leader.
  void Recover();
  void Decide();
  void OnStart(const StartDecision& aStart);
  void CheckInvariants();
  void EndAttempt(const AttemptId& aAttempt, AttemptOutcome aOutcome);
  /// Cancels started services once only services are left. When aIsLate, also cancels those of
  /// teams whose other jobs have not finished.
  void CancelServices(const std::set<JobNumber>& aStarted, bool aIsLate);
  void RecordViolation(const std::string& aText);
  std::pair<Resources, std::uint32_t> UsedBy(const TeamName& aTeam, bool aIncludeStopping) const;

  std::unique_ptr<Scheduler> scheduler;
  TimePoint now{ std::chrono::hours(1) };
  std::map<WorkerId, WorkerDescription> workers;
  std::set<FailureDomain> drained;
  std::map<TeamName, TeamPolicy> teams;
  std::map<JobNumber, JobSpec> jobs;
  std::map<AttemptId, RunningAttempt> running;
  std::set<TaskId> succeeded;
  /// Tasks that are not repeatable and whose attempt was interrupted.
  std::set<TaskId> unknownOutcomes;
  std::set<JobNumber> finished;
  std::set<JobNumber> cancelled;
  /// Number of the latest attempt of each task that was started.
  std::map<TaskId, std::uint32_t> attempts;
  JobNumber nextJob = 1;
  std::string violation;
  std::string trace;
};

} // namespace daisydrift::test
