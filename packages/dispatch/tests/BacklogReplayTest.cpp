// Replays a burst on a large fleet whose queue needs advice. Room is left at all times, so what
// limits the starts is how many waiting steps the scheduler considers.

#include "DispatcherFixture.h"
#include "LoadReplay.h"

#include <algorithm>
#include <iostream>
#include <map>

namespace daisydrift {
namespace {

using std::chrono::milliseconds;

constexpr int kWorkers = 540;
constexpr std::int64_t kWorkerMilliCores = 16000;
constexpr std::size_t kRequestSlots = 97;
constexpr milliseconds kTick{ 10 };
/// Time between two rounds of a leader with half a core and several hundred waiting steps.
constexpr milliseconds kRoundInterval{ 20 };
constexpr milliseconds kEstimate{ 640 };
constexpr milliseconds kTicketTime{ 2500 };
constexpr milliseconds kTargetLatency{ 300 };
constexpr double kStretch = 1.5;
constexpr std::int64_t kTaskMilliCores = 3400;
/// Services that take a quarter of the fleet.
constexpr std::uint32_t kServiceTasks = 640;
constexpr std::int64_t kServiceMilliCores = 4500;
/// Workers of each hundred that the advice service grants.
constexpr std::size_t kGrantedOfHundred = 70;
/// Run times, in hundredths of the estimate, are at least kMinRun and below kMinRun + kRunSpread.
constexpr std::size_t kMinRun = 60;
constexpr std::size_t kRunSpread = 80;

class BacklogReplayTest : public DispatcherFixture
{
protected:
  void SetUp() override
  {
    AdvicePolicy advice{ milliseconds(28), std::chrono::microseconds(400), kTicketTime };
    this->policy.queues["quick"] = { "quick", "desk", 0, 4, kStretch, kTargetLatency, advice };
    this->policy.queues["watch"] = { "watch", "desk", 1, 4, kStretch, kTargetLatency, {} };
    this->dispatcher.SetPolicy(this->policy);
    this->requestSlots = kRequestSlots;
    for (int number = 0; number < kWorkers; ++number) {
      this->AddWorker("w" + std::to_string(1000 + number), kWorkerMilliCores);
    }
    JobDefinition service = Job("service", kServiceTasks, kServiceMilliCores);
    service.queue = "watch";
    service.steps[0].isService = true;
    this->Add(service);
    for (std::size_t started = 0; started < kServiceTasks;) {
      std::vector<StartCommand> commands = this->RoundAccepted();
      started += commands.size();
      for (const StartCommand& command : commands) {
        this->runs.push_back({ command, TimePoint::max() });
      }
      ASSERT_FALSE(commands.empty());
    }
  }

  struct Run
  {
    StartCommand command;
    TimePoint endsAt;
  };
  struct WaitingJob
  {
    TimePoint arrivedAt;
    Duration objective{ 0 };
  };

  void AddRecorded(const RecordedJob& aRecorded)
  {
    JobDefinition job = Job("job" + std::to_string(this->nextJob++), 1);
    job.team = aRecorded.team;
    job.steps.clear();
    for (std::uint32_t number = 0; number < aRecorded.widths.size(); ++number) {
      StepSpec step;
      step.taskCount = aRecorded.widths[number];
      step.size = { kTaskMilliCores, 100, 0 };
      step.estimate = kEstimate;
      if (number > 0) {
        step.dependencies = { number - 1 };
      }
      job.steps.push_back(step);
    }
    auto chain = kEstimate * static_cast<std::int64_t>(aRecorded.widths.size());
    auto objective = std::chrono::duration_cast<Duration>(chain * kStretch) + kTargetLatency;
    this->waiting[job.id] = { this->now, objective };
    this->Add(job);
  }

  static std::size_t Hash(const std::string& aText) { return std::hash<std::string>()(aText); }

