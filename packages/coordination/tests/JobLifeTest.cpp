// Random histories of jobs of all kinds with faults at every hand-over: no accepted job is lost,
// none fails or is cancelled without cause, and each request to an instance that does not end is
// answered. More histories:
//   RC_PARAMS="seed=1 max_success=5000" build/packages/coordination/coordination_JobLifeTest

#include "Cluster.h"

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <deque>

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class ActionKind
{
  SubmitBatch,
  SubmitBatchAgain,
  SubmitService,
  SubmitGang,
  SubmitTimed,
  Cancel,
  Query,
  KillLeader,
  KillInstance,
  StopLeader,
  PauseLeader,
  RefuseLeader,
  KillAll,
  StoreDown,
  StoreSilent,
  SlowStore,
  CommitFaults,
  StartFaults,
  LostPolls,
  LostWatches,
  LeaderUnreachable,
  PrefixUnreadable,
  CompactStore,
  WorkerUnreachable,
  WorkerRestarted,
  WorkerReplaced,
  RemoveQueue,
  AddQueue,
  RemoveTeam,
  CompactOften,
  LostReads,
  LostLeases,
  PeerFaults,
  LostPeerResponses,
  PauseInstance,
  InstanceStoreSilent,
  KillTwoLeaders,
  WorkerRebornTwice,
  Count
};

/// Time in which a worker's process ends and starts anew.
constexpr milliseconds kRestartTime{ 150 };

bool IsFinal(DispatchState aState)
{
  return aState != DispatchState::Queued && aState != DispatchState::Running;
}

/// One step of a history.
struct Action
{
  ActionKind kind = ActionKind::SubmitBatch;
  /// Time since the previous action.
  int delayMs = 0;
  /// Duration of a fault.
  int lengthMs = 0;
  /// Selects an instance, a job, a worker, or one call in so many.
  int selection = 0;
};

std::ostream& operator<<(std::ostream& aStream, const Action& aAction)
{
  return aStream << "{ kind " << static_cast<int>(aAction.kind) << " after " << aAction.delayMs
                 << " ms for " << aAction.lengthMs << " ms, selection " << aAction.selection
                 << " }";
}

rc::Gen<Action> ArbitraryAction()
{
  return rc::gen::build<Action>(
    rc::gen::set(
      &Action::kind,
      rc::gen::map(rc::gen::weightedOneOf<int>({
                     { 2, rc::gen::inRange(0, static_cast<int>(ActionKind::KillLeader)) },
                     { 3, rc::gen::inRange(0, static_cast<int>(ActionKind::Count)) },
                   }),
                   [](int aKind) { return static_cast<ActionKind>(aKind); })),
    rc::gen::set(&Action::delayMs,
                 rc::gen::weightedOneOf<int>(
                   { { 3, rc::gen::inRange(0, 20) }, { 2, rc::gen::inRange(0, 1200) } })),
    rc::gen::set(&Action::lengthMs,
                 rc::gen::weightedOneOf<int>(
                   { { 3, rc::gen::inRange(1, 600) }, { 1, rc::gen::inRange(600, 3500) } })),
    rc::gen::set(&Action::selection, rc::gen::inRange(0, 60)));
}

class JobLife : public Cluster
{
public:
  void TestBody() override {}

  void Play(const std::vector<Action>& aActions);

private:
  struct SubmittedJob
  {
    JobDefinition definition;
    bool isAccepted = false;
    /// Requests without a refusal, so that the job may run.
    int notRefused = 0;
    bool wasCancelSent = false;
    bool wasCancelAcknowledged = false;
  };

  /// A request to an instance.
  struct OpenRequest
  {
    std::string text;
    const FakeProcess* process = nullptr;
    bool isAnswered = false;
  };

  /// Notes a request about a job to an instance; the result is valid as long as this object.
  OpenRequest& AddRequest(const char* aKind, const JobId& aJob, int aInstance);
  void CheckRequestsAreAnswered();
  void Do(const Action& aAction);
  void SubmitJob(const Action& aAction, JobDefinition aJob);
  void Send(const Action& aAction, SubmittedJob& aJob);
  void QueryJob(int aInstance, const SubmittedJob& aJob);
  void RestartAfter(int aNumber, Duration aDelay);
  /// Ends the process that leads next.
  void KillNextLeader(Duration aRestartDelay, int aChecksLeft);
  void EndFaults();
  /// What the job lacks for a good end; empty for nothing.
  std::string Missing(SubmittedJob& aJob);
  bool MayHaveFailed(const SubmittedJob& aJob);

