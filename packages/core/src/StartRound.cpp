#include "StartRound.h"

#include <algorithm>

namespace daisydrift::core {

namespace {

/// Gangs that did not fit are tried again at this interval, since each try costs a whole plan.
constexpr std::chrono::milliseconds kGangRetryInterval{ 250 };
/// All groups are tried again at this interval whatever has changed, because estimates drift.
constexpr std::chrono::seconds kFullRetryInterval{ 1 };
/// Pause of preemption after a search that found nobody to stop.
constexpr std::chrono::milliseconds kPreemptionPause{ 100 };
/// Interval between two searches for room for underserved teams, and rooms made in each.
constexpr std::chrono::milliseconds kShareReclaimInterval{ 250 };
constexpr std::size_t kRoomsPerReclaim = 4;
/// Interval between two searches for room for a gang, which may look at all workers.
constexpr std::chrono::seconds kGangReclaimInterval{ 1 };
/// Groups of a team looked at in each search, oldest first.
constexpr std::size_t kGroupsPerReclaim = 4;
/// Multiple of the share reclaim delay after which services yield to work that can end.
constexpr int kServiceYieldFactor = 2;
/// Urgent jobs looked at, and rooms made for them, in one round.
constexpr std::size_t kMaxUrgentJobs = 256;
constexpr std::size_t kMaxUrgentSteps = 256;
/// Time after which a job that waits for the ceiling holds back younger jobs of its team.
constexpr std::chrono::seconds kCeilingAge{ 30 };
/// More than any worker has.
constexpr Resources kAnySize{ std::int64_t{ 1 } << 60,
                              std::int64_t{ 1 } << 60,
                              std::int64_t{ 1 } << 60 };

} // namespace

StartRound::StartRound(ClusterState& aState,
                       const PolicySettings& aSettings,
                       Placer& aPlacer,
                       Commands& aCommands,
                       GangPlanner& aGangs,
                       Preemption& aPreemption,
                       TeamShares& aShares,
                       WorkerTrust& aTrust)
  : state(aState)
  , settings(aSettings)
  , placer(aPlacer)
  , commands(aCommands)
  , gangs(aGangs)
  , preemption(aPreemption)
  , shares(aShares)
  , trust(aTrust)
{
}

void StartRound::Run(TimePoint aNow, std::size_t aMaxStarts)
{
  if (aMaxStarts == 0) {
    return;
  }
  this->preemption.Expire(aNow);
  this->StartInFreedRoom(aNow, aMaxStarts);
  this->StartUrgent(aNow, aMaxStarts);
  this->gangs.Advance(aNow);
  this->RetryBlocked(aNow);
  this->StartByShare(aNow, aMaxStarts);
  this->ReclaimShares(aNow);
}

void StartRound::StartInFreedRoom(TimePoint aNow, std::size_t aMaxStarts)
{
  while (this->commands.StartCount() < aMaxStarts) {
    auto room = this->preemption.TakeFreedRoom();
    if (!room) {
      return;
    }
    this->commands.Start(*room->job, room->worker, room->size, aNow);
    this->placer.OnStart(room->worker);
  }
}

void StartRound::StartUrgent(TimePoint aNow, std::size_t aMaxStarts)
{
  for (Team& team : this->state.teams) {
    team.isUrgentAtCeiling = false;
  }
  // Starting the last waiting task takes a job out of the set, so the iteration uses a copy.
  std::vector<Job*> jobs;
  for (const auto& [sequence, job] : this->state.urgentJobs) {
    if (jobs.size() >= kMaxUrgentJobs) {
      break;
    }
    jobs.push_back(job);
  }
  std::size_t steps = 0;
  for (Job* job : jobs) {
    while (job->WaitingCount() > this->preemption.HeldFor(*job) && steps < kMaxUrgentSteps &&
           this->commands.StartCount() < aMaxStarts && this->AdvanceUrgent(*job, aNow)) {
      ++steps;
    }
  }
}

bool StartRound::AdvanceUrgent(Job& aJob, TimePoint aNow)
{
  Resources size = this->state.SizeOf(aJob);
  auto together = static_cast<std::uint32_t>(this->preemption.HeldFor(aJob)) + 1;
  if (!ClusterState::FitsCeiling(*aJob.team, size, together)) {
    // Other work of the team makes way; the task starts when that has ended.
    aJob.team->isUrgentAtCeiling = true;
    this->preemption.MakeCeilingRoom(*aJob.team, size, together, aNow);
    return false;
  }
  Position worker = this->placer.Choose(aJob, size);
  if (worker != kNoPosition) {
    this->commands.Start(aJob, worker, size, aNow);
    this->placer.OnStart(worker);
    return true;
  }
  if (aNow < this->nextUrgentPreemption) {
    return false;
  }
  auto anyone = [](const Attempt&) { return true; };
  if (this->preemption.MakeRoom(aJob, size, anyone, this->settings.urgentTarget, aNow)) {
    return true;
  }
  this->nextUrgentPreemption = aNow + kPreemptionPause;
  return false;
}

void StartRound::RetryBlocked(TimePoint aNow)
{
  bool mustRetryAll = this->state.mustRetryAll;
  if (aNow >= this->nextFullRetry) {
    this->nextFullRetry = aNow + kFullRetryInterval;
    mustRetryAll = true;
    for (Team& team : this->state.teams) {
      TeamQueue::RetryCeiling(team);
    }
  }
  bool mustRetryGangs = aNow >= this->nextGangRetry;
  if (mustRetryGangs) {
    this->nextGangRetry = aNow + kGangRetryInterval;
  }
  if (!mustRetryAll && !mustRetryGangs && !this->state.hasGrown) {
    return;
  }
  Resources free = mustRetryAll           ? kAnySize
                   : this->state.hasGrown ? this->state.grownFree
                                          : Resources{ -1, -1, -1 };
  for (Team& team : this->state.teams) {
    TeamQueue::RetryNoWorker(team, [this, &free, mustRetryGangs](const Job& aJob) {
      return aJob.IsGang() ? mustRetryGangs : this->state.SizeOf(aJob).FitsIn(free);
    });
  }
  this->state.mustRetryAll = false;
  this->state.hasGrown = false;
}

void StartRound::StartByShare(TimePoint aNow, std::size_t aMaxStarts)
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
  while (!candidates.empty() && this->commands.StartCount() < aMaxStarts) {
    auto next = std::min_element(
      candidates.begin(), candidates.end(), [](const Candidate& aLeft, const Candidate& aRight) {
        return aLeft.priority < aRight.priority;
      });
    this->StartNext(*next->team, aNow);
    next->priority = this->shares.Priority(*next->team);
    if (next->team->ready.empty()) {
      candidates.erase(next);
    }
  }
}

