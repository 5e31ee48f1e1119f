#include "GangPlanner.h"

#include <algorithm>

namespace daisydrift::core {

namespace {

/// Waiting time after which a gang, or a job of single tasks, may hold the reservation. Single
/// tasks find room sooner, so they age longer.
constexpr std::chrono::seconds kGangAge{ 2 };
constexpr std::chrono::seconds kTaskAge{ 30 };
/// Interval between two plans; a plan looks at all workers.
constexpr std::chrono::seconds kPlanInterval{ 2 };
/// Expected ends further away than this are not expected at all.
constexpr std::chrono::hours kHorizon{ 24 * 30 };
/// Slots counted on one worker when sizes are zero in all kinds that a worker has.
constexpr std::int64_t kUnlimited = 1 << 20;

std::int64_t SlotsOfKind(std::int64_t aFree, std::int64_t aSize)
{
  return aSize > 0 ? aFree / aSize : kUnlimited;
}

} // namespace

GangPlanner::GangPlanner(ClusterState& aState, Placer& aPlacer, Commands& aCommands)
  : state(aState)
  , placer(aPlacer)
  , commands(aCommands)
{
}

std::uint32_t GangPlanner::Slots(const Resources& aFree,
                                 const Resources& aSize,
                                 std::uint32_t aMost)
{
  if (!aSize.FitsIn(aFree)) {
    return 0;
  }
  std::int64_t slots = std::min({ SlotsOfKind(aFree.milliCores, aSize.milliCores),
                                  SlotsOfKind(aFree.memoryMiB, aSize.memoryMiB),
                                  SlotsOfKind(aFree.accelerators, aSize.accelerators) });
  return static_cast<std::uint32_t>(std::min<std::int64_t>(slots, aMost));
}

std::uint32_t GangPlanner::Needed(const Job& aJob)
{
  return aJob.IsGang() ? aJob.WaitingCount() : 1;
}

bool GangPlanner::StartWhole(Job& aJob, TimePoint aNow)
{
  std::uint32_t count = Needed(aJob);
  Resources size = this->state.SizeOf(aJob);
  if (count == 0 || !Times(size, count).FitsIn(this->state.index.TotalFree())) {
    return false;
  }
  // Holds the room of each task found so far, so that the next one sees it taken.
  std::vector<Position> plan;
  while (plan.size() < count) {
    Position worker = this->placer.Choose(aJob, size);
    if (worker == kNoPosition) {
      break;
    }
    plan.push_back(worker);
    this->state.AddHeld(worker, size);
  }
  for (Position worker : plan) {
    this->state.AddHeld(worker, Resources() - size);
  }
  if (plan.size() < count) {
    return false;
  }
  for (Position worker : plan) {
    this->commands.Start(aJob, worker, size, aNow);
    this->placer.OnStart(worker);
  }
  return true;
}

bool GangPlanner::IsUsable(const Worker& aWorker) const
{
  return this->state.AcceptsStarts(aWorker) && !aWorker.isQuarantined;
}

Job* GangPlanner::FindCandidate(TimePoint aNow) const
{
  Job* best = nullptr;
  for (Team& team : this->state.teams) {
    // Groups are ordered by arrival, so the first that is old enough is the oldest of the team.
    for (const auto& [sequence, group] : team.noWorkerFits) {
      Job* job = group->jobs.begin()->second;
      if (best != nullptr && best->sequence < job->sequence) {
        break;
      }
      Duration age = aNow - job->waitingSince;
      bool isOld = age >= (job->IsGang() ? Duration(kGangAge) : Duration(kTaskAge));
      Resources size = this->state.SizeOf(*job);
      if (isOld && ClusterState::FitsCeiling(team, size, Needed(*job))) {
        best = job;
        break;
      }
    }
  }
  return best;
}

void GangPlanner::Advance(TimePoint aNow)
{
  if (this->holder != 0) {
    Job* job = this->state.FindJob(this->holder);
    bool isValid = job != nullptr && job->group != nullptr &&
                   ClusterState::FitsCeiling(*job->team, this->state.SizeOf(*job), Needed(*job));
    if (!isValid || this->TryStartHolder(*job, aNow)) {
      this->Release();
    }
  }
  if (aNow < this->nextPlan) {
    return;
  }
  this->nextPlan = aNow + kPlanInterval;
  Job* job = this->holder != 0 ? this->state.FindJob(this->holder) : this->FindCandidate(aNow);
  if (job == nullptr) {
    return;
  }
  this->Release();
  this->Plan(*job, aNow);
}

void GangPlanner::Release()
{
  for (Position position : this->reserved) {
    this->state.SetReserved(position, false);
  }
  this->reserved.clear();
  this->holder = 0;
  this->expectedStart.reset();
}

void GangPlanner::Plan(const Job& aJob, TimePoint aNow)
{
  struct Opening
  {
    TimePoint at;
    Position worker;
    std::uint32_t slots;
  };
  std::uint32_t needed = Needed(aJob);
  Resources size = this->state.SizeOf(aJob);
  std::vector<Opening> openings;
  std::vector<std::pair<TimePoint, Resources>> ends;
  for (Position i = 0; i < this->state.workers.size(); ++i) {
    const Worker& worker = this->state.workers[i];
    if (!this->IsUsable(worker) || !size.FitsIn(worker.capacity)) {
      continue;
    }
    Resources free = worker.Free();
    std::uint32_t slots = Slots(free, size, needed);
    if (slots > 0) {
      openings.push_back({ aNow, i, slots });
    }
    ends.clear();
    for (const Attempt& attempt : worker.attempts) {
      // A task that overran its estimate is expected to take as long again.
      TimePoint end = attempt.isStopping || attempt.isBackfill ? aNow : attempt.expectedEnd;
      if (end < aNow) {
        end = aNow + (aNow - attempt.assignedAt);
      }
      ends.emplace_back(end, attempt.counted);
    }
    std::sort(ends.begin(), ends.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
    for (const auto& [end, amount] : ends) {
      free += amount;
      std::uint32_t after = Slots(free, size, needed);
      if (after > slots && end < aNow + kHorizon) {
        openings.push_back({ end, i, after - slots });
        slots = after;
      }
    }
  }
  std::stable_sort(openings.begin(), openings.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.at < aRight.at;
  });
  std::set<Position> chosen;
  std::uint32_t total = 0;
  TimePoint start = aNow;
  for (const Opening& opening : openings) {
    if (total >= needed) {
      break;
    }
    total += opening.slots;
    start = opening.at;
    chosen.insert(opening.worker);
  }
  if (total < needed) {
    return;
  }
  this->holder = aJob.spec.number;
  this->expectedStart = start;
  this->reserved.assign(chosen.begin(), chosen.end());
  for (Position position : this->reserved) {
    this->state.SetReserved(position, true);
  }
}

bool GangPlanner::TryStartHolder(Job& aJob, TimePoint aNow)
{
  std::uint32_t needed = Needed(aJob);
  Resources size = this->state.SizeOf(aJob);
  std::uint32_t free = 0;
  std::uint32_t freeWithoutBackfill = 0;
  for (Position position : this->reserved) {
    const Worker& worker = this->state.workers[position];
    if (!this->IsUsable(worker) || !this->placer.IsOpen(worker.domain)) {
      continue;
    }
    Resources room = worker.Free();
    free += Slots(room, size, needed);
    for (const Attempt& attempt : worker.attempts) {
      if (attempt.isBackfill) {
        room += attempt.counted;
      }
    }
    freeWithoutBackfill += Slots(room, size, needed);
  }
  if (free >= needed) {
    std::vector<Position> workers = this->reserved;
    for (Position position : workers) {
      const Worker& worker = this->state.workers[position];
      if (!this->IsUsable(worker) || !this->placer.IsOpen(worker.domain)) {
        continue;
      }
      for (; needed > 0 && size.FitsIn(worker.Free()); --needed) {
        this->commands.Start(aJob, position, size, aNow);
        this->placer.OnStart(position);
      }
    }
    return true;
  }
  if (freeWithoutBackfill >= needed) {
    for (Position position : this->reserved) {
      for (Attempt& attempt : this->state.workers[position].attempts) {
        if (attempt.isBackfill) {
          this->commands.Stop(attempt, StopReason::Preempted);
        }
      }
    }
  }
  return false;
}

bool GangPlanner::MakeRoom(const Job& aJob,
                           const Preemption& aPreemption,
                           const Preemption::VictimFilter& aMayStop,
                           TimePoint aNow)
{
  if (this->holder != 0 && this->holder != aJob.spec.number) {
    return false;
  }
  struct Gain
  {
    double lostPerSlot = 0;
    std::uint32_t slots = 0;
    Preemption::Plan plan;
  };
  std::uint32_t needed = Needed(aJob);
  Resources size = this->state.SizeOf(aJob);
  std::uint32_t total = 0;
  std::vector<Gain> gains;
  for (Position i = 0; i < this->state.workers.size(); ++i) {
    const Worker& worker = this->state.workers[i];
    if (!this->IsUsable(worker)) {
      continue;
    }
    std::uint32_t slots = Slots(worker.Free(), size, needed);
    total += slots;
    Gain best;
    while (auto plan =
             aPreemption.PlanFor(i, Times(size, slots + best.slots + 1), aMayStop, aNow)) {
      ++best.slots;
      best.plan = std::move(*plan);
    }
    if (best.slots > 0) {
      best.lostPerSlot = best.plan.lost / best.slots;
      gains.push_back(std::move(best));
    }
  }
  std::stable_sort(gains.begin(), gains.end(), [](const Gain& aLeft, const Gain& aRight) {
    return aLeft.lostPerSlot < aRight.lostPerSlot;
  });
  std::size_t used = 0;
  while (total < needed && used < gains.size()) {
    total += gains[used++].slots;
  }
  if (total < needed) {
    return false;
  }
  for (std::size_t i = 0; i < used; ++i) {
    for (Attempt* victim : gains[i].plan.victims) {
      this->commands.StopWhole(*victim, StopReason::Preempted);
    }
  }
  // The plan counts what is being stopped as free, so it chooses these workers.
  this->Release();
  this->Plan(aJob, aNow);
  return true;
}

Position GangPlanner::BackfillFor(const Job& aJob, const Resources& aSize, TimePoint aNow) const
{
  auto runTime = Estimates::RunTime(*aJob.estimate, aJob.spec);
  bool isSuitable = this->holder != 0 && aJob.spec.number != this->holder &&
                    aJob.spec.workClass == WorkClass::Batch && aJob.spec.isRepeatable && runTime;
  if (!isSuitable || aNow + *runTime > *this->expectedStart) {
    return kNoPosition;
  }
  for (Position position : this->reserved) {
    const Worker& worker = this->state.workers[position];
    if (this->IsUsable(worker) && this->placer.IsOpen(worker.domain) &&
        aSize.FitsIn(worker.Free()) && !Placer::HasFailedOn(aJob, position)) {
      return position;
    }
  }
  return kNoPosition;
}

} // namespace daisydrift::core
