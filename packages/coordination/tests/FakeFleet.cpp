#include "FakeFleet.h"

namespace daisydrift {

namespace {
constexpr std::chrono::milliseconds kWay{ 1 };
constexpr std::chrono::milliseconds kNoAnswer{ 400 };
/// Time that the platform adapter adds to the wait of a poll.
constexpr std::chrono::milliseconds kLookTimeout{ 200 };
constexpr std::chrono::milliseconds kStep{ 10 };
constexpr std::chrono::seconds kLate{ 2 };
constexpr std::chrono::milliseconds kLongestLease{ 6000 };
constexpr std::size_t kTasksPerWorker = 4;
constexpr const char* kPrefix = "workers/";
} // namespace

std::optional<WorkerListing> FakeWorkerFrom(const std::string& aKey, const std::string&)
{
  WorkerListing listing;
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

void FakeFleet::AddWorker(MemoryStore& aStore, const WorkerId& aId)
{
  this->workers[aId];
  aStore.Put(kPrefix + aId, "{}");
}

void FakeFleet::Kill(const WorkerId& aId)
{
  this->workers[aId] = {};
  this->workers[aId].isDown = true;
}

void FakeFleet::Cut(const WorkerId& aId, bool aIsCut)
{
  this->workers[aId].isCut = aIsCut;
}

bool FakeFleet::IsReachable(const WorkerId& aId) const
{
  const Worker& worker = this->workers.at(aId);
  return !worker.isDown && !worker.isCut;
}

std::chrono::milliseconds FakeFleet::Clock() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(this->loop.Now().time_since_epoch());
}

void FakeFleet::ExtendLease(Worker& aWorker, std::chrono::milliseconds aLease)
{
  std::chrono::milliseconds lease = std::min(aLease, this->Clock() + kLongestLease);
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
      this->End(id, task, run, RunOutcome::LeaseExpired);
    }
  }
  this->loop.After(kStep, [this] { this->CheckLeases(); });
}

void FakeFleet::Begin(const WorkerId& aId, const StartOrder& aOrder)
{
  Worker& worker = this->workers[aId];
  std::string name = aOrder.task.job + "." + std::to_string(aOrder.task.index);
  for (const auto& [other, state] : this->workers) {
    if (state.running.count(aOrder.task) != 0) {
      this->violations.push_back("two runs of " + name + " at once");
    }
  }
  if (this->noted.count(aOrder.task) != 0) {
    this->violations.push_back(name + " ran again after its success was noted");
  }
  if (worker.running.size() >= kTasksPerWorker) {
    this->violations.push_back(aId + " is overcommitted");
  }
  ++this->begun;
  std::uint64_t id = this->nextRunId++;
  worker.running[aOrder.task] = { aOrder.run, id };
  this->loop.After(this->runTime, [this, aId, task = aOrder.task, id, how = this->outcome] {
    this->End(aId, task, id, how);
  });
}

void FakeFleet::End(const WorkerId& aId,
                    const TaskName& aTask,
                    std::uint64_t aRunId,
                    RunOutcome aOutcome)
{
  Worker& worker = this->workers[aId];
  auto run = worker.running.find(aTask);
  if (run == worker.running.end() || run->second.id != aRunId) {
    return;
  }
  worker.closed[aTask] = run->second.run;
  worker.ended.push_back({ worker.nextEnd++, aTask, run->second.run, aOutcome, "" });
  worker.running.erase(run);
  if (aOutcome == RunOutcome::Succeeded) {
    ++this->successes[aTask];
  }
}

