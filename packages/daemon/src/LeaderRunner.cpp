#include "LeaderRunner.h"

#include "HttpServer.h"
#include "JobViews.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/thread_pool.hpp>
#include <nlohmann/json.hpp>

#include <future>
#include <thread>

namespace daisydrift {

namespace {

using Json = nlohmann::json;

/// Time between two steps without an event.
constexpr std::chrono::milliseconds kStepInterval{ 25 };
/// Time after an event until the next step, so that events that come together share a step.
constexpr std::chrono::milliseconds kStepDelay{ 2 };
/// Time between two tries to take over.
constexpr std::chrono::milliseconds kTakeOverRetry{ 200 };
/// Callers get this much less time at the leader than they have, so that its answer still reaches
/// them.
constexpr std::chrono::milliseconds kReplyReserve{ 50 };

CallReply JsonReply(std::uint16_t aStatus, std::string aBody)
{
  return { aStatus, "application/json", std::move(aBody), {} };
}

CallReply ProblemReply(const Problem& aProblem)
{
  CallReply reply{ static_cast<std::uint16_t>(aProblem.status),
                   "application/problem+json",
                   EncodeProblem(aProblem),
                   {} };
  if (aProblem.retryAfter > std::chrono::seconds::zero()) {
    reply.headers.emplace_back("Retry-After", std::to_string(aProblem.retryAfter.count()));
  }
  return reply;
}

Problem NotLeadingProblem()
{
  return { 503,
           "no_leader",
           "no leader of the region is known at the moment",
           "not_run",
           std::chrono::seconds(1),
           {} };
}

Problem UnknownProblem()
{
  return { 504,
           "outcome_unknown",
           "the call may or may not have been carried out; repeat it with the same Idempotency-Key",
           "unknown",
           std::chrono::seconds(1),
           {} };
}

Problem StoreProblem()
{
  return { 503,
           "store_unavailable",
           "nothing can be made durable at the moment; nothing was accepted",
           "not_run",
           std::chrono::seconds(2),
           {} };
}

Problem UnknownJobProblem()
{
  return { 404, "unknown_job", "no such job", "not_run", {}, {} };
}

CallReply ToReply(const SubmitReply& aReply, const std::string& aRegion)
{
  if (!aReply.error) {
    Json json = { { "job", FormatJobId(aRegion, aReply.job) },
                  { "state", "waiting" },
                  { "repeated", aReply.isRepeat } };
    return JsonReply(202, json.dump());
  }
  if (aReply.error == Errc::InvalidArgument) {
    return ProblemReply(
      { 400, "invalid_job", "the job is not valid", "not_run", {}, aReply.findings });
  }
  if (aReply.error == Errc::Conflict) {
    return ProblemReply(
      { 422,
        "idempotency_key_reused",
        "the Idempotency-Key was used with another body for " + FormatJobId(aRegion, aReply.job),
        "not_run",
        {},
        {} });
  }
  if (aReply.error == Errc::NotPermitted) {
    return ProblemReply({ 422,
                          aReply.explanation.code,
                          aReply.explanation.message + " " + aReply.explanation.advice,
                          "not_run",
                          {},
                          {} });
  }
  if (aReply.error == Errc::OutcomeUnknown) {
    return ProblemReply(UnknownProblem());
  }
  return ProblemReply(StoreProblem());
}

/// Path without query, split at slashes.
std::vector<std::string> SplitPath(const std::string& aPath)
{
  std::vector<std::string> parts;
  std::string text = aPath.substr(0, aPath.find('?'));
  std::size_t start = 0;
  while (start < text.size()) {
    std::size_t end = std::min(text.find('/', start), text.size());
    if (end > start) {
      parts.push_back(text.substr(start, end - start));
    }
    start = end + 1;
  }
  return parts;
}

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
  {
  }