  JobDefinition Job(std::uint32_t aSteps, std::uint32_t aTasks);
  /// An instance that runs, or -1.
  int AnyInstance(int aSelection);
  SubmittedJob* AnyJob(int aSelection);

  std::map<JobId, SubmittedJob> jobs;
  std::deque<OpenRequest> requests;
  std::vector<std::string> faults;
  std::uint64_t configVersion = 1;
  std::size_t runs = 0;
  int services = 0;
};

JobDefinition JobLife::Job(std::uint32_t aSteps, std::uint32_t aTasks)
{
  JobDefinition job;
  job.id = "job" + std::to_string(this->jobs.size());
  job.queue = "queue";
  job.team = "team";
  job.acceptedAt = this->loop.WallClockNow();
  for (std::uint32_t number = 0; number < aSteps; ++number) {
    StepSpec step;
    step.taskCount = aTasks;
    step.size = { 1000, 100, 0 };
    step.estimate = milliseconds(400);
    if (number > 0) {
      step.dependencies.push_back(number - 1);
    }
    job.steps.push_back(step);
  }
  return job;
}

int JobLife::AnyInstance(int aSelection)
{
  if (this->instances.empty()) {
    return -1;
  }
  auto found = this->instances.begin();
  std::advance(found, aSelection % static_cast<int>(this->instances.size()));
  return found->first;
}

JobLife::SubmittedJob* JobLife::AnyJob(int aSelection)
{
  if (this->jobs.empty()) {
    return nullptr;
  }
  auto found = this->jobs.begin();
  std::advance(found, aSelection % static_cast<int>(this->jobs.size()));
  return &found->second;
}

JobLife::OpenRequest& JobLife::AddRequest(const char* aKind, const JobId& aJob, int aInstance)
{
  std::string text = std::string(aKind) + " of " + aJob + " at i" + std::to_string(aInstance);
  return this->requests.emplace_back(OpenRequest{ text, this->processes[aInstance].get() });
}

void JobLife::CheckRequestsAreAnswered()
{
  for (const OpenRequest& request : this->requests) {
    if (!request.isAnswered && request.process->state.isAlive) {
      this->faults.push_back(request.text + " got no answer");
    }
  }
}

void JobLife::SubmitJob(const Action& aAction, JobDefinition aJob)
{
  SubmittedJob& job = this->jobs[aJob.id];
  job.definition = std::move(aJob);
  this->Send(aAction, job);
}

void JobLife::Send(const Action& aAction, SubmittedJob& aJob)
{
  int instance = this->AnyInstance(aAction.selection / 4);
  // Without the queue the caller would get a 404.
  if (instance < 0 || this->instances[instance]->Config() == nullptr ||
      this->instances[instance]->Config()->policy.queues.count("queue") == 0) {
    return;
  }
  ++aJob.notRefused; // A killed instance never answers.
  OpenRequest& request = this->AddRequest("submission", aJob.definition.id, instance);
  this->instances[instance]->Submit(
    aJob.definition, milliseconds(2500), [&aJob, &request](SubmitOutcome aOutcome) {
      request.isAnswered = true;
      aJob.isAccepted = aJob.isAccepted || aOutcome == SubmitOutcome::Accepted;
      aJob.notRefused -= aOutcome == SubmitOutcome::Refused ? 1 : 0;
    });
}

void JobLife::QueryJob(int aInstance, const SubmittedJob& aJob)
{
  bool isAccepted = aJob.isAccepted;
  OpenRequest& request = this->AddRequest("query", aJob.definition.id, aInstance);
  this->instances[aInstance]->Query(
    aJob.definition.id,
    milliseconds(2500),
    [this, &aJob, &request, isAccepted](const Result<DispatchState>& aState) {
      request.isAnswered = true;
      if (isAccepted && !aState && aState.Error() == make_error_code(Errc::NotFound)) {
        this->faults.push_back(aJob.definition.id + " was accepted and is not known");
      }
      if (aState && *aState == DispatchState::Cancelled && !aJob.wasCancelSent) {
        this->faults.push_back(aJob.definition.id + " is cancelled without cause");
      }
      if (aState && *aState == DispatchState::Failed && !this->MayHaveFailed(aJob)) {
        this->faults.push_back(aJob.definition.id + " has failed without cause");
      }
    });
}

