// A throttle or a stop whose answer is lost, or that an earlier leader has sent, is sent again.

#include "Cluster.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Workers with a service that is above its target. Records throttles, and loses some answers.
class SlowedFleet : public FakeFleet
{
public:
  void Throttle(const WorkerListing& aWorker,
                const ThrottleCommand& aCommand,
                Epoch aFencingToken,
                std::function<void(std::error_code)> aDone) override
  {
    this->throttles.push_back({ aCommand, aFencingToken });
    if (this->lostAnswers > 0) {
      --this->lostAnswers;
      this->events.After(milliseconds(200),
                         [aDone] { aDone(make_error_code(Errc::OutcomeUnknown)); });
    } else {
      FakeFleet::Throttle(aWorker, aCommand, aFencingToken, std::move(aDone));
    }
  }
  void Stop(const WorkerListing& aWorker,
            const StopCommand& aCommand,
            Epoch aFencingToken,
            std::function<void(std::error_code)> aDone) override
  {
    ++this->stops;
    if (this->lostStops > 0) {
      --this->lostStops;
      this->events.After(milliseconds(200),
                         [aDone] { aDone(make_error_code(Errc::OutcomeUnknown)); });
    } else {
      FakeFleet::Stop(aWorker, aCommand, aFencingToken, std::move(aDone));
    }
  }
  void Poll(const WorkerListing& aWorker,
            const PollRequest& aRequest,
            Epoch aFencingToken,
            std::function<void(const Result<WorkerReport>&)> aDone) override
  {
    FakeFleet::Poll(
      aWorker, aRequest, aFencingToken, [this, aDone](const Result<WorkerReport>& aReport) {
        Result<WorkerReport> report = aReport;
        if (report) {
          for (RunningTask& running : report->running) {
            running.tailLatencyMs = running.task.job == "service" ? this->tailLatencyMs : 0;
          }
        }
        aDone(report);
      });
  }

  struct SentThrottle
  {
    ThrottleCommand command;
    Epoch token = 0;
  };
  VirtualLoop& events;
  std::vector<SentThrottle> throttles;
  int lostAnswers = 0;
  int stops = 0;
  int lostStops = 0;
  double tailLatencyMs = 250;

  SlowedFleet(VirtualLoop& aLoop, VirtualLoop& aEvents)
    : FakeFleet(aLoop)
    , events(aEvents)
  {
  }
};

class RepeatedCommandsTest : public Cluster
{
protected:
  RepeatedCommandsTest()
    : slowed(this->loop, this->loop)
  {
    for (int number = 0; number < 4; ++number) {
      this->store.Remove("workers/w" + std::to_string(number));
    }
    this->slowed.AddWorker(this->store, "busy");
    this->slowed.planRun = [](const StartCommand&) {
      return std::pair(std::optional<Duration>(), RunOutcome::Succeeded);
    };
    for (int number = 0; number < 2; ++number) {
      this->StartSlowed(number);
    }
    this->loop.RunFor(seconds(2));
    JobDefinition service = OneTask("service");
    service.steps[0].isService = true;
    service.steps[0].tailLatencyTarget = milliseconds(100);
    EXPECT_EQ(this->Submit(0, service), SubmitOutcome::Accepted);
    JobDefinition filler = OneTask("filler");
    filler.steps[0].usesSpareCores = true;
    EXPECT_EQ(this->Submit(0, filler), SubmitOutcome::Accepted);
  }

  /// As StartInstance, with the workers of this test.
  void StartSlowed(int aNumber)
  {
    InstanceSettings settings;
    settings.name = "i" + std::to_string(aNumber);
    settings.domain = "north";
    settings.peerEndpoint = { "10.0.0.1", static_cast<unsigned short>(9000 + aNumber) };
    settings.operatorPrefix = "operators/";
    settings.workerPrefix = "workers/";
    PlatformDecoders decoders{ [](const std::string&, Findings&) {
                                return std::optional(FleetConfig());
                              },
                               ParseFakeWorker,
                               "operators/config",
                               "operators/drain/",
                               "",
                               nullptr,
                               "",
                               nullptr };
    auto process = std::make_unique<FakeProcess>(this->loop,
                                                 this->store,
                                                 this->slowed,
                                                 this->peers,
                                                 this->metrics,
                                                 decoders,
                                                 settings,
                                                 MachineSpeed());
    this->peers.instances[settings.peerEndpoint.port] = &process->instance;
    this->peers.processes[settings.peerEndpoint.port] = &process->state;
    this->instances[aNumber] = &process->instance;
    process->instance.Start();
    this->processes[aNumber] = std::move(process);
  }

  static JobDefinition OneTask(const JobId& aId)
  {
    JobDefinition job;
    job.id = aId;
    job.rules = QueuePolicy{ "queue", "desk", 0, 3, 1.5, milliseconds(250), {}, 1 };
    job.steps.resize(1);
    job.steps[0].taskCount = 1;
    job.steps[0].size = { 1000, 100, 0 };
    job.steps[0].estimate = seconds(60);
    return job;
  }

  SlowedFleet slowed;
};

TEST_F(RepeatedCommandsTest, AThrottleWithoutAnswerIsSentAgain)
{
  this->slowed.lostAnswers = 2;
  this->loop.RunFor(seconds(8));
  ASSERT_EQ(this->slowed.throttles.size(), 3U) << "until it is confirmed";
  for (const auto& sent : this->slowed.throttles) {
    EXPECT_EQ(sent.command.percent, 0);
  }
}

// The next leader does not know what the former one has sent.
TEST_F(RepeatedCommandsTest, ANewLeaderSendsTheSpeed)
{
  this->loop.RunFor(seconds(6));
  ASSERT_FALSE(this->slowed.throttles.empty());
  Epoch former = this->slowed.throttles.back().token;
  this->slowed.tailLatencyMs = 10;
  this->KillInstance(this->LeaderNumber());
  this->loop.RunFor(seconds(4));
  ASSERT_GT(this->slowed.throttles.back().token, former);
  EXPECT_EQ(this->slowed.throttles.back().command.percent, 100);
}

TEST_F(RepeatedCommandsTest, AStopWithoutAnswerIsSentAgainByTheNextLeaderToo)
{
  this->loop.RunFor(seconds(2));
  this->slowed.lostStops = 4;
  ASSERT_FALSE(this->Cancel(0, "filler"));
  this->loop.RunFor(milliseconds(900));
  EXPECT_GE(this->slowed.stops, 2);
  EXPECT_EQ(this->slowed.CountRuns(TaskName{ "filler", 0, 0, 0 }), 1U);
  this->KillInstance(this->LeaderNumber());
  this->loop.RunFor(seconds(6));
  EXPECT_EQ(this->slowed.CountRuns(TaskName{ "filler", 0, 0, 0 }), 0U);
}

} // namespace
} // namespace daisydrift
