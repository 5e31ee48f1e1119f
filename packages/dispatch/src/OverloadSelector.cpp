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
/// Updates over which the limits below the first priority are averaged. What the short tasks of
/// higher priorities use changes several times a second; jobs would change their outlook with it.
constexpr std::int64_t kAveragedUpdates = 8;
/// Longer loads of a step count as this. A caller may declare tasks of years, so that the sum of
/// the loads of many steps, and its conversion to an integer, would overflow.
constexpr std::chrono::duration<double, Duration::period> kLongestLoad = std::chrono::hours(1);

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

/// Time for which the waiting tasks of a step would take all of the usable part of the limit.
Duration LoadOf(const Step& aStep, const Resources& aLimit)
{
  if (aStep.spec->isService) {
    return Duration(0);
  }
  std::chrono::duration<double, Duration::period> load =
    aStep.spec->estimate * static_cast<double>(aStep.Waiting()) *
    (ShareOf(aStep.spec->size, aLimit) / kUsableShare);
  return std::chrono::duration_cast<Duration>(std::min(load, kLongestLoad));
}

/// The same for all steps of a job.
Duration LoadOf(const Job& aJob, const Resources& aLimit)
{
  Duration load{ 0 };
  for (const auto& step : aJob.steps) {
    load += LoadOf(*step, aLimit);
  }
  return load;
}

/// The load of the jobs that go before those of a later turn.
Duration LoadAhead(const std::vector<Job*>& aJobs, const Resources& aLimit)
{
  Duration load{ 0 };
  for (const Job* job : aJobs) {
    if (job->outlook != JobOutlook::WithoutValue) {
      load += LoadOf(*job, aLimit);
    }
  }
  return load;
}

Duration Scale(Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aTime * aFactor);
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

double OverloadSelector::Limit::FreeShare() const
{
  auto free = static_cast<double>(std::max<std::int64_t>(this->freeMilliCores, 0));
  return std::min(free / static_cast<double>(std::max<std::int64_t>(this->total.milliCores, 1)),
                  1.0);
}

void OverloadSelector::GiveUp(Candidates& aCandidates,
                              JobOutlook aFrom,
                              const Limit& aLimit,
                              Duration aAhead,
                              TimePoint aNow)
{
  auto next = static_cast<JobOutlook>(static_cast<int>(aFrom) + 1);
  Duration load = aAhead;
  std::vector<Demand> demands;
  for (Candidate& candidate : aCandidates) {
    if (candidate.job->outlook == aFrom) {
      AddDemands(candidate, aFrom == JobOutlook::InTime ? 1 : kNoValueFactor, aLimit, demands);
    } else if (candidate.job->outlook < aFrom) {
      load += candidate.load;
    }
  }
  std::sort(demands.begin(), demands.end(), [](const Demand& aLeft, const Demand& aRight) {
    return std::make_tuple(aLeft.latestStart, aLeft.candidate->job->sequence, aLeft.step) <
           std::make_tuple(aRight.latestStart, aRight.candidate->job->sequence, aRight.step);
  });
  // Of jobs of the same weight, the newest is given up first.
  auto isLighter = [](const Candidate* aLeft, const Candidate* aRight) {
    return std::make_pair(aLeft->weight, aLeft->job->sequence) <
           std::make_pair(aRight->weight, aRight->job->sequence);
  };
  std::priority_queue<Candidate*, std::vector<Candidate*>, decltype(isLighter)> open(isLighter);
  for (const Demand& demand : demands) {
    Candidate& candidate = *demand.candidate;
    if (candidate.job->outlook != aFrom) {
      continue;
    }
    if (aNow > demand.latestStart) {
      candidate.job->outlook = next;
      load -= candidate.added;
      continue;
    }
    if (candidate.added == Duration(0)) {
      open.push(&candidate);
    }
    load += demand.load;
    candidate.added += demand.load;
    while (!open.empty() && aNow + load - demand.startsAtOnce > demand.latestStart) {
      Candidate* heaviest = open.top();
      open.pop();
      if (heaviest->job->outlook == aFrom) {
        heaviest->job->outlook = next;
        load -= heaviest->added;
      }
    }
  }
}

void OverloadSelector::AddDemands(Candidate& aCandidate,
                                  int aFactor,
                                  const Limit& aLimit,
                                  std::vector<Demand>& aDemands)
{
  const Job& job = *aCandidate.job;
  aCandidate.added = Duration(0);
  for (const auto& step : job.steps) {
    Duration load = LoadOf(*step, aLimit.total);
    if (load > Duration(0)) {
      TimePoint latestStart =
        job.addedAt + job.latencyObjective * aFactor - job.criticalPaths[step->number];
      Duration startsAtOnce = Scale(step->spec->estimate, aLimit.FreeShare());
      aDemands.push_back({ &aCandidate, step->number, latestStart, load, startsAtOnce });
    }
  }
}

