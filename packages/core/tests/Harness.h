#pragma once
// Test harness: a scheduler on virtual time with short calls for its events.

#include "daisydrift/core.h"

#include <map>

namespace daisydrift::test {

/// Resources from whole cores, memory in MiB and accelerators.
Resources MakeResources(std::int64_t aCores,
                        std::int64_t aMemoryMiB = 0,
                        std::int64_t aAccelerators = 0);

/// Drives a Scheduler and tracks the running attempts from its decisions alone.
class Harness
{
public:
  struct RunningAttempt
  {
    WorkerId worker;
    Resources limit;
    bool isStopping = false;
  };

  explicit Harness(const PolicySettings& aSettings = {});

  /// Adds aCount live workers named aPrefix0, aPrefix1, ..., spread evenly over aDomains, two to a
  /// rack.
  void AddWorkers(std::size_t aCount,
                  const Resources& aCapacity,
                  const std::vector<FailureDomain>& aDomains = { "a" },
                  const std::string& aPrefix = "w");
  /// Sets teams with weight 1 and large ceilings.
  void SetTeams(const std::vector<TeamName>& aNames);
  /// Returns a job of the team with the next free number, which is not submitted yet.
  JobSpec MakeJobSpec(const TeamName& aTeam, std::uint32_t aTasks, const Resources& aSize);
  /// Adds the job to the scheduler and returns its number; 0 when the scheduler refuses it.
  JobNumber SubmitJob(const JobSpec& aSpec);
  /// Advances the time by aStep, runs one decision round, applies its decisions and returns them.
  std::vector<Decision> Decide(Duration aStep = std::chrono::milliseconds(25),
                               std::size_t aMaxStarts = 1000);
  /// Runs decision rounds of 100 ms for aSpan. Attempts that are being stopped end as interrupted
  /// after aStopTime.
  void RunFor(Duration aSpan, Duration aStopTime = std::chrono::milliseconds(500));
  /// Reports the end of an attempt to the scheduler.
  void EndAttempt(const AttemptId& aAttempt,
                  AttemptOutcome aOutcome,
                  const std::string& aDetail = "");
  /// Ends every attempt that is being stopped as interrupted.
  void EndStoppingAttempts();
  /// Running attempts of a job.
  std::vector<AttemptId> RunningAttemptsOf(JobNumber aJob) const;
  /// Sum of the limits of the running attempts of a team.
  Resources ResourcesUsedBy(const TeamName& aTeam) const;
  /// State of a job.
  JobState JobStateOf(JobNumber aJob) const { return this->scheduler.Status(aJob)->state; }

  Scheduler scheduler;
  TimePoint now{ std::chrono::hours(1) };
  std::map<AttemptId, RunningAttempt> running;
  std::map<WorkerId, WorkerDescription> workers;
  std::map<JobNumber, JobSpec> specs;
  std::vector<JobFinishedDecision> finished;
  std::vector<StopDecision> stops;

private:
  std::map<AttemptId, TimePoint> stopRequestedAt;
  JobNumber nextJob = 1;
};

} // namespace daisydrift::test
