#include "NaiveScheduler.h"

#include <algorithm>

namespace daisydrift::test {

namespace {

/// Differences of shares below this are due to rounding and to debts, which the test keeps tiny.
constexpr double kRounding = 1e-9;

} // namespace

Resources NaiveScheduler::Committed(const WorkerId& aWorker) const
{
  Resources sum;
  for (const auto& [attempt, entry] : this->running) {
    if (entry.worker == aWorker) {
      sum += this->jobs.at(entry.job).spec.size;
    }
  }
  return sum;
}

std::pair<Resources, std::uint32_t> NaiveScheduler::UsedBy(const TeamName& aTeam) const
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

bool NaiveScheduler::MayStart(const JobSpec& aSpec, const WorkerId& aWorker) const
{
  const WorkerDescription& worker = this->workers.at(aWorker);
  return worker.health == WorkerHealth::Live && !this->drained.contains(worker.failureDomain) &&
         (this->Committed(aWorker) + aSpec.size).FitsIn(worker.capacity);
}

bool NaiveScheduler::FitsSomewhere(const JobSpec& aSpec) const
{
  return std::any_of(this->workers.begin(), this->workers.end(), [&](const auto& aEntry) {
    return this->MayStart(aSpec, aEntry.first);
  });
}

double NaiveScheduler::WeightedShare(const TeamPolicy& aTeam) const
{
  Resources total;
  for (const auto& [id, worker] : this->workers) {
    bool isIn =
      worker.health != WorkerHealth::Gone && !this->drained.contains(worker.failureDomain);
    total += isIn ? worker.capacity : Resources();
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

std::set<JobNumber> NaiveScheduler::Next() const
{
  std::vector<std::pair<double, JobNumber>> candidates;
  double least = 1e9;
  for (const TeamPolicy& team : this->teams) {
    auto [used, count] = this->UsedBy(team.name);
    for (const auto& [number, job] : this->jobs) {
      bool isWithin = (used + job.spec.size).FitsIn(team.ceiling) && count < team.maxRunningTasks;
      if (job.spec.team == team.name && job.waiting > 0 && isWithin &&
          this->FitsSomewhere(job.spec)) {
        candidates.emplace_back(this->WeightedShare(team), number);
        least = std::min(least, candidates.back().first);
        break;
      }
    }
  }
  std::set<JobNumber> next;
  for (const auto& [share, number] : candidates) {
    if (share <= least + kRounding) {
      next.insert(number);
    }
  }
  return next;
}

} // namespace daisydrift::test
