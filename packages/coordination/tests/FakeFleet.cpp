#include "FakeFleet.h"

namespace daisydrift {

namespace {
constexpr std::chrono::milliseconds kNetworkDelay{ 1 };
constexpr std::chrono::milliseconds kNoResponseTimeout{ 400 };
/// Time that the platform adapter adds to the wait of a poll.
constexpr std::chrono::milliseconds kPollTimeout{ 200 };
constexpr std::chrono::milliseconds kPollStep{ 10 };
constexpr std::chrono::seconds kLateStartDelay{ 2 };
/// Time for which a member of a gang waits for the others.
constexpr std::chrono::milliseconds kGangTimeout{ 3000 };
constexpr std::size_t kTasksPerWorker = 4;
constexpr const char* kPrefix = "workers/";
/// Value of a worker's entry; any other is odd.
constexpr const char* kEntry = "{}";
constexpr const char* kDrainingEntry = "{\"draining\":true}";
} // namespace

std::optional<WorkerListing> ParseFakeWorker(const std::string& aKey, const std::string& aValue)
{
  if (aValue != kEntry && aValue != kDrainingEntry) {
    return std::nullopt;
  }
  WorkerListing listing;
  listing.isDraining = aValue == kDrainingEntry;
  listing.id = aKey.substr(std::string_view(kPrefix).size());
  listing.service = "desk";
  listing.endpoint = { "10.0.0.1", 80 };
  listing.domain = "north";
  listing.rack = "r1";
  listing.labels = { "a", "r1" };
  listing.capacity = { 4000, 64000, 0 };
  listing.incarnation = 1;
  return listing;
}

FakeFleet::FakeFleet(VirtualLoop& aLoop)
  : loop(aLoop)
{
  this->CheckLeases();
}

void FakeFleet::AddWorker(InMemoryStore& aStore, const WorkerId& aId)
{
  this->workers[aId];
  aStore.Put(kPrefix + aId, kEntry);
}

void FakeFleet::Drain(InMemoryStore& aStore, const WorkerId& aId)
{
  aStore.Put(kPrefix + aId, kDrainingEntry);
}

void FakeFleet::Kill(const WorkerId& aId)
{
  this->Restart(aId);
  this->workers[aId].isDown = true;
}

void FakeFleet::Restart(const WorkerId& aId)
{
  // The other members of a gang notice the loss. Ended here, before the worker forgets its runs.
  std::map<TaskName, Run> lost = this->workers[aId].running;
  for (const auto& [task, run] : lost) {
    if (run.isMember) {
      this->EndRun(aId, task, run.id, RunOutcome::GangBroken);
    }
  }
  std::int64_t incarnation = this->workers[aId].incarnation + 1;
  this->workers[aId] = {};
  this->workers[aId].incarnation = incarnation;
}

std::size_t FakeFleet::CountRuns(const TaskName& aTask) const
{
  std::size_t count = 0;
  for (const auto& [id, worker] : this->workers) {
    count += worker.running.count(aTask);
  }
  return count;
}

void FakeFleet::SetUnreachable(const WorkerId& aId, bool aIsUnreachable)
{
  this->workers[aId].isUnreachable = aIsUnreachable;
}

void FakeFleet::SetRefusing(const WorkerId& aId, bool aIsRefusing)
{
  this->workers[aId].isUnreachable = aIsRefusing;
  this->workers[aId].isRefusing = aIsRefusing;
}

Errc FakeFleet::FailureOf(const WorkerId& aId) const
{
  return this->workers.at(aId).isRefusing ? Errc::Unreachable : Errc::OutcomeUnknown;
}

Duration FakeFleet::FailureDelay(const WorkerId& aId) const
{
  return this->workers.at(aId).isRefusing ? kNetworkDelay : kNoResponseTimeout;
}

bool FakeFleet::IsReachable(const WorkerId& aId) const
{
  const Worker& worker = this->workers.at(aId);
  return !worker.isDown && !worker.isUnreachable;
}

std::chrono::milliseconds FakeFleet::Clock() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(this->loop.Now().time_since_epoch());
}

