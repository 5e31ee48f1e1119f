#pragma once
// Simple policies to compare with.

#include "Policy.h"

#include <deque>
#include <map>
#include <random>
#include <unordered_map>

namespace daisydrift::bench {

/// Starts tasks in order of arrival by declared size, within ceilings and outside drained failure
/// domains, gangs whole. No shares, preemption, reservations, estimates or quarantine. A task that
/// failed three times is given up.
class BaselinePolicy : public Policy
{
public:
  enum class Kind
  {
    /// First worker with room; tasks that do not fit are passed over.
    FirstFit,
    /// The emptier of two random workers with room; tasks that do not fit are passed over.
    RandomOfTwo,
    /// First worker with room; the first job that does not fit blocks all others.
    Fifo
  };

  BaselinePolicy(Kind aKind, std::uint64_t aSeed);

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
    std::uint32_t active = 0;
    bool isCancelled = false;
  };
  struct Placed
  {
    std::size_t worker = 0;
    Resources size;
  };

  static constexpr std::size_t kNone = static_cast<std::size_t>(-1);
  /// Starts what the job can start now; false when some of it does not fit.
  bool StartJob(Job& aJob,
                std::size_t aMaxStarts,
                std::size_t& aStarts,
                std::vector<Decision>& aOut);
  std::size_t Find(const Resources& aSize);
  bool IsUsable(const Worker& aWorker, const Resources& aSize) const;

  Kind kind;
  std::mt19937_64 random;
  std::vector<Worker> workers;
  std::unordered_map<WorkerId, std::size_t> workerByName;
  std::map<TeamName, Team> teams;
  std::set<FailureDomain> drained;
  std::map<JobNumber, Job> jobs;
  /// Jobs with waiting tasks, by arrival.
  std::set<JobNumber> queue;
  std::map<AttemptId, Placed> running;
  std::vector<StopDecision> stops;
};

} // namespace daisydrift::bench
