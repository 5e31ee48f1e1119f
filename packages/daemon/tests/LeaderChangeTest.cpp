// Guards against a task that stands still after a change of leader although its worker is gone, and
// against callers who get no answer or a wrong one around a change of leader, and accepted work
// that the journal or a snapshot can't hold.

#include "RegionLeader.h"

#include "daisydrift/external.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

constexpr const char* kRegion = "r";
constexpr const char* kTeam = "team";
constexpr const char* kJob =
  R"({"name": "n", "tasks": 1, "size": {"milli_cores": 1000, "memory_mib": 100}})";

ConfigDocument MakeConfig()
{
  ConfigDocument config;
  config.version = 1;
  TeamEntry team;
  team.name = kTeam;
  team.ceiling = { 100'000, 100'000, 0 };
  team.maxRunningTasks = 10'000;
  config.teams[kTeam] = team;
  config.failureDomains["d"] = { "d", kRegion, false };
  return config;
}

/// A region with workers of one core and leaders that follow each other, on a virtual clock.
struct LeaderChangeTest : testing::Test
{
  LeaderChangeTest()
  {
    for (unsigned i = 0; i < 2; ++i) {
      InstanceInfo info;
      info.id = "w" + std::to_string(i);
      info.endpoint = { "127.0.0.1", static_cast<std::uint16_t>(1000 + i) };
      info.failureDomain = "d";
      info.region = kRegion;
      this->instances.push_back(info);
      this->fleet.Add(info.endpoint, { 1000, 1000, 0 });
    }
  }

  /// Replaces the leader by one of the next epoch.
  void Elect()
  {
    this->exchanges.clear();
    ++this->epoch;
    RegionLeaderOptions options;
    options.region = kRegion;
    options.epoch = this->epoch;
    options.writer = "leader-" + std::to_string(this->epoch);
    Result<RegionOwnership> ownership = TakeOver(this->store, kRegion, this->epoch, options.writer);
    ASSERT_TRUE(ownership);
    RegionLeaderHooks hooks;
    hooks.beginSync =
      [this](const WorkerId& aWorker, const Endpoint& aEndpoint, const SyncRequest& aRequest) {
        this->exchanges.push_back({ aWorker, aEndpoint, aRequest });
      };
    hooks.canRenewTaskLeases = [] { return true; };
    hooks.havePredecessorLeasesExpired = [] { return false; };
    hooks.wallSeconds = [this] { return this->wallSeconds; };
    this->leader = std::make_unique<RegionLeader>(options,
                                                  std::move(hooks),
                                                  std::move(*ownership),
                                                  MakeConfig(),
                                                  this->instances,
                                                  this->clock.Now());
  }

  void Step()
  {
    this->clock.Advance(kGroupCommitInterval);
    this->leader->ConfirmConfig(this->clock.Now());
    static_cast<void>(this->leader->Step(this->clock.Now()));
    auto due = std::move(this->exchanges);
    this->exchanges.clear();
    for (const Exchange& exchange : due) {
      this->leader->OnSyncResult(exchange.worker,
                                 this->fleet.Sync(exchange.endpoint, exchange.request, 1s),
                                 this->clock.Now());
    }
  }

  /// Runs the leader for 2 s, which is less than any lease.
  void StepForTwoSeconds()
  {
    for (TimePoint end = this->clock.Now() + 2s; this->clock.Now() < end;) {
      this->Step();
    }
  }

  /// Submits aBody; the replies go to `replies` in their order.
  void Submit(const std::string& aBody, const std::string& aKey = "")
  {
    SubmitCall call;
    call.team = kTeam;
    call.idempotencyKey = aKey;
    call.body = aBody;
    call.deadline = this->clock.Now() + 5s;
    call.reply = [this](const SubmitReply& aReply) { this->replies.push_back(aReply); };
    this->leader->Submit(std::move(call), this->clock.Now());
  }

  struct Exchange
  {
    WorkerId worker;
    Endpoint endpoint;
    SyncRequest request;
  };

