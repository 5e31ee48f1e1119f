#include "Preemption.h"

#include <algorithm>

namespace daisydrift::core {

namespace {

/// Maximum number of feasible workers compared. Bounds the cost in a large fleet.
constexpr std::size_t kMaxWorkersCompared = 32;
/// Maximum number of workers examined in one search; the next search continues from there.
constexpr EntityIndex kMaxWorkersExamined = 1024;
/// Maximum number of a team's attempts examined as victims under its ceiling, newest first.
constexpr std::size_t kMaxAttemptsExamined = 256;
/// Maximum loss of a task that can write checkpoints: the time to write and restore one, in
/// seconds.
constexpr double kCheckpointLossSeconds = 5.0;
/// Loss assumed for interrupting a service task, in seconds.
constexpr double kServiceLossSeconds = 120.0;
/// Memory that is equivalent to one core when work is compared.
constexpr double kMiBPerCore = 4096.0;
/// Number of cores that are equivalent to one accelerator when work is compared.
constexpr double kCoresPerAccelerator = 16.0;

double CoreEquivalents(const Resources& aSize)
{
  return std::max({ static_cast<double>(aSize.milliCores) / 1000.0,
                    static_cast<double>(aSize.memoryMiB) / kMiBPerCore,
                    static_cast<double>(aSize.accelerators) * kCoresPerAccelerator });
}

} // namespace

Preemption::Preemption(ClusterState& aState, DecisionRecorder& aRecorder)
  : state(aState)
  , recorder(aRecorder)
{
}

double Preemption::LostWork(const Attempt& aAttempt, TimePoint aNow) const
{
  const Job& job = *aAttempt.job;
  double seconds = std::chrono::duration<double>(aNow - aAttempt.workSavedAt).count();
  if (job.spec.canCheckpoint) {
    seconds = std::min(seconds, kCheckpointLossSeconds);
  } else if (job.IsService()) {
    seconds = kServiceLossSeconds;
  }
  double size = CoreEquivalents(aAttempt.committed);
  // Stopping one task of a gang stops the whole gang.
  return seconds * size * (job.IsGang() ? job.activeCount : 1);
}

std::optional<Preemption::Plan> Preemption::PlanOnWorker(EntityIndex aWorker,
                                                         const Resources& aSize,
                                                         const AttemptFilter& aIsPreemptible,
                                                         TimePoint aNow) const
{
  Worker& worker = this->state.workers[aWorker];
  if (!this->state.AcceptsStarts(worker) || worker.isQuarantined ||
      !aSize.FitsIn(worker.capacity)) {
    return std::nullopt;
  }
  Resources free = worker.FreeCapacity();
  std::vector<std::pair<double, Attempt*>> candidates;
  for (Attempt& attempt : worker.attempts) {
    if (!attempt.isStopping && attempt.job->spec.isRepeatable && !attempt.job->spec.isUrgent &&
        aIsPreemptible(attempt)) {
      candidates.emplace_back(this->LostWork(attempt, aNow), &attempt);
    }
  }
  std::sort(candidates.begin(), candidates.end(), [](const auto& aLeft, const auto& aRight) {
    return std::pair(aLeft.first, aLeft.second->sequence) <
           std::pair(aRight.first, aRight.second->sequence);
  });
  Plan plan;
  for (const auto& [lostWork, attempt] : candidates) {
    if (aSize.FitsIn(free)) {
      break;
    }
    plan.victims.push_back(attempt);
    free += attempt->committed;
  }
  if (!aSize.FitsIn(free)) {
    return std::nullopt;
  }
  // Removes victims that turned out not to be needed, the most costly first.
  for (std::size_t i = plan.victims.size(); i-- > 0;) {
    if (aSize.FitsIn(free - plan.victims[i]->committed)) {
      free -= plan.victims[i]->committed;
      plan.victims.erase(plan.victims.begin() + static_cast<std::ptrdiff_t>(i));
    }
  }
  for (const Attempt* victim : plan.victims) {
    plan.lostWork += this->LostWork(*victim, aNow);
  }
  return plan;
}

bool Preemption::PreemptForTask(Job& aJob,
                                const Resources& aSize,
                                const AttemptFilter& aIsPreemptible,
                                Duration aHoldTime,
                                TimePoint aNow)
{
  auto count = static_cast<EntityIndex>(this->state.workers.size());
  EntityIndex best = kNoEntity;
  Plan bestPlan;
  std::size_t compared = 0;
  EntityIndex start = this->searchStart;
  for (EntityIndex i = 0;
       i < std::min(count, kMaxWorkersExamined) && compared < kMaxWorkersCompared;
       ++i) {
    EntityIndex workerIndex = (start + i) % count;
    this->searchStart = (workerIndex + 1) % count;
    if (this->state.workers[workerIndex].isReserved && !aJob.spec.isUrgent) {
      continue;
    }
    auto plan = this->PlanOnWorker(workerIndex, aSize, aIsPreemptible, aNow);
    if (!plan) {
      continue;
    }
    ++compared;
    if (best == kNoEntity || plan->lostWork < bestPlan.lostWork) {
      best = workerIndex;
      bestPlan = std::move(*plan);
    }
  }
  if (best == kNoEntity) {
    return false;
  }
  for (Attempt* victim : bestPlan.victims) {
    this->recorder.StopWithGang(*victim, StopReason::Preempted);
  }
  this->holds.push_back({ aJob.spec.number, best, aSize, aNow + aHoldTime });
  this->state.AdjustHeld(best, aSize);
  return true;
}

bool Preemption::PreemptWithinCeiling(Team& aTeam,
                                      const Resources& aSize,
                                      std::uint32_t aCount,
                                      TimePoint aNow)
{
  Resources need = Multiply(aSize, aCount);
  auto fits = [&](const Resources& aReleased, std::uint32_t aReleasedTasks) {
    return (aTeam.running - aTeam.stopping - aReleased + need).FitsIn(aTeam.policy.ceiling) &&
           aTeam.runningTasks - aTeam.stoppingTasks - aReleasedTasks + aCount <=
             aTeam.policy.maxRunningTasks;
  };
  std::vector<std::pair<double, Attempt*>> candidates;
  std::size_t examined = 0;
  for (auto it = aTeam.attempts.rbegin();
       it != aTeam.attempts.rend() && ++examined <= kMaxAttemptsExamined;
       ++it) {
    const JobSpec& spec = it->job->spec;
    if (!it->isStopping && spec.isRepeatable && !spec.isUrgent && !it->job->IsGang()) {
      candidates.emplace_back(this->LostWork(*it, aNow), &*it);
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first < aRight.first;
  });
  Resources released;
  std::uint32_t count = 0;
  while (!fits(released, count) && count < candidates.size()) {
    released += candidates[count].second->committed;
    ++count;
  }
  if (!fits(released, count)) {
    return false;
  }
  for (std::uint32_t i = 0; i < count; ++i) {
    this->recorder.Stop(*candidates[i].second, StopReason::Preempted);
  }
  return true;
}

std::optional<Preemption::ReadyHold> Preemption::TakeReadyHold()
{
  for (auto it = this->holds.begin(); it != this->holds.end(); ++it) {
    const Worker& worker = this->state.workers[it->worker];
    Job* job = this->state.FindJob(it->job);
    bool isFree = (worker.committed + it->size).FitsIn(worker.capacity);
    bool isUsable = job != nullptr && !job->isEnding && job->WaitingCount() > 0 &&
                    ClusterState::FitsCeiling(*job->team, it->size) &&
                    this->state.AcceptsStarts(worker);
    if (isFree && isUsable) {
      ReadyHold ready{ job, it->worker, it->size };
      this->holds.erase(it);
      this->state.AdjustHeld(ready.worker, Resources() - ready.size);
      return ready;
    }
  }
  return std::nullopt;
}

std::size_t Preemption::HoldCount(const Job& aJob) const
{
  return static_cast<std::size_t>(
    std::count_if(this->holds.begin(), this->holds.end(), [&aJob](const CapacityHold& aHold) {
      return aHold.job == aJob.spec.number;
    }));
}

void Preemption::ExpireHolds(TimePoint aNow)
{
  std::map<JobNumber, std::uint32_t> holdCounts;
  for (auto it = this->holds.begin(); it != this->holds.end();) {
    const Job* job = this->state.FindJob(it->job);
    bool isNeeded = job != nullptr && !job->isEnding && holdCounts[it->job] < job->WaitingCount();
    if (isNeeded && aNow < it->until &&
        this->state.AcceptsStarts(this->state.workers[it->worker])) {
      ++holdCounts[it->job];
      ++it;
      continue;
    }
    this->state.AdjustHeld(it->worker, Resources() - it->size);
    it = this->holds.erase(it);
  }
}

} // namespace daisydrift::core
