#pragma once
// Choice of the jobs that can be in time when there is more work than room.

#include "WorkerReliability.h"

#include <limits>
#include <queue>
#include <tuple>

namespace daisydrift::dispatch {

/// Decides which jobs are still expected to be in time. Answers a burst in any queue, or a team
/// that submits more work than its resource ceiling allows: in the order of their due times all
/// jobs end up shortly too late. When the work that has to start up to the latest start of a step
/// is more than can start until then, the selector gives up the job that loses the least value for
/// the work that it has not started, so that jobs earn as much as possible. Running tasks keep
/// their capacity either way, so a job that has most of its work done or running is given up only
/// when no other is left. Wide jobs and small teams are given up only as often as GiveUpShares
/// allows. Jobs that are given up are served after the others while they still have some value, and
/// then last. All are chosen anew in each update, so a job returns when there is capacity for it.
///
/// Each priority of a service is selected by itself. The jobs of the first one have the capacity
/// that is free and that their own tasks use; those of a lower one also have what still lower ones
/// use, but neither the capacity of services and of higher priorities nor the headroom, and the
/// waiting work of higher priorities goes before theirs.
class OverloadSelector
{
public:
  OverloadSelector(FleetState& aState, const WorkerReliability& aReliability);

  /// Updates the outlook of all jobs; does so only from time to time.
  void Update(TimePoint aNow, DispatchRound& aRound);
  /// Counts a job that was added at aNow.
  void OnAdded(Job& aJob, TimePoint aNow);
  /// Counts the end of a job that has completed since the last update.
  void OnCompleted(const Job& aJob);

private:
  struct Candidate
  {
    Job* job;
    /// Time for which the waiting tasks of the job would take all of the limit.
    Duration load;
    /// Value that is lost for each second of load; the jobs with the least are given up.
    double cost = 0;
    bool isMostlyDone = false;
    /// The part of the load that a run of GiveUp has come to.
    Duration added{ 0 };
  };
  /// The waiting tasks of one step.
  struct Demand
  {
    Candidate* candidate;
    /// Order of arrival of the job; kept here, since sorting compares it most often.
    std::uint64_t sequence;
    std::uint32_t step;
    /// Place in the order of starts.
    TimePoint orderTime;
    /// The step can't be in time after this by declared run times.
    TimePoint latestStart;
    Duration load;
    /// Load that fits into what is free, and so starts at once.
    Duration startsAtOnce;
  };
  using Candidates = std::vector<Candidate>;
  /// Jobs of one priority of a service that have a due time.
  struct PriorityJobs
  {
    std::vector<Job*> inRate;
    /// Above the rates of their teams; served after all others of the priority.
    std::vector<Job*> overRate;
    /// Cores, in thousandths, of the smallest task.
    std::int64_t smallestMilliCores = std::numeric_limits<std::int64_t>::max();
  };
  /// What jobs may use.
  struct Limit
  {
    Resources total;
    /// The part that no task uses, in thousandths of a core.
    std::int64_t freeMilliCores = 0;
    double FreeShare() const;
  };
  using JobsByPriority = std::map<std::uint32_t, PriorityJobs>;
  using LimitsByPriority = std::map<std::uint32_t, Limit>;

  void UpdateTeam(const Team& aTeam, const std::vector<Job*>& aJobs, TimePoint aNow) const;
  void UpdateService(const std::string& aService, const JobsByPriority& aJobs, TimePoint aNow);
  /// Adds what a worker has for the jobs of each priority.
  void AddLimits(const Worker& aWorker,
                 const JobsByPriority& aJobs,
                 LimitsByPriority& aLimits) const;
  /// Jobs that may be given up. In each bucket all are allowed, or none.
  class OpenCandidates
  {
  public:
    explicit OpenCandidates(std::size_t aLevel)
      : level(aLevel)
    {
    }
    void Add(Candidate& aCandidate);
    /// Removes and returns the job that costs least; null when there is none.
    Candidate* TakeCheapest();

  private:
    struct IsCheaper
    {
      bool operator()(const Candidate* aLeft, const Candidate* aRight) const;
    };
    struct IsDearer
    {
      bool operator()(const Candidate* aLeft, const Candidate* aRight) const
      {
        return IsCheaper()(aRight, aLeft);
      }
    };
    using Bucket = std::priority_queue<Candidate*, std::vector<Candidate*>, IsDearer>;

    std::size_t level;
    std::map<std::tuple<bool, WidthClass, const ShareCount*>, Bucket> buckets;
  };

  static Candidate MakeCandidate(Job& aJob, Duration aLoad);
  /// Lowers the outlook of the jobs that aLimit has no room for in time. aAhead: time for which
  /// the work that goes first takes all of the limit.
  static void Select(const std::vector<Job*>& aJobs,
                     const Limit& aLimit,
                     Duration aAhead,
                     TimePoint aNow);
  /// Of the jobs with the outlook aFrom, those that have to be given up get the next one. Those
  /// with a better outlook go first.
  static void GiveUp(Candidates& aCandidates,
                     JobOutlook aFrom,
                     const Limit& aLimit,
                     Duration aAhead,
                     TimePoint aNow);
  /// Counts the jobs that are given up for the first time, and names some of them in the log.
  void ReportAll(TimePoint aNow, DispatchRound& aRound) const;
  static void Report(const Job& aJob, TimePoint aNow);
  /// Adds the waiting steps of a job whose time is over after aFactor times its latency objective.
  static void AddDemands(Candidate& aCandidate,
                         int aFactor,
                         const Limit& aLimit,
                         std::vector<Demand>& aDemands);

  FleetState& state;
  const WorkerReliability& reliability;
  TimePoint now;
  TimePoint nextUpdate;
  std::map<QueueName, GiveUpShares> shares;
  /// Moving averages of the limits below the first priority, by service.
  std::map<std::string, LimitsByPriority> averageLimits;
};

} // namespace daisydrift::dispatch
