// Completions are acknowledged only to the incarnation of the worker that reported them.

#include "WorkerPoller.h"

#include "VirtualLoop.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <set>

namespace daisydrift::coordination {
namespace {

using std::chrono::milliseconds;

constexpr const char* kWorker = "w1";

/// Keeps the polls until the test responds to them.
class ManualGateway : public WorkerGateway
{
public:
  void Start(const WorkerListing&,
             const StartCommand&,
             milliseconds,
             Epoch,
             std::function<void(StartResult, bool)>) override
  {
  }
  void Stop(const WorkerListing&,
            const StopCommand&,
            Epoch,
            std::function<void(std::error_code)>) override
  {
  }
  void Throttle(const WorkerListing&,
                const ThrottleCommand&,
                Epoch,
                std::function<void(std::error_code)>) override
  {
  }
  void Poll(const WorkerListing&,
            const PollRequest& aRequest,
            Epoch,
            std::function<void(const Result<WorkerReport>&)> aDone) override
  {
    this->acknowledged.push_back(aRequest.lastCompletion);
    this->respond = std::move(aDone);
  }

  /// The acknowledged number of each poll.
  std::vector<std::uint64_t> acknowledged;
  std::function<void(const Result<WorkerReport>&)> respond;
};

class WorkerPollerTest : public ::testing::Test
{
protected:
  WorkerPollerTest()
    : dispatcher(this->settings.dispatch, this->loop.Now())
    , poller(this->loop,
             this->gateway,
             this->dispatcher,
             this->settings,
             WorkerPoller::Hooks{ [] {},
                                  [] {},
                                  [](const WorkerId&, std::int64_t, TimePoint) {},
                                  [this] { return this->loop.Now(); },
                                  [](const WorkerId&) { return Epoch(1); } })
  {
    WorkerListing listing;
    listing.id = kWorker;
    listing.service = "desk";
    listing.endpoint = { "10.0.0.2", 8000 };
    listing.domain = "north";
    listing.capacity = { 8000, 64000, 0 };
    listing.incarnation = 1;
    this->dispatcher.ListWorker(listing);
    this->poller.Refresh();
  }

  /// Responds to the open poll and runs until the next one.
  void Respond(const Result<WorkerReport>& aReport)
  {
    auto respond = std::move(this->gateway.respond);
    respond(aReport);
    this->loop.RunFor(milliseconds(10));
  }

  static WorkerReport ReportOf(std::int64_t aIncarnation, std::uint64_t aCompletions)
  {
    WorkerReport report;
    report.incarnation = aIncarnation;
    for (std::uint64_t number = 1; number <= aCompletions; ++number) {
      report.completions.push_back(
        { number, { "job", 0, 0, 0 }, number, RunOutcome::Succeeded, "" });
    }
    return report;
  }

