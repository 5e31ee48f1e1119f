#include "BaselinePolicy.h"

namespace daisydrift::bench {

namespace {

constexpr std::uint32_t kMaxFailuresPerTask = 3;
/// Random pairs of workers tried before a task is skipped.
constexpr int kMaxPairsTried = 8;
/// Largest number of jobs visited in one round, which bounds its duration when the queue is long.
constexpr std::size_t kMaxJobsPerRound = 2000;

} // namespace

BaselinePolicy::BaselinePolicy(Strategy aStrategy, std::uint64_t aSeed)
  : strategy(aStrategy)
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
  --job.activeTasks;
  this->running.erase(it);
  if (aOutcome == AttemptOutcome::Succeeded || job.isCancelled) {
    return;
  }
  bool hasFailed = aOutcome == AttemptOutcome::Failed;
  if (hasFailed && ++job.failures[aAttempt.task.index] >= kMaxFailuresPerTask) {
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

std::size_t BaselinePolicy::FindWorker(const Resources& aSize)
{
  if (this->strategy != Strategy::RandomOfTwo) {
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
      if (this->IsUsable(this->workers[i], aSize)) {
        return i;
      }
    }
    return kNone;
  }
  for (int pair = 0; pair < kMaxPairsTried; ++pair) {
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
  if (isGang && aJob.activeTasks > 0) {
    return false;
  }
  Team& team = this->teams[aJob.spec.team];
  const Resources& size = aJob.spec.size;
  std::vector<std::size_t> planned;
  while (planned.size() < aJob.waiting.size() && aStarts + planned.size() < aMaxStarts) {
    auto count = static_cast<std::uint32_t>(planned.size()) + 1;
    bool isWithinCeiling = (team.running + size).FitsIn(team.policy.ceiling) &&
                           team.tasks + count <= team.policy.maxRunningTasks;
    std::size_t worker = isWithinCeiling ? this->FindWorker(size) : kNone;
    if (worker == kNone) {
      break;
    }
    planned.push_back(worker);
    this->workers[worker].free -= size;
    team.running += size;
  }
  if (isGang && planned.size() < aJob.waiting.size()) {
    for (std::size_t worker : planned) {
      this->workers[worker].free += size;
      team.running -= size;
    }
    return false;
  }
  for (std::size_t worker : planned) {
    std::uint32_t index = aJob.waiting.front();
    aJob.waiting.pop_front();
    AttemptId attempt{ { aJob.spec.number, index }, ++aJob.attempts[index] };
    this->running[attempt] = { worker, size };
    ++team.tasks;
    ++aJob.activeTasks;
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
  std::size_t jobsVisited = 0;
  // Sizes for which no worker was found in this round.
  std::set<std::tuple<std::int64_t, std::int64_t, std::int64_t>> unplaceableSizes;
  for (auto it = this->queue.begin(); it != this->queue.end() && starts < aMaxStarts;) {
    if (++jobsVisited > kMaxJobsPerRound) {
      break;
    }
    Job& job = this->jobs[*it];
    const Resources& size = job.spec.size;
    std::tuple sizeKey(size.milliCores, size.memoryMiB, size.accelerators);
    bool hasStartedAll =
      !unplaceableSizes.contains(sizeKey) && this->StartJob(job, aMaxStarts, starts, out);
    if (hasStartedAll) {
      it = this->queue.erase(it);
      continue;
    }
    if (this->strategy == Strategy::Fifo) {
      break;
    }
    if (job.spec.workClass != WorkClass::Gang && this->strategy == Strategy::FirstFit &&
        this->FindWorker(size) == kNone) {
      unplaceableSizes.insert(sizeKey);
    }
    ++it;
  }
  return out;
}

} // namespace daisydrift::bench