bool JobLife::MayHaveFailed(const SubmittedJob& aJob)
{
  constexpr std::uint32_t kMaxAttempts = 3;
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint32_t> failuresOfGang;
  for (const auto& [task, failures] : this->fleet.failures) {
    if (task.job != aJob.definition.id) {
      continue;
    }
    bool isGang = aJob.definition.steps[task.step].isGang;
    std::uint32_t& sum = failuresOfGang[{ task.occurrence, isGang ? 0 : task.index + 1 }];
    sum += failures;
    if (sum >= kMaxAttempts) {
      return true;
    }
  }
  return false;
}

void JobLife::RestartAfter(int aNumber, Duration aDelay)
{
  this->KillInstance(aNumber);
  this->loop.After(aDelay, [this, aNumber] {
    if (this->instances.count(aNumber) == 0) {
      this->StartInstance(aNumber);
    }
  });
}

void JobLife::KillNextLeader(Duration aRestartDelay, int aChecksLeft)
{
  constexpr milliseconds kCheckInterval{ 10 };
  int leader = this->LeaderNumber();
  if (leader >= 0) {
    this->RestartAfter(leader, aRestartDelay);
  } else if (aChecksLeft > 0) {
    this->loop.After(kCheckInterval, [this, aRestartDelay, aChecksLeft] {
      this->KillNextLeader(aRestartDelay, aChecksLeft - 1);
    });
  }
}

