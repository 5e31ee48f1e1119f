#include "ClusterState.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace daisydrift::core {

namespace {

/// Assumed run time of an attempt whose run time is unknown.
constexpr std::chrono::hours kUnknownRunTime{ 24 * 365 };

/// Limits aValue to the larger of aFloor and aCap.
std::int64_t CapWithFloor(std::int64_t aValue, std::int64_t aFloor, std::int64_t aCap)
{
  return std::min(aValue, std::max(aFloor, aCap));
}

/// Accelerators are always those of aFloor, since estimates don't change them.
Resources CapWithFloor(const Resources& aValue, const Resources& aFloor, const Resources& aCap)
{
  return { CapWithFloor(aValue.milliCores, aFloor.milliCores, aCap.milliCores),
           CapWithFloor(aValue.memoryMiB, aFloor.memoryMiB, aCap.memoryMiB),
           aFloor.accelerators };
}

bool AmountFitsCeiling(std::int64_t aRunning, std::int64_t aMore, std::int64_t aCeiling)
{
  return aMore == 0 || aRunning + aMore <= aCeiling;
}

} // namespace

ClusterState::ClusterState()
  : chart(TaskChart::Instance())
{
}

EntityIndex ClusterState::FindOrAddDomain(const FailureDomain& aName)
{
  auto [it, isNew] =
    this->domainByName.try_emplace(aName, static_cast<EntityIndex>(this->domains.size()));
  if (isNew) {
    this->domains.emplace_back().name = aName;
  }
  return it->second;
}

EntityIndex ClusterState::FindOrAddRack(const std::string& aName)
{
  auto [it, isNew] =
    this->rackByName.try_emplace(aName, static_cast<EntityIndex>(this->racks.size()));
  if (isNew) {
    this->racks.push_back(aName);
  }
  return it->second;
}

EntityIndex ClusterState::FindOrAddWorker(const WorkerId& aId)
{
  auto [it, isNew] =
    this->workerByName.try_emplace(aId, static_cast<EntityIndex>(this->workers.size()));
  if (isNew) {
    Worker& worker = this->workers.emplace_back();
    worker.id = aId;
    worker.domain = this->FindOrAddDomain("");
    worker.rack = this->FindOrAddRack("");
    this->UpdateCapacitySums(worker, true);
  }
  return it->second;
}

EntityIndex ClusterState::FindWorker(const WorkerId& aId) const
{
  auto it = this->workerByName.find(aId);
  return it == this->workerByName.end() ? kNoEntity : it->second;
}

void ClusterState::SetWorkerDescription(EntityIndex aWorker, const WorkerDescription& aDescription)
{
  Worker& worker = this->workers[aWorker];
  this->UpdateCapacitySums(worker, false);
  this->domains[worker.domain].committed -= worker.committed;
  worker.domain = this->FindOrAddDomain(aDescription.failureDomain);
  this->domains[worker.domain].committed += worker.committed;
  worker.rack = this->FindOrAddRack(aDescription.failureDomain + "/" + aDescription.rack);
  worker.capacity = aDescription.capacity;
  worker.health = aDescription.health;
  this->UpdateCapacitySums(worker, true);
  this->ReindexWorker(aWorker);
}

void ClusterState::UpdateAmountCount(std::map<std::int64_t, std::size_t>& aCounts,
                                     std::int64_t aAmount,
                                     bool aIsAdded)
{
  if (aIsAdded) {
    ++aCounts[aAmount];
    return;
  }
  auto it = aCounts.find(aAmount);
  if (--it->second == 0) {
    aCounts.erase(it);
  }
}

void ClusterState::UpdateCapacitySums(const Worker& aWorker, bool aIsAdded)
{
  if (aWorker.health == WorkerHealth::Gone) {
    return;
  }
  Resources amount = aIsAdded ? aWorker.capacity : Resources() - aWorker.capacity;
  Domain& domain = this->domains[aWorker.domain];
  domain.capacity += amount;
  if (!domain.isDrained) {
    this->regionCapacity += amount;
  }
  UpdateAmountCount(this->workerCountByCores, aWorker.capacity.milliCores, aIsAdded);
  UpdateAmountCount(this->workerCountByMemory, aWorker.capacity.memoryMiB, aIsAdded);
  UpdateAmountCount(this->workerCountByAccelerators, aWorker.capacity.accelerators, aIsAdded);
  auto largest = [](const std::map<std::int64_t, std::size_t>& aCounts) {
    return aCounts.empty() ? 0 : aCounts.rbegin()->first;
  };
  this->maxWorkerCapacity = { largest(this->workerCountByCores),
                              largest(this->workerCountByMemory),
                              largest(this->workerCountByAccelerators) };
}