  ManualClock clock;
  FakeStore store{ this->clock };
  FakeWorkerFleet fleet{ this->clock };
  std::vector<InstanceInfo> instances;
  Epoch epoch = 0;
  std::int64_t wallSeconds = 1000;
  std::unique_ptr<RegionLeader> leader;
  std::vector<Exchange> exchanges;
  std::vector<SubmitReply> replies;
};

TEST_F(LeaderChangeTest, SubmissionIsNotRefusedBeforeTheWorkersHaveReported)
{
  this->Elect();
  this->Submit(kJob);
  this->StepForTwoSeconds();
  ASSERT_EQ(this->replies.size(), 1U);
  EXPECT_FALSE(this->replies[0].error) << this->replies[0].explanation.message;
}

TEST_F(LeaderChangeTest, TaskOnAWorkerThatIsGoneDoesNotWaitForItsLeaseAtTheNewLeader)
{
  this->Elect();
  this->StepForTwoSeconds();
  this->Submit(kJob);
  this->StepForTwoSeconds();
  ASSERT_EQ(this->replies.size(), 1U);
  std::size_t first = this->fleet.At(this->instances[0].endpoint).RunningCount() > 0 ? 0 : 1;
  ASSERT_EQ(this->fleet.At(this->instances[first].endpoint).RunningCount(), 1U);
  this->instances[first].state = InstanceState::Gone;
  this->Elect();
  this->StepForTwoSeconds();
  EXPECT_EQ(this->fleet.At(this->instances[1 - first].endpoint).RunningCount(), 1U)
    << "nothing runs on a worker that the platform lists as gone";
}

TEST_F(LeaderChangeTest, AcceptedJobsAreNoMoreThanASnapshotAndSoTheNextLeaderCanTake)
{
  this->Elect();
  this->StepForTwoSeconds();
  constexpr std::size_t kSubmissions = 800;
  constexpr std::size_t kPayloadBytes = 63 * 1024;
  std::string large(kJob);
  large.pop_back();
  large += R"(, "payload": ")" + std::string(kPayloadBytes, 'x') + "\"}";
  for (std::size_t i = 0; i < kSubmissions; ++i) {
    this->Submit(large);
    if (i % 2 == 0) {
      this->Step();
    }
  }
  this->StepForTwoSeconds();
  ASSERT_EQ(this->replies.size(), kSubmissions);
  std::size_t accepted = 0;
  for (const SubmitReply& reply : this->replies) {
    accepted += reply.error ? 0 : 1;
    EXPECT_TRUE(!reply.error || reply.error == Errc::LimitReached) << reply.error.message();
  }
  EXPECT_GT(accepted, 300U);
  EXPECT_TRUE(this->leader->Commits().State().Encode());
  this->Elect();
  EXPECT_EQ(this->leader->Commits().State().Jobs().size(), accepted);
  this->Submit(large);
  EXPECT_EQ(this->replies.back().error, Errc::LimitReached) << "the limit holds at a new leader";

  // Jobs that have finished make room when their retention has ended, though nothing is written.
  std::vector<JobNumber> jobs;
  for (const auto& [number, job] : this->leader->Commits().State().Jobs()) {
    jobs.push_back(number);
  }
  this->leader->Cancel(jobs, this->clock.Now() + 1h, [](std::error_code, std::size_t) {});
  this->StepForTwoSeconds();
  this->wallSeconds += std::chrono::seconds(kFinishedJobRetention).count();
  this->clock.Advance(kFullStateSnapshotInterval);
  this->StepForTwoSeconds();
  this->Submit(large);
  this->StepForTwoSeconds();
  EXPECT_FALSE(this->replies.back().error) << this->replies.back().error.message();
}

