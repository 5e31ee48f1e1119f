#include "RegionSimulation.h"

#include <algorithm>

namespace daisydrift {

namespace {

using namespace std::chrono_literals;

constexpr Resources kWorkerCapacity{ 4000, 4096, 0 };
constexpr Resources kTaskSize{ 1000, 1024, 0 };
constexpr std::uint32_t kTeamTasks = 16;
constexpr const char* kRegion = "r";
constexpr const char* kTeam = "team";

ConfigDocument MakeConfig()
{
  ConfigDocument config;
  config.version = 1;
  TeamEntry team;
  team.name = kTeam;
  team.ceiling = { 16'000, 16'384, 0 };
  team.maxRunningTasks = kTeamTasks;
  config.teams[kTeam] = team;
  config.failureDomains["d"] = { "d", kRegion, false };
  return config;
}

} // namespace

RegionSimulation::RegionSimulation(RegionSimulationOptions aOptions)
  : options(aOptions)
  , generator(aOptions.seed)
  , store(this->clock)
  , fleet(this->clock)
  , config(MakeConfig())
{
  for (unsigned i = 0; i < this->options.workers; ++i) {
    InstanceInfo info;
    info.id = "w" + std::to_string(i);
    info.endpoint = { "127.0.0.1", static_cast<std::uint16_t>(1000 + i) };
    info.failureDomain = "d";
    info.region = kRegion;
    info.rack = "rack";
    this->instances.push_back(info);
    WorkerModel& worker = this->fleet.Add(info.endpoint, kWorkerCapacity);
    worker.SetBehaviour([this](const AttemptId& aAttempt, const std::string&) {
      TaskBehaviour behaviour;
      behaviour.runTime = std::chrono::milliseconds(200 + this->Random(6000));
      // A task fails at most once, since a job that fails on three workers is failed by policy.
      behaviour.succeeds = aAttempt.attempt != 1 || this->Random(8) != 0;
      return behaviour;
    });
  }
  this->fleet.SetFaultHook([this](const Endpoint& aEndpoint) {
    if (this->areFaultsDisabled) {
      return WorkerFault::None;
    }
    if (this->unreachable.contains(aEndpoint)) {
      return WorkerFault::Unreachable;
    }
    return this->options.hasWorkerFaults && this->Random(12) == 0 ? WorkerFault::ResponseLost
                                                                  : WorkerFault::None;
  });
  this->store.SetFaultHook([this](const std::string&, const std::string&) {
    if (!this->isStoreFaulty || this->areFaultsDisabled) {
      return StoreFault::None;
    }
    constexpr StoreFault kFaults[] = { StoreFault::Unreachable,
                                       StoreFault::ResponseLost,
                                       StoreFault::RequestLost,
                                       StoreFault::Overloaded,
                                       StoreFault::None };
    return kFaults[this->Random(5)];
  });
}

unsigned RegionSimulation::Random(unsigned aBound)
{
  return static_cast<unsigned>(this->generator() % aBound);
}

void RegionSimulation::Elect()
{
  Epoch epoch = this->leaders.size() + 1;
  std::string writer = "leader-" + std::to_string(epoch);
  Result<RegionOwnership> ownership = TakeOver(this->store, kRegion, epoch, writer);
  for (unsigned attempts = 0; !ownership && attempts < 20; ++attempts) {
    ownership = TakeOver(this->store, kRegion, epoch, writer);
  }
  if (!ownership) {
    return;
  }
  if (!this->leaders.empty()) {
    this->leaders.back().canRenewUntil =
      this->clock.Now() + std::chrono::milliseconds(this->Random(5000));
  }
  std::size_t index = this->leaders.size();
  this->leaders.push_back({ nullptr, epoch, std::nullopt });
  RegionLeaderOptions leaderOptions;
  leaderOptions.region = kRegion;
  leaderOptions.epoch = epoch;
  leaderOptions.writer = writer;
  this->leaders.back().regionLeader = std::make_unique<RegionLeader>(leaderOptions,
                                                                     this->HooksFor(index),
                                                                     std::move(*ownership),
                                                                     this->config,
                                                                     this->instances,
                                                                     this->clock.Now());
}

RegionLeaderHooks RegionSimulation::HooksFor(std::size_t aLeader)
{
  RegionLeaderHooks hooks;
  hooks.beginSync = [this, aLeader](const WorkerId& aWorker,
                                    const Endpoint& aEndpoint,
                                    const SyncRequest& aRequest) {
    unsigned delay = this->areFaultsDisabled ? 1
                     : this->Random(10) == 0 ? this->Random(8000)
                                             : this->Random(20);
    this->exchanges.push_back({ aLeader,
                                aWorker,
                                aEndpoint,
                                aRequest,
                                this->clock.Now() + std::chrono::milliseconds(delay) });
  };
  hooks.canRenewTaskLeases = [this, aLeader] {
    const auto& until = this->leaders[aLeader].canRenewUntil;
    return !until || this->clock.Now() < *until;
  };
  hooks.havePredecessorLeasesExpired = [this, aLeader] {
    return this->HavePredecessorLeasesExpired(aLeader);
  };
  hooks.wallSeconds = [this] {
    return std::chrono::duration_cast<std::chrono::seconds>(this->clock.Now().time_since_epoch())
      .count();
  };
  return hooks;
}

bool RegionSimulation::HavePredecessorLeasesExpired(std::size_t aLeader) const
{
  for (std::size_t i = 0; i < aLeader; ++i) {
    if (this->clock.Now() < *this->leaders[i].canRenewUntil + kLeaseExpiryBound) {
      return false;
    }
  }
  return true;
}

void RegionSimulation::Run()
{
  this->Elect();
  for (unsigned i = 0; i < this->options.steps; ++i) {
    this->PerformRandomAction();
    this->clock.Advance(
      std::chrono::milliseconds(this->Random(10) == 0 ? this->Random(3000) : this->Random(40)));
    this->DeliverDueExchanges();
    this->StepAll();
  }
  this->DisableFaults();
  for (unsigned i = 0; i < 40'000 && !this->AllJobsFinished(); ++i) {
    this->clock.Advance(25ms);
    this->DeliverDueExchanges();
    this->StepAll();
  }
}

void RegionSimulation::PerformRandomAction()
{
  switch (this->Random(24)) {
    case 0:
    case 1:
    case 2:
      this->SubmitJob();
      return;
    case 3:
      this->CancelJob();
      return;
    case 4:
      if (this->options.hasTakeovers && this->Random(3) == 0 && this->leaders.size() < 6) {
        this->Elect();
      }
      return;
    case 5:
      if (this->options.hasWorkerFaults && this->Random(2) == 0) {
        this->RestartWorker();
      }
      return;
    case 6:
      if (this->options.hasWorkerFaults) {
        const Endpoint& endpoint = this->instances[this->Random(this->options.workers)].endpoint;
        if (!this->unreachable.erase(endpoint)) {
          this->unreachable.insert(endpoint);
        }
      }
      return;
    case 7:
      this->isStoreFaulty = this->options.hasStoreFaults && !this->isStoreFaulty;
      return;
    default:
      return;
  }
}

void RegionSimulation::SubmitJob()
{
  if (this->leaders.empty()) {
    return;
  }
  AcceptedJob job;
  job.isGang = this->Random(4) == 0;
  job.isRepeatable = this->Random(3) != 0;
  job.tasks = 1 + this->Random(6);
  std::string body = R"({"name": "n)" + std::to_string(this->submissions) + R"(", "class": ")" +
                     (job.isGang ? "gang" : "batch") + R"(", "tasks": )" +
                     std::to_string(job.tasks) +
                     R"(, "size": {"milli_cores": 1000, "memory_mib": 1024}, "repeatable": )" +
                     (job.isRepeatable ? "true" : "false") + R"(, "max_failures": 100})";
  SubmitCall call;
  call.team = kTeam;
  call.idempotencyKey = "key-" + std::to_string(this->submissions++);
  call.body = body;
  call.deadline = this->clock.Now() + 5s;
  call.reply = [this, job](const SubmitReply& aReply) mutable {
    if (!aReply.error) {
      job.job = aReply.job;
      this->acceptedJobs.push_back(job);
    }
  };
  // Sometimes the call goes to a superseded leader.
  std::size_t leader = this->Random(5) == 0
                         ? this->Random(static_cast<unsigned>(this->leaders.size()))
                         : this->leaders.size() - 1;
  this->leaders[leader].regionLeader->Submit(std::move(call), this->clock.Now());
}