  void TakeOverOrRetry();
  void BeginLeading(RegionOwnership aOwnership);
  RegionLeaderHooks LeaderHooks();
  void ScheduleStep(std::chrono::milliseconds aDelay);
  void Step();
  void EndLeading();
  /// Runs aWork on the leader's thread and steps soon after.
  void Post(std::function<void()> aWork);
  /// Runs aWork on the leader's thread with the leader, or returns nothing when there is none or
  /// time runs out.
  template<typename Answer>
  std::optional<Answer> Ask(std::function<void(RegionLeader&, std::function<void(Answer)>)> aWork,
                            Duration aLimit);

  CallReply Submit(const Call& aCall);
  CallReply Cancel(const Call& aCall);
  CallReply Query(const Call& aCall);
  CallReply QueryJob(const Call& aCall, const std::vector<std::string>& aParts);
  std::optional<CallReply> AnswerQuery(RegionLeader& aLeader,
                                       const std::vector<std::string>& aParts,
                                       const TeamName& aTeam);

  LeaderRunnerOptions options;
  LeaderRunnerHooks hooks;
  Store& store;
  WorkerClient& workers;
  const Clock& clock;
  Metrics& metrics;
  asio::io_context io;
  asio::steady_timer timer;
  asio::thread_pool syncPool;
  std::thread thread;
  std::atomic<bool> isLeading{ false };
  std::atomic<bool> isStopping{ false };