void OverloadSelector::Select(const std::vector<Job*>& aJobs,
                              const Limit& aLimit,
                              Duration aAhead,
                              TimePoint aNow)
{
  Candidates candidates;
  Duration total{ 0 };
  for (Job* job : aJobs) {
    Duration load = LoadOf(*job, aLimit.total);
    if (load > Duration(0)) {
      candidates.push_back({ job, load, Duration(0), Duration(0) });
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
  GiveUp(candidates, JobOutlook::InTime, aLimit, aAhead, aNow);
  GiveUp(candidates, JobOutlook::Late, aLimit, aAhead, aNow);
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
  std::int64_t free = std::max<std::int64_t>(limit.milliCores - aTeam.running.milliCores, 0);
  Select(limited, { limit, free }, Duration(0), aNow);
}

void OverloadSelector::AddLimits(const Worker& aWorker,
                                 const JobsByPriority& aJobs,
                                 LimitsByPriority& aLimits) const
{
  Resources free = aWorker.Free();
  auto headroom = static_cast<std::int64_t>(
    static_cast<double>(aWorker.listing.capacity.milliCores) * this->state.settings.headroom);
  for (const auto& [priority, jobs] : aJobs) {
    Limit& limit = aLimits[priority];
    Resources usable = free;
    if (priority > 0) {
      // Only whole tasks fit into what is free.
      std::int64_t smallest = std::max<std::int64_t>(jobs.smallestMilliCores, 1);
      usable.milliCores =
        std::max<std::int64_t>(free.milliCores - headroom, 0) / smallest * smallest;
    }
    limit.total += usable;
    limit.freeMilliCores += usable.milliCores;
  }
  for (const Attempt& attempt : aWorker.attempts) {
    if (attempt.step->spec->isService) {
      continue;
    }
    std::uint32_t own = attempt.step->job->queue->priority;
    Resources committed = FleetState::CommittedResources(*attempt.step->spec);
    for (auto& [priority, limit] : aLimits) {
      if (own == priority || (own > priority && priority > 0)) {
        limit.total += committed;
      }
    }
  }
}

void OverloadSelector::UpdateService(const std::string& aService,
                                     const JobsByPriority& aJobs,
                                     TimePoint aNow)
{
  LimitsByPriority limits;
  for (const auto& [id, worker] : this->state.workers) {
    if (worker->listing.service == aService && this->reliability.AcceptsStarts(*worker, aNow)) {
      this->AddLimits(*worker, aJobs, limits);
    }
  }
  LimitsByPriority& averages = this->averageLimits[aService];
  for (auto& [priority, limit] : limits) {
    if (priority > 0) {
      Resources& average = averages.try_emplace(priority, limit).first->second.total;
      average.milliCores += (limit.total.milliCores - average.milliCores) / kAveragedUpdates;
      average.memoryMiB += (limit.total.memoryMiB - average.memoryMiB) / kAveragedUpdates;
      average.accelerators = limit.total.accelerators;
      limit.total = average;
    }
    if (limit.total.milliCores <= 0) {
      continue;
    }
    Duration ahead{ 0 };
    for (auto higher = aJobs.begin(); higher->first < priority; ++higher) {
      ahead += LoadAhead(higher->second.inRate, limit.total) +
               LoadAhead(higher->second.overRate, limit.total);
    }
    const PriorityJobs& jobs = aJobs.at(priority);
    Select(jobs.inRate, limit, ahead, aNow);
    if (priority > 0) {
      Select(jobs.overRate, limit, ahead + LoadAhead(jobs.inRate, limit.total), aNow);
    }
  }
}

void OverloadSelector::Update(TimePoint aNow)
{
  if (aNow < this->nextUpdate) {
    return;
  }
  this->nextUpdate = aNow + kUpdateInterval;
  std::map<const Team*, std::vector<Job*>> teams;
  std::map<std::string, JobsByPriority> services;
  for (Job* job : this->state.openJobs) {
    job->outlook = JobOutlook::InTime;
    if (job->team != nullptr && job->team->rules.ceiling != Resources()) {
      teams[job->team].push_back(job);
    }
    if (HasDueTime(*job) && FleetState::HasRules(*job->queue)) {
      PriorityJobs& jobs = services[job->queue->service][job->queue->priority];
      (job->isOverRate ? jobs.overRate : jobs.inRate).push_back(job);
      for (const StepSpec& step : job->definition.steps) {
        jobs.smallestMilliCores = std::min(jobs.smallestMilliCores, step.size.milliCores);
      }
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
