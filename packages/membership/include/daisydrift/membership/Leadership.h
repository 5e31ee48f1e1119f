#pragma once
// Leadership of a region. One instance at a time schedules the jobs of a region.

#include "daisydrift/membership/LeasedRole.h"
#include "daisydrift/membership/PredecessorStopDetector.h"
#include "daisydrift/membership/RoleHistory.h"

#include <optional>
#include <vector>

namespace daisydrift {

/// What a leader may do.
enum class LeadershipStatus
{
  /// Not the leader; may do nothing.
  Follower,
  /// May do nothing until the store confirms the lease or there is evidence of an outage: the
  /// confirmed time of the lease has passed.
  Doubtful,
  /// Leader during a store outage. May renew the leases of running tasks, restart a task on the
  /// worker of its journaled assignment, and serve reads.
  Continuing,
  /// Leader with a confirmed lease; may do everything.
  Leading
};

/// Name of the role of leader of aRegion, for SupporterState.
std::string LeaderRole(const std::string& aRegion);

/// Campaigns for the leadership of a region, renews it and steps down. Not thread-safe.
///
/// Epochs come from a counter without a lease (RoleHistory) and are written to the leased key under
/// the lease that the candidate holds, so a later leader always has a higher epoch. Earlier leaders
/// are fenced off by the barrier in the journal; this class only prevents contention between
/// instances.
class Leadership
{
public:
  Leadership(Store& aStore,
             const Clock& aClock,
             std::string aRegion,
             InstanceId aInstance,
             std::string aAddress,
             LeaseOptions aOptions = {});

  /// Tries to become the leader. aPeers: the other instances with a seat in the region, from a seat
  /// table read just before. Returns the new epoch. Errors: Conflict (there is a leader),
  /// NotPermitted (this instance leads already), and those of the store. After any other error than
  /// NotPermitted this instance does not lead.
  Result<Epoch> Campaign(const std::set<InstanceId>& aPeers);
  /// Renews the lease; called once a second. aPeers as in Campaign(). Errors: LeaseExpired (the
  /// leadership is lost), NotPermitted (this instance does not lead), and those of the store.
  std::error_code Renew(const std::set<InstanceId>& aPeers);
  /// Gives up the leadership. The caller must have stopped sending commands to workers.
  void StepDown();
  /// Gives up the leadership without a store call: the journal or a worker has seen a higher epoch.
  void OnFenced() { this->role.OnLost(); }

  /// What this instance may do at aNow. Must be checked before each action.
  LeadershipStatus Status(TimePoint aNow);
  /// Epoch of this instance's leadership; 0 when it does not lead.
  Epoch LeaderEpoch() const { return this->role.Key().IsHeld() ? this->epoch : 0; }
  /// Name of the state in leadership.chart, for logs.
  const std::string& StateName() const { return this->role.StateName(); }
  /// Earlier leaders that may still renew leases of tasks.
  const std::vector<RoleHolder>& Predecessors() const { return this->predecessors; }
  /// Evidence for continuing without a confirmed lease; it receives the heartbeat results about
  /// this leader.
  OutageEvidence& Evidence() { return this->role.Evidence(); }
  /// An instance acknowledged this leader as successor; as
  /// PredecessorStopDetector::OnAcknowledgement.
  void OnAcknowledgement(const InstanceId& aPeer, TimePoint aSentAt, TimePoint aReceivedAt);
  /// There is proof that an earlier leader has stopped.
  void OnPredecessorStopped(const InstanceId& aPredecessor, TimePoint aNow);
  /// When it became known that all earlier leaders have stopped; nothing while it is not. The tasks
  /// of an unresponsive worker may be declared lost only when the wait of docs/design.md, section
  /// 2.7, has passed since then and since the last renewal that was sent.
  std::optional<TimePoint> PredecessorsStoppedAt(TimePoint aNow) const;

private:
  std::error_code EnterTerm();

  Store& store;
  const Clock& clock;
  std::string region;
  RoleHolder self;
  LeaseOptions options;
  LeasedRole role;
  Epoch epoch = 0;
  std::vector<RoleHolder> predecessors;
  /// Predecessors without proof that they have stopped.
  std::set<InstanceId> predecessorsWithoutStopProof;
  std::optional<PredecessorStopDetector> stopDetector;
  /// Begin of the term; returned by PredecessorsStoppedAt when there are no predecessors.
  TimePoint electedAt = TimePoint::min();
  /// True once the stored history lists no predecessors of this term.
  bool isHistoryCleared = false;
};

/// Reads the leader of a region from the store. Errors: NotFound (no leader), Corrupt (malformed
/// record), and those of the store.
Result<RoleHolder> ReadLeaderOf(Store& aStore,
                                const std::string& aRegion,
                                std::chrono::milliseconds aTimeout);

} // namespace daisydrift
