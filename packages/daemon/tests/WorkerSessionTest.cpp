#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "WorkerSession.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ElementsAre;
using testing::IsEmpty;

const TimePoint kStart{ std::chrono::hours(1) };

AttemptId Attempt(std::uint32_t aIndex)
{
  return { { 1, aIndex }, 1 };
}

WorkerCommand Command(WorkerCommandKind aKind, std::uint32_t aIndex)
{
  WorkerCommand command;
  command.kind = aKind;
  command.attempt = Attempt(aIndex);
  return command;
}

SyncReport Report(const std::string& aIncarnation,
                  std::uint64_t aNumber,
                  const std::vector<std::uint64_t>& aEvents = {})
{
  SyncReport report;
  report.incarnation = aIncarnation;
  report.number = aNumber;
  for (std::uint64_t number : aEvents) {
    WorkerEvent event;
    event.number = number;
    report.events.push_back(event);
  }
  return report;
}

std::vector<std::uint64_t> Numbers(const std::vector<WorkerEvent>& aEvents)
{
  std::vector<std::uint64_t> numbers;
  for (const WorkerEvent& event : aEvents) {
    numbers.push_back(event.number);
  }
  return numbers;
}

/// A session whose worker, of incarnation "a", has sent its first report at kStart.
class WorkerSessionTest : public testing::Test
{
protected:
  WorkerSessionTest()
    : session("w", { "127.0.0.1", 1 }, kStart)
  {
    this->Exchange(kStart, Report("a", 1));
  }

  /// Starts an exchange, which must be due.
  SyncRequest BeginExchange(TimePoint aNow, bool aCanRenew = true)
  {
    std::optional<SyncRequest> request =
      this->session.BeginExchange(1, aNow, milliseconds(0), aCanRenew);
    EXPECT_TRUE(request.has_value());
    return request.value_or(SyncRequest());
  }

  SessionUpdate Exchange(TimePoint aNow, const SyncReport& aReport)
  {
    this->BeginExchange(aNow);
    return this->session.OnReport(aReport, aNow);
  }

  WorkerSession session;
};

// Guards against a command that is lost with a failed exchange, or sent again after a report.
TEST_F(WorkerSessionTest, CommandsAreResentUntilReported)
{
  this->session.Enqueue(Command(WorkerCommandKind::Start, 1), kStart);
  EXPECT_EQ(this->BeginExchange(kStart).commands.size(), 1U);
  // Queued during the exchange, so not part of it.
  this->session.Enqueue(Command(WorkerCommandKind::Checkpoint, 2), kStart);
  this->session.OnFailure(kStart);
  SyncRequest repeated = this->BeginExchange(kStart + seconds(1));
  ASSERT_EQ(repeated.commands.size(), 2U);
  EXPECT_EQ(repeated.commands[0].kind, WorkerCommandKind::Start);
  EXPECT_EQ(repeated.commands[0].attempt, Attempt(1));
  EXPECT_EQ(repeated.commands[1].attempt, Attempt(2));
  this->session.Enqueue(Command(WorkerCommandKind::Throttle, 3), kStart);
  this->session.OnReport(Report("a", 2), kStart + seconds(1));
  SyncRequest next = this->BeginExchange(kStart + seconds(2));
  ASSERT_EQ(next.commands.size(), 1U);
  EXPECT_EQ(next.commands[0].attempt, Attempt(3));
  EXPECT_EQ(next.observedReport, 2U);
}

// Guards against commands to a worker that has not reported to this leader, since its incarnation
// is unknown, and against a renewal before its first report.
TEST_F(WorkerSessionTest, FirstContactHasNoCommandsAndNoRenewal)
{
  WorkerSession fresh("w", { "127.0.0.1", 1 }, kStart);
  fresh.Enqueue(Command(WorkerCommandKind::Stop, 1), kStart);
  std::optional<SyncRequest> request = fresh.BeginExchange(1, kStart, seconds(5), true);
  ASSERT_TRUE(request.has_value());
  EXPECT_THAT(request->commands, IsEmpty());
  EXPECT_EQ(request->renewFor, milliseconds(0));
  EXPECT_FALSE(fresh.BeginExchange(1, kStart + seconds(9), seconds(5), true).has_value());
  EXPECT_TRUE(fresh.OnReport(Report("a", 1), kStart).isFirstReport);
  EXPECT_EQ(fresh.BeginExchange(1, kStart, seconds(5), true)->commands.size(), 1U);
}

// Guards against a late start that runs after its attempt was ended: once a start that may have
// been delivered is too old, it is replaced by a stop.
TEST_F(WorkerSessionTest, OldStartBecomesStop)
{
  this->session.Enqueue(Command(WorkerCommandKind::Start, 1), kStart);
  this->BeginExchange(kStart);
  this->session.OnFailure(kStart);
  EXPECT_EQ(this->BeginExchange(kStart + kMaxStartAge).commands[0].kind, WorkerCommandKind::Start);
  this->session.OnFailure(kStart + kMaxStartAge);
  TimePoint late = kStart + kMaxStartAge + milliseconds(1);
  EXPECT_THAT(this->session.TakeExpiredStarts(late), IsEmpty());
  SyncRequest request = this->BeginExchange(late);
  ASSERT_EQ(request.commands.size(), 1U);
  EXPECT_EQ(request.commands[0].kind, WorkerCommandKind::Stop);
  EXPECT_EQ(request.commands[0].attempt, Attempt(1));
}

