#include "RandomScenario.h"

#include <sstream>

namespace daisydrift::test {

namespace {

constexpr std::size_t kWorkerCount = 12;
/// A worker applies a reduced limit within this time. The scheduler waits for longer than that
/// (kReductionDelay in LimitAdjuster.cpp).
constexpr std::chrono::seconds kLimitApplyDelay{ 2 };
constexpr std::chrono::milliseconds kStopDuration{ 700 };
constexpr std::chrono::seconds kTaskRunTime{ 20 };
/// Longest wait until services are preempted (60 s) and have stopped, with a margin.
constexpr std::chrono::seconds kMaxWaitPerJob{ 70 };

Resources MakeResources(std::int64_t aCores, std::int64_t aMemoryMiB, std::int64_t aAccelerators)
{
  return { aCores * 1000, aMemoryMiB, aAccelerators };
}

const Resources kLargeCeiling = MakeResources(1000, 1000000, 1000);

} // namespace

RandomScenario::RandomScenario()
  : scheduler(std::make_unique<Scheduler>(PolicySettings()))
{
  const FailureDomain domains[] = { "a", "b", "c" };
  for (std::size_t i = 0; i < kWorkerCount; ++i) {
    WorkerDescription worker{ "w" + std::to_string(i),
                              domains[i % 3],
                              "r" + std::to_string(i / 6),
                              MakeResources(8, 8192, i % 4 == 0 ? 4 : 0),
                              WorkerHealth::Live };
    this->workers[worker.id] = worker;
    this->scheduler->UpdateWorker(worker, this->now);
  }
  for (const char* name : { "s", "t", "u" }) {
    this->teams[name] = { name, name[0] == 's' ? 2U : 1U, kLargeCeiling, 1000 };
  }
  this->ChangeTeams(0);
}

void RandomScenario::RecordViolation(const std::string& aText)
{
  if (this->violation.empty()) {
    this->violation = aText;
  }
}

void RandomScenario::Step(std::uint32_t aNumber)
{
  std::uint32_t value = aNumber >> 4;
  switch (aNumber % 16) {
    case 0:
    case 1:
    case 2:
    case 3:
      this->AddJob(value);
      break;
    case 4:
    case 5:
    case 6:
      this->EndRandomAttempt(value);
      break;
    case 7:
    case 8:
      this->ReportUsage(value);
      break;
    case 9:
      this->ChangeWorker(value);
      break;
    case 10:
      this->ChangeTeams(value);
      break;
    case 11: {
      FailureDomain domain(1, static_cast<char>('a' + value % 3));
      if (!this->drained.erase(domain)) {
        this->drained.insert(domain);
      }
      this->scheduler->SetDrainedFailureDomains(this->drained, this->now);
      break;
    }
    case 12:
      if (this->nextJob > 1) {
        JobNumber job = 1 + value % (this->nextJob - 1);
        this->cancelled.insert(job);
        (void)this->scheduler->CancelJob(job, this->now);
      }
      break;
    case 13:
      if (value % 2 == 0) {
        this->Recover();
      }
      break;
    default:
      this->now += std::chrono::milliseconds(value % 12000);
  }
  this->Decide();
}

void RandomScenario::AddJob(std::uint32_t aNumber)
{
  JobSpec spec;
  spec.number = this->nextJob++;
  spec.team = std::string(1, static_cast<char>('s' + aNumber % 3));
  spec.kind = aNumber % 2 == 0 ? "even" : "odd";
  spec.workClass = static_cast<WorkClass>(aNumber / 3 % 3);
  spec.isUrgent = aNumber / 9 % 5 == 0 && spec.workClass == WorkClass::Batch;
  spec.taskCount = 1 + aNumber / 45 % 6;
  spec.size =
    MakeResources(1 + aNumber / 270 % 6, 256 << (aNumber / 1620 % 5), aNumber / 8100 % 8 == 0);
  spec.declaredRunTime = std::chrono::seconds(aNumber / 64800 % 30);
  spec.isRepeatable = aNumber / 7 % 4 != 0 || spec.workClass == WorkClass::Service;
  spec.canCheckpoint = aNumber / 11 % 2 == 0;
  if (this->scheduler->CheckJob(spec)) {
    // The job could never run with the present workers and ceilings, so it is not submitted.
    return;
  }
  this->jobs[spec.number] = spec;
  if (this->scheduler->AddJob(spec, this->now)) {
    this->RecordViolation("job was not accepted");
  }
}

void RandomScenario::EndRandomAttempt(std::uint32_t aNumber)
{
  if (this->running.empty()) {
    return;
  }
  auto it =
    std::next(this->running.begin(), static_cast<std::ptrdiff_t>(aNumber % this->running.size()));
  this->EndAttempt(it->first, static_cast<AttemptOutcome>(aNumber / 256 % 4));
}

void RandomScenario::EndAttempt(const AttemptId& aAttempt, AttemptOutcome aOutcome)
{
  AttemptId attempt = aAttempt;
  this->running.erase(attempt);
  const JobSpec& spec = this->jobs[attempt.task.job];
  if (aOutcome == AttemptOutcome::Succeeded && spec.workClass != WorkClass::Service) {
    this->succeeded.insert(attempt.task);
  }
  if (aOutcome == AttemptOutcome::Interrupted && !spec.isRepeatable) {
    this->unknownOutcomes.insert(attempt.task);
  }
  this->scheduler->OnEnded(attempt, aOutcome, "", this->now);
}

void RandomScenario::ReportUsage(std::uint32_t aNumber)
{
  std::uint32_t randomState = aNumber;
  for (const auto& [attempt, entry] : this->running) {
    randomState = randomState * 1664525 + 1013904223;
    std::int64_t percent = 5 + (randomState >> 16) % 110;
    this->scheduler->OnUsage(
      attempt,
      { entry.limit.milliCores * percent / 100, entry.limit.memoryMiB * percent / 100, 0 },
      this->now);
  }
}

void RandomScenario::ChangeWorker(std::uint32_t aNumber)
{
  auto it =
    std::next(this->workers.begin(), static_cast<std::ptrdiff_t>(aNumber % this->workers.size()));
  WorkerDescription& worker = it->second;
  worker.health = static_cast<WorkerHealth>(aNumber / 16 % 4);
  if (worker.health == WorkerHealth::Gone) {
    std::erase_if(this->running, [this, &worker](const auto& aEntry) {
      bool isOnWorker = aEntry.second.worker == worker.id;
      if (isOnWorker && !this->jobs[aEntry.first.task.job].isRepeatable) {
        this->unknownOutcomes.insert(aEntry.first.task);
      }
      return isOnWorker;
    });
  }
  this->scheduler->UpdateWorker(worker, this->now);
}

void RandomScenario::ChangeTeams(std::uint32_t aNumber)
{
  std::vector<TeamPolicy> policies;
  for (auto& [name, policy] : this->teams) {
    if (aNumber > 0 && name[0] == static_cast<char>('s' + aNumber % 3)) {
      bool isLowered = aNumber / 3 % 2 == 0;
      policy.ceiling = isLowered ? MakeResources(aNumber / 6 % 20, 16384, 2) : kLargeCeiling;
      policy.maxRunningTasks = isLowered ? aNumber / 120 % 12 : 1000;
    }
    policies.push_back(policy);
  }
  this->scheduler->SetTeams(policies, this->now);
}

void RandomScenario::Recover()
{
  this->scheduler = std::make_unique<Scheduler>(PolicySettings());
  for (const auto& [id, worker] : this->workers) {
    this->scheduler->UpdateWorker(worker, this->now);
  }
  this->ChangeTeams(0);
  this->scheduler->SetDrainedFailureDomains(this->drained, this->now);
  for (const auto& [number, spec] : this->jobs) {
    if (!this->finished.contains(number)) {
      (void)this->scheduler->AddJob(spec, this->now);
    }
  }
  for (const auto& [task, attempt] : this->attempts) {
    if (this->unknownOutcomes.contains(task)) {
      this->scheduler->RestoreTaskWithUnknownOutcome(task, attempt);
    } else {
      this->scheduler->RestoreTask(task, attempt, 0, this->succeeded.contains(task));
    }
  }
  for (const auto& [attempt, entry] : this->running) {
    this->scheduler->RestoreAttempt(attempt, entry.worker, entry.appliedLimit, this->now);
  }
  for (JobNumber number : this->cancelled) {
    (void)this->scheduler->CancelJob(number, this->now);
  }
}

void RandomScenario::Decide()
{
  for (auto it = this->running.begin(); it != this->running.end();) {
    auto [attempt, entry] = *it;
    ++it;
    bool isUnresponsive = this->workers[entry.worker].health == WorkerHealth::Unresponsive;
    if (this->now - entry.reducedAt >= kLimitApplyDelay) {
      this->running[attempt].appliedLimit = entry.limit;
    }
    if (entry.isStopping && !isUnresponsive && this->now - entry.stopRequestedAt >= kStopDuration) {
      this->EndAttempt(attempt, AttemptOutcome::Interrupted);
    }
  }
  this->now += std::chrono::milliseconds(25);
  std::ostringstream text;
  for (const Decision& decision : this->scheduler->Decide(this->now, 1000)) {
    if (const auto* start = std::get_if<StartDecision>(&decision)) {
      text << "start " << ToString(start->attempt) << " " << start->worker << "\n";
      this->OnStart(*start);
    } else if (const auto* stop = std::get_if<StopDecision>(&decision)) {
      text << "stop " << ToString(stop->attempt) << "\n";
      if (!this->running.contains(stop->attempt)) {
        this->RecordViolation("stop of an attempt that does not run");
      }
      this->running[stop->attempt].isStopping = true;
      this->running[stop->attempt].stopRequestedAt = this->now;
    } else if (const auto* throttle = std::get_if<ThrottleDecision>(&decision)) {
      text << "throttle " << ToString(throttle->attempt) << " " << throttle->limit.milliCores
           << "\n";
      RunningAttempt& entry = this->running[throttle->attempt];
      entry.limit = throttle->limit;
      entry.appliedLimit.milliCores =
        std::max(entry.appliedLimit.milliCores, entry.limit.milliCores);
      entry.appliedLimit.memoryMiB = std::max(entry.appliedLimit.memoryMiB, entry.limit.memoryMiB);
      entry.reducedAt = this->now;
    } else if (const auto* done = std::get_if<JobFinishedDecision>(&decision)) {
      text << "finished " << done->job << " " << static_cast<int>(done->state) << "\n";
      if (!this->finished.insert(done->job).second) {
        this->RecordViolation("job finished twice");
      }
    }
  }
  this->trace += text.str();
  this->CheckInvariants();
}

void RandomScenario::OnStart(const StartDecision& aStart)
{
  TaskId task = aStart.attempt.task;
  const WorkerDescription& worker = this->workers[aStart.worker];
  std::string name = ToString(aStart.attempt);
  for (const auto& [attempt, entry] : this->running) {
    if (attempt.task == task) {
      this->RecordViolation("two attempts of a task: " + name);
    }
  }
  if (this->succeeded.contains(task) || this->unknownOutcomes.contains(task)) {
    this->RecordViolation("start of a task that has succeeded or has an unknown outcome: " + name);
  }
  if (worker.health != WorkerHealth::Live || this->drained.contains(worker.failureDomain)) {
    this->RecordViolation("start on a worker that is out of service: " + name);
  }
  this->attempts[task] = aStart.attempt.attempt;
  this->running[aStart.attempt] = { aStart.worker, aStart.limit, aStart.limit, {},
                                    this->now,     {},           false };
  const TeamPolicy& policy = this->teams[this->jobs[task.job].team];
  auto [used, count] = this->UsedBy(policy.name, true);
  bool exceedsCeiling =
    (aStart.limit.milliCores > 0 && used.milliCores > policy.ceiling.milliCores) ||
    (aStart.limit.memoryMiB > 0 && used.memoryMiB > policy.ceiling.memoryMiB) ||
    (aStart.limit.accelerators > 0 && used.accelerators > policy.ceiling.accelerators);
  if (exceedsCeiling || count > policy.maxRunningTasks) {
    this->RecordViolation("start above the team's ceiling: " + name);
  }
}

std::pair<Resources, std::uint32_t> RandomScenario::UsedBy(const TeamName& aTeam,
                                                           bool aIncludeStopping) const
{
  Resources used;
  std::uint32_t count = 0;
  for (const auto& [attempt, entry] : this->running) {
    if (this->jobs.at(attempt.task.job).team == aTeam && (aIncludeStopping || !entry.isStopping)) {
      used += entry.appliedLimit;
      ++count;
    }
  }
  return { used, count };
}

void RandomScenario::CheckInvariants()
{
  std::map<WorkerId, Resources> byWorker;
  std::map<JobNumber, std::uint32_t> byGang;
  for (const auto& [attempt, entry] : this->running) {
    byWorker[entry.worker] += entry.appliedLimit;
    if (this->jobs[attempt.task.job].workClass == WorkClass::Gang && !entry.isStopping) {
      ++byGang[attempt.task.job];
    }
  }
  for (const auto& [worker, sum] : byWorker) {
    if (!sum.FitsIn(this->workers[worker].capacity)) {
      this->RecordViolation("worker " + worker + " is committed beyond its capacity");
    }
    if (!sum.FitsIn(this->scheduler->Committed(worker))) {
      this->RecordViolation("worker " + worker + " runs more than the scheduler has committed");
    }
  }
  for (const auto& [name, policy] : this->teams) {
    auto [used, count] = this->UsedBy(name, false);
    if (!used.FitsIn(policy.ceiling) || count > policy.maxRunningTasks) {
      this->RecordViolation("team " + name + " keeps work above its ceiling");
    }
  }
  for (const auto& [job, count] : byGang) {
    std::uint32_t done = 0;
    for (const TaskId& task : this->succeeded) {
      done += task.job == job ? 1 : 0;
    }
    if (count + done != this->jobs[job].taskCount) {
      this->RecordViolation("gang " + std::to_string(job) + " runs only in part");
    }
  }
}

void RandomScenario::CancelServices(const std::set<JobNumber>& aStarted, bool aIsLate)
{
  std::set<TeamName> teamsWithOpenJobs;
  for (const auto& [number, spec] : this->jobs) {
    if (spec.workClass != WorkClass::Service && !this->finished.contains(number)) {
      teamsWithOpenJobs.insert(spec.team);
    }
  }
  for (JobNumber number : aStarted) {
    const JobSpec& spec = this->jobs[number];
    // A team's own services may keep its other jobs waiting; services of other teams must not.
    bool mustCancel =
      teamsWithOpenJobs.empty() || (aIsLate && teamsWithOpenJobs.contains(spec.team));
    if (spec.workClass == WorkClass::Service && mustCancel) {
      (void)this->scheduler->CancelJob(number, this->now);
    }
  }
}

void RandomScenario::RunToCompletion()
{
  this->drained.clear();
  this->scheduler->SetDrainedFailureDomains({}, this->now);
  for (auto& [id, worker] : this->workers) {
    worker.health = WorkerHealth::Live;
    this->scheduler->UpdateWorker(worker, this->now);
  }
  for (auto& [name, policy] : this->teams) {
    policy.ceiling = kLargeCeiling;
    policy.maxRunningTasks = 1000;
  }
  this->ChangeTeams(0);
  TimePoint begin = this->now;
  Duration bound = Duration::zero();
  for (const auto& [number, spec] : this->jobs) {
    bound += kMaxWaitPerJob + kTaskRunTime * static_cast<int>(spec.taskCount);
  }
  TimePoint end = begin + bound;
  std::set<JobNumber> started;
  while (this->finished.size() < this->jobs.size() && this->now < end) {
    auto copy = this->running;
    for (const auto& [attempt, entry] : copy) {
      started.insert(attempt.task.job);
      bool isService = this->jobs[attempt.task.job].workClass == WorkClass::Service;
      if (!isService && this->now - entry.startedAt >= kTaskRunTime) {
        this->EndAttempt(attempt, AttemptOutcome::Succeeded);
      }
    }
    this->CancelServices(started, this->now - begin > bound / 2);
    this->now += std::chrono::milliseconds(475);
    this->Decide();
  }
  for (const auto& [number, spec] : this->jobs) {
    if (!this->finished.contains(number)) {
      auto reason = this->scheduler->Explain(number, this->now);
      this->RecordViolation("job " + std::to_string(number) + " starved: " +
                            (reason ? reason->code + ", " + reason->message : "no reason given"));
    }
  }
}

} // namespace daisydrift::test
