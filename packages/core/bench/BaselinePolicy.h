#pragma once
// Simple scheduling policies as baselines.

#include "Policy.h"

#include <deque>
#include <map>
#include <random>
#include <unordered_map>

namespace daisydrift::bench {

/// Starts tasks in order of arrival by declared size, within ceilings and outside drained failure
/// domains, and gangs only as a whole. Has no shares, preemption, reservations, estimates or
/// quarantine. A task that has failed three times is not retried.
class BaselinePolicy : public Policy
{
public:
  enum class Strategy
  {
    /// First worker with enough free resources; tasks that fit on no worker are skipped.
    FirstFit,
    /// Of two random workers with enough free resources, the one with more free cores; tasks for
    /// which no such worker is found are skipped.
    RandomOfTwo,
    /// First worker with enough free resources; the first job with a task that fits on no worker
    /// blocks all later jobs.
    Fifo
  };

  BaselinePolicy(Strategy aStrategy, std::uint64_t aSeed);

  void SetTeams(const std::vector<TeamPolicy>& aTeams, TimePoint aNow) override;
  void SetDrained(const std::set<FailureDomain>& aDrained, TimePoint aNow) override;
  void UpdateWorker(const WorkerDescription& aWorker, TimePoint aNow) override;
  void AddJob(const JobSpec& aSpec, TimePoint aNow) override;
  void CancelJob(JobNumber aJob, TimePoint aNow) override;
  void OnEnded(const AttemptId& aAttempt, AttemptOutcome aOutcome, TimePoint aNow) override;
  void OnUsage(const AttemptId&, const Resources&, TimePoint) override {}
  std::vector<Decision> Decide(TimePoint aNow, std::size_t aMaxStarts) override;

private:
  struct Worker
  {
    WorkerDescription description;
    Resources free;
  };
  struct Team
  {
    TeamPolicy policy;
    Resources running;
    std::uint32_t tasks = 0;
  };
  struct Job
  {
    JobSpec spec;
    std::deque<std::uint32_t> waiting;
    std::map<std::uint32_t, std::uint32_t> attempts;
    std::map<std::uint32_t, std::uint32_t> failures;
    std::uint32_t activeTasks = 0;
    bool isCancelled = false;
  };
  struct Placement
  {
    std::size_t worker = 0;
    Resources size;
  };

  static constexpr std::size_t kNone = static_cast<std::size_t>(-1);
  /// Starts the tasks of the job that fit now; returns false when tasks are left waiting.
  bool StartJob(Job& aJob,
                std::size_t aMaxStarts,
                std::size_t& aStarts,
                std::vector<Decision>& aOut);
  std::size_t FindWorker(const Resources& aSize);
  bool IsUsable(const Worker& aWorker, const Resources& aSize) const;

  Strategy strategy;
  std::mt19937_64 random;
  std::vector<Worker> workers;
  std::unordered_map<WorkerId, std::size_t> workerByName;
  std::map<TeamName, Team> teams;
  std::set<FailureDomain> drained;
  std::map<JobNumber, Job> jobs;
  /// Jobs with waiting tasks, ordered by arrival.
  std::set<JobNumber> queue;
  std::map<AttemptId, Placement> running;
  std::vector<StopDecision> stops;
};

} // namespace daisydrift::bench