  /// Answers the requests that are due.
  void Answer()
  {
    while (!this->asked.empty() && this->asked.begin()->first <= this->now) {
      AdviceRequest request = this->asked.begin()->second;
      this->asked.erase(this->asked.begin());
      std::vector<AdviceGrant> grants;
      for (const WorkerId& worker : request.workers) {
        if (Hash(request.step.job + worker) % 100 < kGrantedOfHundred) {
          grants.push_back({ worker, "ticket" });
        }
      }
      this->dispatcher.OnAdvice(request, grants, this->now + kTicketTime);
    }
  }

  void Start()
  {
    for (const StartCommand& command : this->RoundAccepted()) {
      std::size_t share =
        kMinRun + Hash(command.task.job + std::to_string(command.task.index)) % kRunSpread;
      this->runs.push_back({ command, this->now + kEstimate * share / 100 });
    }
    for (const AdviceRequest& request : this->round.adviceRequests) {
      this->asked.emplace(this->now + request.expected, request);
    }
  }

  /// Each worker reports what it runs, and what has ended.
  void ReportAll()
  {
    std::map<WorkerId, std::pair<std::vector<RunningTask>, std::vector<RunCompletion>>> reports;
    for (const WorkerId& worker : this->dispatcher.Workers()) {
      reports[worker];
    }
    int percent = static_cast<int>(this->nextCompletion % 100); // Progress keeps changing.
    std::erase_if(this->runs, [&](const Run& aRun) {
      auto& [running, completions] = reports[aRun.command.worker];
      if (aRun.endsAt > this->now) {
        running.push_back(Running(aRun.command, percent));
        return false;
      }
      completions.push_back(this->Completion(aRun.command, RunOutcome::Succeeded));
      return true;
    });
    for (auto& [worker, report] : reports) {
      this->Report(worker, report.first, report.second);
    }
  }

  void CountFinished()
  {
    std::erase_if(this->waiting, [&](const auto& aEntry) {
      if (this->dispatcher.State(aEntry.first) != DispatchState::Completed) {
        return false;
      }
      bool isInTime = this->now - aEntry.second.arrivedAt <= aEntry.second.objective;
      ++(isInTime ? this->inTime : this->late);
      return true;
    });
  }

  void Replay(const std::vector<RecordedJob>& aLoad)
  {
    TimePoint begin = this->now;
    TimePoint nextRound = this->now;
    TimePoint end = begin + aLoad.back().arrival + std::chrono::seconds(20);
    for (std::size_t next = 0; this->now < end && (next < aLoad.size() || !this->waiting.empty());
         this->Advance(kTick)) {
      while (next < aLoad.size() && begin + aLoad[next].arrival <= this->now) {
        this->AddRecorded(aLoad[next++]);
      }
      this->ReportAll();
      this->CountFinished();
      this->Answer();
      if (this->now >= nextRound) {
        nextRound = this->now + kRoundInterval;
        this->Start();
        DispatchCounts counts = this->dispatcher.Counts(this->now);
        this->mostWaiting = std::max(this->mostWaiting, counts.waitingTasks);
      }
    }
  }

  std::vector<Run> runs;
  std::multimap<TimePoint, AdviceRequest> asked;
  std::map<JobId, WaitingJob> waiting;
  std::size_t inTime = 0;
  std::size_t late = 0;
  std::size_t mostWaiting = 0;
  int nextJob = 0;
};

// Guards against a backlog that grows beside free workers, since a round compares each step with
// all workers and therefore considers few steps.
TEST_F(BacklogReplayTest, ABurstIsDoneInTimeOnALargeFleetWithRoom)
{
  std::vector<RecordedJob> load = ReadRecordedLoad("burst-first-priority.txt");
  ASSERT_FALSE(load.empty());
  this->Replay(load);
  std::cout << "replay=burst-first-priority jobs=" << load.size() << " in_time=" << this->inTime
            << " late=" << this->late << " most_waiting_tasks=" << this->mostWaiting << "\n";
  EXPECT_GE(this->inTime * 100, load.size() * 99);
}

} // namespace
} // namespace daisydrift