void RegionSimulation::CancelJob()
{
  if (this->acceptedJobs.empty() || this->Random(3) != 0) {
    return;
  }
  std::size_t index = this->Random(static_cast<unsigned>(this->acceptedJobs.size()));
  // The job counts as cancelled from the request on, which may take effect without a reply.
  this->acceptedJobs[index].isCancelled = true;
  this->leaders.back().regionLeader->Cancel(
    { this->acceptedJobs[index].job }, this->clock.Now() + 5s, [](std::error_code, std::size_t) {});
}

void RegionSimulation::DeliverDueExchanges()
{
  std::deque<Exchange> due;
  std::erase_if(this->exchanges, [&](const Exchange& aExchange) {
    bool isDue = aExchange.due <= this->clock.Now();
    if (isDue) {
      due.push_back(aExchange);
    }
    return isDue;
  });
  for (const Exchange& exchange : due) {
    this->Deliver(exchange);
  }
}

void RegionSimulation::Deliver(const Exchange& aExchange)
{
  Result<SyncReport> report = this->fleet.Sync(aExchange.endpoint, aExchange.request, 1s);
  this->leaders[aExchange.leader].regionLeader->OnSyncResult(
    aExchange.worker, report, this->clock.Now());
}

void RegionSimulation::RestartWorker()
{
  const Endpoint& endpoint = this->instances[this->Random(this->options.workers)].endpoint;
  this->fleet.At(endpoint).Restart("restart-" + std::to_string(++this->restarts),
                                   this->clock.Now());
}

