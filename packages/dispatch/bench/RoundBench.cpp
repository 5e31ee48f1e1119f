// Duration of a scheduling round on a full fleet, by number of workers and waiting steps.

#include "daisydrift/dispatch.h"

#include <chrono>
#include <cstdio>

namespace daisydrift {
namespace {

using std::chrono::milliseconds;

constexpr int kRounds = 200;

struct Fleet
{
  explicit Fleet(int aWorkers)
    : dispatcher(this->settings, this->now)
  {
    AdvicePolicy advice{ milliseconds(370), std::chrono::microseconds(5300), milliseconds(2500) };
    this->policy.queues["batch"] = { "batch", "desk", 2, 3, 2.2, milliseconds(1200), advice };
    AdvicePolicy quickAdvice{ milliseconds(28),
                              std::chrono::microseconds(400),
                              milliseconds(2500) };
    this->policy.queues["quick"] = { "quick", "desk", 0, 4, 1.5, milliseconds(300), quickAdvice };
    this->policy.teams["team"] = { "team", 100000, {} };
    this->dispatcher.SetPolicy(this->policy);
    for (int number = 0; number < aWorkers; ++number) {
      WorkerListing listing;
      listing.id = "i-" + std::to_string(100000 + number);
      listing.service = "desk";
      listing.endpoint = { "10.0.0.1", 80 };
      listing.domain = "north";
      listing.labels = { "a", "r" + std::to_string(number / 12) };
      listing.rack = listing.labels[1];
      listing.capacity = { 32000, 64000, 0 };
      this->dispatcher.ListWorker(listing);
      this->workers.push_back(listing.id);
    }
    this->Report();
  }

  void Report()
  {
    WorkerReport report;
    report.incarnation = 1;
    report.clock = milliseconds(1000);
    for (const WorkerId& id : this->workers) {
      this->dispatcher.OnReport(id, report, this->now, this->now);
    }
  }

  void AddJobs(int aCount, std::uint32_t aTasks, const char* aQueue = "batch")
  {
    for (int number = 0; number < aCount; ++number) {
      JobDefinition job;
      job.id = "job" + std::to_string(this->nextJob++);
      job.queue = aQueue;
      job.team = "team";
      StepSpec step;
      step.taskCount = aTasks;
      step.size = { 9000, 7000, 0 };
      step.estimate = milliseconds(4000);
      job.steps.push_back(step);
      this->dispatcher.AddJob(job, this->now, this->wall);
    }
  }

  /// Runs a scheduling round, accepts its starts and grants every third worker of its advice
  /// requests.
  std::size_t Round()
  {
    DispatchRound round = this->dispatcher.Decide(this->now, this->wall, 44);
    for (AttemptKey key : round.starts) {
      if (this->dispatcher.TakeStartCommand(key, this->now)) {
        this->dispatcher.OnStartResult(key, StartResult::Accepted, this->now);
      }
    }
    for (const AdviceRequest& request : round.adviceRequests) {
      std::vector<AdviceGrant> grants;
      for (std::size_t index = 0; index < request.workers.size(); index += 3) {
        grants.push_back({ request.workers[index], "ticket" });
      }
      this->dispatcher.OnAdvice(request, grants, this->now + milliseconds(2500));
    }
    return round.starts.size();
  }

  DispatchSettings settings;
  TimePoint now{ std::chrono::hours(1) };
  WallTime wall{ std::chrono::hours(500000) };
  Dispatcher dispatcher;
  FleetPolicy policy;
  std::vector<WorkerId> workers;
  int nextJob = 0;
};

void Measure(int aWorkers, int aWaitingJobs, const char* aQueue)
{
  Fleet fleet(aWorkers);
  fleet.AddJobs(aWorkers, 20);
  while (fleet.Round() > 0) {
  }
  fleet.AddJobs(aWaitingJobs, 20, aQueue);
  Duration total{ 0 };
  for (int round = 0; round < kRounds; ++round) {
    fleet.now += milliseconds(10);
    auto begin = std::chrono::steady_clock::now();
    fleet.Round();
    total += std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - begin);
  }
  DispatchCounts counts = fleet.dispatcher.Counts(fleet.now);
  std::printf("bench=dispatch_round queue=%s workers=%d waiting_steps=%d running=%zu "
              "mean_us=%.1f\n",
              aQueue,
              aWorkers,
              aWaitingJobs,
              counts.runningTasks,
              static_cast<double>(total.count()) / kRounds);
}

} // namespace
} // namespace daisydrift

int main()
{
  for (int workers : { 48, 350, 1000 }) {
    daisydrift::Measure(workers, 50, "batch");
    daisydrift::Measure(workers, 200, "batch");
    daisydrift::Measure(workers, 700, "quick");
  }
  return 0;
}
