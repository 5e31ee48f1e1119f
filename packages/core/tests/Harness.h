#pragma once
// A scheduler on virtual time with shorthand for its events, for tests.

#include "daisydrift/core.h"

#include <map>

namespace daisydrift::test {

/// Resources from cores, memory in MiB and accelerators.
Resources Size(std::int64_t aCores, std::int64_t aMemoryMiB = 0, std::int64_t aAccelerators = 0);

/// Drives a Scheduler and mirrors what runs, from its decisions alone.
class Harness
{
public:
  struct Running
  {
    WorkerId worker;
    Resources limit;
    bool isStopping = false;
  };

  explicit Harness(const PolicySettings& aSettings = {});

  /// Adds aCount live workers named PREFIX0.. spread evenly over aDomains, two to a rack.
  void AddWorkers(std::size_t aCount,
                  const Resources& aCapacity,
                  const std::vector<FailureDomain>& aDomains = { "a" },
                  const std::string& aPrefix = "w");
  /// Sets teams with weight 1 and large ceilings.
  void SetTeams(const std::vector<TeamName>& aNames);
  /// A job of the team with the next free number; not added yet.
  JobSpec Spec(const TeamName& aTeam, std::uint32_t aTasks, const Resources& aSize);
  /// Adds the job and returns its number.
  JobNumber Add(const JobSpec& aSpec);
  /// Advances the time, decides, mirrors the decisions and returns them.
  std::vector<Decision> Decide(Duration aStep = std::chrono::milliseconds(25),
                               std::size_t aMaxStarts = 1000);
  /// Decides repeatedly for a span of time; every stop is carried out after aStopTime.
  void RunFor(Duration aSpan, Duration aStopTime = std::chrono::milliseconds(500));
  /// Reports the end of an attempt.
  void End(const AttemptId& aAttempt, AttemptOutcome aOutcome, const std::string& aDetail = "");
  /// Ends every attempt that is being stopped as interrupted.
  void EndStopping();
  /// Attempts that run for a job.
  std::vector<AttemptId> RunningOf(JobNumber aJob) const;
  /// Sum of limits of what runs for a team.
  Resources UsedBy(const TeamName& aTeam) const;
  /// State of a job.
  JobState StateOf(JobNumber aJob) const { return this->scheduler.Status(aJob)->state; }

  Scheduler scheduler;
  TimePoint now{ std::chrono::hours(1) };
  std::map<AttemptId, Running> running;
  std::map<WorkerId, WorkerDescription> workers;
  std::map<JobNumber, JobSpec> specs;
  std::vector<JobFinishedDecision> finished;
  std::vector<StopDecision> stops;

private:
  std::map<AttemptId, TimePoint> stoppedAt;
  JobNumber nextJob = 1;
};

} // namespace daisydrift::test