void JobLife::Do(const Action& aAction)
{
  milliseconds length(aAction.lengthMs);
  int leader = this->LeaderNumber();
  int oneIn = 2 + aAction.selection % 6;
  auto tasks = static_cast<std::uint32_t>(1 + aAction.selection % 4);
  WorkerId worker = "w" + std::to_string(aAction.selection % 4);
  switch (aAction.kind) {
    case ActionKind::SubmitBatch:
      this->SubmitJob(aAction, this->Job(1 + aAction.selection % 3, tasks));
      break;
    case ActionKind::SubmitBatchAgain:
      if (SubmittedJob* job = this->AnyJob(aAction.selection)) {
        this->Send(aAction, *job);
      }
      break;
    case ActionKind::SubmitService: {
      // A few only, so that there is room for all.
      if (this->services++ < 2) {
        JobDefinition job = this->Job(1, 1 + aAction.selection % 3);
        job.steps[0].isService = true;
        this->SubmitJob(aAction, job);
      }
      break;
    }
    case ActionKind::SubmitGang: {
      JobDefinition job = this->Job(1, 2 + aAction.selection % 3);
      job.steps[0].isGang = true;
      this->SubmitJob(aAction, job);
      break;
    }
    case ActionKind::SubmitTimed: {
      JobDefinition job = this->Job(1 + aAction.selection % 2, 1 + aAction.selection % 2);
      job.occurrences = static_cast<std::uint32_t>(1 + aAction.selection % 3);
      job.firstDue = this->loop.WallClockNow() + length;
      job.interval = milliseconds(700);
      this->SubmitJob(aAction, job);
      break;
    }
    case ActionKind::Cancel: {
      SubmittedJob* job = this->AnyJob(aAction.selection);
      int instance = this->AnyInstance(aAction.selection / 4);
      if (job != nullptr && instance >= 0) {
        job->wasCancelSent = true;
        OpenRequest& request = this->AddRequest("cancellation", job->definition.id, instance);
        this->instances[instance]->Cancel(
          job->definition.id, milliseconds(2500), [job, &request](std::error_code aError) {
            request.isAnswered = true;
            job->wasCancelAcknowledged = job->wasCancelAcknowledged || !aError;
          });
      }
      break;
    }
    case ActionKind::Query: {
      SubmittedJob* job = this->AnyJob(aAction.selection);
      int instance = this->AnyInstance(aAction.selection / 4);
      if (job != nullptr && instance >= 0) {
        this->QueryJob(instance, *job);
      }
      break;
    }
    case ActionKind::KillLeader:
      if (leader >= 0) {
        this->RestartAfter(leader, length);
      }
      break;
    case ActionKind::KillInstance:
      if (int instance = this->AnyInstance(aAction.selection); instance >= 0) {
        this->RestartAfter(instance, length);
      }
      break;
    case ActionKind::StopLeader:
      if (leader >= 0) {
        FakeProcess* process = this->processes[leader].get();
        process->instance.BeginStop();
        this->loop.After(length, [this, leader, process] {
          if (this->processes.count(leader) != 0 && this->processes[leader].get() == process) {
            this->RestartAfter(leader, milliseconds(300));
          }
        });
      }
      break;
    case ActionKind::PauseLeader:
      if (leader >= 0) {
        FakeProcess* process = this->processes[leader].get();
        process->state.isPaused = true;
        this->loop.After(length, [process] { process->state.isPaused = false; });
      }
      break;
    case ActionKind::RefuseLeader:
      if (leader >= 0) {
        FakeProcess* process = this->processes[leader].get();
        process->store.isRefusingCalls = true;
        this->loop.After(length, [process] { process->store.isRefusingCalls = false; });
      }
      break;
    case ActionKind::KillAll:
      for (int number = 0; number < 3; ++number) {
        if (this->instances.count(number) != 0) {
          this->RestartAfter(number, length);
        }
      }
      break;
    case ActionKind::StoreDown:
      this->store.isDown = true;
      this->loop.After(length, [this] { this->store.isDown = false; });
      break;
    case ActionKind::StoreSilent:
      this->store.isSilent = true;
      this->loop.After(length, [this] { this->store.isSilent = false; });
      break;
    case ActionKind::SlowStore:
      this->store.responseTime = milliseconds(270);
      this->loop.After(length, [this] { this->store.responseTime = milliseconds(4); });
      break;
    case ActionKind::CommitFaults:
      this->store.lateDelay = length;
      this->store.commitFault = [oneIn,
                                 number = aAction.selection](const KeyValueTransaction&) mutable {
        ++number;
        return number % oneIn != 0 ? CommitFault::None
                                   : static_cast<CommitFault>(1 + number / oneIn % 3);
      };
      this->loop.After(length, [this] { this->store.commitFault = nullptr; });
      break;
    case ActionKind::StartFaults:
      this->fleet.startFault = [oneIn, number = aAction.selection](const StartCommand&) mutable {
        ++number;
        return number % oneIn != 0 ? StartFault::None
                                   : static_cast<StartFault>(1 + number / oneIn % 2);
      };
      this->loop.After(length, [this] { this->fleet.startFault = nullptr; });
      break;
    case ActionKind::LostPolls:
      this->fleet.isPollResponseLost = [oneIn, number = aAction.selection](
                                         const WorkerId&) mutable { return ++number % oneIn == 0; };
      this->loop.After(length, [this] { this->fleet.isPollResponseLost = nullptr; });
      break;
    case ActionKind::LostWatches:
      this->store.isWatchResponseLost = [oneIn,
                                         number = aAction.selection](const std::string&) mutable {
        return ++number % oneIn == 0;
      };
      this->loop.After(length, [this] { this->store.isWatchResponseLost = nullptr; });
      break;
    case ActionKind::LeaderUnreachable:
      if (leader >= 0) {
        auto port = static_cast<unsigned short>(9000 + leader);
        this->peers.unresponsive.insert(port);
        this->loop.After(length, [this, port] { this->peers.unresponsive.erase(port); });
      }
      break;
    case ActionKind::PrefixUnreadable: {
      constexpr std::array kPrefixes{
        "operators/", "daisydrift/jobs/", "daisydrift/progress/", "workers/", "daisydrift/group/"
      };
      const char* unreadable =
        kPrefixes[static_cast<std::size_t>(aAction.selection) % kPrefixes.size()];
      this->store.isPrefixUnavailable = [unreadable](const std::string& aPrefix) {
        return aPrefix == unreadable;
      };
      this->loop.After(length, [this] { this->store.isPrefixUnavailable = nullptr; });
      break;
    }
    case ActionKind::CompactStore:
      this->store.Compact();
      break;
    case ActionKind::WorkerUnreachable:
      this->fleet.SetUnreachable(worker, true);
      this->loop.After(length, [this, worker] { this->fleet.SetUnreachable(worker, false); });
      break;
    case ActionKind::WorkerRestarted:
      this->fleet.Kill(worker);
      this->loop.After(kRestartTime, [this, worker] { this->fleet.Restart(worker); });
      break;
    case ActionKind::WorkerReplaced:
      this->fleet.Kill(worker);
      this->store.Remove("workers/" + worker);
      this->loop.After(length, [this, worker] {
        this->fleet.Restart(worker);
        this->store.Put("workers/" + worker, "{}");
      });
      break;
    case ActionKind::RemoveQueue:
      this->store.Put("operators/config", std::to_string(++this->configVersion) + kWithoutQueue);
      break;
    case ActionKind::AddQueue:
      this->store.Put("operators/config", std::to_string(++this->configVersion));
      break;
    case ActionKind::RemoveTeam:
      this->store.Put("operators/config", std::to_string(++this->configVersion) + kWithoutTeam);
      break;
    case ActionKind::CompactOften:
      for (milliseconds time(0); time < length; time += milliseconds(20)) {
        this->loop.After(time, [this] { this->store.Compact(); });
      }
      break;
    case ActionKind::LostReads:
      this->store.isReadResponseLost = [oneIn, number = aAction.selection]() mutable {
        return ++number % oneIn == 0;
      };
      this->loop.After(length, [this] { this->store.isReadResponseLost = nullptr; });
      break;
    case ActionKind::LostLeases: {
      auto isLost = [oneIn, number = aAction.selection]() mutable { return ++number % oneIn == 0; };
      this->store.lateDelay = length;
      this->store.isGrantResponseLost = isLost;
      this->store.isRenewalResponseLost = isLost;
      this->store.isRenewalLate = isLost;
      this->loop.After(length, [this] {
        this->store.isGrantResponseLost = nullptr;
        this->store.isRenewalResponseLost = nullptr;
        this->store.isRenewalLate = nullptr;
      });
      break;
    }
    case ActionKind::PeerFaults:
      this->peers.isCallLost = [oneIn, number = aAction.selection](const std::string&) mutable {
        return ++number % oneIn == 0;
      };
      this->loop.After(length, [this] { this->peers.isCallLost = nullptr; });
      break;
    case ActionKind::LostPeerResponses:
      this->peers.isResponseLost = [oneIn, number = aAction.selection](const std::string&) mutable {
        return ++number % oneIn == 0;
      };
      this->loop.After(length, [this] { this->peers.isResponseLost = nullptr; });
      break;
    case ActionKind::PauseInstance:
      if (int instance = this->AnyInstance(aAction.selection); instance >= 0) {
        FakeProcess* process = this->processes[instance].get();
        process->state.isPaused = true;
        this->loop.After(2 * length, [process] { process->state.isPaused = false; });
      }
      break;
    case ActionKind::InstanceStoreSilent:
      if (int instance = this->AnyInstance(aAction.selection); instance >= 0) {
        FakeProcess* process = this->processes[instance].get();
        process->state.isStoreSilent = true;
        this->loop.After(length, [process] { process->state.isStoreSilent = false; });
      }
      break;
    case ActionKind::KillTwoLeaders:
      // The next leader ends as soon as it has loaded the stored jobs.
      if (leader >= 0) {
        this->RestartAfter(leader, length);
        this->KillNextLeader(length, 200);
      }
      break;
    case ActionKind::WorkerRebornTwice:
      this->fleet.Kill(worker);
      this->loop.After(kRestartTime, [this, worker] { this->fleet.Restart(worker); });
      this->loop.After(kRestartTime + length / 4, [this, worker] { this->fleet.Kill(worker); });
      this->loop.After(2 * kRestartTime + length / 4,
                       [this, worker] { this->fleet.Restart(worker); });
      break;
    case ActionKind::Count:
      break;
  }
}

