#include "OverloadSelector.h"

#include "StepRank.h"

#include <algorithm>

namespace daisydrift::dispatch {

namespace {
/// Time between two updates; between them few jobs start. An update goes through all waiting steps,
/// so with many open jobs it is done less often, and takes no more of the leader's time.
constexpr std::chrono::milliseconds kUpdateInterval{ 150 };
constexpr std::size_t kJobsWithoutDelay = 200;
constexpr std::chrono::microseconds kDelayPerJob{ 300 };
/// Share of a limit that running tasks take on average while others wait: each start takes a round
/// and a write to the store, and rooms that are too small stay free.
constexpr double kUsableShare = 0.9;
/// Updates over which the limits below the first priority are averaged. What the short tasks of
/// higher priorities use changes several times a second; jobs would change their outlook with it.
constexpr std::int64_t kAveragedUpdates = 8;
/// Most jobs that one update names in the log; hundreds of lines at once would delay the leader.
constexpr std::size_t kMaxReportedJobs = 10;
/// Factor on the cost of a job that was given up before, so that jobs of nearly the same cost don't
/// change places.
constexpr double kKeepFactor = 0.8;
/// A job with at least this share of its work done or running is mostly done.
constexpr double kMostlyDoneShare = 0.5;
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
  if (aStep.spec->isService || aStep.Waiting() == 0) {
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

/// Work of a task in core seconds.
double WorkOf(const StepSpec& aSpec)
{
  constexpr double kMilliCoresPerCore = 1000;
  std::chrono::duration<double> time =
    std::min<std::chrono::duration<double, Duration::period>>(aSpec.estimate, kLongestLoad);
  return aSpec.isService
           ? 0
           : time.count() * static_cast<double>(aSpec.size.milliCores) / kMilliCoresPerCore;
}

/// Level of the shares that jobs of that outlook fall to when they are given up.
std::size_t LevelOf(JobOutlook aFrom)
{
  return aFrom == JobOutlook::InTime ? 0 : 1;
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

bool OverloadSelector::OpenCandidates::IsCheaper::operator()(const Candidate* aLeft,
                                                             const Candidate* aRight) const
{
  if (aLeft->cost != aRight->cost) {
    return aLeft->cost < aRight->cost;
  }
  return aLeft->job->sequence > aRight->job->sequence;
}

void OverloadSelector::OpenCandidates::Add(Candidate& aCandidate)
{
  const JobShare& share = aCandidate.job->share;
  const ShareCount* team = share.queue->IsSmall(*share.team) ? share.team : nullptr;
  this->buckets[{ aCandidate.isMostlyDone, share.width, team }].push(&aCandidate);
}

OverloadSelector::Candidate* OverloadSelector::OpenCandidates::TakeCheapest()
{
  Bucket* best = nullptr;
  std::pair<bool, bool> bestRank;
  for (auto& [key, bucket] : this->buckets) {
    if (bucket.empty()) {
      continue;
    }
    const JobShare& share = bucket.top()->job->share;
    std::pair<bool, bool> rank(std::get<0>(key), !share.queue->MayGiveUp(share, this->level));
    bool isBetter = best == nullptr || rank < bestRank ||
                    (rank == bestRank && IsCheaper()(bucket.top(), best->top()));
    if (isBetter) {
      best = &bucket;
      bestRank = rank;
    }
  }
  if (best == nullptr) {
    return nullptr;
  }
  Candidate* cheapest = best->top();
  best->pop();
  return cheapest;
}

OverloadSelector::Candidate OverloadSelector::MakeCandidate(Job& aJob, Duration aLoad)
{
  Candidate candidate;
  candidate.job = &aJob;
  candidate.load = aLoad;
  double work = 0;
  double waiting = 0;
  for (const auto& step : aJob.steps) {
    double perTask = WorkOf(*step->spec);
    work += perTask * static_cast<double>(step->tasks.size());
    waiting += perTask * static_cast<double>(step->Waiting());
  }
  candidate.isMostlyDone = waiting <= work * (1 - kMostlyDoneShare) && waiting < work;
  double seconds = std::max(std::chrono::duration<double>(candidate.load).count(), 1e-9);
  candidate.cost = aJob.share.value / seconds;
  if (aJob.previousOutlook != JobOutlook::InTime) {
    candidate.cost *= kKeepFactor;
  }
  return candidate;
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
    return std::tie(aLeft.orderTime, aLeft.sequence, aLeft.step) <
           std::tie(aRight.orderTime, aRight.sequence, aRight.step);
  });
  auto giveUp = [&](Candidate& aCandidate) {
    aCandidate.job->outlook = next;
    load -= aCandidate.added;
    aCandidate.job->share.queue->CountGivenUp(aCandidate.job->share, LevelOf(aFrom));
  };
  OpenCandidates open(LevelOf(aFrom));
  for (const Demand& demand : demands) {
    Candidate& candidate = *demand.candidate;
    if (candidate.job->outlook != aFrom) {
      continue;
    }
    if (aNow > demand.latestStart) {
      giveUp(candidate);
      continue;
    }
    if (candidate.added == Duration(0)) {
      open.Add(candidate);
    }
    load += demand.load;
    candidate.added += demand.load;
    while (aNow + load - demand.startsAtOnce > demand.latestStart) {
      Candidate* cheapest = open.TakeCheapest();
      if (cheapest == nullptr) {
        break;
      }
      if (cheapest->job->outlook == aFrom) {
        giveUp(*cheapest);
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
      TimePoint orderTime =
        latestStart - job.expectedPaths[step->number] + job.criticalPaths[step->number];
      aDemands.push_back(
        { &aCandidate, job.sequence, step->number, orderTime, latestStart, load, startsAtOnce });
    }
  }
}

void OverloadSelector::Select(const std::vector<Job*>& aJobs,
                              const Limit& aLimit,
                              Duration aAhead,
                              TimePoint aNow)
{
  Candidates candidates;
  for (Job* job : aJobs) {
    Duration load = LoadOf(*job, aLimit.total);
    if (load > Duration(0)) {
      candidates.push_back(MakeCandidate(*job, load));
    }
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
    static_cast<double>(aWorker.listing.capacity.milliCores) * this->state.headroom);
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

void OverloadSelector::OnAdded(Job& aJob, TimePoint aNow)
{
  if (!HasDueTime(aJob)) {
    return;
  }
  double work = 0;
  for (const StepSpec& step : aJob.definition.steps) {
    work += WorkOf(step) * step.taskCount;
  }
  aJob.share = this->shares[aJob.definition.queue].Add(
    aJob.tasksPerOccurrence, work, aJob.definition.team, aNow);
}

void OverloadSelector::OnCompleted(const Job& aJob)
{
  Duration taken = this->now - aJob.addedAt;
  if (aJob.share.queue != nullptr && taken > aJob.latencyObjective) {
    aJob.share.queue->CountEnd(aJob.share, taken > aJob.latencyObjective * kNoValueFactor);
  }
}

void OverloadSelector::Report(const Job& aJob, TimePoint aNow)
{
  TimePoint dueAt = aJob.addedAt + aJob.latencyObjective;
  LogLine(LogLevel::Info, "job_given_up")
    .Add("job", aJob.definition.id)
    .Add("queue", aJob.definition.queue)
    .Add("team", aJob.definition.team)
    .Add("cause", aNow + aJob.criticalPaths.front() > dueAt ? "too_late" : "shortage")
    .Add("outlook", aJob.outlook == JobOutlook::Late ? "late" : "without_value")
    .Add("width", static_cast<int>(aJob.share.width))
    .Add("waited_ms", aNow - aJob.addedAt);
}

void OverloadSelector::ReportAll(TimePoint aNow, DispatchRound& aRound) const
{
  std::size_t count = 0;
  for (Job* job : this->state.openJobs) {
    if (job->outlook == JobOutlook::InTime || job->share.isReported) {
      continue;
    }
    job->share.isReported = true;
    aRound.jobsGivenUp.push_back(job->definition.queue);
    if (count++ < kMaxReportedJobs) {
      Report(*job, aNow);
    }
  }
  if (count > kMaxReportedJobs) {
    LogLine(LogLevel::Info, "jobs_given_up").Add("not_named", count - kMaxReportedJobs);
  }
}

void OverloadSelector::Update(TimePoint aNow, DispatchRound& aRound)
{
  this->now = aNow;
  if (this->state.settings.order != SchedulingOrder::MostInTime) {
    return;
  }
  if (aNow < this->nextUpdate) {
    return;
  }
  std::size_t jobs = std::max(this->state.openJobs.size(), kJobsWithoutDelay) - kJobsWithoutDelay;
  this->nextUpdate = aNow + kUpdateInterval + kDelayPerJob * jobs;
  for (auto& [queue, queueShares] : this->shares) {
    queueShares.BeginSelection();
  }
  std::map<const Team*, std::vector<Job*>> teams;
  std::map<std::string, JobsByPriority> services;
  for (Job* job : this->state.openJobs) {
    job->previousOutlook = job->outlook;
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
  this->ReportAll(aNow, aRound);
}

} // namespace daisydrift::dispatch
