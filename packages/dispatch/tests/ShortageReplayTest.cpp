// Replays a shortage in virtual time: the load of a batch queue rises to 2.5 times the usual for
// seven seconds on a fleet that is nearly full with it, interactive jobs and services.

#include "daisydrift/dispatch.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <iostream>

namespace daisydrift {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{ 20 };
constexpr milliseconds kReportInterval{ 200 };
constexpr milliseconds kLoadTime{ 30000 };
constexpr milliseconds kBurstBegin{ 12900 };
constexpr milliseconds kBurstEnd{ 19900 };
constexpr int kWorkers = 290;
constexpr std::uint64_t kTeams = 20;
constexpr int kServices = 13;
constexpr int kNoValueFactor = 3;
constexpr double kLateValue = 0.2;
/// Numbers of tasks of a job's steps, each for a tenth of the jobs, in hundredths of the mean.
constexpr std::array<std::uint64_t, 10> kWidths = { 18, 29, 41, 53, 65, 82, 100, 129, 177, 306 };

/// Jobs of one kind, and what they earn of their possible value.
struct Share
{
  double possible = 0;
  double earned = 0;
  int jobs = 0;
  int inTime = 0;

  void Add(double aValue, double aEarned, bool aIsInTime)
  {
    this->possible += aValue;
    this->earned += aEarned;
    ++this->jobs;
    this->inTime += aIsInTime ? 1 : 0;
  }
  double Earned() const { return this->possible > 0 ? this->earned / this->possible : 0; }
  double InTime() const { return static_cast<double>(this->inTime) / std::max(this->jobs, 1); }
};

struct Result
{
  std::map<QueueName, Share> queues;
  /// The batch jobs by their numbers of tasks.
  std::multimap<std::uint64_t, Share> byTasks;
  std::map<TeamName, Share> teams;

  /// Batch jobs that are wider than aFrom, and at most as wide as aTo, hundredths of all.
  double InTimeByWidth(std::size_t aFrom, std::size_t aTo) const
  {
    Share sum;
    std::size_t position = 0;
    for (const auto& [tasks, share] : this->byTasks) {
      std::size_t percent = position++ * 100 / this->byTasks.size();
      if (percent >= aFrom && percent < aTo) {
        sum.Add(share.possible, share.earned, share.inTime > 0);
      }
    }
    return sum.InTime();
  }
  double Widest() const { return this->InTimeByWidth(90, 100); }
  double Wide() const { return this->InTimeByWidth(70, 90); }
  double WorstTeam() const
  {
    double worst = 1;
    for (const auto& [name, share] : this->teams) {
      worst = std::min(worst, share.Earned());
    }
    return worst;
  }
};

class ShortageReplay
{
public:
  explicit ShortageReplay(const DispatchSettings& aSettings)
    : dispatcher(aSettings, this->now)
  {
    FleetPolicy policy;
    policy.queues["quick"] = { "quick", "desk", 0, 2, 1.5, milliseconds(300), {} };
    policy.queues["watch"] = { "watch", "desk", 1, 2, 1, milliseconds(2500), {} };
    policy.queues["batch"] = { "batch", "desk", 2, 4, 2.2, milliseconds(1200), {} };
    for (std::uint64_t team = 0; team < kTeams; ++team) {
      policy.teams[std::to_string(team)] = { std::to_string(team), 1000, {} };
    }
    this->dispatcher.SetPolicy(policy);
    constexpr std::array<std::int64_t, 4> kCores = { 32000, 16000, 32000, 64000 };
    for (int number = 0; number < kWorkers; ++number) {
      WorkerListing listing;
      listing.id = "w" + std::to_string(1000 + number);
      listing.service = "desk";
      listing.endpoint = { "10.0.0.1", 80 };
      listing.domain = "north";
      listing.capacity = { kCores[static_cast<std::size_t>(number) % kCores.size()], 640000, 0 };
      listing.incarnation = 1;
      this->dispatcher.ListWorker(listing);
      this->runs[listing.id];
    }
  }

