#pragma once
// Simulates a workload under a policy on virtual time and measures the outcome.

#include "Policy.h"
#include "Workload.h"

#include <deque>
#include <map>
#include <queue>

namespace daisydrift::bench {

/// One measured value.
struct Measurement
{
  std::string metric;
  double value = 0;
  std::string unit;
};

/// Discrete-event simulation of workers that run tasks for their true run time. Waiting times are
/// virtual; the cost of calls to the policy is measured in wall-clock and CPU time.
class Simulation
{
public:
  Simulation(const Scale& aScale, const Workload& aWorkload, Policy& aPolicy);

  /// Simulates the whole workload and returns the measurements.
  std::vector<Measurement> Run();

private:
  struct Attempt
  {
    std::size_t job = 0;
    WorkerId worker;
    TimePoint startedAt;
    /// Limit of cores, in thousandths; the attempt runs slower when it is below the true size.
    std::int64_t milliCores = 0;
    /// Time up to which the progress has been added.
    TimePoint progressAt;
    bool isStopping = false;
    bool checkpointFirst = false;
    /// Incremented when the expected end changes, so that outdated events are ignored.
    std::uint32_t version = 0;
  };
  struct Event
  {
    TimePoint at;
    std::uint64_t sequence = 0;
    AttemptId attempt;
    AttemptOutcome outcome = AttemptOutcome::Succeeded;
    std::uint32_t version = 0;
    bool operator>(const Event& aOther) const
    {
      return std::pair(this->at, this->sequence) > std::pair(aOther.at, aOther.sequence);
    }
  };
  /// Progress and waiting time of one task.
  struct TaskRecord
  {
    /// Run time at full speed that has been completed, and the part of it made by the present
    /// attempt, which is lost unless the attempt succeeds or saves a checkpoint.
    Duration progress{ 0 };
    Duration unsaved{ 0 };
    TimePoint waitingSince;
    bool isFinal = false;
  };

  void Prepare();
  void SubmitArrivals();
  void ApplyScheduledChanges();
  void DeliverAttemptEnds();
  void ReportUsage();
  void Decide();
  void OnStart(const StartDecision& aStart);
  void OnStop(const StopDecision& aStop);
  void OnThrottle(const ThrottleDecision& aThrottle);
  /// Cores that the attempt uses, in thousandths.
  std::int64_t UsedMilliCores(const Attempt& aAttempt) const;
  /// Adds the progress made since `progressAt`.
  void UpdateProgress(const AttemptId& aId, Attempt& aAttempt);
  /// Schedules the success of an attempt by its progress and speed.
  void ScheduleSuccess(const AttemptId& aId, Attempt& aAttempt);
  void EndAttempt(const Event& aEvent);
  void TakeSample();
  void CloseWindow();
  /// Computes the fair dominant share of each team for the demands by progressive filling.
  std::vector<double> FairShares(const std::vector<Resources>& aDemand) const;
  std::vector<Measurement> Measurements() const;
  std::size_t TeamOf(const JobSpec& aSpec) const { return this->teamByName.at(aSpec.team); }
  template<typename Call>
  void MeasureCpuTime(Call aCall);

  const Scale& scale;
  const Workload& workload;
  Policy& policy;
  TimePoint begin{ std::chrono::hours(1) };
  TimePoint now;
  std::size_t nextArrival = 0;
  std::map<TeamName, std::size_t> teamByName;
  std::map<WorkerId, FailureDomain> domainOf;
  Resources total;
  std::vector<std::vector<TaskRecord>> tasks;
  std::map<AttemptId, Attempt> running;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t nextSequence = 0;
  /// 0: before the drain of the failure domain, 1: drained, 2: shut down, 3: returned to service.
  int drainPhase = 0;
  std::vector<std::pair<Duration, JobNumber>> cancellations;
  std::vector<char> isCancelled;
  /// Sums of the true sizes of the running and of the waiting tasks, by team.
  std::vector<Resources> runningByTeam;
  std::vector<Resources> waitingByTeam;

  std::map<std::string, std::vector<double>> waitSecondsByClass;
  std::vector<double> windowShareSums;
  std::vector<double> windowFairShareSums;
  std::size_t windowSamples = 0;
  std::vector<double> fairShareDistances;
  std::vector<double> packingRatios;
  double usefulCoreSeconds = 0;
  double lostCoreSeconds = 0;
  double coreSecondsWhileDrained = 0;
  std::size_t starts = 0;
  std::size_t decisionsMade = 0;
  std::size_t failuresOnFaultyWorkers = 0;
  std::size_t peakRunning = 0;
  std::vector<double> roundMicroseconds;
  double policyCpuSeconds = 0;
};

} // namespace daisydrift::bench
