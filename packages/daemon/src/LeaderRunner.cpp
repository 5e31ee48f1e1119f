#include "LeaderRunner.h"

#include "LeaderCallHandler.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/thread_pool.hpp>

#include <thread>

namespace daisydrift {

namespace {

/// Time until the next step when no event occurs.
constexpr std::chrono::milliseconds kStepInterval{ 25 };
/// Delay of a step after an event, so that events in quick succession share one step.
constexpr std::chrono::milliseconds kStepDelay{ 2 };
/// Time between two attempts to take over.
constexpr std::chrono::milliseconds kTakeOverRetryInterval{ 200 };

} // namespace

struct LeaderRunner::State : std::enable_shared_from_this<LeaderRunner::State>
{
  State(LeaderRunnerOptions aOptions,
        LeaderRunnerHooks aHooks,
        Store& aStore,
        WorkerClient& aWorkers,
        const Clock& aClock,
        Metrics& aMetrics)
    : options(std::move(aOptions))
    , hooks(std::move(aHooks))
    , store(aStore)
    , workers(aWorkers)
    , clock(aClock)
    , metrics(aMetrics)
    , timer(io)
    , syncPool(this->options.syncThreads)
    , callHandler(
        this->options.region,
        aClock,
        [this](std::function<void(RegionLeader*)> aWork) {
          this->Post([this, work = std::move(aWork)] { work(this->leader.get()); });
        },
        [this]() -> const ConfigDocument& { return *this->config; })
  {
  }

  void TakeOverOrRetry();
  void BeginLeading(RegionOwnership aOwnership);
  RegionLeaderHooks LeaderHooks();
  void ScheduleStep(std::chrono::milliseconds aDelay);
  void Step();
  void EndLeading();
  /// Runs aWork on the leader's thread, followed by a step after kStepDelay.
  void Post(std::function<void()> aWork);
  LeaderRunnerOptions options;
  LeaderRunnerHooks hooks;
  Store& store;
  WorkerClient& workers;
  const Clock& clock;
  Metrics& metrics;
  asio::io_context io;
  asio::steady_timer timer;
  asio::thread_pool syncPool;
  LeaderCallHandler callHandler;
  std::thread thread;
  std::atomic<bool> isLeading{ false };
  std::atomic<bool> isStopping{ false };

  // Accessed only on the leader's thread.
  Epoch requestedEpoch = 0;
  std::unique_ptr<RegionLeader> leader;
  /// Changes with each leader, so that the result of an exchange is not given to a later leader
  /// than the one that started it.
  std::uint64_t generation = 0;
  std::optional<ConfigDocument> config;
  TimePoint configConfirmedAt;
  std::vector<InstanceInfo> instances;
  TimePoint nextStep = TimePoint::max();
  TimePoint takeOverStart;
};

void LeaderRunner::State::Post(std::function<void()> aWork)
{
  asio::post(this->io, [this, work = std::move(aWork)] {
    work();
    this->ScheduleStep(kStepDelay);
  });
}

void LeaderRunner::State::TakeOverOrRetry()
{
  if (this->requestedEpoch == 0 || this->leader) {
    return;
  }
  if (!this->config) {
    // Without a configuration no team is known. It is being read from the store meanwhile.
    this->ScheduleStep(kTakeOverRetryInterval);
    return;
  }
  Result<RegionOwnership> ownership = TakeOver(this->store,
                                               this->options.region,
                                               this->requestedEpoch,
                                               this->options.instance,
                                               this->options.durable);
  if (ownership) {
    this->BeginLeading(std::move(*ownership));
    return;
  }
  LogLine(LogLevel::Warning, "takeover_failed")
    .Add("epoch", this->requestedEpoch)
    .Add("error", ownership.Error());
  if (ownership.Error() == Errc::Fenced) {
    this->EndLeading();
    return;
  }
  this->ScheduleStep(kTakeOverRetryInterval);
}

RegionLeaderHooks LeaderRunner::State::LeaderHooks()
{
  RegionLeaderHooks leaderHooks;
  leaderHooks.canRenewTaskLeases = this->hooks.canRenewTaskLeases;
  leaderHooks.havePredecessorLeasesExpired = this->hooks.havePredecessorLeasesExpired;
  leaderHooks.wallSeconds = [] {
    return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
  };
  leaderHooks.beginSync = [this, generation = this->generation](const WorkerId& aWorker,
                                                                const Endpoint& aEndpoint,
                                                                const SyncRequest& aRequest) {
    asio::post(this->syncPool, [this, generation, aWorker, aEndpoint, aRequest] {
      auto result = std::make_shared<Result<SyncReport>>(
        this->workers.Sync(aEndpoint, aRequest, this->options.syncTimeout));
      this->metrics.Count(*result ? "worker_exchanges_total{result=\"ok\"}"
                                  : "worker_exchanges_total{result=\"error\"}");
      this->Post([this, generation, aWorker, result] {
        if (this->leader && generation == this->generation) {
          this->leader->OnSyncResult(aWorker, *result, this->clock.Now());
        }
      });
    });
  };
  return leaderHooks;
}

void LeaderRunner::State::BeginLeading(RegionOwnership aOwnership)
{
  ++this->generation;
  RegionLeaderOptions leaderOptions;
  leaderOptions.region = this->options.region;
  leaderOptions.epoch = this->requestedEpoch;
  leaderOptions.writer = this->options.instance;
  leaderOptions.policy = this->options.policy;
  leaderOptions.syncInterval = this->options.syncInterval;
  std::size_t jobs = aOwnership.state.Jobs().size();
  this->leader = std::make_unique<RegionLeader>(leaderOptions,
                                                this->LeaderHooks(),
                                                std::move(aOwnership),
                                                *this->config,
                                                this->instances,
                                                this->clock.Now());
  this->leader->ConfirmConfig(this->configConfirmedAt);
  this->isLeading = true;
  this->metrics.Observe("takeover_seconds", this->clock.Now() - this->takeOverStart);
  LogLine(LogLevel::Info, "leading")
    .Add("region", this->options.region)
    .Add("epoch", this->requestedEpoch)
    .Add("jobs", jobs)
    .Add("takeover_ms", this->clock.Now() - this->takeOverStart);
  this->ScheduleStep(kStepDelay);
}

void LeaderRunner::State::ScheduleStep(std::chrono::milliseconds aDelay)
{
  TimePoint due = this->clock.Now() + aDelay;
  if (due >= this->nextStep) {
    return;
  }
  this->nextStep = due;
  this->timer.expires_after(aDelay);
  this->timer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->Step();
    }
  });
}