  Result Run()
  {
    this->Report(true);
    for (int service = 0; service < kServices; ++service) {
      this->Add("watch", 1, 20, milliseconds(0), 9000);
    }
    for (Duration time{ 0 }; time < kLoadTime || !this->open.empty(); time += kTick) {
      bool isBurst = time >= kBurstBegin && time < kBurstEnd;
      // Jobs a thousand seconds: 30 and 4.6, or 2.5 times as many, a second.
      this->Arrive("quick", time < kLoadTime ? 30000 : 0);
      this->Arrive("batch", time < kLoadTime ? (isBurst ? 11500 : 4600) : 0);
      this->Report(time % kReportInterval == Duration(0));
      this->Start();
      this->now += kTick;
      this->wall += kTick;
    }
    return this->result;
  }

private:
  struct Running
  {
    StartCommand command;
    TimePoint startedAt;
    TimePoint endsAt;
  };
  struct OpenJob
  {
    QueueName queue;
    TeamName team;
    std::uint64_t tasks = 0;
    double value = 0;
    TimePoint dueAt;
    TimePoint noValueAt;
  };

  /// The same numbers on each platform.
  std::uint64_t Random(std::uint64_t aBelow)
  {
    constexpr std::uint64_t kFactor = 6364136223846793005ULL;
    constexpr std::uint64_t kIncrement = 1442695040888963407ULL;
    constexpr unsigned kHighBits = 33;
    this->random = this->random * kFactor + kIncrement;
    return (this->random >> kHighBits) % aBelow;
  }

  void Arrive(const QueueName& aQueue, std::uint64_t aPerThousandSeconds)
  {
    constexpr std::uint64_t kTicksPerThousandSeconds = 1000 * 1000 / kTick.count();
    if (this->Random(kTicksPerThousandSeconds) >= aPerThousandSeconds) {
      return;
    }
    bool isQuick = aQueue == "quick";
    std::size_t width = this->Random(kWidths.size());
    std::uint64_t mean = isQuick ? 10 : 17;
    std::uint64_t steps = isQuick ? 1 + (this->Random(10) < 6 ? 1 : 0) : 1 + this->Random(3);
    auto tasks = static_cast<std::uint32_t>((mean * kWidths[width] + 50) / 100);
    milliseconds estimate(isQuick ? 600 + this->Random(800) : 2800 + this->Random(4000));
    JobId id = this->Add(aQueue, steps, tasks, estimate, isQuick ? 4500 : 9000);
    double meanWork = isQuick ? 1.6 * 10 * 1000 : 2 * 17 * 4800;
    double work = static_cast<double>(steps * tasks) * static_cast<double>(estimate.count());
    Duration path = estimate * static_cast<std::int64_t>(steps);
    Duration objective =
      isQuick ? path * 3 / 2 + milliseconds(300) : path * 11 / 5 + milliseconds(1200);
    this->open[id] = { aQueue,
                       this->lastTeam,
                       steps * tasks,
                       std::min(0.3 + 0.7 * work / meanWork, 4.0),
                       this->now + objective,
                       this->now + objective * kNoValueFactor };
  }

  JobId Add(const QueueName& aQueue,
            std::uint64_t aSteps,
            std::uint32_t aTasks,
            milliseconds aEstimate,
            std::int64_t aMilliCores)
  {
    JobDefinition job;
    job.id = "job" + std::to_string(this->nextJob++);
    job.queue = aQueue;
    job.team = this->lastTeam = std::to_string(this->Random(kTeams));
    for (std::uint32_t number = 0; number < aSteps; ++number) {
      StepSpec step;
      step.taskCount = aTasks;
      step.size = { aMilliCores, 100, 0 };
      step.estimate = aEstimate;
      step.isService = aQueue == "watch";
      if (number > 0) {
        step.dependencies = { number - 1 };
      }
      job.steps.push_back(step);
    }
    this->estimates[job.id] = aEstimate;
    this->dispatcher.AddJob(job, this->now, this->wall);
    return job.id;
  }

  void Start()
  {
    for (AttemptKey key : this->dispatcher.Decide(this->now, this->wall, 0).starts) {
      if (auto command = this->dispatcher.TakeStartCommand(key, this->now)) {
        this->dispatcher.OnStartResult(key, StartResult::Accepted, this->now);
        Duration estimate = this->estimates[command->task.job];
        std::int64_t percent = 70 + (this->estimates[command->task.job] / milliseconds(1) +
                                     command->task.index * 37 + command->task.step * 11) %
                                      60;
        Duration time = estimate * percent / 100;
        TimePoint end = estimate.count() == 0 ? TimePoint::max() : this->now + time;
        this->runs[command->worker].push_back({ *command, this->now, end });
      }
    }
  }

