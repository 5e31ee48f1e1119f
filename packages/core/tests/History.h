#pragma once
// Generated histories: events made from numbers, with checks on what was decided.

#include "daisydrift/core.h"

#include <map>
#include <memory>
#include <optional>

namespace daisydrift::test {

/// Plays one history against a Scheduler and checks each decision against a mirror of the workers
/// that is kept from decisions and events only. The first violation is kept as text.
class History
{
public:
  History();

  /// Applies one event made from aNumber and decides.
  void Step(std::uint32_t aNumber);
  /// Ends all disturbances and lets work run until all jobs are finished. All must be done by the
  /// time that they would take one after another, each with its tasks one after another (20 s each)
  /// and after the longest wait before services yield (60 s) and stop.
  void Finish();
  /// First violation seen, empty when none.
  const std::string& Violation() const { return this->violation; }
  /// All decisions as text, to compare two runs.
  const std::string& Trace() const { return this->trace; }

private:
  struct Running
  {
    WorkerId worker;
    Resources limit;
    /// Limit that the worker still applies until the reduction reaches it.
    Resources applied;
    TimePoint reducedAt;
    TimePoint startedAt;
    TimePoint stoppedAt;
    bool isStopping = false;
  };

  void AddJob(std::uint32_t aNumber);
  void EndOne(std::uint32_t aNumber);
  void ReportUsage(std::uint32_t aNumber);
  void ChangeWorker(std::uint32_t aNumber);
  void ChangeTeams(std::uint32_t aNumber);
  /// Replaces the scheduler by a new one that is told what is durable, as after a change of leader.
  void Recover();
  void Decide();
  void OnStart(const StartDecision& aStart);
  void CheckAll();
  void End(const AttemptId& aAttempt, AttemptOutcome aOutcome);
  /// Cancels services that have run, once no other work is left to be disturbed by them, and late
  /// in the bound those of teams whose own work still waits.
  void CancelServices(const std::set<JobNumber>& aStarted, bool aIsLate);
  void Violate(const std::string& aText);
  std::pair<Resources, std::uint32_t> UsedBy(const TeamName& aTeam, bool aWithStopping) const;

  std::unique_ptr<Scheduler> scheduler;
  TimePoint now{ std::chrono::hours(1) };
  std::map<WorkerId, WorkerDescription> workers;
  std::set<FailureDomain> drained;
  std::map<TeamName, TeamPolicy> teams;
  std::map<JobNumber, JobSpec> jobs;
  std::map<AttemptId, Running> running;
  std::set<TaskId> succeeded;
  std::set<TaskId> lost;
  std::set<JobNumber> finished;
  std::set<JobNumber> cancelled;
  /// Highest attempt of each task that was started.
  std::map<TaskId, std::uint32_t> attempts;
  JobNumber nextJob = 1;
  std::string violation;
  std::string trace;
};

} // namespace daisydrift::test
