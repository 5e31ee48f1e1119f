#include "JobStarter.h"

#include <algorithm>

namespace daisydrift::core {

namespace {

/// Interval of retries of gangs that did not fit, since each attempt plans the whole gang.
constexpr std::chrono::milliseconds kGangRetryInterval{ 250 };
/// Interval of retries of all blocked groups, whatever has changed, because estimates drift.
constexpr std::chrono::seconds kFullRetryInterval{ 1 };
/// Delay of preemption for urgent jobs after a search that found no victims.
constexpr std::chrono::milliseconds kPreemptionRetryDelay{ 100 };
/// Interval between two runs of ReclaimCapacity, and the maximum number of jobs for which each run
/// preempts attempts, not counting urgent gangs.
constexpr std::chrono::milliseconds kShareReclaimInterval{ 250 };
constexpr std::size_t kMaxPreemptionsPerReclaim = 4;
/// Interval between two searches for victims for a gang in ReclaimForJob, each of which may examine
/// all workers.
constexpr std::chrono::seconds kGangReclaimInterval{ 1 };
/// Maximum number of a team's groups examined in each run, oldest first.
constexpr std::size_t kMaxGroupsPerReclaim = 4;
/// Multiple of PolicySettings::shareReclaimDelay after which services may be preempted for a job
/// that ends by itself.
constexpr int kServiceYieldFactor = 2;
/// Maximum number of urgent jobs examined, and of starts and preemptions for them, in one round.
constexpr std::size_t kMaxUrgentJobs = 256;
constexpr std::size_t kMaxUrgentSteps = 256;
/// Waiting time after which a job that is blocked by the ceiling takes precedence over younger jobs
/// of its team.
constexpr std::chrono::seconds kMinCeilingWait{ 30 };
/// Size larger than any worker.
constexpr Resources kUnlimitedSize{ std::int64_t{ 1 } << 60,
                                    std::int64_t{ 1 } << 60,
                                    std::int64_t{ 1 } << 60 };

} // namespace

JobStarter::JobStarter(ClusterState& aState,
                       const PolicySettings& aSettings,
                       Placer& aPlacer,
                       DecisionRecorder& aRecorder,
                       GangPlanner& aGangs,
                       Preemption& aPreemption,
                       TeamShares& aShares,
                       WorkerReliability& aReliability)
  : state(aState)
  , settings(aSettings)
  , placer(aPlacer)
  , recorder(aRecorder)
  , gangs(aGangs)
  , preemption(aPreemption)
  , shares(aShares)
  , reliability(aReliability)
{
}

void JobStarter::Run(TimePoint aNow, std::size_t aMaxStarts)
{
  if (aMaxStarts == 0) {
    return;
  }
  this->preemption.ExpireHolds(aNow);
  this->StartOnReadyHolds(aNow, aMaxStarts);
  this->StartUrgentJobs(aNow, aMaxStarts);
  this->gangs.Advance(aNow);
  this->RetryBlockedGroups(aNow);
  this->StartByFairShare(aNow, aMaxStarts);
  this->ReclaimCapacity(aNow);
}

void JobStarter::StartOnReadyHolds(TimePoint aNow, std::size_t aMaxStarts)
{
  while (this->recorder.StartCount() < aMaxStarts) {
    auto hold = this->preemption.TakeReadyHold();
    if (!hold) {
      return;
    }
    this->recorder.Start(*hold->job, hold->worker, hold->size, aNow);
    this->placer.OnStart(hold->worker);
  }
}

void JobStarter::StartUrgentJobs(TimePoint aNow, std::size_t aMaxStarts)
{
  for (Team& team : this->state.teams) {
    team.hasUrgentTaskAtCeiling = false;
  }
  // Starting the last waiting task removes a job from the set, so this iterates over a copy.
  std::vector<Job*> jobs;
  for (const auto& [sequence, job] : this->state.urgentJobs) {
    if (jobs.size() >= kMaxUrgentJobs) {
      break;
    }
    jobs.push_back(job);
  }
  std::size_t steps = 0;
  for (Job* job : jobs) {
    while (job->WaitingCount() > this->preemption.HoldCount(*job) && steps < kMaxUrgentSteps &&
           this->recorder.StartCount() < aMaxStarts && this->StartOrPreemptForUrgent(*job, aNow)) {
      ++steps;
    }
  }
}

bool JobStarter::StartOrPreemptForUrgent(Job& aJob, TimePoint aNow)
{
  Resources size = this->state.NextAttemptSize(aJob);
  auto taskCount = static_cast<std::uint32_t>(this->preemption.HoldCount(aJob)) + 1;
  if (!ClusterState::FitsCeiling(*aJob.team, size, taskCount)) {
    // Preempts other attempts of the team; the task starts once they have ended.
    aJob.team->hasUrgentTaskAtCeiling = true;
    this->preemption.PreemptWithinCeiling(*aJob.team, size, taskCount, aNow);
    return false;
  }
  EntityIndex worker = this->placer.ChooseWorker(aJob, size);
  if (worker != kNoEntity) {
    this->recorder.Start(aJob, worker, size, aNow);
    this->placer.OnStart(worker);
    return true;
  }
  if (aNow < this->nextUrgentPreemption) {
    return false;
  }
  auto anyAttempt = [](const Attempt&) { return true; };
  if (this->preemption.PreemptForTask(aJob, size, anyAttempt, this->settings.urgentTarget, aNow)) {
    return true;
  }
  this->nextUrgentPreemption = aNow + kPreemptionRetryDelay;
  return false;
}

void JobStarter::RetryBlockedGroups(TimePoint aNow)
{
  bool mustRetryAllGroups = this->state.mustRetryAllGroups;
  if (aNow >= this->nextFullRetry) {
    this->nextFullRetry = aNow + kFullRetryInterval;
    mustRetryAllGroups = true;
    for (Team& team : this->state.teams) {
      TeamQueue::RetryCeilingReached(team);
    }
  }
  bool mustRetryGangs = aNow >= this->nextGangRetry;
  if (mustRetryGangs) {
    this->nextGangRetry = aNow + kGangRetryInterval;
  }
  if (!mustRetryAllGroups && !mustRetryGangs && !this->state.hasFreedCapacity) {
    return;
  }
  Resources free = mustRetryAllGroups             ? kUnlimitedSize
                   : this->state.hasFreedCapacity ? this->state.freedCapacity
                                                  : Resources{ -1, -1, -1 };
  for (Team& team : this->state.teams) {
    TeamQueue::RetryNoWorkerFits(team, [this, &free, mustRetryGangs](const Job& aJob) {
      return aJob.IsGang() ? mustRetryGangs : this->state.NextAttemptSize(aJob).FitsIn(free);
    });
  }
  this->state.mustRetryAllGroups = false;
  this->state.hasFreedCapacity = false;
}

void JobStarter::StartByFairShare(TimePoint aNow, std::size_t aMaxStarts)
{
  struct Candidate
  {
    double priority;
    Team* team;
  };
  std::vector<Candidate> candidates;
  for (Team& team : this->state.teams) {
    if (!team.ready.empty()) {
      candidates.push_back({ this->shares.Priority(team), &team });
    }
  }
  while (!candidates.empty() && this->recorder.StartCount() < aMaxStarts) {
    auto next = std::min_element(
      candidates.begin(), candidates.end(), [](const Candidate& aLeft, const Candidate& aRight) {
        return aLeft.priority < aRight.priority;
      });
    this->StartNextInTeam(*next->team, aNow);
    next->priority = this->shares.Priority(*next->team);
    if (next->team->ready.empty()) {
      candidates.erase(next);
    }
  }
}

bool JobStarter::StartNextInTeam(Team& aTeam, TimePoint aNow)
{
  JobGroup& group = *aTeam.ready.begin()->second;
  Job& job = *group.jobs.begin()->second;
  Resources size = this->state.NextAttemptSize(job);
  std::uint32_t taskCount = job.IsGang() ? job.WaitingCount() : 1;
  if (!ClusterState::FitsCeiling(aTeam, size, taskCount) || aTeam.hasUrgentTaskAtCeiling ||
      this->MustWaitForOlderJob(aTeam, job, aNow)) {
    TeamQueue::SetState(aTeam, group, JobGroupState::CeilingReached);
    return false;
  }
  bool hasStarted =
    job.IsGang() ? this->gangs.StartAllTasks(job, aNow) : this->StartTask(job, size, aNow);
  if (!hasStarted) {
    TeamQueue::SetState(aTeam, group, JobGroupState::NoWorkerFits);
  }
  return hasStarted;
}

bool JobStarter::StartTask(Job& aJob, const Resources& aSize, TimePoint aNow)
{
  EntityIndex probe = this->reliability.FindWorkerToProbe(aJob, aSize, aNow);
  if (probe != kNoEntity) {
    this->recorder.Start(aJob, probe, aSize, aNow).isProbe = true;
    return true;
  }
  EntityIndex worker = this->placer.ChooseWorker(aJob, aSize);
  if (worker != kNoEntity) {
    this->recorder.Start(aJob, worker, aSize, aNow);
    this->placer.OnStart(worker);
    return true;
  }
  worker = this->gangs.FindBackfillWorker(aJob, aSize, aNow);
  if (worker != kNoEntity) {
    this->recorder.Start(aJob, worker, aSize, aNow).isBackfill = true;
    this->placer.OnStart(worker);
    return true;
  }
  return false;
}

bool JobStarter::MustWaitForOlderJob(const Team& aTeam, const Job& aJob, TimePoint aNow) const
{
  if (aTeam.ceilingReached.empty()) {
    return false;
  }
  const Job& oldest = *aTeam.ceilingReached.begin()->second->jobs.begin()->second;
  if (oldest.sequence >= aJob.sequence || aNow - oldest.waitingSince < kMinCeilingWait) {
    return false;
  }
  // Services do not end by themselves, so capacity is kept only if the end of the team's other work
  // frees enough.
  std::uint32_t taskCount = oldest.IsGang() ? oldest.WaitingCount() : 1;
  Resources need = aTeam.services + Multiply(this->state.NextAttemptSize(oldest), taskCount);
  return need.FitsIn(aTeam.policy.ceiling) &&
         aTeam.serviceTasks + taskCount <= aTeam.policy.maxRunningTasks;
}

void JobStarter::ReclaimCapacity(TimePoint aNow)
{
  if (aNow < this->nextShareReclaim) {
    return;
  }
  this->nextShareReclaim = aNow + kShareReclaimInterval;
  this->PreemptForUrgentGangs(aNow);
  std::size_t preemptions = 0;
  std::size_t count = this->state.teams.size();
  for (std::size_t i = 0; i < count && preemptions < kMaxPreemptionsPerReclaim; ++i) {
    std::size_t teamIndex = (this->nextReclaimTeam + i) % count;
    std::size_t examined = 0;
    for (const auto& [sequence, group] : this->state.teams[teamIndex].noWorkerFits) {
      if (++examined > kMaxGroupsPerReclaim) {
        break;
      }
      if (this->ReclaimForJob(*group->jobs.begin()->second, aNow)) {
        ++preemptions;
        this->nextReclaimTeam = (teamIndex + 1) % count;
        break;
      }
    }
  }
}

void JobStarter::PreemptForUrgentGangs(TimePoint aNow)
{
  for (Team& team : this->state.teams) {
    for (const auto& [sequence, group] : team.noWorkerFits) {
      const Job& job = *group->jobs.begin()->second;
      if (!job.spec.isUrgent || this->gangs.ReservationHolder() == job.spec.number) {
        continue;
      }
      auto anyAttempt = [](const Attempt&) { return true; };
      if (ClusterState::FitsCeiling(team, this->state.NextAttemptSize(job), job.WaitingCount()) &&
          this->gangs.PreemptForJob(job, this->preemption, anyAttempt, aNow)) {
        return;
      }
    }
  }
}

bool JobStarter::ReclaimForJob(Job& aJob, TimePoint aNow)
{
  Team& team = *aJob.team;
  Resources size = this->state.NextAttemptSize(aJob);
  std::uint32_t taskCount = aJob.IsGang() ? aJob.WaitingCount() : 1;
  bool isBelowFairShare = team.belowFairShareSince &&
                          aNow - *team.belowFairShareSince >= this->settings.shareReclaimDelay &&
                          this->shares.StaysWithinFairShare(team, Multiply(size, taskCount));
  // Services end only when cancelled, so after a longer wait they are preempted for jobs that end
  // by themselves.
  bool hasWaitedLong =
    !aJob.IsService() &&
    aNow - aJob.waitingSince >= kServiceYieldFactor * this->settings.shareReclaimDelay;
  if ((!isBelowFairShare && !hasWaitedLong) || this->preemption.HoldCount(aJob) > 0 ||
      !ClusterState::FitsCeiling(team, size, taskCount)) {
    return false;
  }
  auto isPreemptible = [this, &team, isBelowFairShare, hasWaitedLong](const Attempt& aAttempt) {
    const Team& other = *aAttempt.job->team;
    if (&other == &team || aAttempt.job->IsGang()) {
      return false;
    }
    bool mustYield = hasWaitedLong && aAttempt.job->IsService() &&
                     this->shares.Priority(other) >= this->shares.Priority(team);
    return mustYield ||
           (isBelowFairShare && this->shares.KeepsFairShare(other, aAttempt.committed));
  };
  if (aJob.IsGang()) {
    if (aNow < this->nextGangReclaim) {
      return false;
    }
    this->nextGangReclaim = aNow + kGangReclaimInterval;
    return this->gangs.PreemptForJob(aJob, this->preemption, isPreemptible, aNow);
  }
  return this->preemption.PreemptForTask(
    aJob, size, isPreemptible, this->settings.urgentTarget, aNow);
}

} // namespace daisydrift::core