// Guards against an expired start that is sent, reported twice, or reported during an exchange that
// may contain it.
TEST_F(WorkerSessionTest, ExpiredUnsentStartsAreReportedOnce)
{
  this->session.Enqueue(Command(WorkerCommandKind::Start, 1), kStart);
  this->session.Enqueue(Command(WorkerCommandKind::Stop, 2), kStart);
  EXPECT_THAT(this->session.TakeExpiredStarts(kStart + kMaxStartAge), IsEmpty());
  TimePoint late = kStart + kMaxStartAge + milliseconds(1);
  EXPECT_THAT(this->session.TakeExpiredStarts(late), ElementsAre(Attempt(1)));
  EXPECT_THAT(this->session.TakeExpiredStarts(late), IsEmpty());
  this->session.Enqueue(Command(WorkerCommandKind::Start, 3), late);
  SyncRequest request = this->BeginExchange(late);
  ASSERT_EQ(request.commands.size(), 2U);
  EXPECT_EQ(request.commands[0].attempt, Attempt(2));
  EXPECT_THAT(this->session.TakeExpiredStarts(late + seconds(60)), IsEmpty());
}

// Guards against commands sent to another incarnation than they were meant for, and against starts
// that are lost when their worker restarts.
TEST_F(WorkerSessionTest, RestartClearsQueueAndReportsUnsentStarts)
{
  this->session.Enqueue(Command(WorkerCommandKind::Start, 1), kStart);
  this->BeginExchange(kStart);
  this->session.Enqueue(Command(WorkerCommandKind::Start, 2), kStart);
  this->session.Enqueue(Command(WorkerCommandKind::Stop, 3), kStart);
  SessionUpdate update = this->session.OnReport(Report("b", 1), kStart);
  EXPECT_TRUE(update.hasRestarted);
  EXPECT_FALSE(update.isFirstReport);
  EXPECT_THAT(update.unsentStarts, ElementsAre(Attempt(2)));
  SyncRequest next = this->BeginExchange(kStart + seconds(1));
  EXPECT_THAT(next.commands, IsEmpty());
  EXPECT_EQ(next.incarnation, "b");
  EXPECT_EQ(next.acknowledgedEvent, 0U);
}

// Guards against renewals for an unresponsive worker, whose leases would never expire.
TEST_F(WorkerSessionTest, UnresponsiveWorkerGetsNoRenewal)
{
  for (unsigned i = 0; i < kUnresponsiveAfterFailures; ++i) {
    EXPECT_FALSE(this->session.IsUnresponsive());
    EXPECT_EQ(this->BeginExchange(kStart + seconds(i)).renewFor, kTaskLeaseDuration);
    this->session.OnFailure(kStart + seconds(i));
  }
  EXPECT_TRUE(this->session.IsUnresponsive());
  TimePoint lastRenewal = kStart + seconds(kUnresponsiveAfterFailures - 1);
  TimePoint later = lastRenewal + seconds(10);
  EXPECT_EQ(this->BeginExchange(later).renewFor, milliseconds(0));
  EXPECT_FALSE(this->session.HaveLeasesExpired(lastRenewal + kLeaseExpiryBound - milliseconds(1)));
  EXPECT_TRUE(this->session.HaveLeasesExpired(lastRenewal + kLeaseExpiryBound));
  this->session.OnReport(Report("a", 2), later);
  EXPECT_FALSE(this->session.IsUnresponsive());
  EXPECT_EQ(this->BeginExchange(later).renewFor, kTaskLeaseDuration);
  EXPECT_FALSE(this->session.HaveLeasesExpired(later + kLeaseExpiryBound - milliseconds(1)));
}

// Guards against a new leader that ignores the renewals of an earlier one, and against a renewal by
// a leader that may no longer renew leases.
TEST_F(WorkerSessionTest, LeaseExpiryCountsFromCreationAndRenewalsOnly)
{
  EXPECT_FALSE(this->session.HaveLeasesExpired(kStart + kLeaseExpiryBound - milliseconds(1)));
  EXPECT_EQ(this->BeginExchange(kStart + seconds(20), false).renewFor, milliseconds(0));
  this->session.OnReport(Report("a", 2), kStart + seconds(20));
  EXPECT_TRUE(this->session.HaveLeasesExpired(kStart + kLeaseExpiryBound));
}

// Guards against an acknowledgement that makes a restarted worker discard events that are not
// durable, and against acknowledged numbers that decrease.
TEST_F(WorkerSessionTest, AcknowledgementsOfOtherIncarnationsAreIgnored)
{
  this->session.AcknowledgeEvents("b", 9);
  EXPECT_EQ(this->BeginExchange(kStart).acknowledgedEvent, 0U);
  this->session.OnReport(Report("a", 2, { 1, 2, 3 }), kStart);
  this->session.AcknowledgeEvents("a", 3);
  this->session.AcknowledgeEvents("a", 2);
  EXPECT_EQ(this->BeginExchange(kStart).acknowledgedEvent, 3U);
  this->session.OnReport(Report("b", 1), kStart);
  this->session.AcknowledgeEvents("a", 3);
  EXPECT_EQ(this->BeginExchange(kStart).acknowledgedEvent, 0U);
}

// Guards against an event that is processed twice, since the worker repeats it until it is
// acknowledged, and against events of a new incarnation that are ignored as already processed.
TEST_F(WorkerSessionTest, EventsAreReturnedOnce)
{
  EXPECT_THAT(Numbers(this->Exchange(kStart, Report("a", 2, { 1, 2 })).events), ElementsAre(1, 2));
  EXPECT_THAT(Numbers(this->Exchange(kStart, Report("a", 3, { 1, 2, 3 })).events), ElementsAre(3));
  EXPECT_THAT(Numbers(this->Exchange(kStart, Report("a", 4, { 1, 2, 3 })).events), IsEmpty());
  EXPECT_THAT(Numbers(this->Exchange(kStart, Report("b", 1, { 1 })).events), ElementsAre(1));
}

} // namespace
} // namespace daisydrift