void RegionSimulation::StepAll()
{
  for (Leader& leader : this->leaders) {
    leader.regionLeader->ConfirmConfig(this->clock.Now());
    static_cast<void>(leader.regionLeader->Step(this->clock.Now()));
  }
}

void RegionSimulation::DisableFaults()
{
  this->areFaultsDisabled = true;
  this->unreachable.clear();
  // The last elected leader may have failed to take over because of store faults.
  this->Elect();
}

bool RegionSimulation::AllJobsFinished() const
{
  const RegionState& state = this->leaders.back().regionLeader->Commits().State();
  return std::all_of(
    this->acceptedJobs.begin(), this->acceptedJobs.end(), [&](const AcceptedJob& aJob) {
      const JobRecord* record = state.FindJob(aJob.job);
      return record != nullptr && record->isFinished;
    });
}

std::size_t RegionSimulation::StartCount() const
{
  std::size_t starts = 0;
  for (const InstanceInfo& info : this->instances) {
    for (const auto& entry :
         const_cast<FakeWorkerFleet&>(this->fleet).At(info.endpoint).History()) {
      starts += entry.kind == WorkerEventKind::Started && !entry.isResized ? 1 : 0;
    }
  }
  return starts;
}

std::vector<std::string> RegionSimulation::Check() const
{
  struct Run
  {
    AttemptId attempt;
    WorkerId worker;
    TimePoint start;
    TimePoint end = TimePoint::max();
    bool hasSucceeded = false;
  };
  std::vector<std::string> problems;
  std::map<TaskId, std::vector<Run>> runs;
  auto& workers = const_cast<FakeWorkerFleet&>(this->fleet);
  for (const InstanceInfo& info : this->instances) {
    WorkerModel& worker = workers.At(info.endpoint);
    if (!worker.PeakCommitment().FitsIn(kWorkerCapacity)) {
      const Resources& peak = worker.PeakCommitment();
      std::string text = "I1: worker " + info.id + " was committed to " +
                         std::to_string(peak.milliCores) + "m " + std::to_string(peak.memoryMiB) +
                         " MiB, beyond its capacity:";
      for (const WorkerHistoryEntry& entry : worker.History()) {
        text += " " + std::string(entry.kind == WorkerEventKind::Started ? "+" : "-") +
                ToString(entry.attempt) + "@" +
                std::to_string(entry.time.time_since_epoch().count() / 1000);
      }
      problems.push_back(text);
    }
    std::map<AttemptId, std::size_t> open;
    for (const WorkerHistoryEntry& entry : worker.History()) {
      if (entry.isResized) {
        continue;
      }
      auto& list = runs[entry.attempt.task];
      if (entry.kind == WorkerEventKind::Started) {
        open[entry.attempt] = list.size();
        list.push_back({ entry.attempt, info.id, entry.time });
      } else if (auto found = open.find(entry.attempt);
                 found != open.end() && entry.kind != WorkerEventKind::Checkpointed) {
        list[found->second].end = entry.time;
        list[found->second].hasSucceeded = entry.kind == WorkerEventKind::Succeeded;
        open.erase(found);
      }
    }
  }
  std::vector<std::pair<TimePoint, int>> changes;
  for (auto& [task, list] : runs) {
    std::sort(list.begin(), list.end(), [](const Run& aLeft, const Run& aRight) {
      return aLeft.start < aRight.start;
    });
    for (std::size_t i = 0; i < list.size(); ++i) {
      changes.emplace_back(list[i].start, 1);
      changes.emplace_back(list[i].end, -1);
      if (i > 0 && list[i].start < list[i - 1].end) {
        problems.push_back("I2: " + ToString(list[i].attempt) + " on " + list[i].worker +
                           " overlaps " + ToString(list[i - 1].attempt) + " on " +
                           list[i - 1].worker);
      }
    }
  }
  std::sort(changes.begin(), changes.end());
  int running = 0;
  for (const auto& [time, change] : changes) {
    running += change;
    if (running > static_cast<int>(kTeamTasks)) {
      problems.push_back("I4: " + std::to_string(running) + " tasks of the team ran at once");
      break;
    }
  }
  const RegionState& state = this->leaders.back().regionLeader->Commits().State();
  for (const AcceptedJob& job : this->acceptedJobs) {
    const JobRecord* record = state.FindJob(job.job);
    if (record == nullptr) {
      problems.push_back("accepted job " + std::to_string(job.job) + " is missing");
      continue;
    }
    if (!record->isFinished) {
      problems.push_back("accepted job " + std::to_string(job.job) + " never ended");
      continue;
    }
    auto finalState = static_cast<JobState>(record->finalState);
    bool canBeUnknown = !job.isRepeatable;
    if (!job.isCancelled && finalState != JobState::Succeeded &&
        !(canBeUnknown && finalState == JobState::OutcomeUnknown)) {
      problems.push_back("job " + std::to_string(job.job) + " ended as " + NameOf(finalState) +
                         ": " + record->reason);
    }
    for (std::uint32_t index = 0; index < job.tasks; ++index) {
      auto found = runs.find({ job.job, index });
      std::size_t completed = 0;
      if (found != runs.end()) {
        for (const Run& run : found->second) {
          completed += run.hasSucceeded ? 1 : 0;
        }
      }
      if (finalState == JobState::Succeeded && completed == 0) {
        problems.push_back("job " + std::to_string(job.job) +
                           " is reported as succeeded but task " + std::to_string(index) +
                           " never succeeded");
      }
      if (!job.isRepeatable && completed > 1) {
        std::string runsText;
        for (const Run& run : found->second) {
          runsText += " " + ToString(run.attempt) + "@" + run.worker + "[" +
                      std::to_string(run.start.time_since_epoch().count() / 1000) + "," +
                      std::to_string(run.end.time_since_epoch().count() / 1000) + "]";
        }
        problems.push_back("non-repeatable task succeeded twice:" + runsText);
      }
    }
  }
  return problems;
}

} // namespace daisydrift