bool ClusterState::AcceptsStarts(const Worker& aWorker) const
{
  return aWorker.health == WorkerHealth::Live && !this->domains[aWorker.domain].isDrained &&
         !aWorker.isPausedAfterRejection;
}

void ClusterState::ReindexWorker(EntityIndex aWorker)
{
  Worker& worker = this->workers[aWorker];
  if (!this->AcceptsStarts(worker) || worker.isQuarantined || worker.isReserved) {
    this->freeCapacityIndex.Remove(aWorker);
    return;
  }
  Resources free = worker.FreeCapacity();
  bool hasMoreFree = !this->freeCapacityIndex.Contains(aWorker) || !free.FitsIn(worker.indexedFree);
  worker.indexedFree = free;
  this->freeCapacityIndex.Put(aWorker, worker.domain, worker.capacity.accelerators > 0, free);
  if (hasMoreFree) {
    this->freedCapacity = this->hasFreedCapacity ? Max(this->freedCapacity, free) : free;
    this->hasFreedCapacity = true;
  }
}

void ClusterState::SetDrained(const std::set<FailureDomain>& aDrained)
{
  for (const FailureDomain& name : aDrained) {
    this->FindOrAddDomain(name);
  }
  this->regionCapacity = {};
  for (Domain& domain : this->domains) {
    domain.isDrained = aDrained.contains(domain.name);
    if (!domain.isDrained) {
      this->regionCapacity += domain.capacity;
    }
  }
  for (EntityIndex i = 0; i < this->workers.size(); ++i) {
    this->ReindexWorker(i);
  }
}

Team* ClusterState::FindTeam(const TeamName& aName)
{
  auto it = this->teamByName.find(aName);
  return it == this->teamByName.end() ? nullptr : &this->teams[it->second];
}

const Team* ClusterState::FindTeam(const TeamName& aName) const
{
  auto it = this->teamByName.find(aName);
  return it == this->teamByName.end() ? nullptr : &this->teams[it->second];
}

Team& ClusterState::FindOrAddTeam(const TeamName& aName)
{
  auto [it, isNew] =
    this->teamByName.try_emplace(aName, static_cast<EntityIndex>(this->teams.size()));
  if (isNew) {
    Team& team = this->teams.emplace_back();
    team.policy.name = aName;
    team.isConfigured = false;
    team.index = it->second;
  }
  return this->teams[it->second];
}

Job* ClusterState::FindJob(JobNumber aNumber)
{
  auto it = this->jobs.find(aNumber);
  return it == this->jobs.end() ? nullptr : it->second.get();
}

const Job* ClusterState::FindJob(JobNumber aNumber) const
{
  auto it = this->jobs.find(aNumber);
  return it == this->jobs.end() ? nullptr : it->second.get();
}

Job& ClusterState::AddJob(const JobSpec& aSpec, TimePoint aNow)
{
  auto owner = std::make_unique<Job>();
  Job& job = *owner;
  bool isNew = this->jobs.try_emplace(aSpec.number, std::move(owner)).second;
  assert(isNew);
  (void)isNew;
  job.spec = aSpec;
  job.spec.isRepeatable |= job.IsService();
  job.team = &this->FindOrAddTeam(aSpec.team);
  job.estimate = &this->estimates.FindOrAdd(aSpec.team, aSpec.kind);
  job.sequence = this->nextSequence++;
  job.addedAt = aNow;
  job.waitingSince = aNow;
  job.tasks.resize(aSpec.taskCount);
  for (Task& task : job.tasks) {
    task.state = this->chart.Initial();
  }
  job.waiting.resize(aSpec.taskCount);
  std::iota(job.waiting.begin(), job.waiting.end(), 0U);
  this->UpdateQueue(job);
  return job;
}

void ClusterState::RemoveJob(JobNumber aNumber)
{
  Job* job = this->FindJob(aNumber);
  assert(job != nullptr && job->activeCount == 0 && job->group == nullptr);
  assert(!job->isInUrgentQueue);
  this->jobs.erase(aNumber);
}

std::vector<const Job*> ClusterState::SortedJobs() const
{
  std::vector<const Job*> sorted;
  sorted.reserve(this->jobs.size());
  for (const auto& [number, job] : this->jobs) {
    sorted.push_back(job.get());
  }
  std::sort(sorted.begin(), sorted.end(), [](const Job* aLeft, const Job* aRight) {
    return aLeft->spec.number < aRight->spec.number;
  });
  return sorted;
}