void LeaderRunner::State::Step()
{
  this->nextStep = TimePoint::max();
  if (this->isStopping) {
    return;
  }
  if (!this->leader) {
    this->TakeOverOrRetry();
    return;
  }
  TimePoint start = this->clock.Now();
  std::error_code error = this->leader->Step(start);
  this->metrics.Observe("leader_step_seconds", this->clock.Now() - start);
  if (error) {
    this->metrics.Count("journal_errors_total");
  }
  if (this->leader->IsSuperseded()) {
    this->EndLeading();
    return;
  }
  this->ScheduleStep(kStepInterval);
}

void LeaderRunner::State::EndLeading()
{
  bool wasRequested = this->requestedEpoch != 0;
  this->isLeading = false;
  this->requestedEpoch = 0;
  if (this->leader) {
    LogLine(LogLevel::Info, "leading_ended").Add("epoch", this->leader->LeaderEpoch());
    this->leader->Abandon(this->clock.Now());
    this->leader.reset();
    ++this->generation;
  }
  if (wasRequested && this->hooks.onSuperseded) {
    this->hooks.onSuperseded();
  }
}

LeaderRunner::LeaderRunner(LeaderRunnerOptions aOptions,
                           LeaderRunnerHooks aHooks,
                           Store& aStore,
                           WorkerClient& aWorkers,
                           const Clock& aClock,
                           Metrics& aMetrics)
  : state(std::make_shared<State>(std::move(aOptions),
                                  std::move(aHooks),
                                  aStore,
                                  aWorkers,
                                  aClock,
                                  aMetrics))
  , isLeading(this->state->isLeading)
{
  this->state->thread = std::thread([state = this->state.get()] {
    auto work = asio::make_work_guard(state->io);
    state->io.run();
  });
}

LeaderRunner::~LeaderRunner()
{
  this->state->isStopping = true;
  this->StepDown();
  this->state->syncPool.join();
  asio::post(this->state->io, [state = this->state.get()] { state->io.stop(); });
  this->state->thread.join();
}

void LeaderRunner::Lead(Epoch aEpoch)
{
  State* state = this->state.get();
  state->Post([state, aEpoch] {
    if (state->requestedEpoch == aEpoch) {
      return;
    }
    state->EndLeading();
    state->requestedEpoch = aEpoch;
    state->takeOverStart = state->clock.Now();
  });
}

void LeaderRunner::StepDown()
{
  State* state = this->state.get();
  state->Post([state] {
    state->requestedEpoch = 0;
    state->EndLeading();
  });
}

void LeaderRunner::SetConfig(const ConfigDocument& aConfig, TimePoint aConfirmed)
{
  State* state = this->state.get();
  state->Post([state, aConfig, aConfirmed] {
    state->config = aConfig;
    state->configConfirmedAt = std::max(state->configConfirmedAt, aConfirmed);
    if (state->leader) {
      state->leader->SetConfig(aConfig, state->clock.Now());
      state->leader->ConfirmConfig(state->configConfirmedAt);
    }
  });
}

void LeaderRunner::ConfirmConfig(TimePoint aConfirmed)
{
  State* state = this->state.get();
  state->Post([state, aConfirmed] {
    state->configConfirmedAt = std::max(state->configConfirmedAt, aConfirmed);
    if (state->leader) {
      state->leader->ConfirmConfig(state->configConfirmedAt);
    }
  });
}

void LeaderRunner::SetInstances(const std::vector<InstanceInfo>& aInstances)
{
  State* state = this->state.get();
  state->Post([state, aInstances] {
    state->instances = aInstances;
    if (state->leader) {
      state->leader->SetInstances(aInstances, state->clock.Now());
    }
  });
}

CallReply LeaderRunner::Handle(const Call& aCall)
{
  return this->state->callHandler.Handle(aCall);
}

} // namespace daisydrift