bool StartRound::StartNext(Team& aTeam, TimePoint aNow)
{
  Group& group = *aTeam.ready.begin()->second;
  Job& job = *group.jobs.begin()->second;
  Resources size = this->state.SizeOf(job);
  std::uint32_t together = job.IsGang() ? job.WaitingCount() : 1;
  if (!ClusterState::FitsCeiling(aTeam, size, together) || aTeam.isUrgentAtCeiling ||
      this->IsHeldBack(aTeam, job, aNow)) {
    TeamQueue::SetState(aTeam, group, GroupState::CeilingReached);
    return false;
  }
  bool hasStarted =
    job.IsGang() ? this->gangs.StartWhole(job, aNow) : this->StartTask(job, size, aNow);
  if (!hasStarted) {
    TeamQueue::SetState(aTeam, group, GroupState::NoWorkerFits);
  }
  return hasStarted;
}

bool StartRound::StartTask(Job& aJob, const Resources& aSize, TimePoint aNow)
{
  Position probe = this->trust.ProbeFor(aJob, aSize, aNow);
  if (probe != kNoPosition) {
    this->commands.Start(aJob, probe, aSize, aNow).isProbe = true;
    return true;
  }
  Position worker = this->placer.Choose(aJob, aSize);
  if (worker != kNoPosition) {
    this->commands.Start(aJob, worker, aSize, aNow);
    this->placer.OnStart(worker);
    return true;
  }
  worker = this->gangs.BackfillFor(aJob, aSize, aNow);
  if (worker != kNoPosition) {
    this->commands.Start(aJob, worker, aSize, aNow).isBackfill = true;
    this->placer.OnStart(worker);
    return true;
  }
  return false;
}

