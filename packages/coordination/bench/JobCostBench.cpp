// What one accepted job costs the leader of a large cluster, and what lost polls of the job list
// cost it. Simulated time; the processor time is measured and contains the leader's own work
// without HTTP.

#include "../tests/Cluster.h"

#include <cstdio>
#include <ctime>

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kInstances = 44;
constexpr int kWorkers = 350;
constexpr int kJobsPerSecond = 70;
constexpr milliseconds kTick{ 10 };
constexpr std::size_t kPayloadBytes = 600;

double ProcessorSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

class JobCost : public Cluster
{
public:
  JobCost()
  {
    for (int number = 4; number < kWorkers; ++number) {
      this->fleet.AddWorker(this->store, "w" + std::to_string(number));
    }
    for (int number = 0; number < kInstances; ++number) {
      this->StartInstance(number);
    }
    this->loop.RunFor(seconds(3));
    ProcessState& state = this->processes[this->LeaderNumber()]->state;
    state.execute = [this](const std::function<void()>& aAction) {
      double begin = ProcessorSeconds();
      aAction();
      this->processorSeconds += ProcessorSeconds() - begin;
    };
    state.onMessage = [this](const std::string& aKind, std::size_t aBytes) {
      ++this->messages[aKind].first;
      this->messages[aKind].second += aBytes;
    };
  }

  void TestBody() override {}

  void Run(Duration aTime, int aRate)
  {
    this->messages.clear();
    this->processorSeconds = 0;
    double due = 0;
    for (TimePoint end = this->loop.Now() + aTime; this->loop.Now() < end;) {
      due += std::chrono::duration<double>(kTick).count() * aRate;
      for (; due >= 1; due -= 1) {
        this->SubmitNext();
      }
      this->loop.RunFor(kTick);
    }
  }

  void Print(const char* aCase, double aDivisor, const char* aUnit)
  {
    for (const auto& [kind, count] : this->messages) {
      std::printf("bench=job_cost case=%s message=%s calls_per_%s=%.3f bytes_per_%s=%.0f\n",
                  aCase,
                  kind.c_str(),
                  aUnit,
                  static_cast<double>(count.first) / aDivisor,
                  aUnit,
                  static_cast<double>(count.second) / aDivisor);
    }
    std::printf("bench=job_cost case=%s processor_us_per_%s=%.0f\n",
                aCase,
                aUnit,
                this->processorSeconds * 1e6 / aDivisor);
  }

  std::map<std::string, std::pair<std::size_t, std::size_t>> messages;
  double processorSeconds = 0;

  void LosePolls(int aOneIn)
  {
    this->store.isWatchResponseLost = [aOneIn, number = 0](const std::string& aPrefix) mutable {
      return aPrefix == "daisydrift/jobs/" && ++number % aOneIn == 0;
    };
  }

private:
  void SubmitNext()
  {
    JobDefinition job;
    job.id = "job" + std::to_string(this->submitted++);
    job.queue = "queue";
    job.team = "team";
    job.payload = std::string(kPayloadBytes, 'x');
    job.acceptedAt = this->loop.WallClockNow();
    StepSpec step;
    step.taskCount = 2;
    step.size = { 1000, 100, 0 };
    step.estimate = milliseconds(600);
    job.steps.push_back(step);
    // Not through the leader, since the others accept nearly all jobs.
    int instance = static_cast<int>(this->submitted) * 7 % kInstances;
    instance = instance == this->LeaderNumber() ? (instance + 1) % kInstances : instance;
    this->instances[instance]->Submit(job, milliseconds(2500), [](SubmitOutcome) {});
  }

  std::size_t submitted = 0;
};

void Measure()
{
  JobCost cluster;
  constexpr seconds kTime{ 20 };
  auto time = static_cast<double>(kTime.count());
  cluster.Run(kTime, 0);
  cluster.Print("idle", time, "second");
  // The default retention time is 130 s.
  cluster.Run(seconds(130), kJobsPerSecond);
  cluster.Run(kTime, kJobsPerSecond);
  cluster.Print("load", time * kJobsPerSecond, "job");
  cluster.LosePolls(2);
  cluster.Run(kTime, kJobsPerSecond);
  cluster.Print("one_poll_in_two_lost", time, "second");
  cluster.LosePolls(1);
  cluster.Run(kTime, kJobsPerSecond);
  cluster.Print("all_polls_lost", time, "second");
}

} // namespace
} // namespace daisydrift

int main()
{
  daisydrift::ConfigureStdoutLogging(daisydrift::LogLevel::Error);
  daisydrift::Measure();
  return 0;
}
