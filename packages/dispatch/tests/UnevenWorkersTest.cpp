// Replays of uneven workers and run times against the dispatcher in virtual time.

#include "DispatcherFixture.h"

#include <map>
#include <random>

namespace daisydrift {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{ 20 };
constexpr std::int64_t kTaskMilliCores = 4500;
constexpr std::int64_t kCeilingMilliCores = 150000;
constexpr double kTailFactor = 7;

struct SimulatedRun
{
  StartCommand command;
  Duration total{ 0 };
  Duration done{ 0 };
};

/// Jobs of ten tasks on 12 workers of three sizes. Of 100 runs three take seven times as long, and
/// declared times are off by up to 90%. Checks with every step that no worker and no team is over
/// its limit, and that no task has more runs than it may.
class UnevenWorkersTest : public DispatcherFixture
{
protected:
  UnevenWorkersTest()
  {
    this->policy.teams["team"] = { "team", 1000, { kCeilingMilliCores, 0, 0 } };
    this->dispatcher.SetPolicy(this->policy);
    for (int number = 0; number < 12; ++number) {
      std::int64_t capacity = number % 4 == 0 ? 16000 : number % 4 == 1 ? 64000 : 32000;
      std::string id = "w" + std::to_string(100 + number);
      this->capacities[id] = capacity;
      this->AddWorker(id, capacity);
    }
  }

  double Random(double aFrom, double aTo)
  {
    return aFrom + (aTo - aFrom) * (this->engine() % 10000) / 10000.0;
  }

  void AddJob(std::uint32_t aNumber, bool aAllowsCopies)
  {
    JobDefinition job =
      Job((aAllowsCopies ? "copied" : "plain") + std::to_string(aNumber), 10, kTaskMilliCores);
    job.steps[0].allowsCopies = aAllowsCopies;
    // The actual time of a task, without tails, is 680 ms.
    job.steps[0].estimate =
      std::chrono::duration_cast<Duration>(milliseconds(680) / Random(0.53, 1.9));
    this->addedAt[job.id] = this->now;
    this->Add(job);
  }

  void Start()
  {
    for (const StartCommand& command : this->RoundAccepted()) {
      double factor = Random(0.9, 1.1) * (this->engine() % 100 < 3 ? kTailFactor : 1);
      Duration total = std::chrono::duration_cast<Duration>(milliseconds(680) * factor);
      this->runs[command.worker].push_back({ command, total, Duration(0) });
    }
    for (const StopCommand& stop : this->round.stops) {
      std::erase_if(this->runs[stop.worker], [&stop](const SimulatedRun& aRun) {
        return aRun.command.task == stop.task && aRun.command.run == stop.run;
      });
    }
  }

  void CheckLimits(bool aAllowsCopies)
  {
    std::int64_t ofTeam = 0;
    std::map<TaskName, std::map<WorkerId, std::size_t>> runsByTask;
    for (const auto& [worker, entries] : this->runs) {
      auto cores = static_cast<std::int64_t>(entries.size()) * kTaskMilliCores;
      ASSERT_LE(cores, this->capacities[worker]) << worker;
      ofTeam += cores;
      for (const SimulatedRun& run : entries) {
        ASSERT_EQ(++runsByTask[run.command.task][worker], 1U);
      }
    }
    ASSERT_LE(ofTeam, kCeilingMilliCores);
    for (const auto& [task, workers] : runsByTask) {
      ASSERT_LE(workers.size(), aAllowsCopies ? 2U : 1U) << task.job << " " << task.index;
    }
  }

  void ReportAll()
  {
    for (auto& [worker, entries] : this->runs) {
      std::vector<RunCompletion> completions;
      std::vector<RunningTask> running;
      std::erase_if(entries, [&](SimulatedRun& aRun) {
        aRun.done += kTick;
        bool isOver = aRun.done >= aRun.total;
        if (isOver) {
          completions.push_back(this->Completion(aRun.command, RunOutcome::Succeeded));
        } else {
          running.push_back(Running(aRun.command, static_cast<int>(aRun.done * 100 / aRun.total)));
        }
        return isOver;
      });
      this->Report(worker, running, completions);
      this->dispatcher.ExtendWorkerLease(worker, this->now);
    }
  }

  /// Mean time from arrival to completion of 100 jobs, one each 400 ms.
  Duration MeanTime(bool aAllowsCopies)
  {
    constexpr std::uint32_t kJobs = 100;
    Duration sum{ 0 };
    std::uint32_t added = 0;
    std::uint32_t tick = 0;
    for (; added < kJobs || !this->addedAt.empty(); ++tick) {
      if (tick % 20 == 0 && added < kJobs) {
        this->AddJob(added++, aAllowsCopies);
      }
      this->Start();
      this->CheckLimits(aAllowsCopies);
      this->Advance(kTick);
      this->ReportAll();
      std::erase_if(this->addedAt, [&](const auto& aEntry) {
        bool isOver = this->dispatcher.State(aEntry.first) == DispatchState::Completed;
        sum += isOver ? this->now - aEntry.second : Duration(0);
        return isOver;
      });
      if (HasFatalFailure() || tick > 100000) {
        ADD_FAILURE() << "jobs without an end: " << this->addedAt.size();
        break;
      }
    }
    return sum / kJobs;
  }

  std::mt19937 engine{ 20261207 };
  std::map<WorkerId, std::int64_t> capacities;
  std::map<WorkerId, std::vector<SimulatedRun>> runs;
  std::map<JobId, TimePoint> addedAt;
};

// Guards against jobs that wait for the runs that take seven times as long, and against second runs
// of tasks that don't allow them.
TEST_F(UnevenWorkersTest, CopiesEndJobsSoonerWithinAllLimits)
{
  Duration without = this->MeanTime(false);
  EXPECT_EQ(this->dispatcher.Counts(this->now).copiesStarted, 0U);
  Duration with = this->MeanTime(true);
  EXPECT_GT(this->dispatcher.Counts(this->now).copiesWon, 0U);
  // A quarter of the jobs have a tail, which adds more than half of the mean time.
  EXPECT_LT(with, without * 3 / 4);
  this->RecordProperty("mean_us_without", static_cast<int>(without.count()));
  this->RecordProperty("mean_us_with", static_cast<int>(with.count()));
  this->RecordProperty("copies",
                       static_cast<int>(this->dispatcher.Counts(this->now).copiesStarted));
}

} // namespace
} // namespace daisydrift
