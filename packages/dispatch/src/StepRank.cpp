#include "StepRank.h"

#include <algorithm>

namespace daisydrift::dispatch {

namespace {
/// Size of the token bucket in seconds of the team's rate; two seconds absorb normal bursts.
constexpr double kBurstSeconds = 2;
/// Run times are expected to be evenly spread around the declared one, by up to this fraction of
/// it; includes the time for which the tasks of a ready step wait. With 0.3, wide jobs of the
/// replay tests end up to 0.7 s too late.
constexpr double kRunTimeSpread = 0.4;

/// Expected run time of the slowest of aTasks tasks.
Duration SlowestOf(std::uint32_t aTasks, Duration aEstimate)
{
  double tasks = std::max<double>(aTasks, 1);
  return std::chrono::duration_cast<Duration>(aEstimate *
                                              (1 + kRunTimeSpread * (tasks - 1) / (tasks + 1)));
}

/// For each step, the longest path to the end of the job. aTimeOf: time of one step.
template<typename TimeOf>
std::vector<Duration> LongestPathsOf(const JobDefinition& aDefinition, const TimeOf& aTimeOf)
{
  std::vector<Duration> paths(aDefinition.steps.size(), Duration(0));
  for (std::size_t number = paths.size(); number-- > 0;) {
    const StepSpec& step = aDefinition.steps[number];
    paths[number] += aTimeOf(step);
    for (std::uint32_t earlier : step.dependencies) {
      paths[earlier] = std::max(paths[earlier], paths[number]);
    }
  }
  return paths;
}
} // namespace

StepRank RankOf(const Step& aStep, SchedulingOrder aOrder, TimePoint aNow)
{
  const Job& job = *aStep.job;
  StepRank rank;
  if (aOrder == SchedulingOrder::Arrival) {
    rank.orderTime = job.addedAt;
    return rank;
  }
  rank.priority = job.queue->priority;
  rank.orderTime = job.addedAt + job.latencyObjective;
  rank.isOverRate = job.isOverRate;
  if (aStep.spec->isService) {
    return rank;
  }
  bool isByStart = aOrder != SchedulingOrder::EarliestDue;
  bool isGivenUp = aOrder == SchedulingOrder::MostInTime && job.outlook != JobOutlook::InTime;
  TimePoint noValueAt = job.addedAt + job.latencyObjective * kNoValueFactor;
  if (isByStart) {
    rank.orderTime -= job.criticalPaths[aStep.number];
    noValueAt -= job.criticalPaths[aStep.number];
  }
  rank.isLate = isGivenUp || aNow > rank.orderTime;
  if (rank.isLate && isByStart) {
    rank.orderTime = noValueAt;
  } else if (aOrder == SchedulingOrder::MostInTime) {
    rank.orderTime -= job.expectedPaths[aStep.number] - job.criticalPaths[aStep.number];
  }
  rank.hasNoValue = aNow > noValueAt || (isGivenUp && job.outlook == JobOutlook::WithoutValue);
  return rank;
}

std::vector<Duration> CriticalPathsOf(const JobDefinition& aDefinition)
{
  return LongestPathsOf(aDefinition, [](const StepSpec& aStep) { return aStep.estimate; });
}

std::vector<Duration> ExpectedPathsOf(const JobDefinition& aDefinition)
{
  return LongestPathsOf(
    aDefinition, [](const StepSpec& aStep) { return SlowestOf(aStep.taskCount, aStep.estimate); });
}

Duration LatencyObjectiveOf(const JobDefinition& aDefinition, const QueuePolicy& aQueue)
{
  std::vector<Duration> criticalPaths;
  Duration longest{ 0 };
  for (const StepSpec& step : aDefinition.steps) {
    Duration before{ 0 };
    for (std::uint32_t earlier : step.dependencies) {
      before = std::max(before, criticalPaths[earlier]);
    }
    criticalPaths.push_back(before + step.estimate);
    longest = std::max(longest, criticalPaths.back());
  }
  return std::chrono::duration_cast<Duration>(longest * aQueue.stretchFactor) +
         aQueue.targetLatency;
}

std::uint64_t CountFiniteTasks(const JobDefinition& aDefinition)
{
  std::vector<bool> isFinite;
  std::uint64_t tasks = 0;
  for (const StepSpec& step : aDefinition.steps) {
    isFinite.push_back(!step.isService &&
                       std::all_of(step.dependencies.begin(),
                                   step.dependencies.end(),
                                   [&](std::uint32_t aEarlier) { return isFinite[aEarlier]; }));
    tasks += isFinite.back() ? step.taskCount : 0;
  }
  return tasks;
}

bool TakeJobToken(Team& aTeam, TimePoint aNow)
{
  double capacity = std::max(aTeam.rules.weight * kBurstSeconds, 1.0);
  if (aTeam.tokensRefilledAt == TimePoint()) {
    aTeam.jobTokens = capacity;
  } else {
    double seconds = std::chrono::duration<double>(aNow - aTeam.tokensRefilledAt).count();
    aTeam.jobTokens = std::min(capacity, aTeam.jobTokens + seconds * aTeam.rules.weight);
  }
  aTeam.tokensRefilledAt = aNow;
  if (aTeam.jobTokens < 1) {
    return false;
  }
  aTeam.jobTokens -= 1;
  return true;
}

} // namespace daisydrift::dispatch
