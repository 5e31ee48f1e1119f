#include "ReferenceScheduler.h"

#include <algorithm>

namespace daisydrift::test {

namespace {

/// Smaller differences of shares are due to rounding and to debts, which the test keeps negligible.
constexpr double kShareTolerance = 1e-9;

} // namespace

Resources ReferenceScheduler::Committed(const WorkerId& aWorker) const
{
  Resources sum;
  for (const auto& [attempt, entry] : this->running) {
    if (entry.worker == aWorker) {
      sum += this->jobs.at(entry.job).spec.size;
    }
  }
  return sum;
}

std::pair<Resources, std::uint32_t> ReferenceScheduler::UsedBy(const TeamName& aTeam) const
{
  Resources sum;
  std::uint32_t count = 0;
  for (const auto& [attempt, entry] : this->running) {
    const JobSpec& spec = this->jobs.at(entry.job).spec;
    if (spec.team == aTeam) {
      sum += spec.size;
      ++count;
    }
  }
  return { sum, count };
}

bool ReferenceScheduler::CanStart(const JobSpec& aSpec, const WorkerId& aWorker) const
{
  const WorkerDescription& worker = this->workers.at(aWorker);
  return worker.health == WorkerHealth::Live && !this->drained.contains(worker.failureDomain) &&
         (this->Committed(aWorker) + aSpec.size).FitsIn(worker.capacity);
}

bool ReferenceScheduler::FitsOnAnyWorker(const JobSpec& aSpec) const
{
  return std::any_of(this->workers.begin(), this->workers.end(), [&](const auto& aEntry) {
    return this->CanStart(aSpec, aEntry.first);
  });
}

double ReferenceScheduler::WeightedDominantShare(const TeamPolicy& aTeam) const
{
  Resources total;
  for (const auto& [id, worker] : this->workers) {
    bool isInService =
      worker.health != WorkerHealth::Gone && !this->drained.contains(worker.failureDomain);
    total += isInService ? worker.capacity : Resources();
  }
  Resources used = this->UsedBy(aTeam.name).first;
  auto share = [](std::int64_t aPart, std::int64_t aWhole) {
    double whole = aWhole > 0 ? static_cast<double>(aPart) / static_cast<double>(aWhole) : 1.0;
    return aPart <= 0 ? 0.0 : whole;
  };
  return std::max(share(used.milliCores, total.milliCores),
                  share(used.memoryMiB, total.memoryMiB)) /
         aTeam.weight;
}

std::set<JobNumber> ReferenceScheduler::StartableJobs() const
{
  std::vector<std::pair<double, JobNumber>> candidates;
  double minShare = 1e9;
  for (const TeamPolicy& team : this->teams) {
    auto [used, count] = this->UsedBy(team.name);
    for (const auto& [number, job] : this->jobs) {
      bool isWithinCeiling =
        (used + job.spec.size).FitsIn(team.ceiling) && count < team.maxRunningTasks;
      if (job.spec.team == team.name && job.waiting > 0 && isWithinCeiling &&
          this->FitsOnAnyWorker(job.spec)) {
        candidates.emplace_back(this->WeightedDominantShare(team), number);
        minShare = std::min(minShare, candidates.back().first);
        break;
      }
    }
  }
  std::set<JobNumber> next;
  for (const auto& [share, number] : candidates) {
    if (share <= minShare + kShareTolerance) {
      next.insert(number);
    }
  }
  return next;
}

} // namespace daisydrift::test