TEST_F(LeaderChangeTest, GangTooLargeForOneRecordIsRefusedAndBlocksNoOtherJob)
{
  InstanceInfo large = this->instances[0];
  large.id = "large";
  large.endpoint.port = 2000;
  this->instances.push_back(large);
  this->fleet.Add(large.endpoint, { 50'000, 50'000, 0 });
  this->Elect();
  this->StepForTwoSeconds();
  auto gang = [](std::uint32_t aTasks) {
    return R"({"name": "n", "class": "gang", "tasks": )" + std::to_string(aTasks) +
           R"(, "size": {"milli_cores": 1, "memory_mib": 1}})";
  };
  this->Submit(gang(6'000));
  this->StepForTwoSeconds();
  this->Submit(kJob);
  this->StepForTwoSeconds();
  ASSERT_EQ(this->replies.size(), 2U);
  EXPECT_FALSE(this->replies[1].error) << this->replies[1].error.message();
  EXPECT_EQ(this->replies[0].error, Errc::NotPermitted);
  EXPECT_EQ(this->replies[0].explanation.code, "gang_too_large");
  this->Submit(gang(kMaxGangTasks));
  this->StepForTwoSeconds();
  EXPECT_GE(this->fleet.At(large.endpoint).RunningCount(), kMaxGangTasks / 2);
  EXPECT_FALSE(this->leader->Commits().IsBlocked());
}

TEST_F(LeaderChangeTest, RepeatedSubmissionIsAnsweredWhenTheLeaderResigns)
{
  this->Elect();
  this->StepForTwoSeconds();
  this->Submit(kJob, "key");
  this->Submit(kJob, "key");
  this->leader->Abandon(this->clock.Now());
  ASSERT_EQ(this->replies.size(), 2U);
  for (const SubmitReply& reply : this->replies) {
    EXPECT_TRUE(reply.error == Errc::Overloaded || reply.error == Errc::DeadlineExceeded)
      << reply.error.message();
  }
}

TEST_F(LeaderChangeTest, RepeatedSubmissionHasTheUnknownOutcomeOfTheFirst)
{
  this->Elect();
  this->StepForTwoSeconds();
  this->store.SetFaultHook([](const std::string& aOperation, const std::string&) {
    return aOperation == "cas" ? StoreFault::ResponseLost : StoreFault::Unreachable;
  });
  this->Submit(kJob, "key");
  this->Step();
  this->Submit(kJob, "key");
  this->leader->Abandon(this->clock.Now());
  ASSERT_EQ(this->replies.size(), 2U);
  for (const SubmitReply& reply : this->replies) {
    EXPECT_EQ(reply.error, Errc::OutcomeUnknown) << reply.error.message();
  }
}

TEST_F(LeaderChangeTest, CancellationOfWhichAPartWasCommittedIsNotReportedAsNotRun)
{
  this->Elect();
  this->StepForTwoSeconds();
  this->Submit(kJob);
  this->Submit(kJob);
  this->StepForTwoSeconds();
  ASSERT_EQ(this->replies.size(), 2U);
  std::vector<JobNumber> jobs{ this->replies[0].job, this->replies[1].job };
  // Large submissions fill the journal's record up to the first of the two cancellations.
  constexpr std::size_t kRecordBytes = 192 * 1024;
  constexpr std::size_t kJobBytes = 48 * 1024;
  std::string large(kJob);
  large.pop_back();
  large += R"(, "payload": ")";
  for (std::size_t i = 0; i < kRecordBytes / kJobBytes; ++i) {
    // An entry has some 80 bytes besides the body.
    std::size_t bytes = kJobBytes - large.size() - 100;
    this->Submit(large + std::string(bytes, 'x') + "\"}");
  }
  std::error_code error;
  std::size_t answers = 0;
  this->leader->Cancel(jobs,
                       this->clock.Now() + kGroupCommitInterval * 3 / 2,
                       [&](std::error_code aError, std::size_t) {
                         error = aError;
                         ++answers;
                       });
  this->StepForTwoSeconds();
  EXPECT_EQ(answers, 1U);
  const RegionState& state = this->leader->Commits().State();
  ASSERT_TRUE(state.FindJob(jobs[0])->isCancelled);
  ASSERT_FALSE(state.FindJob(jobs[1])->isCancelled);
  EXPECT_EQ(error, Errc::OutcomeUnknown) << error.message();
}

} // namespace
} // namespace daisydrift