Attempt* ClusterState::FindAttempt(const AttemptId& aId)
{
  Job* job = this->FindJob(aId.task.job);
  if (job == nullptr || aId.task.index >= job->tasks.size()) {
    return nullptr;
  }
  Attempt* attempt = job->tasks[aId.task.index].attempt;
  return attempt != nullptr && attempt->number == aId.attempt ? attempt : nullptr;
}

Attempt& ClusterState::AddAttempt(Job& aJob,
                                  std::uint32_t aTask,
                                  std::uint32_t aNumber,
                                  EntityIndex aWorker,
                                  const Resources& aLimit,
                                  TimePoint aNow)
{
  Task& task = aJob.tasks[aTask];
  assert(task.attempt == nullptr);
  this->ApplyEvent(task, TaskEvent::Assign);
  task.attempts = std::max(task.attempts, aNumber);
  if (this->freeAttempts.empty()) {
    this->freeAttempts.push_back(&this->attemptPool.emplace_back());
  }
  Attempt& attempt = *this->freeAttempts.back();
  this->freeAttempts.pop_back();
  attempt = Attempt();
  attempt.job = &aJob;
  attempt.taskIndex = aTask;
  attempt.number = aNumber;
  attempt.worker = aWorker;
  attempt.limit = aLimit;
  attempt.sequence = this->nextSequence++;
  attempt.assignedAt = aNow;
  attempt.workSavedAt = aNow;
  auto runTime = Estimates::ExpectedRunTime(*aJob.estimate, aJob.spec);
  attempt.expectedEnd =
    aNow + (runTime && !aJob.IsService() ? *runTime : Duration(kUnknownRunTime));
  task.attempt = &attempt;
  ++aJob.activeCount;
  ++aJob.team->runningTasks;
  ++this->attemptCount;
  this->workers[aWorker].attempts.push_back(attempt);
  aJob.team->attempts.push_back(attempt);
  this->SetCommitted(attempt, aLimit);
  this->UpdatePlacementCounts(attempt, 1);
  return attempt;
}

void ClusterState::RemoveAttempt(Attempt& aAttempt)
{
  Job& job = *aAttempt.job;
  Team& team = *job.team;
  if (aAttempt.isStopping) {
    team.stopping -= aAttempt.committed;
    --team.stoppingTasks;
  }
  aAttempt.isStopping = false;
  this->SetCommitted(aAttempt, {});
  this->SetLimitUnconfirmed(aAttempt, false);
  this->UpdatePlacementCounts(aAttempt, -1);
  Worker& worker = this->workers[aAttempt.worker];
  worker.attempts.erase(worker.attempts.iterator_to(aAttempt));
  team.attempts.erase(team.attempts.iterator_to(aAttempt));
  job.tasks[aAttempt.taskIndex].attempt = nullptr;
  --job.activeCount;
  --team.runningTasks;
  --this->attemptCount;
  TeamQueue::RetryCeilingReached(team);
  this->freeAttempts.push_back(&aAttempt);
}

void ClusterState::UpdatePlacementCounts(const Attempt& aAttempt, int aChange)
{
  Job& job = *aAttempt.job;
  if (!job.IsService()) {
    return;
  }
  job.team->serviceTasks += static_cast<std::uint32_t>(aChange);
  const Worker& worker = this->workers[aAttempt.worker];
  job.tasksByDomain.resize(std::max<std::size_t>(job.tasksByDomain.size(), worker.domain + 1));
  job.tasksByRack.resize(std::max<std::size_t>(job.tasksByRack.size(), worker.rack + 1));
  job.tasksByDomain[worker.domain] += static_cast<std::uint32_t>(aChange);
  job.tasksByRack[worker.rack] += static_cast<std::uint32_t>(aChange);
}

void ClusterState::MarkStopping(Attempt& aAttempt)
{
  assert(!aAttempt.isStopping);
  this->SetLimitUnconfirmed(aAttempt, false);
  this->ApplyEvent(aAttempt.job->tasks[aAttempt.taskIndex], TaskEvent::Stop);
  aAttempt.isStopping = true;
  aAttempt.job->team->stopping += aAttempt.committed;
  ++aAttempt.job->team->stoppingTasks;
}

