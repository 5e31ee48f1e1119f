// Throttles and stops are desired states: they are sent until the worker's reports agree.

#include "DispatcherFixture.h"

#include <optional>

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RepeatedCommandsTest : public DispatcherFixture
{
protected:
  static JobDefinition Filler()
  {
    JobDefinition job = Job("filler", 1);
    job.steps[0].usesSpareCores = true;
    return job;
  }

  /// A worker with a service that is over its target, and a task on spare cores that is throttled.
  /// Returns the first throttle command.
  ThrottleCommand ThrottleFiller()
  {
    this->AddWorker("w1");
    JobDefinition service = Job("service", 1);
    service.steps[0].isService = true;
    service.steps[0].tailLatencyTarget = milliseconds(100);
    this->Add(service);
    this->Add(Filler());
    this->commands = this->RoundAccepted();
    return this->NextThrottle(seconds(4)).value_or(ThrottleCommand());
  }

  /// Reports and runs rounds until a throttle command is sent; nothing within aTime.
  std::optional<ThrottleCommand> NextThrottle(Duration aTime)
  {
    TimePoint end = this->now + aTime;
    while (this->now < end) {
      this->Advance(milliseconds(50));
      std::vector<RunningTask> running;
      for (const StartCommand& command : this->commands) {
        bool isFiller = command.task.job == "filler";
        running.push_back(Running(command, isFiller ? this->percent : 100));
        running.back().tailLatencyMs = isFiller ? 0 : this->tailLatencyMs;
      }
      this->percent += this->isFillerRunning ? 1 : 0;
      this->Report("w1", running);
      this->Round();
      if (!this->round.throttles.empty()) {
        return this->round.throttles[0];
      }
    }
    return std::nullopt;
  }

  std::vector<StartCommand> commands;
  int percent = 1;
  bool isFillerRunning = false;
  double tailLatencyMs = 250;
};

// Guards against a task that keeps slowing down a service since the only throttle command was lost.
TEST_F(RepeatedCommandsTest, AThrottleWithoutAnswerIsRepeatedUntilItIsConfirmed)
{
  ThrottleCommand first = this->ThrottleFiller();
  EXPECT_EQ(first.percent, 0);
  EXPECT_EQ(first.repeats, 0U);
  std::optional<ThrottleCommand> again = this->NextThrottle(seconds(1));
  ASSERT_TRUE(again);
  EXPECT_EQ(again->percent, 0);
  EXPECT_EQ(again->repeats, 1U);
  // The confirmation of a command for another speed is an old one.
  ThrottleCommand old = *again;
  old.percent = 100;
  this->dispatcher.OnThrottleConfirmed(old, this->now);
  ASSERT_TRUE(this->NextThrottle(seconds(1)));
  this->dispatcher.OnThrottleConfirmed(*again, this->now);
  EXPECT_FALSE(this->NextThrottle(seconds(5)));
}

// Guards against a late command that undoes a confirmed one: the reports contain no speed, but the
// progress shows it.
TEST_F(RepeatedCommandsTest, AThrottleIsRepeatedWhenProgressShowsAnotherSpeed)
{
  this->dispatcher.OnThrottleConfirmed(this->ThrottleFiller(), this->now);
  this->isFillerRunning = true;
  std::optional<ThrottleCommand> again = this->NextThrottle(seconds(2));
  ASSERT_TRUE(again);
  EXPECT_EQ(again->percent, 0);
  this->isFillerRunning = false;
  this->dispatcher.OnThrottleConfirmed(*again, this->now);
  // The service has recovered, but the task stands still although its speed was raised.
  this->tailLatencyMs = 10;
  std::optional<ThrottleCommand> raised = this->NextThrottle(seconds(5));
  ASSERT_TRUE(raised);
  EXPECT_EQ(raised->percent, 50);
  this->dispatcher.OnThrottleConfirmed(*raised, this->now);
  raised = this->NextThrottle(seconds(5));
  ASSERT_TRUE(raised);
  EXPECT_GT(raised->percent, 0);
}

// Guards against a task that stands still for ever: the leader that throttled it has ended, and the
// next one took it to run at full speed.
TEST_F(RepeatedCommandsTest, ANewLeaderSendsTheSpeedOfEachRunThatItFinds)
{
  this->AddWorker("w1");
  for (bool isAdopted : { false, true }) {
    Dispatcher next(this->settings, this->now);
    next.SetPolicy(this->policy);
    next.ListWorker(*this->dispatcher.FindWorker("w1"));
    JobProgress progress;
    progress.state = DispatchState::Running;
    progress.steps.resize(1);
    if (!isAdopted) {
      progress.steps[0].open.push_back({ 0, 1, "w1" });
    }
    next.RestoreJob(Filler(), progress, this->now, this->wall);
    WorkerReport report;
    report.incarnation = 1;
    report.clock = this->workerClock;
    report.running.push_back({ { "filler", 0, 0, 0 }, 1, "", 10, 0 });
    std::vector<ThrottleCommand> sent;
    for (int step = 0; step < 40; ++step) {
      this->Advance(milliseconds(50));
      ++report.running[0].percent;
      report.clock = this->workerClock;
      next.OnReport("w1", report, this->now, this->now);
      DispatchRound decided = next.Decide(this->now, this->wall, this->requestSlots);
      sent.insert(sent.end(), decided.throttles.begin(), decided.throttles.end());
      if (sent.size() == 2) {
        next.OnThrottleConfirmed(sent[1], this->now);
      }
    }
    ASSERT_EQ(sent.size(), 2U) << "repeated until confirmed";
    EXPECT_EQ(sent[0].percent, 100);
  }
}

// Guards against a run that goes on although its stop was confirmed, or whose stop was lost.
TEST_F(RepeatedCommandsTest, AStopIsRepeatedUntilTheRunIsNoLongerListed)
{
  this->AddWorker("w1");
  this->Add(Job("job", 1));
  std::vector<StartCommand> started = this->RoundAccepted();
  ASSERT_TRUE(this->dispatcher.CancelJob("job", this->now, this->wall));
  std::vector<TimePoint> sent;
  for (int step = 0; step < 100; ++step) {
    this->Advance(milliseconds(50));
    this->Report("w1", { Running(started[0]) });
    this->Round();
    if (!this->round.stops.empty()) {
      sent.push_back(this->now);
    }
    if (sent.size() == 2 && sent.back() == this->now) {
      this->dispatcher.OnStopConfirmed(this->round.stops[0], this->now);
    }
  }
  ASSERT_GE(sent.size(), 3U);
  EXPECT_GE(sent[2] - sent[1], seconds(2)) << "the worker may need time to stop the run";
  this->Report("w1", {});
  this->Advance(seconds(1));
  this->Round();
  EXPECT_TRUE(this->round.stops.empty());
}

} // namespace
} // namespace daisydrift