void FakeFleet::ExtendLease(Worker& aWorker, std::chrono::milliseconds aLease)
{
  auto longest = std::chrono::duration_cast<std::chrono::milliseconds>(this->maxLease);
  std::chrono::milliseconds lease = std::min(aLease, this->Clock() + longest);
  aWorker.leaseEnd = std::max(aWorker.leaseEnd, TimePoint(lease));
}

void FakeFleet::CheckLeases()
{
  for (auto& [id, worker] : this->workers) {
    std::vector<std::pair<TaskName, std::uint64_t>> expired;
    for (const auto& [task, run] : worker.running) {
      if (this->loop.Now() > worker.leaseEnd) {
        expired.emplace_back(task, run.id);
      }
    }
    for (const auto& [task, run] : expired) {
      this->EndRun(id, task, run, RunOutcome::LeaseExpired);
    }
  }
  this->loop.After(kPollStep, [this] { this->CheckLeases(); });
}

void FakeFleet::StartRun(const WorkerId& aId, const StartCommand& aCommand)
{
  Worker& worker = this->workers[aId];
  std::string name = aCommand.task.job + "." + std::to_string(aCommand.task.index);
  for (const auto& [other, state] : this->workers) {
    if (state.running.count(aCommand.task) != 0) {
      this->violations.push_back("two runs of " + name + " at once");
    }
  }
  if (this->acknowledgedSuccesses.count(aCommand.task) != 0) {
    this->violations.push_back(name + " ran again after its success was acknowledged");
  }
  if (worker.running.size() >= kTasksPerWorker) {
    this->violations.push_back(aId + " is overcommitted");
  }
  ++this->startedRuns;
  std::uint64_t id = this->nextRunId++;
  bool isMember = this->gangSize && this->gangSize(aCommand.task) > 0;
  worker.running[aCommand.task] = { aCommand.run, id, isMember };
  if (isMember) {
    this->StartMember(aId, aCommand, id);
    return;
  }
  std::pair<std::optional<Duration>, RunOutcome> plan{ this->runTime, this->outcome };
  if (this->planRun) {
    plan = this->planRun(aCommand);
  }
  if (plan.first) {
    this->loop.After(*plan.first, [this, aId, task = aCommand.task, id, end = plan.second] {
      this->EndRun(aId, task, id, end);
    });
  }
}

void FakeFleet::ForGang(
  const TaskName& aTask,
  RunNumber aRun,
  const std::function<void(const WorkerId&, const TaskName&, std::uint64_t)>& aAction)
{
  std::vector<std::tuple<WorkerId, TaskName, std::uint64_t>> members;
  for (const auto& [id, worker] : this->workers) {
    for (const auto& [task, run] : worker.running) {
      if (task.job == aTask.job && task.occurrence == aTask.occurrence && task.step == aTask.step &&
          run.run == aRun) {
        members.emplace_back(id, task, run.id);
      }
    }
  }
  for (const auto& [id, task, run] : members) {
    aAction(id, task, run);
  }
}

void FakeFleet::StartMember(const WorkerId& aId, const StartCommand& aCommand, std::uint64_t aRunId)
{
  std::uint32_t present = 0;
  this->ForGang(aCommand.task, aCommand.run, [&](const WorkerId&, const TaskName&, std::uint64_t) {
    ++present;
  });
  if (present < this->gangSize(aCommand.task)) {
    this->loop.After(kGangTimeout, [this, aId, aCommand, aRunId] {
      std::uint32_t left = 0;
      this->ForGang(aCommand.task,
                    aCommand.run,
                    [&left](const WorkerId&, const TaskName&, std::uint64_t) { ++left; });
      if (left < this->gangSize(aCommand.task)) {
        this->EndRun(aId, aCommand.task, aRunId, RunOutcome::GangIncomplete);
      }
    });
    return;
  }
  std::pair<std::optional<Duration>, RunOutcome> plan{ this->runTime, this->outcome };
  if (this->planRun) {
    plan = this->planRun(aCommand);
  }
  this->loop.After(
    plan.first.value_or(this->runTime), [this, aId, aCommand, aRunId, end = plan.second] {
      auto member = this->workers[aId].running.find(aCommand.task);
      if (member == this->workers[aId].running.end() || member->second.id != aRunId) {
        return;
      }
      if (end == RunOutcome::Succeeded) {
        this->ForGang(aCommand.task,
                      aCommand.run,
                      [this](const WorkerId& aWorker, const TaskName& aTask, std::uint64_t aRun) {
                        this->workers[aWorker].running[aTask].isMember = false;
                        this->EndRun(aWorker, aTask, aRun, RunOutcome::Succeeded);
                      });
      } else {
        this->EndRun(aId, aCommand.task, aRunId, end);
      }
    });
}

