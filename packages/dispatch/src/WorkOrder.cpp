#include "WorkOrder.h"

#include <algorithm>

namespace daisydrift::dispatch {

namespace {
/// A job later than this many times its objective earns nothing. Source: the platform's contract.
constexpr int kWorthlessFactor = 3;
/// Jobs that a team may send at once above its rate: two seconds' worth smooth normal arrivals.
constexpr double kTokenSeconds = 2;
} // namespace

WorkRank RankOf(const Step& aStep, OrderOfWork aOrder, TimePoint aNow)
{
  const Job& job = *aStep.job;
  WorkRank rank;
  if (aOrder == OrderOfWork::Arrival) {
    rank.turn = job.addedAt;
    return rank;
  }
  rank.priority = job.queue->priority;
  rank.turn = job.addedAt + job.objective;
  rank.isLast = job.isExcess;
  if (aStep.spec->isService) {
    return rank;
  }
  TimePoint worthlessAt = job.addedAt + job.objective * kWorthlessFactor;
  if (aOrder == OrderOfWork::LatestStart) {
    rank.turn -= job.chains[aStep.number];
    worthlessAt -= job.chains[aStep.number];
  }
  rank.isLate = aNow > rank.turn;
  if (rank.isLate && aOrder == OrderOfWork::LatestStart) {
    rank.turn = worthlessAt;
  }
  rank.isLast = rank.isLast || aNow > worthlessAt;
  return rank;
}

std::vector<Duration> ChainsFrom(const JobDefinition& aDefinition)
{
  std::vector<Duration> chains(aDefinition.steps.size(), Duration(0));
  for (std::size_t number = chains.size(); number-- > 0;) {
    const StepSpec& step = aDefinition.steps[number];
    chains[number] += step.estimate;
    for (std::uint32_t earlier : step.after) {
      chains[earlier] = std::max(chains[earlier], chains[number]);
    }
  }
  return chains;
}

Duration ObjectiveOf(const JobDefinition& aDefinition, const QueuePolicy& aQueue)
{
  std::vector<Duration> chains;
  Duration longest{ 0 };
  for (const StepSpec& step : aDefinition.steps) {
    Duration before{ 0 };
    for (std::uint32_t earlier : step.after) {
      before = std::max(before, chains[earlier]);
    }
    chains.push_back(before + step.estimate);
    longest = std::max(longest, chains.back());
  }
  return std::chrono::duration_cast<Duration>(longest * aQueue.stretchFactor) +
         aQueue.targetLatency;
}

bool TakeJobToken(Team& aTeam, TimePoint aNow)
{
  double capacity = std::max(aTeam.rules.weight * kTokenSeconds, 1.0);
  if (aTeam.tokensAt == TimePoint()) {
    aTeam.jobTokens = capacity;
  } else {
    double seconds = std::chrono::duration<double>(aNow - aTeam.tokensAt).count();
    aTeam.jobTokens = std::min(capacity, aTeam.jobTokens + seconds * aTeam.rules.weight);
  }
  aTeam.tokensAt = aNow;
  if (aTeam.jobTokens < 1) {
    return false;
  }
  aTeam.jobTokens -= 1;
  return true;
}

} // namespace daisydrift::dispatch