void FakeFleet::Start(const WorkerListing& aWorker,
                      const StartOrder& aOrder,
                      std::chrono::milliseconds aLease,
                      Epoch aFence,
                      std::function<void(StartAnswer, bool)> aDone)
{
  StartFault fault = this->startFault ? this->startFault(aOrder) : StartFault::None;
  if (!this->IsReachable(aWorker.id)) {
    this->loop.After(kNoAnswer, [aDone] { aDone(StartAnswer::Unknown, false); });
    return;
  }
  auto carryOut = [this, id = aWorker.id, aOrder, aLease, aFence] {
    Worker& worker = this->workers[id];
    if (worker.isDown || aFence < worker.fence) {
      return StartAnswer::Unhealthy;
    }
    worker.fence = aFence;
    this->ExtendLease(worker, aLease);
    auto running = worker.running.find(aOrder.task);
    if (running != worker.running.end() && running->second.run == aOrder.run) {
      return StartAnswer::Accepted;
    }
    auto closed = worker.closed.find(aOrder.task);
    if (closed != worker.closed.end() && aOrder.run <= closed->second) {
      return StartAnswer::Superseded;
    }
    if (aLease < this->Clock()) {
      return StartAnswer::TooLate;
    }
    this->Begin(id, aOrder);
    return StartAnswer::Accepted;
  };
  if (fault == StartFault::DoneLate) {
    this->loop.After(kLate, [carryOut] { carryOut(); });
  }
  if (fault == StartFault::AnswerLost) {
    this->loop.After(kWay, [carryOut] { carryOut(); });
  }
  if (fault != StartFault::None) {
    this->loop.After(kNoAnswer, [aDone] { aDone(StartAnswer::Unknown, false); });
    return;
  }
  this->loop.After(kWay, [this, id = aWorker.id, aFence, carryOut, aDone] {
    bool isFenced = aFence < this->workers[id].fence;
    aDone(carryOut(), isFenced);
  });
}

void FakeFleet::Stop(const WorkerListing& aWorker,
                     const StopOrder& aOrder,
                     Epoch aFence,
                     std::function<void(std::error_code)> aDone)
{
  if (!this->IsReachable(aWorker.id)) {
    this->loop.After(kNoAnswer, [aDone] { aDone(make_error_code(Errc::OutcomeUnknown)); });
    return;
  }
  this->loop.After(kWay, [this, id = aWorker.id, aOrder, aFence, aDone] {
    Worker& worker = this->workers[id];
    if (aFence < worker.fence) {
      aDone(make_error_code(Errc::Fenced));
      return;
    }
    worker.closed[aOrder.task] = std::max(worker.closed[aOrder.task], aOrder.run);
    auto run = worker.running.find(aOrder.task);
    if (run != worker.running.end() && run->second.run == aOrder.run) {
      this->End(id, aOrder.task, run->second.id, RunOutcome::Stopped);
    }
    aDone({});
  });
}

void FakeFleet::Pace(const WorkerListing&,
                     const PaceOrder&,
                     Epoch,
                     std::function<void(std::error_code)> aDone)
{
  this->loop.After(kWay, [aDone] { aDone({}); });
}

void FakeFleet::Look(const WorkerListing& aWorker,
                     const LookRequest& aRequest,
                     Epoch aFence,
                     std::function<void(const Result<WorkerReport>&)> aDone)
{
  if (!this->IsReachable(aWorker.id)) {
    this->loop.After(kNoAnswer, [aDone] { aDone(Errc::OutcomeUnknown); });
    return;
  }
  bool isLost = this->isLookLost && this->isLookLost(aWorker.id);
  if (isLost) {
    this->loop.After(aRequest.wait + kLookTimeout, [aDone] { aDone(Errc::OutcomeUnknown); });
  }
  this->loop.After(kWay, [this, id = aWorker.id, aRequest, aFence, isLost, aDone] {
    Worker& worker = this->workers[id];
    if (aFence < worker.fence) {
      aDone(Errc::Fenced);
      return;
    }
    worker.fence = aFence;
    if (aRequest.lease) {
      this->ExtendLease(worker, *aRequest.lease);
    }
    for (const EndedTask& end : worker.ended) {
      if (end.number <= aRequest.lastEnd && end.outcome == RunOutcome::Succeeded) {
        this->noted.insert(end.task);
      }
    }
    std::erase_if(worker.ended,
                  [&](const EndedTask& aEnd) { return aEnd.number <= aRequest.lastEnd; });
    if (!isLost) {
      this->Answer(id, aRequest, this->loop.Now() + aRequest.wait, aDone);
    }
  });
}

void FakeFleet::Answer(const WorkerId& aId,
                       const LookRequest& aRequest,
                       TimePoint aUntil,
                       std::function<void(const Result<WorkerReport>&)> aDone)
{
  Worker& worker = this->workers[aId];
  if (!this->IsReachable(aId)) {
    aDone(Errc::OutcomeUnknown);
    return;
  }
  if (worker.ended.empty() && this->loop.Now() < aUntil) {
    this->loop.After(
      kStep, [this, aId, aRequest, aUntil, aDone] { this->Answer(aId, aRequest, aUntil, aDone); });
    return;
  }
  WorkerReport report;
  report.incarnation = 1;
  report.clock = this->Clock();
  report.ended = worker.ended;
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