void ClusterState::SetLimitUnconfirmed(Attempt& aAttempt, bool aIsUnconfirmed)
{
  if (aAttempt.isLimitUnconfirmed == aIsUnconfirmed) {
    return;
  }
  aAttempt.isLimitUnconfirmed = aIsUnconfirmed;
  Resources& sum = aAttempt.job->team->unconfirmed;
  if (aIsUnconfirmed) {
    sum += aAttempt.committed;
  } else {
    sum -= aAttempt.committed;
  }
}

void ClusterState::SetCommitted(Attempt& aAttempt, const Resources& aCommitted)
{
  Resources change = aCommitted - aAttempt.committed;
  Worker& worker = this->workers[aAttempt.worker];
  Team& team = *aAttempt.job->team;
  aAttempt.committed = aCommitted;
  worker.committed += change;
  this->domains[worker.domain].committed += change;
  team.running += change;
  if (aAttempt.isStopping) {
    team.stopping += change;
  }
  if (aAttempt.isLimitUnconfirmed) {
    team.unconfirmed += change;
  }
  if (aAttempt.job->IsService()) {
    team.services += change;
  }
  this->ReindexWorker(aAttempt.worker);
}

void ClusterState::AdjustHeld(EntityIndex aWorker, const Resources& aAmount)
{
  this->workers[aWorker].held += aAmount;
  this->ReindexWorker(aWorker);
}

void ClusterState::SetReserved(EntityIndex aWorker, bool aIsReserved)
{
  this->workers[aWorker].isReserved = aIsReserved;
  this->ReindexWorker(aWorker);
}

void ClusterState::ApplyEvent(Task& aTask, TaskEvent aEvent)
{
  aTask.state = this->chart.Next(aTask.state, aEvent);
}

Resources ClusterState::NextAttemptSize(const Job& aJob) const
{
  const Resources& declared = aJob.spec.size;
  Resources size = Estimates::CorrectSize(*aJob.estimate, declared);
  if (aJob.IsGang()) {
    // All tasks of a gang must fit at once, so only the usage of its own tasks may raise the size.
    size = Min(size, declared);
  }
  size = Max(size, aJob.grownSize);
  if (size == declared) {
    return size;
  }
  size = CapWithFloor(size, declared, this->maxWorkerCapacity);
  Resources ceiling = aJob.team->policy.ceiling;
  if (aJob.IsGang()) {
    ceiling.milliCores /= aJob.spec.taskCount;
    ceiling.memoryMiB /= aJob.spec.taskCount;
  }
  return CapWithFloor(size, declared, ceiling);
}

void ClusterState::UpdateQueue(Job& aJob)
{
  bool mustWait = !aJob.isEnding && aJob.WaitingCount() > 0;
  if (aJob.IsGang() && (aJob.activeCount > 0 || aJob.delayedCount > 0)) {
    mustWait = false;
  }
  if (aJob.spec.isUrgent && !aJob.IsGang()) {
    if (mustWait && !aJob.isInUrgentQueue) {
      this->urgentJobs.insert({ aJob.sequence, &aJob });
    } else if (!mustWait && aJob.isInUrgentQueue) {
      this->urgentJobs.erase({ aJob.sequence, &aJob });
    }
    aJob.isInUrgentQueue = mustWait;
  } else if (mustWait && aJob.group == nullptr) {
    TeamQueue::Insert(*aJob.team, aJob);
  } else if (!mustWait && aJob.group != nullptr) {
    TeamQueue::Erase(*aJob.team, aJob);
  }
  this->UpdateWaitingSums(aJob);
}

void ClusterState::UpdateWaitingSums(Job& aJob)
{
  std::uint32_t count = aJob.isEnding ? 0 : aJob.WaitingCount() + aJob.delayedCount;
  Resources waiting = Multiply(aJob.spec.size, count);
  aJob.team->waiting += waiting - aJob.waitingCounted;
  aJob.team->waitingTasks += count - aJob.waitingTasksCounted;
  aJob.waitingCounted = waiting;
  aJob.waitingTasksCounted = count;
}

bool ClusterState::FitsCeiling(const Team& aTeam, const Resources& aSize, std::uint32_t aCount)
{
  Resources more = Multiply(aSize, aCount);
  const Resources& ceiling = aTeam.policy.ceiling;
  return aTeam.runningTasks + aCount <= aTeam.policy.maxRunningTasks &&
         AmountFitsCeiling(aTeam.running.milliCores, more.milliCores, ceiling.milliCores) &&
         AmountFitsCeiling(aTeam.running.memoryMiB, more.memoryMiB, ceiling.memoryMiB) &&
         AmountFitsCeiling(aTeam.running.accelerators, more.accelerators, ceiling.accelerators);
}

} // namespace daisydrift::core
