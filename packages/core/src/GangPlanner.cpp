#include "GangPlanner.h"

#include <algorithm>

namespace daisydrift::core {

namespace {

/// Waiting time after which a gang, or a job of single tasks, may get the reservation. Single tasks
/// find free capacity sooner, so they have to wait longer.
constexpr std::chrono::seconds kMinGangWait{ 2 };
constexpr std::chrono::seconds kMinTaskWait{ 30 };
/// Interval between two updates of the reservation, each of which examines all workers.
constexpr std::chrono::seconds kPlanInterval{ 2 };
/// Expected ends further in the future than this are ignored.
constexpr std::chrono::hours kPlanningHorizon{ 24 * 30 };
/// Slots for this multiple of the tasks are collected before the cheapest are chosen. Bounds the
/// cost in a large fleet.
constexpr std::uint32_t kCandidateSlotFactor = 4;
/// Number of slots in a resource type of which a task needs nothing.
constexpr std::int64_t kUnlimitedSlots = 1 << 20;

std::int64_t CountSlotsOfType(std::int64_t aFree, std::int64_t aSize)
{
  return aSize > 0 ? aFree / aSize : kUnlimitedSlots;
}

} // namespace

GangPlanner::GangPlanner(ClusterState& aState, Placer& aPlacer, DecisionRecorder& aRecorder)
  : state(aState)
  , placer(aPlacer)
  , recorder(aRecorder)
{
}

std::uint32_t GangPlanner::CountSlots(const Resources& aFree,
                                      const Resources& aSize,
                                      std::uint32_t aMax)
{
  if (!aSize.FitsIn(aFree)) {
    return 0;
  }
  std::int64_t slots = std::min({ CountSlotsOfType(aFree.milliCores, aSize.milliCores),
                                  CountSlotsOfType(aFree.memoryMiB, aSize.memoryMiB),
                                  CountSlotsOfType(aFree.accelerators, aSize.accelerators) });
  return static_cast<std::uint32_t>(std::min<std::int64_t>(slots, aMax));
}

std::uint32_t GangPlanner::RequiredTaskCount(const Job& aJob)
{
  return aJob.IsGang() ? aJob.WaitingCount() : 1;
}

bool GangPlanner::StartAllTasks(Job& aJob, TimePoint aNow)
{
  std::uint32_t count = RequiredTaskCount(aJob);
  Resources size = this->state.NextAttemptSize(aJob);
  if (count == 0 || !Multiply(size, count).FitsIn(this->state.freeCapacityIndex.TotalFree())) {
    return false;
  }
  // Holds the capacity of each task placed so far, so that the next search does not use it again.
  std::vector<EntityIndex> plan;
  while (plan.size() < count) {
    EntityIndex worker = this->placer.ChooseWorker(aJob, size);
    if (worker == kNoEntity) {
      break;
    }
    plan.push_back(worker);
    this->state.AdjustHeld(worker, size);
  }
  for (EntityIndex worker : plan) {
    this->state.AdjustHeld(worker, Resources() - size);
  }
  if (plan.size() < count) {
    return false;
  }
  for (EntityIndex worker : plan) {
    this->recorder.Start(aJob, worker, size, aNow);
    this->placer.OnStart(worker);
  }
  return true;
}

bool GangPlanner::IsUsable(const Worker& aWorker) const
{
  return this->state.AcceptsStarts(aWorker) && !aWorker.isQuarantined;
}

Job* GangPlanner::FindReservationCandidate(TimePoint aNow) const
{
  Job* best = nullptr;
  for (Team& team : this->state.teams) {
    // Groups are ordered by arrival, so the first eligible one is the team's oldest.
    for (const auto& [sequence, group] : team.noWorkerFits) {
      Job* job = group->jobs.begin()->second;
      if (best != nullptr && best->sequence < job->sequence) {
        break;
      }
      Duration age = aNow - job->waitingSince;
      bool isOld = age >= (job->IsGang() ? Duration(kMinGangWait) : Duration(kMinTaskWait));
      Resources size = this->state.NextAttemptSize(*job);
      if (isOld && ClusterState::FitsCeiling(team, size, RequiredTaskCount(*job))) {
        best = job;
        break;
      }
    }
  }
  return best;
}

void GangPlanner::Advance(TimePoint aNow)
{
  if (this->reservationHolder != 0) {
    Job* job = this->state.FindJob(this->reservationHolder);
    bool isValid = job != nullptr && job->group != nullptr &&
                   ClusterState::FitsCeiling(
                     *job->team, this->state.NextAttemptSize(*job), RequiredTaskCount(*job));
    if (!isValid || this->TryStartHolder(*job, aNow)) {
      this->ReleaseReservation();
    }
  }
  if (aNow < this->nextPlan) {
    return;
  }
  this->nextPlan = aNow + kPlanInterval;
  Job* job = this->reservationHolder != 0 ? this->state.FindJob(this->reservationHolder)
                                          : this->FindReservationCandidate(aNow);
  if (job == nullptr) {
    return;
  }
  this->ReleaseReservation();
  this->PlanReservation(*job, aNow);
}

void GangPlanner::ReleaseReservation()
{
  for (EntityIndex workerIndex : this->reserved) {
    this->state.SetReserved(workerIndex, false);
  }
  this->reserved.clear();
  this->reservationHolder = 0;
  this->expectedStart.reset();
}

void GangPlanner::PlanReservation(const Job& aJob, TimePoint aNow)
{
  struct Availability
  {
    TimePoint at;
    EntityIndex worker;
    std::uint32_t slots;
  };
  std::uint32_t requiredCount = RequiredTaskCount(aJob);
  Resources size = this->state.NextAttemptSize(aJob);
  std::vector<Availability> availabilities;
  std::vector<std::pair<TimePoint, Resources>> ends;
  for (EntityIndex i = 0; i < this->state.workers.size(); ++i) {
    const Worker& worker = this->state.workers[i];
    if (!this->IsUsable(worker) || !size.FitsIn(worker.capacity)) {
      continue;
    }
    Resources free = worker.FreeCapacity();
    std::uint32_t slots = CountSlots(free, size, requiredCount);
    if (slots > 0) {
      availabilities.push_back({ aNow, i, slots });
    }
    ends.clear();
    for (const Attempt& attempt : worker.attempts) {
      // A task that overran its estimate is expected to run for as long again.
      TimePoint end = attempt.isStopping || attempt.isBackfill ? aNow : attempt.expectedEnd;
      if (end < aNow) {
        end = aNow + (aNow - attempt.assignedAt);
      }
      ends.emplace_back(end, attempt.committed);
    }
    std::sort(ends.begin(), ends.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
    for (const auto& [end, amount] : ends) {
      free += amount;
      std::uint32_t after = CountSlots(free, size, requiredCount);
      if (after > slots && end < aNow + kPlanningHorizon) {
        availabilities.push_back({ end, i, after - slots });
        slots = after;
      }
    }
  }
  std::stable_sort(availabilities.begin(),
                   availabilities.end(),
                   [](const auto& aLeft, const auto& aRight) { return aLeft.at < aRight.at; });
  std::set<EntityIndex> chosen;
  std::uint32_t total = 0;
  TimePoint start = aNow;
  for (const Availability& availability : availabilities) {
    if (total >= requiredCount) {
      break;
    }
    total += availability.slots;
    start = availability.at;
    chosen.insert(availability.worker);
  }
  if (total < requiredCount) {
    return;
  }
  this->reservationHolder = aJob.spec.number;
  this->expectedStart = start;
  this->reserved.assign(chosen.begin(), chosen.end());
  for (EntityIndex workerIndex : this->reserved) {
    this->state.SetReserved(workerIndex, true);
  }
}

bool GangPlanner::TryStartHolder(Job& aJob, TimePoint aNow)
{
  std::uint32_t requiredCount = RequiredTaskCount(aJob);
  Resources size = this->state.NextAttemptSize(aJob);
  std::uint32_t slots = 0;
  std::uint32_t slotsWithoutBackfill = 0;
  for (EntityIndex workerIndex : this->reserved) {
    const Worker& worker = this->state.workers[workerIndex];
    if (!this->IsUsable(worker) || !this->placer.HasStartToken(worker.domain)) {
      continue;
    }
    Resources free = worker.FreeCapacity();
    slots += CountSlots(free, size, requiredCount);
    for (const Attempt& attempt : worker.attempts) {
      if (attempt.isBackfill) {
        free += attempt.committed;
      }
    }
    slotsWithoutBackfill += CountSlots(free, size, requiredCount);
  }
  if (slots >= requiredCount) {
    std::vector<EntityIndex> workers = this->reserved;
    for (EntityIndex workerIndex : workers) {
      const Worker& worker = this->state.workers[workerIndex];
      if (!this->IsUsable(worker) || !this->placer.HasStartToken(worker.domain)) {
        continue;
      }
      for (; requiredCount > 0 && size.FitsIn(worker.FreeCapacity()); --requiredCount) {
        this->recorder.Start(aJob, workerIndex, size, aNow);
        this->placer.OnStart(workerIndex);
      }
    }
    return true;
  }
  if (slotsWithoutBackfill >= requiredCount) {
    for (EntityIndex workerIndex : this->reserved) {
      for (Attempt& attempt : this->state.workers[workerIndex].attempts) {
        if (attempt.isBackfill) {
          this->recorder.Stop(attempt, StopReason::Preempted);
        }
      }
    }
  }
  return false;
}

bool GangPlanner::PreemptForJob(const Job& aJob,
                                const Preemption& aPreemption,
                                const Preemption::AttemptFilter& aIsPreemptible,
                                TimePoint aNow)
{
  const Job* current =
    this->reservationHolder != 0 ? this->state.FindJob(this->reservationHolder) : nullptr;
  bool isReservedForOther =
    current != nullptr && current != &aJob && (current->spec.isUrgent || !aJob.spec.isUrgent);
  if (isReservedForOther) {
    return false;
  }
  struct WorkerPreemption
  {
    double lostPerSlot = 0;
    std::uint32_t slots = 0;
    Preemption::Plan plan;
  };
  std::uint32_t requiredCount = RequiredTaskCount(aJob);
  Resources size = this->state.NextAttemptSize(aJob);
  std::uint32_t total = 0;
  std::uint32_t preemptibleSlots = 0;
  std::vector<WorkerPreemption> workerPreemptions;
  for (EntityIndex i = 0; i < this->state.workers.size(); ++i) {
    if (total + preemptibleSlots >= kCandidateSlotFactor * requiredCount) {
      break;
    }
    const Worker& worker = this->state.workers[i];
    if (!this->IsUsable(worker)) {
      continue;
    }
    std::uint32_t slots = CountSlots(worker.FreeCapacity(), size, requiredCount);
    total += slots;
    WorkerPreemption best;
    while (auto plan = aPreemption.PlanOnWorker(
             i, Multiply(size, slots + best.slots + 1), aIsPreemptible, aNow)) {
      ++best.slots;
      best.plan = std::move(*plan);
    }
    if (best.slots > 0) {
      preemptibleSlots += best.slots;
      best.lostPerSlot = best.plan.lostWork / best.slots;
      workerPreemptions.push_back(std::move(best));
    }
  }
  std::stable_sort(workerPreemptions.begin(),
                   workerPreemptions.end(),
                   [](const WorkerPreemption& aLeft, const WorkerPreemption& aRight) {
                     return aLeft.lostPerSlot < aRight.lostPerSlot;
                   });
  std::size_t usedCount = 0;
  while (total < requiredCount && usedCount < workerPreemptions.size()) {
    total += workerPreemptions[usedCount++].slots;
  }
  if (total < requiredCount) {
    return false;
  }
  for (std::size_t i = 0; i < usedCount; ++i) {
    for (Attempt* victim : workerPreemptions[i].plan.victims) {
      this->recorder.StopWithGang(*victim, StopReason::Preempted);
    }
  }
  // The reservation treats attempts that are being stopped as ended, so it selects these workers.
  this->ReleaseReservation();
  this->PlanReservation(aJob, aNow);
  return true;
}

EntityIndex GangPlanner::FindBackfillWorker(const Job& aJob,
                                            const Resources& aSize,
                                            TimePoint aNow) const
{
  auto runTime = Estimates::ExpectedRunTime(*aJob.estimate, aJob.spec);
  bool isSuitable = this->reservationHolder != 0 && aJob.spec.number != this->reservationHolder &&
                    aJob.spec.workClass == WorkClass::Batch && aJob.spec.isRepeatable && runTime;
  if (!isSuitable || aNow + *runTime > *this->expectedStart) {
    return kNoEntity;
  }
  for (EntityIndex workerIndex : this->reserved) {
    const Worker& worker = this->state.workers[workerIndex];
    if (this->IsUsable(worker) && this->placer.HasStartToken(worker.domain) &&
        aSize.FitsIn(worker.FreeCapacity()) && !Placer::HasFailedOn(aJob, workerIndex)) {
      return workerIndex;
    }
  }
  return kNoEntity;
}

} // namespace daisydrift::core
