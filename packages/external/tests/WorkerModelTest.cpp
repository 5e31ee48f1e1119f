// Guards against a superseded leader that still commands a worker, a delayed renewal that extends
// leases, a start that runs twice or on a restarted worker, and malformed messages that are
// accepted.

#include "daisydrift/external.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

constexpr Resources kCapacity{ 16'000, 65'536, 0 };
const AttemptId kAttempt{ { 7, 0 }, 1 };

class WorkerModelTest : public testing::Test
{
protected:
  SyncRequest Request(Epoch aEpoch)
  {
    SyncRequest request;
    request.epoch = aEpoch;
    request.incarnation = this->worker.Incarnation();
    request.observedReport = this->lastReport;
    return request;
  }
  Result<SyncReport> Sync(const SyncRequest& aRequest)
  {
    auto report = this->worker.Sync(aRequest, this->clock.Now());
    if (report) {
      this->lastReport = report->number;
    }
    return report;
  }
  SyncRequest StartRequest(Epoch aEpoch)
  {
    SyncRequest request = this->Request(aEpoch);
    request.commands.push_back({ WorkerCommandKind::Start, kAttempt, { 1000, 1024, 0 }, "", 0ms });
    return request;
  }

  ManualClock clock;
  WorkerModel worker{ "i1", kCapacity, 15s };
  std::uint64_t lastReport = 0;
};

TEST_F(WorkerModelTest, LowerEpochIsFenced)
{
  ASSERT_TRUE(this->Sync(this->Request(5)));
  EXPECT_EQ(this->Sync(this->StartRequest(4)).Error(), Errc::Fenced);
  EXPECT_EQ(this->worker.RunningCount(), 0u);
}

TEST_F(WorkerModelTest, RepeatedStartRunsOnce)
{
  ASSERT_TRUE(this->Sync(this->StartRequest(1)));
  ASSERT_TRUE(this->Sync(this->StartRequest(1)));
  EXPECT_EQ(this->worker.History().size(), 1u);
}

TEST_F(WorkerModelTest, StartForEarlierIncarnationIsIgnored)
{
  SyncRequest staleStart = this->StartRequest(1);
  this->worker.Restart("i2", this->clock.Now());
  auto report = this->Sync(staleStart);
  ASSERT_TRUE(report);
  EXPECT_EQ(report->incarnation, "i2");
  EXPECT_EQ(this->worker.RunningCount(), 0u);
}

TEST_F(WorkerModelTest, StopBeforeStartPreventsRun)
{
  SyncRequest stop = this->Request(1);
  stop.commands.push_back({ WorkerCommandKind::Stop, kAttempt, {}, "", 0ms });
  ASSERT_TRUE(this->Sync(stop));
  ASSERT_TRUE(this->Sync(this->StartRequest(1)));
  EXPECT_EQ(this->worker.RunningCount(), 0u);
}

TEST_F(WorkerModelTest, ExpiredLeaseStopsTask)
{
  ASSERT_TRUE(this->Sync(this->StartRequest(1)));
  this->clock.Advance(15s);
  auto report = this->Sync(this->Request(1));
  ASSERT_TRUE(report);
  ASSERT_EQ(report->events.size(), 2u);
  EXPECT_EQ(report->events[1].kind, WorkerEventKind::Stopped);
}

TEST_F(WorkerModelTest, RenewalWithStaleReportHasNoEffect)
{
  ASSERT_TRUE(this->Sync(this->StartRequest(1)));
  SyncRequest delayed = this->Request(1);
  delayed.renewFor = 60s;
  this->clock.Advance(kMaxObservedReportAge + 1s);
  ASSERT_TRUE(this->worker.Sync(delayed, this->clock.Now()));
  this->clock.Advance(5s);
  this->worker.Advance(this->clock.Now());
  EXPECT_EQ(this->worker.RunningCount(), 0u);
}

TEST_F(WorkerModelTest, EventsAreKeptUntilAcknowledged)
{
  ASSERT_TRUE(this->Sync(this->StartRequest(1)));
  auto repeated = this->Sync(this->Request(1));
  ASSERT_EQ(repeated->events.size(), 1u);
  SyncRequest acknowledge = this->Request(1);
  acknowledge.acknowledgedEvent = repeated->events[0].number;
  EXPECT_TRUE(this->Sync(acknowledge)->events.empty());
}

RC_GTEST_PROP(WorkerCodecProperty, GarbageIsCorruptAndNeverThrows, (const std::string& aText))
{
  RC_ASSERT(DecodeSyncRequest(aText).Error() == Errc::Corrupt);
  RC_ASSERT(DecodeSyncReport(aText).Error() == Errc::Corrupt);
  RC_ASSERT(DecodeInstances(aText).Error() == Errc::Corrupt);
}

TEST(WorkerCodecTest, TruncatedMessagesAreCorrupt)
{
  SyncRequest request;
  request.epoch = 3;
  request.commands.push_back({ WorkerCommandKind::Start, kAttempt, { 1, 2, 3 }, "{\"x\":1}", 5ms });
  std::string text = EncodeSyncRequest(request);
  ASSERT_TRUE(DecodeSyncRequest(text));
  for (std::size_t length = 0; length < text.size(); ++length) {
    EXPECT_EQ(DecodeSyncRequest(text.substr(0, length)).Error(), Errc::Corrupt) << length;
  }
}

} // namespace
} // namespace daisydrift