  /// The workers with ended runs report; with aIsFull all of them.
  void Report(bool aIsFull)
  {
    for (auto& [id, running] : this->runs) {
      WorkerReport report;
      report.incarnation = 1;
      report.clock = std::chrono::duration_cast<milliseconds>(this->now.time_since_epoch());
      std::erase_if(running, [&, this](const Running& aRun) {
        if (aRun.endsAt > this->now) {
          RunningTask task{ aRun.command.task, aRun.command.run, "", 100, 0 };
          if (aRun.endsAt != TimePoint::max()) {
            task.percent =
              static_cast<int>((this->now - aRun.startedAt) * 100 / (aRun.endsAt - aRun.startedAt));
          }
          report.running.push_back(task);
          return false;
        }
        report.completions.push_back({ ++this->lastCompletion,
                                       aRun.command.task,
                                       aRun.command.run,
                                       RunOutcome::Succeeded,
                                       "" });
        return true;
      });
      if (aIsFull || !report.completions.empty()) {
        this->dispatcher.OnReport(id, report, this->now, this->now);
        this->dispatcher.ExtendWorkerLease(id, this->now);
      }
    }
    std::erase_if(this->open, [this](const auto& aEntry) {
      const OpenJob& job = aEntry.second;
      bool isDone = this->dispatcher.State(aEntry.first) == DispatchState::Completed;
      if (!isDone && this->now <= job.noValueAt) {
        return false;
      }
      bool isInTime = isDone && this->now <= job.dueAt;
      bool hasValue = isDone && this->now <= job.noValueAt;
      double earned = isInTime ? job.value : (hasValue ? kLateValue * job.value : 0);
      this->result.queues[job.queue].Add(job.value, earned, isInTime);
      if (job.queue == "batch") {
        Share share;
        share.Add(job.value, earned, isInTime);
        this->result.byTasks.emplace(job.tasks, share);
        this->result.teams[job.team].Add(job.value, earned, isInTime);
      }
      return true;
    });
  }

  TimePoint now{ std::chrono::hours(1) };
  WallTime wall{ std::chrono::hours(500000) };
  Dispatcher dispatcher;
  std::map<WorkerId, std::vector<Running>> runs;
  std::map<JobId, OpenJob> open;
  std::map<JobId, Duration> estimates;
  std::uint64_t lastCompletion = 0;
  std::uint64_t random = 20261204;
  int nextJob = 0;
  TeamName lastTeam;
  Result result;
};

Result Replay(const char* aName, SchedulingOrder aOrder)
{
  DispatchSettings settings;
  settings.order = aOrder;
  Result result = ShortageReplay(settings).Run();
  const Share& batch = result.queues["batch"];
  std::cout << "replay=batch-shortage order=" << aName << " batch_jobs=" << batch.jobs
            << " batch_earned=" << batch.Earned() << " batch_in_time=" << batch.InTime()
            << " widest_in_time=" << result.Widest() << " wide_in_time=" << result.Wide()
            << " worst_team=" << result.WorstTeam()
            << " quick_earned=" << result.queues["quick"].Earned() << "\n";
  return result;
}

// Guards against a burst in a queue below the first priority that makes all its jobs slightly too
// late, since the order of latest starts spreads the delay over all of them.
TEST(ShortageReplayTest, GivingUpSomeBatchJobsYieldsMoreValueThanTheBaselines)
{
  Result arrival = Replay("arrival", SchedulingOrder::Arrival);
  Result latestStart = Replay("latest_start", SchedulingOrder::LatestStart);
  Result mostInTime = Replay("most_in_time", SchedulingOrder::MostInTime);
  EXPECT_GT(mostInTime.queues["batch"].Earned(), latestStart.queues["batch"].Earned());
  EXPECT_GT(mostInTime.queues["batch"].InTime(), latestStart.queues["batch"].InTime());
  EXPECT_GT(mostInTime.queues["batch"].Earned(), arrival.queues["batch"].Earned());
  EXPECT_GT(mostInTime.WorstTeam(), latestStart.WorstTeam());
  // Wide jobs are late at most one and a half times as often as all.
  double bound = 1.5 * (1 - mostInTime.queues["batch"].InTime());
  EXPECT_LE(1 - mostInTime.Widest(), bound);
  EXPECT_LE(1 - mostInTime.Wide(), bound);
  // Batch jobs don't gain at the expense of the first priority.
  EXPECT_GE(mostInTime.queues["quick"].Earned(), latestStart.queues["quick"].Earned() - 0.01);
}

} // namespace
} // namespace daisydrift