void JobLife::EndFaults()
{
  // The faults end by themselves.
  this->loop.RunFor(seconds(4));
  for (int number = 0; number < 3; ++number) {
    if (this->instances.count(number) == 0) {
      this->StartInstance(number);
    }
  }
}

std::string JobLife::Missing(SubmittedJob& aJob)
{
  const JobDefinition& job = aJob.definition;
  Result<DispatchState> state = this->State(this->AnyInstance(0), job.id);
  for (int number = 1; state && IsFinal(*state) && number < 3; ++number) {
    Result<DispatchState> other = this->State(this->AnyInstance(number), job.id);
    if (!other || *other != *state) {
      return "its final state differs between instances";
    }
  }
  if (!state) {
    bool isUnknown = state.Error() == make_error_code(Errc::NotFound);
    return isUnknown && !aJob.isAccepted ? "" : "state unknown: " + state.Error().message();
  }
  if (aJob.notRefused == 0) {
    return "known although refused";
  }
  std::size_t working = 0;
  for (std::uint32_t index = 0; index < job.steps[0].taskCount; ++index) {
    working += this->fleet.CountRuns({ job.id, 0, 0, index });
  }
  if (aJob.wasCancelAcknowledged) {
    return *state == DispatchState::Queued || *state == DispatchState::Running ? "not cancelled"
           : working > 0                                                       ? "still runs"
                                                                               : "";
  }
  if (*state == DispatchState::Cancelled) {
    return aJob.wasCancelSent ? "" : "cancelled without cause";
  }
  if (*state == DispatchState::Failed) {
    return this->MayHaveFailed(aJob) ? "" : "failed without cause";
  }
  if (job.steps[0].isService) {
    return working == job.steps[0].taskCount
             ? ""
             : "only " + std::to_string(working) + " tasks are at work";
  }
  if (*state != DispatchState::Completed) {
    return "not completed";
  }
  for (std::uint32_t occurrence = 0; occurrence < std::max(job.occurrences, 1U); ++occurrence) {
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
      for (std::uint32_t index = 0; index < job.steps[step].taskCount; ++index) {
        auto successes = this->fleet.successes.find({ job.id, occurrence, step, index });
        if (successes == this->fleet.successes.end() || successes->second == 0) {
          return "completed without a success of each task";
        }
      }
    }
  }
  return "";
}