void FakeFleet::EndRun(const WorkerId& aId,
                       const TaskName& aTask,
                       std::uint64_t aRunId,
                       RunOutcome aOutcome)
{
  Worker& worker = this->workers[aId];
  auto run = worker.running.find(aTask);
  if (run == worker.running.end() || run->second.id != aRunId) {
    return;
  }
  worker.highestEndedRun[aTask] = run->second.run;
  worker.completions.push_back(
    { worker.nextCompletionNumber++, aTask, run->second.run, aOutcome, "" });
  Run ended = run->second;
  worker.running.erase(run);
  this->successes[aTask] += aOutcome == RunOutcome::Succeeded ? 1 : 0;
  this->failures[aTask] += aOutcome == RunOutcome::Failed ? 1 : 0;
  if (ended.isMember) {
    this->ForGang(
      aTask,
      ended.run,
      [this](const WorkerId& aWorker, const TaskName& aMember, std::uint64_t aMemberRun) {
        this->workers[aWorker].running[aMember].isMember = false;
        this->EndRun(aWorker, aMember, aMemberRun, RunOutcome::GangBroken);
      });
  }
}

void FakeFleet::Start(const WorkerListing& aWorker,
                      const StartCommand& aCommand,
                      std::chrono::milliseconds aLease,
                      Epoch aFencingToken,
                      std::function<void(StartResult, bool)> aDone)
{
  StartFault fault = this->startFault ? this->startFault(aCommand) : StartFault::None;
  if (!this->IsReachable(aWorker.id)) {
    StartResult result =
      this->workers[aWorker.id].isRefusing ? StartResult::NotSent : StartResult::Unknown;
    this->loop.After(this->FailureDelay(aWorker.id), [result, aDone] { aDone(result, false); });
    return;
  }
  std::int64_t incarnation = this->workers[aWorker.id].incarnation;
  auto execute = [this, id = aWorker.id, aCommand, aLease, aFencingToken, incarnation] {
    Worker& worker = this->workers[id];
    if (worker.incarnation != incarnation && !this->reachesNextIncarnation) {
      return StartResult::IncarnationMismatch; // The connection ended with the process.
    }
    if (worker.isDown || aFencingToken < worker.fencingToken) {
      return StartResult::Unhealthy;
    }
    worker.fencingToken = aFencingToken;
    this->ExtendLease(worker, aLease);
    auto running = worker.running.find(aCommand.task);
    if (running != worker.running.end() && running->second.run == aCommand.run) {
      return StartResult::Accepted;
    }
    auto highestEndedRun = worker.highestEndedRun.find(aCommand.task);
    if (highestEndedRun != worker.highestEndedRun.end() &&
        aCommand.run <= highestEndedRun->second) {
      return StartResult::Superseded;
    }
    if (aLease < this->Clock()) {
      return StartResult::TooLate;
    }
    this->StartRun(id, aCommand);
    return StartResult::Accepted;
  };
  if (fault == StartFault::AppliedLate) {
    this->loop.After(kLateStartDelay, [execute] { execute(); });
  }
  if (fault == StartFault::ResponseLost) {
    this->loop.After(kNetworkDelay, [execute] { execute(); });
  }
  if (fault != StartFault::None) {
    this->loop.After(kNoResponseTimeout, [aDone] { aDone(StartResult::Unknown, false); });
    return;
  }
  this->loop.After(kNetworkDelay, [this, id = aWorker.id, aFencingToken, execute, aDone] {
    bool isFenced = aFencingToken < this->workers[id].fencingToken;
    aDone(execute(), isFenced);
  });
}