bool StartRound::IsHeldBack(const Team& aTeam, const Job& aJob, TimePoint aNow) const
{
  if (aTeam.ceilingReached.empty()) {
    return false;
  }
  const Job& oldest = *aTeam.ceilingReached.begin()->second->jobs.begin()->second;
  if (oldest.sequence >= aJob.sequence || aNow - oldest.waitingSince < kCeilingAge) {
    return false;
  }
  // Services do not end by themselves: room is kept only if the rest of the team's work makes it.
  std::uint32_t together = oldest.IsGang() ? oldest.WaitingCount() : 1;
  Resources need = aTeam.services + Times(this->state.SizeOf(oldest), together);
  return need.FitsIn(aTeam.policy.ceiling) &&
         aTeam.serviceTasks + together <= aTeam.policy.maxRunningTasks;
}

void StartRound::ReclaimShares(TimePoint aNow)
{
  if (aNow < this->nextShareReclaim) {
    return;
  }
  this->nextShareReclaim = aNow + kShareReclaimInterval;
  this->ReclaimForUrgentGangs(aNow);
  std::size_t rooms = 0;
  std::size_t count = this->state.teams.size();
  for (std::size_t i = 0; i < count && rooms < kRoomsPerReclaim; ++i) {
    std::size_t position = (this->firstTeam + i) % count;
    std::size_t looked = 0;
    for (const auto& [sequence, group] : this->state.teams[position].noWorkerFits) {
      if (++looked > kGroupsPerReclaim) {
        break;
      }
      if (this->ReclaimFor(*group->jobs.begin()->second, aNow)) {
        ++rooms;
        this->firstTeam = (position + 1) % count;
        break;
      }
    }
  }
}

void StartRound::ReclaimForUrgentGangs(TimePoint aNow)
{
  for (Team& team : this->state.teams) {
    for (const auto& [sequence, group] : team.noWorkerFits) {
      const Job& job = *group->jobs.begin()->second;
      if (!job.spec.isUrgent || this->gangs.Holder() == job.spec.number) {
        continue;
      }
      auto anyone = [](const Attempt&) { return true; };
      if (ClusterState::FitsCeiling(team, this->state.SizeOf(job), job.WaitingCount()) &&
          this->gangs.MakeRoom(job, this->preemption, anyone, aNow)) {
        return;
      }
    }
  }
}

bool StartRound::ReclaimFor(Job& aJob, TimePoint aNow)
{
  Team& team = *aJob.team;
  Resources size = this->state.SizeOf(aJob);
  std::uint32_t together = aJob.IsGang() ? aJob.WaitingCount() : 1;
  bool isUnderserved = team.underservedSince &&
                       aNow - *team.underservedSince >= this->settings.shareReclaimDelay &&
                       this->shares.IsUnderserved(team, Times(size, together));
  // Services end only when cancelled, so work that can end gets their room after a longer wait.
  bool hasAged = !aJob.IsService() &&
                 aNow - aJob.waitingSince >= kServiceYieldFactor * this->settings.shareReclaimDelay;
  if ((!isUnderserved && !hasAged) || this->preemption.HeldFor(aJob) > 0 ||
      !ClusterState::FitsCeiling(team, size, together)) {
    return false;
  }
  auto mayStop = [this, &team, isUnderserved, hasAged](const Attempt& aAttempt) {
    const Team& other = *aAttempt.job->team;
    if (&other == &team || aAttempt.job->IsGang()) {
      return false;
    }
    bool yields = hasAged && aAttempt.job->IsService() &&
                  this->shares.Priority(other) >= this->shares.Priority(team);
    return yields || (isUnderserved && this->shares.IsOverserved(other, aAttempt.counted));
  };
  if (aJob.IsGang()) {
    if (aNow < this->nextGangReclaim) {
      return false;
    }
    this->nextGangReclaim = aNow + kGangReclaimInterval;
    return this->gangs.MakeRoom(aJob, this->preemption, mayStop, aNow);
  }
  return this->preemption.MakeRoom(aJob, size, mayStop, this->settings.urgentTarget, aNow);
}

} // namespace daisydrift::core