void JobLife::Play(const std::vector<Action>& aActions)
{
  this->store.pageSize = 3;
  this->fleet.gangSize = [this](const TaskName& aTask) {
    const StepSpec& step = this->jobs[aTask.job].definition.steps[aTask.step];
    return step.isGang ? step.taskCount : 0;
  };
  this->fleet.planRun = [this](const StartCommand& aCommand) {
    const StepSpec& step = this->jobs[aCommand.task.job].definition.steps[aCommand.task.step];
    std::size_t number = ++this->runs;
    bool hasFailed = number % 7 == 0;
    std::optional<Duration> time = milliseconds(50 + number * 131 % 900);
    if (step.isService && !hasFailed) {
      time.reset();
    }
    return std::pair(time, hasFailed ? RunOutcome::Failed : RunOutcome::Succeeded);
  };
  for (int number = 0; number < 3; ++number) {
    this->StartInstance(number);
  }
  this->loop.RunFor(seconds(1));
  for (const Action& action : aActions) {
    this->loop.RunFor(milliseconds(action.delayMs));
    this->Do(action);
  }
  this->EndFaults();
  constexpr int kSecondsToFinish = 40;
  std::map<JobId, std::string> missing;
  for (int second = 0; second < kSecondsToFinish; ++second) {
    this->loop.RunFor(seconds(1));
    missing.clear();
    for (auto& [id, job] : this->jobs) {
      if (std::string text = this->Missing(job); !text.empty()) {
        missing[id] = text;
      }
    }
    if (missing.empty()) {
      break;
    }
  }
  this->CheckRequestsAreAnswered();
  for (const auto& [id, text] : missing) {
    RC_LOG() << id << ": " << text << std::endl;
  }
  for (const std::string& fault : this->faults) {
    RC_LOG() << fault << std::endl;
  }
  for (const std::string& violation : this->fleet.violations) {
    RC_LOG() << violation << std::endl;
  }
  RC_ASSERT(missing.empty());
  RC_ASSERT(this->faults.empty());
  RC_ASSERT(this->fleet.violations.empty());
}

RC_GTEST_PROP(JobLifeTest, NoAcceptedJobIsLost, ())
{
  auto actions = *rc::gen::container<std::vector<Action>>(ArbitraryAction());
  JobLife life;
  life.Play(actions);
}

} // namespace
} // namespace daisydrift
