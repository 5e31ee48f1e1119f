#pragma once
// Hands stored jobs over from the instance that accepted them to the leader.

#include "Leader.h"

#include <deque>
#include <unordered_set>

namespace daisydrift::coordination {

/// Longest time in which an instance goes on storing a job or telling a leader about it: half of
/// the retention time. After all of it the leader has forgotten a job that has ended or was
/// cancelled, and would run it again.
inline Duration MaxHandoverTime(const InstanceSettings& aSettings)
{
  return aSettings.retention / 2;
}

/// Tells the leader about stored jobs, and repeats it until a leader has taken them. One call is
/// open at a time, with many jobs, so that a late leader gets few calls. A job that is given up, or
/// whose instance ends, is found by the leader in the job list.
class StoredJobNotifier
{
public:
  /// aOwnLeader returns this instance's Leader; null unless it leads and has loaded the stored
  /// jobs.
  StoredJobNotifier(const Leader::Environment& aEnvironment,
                    Membership& aMembership,
                    std::function<Leader*()> aOwnLeader);
  ~StoredJobNotifier();

  /// Adds a job that is in the store. Jobs that are waiting already are ignored.
  void Add(const JobDefinition& aJob);

private:
  struct WaitingJob
  {
    JobDefinition definition;
    TimePoint addedAt;
  };

  void SendNext();
  /// Removes jobs that have waited so long that the leader may have finished and forgotten them.
  void RemoveExpired();
  void SendTo(const LeaderRecord& aLeader);
  void OnResponse(const LeaderRecord& aLeader, std::size_t aCount, std::error_code aError);
  /// The leader does not accept the call: it is of an earlier version, or the call is malformed.
  void OnRejected(const LeaderRecord& aLeader);
  /// Removes the oldest job, which the leader finds in the job list.
  void GiveUpOldest();
  void RetryLater();
  /// Removes the aCount oldest jobs.
  void RemoveOldest(std::size_t aCount);

  Leader::Environment env;
  Membership& membership;
  std::function<Leader*()> ownLeader;
  /// Oldest first; the jobs of an open call are at the front.
  std::deque<WaitingJob> waiting;
  std::unordered_set<JobId> waitingIds;
  /// A call is open, or a retry is scheduled.
  bool isBusy = false;
  /// The last call failed.
  bool isUnanswered = false;
  /// Incarnation of a leader that takes only one job a call.
  std::string singleJobLeader;
  Duration retryDelay;
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace daisydrift::coordination
