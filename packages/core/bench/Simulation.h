#pragma once
// Plays a workload against a policy on virtual time and measures the outcome.

#include "Policy.h"
#include "Workload.h"

#include <deque>
#include <map>
#include <queue>

namespace daisydrift::bench {

/// One measured figure.
struct Figure
{
  std::string metric;
  double value = 0;
  std::string unit;
};

/// Discrete simulation of workers that run tasks for their true time. Waiting times are virtual;
/// the cost of calls is taken on the real clock.
class Simulation
{
public:
  Simulation(const Scale& aScale, const Workload& aWorkload, Policy& aPolicy);

  /// Plays the whole workload and returns the figures.
  std::vector<Figure> Run();

private:
  struct Attempt
  {
    std::size_t job = 0;
    WorkerId worker;
    TimePoint startedAt;
    /// Cores the worker holds it to; below its true size it runs slower.
    std::int64_t milliCores = 0;
    /// Progress is known up to this time.
    TimePoint progressAt;
    bool isStopping = false;
    bool checkpointFirst = false;
    /// Increases when the expected end changes, so that outdated events are ignored.
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
  /// Progress and waiting of one task.
  struct TaskRecord
  {
    /// Run time at full speed that has been done, and the part of it that would be lost by a stop.
    Duration progress{ 0 };
    Duration unsaved{ 0 };
    TimePoint waitingSince;
    bool isFinal = false;
  };

  void Prepare();
  void Arrive();
  void Disturb();
  void DeliverEnds();
  void ReportUsage();
  void Decide();
  void OnStart(const StartDecision& aStart);
  void OnStop(const StopDecision& aStop);
  void OnThrottle(const ThrottleDecision& aThrottle);
  /// Cores that the attempt really uses, in thousandths.
  std::int64_t UsedCores(const Attempt& aAttempt) const;
  /// Adds the progress made since it was last known.
  void Progress(const AttemptId& aId, Attempt& aAttempt);
  /// Plans the success of an attempt from its progress and speed.
  void PlanEnd(const AttemptId& aId, Attempt& aAttempt);
  void End(const Event& aEvent);
  void Sample();
  void CloseWindow();
  /// Fair dominant share of each team for its demand, by progressive filling.
  std::vector<double> FairShares(const std::vector<Resources>& aDemand) const;
  std::vector<Figure> Figures() const;
  std::size_t TeamOf(const JobSpec& aSpec) const { return this->teamByName.at(aSpec.team); }
  template<typename Call>
  void Measure(Call aCall);

  const Scale& scale;
  const Workload& work;
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
  int phase = 0;
  std::vector<std::pair<Duration, JobNumber>> cancellations;
  std::vector<char> isCancelled;
  /// Per team, of true sizes: what runs and what waits.
  std::vector<Resources> runningByTeam;
  std::vector<Resources> waitingByTeam;

  std::map<std::string, std::vector<double>> waits;
  std::vector<double> windowShare;
  std::vector<double> windowFair;
  std::size_t windowSamples = 0;
  std::vector<double> distances;
  std::vector<double> packing;
  double usefulCoreSeconds = 0;
  double lostCoreSeconds = 0;
  double departureCoreSeconds = 0;
  std::size_t starts = 0;
  std::size_t decisionsMade = 0;
  std::size_t jobsFailedByWorkers = 0;
  std::size_t peakRunning = 0;
  std::vector<double> roundMicros;
  double busySeconds = 0;
};

} // namespace daisydrift::bench