  VirtualLoop loop;
  InstanceSettings settings;
  ManualGateway gateway;
  Dispatcher dispatcher;
  WorkerPoller poller;
};

// Guards against a success that a restarted worker forgets before the leader has seen it: the run
// of a start that was retried ended before the first poll, which acknowledged the earlier numbers.
TEST_F(WorkerPollerTest, RestartedWorkerIsSentNoAcknowledgementOfItsFormerNumbers)
{
  this->Respond(ReportOf(1, 3));
  this->poller.Acknowledge({ { kWorker, 1, 3 } });
  ASSERT_EQ(this->gateway.acknowledged.back(), 3U);
  this->Respond(make_error_code(Errc::OutcomeUnknown));
  EXPECT_EQ(this->gateway.acknowledged.back(), 0U);
  this->Respond(ReportOf(2, 1));
  this->poller.Acknowledge({ { kWorker, 1, 3 } });
  this->poller.Acknowledge({ { kWorker, 2, 1 } });
  EXPECT_EQ(this->gateway.acknowledged.back(), 1U);
}

// Guards against the same while no poll is open, since the store takes long: nothing shows that the
// worker has restarted meanwhile.
TEST_F(WorkerPollerTest, WorkerThatMayHaveRestartedDuringAWaitForTheStoreIsSentNoAcknowledgement)
{
  this->Respond(ReportOf(1, 3));
  this->loop.RunFor(milliseconds(600));
  this->poller.Acknowledge({ { kWorker, 1, 3 } });
  EXPECT_EQ(this->gateway.acknowledged.back(), 0U);
  this->Respond(ReportOf(1, 4));
  EXPECT_EQ(this->gateway.acknowledged.back(), 3U) << "the same process has answered";
  this->Respond(ReportOf(1, 4));
  this->loop.RunFor(milliseconds(600));
  this->poller.Acknowledge({ { kWorker, 1, 4 } });
  this->Respond(ReportOf(2, 1));
  EXPECT_EQ(this->gateway.acknowledged.back(), 0U);
}

// Its workers would otherwise repeat their reports at once, for as long as the leader is late.
TEST_F(WorkerPollerTest, LeaderWithALateEventLoopStillAcknowledges)
{
  this->Respond(ReportOf(1, 3));
  this->loop.RunFor(milliseconds(600));
  this->poller.Acknowledge({ { kWorker, 1, 3 } });
  for (int poll = 0; poll < 3; ++poll) {
    auto respond = this->gateway.respond;
    respond(ReportOf(1, 3));
    this->loop.Suspend(milliseconds(300));
    this->loop.RunFor(Duration(0));
  }
  std::vector<std::uint64_t>& acknowledged = this->gateway.acknowledged;
  EXPECT_NE(std::find(acknowledged.begin(), acknowledged.end(), 3U), acknowledged.end());
}

TEST_F(WorkerPollerTest, AcknowledgementIsRepeatedAfterALostResponse)
{
  this->Respond(ReportOf(1, 3));
  this->poller.Acknowledge({ { kWorker, 1, 3 } });
  this->Respond(make_error_code(Errc::OutcomeUnknown));
  this->Respond(ReportOf(1, 0));
  EXPECT_EQ(this->gateway.acknowledged.back(), 3U);
}

/// Keeps all polls of a large fleet.
class CountingGateway : public ManualGateway
{
public:
  void Poll(const WorkerListing& aWorker,
            const PollRequest&,
            Epoch,
            std::function<void(const Result<WorkerReport>&)> aDone) override
  {
    this->open.emplace_back(aWorker.id, std::move(aDone));
  }

  std::deque<std::pair<WorkerId, std::function<void(const Result<WorkerReport>&)>>> open;
};

// Guards against a new leader of a large fleet that does nothing else until it has connected to all
// workers.
TEST(FirstPollsTest, ANewLeaderPollsAPartOfALargeFleetAtATime)
{
  constexpr int kWorkers = 3000;
  constexpr std::size_t kMostOpen = 300;
  VirtualLoop loop;
  InstanceSettings settings;
  CountingGateway gateway;
  Dispatcher dispatcher(settings.dispatch, loop.Now());
  WorkerPoller poller(loop,
                      gateway,
                      dispatcher,
                      settings,
                      WorkerPoller::Hooks{ [] {},
                                           [] {},
                                           [](const WorkerId&, std::int64_t, TimePoint) {},
                                           [&loop] { return loop.Now(); },
                                           [](const WorkerId&) { return Epoch(1); } });
  for (int number = 0; number < kWorkers; ++number) {
    WorkerListing listing;
    listing.id = "w" + std::to_string(number);
    listing.service = "desk";
    listing.endpoint = { "10.0.0.2", 8000 };
    dispatcher.ListWorker(listing);
  }
  poller.Refresh();
  std::set<WorkerId> polled;
  while (!gateway.open.empty() && polled.size() < kWorkers) {
    ASSERT_LE(gateway.open.size(), kMostOpen);
    auto [worker, respond] = std::move(gateway.open.front());
    gateway.open.pop_front();
    polled.insert(worker);
    // Half of the workers don't answer.
    WorkerReport report;
    report.incarnation = 1;
    respond(polled.size() % 2 == 0 ? Result<WorkerReport>(report)
                                   : Result<WorkerReport>(Errc::OutcomeUnknown));
  }
  EXPECT_EQ(polled.size(), static_cast<std::size_t>(kWorkers));
}

} // namespace
} // namespace daisydrift::coordination