void FakeFleet::Stop(const WorkerListing& aWorker,
                     const StopCommand& aCommand,
                     Epoch aFencingToken,
                     std::function<void(std::error_code)> aDone)
{
  if (this->onStop) {
    this->onStop();
  }
  if (!this->IsReachable(aWorker.id)) {
    this->loop.After(this->FailureDelay(aWorker.id), [error = this->FailureOf(aWorker.id), aDone] {
      aDone(make_error_code(error));
    });
    return;
  }
  this->loop.After(kNetworkDelay, [this, id = aWorker.id, aCommand, aFencingToken, aDone] {
    Worker& worker = this->workers[id];
    if (aFencingToken < worker.fencingToken) {
      aDone(make_error_code(Errc::Fenced));
      return;
    }
    worker.highestEndedRun[aCommand.task] =
      std::max(worker.highestEndedRun[aCommand.task], aCommand.run);
    auto run = worker.running.find(aCommand.task);
    if (run != worker.running.end() && run->second.run == aCommand.run) {
      this->EndRun(id, aCommand.task, run->second.id, RunOutcome::Stopped);
    }
    aDone({});
  });
}

void FakeFleet::Throttle(const WorkerListing&,
                         const ThrottleCommand&,
                         Epoch,
                         std::function<void(std::error_code)> aDone)
{
  this->loop.After(kNetworkDelay, [aDone] { aDone({}); });
}

void FakeFleet::Poll(const WorkerListing& aWorker,
                     const PollRequest& aRequest,
                     Epoch aFencingToken,
                     std::function<void(const Result<WorkerReport>&)> aDone)
{
  if (!this->IsReachable(aWorker.id)) {
    this->loop.After(this->FailureDelay(aWorker.id),
                     [error = this->FailureOf(aWorker.id), aDone] { aDone(error); });
    return;
  }
  bool isLost = this->isPollResponseLost && this->isPollResponseLost(aWorker.id);
  if (isLost) {
    this->loop.After(aRequest.wait + kPollTimeout, [aDone] { aDone(Errc::OutcomeUnknown); });
  }
  this->loop.After(kNetworkDelay, [this, id = aWorker.id, aRequest, aFencingToken, isLost, aDone] {
    Worker& worker = this->workers[id];
    if (aFencingToken < worker.fencingToken) {
      aDone(Errc::Fenced);
      return;
    }
    worker.fencingToken = aFencingToken;
    if (aRequest.lease) {
      this->ExtendLease(worker, *aRequest.lease);
    }
    for (const RunCompletion& completion : worker.completions) {
      if (completion.number <= aRequest.lastCompletion &&
          completion.outcome == RunOutcome::Succeeded) {
        this->acknowledgedSuccesses.insert(completion.task);
      }
    }
    std::erase_if(worker.completions, [&](const RunCompletion& aCompletion) {
      return aCompletion.number <= aRequest.lastCompletion;
    });
    if (!isLost) {
      this->AnswerPoll(id, worker.incarnation, aRequest, this->loop.Now() + aRequest.wait, aDone);
    }
  });
}

void FakeFleet::AnswerPoll(const WorkerId& aId,
                           std::int64_t aIncarnation,
                           const PollRequest& aRequest,
                           TimePoint aUntil,
                           std::function<void(const Result<WorkerReport>&)> aDone)
{
  Worker& worker = this->workers[aId];
  if (!this->IsReachable(aId) || worker.incarnation != aIncarnation) {
    aDone(Errc::OutcomeUnknown);
    return;
  }
  if (worker.completions.empty() && this->loop.Now() < aUntil) {
    this->loop.After(kPollStep, [this, aId, aIncarnation, aRequest, aUntil, aDone] {
      this->AnswerPoll(aId, aIncarnation, aRequest, aUntil, aDone);
    });
    return;
  }
  WorkerReport report;
  report.incarnation = worker.incarnation;
  report.clock = this->Clock();
  report.completions = worker.completions;
  if (report.completions.size() >= this->maxCompletionsPerReport) {
    report.completions.resize(this->maxCompletionsPerReport);
    report.hasAllCompletions = false;
  }
  for (const auto& [task, run] : worker.running) {
    RunningTask running;
    running.task = task;
    running.run = run.run;
    running.percent = 50;
    report.running.push_back(running);
  }
  aDone(report);
}

} // namespace daisydrift