  // Used on the leader's thread only.
  Epoch wantedEpoch = 0;
  std::unique_ptr<RegionLeader> leader;
  /// Changes with each leader, so that exchanges begun by an earlier one are not given to the next.
  std::uint64_t generation = 0;
  std::optional<ConfigDocument> config;
  TimePoint configConfirmed;
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
  if (this->wantedEpoch == 0 || this->leader) {
    return;
  }
  if (!this->config) {
    // Without a configuration no team is known; it is read from the store at the same time.
    this->ScheduleStep(kTakeOverRetry);
    return;
  }
  Result<RegionOwnership> ownership = TakeOver(this->store,
                                               this->options.region,
                                               this->wantedEpoch,
                                               this->options.instance,
                                               this->options.durable);
  if (ownership) {
    this->BeginLeading(std::move(*ownership));
    return;
  }
  LogLine(LogLevel::Warning, "takeover_failed")
    .Add("epoch", this->wantedEpoch)
    .Add("error", ownership.Error());
  if (ownership.Error() == Errc::Fenced) {
    this->EndLeading();
    return;
  }
  this->ScheduleStep(kTakeOverRetry);
}

RegionLeaderHooks LeaderRunner::State::LeaderHooks()
{
  RegionLeaderHooks leaderHooks;
  leaderHooks.mayRenew = this->hooks.mayRenew;
  leaderHooks.isSuccessionSettled = this->hooks.isSuccessionSettled;
  leaderHooks.wallSeconds = [] {
    return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
  };
  leaderHooks.beginSync = [this, mine = this->generation](const WorkerId& aWorker,
                                                          const Endpoint& aEndpoint,
                                                          const SyncRequest& aRequest) {
    asio::post(this->syncPool, [this, mine, aWorker, aEndpoint, aRequest] {
      auto result = std::make_shared<Result<SyncReport>>(
        this->workers.Sync(aEndpoint, aRequest, this->options.syncTimeout));
      this->metrics.Count(*result ? "worker_exchanges_total{result=\"ok\"}"
                                  : "worker_exchanges_total{result=\"error\"}");
      this->Post([this, mine, aWorker, result] {
        if (this->leader && mine == this->generation) {
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
  leaderOptions.epoch = this->wantedEpoch;
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
  this->leader->ConfirmConfig(this->configConfirmed);
  this->isLeading = true;
  this->metrics.Observe("takeover_seconds", this->clock.Now() - this->takeOverStart);
  LogLine(LogLevel::Info, "leading")
    .Add("region", this->options.region)
    .Add("epoch", this->wantedEpoch)
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
  if (this->leader->IsDeposed()) {
    this->EndLeading();
    return;
  }
  this->ScheduleStep(kStepInterval);
}

void LeaderRunner::State::EndLeading()
{
  bool wasWanted = this->wantedEpoch != 0;
  this->isLeading = false;
  this->wantedEpoch = 0;
  if (this->leader) {
    LogLine(LogLevel::Info, "leading_ended").Add("epoch", this->leader->LeaderEpoch());
    this->leader->Abandon(this->clock.Now());
    this->leader.reset();
    ++this->generation;
  }
  if (wasWanted && this->hooks.onDeposed) {
    this->hooks.onDeposed();
  }
}

template<typename Answer>
std::optional<Answer> LeaderRunner::State::Ask(
  std::function<void(RegionLeader&, std::function<void(Answer)>)> aWork,
  Duration aLimit)
{
  auto promise = std::make_shared<std::promise<std::optional<Answer>>>();
  auto future = promise->get_future();
  this->Post([this, promise, work = std::move(aWork)] {
    if (!this->leader) {
      promise->set_value(std::nullopt);
      return;
    }
    work(*this->leader, [promise](Answer aAnswer) { promise->set_value(std::move(aAnswer)); });
  });
  if (future.wait_for(aLimit) != std::future_status::ready) {
    throw std::future_error(std::future_errc::no_state);
  }
  return future.get();
}

CallReply LeaderRunner::State::Submit(const Call& aCall)
{
  TimePoint deadline =
    this->clock.Now() + std::max(Duration(0), aCall.deadline - Duration(kReplyReserve));
  auto reply = this->Ask<SubmitReply>(
    [this, call = aCall, deadline](RegionLeader& aLeader, std::function<void(SubmitReply)> aReply) {
      aLeader.Submit({ call.team, call.idempotencyKey, call.body, deadline, std::move(aReply) },
                     this->clock.Now());
    },
    aCall.deadline + Duration(kReplyReserve));
  return reply ? ToReply(*reply, this->options.region) : ProblemReply(NotLeadingProblem());
}

CallReply LeaderRunner::State::Cancel(const Call& aCall)
{
  Json json = Json::parse(aCall.body, nullptr, false);
  if (!json.is_object()) {
    return ProblemReply(
      { 400, "malformed_json", "the body must be a JSON object", "not_run", {}, {} });
  }
  for (const char* field : { "job", "team", "name" }) {
    if (json.contains(field) && !json[field].is_string()) {
      return ProblemReply(
        { 400, "wrong_type", std::string("'") + field + "' must be a text", "not_run", {}, {} });
    }
  }
  if (!json.contains("job") && !json.contains("team") && !json.contains("name")) {
    return ProblemReply({ 400,
                          "selector_missing",
                          "name the jobs to cancel by 'job', 'team' or 'name'",
                          "not_run",
                          {},
                          {} });
  }
  // Members may cancel the work of their own team only; operators have no team and select any.
  TeamName team = aCall.team.empty() ? json.value("team", std::string()) : aCall.team;
  std::string name = json.value("name", std::string());
  std::string jobId = json.value("job", std::string());
  TimePoint deadline =
    this->clock.Now() + std::max(Duration(0), aCall.deadline - Duration(kReplyReserve));
  using Outcome = std::pair<std::error_code, std::size_t>;
  auto outcome = this->Ask<Outcome>(
    [this, team, name, jobId, deadline](RegionLeader& aLeader,
                                        const std::function<void(Outcome)>& aReply) {
      std::vector<JobNumber> jobs;
      std::string region;
      JobNumber number = 0;
      if (jobId.empty()) {
        jobs = SelectJobs(aLeader, team, name);
      } else if (ParseJobId(jobId, region, number) && region == this->options.region &&
                 JobJson(aLeader, region, number, team)) {
        jobs.push_back(number);
      } else {
        aReply({ make_error_code(Errc::NotFound), 0 });
        return;
      }
      aLeader.Cancel(
        jobs, this->clock.Now(), deadline, [aReply](std::error_code aError, std::size_t aCount) {
          aReply({ aError, aCount });
        });
    },
    aCall.deadline + Duration(kReplyReserve));
  if (!outcome) {
    return ProblemReply(NotLeadingProblem());
  }
  if (outcome->first == Errc::NotFound) {
    return ProblemReply(UnknownJobProblem());
  }
  if (outcome->first) {
    return ProblemReply(outcome->first == Errc::OutcomeUnknown ? UnknownProblem() : StoreProblem());
  }
  return JsonReply(200, Json{ { "cancelled", outcome->second } }.dump());
}

std::optional<CallReply> LeaderRunner::State::AnswerQuery(RegionLeader& aLeader,
                                                          const std::vector<std::string>& aParts,
                                                          const TeamName& aTeam)
{
  TimePoint now = this->clock.Now();
  const std::string& region = this->options.region;
  if (aParts.size() == 3 && aParts[1] == "admin" && aParts[2] == "queue") {
    return JsonReply(200, QueueJson(aLeader, region, now));
  }
  if (aParts.size() == 3 && aParts[1] == "admin" && aParts[2] == "region") {
    return JsonReply(200, RegionJson(aLeader, *this->config, now));
  }
  if (aParts.size() < 2 || aParts[1] != "jobs") {
    return std::nullopt;
  }
  if (aParts.size() == 2) {
    return JsonReply(200, JobListJson(aLeader, region, aTeam));
  }
  std::string jobRegion;
  JobNumber job = 0;
  if (!ParseJobId(aParts[2], jobRegion, job) || jobRegion != region) {
    return ProblemReply(UnknownJobProblem());
  }
  std::optional<std::string> body = aParts.size() == 4 && aParts[3] == "explain"
                                      ? ExplainJson(aLeader, region, job, aTeam, now)
                                      : JobJson(aLeader, region, job, aTeam);
  return body ? JsonReply(200, *body) : ProblemReply(UnknownJobProblem());
}

CallReply LeaderRunner::State::Query(const Call& aCall)
{
  std::vector<std::string> parts = SplitPath(aCall.path);
  auto reply = this->Ask<std::optional<CallReply>>(
    [this, parts, team = aCall.team](RegionLeader& aLeader,
                                     const std::function<void(std::optional<CallReply>)>& aReply) {
      aReply(this->AnswerQuery(aLeader, parts, team));
    },
    aCall.deadline);
  if (!reply) {
    return ProblemReply(NotLeadingProblem());
  }
  return *reply ? **reply
                : ProblemReply({ 404, "unknown_path", "no such resource", "not_run", {}, {} });
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
    if (state->wantedEpoch == aEpoch) {
      return;
    }
    state->EndLeading();
    state->wantedEpoch = aEpoch;
    state->takeOverStart = state->clock.Now();
  });
}

void LeaderRunner::StepDown()
{
  State* state = this->state.get();
  state->Post([state] {
    state->wantedEpoch = 0;
    state->EndLeading();
  });
}

void LeaderRunner::SetConfig(const ConfigDocument& aConfig, TimePoint aConfirmed)
{
  State* state = this->state.get();
  state->Post([state, aConfig, aConfirmed] {
    state->config = aConfig;
    state->configConfirmed = std::max(state->configConfirmed, aConfirmed);
    if (state->leader) {
      state->leader->SetConfig(aConfig, state->clock.Now());
      state->leader->ConfirmConfig(state->configConfirmed);
    }
  });
}

void LeaderRunner::ConfirmConfig(TimePoint aConfirmed)
{
  State* state = this->state.get();
  state->Post([state, aConfirmed] {
    state->configConfirmed = std::max(state->configConfirmed, aConfirmed);
    if (state->leader) {
      state->leader->ConfirmConfig(state->configConfirmed);
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
  try {
    switch (aCall.kind) {
      case CallKind::Submit:
        return this->state->Submit(aCall);
      case CallKind::Cancel:
        return this->state->Cancel(aCall);
      case CallKind::Query:
        return this->state->Query(aCall);
      case CallKind::Edit:
        break;
    }
  } catch (const std::future_error&) {
    return ProblemReply(UnknownProblem());
  }
  return ProblemReply(
    { 400, "unknown_call", "this call is not for the leader", "not_run", {}, {} });
}

} // namespace daisydrift
