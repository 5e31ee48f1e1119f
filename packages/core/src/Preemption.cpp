#include "Preemption.h"

#include <algorithm>

namespace daisydrift::core {

namespace {

/// Feasible workers compared before the best is taken. Bounds the cost in a large fleet.
constexpr std::size_t kWorkersCompared = 32;
/// Loss counted for a task that can be checkpointed: the time to write and restore, in seconds.
constexpr double kCheckpointLossSeconds = 5.0;
/// Loss counted for interrupting a service task, in seconds.
constexpr double kServiceLossSeconds = 120.0;
/// Memory worth one core when work is compared.
constexpr double kMiBPerCore = 4096.0;
/// One accelerator is worth this many cores when work is compared.
constexpr double kCoresPerAccelerator = 16.0;

double CoreEquivalents(const Resources& aSize)
{
  return std::max({ static_cast<double>(aSize.milliCores) / 1000.0,
                    static_cast<double>(aSize.memoryMiB) / kMiBPerCore,
                    static_cast<double>(aSize.accelerators) * kCoresPerAccelerator });
}

} // namespace

Preemption::Preemption(ClusterState& aState, Commands& aCommands)
  : state(aState)
  , commands(aCommands)
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
  double size = CoreEquivalents(aAttempt.counted);
  // Stopping one task of a gang stops all of it.
  return seconds * size * (job.IsGang() ? job.activeCount : 1);
}

std::optional<Preemption::Plan> Preemption::PlanFor(Position aWorker,
                                                    const Resources& aSize,
                                                    const VictimFilter& aMayStop,
                                                    TimePoint aNow) const
{
  Worker& worker = this->state.workers[aWorker];
  if (!this->state.AcceptsStarts(worker) || worker.isQuarantined ||
      !aSize.FitsIn(worker.capacity)) {
    return std::nullopt;
  }
  Resources free = worker.Free();
  std::vector<std::pair<double, Attempt*>> possible;
  for (Attempt& attempt : worker.attempts) {
    if (!attempt.isStopping && attempt.job->spec.isRepeatable && !attempt.job->spec.isUrgent &&
        aMayStop(attempt)) {
      possible.emplace_back(this->LostWork(attempt, aNow), &attempt);
    }
  }
  std::sort(possible.begin(), possible.end(), [](const auto& aLeft, const auto& aRight) {
    return std::pair(aLeft.first, aLeft.second->sequence) <
           std::pair(aRight.first, aRight.second->sequence);
  });
  Plan plan;
  for (const auto& [lost, attempt] : possible) {
    if (aSize.FitsIn(free)) {
      break;
    }
    plan.victims.push_back(attempt);
    free += attempt->counted;
  }
  if (!aSize.FitsIn(free)) {
    return std::nullopt;
  }
  // Drops victims that turned out not to be needed, the most costly first.
  for (std::size_t i = plan.victims.size(); i-- > 0;) {
    if (aSize.FitsIn(free - plan.victims[i]->counted)) {
      free -= plan.victims[i]->counted;
      plan.victims.erase(plan.victims.begin() + static_cast<std::ptrdiff_t>(i));
    }
  }
  for (const Attempt* victim : plan.victims) {
    plan.lost += this->LostWork(*victim, aNow);
  }
  return plan;
}

bool Preemption::MakeRoom(Job& aJob,
                          const Resources& aSize,
                          const VictimFilter& aMayStop,
                          Duration aPatience,
                          TimePoint aNow)
{
  auto count = static_cast<Position>(this->state.workers.size());
  Position best = kNoPosition;
  Plan bestPlan;
  std::size_t compared = 0;
  Position start = this->cursor;
  for (Position i = 0; i < count && compared < kWorkersCompared; ++i) {
    Position position = (start + i) % count;
    if (this->state.workers[position].isReserved && !aJob.spec.isUrgent) {
      continue;
    }
    auto plan = this->PlanFor(position, aSize, aMayStop, aNow);
    if (!plan) {
      continue;
    }
    ++compared;
    this->cursor = (position + 1) % count;
    if (best == kNoPosition || plan->lost < bestPlan.lost) {
      best = position;
      bestPlan = std::move(*plan);
    }
  }
  if (best == kNoPosition) {
    return false;
  }
  for (Attempt* victim : bestPlan.victims) {
    this->commands.StopWhole(*victim, StopReason::Preempted);
  }
  this->holds.push_back({ aJob.spec.number, best, aSize, aNow + aPatience });
  this->state.AddHeld(best, aSize);
  return true;
}

std::optional<Preemption::Room> Preemption::TakeFreedRoom()
{
  for (auto it = this->holds.begin(); it != this->holds.end(); ++it) {
    const Worker& worker = this->state.workers[it->worker];
    Job* job = this->state.FindJob(it->job);
    bool isFree = (worker.committed + it->size).FitsIn(worker.capacity);
    bool isUsable = job != nullptr && !job->isEnding && job->WaitingCount() > 0 &&
                    ClusterState::FitsCeiling(*job->team, it->size) &&
                    this->state.AcceptsStarts(worker);
    if (isFree && isUsable) {
      Room room{ job, it->worker, it->size };
      this->holds.erase(it);
      this->state.AddHeld(room.worker, Resources() - room.size);
      return room;
    }
  }
  return std::nullopt;
}

std::size_t Preemption::HeldFor(const Job& aJob) const
{
  return static_cast<std::size_t>(
    std::count_if(this->holds.begin(), this->holds.end(), [&aJob](const Hold& aHold) {
      return aHold.job == aJob.spec.number;
    }));
}

void Preemption::Expire(TimePoint aNow)
{
  std::map<JobNumber, std::uint32_t> kept;
  for (auto it = this->holds.begin(); it != this->holds.end();) {
    const Job* job = this->state.FindJob(it->job);
    bool isNeeded = job != nullptr && !job->isEnding && kept[it->job] < job->WaitingCount();
    if (isNeeded && aNow < it->until &&
        this->state.AcceptsStarts(this->state.workers[it->worker])) {
      ++kept[it->job];
      ++it;
      continue;
    }
    this->state.AddHeld(it->worker, Resources() - it->size);
    it = this->holds.erase(it);
  }
}

} // namespace daisydrift::core
