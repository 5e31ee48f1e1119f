#include "OverloadSelector.h"

#include "StepRank.h"

#include <algorithm>
#include <queue>

namespace daisydrift::dispatch {

namespace {
/// Time between two updates. Between them few jobs start.
constexpr std::chrono::milliseconds kUpdateInterval{ 100 };
/// Share of a limit that running tasks take on average while others wait: each start takes a round
/// and a write to the store, and rooms that are too small stay free.
constexpr double kUsableShare = 0.9;
/// Longer loads count as this. A caller may declare tasks of years, so that the sum of its loads,
/// and its conversion to an integer, would overflow.
constexpr std::chrono::duration<double, Duration::period> kLongestLoad = std::chrono::hours(24);

/// The largest share that a task of that size takes of any resource of the limit.
double ShareOf(const Resources& aSize, const Resources& aLimit)
{
  auto share = [](std::int64_t aNeeded, std::int64_t aOf) {
    return aOf > 0 ? static_cast<double>(aNeeded) / static_cast<double>(aOf) : 0.0;
  };
  return std::max({ share(aSize.milliCores, aLimit.milliCores),
                    share(aSize.memoryMiB, aLimit.memoryMiB),
                    share(aSize.accelerators, aLimit.accelerators) });
}

/// Declared time that the unfinished tasks of a step still take, added up.
std::chrono::duration<double, Duration::period> TaskTimeLeft(const Step& aStep)
{
  auto tasks = static_cast<double>(aStep.Waiting());
  if (aStep.active > 0) {
    for (const Task& task : aStep.tasks) {
      if (task.attempt != nullptr && !task.hasSucceeded) {
        tasks += (100 - std::min(task.attempt->progressPercent, 100)) / 100.0;
      }
    }
  }
  return aStep.spec->estimate * tasks;
}

Duration Scale(Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aTime * aFactor);
}

/// Time for which the rest of the job would take all of the limit.
Duration LoadOf(const Job& aJob, const Resources& aLimit)
{
  std::chrono::duration<double, Duration::period> load{ 0 };
  for (const auto& step : aJob.steps) {
    if (!step->spec->isService) {
      load += TaskTimeLeft(*step) * ShareOf(step->spec->size, aLimit);
    }
  }
  return std::chrono::duration_cast<Duration>(std::min(load, kLongestLoad));
}

/// The occurrences of a job have due times of their own, and services have none.
bool HasDueTime(const Job& aJob)
{
  return !aJob.IsFinished() && aJob.definition.occurrences == 0 && !aJob.definition.steps.empty() &&
         !aJob.definition.steps.front().isService;
}
} // namespace

OverloadSelector::OverloadSelector(FleetState& aState, const WorkerReliability& aReliability)
  : state(aState)
  , reliability(aReliability)
{
}

void OverloadSelector::GiveUp(Candidates& aCandidates,
                              JobOutlook aFrom,
                              int aFactor,
                              TimePoint aNow)
{
  auto dueOf = [aFactor](const Candidate& aCandidate) {
    return aCandidate.job->addedAt + aCandidate.job->latencyObjective * aFactor;
  };
  std::sort(
    aCandidates.begin(), aCandidates.end(), [&](const Candidate& aLeft, const Candidate& aRight) {
      return std::make_pair(dueOf(aLeft), aLeft.job->sequence) <
             std::make_pair(dueOf(aRight), aRight.job->sequence);
    });
  // Of jobs of the same weight, the newest is given up first.
  auto isLighter = [](const Candidate* aLeft, const Candidate* aRight) {
    return std::make_pair(aLeft->weight, aLeft->job->sequence) <
           std::make_pair(aRight->weight, aRight->job->sequence);
  };
  std::priority_queue<const Candidate*, std::vector<const Candidate*>, decltype(isLighter)> open(
    isLighter);
  auto next = static_cast<JobOutlook>(static_cast<int>(aFrom) + 1);
  Duration load{ 0 };
  for (const Candidate& candidate : aCandidates) {
    if (candidate.job->outlook > aFrom) {
      continue;
    }
    load += candidate.load;
    if (candidate.job->outlook == aFrom) {
      open.push(&candidate);
    }
    while (!open.empty() && aNow + load > dueOf(candidate)) {
      const Candidate* heaviest = open.top();
      open.pop();
      heaviest->job->outlook = next;
      load -= heaviest->load;
    }
  }
}

