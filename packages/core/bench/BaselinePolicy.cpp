#include "BaselinePolicy.h"

namespace daisydrift::bench {

namespace {

constexpr std::uint32_t kMaxFailures = 3;
/// Random pairs tried before a task is passed over.
constexpr int kPairs = 8;
/// Jobs looked at in one round, so that a long queue does not make rounds endless.
constexpr std::size_t kMaxJobsLookedAt = 2000;

} // namespace

BaselinePolicy::BaselinePolicy(Kind aKind, std::uint64_t aSeed)
  : kind(aKind)
  , random(aSeed)
{
}

void BaselinePolicy::SetTeams(const std::vector<TeamPolicy>& aTeams, TimePoint)
{
  for (const TeamPolicy& policy : aTeams) {
    this->teams[policy.name].policy = policy;
  }
}

void BaselinePolicy::SetDrained(const std::set<FailureDomain>& aDrained, TimePoint)
{
  this->drained = aDrained;
}

void BaselinePolicy::UpdateWorker(const WorkerDescription& aWorker, TimePoint)
{
  auto [it, isNew] = this->workerByName.try_emplace(aWorker.id, this->workers.size());
  if (isNew) {
    this->workers.push_back({ aWorker, aWorker.capacity });
  }
  this->workers[it->second].description = aWorker;
}

void BaselinePolicy::AddJob(const JobSpec& aSpec, TimePoint)
{
  Job& job = this->jobs[aSpec.number];
  job.spec = aSpec;
  for (std::uint32_t i = 0; i < aSpec.taskCount; ++i) {
    job.waiting.push_back(i);
  }
  this->queue.insert(aSpec.number);
}

void BaselinePolicy::CancelJob(JobNumber aJob, TimePoint)
{
  auto it = this->jobs.find(aJob);
  if (it == this->jobs.end()) {
    return;
  }
  it->second.isCancelled = true;
  it->second.waiting.clear();
  this->queue.erase(aJob);
  auto attempt = this->running.lower_bound({ { aJob, 0 }, 0 });
  for (; attempt != this->running.end() && attempt->first.task.job == aJob; ++attempt) {
    this->stops.push_back({ attempt->first,
                            this->workers[attempt->second.worker].description.id,
                            StopReason::Cancelled,
                            false,
                            Duration(0) });
  }
}

void BaselinePolicy::OnEnded(const AttemptId& aAttempt, AttemptOutcome aOutcome, TimePoint)
{
  auto it = this->running.find(aAttempt);
  if (it == this->running.end()) {
    return;
  }
  Job& job = this->jobs[aAttempt.task.job];
  Team& team = this->teams[job.spec.team];
  this->workers[it->second.worker].free += it->second.size;
  team.running -= it->second.size;
  --team.tasks;
  --job.active;
  this->running.erase(it);
  if (aOutcome == AttemptOutcome::Succeeded || job.isCancelled) {
    return;
  }
  bool hasFailed = aOutcome == AttemptOutcome::Failed;
  if (hasFailed && ++job.failures[aAttempt.task.index] >= kMaxFailures) {
    return;
  }
  job.waiting.push_back(aAttempt.task.index);
  this->queue.insert(aAttempt.task.job);
}

bool BaselinePolicy::IsUsable(const Worker& aWorker, const Resources& aSize) const
{
  return aSize.FitsIn(aWorker.free) && aWorker.description.health == WorkerHealth::Live &&
         !this->drained.contains(aWorker.description.failureDomain);
}

std::size_t BaselinePolicy::Find(const Resources& aSize)
{
  if (this->kind != Kind::RandomOfTwo) {
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
      if (this->IsUsable(this->workers[i], aSize)) {
        return i;
      }
    }
    return kNone;
  }
  for (int pair = 0; pair < kPairs; ++pair) {
    std::size_t first = this->random() % this->workers.size();
    std::size_t second = this->random() % this->workers.size();
    bool isFirstUsable = this->IsUsable(this->workers[first], aSize);
    bool isSecondUsable = this->IsUsable(this->workers[second], aSize);
    if (isFirstUsable && isSecondUsable) {
      return this->workers[first].free.milliCores >= this->workers[second].free.milliCores ? first
                                                                                           : second;
    }
    if (isFirstUsable || isSecondUsable) {
      return isFirstUsable ? first : second;
    }
  }
  return kNone;
}

bool BaselinePolicy::StartJob(Job& aJob,
                              std::size_t aMaxStarts,
                              std::size_t& aStarts,
                              std::vector<Decision>& aOut)
{
  bool isGang = aJob.spec.workClass == WorkClass::Gang;
  if (isGang && aJob.active > 0) {
    return false;
  }
  Team& team = this->teams[aJob.spec.team];
  const Resources& size = aJob.spec.size;
  std::vector<std::size_t> plan;
  while (plan.size() < aJob.waiting.size() && aStarts + plan.size() < aMaxStarts) {
    auto count = static_cast<std::uint32_t>(plan.size()) + 1;
    bool isWithin = (team.running + size).FitsIn(team.policy.ceiling) &&
                    team.tasks + count <= team.policy.maxRunningTasks;
    std::size_t worker = isWithin ? this->Find(size) : kNone;
    if (worker == kNone) {
      break;
    }
    plan.push_back(worker);
    this->workers[worker].free -= size;
    team.running += size;
  }
  if (isGang && plan.size() < aJob.waiting.size()) {
    for (std::size_t worker : plan) {
      this->workers[worker].free += size;
      team.running -= size;
    }
    return false;
  }
  for (std::size_t worker : plan) {
    std::uint32_t index = aJob.waiting.front();
    aJob.waiting.pop_front();
    AttemptId attempt{ { aJob.spec.number, index }, ++aJob.attempts[index] };
    this->running[attempt] = { worker, size };
    ++team.tasks;
    ++aJob.active;
    ++aStarts;
    aOut.push_back(StartDecision{ attempt, this->workers[worker].description.id, size });
  }
  return aJob.waiting.empty();
}

std::vector<Decision> BaselinePolicy::Decide(TimePoint, std::size_t aMaxStarts)
{
  std::vector<Decision> out(this->stops.begin(), this->stops.end());
  this->stops.clear();
  std::size_t starts = 0;
  std::size_t looked = 0;
  // Sizes that found no worker in this round.
  std::set<std::tuple<std::int64_t, std::int64_t, std::int64_t>> full;
  for (auto it = this->queue.begin(); it != this->queue.end() && starts < aMaxStarts;) {
    if (++looked > kMaxJobsLookedAt) {
      break;
    }
    Job& job = this->jobs[*it];
    const Resources& size = job.spec.size;
    std::tuple shape(size.milliCores, size.memoryMiB, size.accelerators);
    bool hasStartedAll = !full.contains(shape) && this->StartJob(job, aMaxStarts, starts, out);
    if (hasStartedAll) {
      it = this->queue.erase(it);
      continue;
    }
    if (this->kind == Kind::Fifo) {
      break;
    }
    if (job.spec.workClass != WorkClass::Gang && this->kind == Kind::FirstFit &&
        this->Find(size) == kNone) {
      full.insert(shape);
    }
    ++it;
  }
  return out;
}

} // namespace daisydrift::bench