void OverloadSelector::Select(const std::vector<Job*>& aJobs,
                              const Resources& aLimit,
                              TimePoint aNow)
{
  Candidates candidates;
  Duration total{ 0 };
  for (Job* job : aJobs) {
    Duration load = Scale(LoadOf(*job, aLimit), 1 / kUsableShare);
    if (load > Duration(0)) {
      candidates.push_back({ job, load, Duration(0) });
      total += load;
    }
  }
  if (candidates.empty()) {
    return;
  }
  Duration mean = total / static_cast<std::int64_t>(candidates.size());
  for (Candidate& candidate : candidates) {
    candidate.weight = std::min(candidate.load, mean);
  }
  GiveUp(candidates, JobOutlook::InTime, 1, aNow);
  GiveUp(candidates, JobOutlook::Late, kNoValueFactor, aNow);
}

void OverloadSelector::UpdateTeam(const Team& aTeam,
                                  const std::vector<Job*>& aJobs,
                                  TimePoint aNow) const
{
  Resources limit = aTeam.rules.ceiling;
  std::vector<Job*> limited;
  for (Job* job : aJobs) {
    if (HasDueTime(*job)) {
      limited.push_back(job);
    }
    for (const auto& step : job->steps) {
      if (!step->spec->isService || job->IsFinished()) {
        continue;
      }
      for (std::size_t task = 0; task < step->tasks.size(); ++task) {
        limit -= step->spec->size;
      }
    }
  }
  // A resource without a limit stays without one; one that services use up is left as it was.
  const Resources& ceiling = aTeam.rules.ceiling;
  limit.milliCores = limit.milliCores > 0 ? limit.milliCores : ceiling.milliCores;
  limit.memoryMiB = limit.memoryMiB > 0 ? limit.memoryMiB : ceiling.memoryMiB;
  limit.accelerators = limit.accelerators > 0 ? limit.accelerators : ceiling.accelerators;
  Select(limited, limit, aNow);
}

void OverloadSelector::UpdateService(const std::string& aService,
                                     const std::vector<Job*>& aJobs,
                                     TimePoint aNow) const
{
  Resources limit;
  for (const auto& [id, worker] : this->state.workers) {
    if (worker->listing.service != aService || !this->reliability.AcceptsStarts(*worker, aNow)) {
      continue;
    }
    limit += worker->Free();
    for (const Attempt& attempt : worker->attempts) {
      if (attempt.step->job->queue->priority == 0) {
        limit += FleetState::CommittedResources(*attempt.step->spec);
      }
    }
  }
  if (limit.milliCores > 0) {
    Select(aJobs, limit, aNow);
  }
}

void OverloadSelector::Update(TimePoint aNow)
{
  if (aNow < this->nextUpdate) {
    return;
  }
  this->nextUpdate = aNow + kUpdateInterval;
  std::map<const Team*, std::vector<Job*>> teams;
  std::map<std::string, std::vector<Job*>> services;
  for (Job* job : this->state.openJobs) {
    job->outlook = JobOutlook::InTime;
    if (job->team != nullptr && job->team->rules.ceiling != Resources()) {
      teams[job->team].push_back(job);
    }
    if (job->queue->priority == 0 && HasDueTime(*job) && !job->isOverRate) {
      services[job->queue->service].push_back(job);
    }
  }
  for (const auto& [team, jobs] : teams) {
    this->UpdateTeam(*team, jobs, aNow);
  }
  for (const auto& [service, jobs] : services) {
    this->UpdateService(service, jobs, aNow);
  }
}

} // namespace daisydrift::dispatch
