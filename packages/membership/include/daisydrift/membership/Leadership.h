#pragma once
// Leadership of a region: one instance at a time decides about its jobs.

#include "daisydrift/membership/LeaseState.h"
#include "daisydrift/membership/RoleHistory.h"
#include "daisydrift/membership/SuccessorClaim.h"

#include <optional>
#include <vector>

namespace daisydrift {

/// What a leader may do.
enum class LeadershipStatus
{
  /// Nothing.
  Follower,
  /// Nothing for now: the lease is past its confirmed time.
  Doubtful,
  /// In an outage: renew the leases of running tasks, restart a task on the worker of its journaled
  /// assignment, serve reads.
  Continuing,
  /// Everything.
  Leading
};

/// Role name of a leadership in SupportLedger.
std::string LeaderRole(const std::string& aRegion);

/// Campaigns for the leadership of a region, renews it and steps down. Not thread-safe.
///
/// Epochs come from a counter without a lease (RoleHistory) and are written to the leased key under
/// the lease that the candidate holds, so a later leader always has a higher epoch. The journal's
/// barrier is the fence; this class only prevents contention.
class Leadership
{
public:
  Leadership(Store& aStore,
             const Clock& aClock,
             std::string aRegion,
             InstanceId aInstance,
             std::string aAddress,
             LeaseOptions aOptions = {});

  /// Tries to become the leader. aPeers: the other seats of the region, from a table read just
  /// before. Returns the new epoch, for TakeOver(). Errors: Conflict (there is a leader),
  /// NotPermitted (this instance leads), and those of the store; after an error it does not lead.
  Result<Epoch> Campaign(const std::set<InstanceId>& aPeers);
  /// Renews the lease; due each second. aPeers as in Campaign(). Errors: LeaseExpired (the
  /// leadership is lost), NotPermitted (this instance does not lead), and those of the store.
  std::error_code Renew(const std::set<InstanceId>& aPeers);
  /// Steps down. The caller has stopped sending commands to workers.
  void StepDown();
  /// Gives up without a store call, because a higher epoch was seen (journal or worker).
  void OnFenced() { this->state.Lose(); }

  /// What this instance may do at this moment. Asked before each action.
  LeadershipStatus Status(TimePoint aNow);
  /// Epoch of this instance's leadership; 0 when it does not lead.
  Epoch LeaderEpoch() const { return this->state.Key().IsHeld() ? this->epoch : 0; }
  /// State of the chart, for logs.
  const std::string& StateName() const { return this->state.Name(); }
  /// Former leaders that may still renew leases of tasks.
  const std::vector<RoleHolder>& Formers() const { return this->formers; }
  /// Heartbeat answers about this leader go here.
  OutageEvidence& Evidence() { return this->state.Evidence(); }
  /// An instance acknowledged this leader as successor; as SuccessorClaim::OnAcknowledgement.
  void OnAcknowledgement(const InstanceId& aPeer, TimePoint aSentAt, TimePoint aReceivedAt);
  /// A former leader is proved to have stopped.
  void OnFormerStopped(const InstanceId& aFormer, TimePoint aNow);
  /// When all former leaders were known to have stopped. A silent worker's tasks may be declared
  /// lost only when the wait of section 2.7 has passed since then and since the last renewal sent.
  std::optional<TimePoint> FormersStoppedAt(TimePoint aNow) const;

private:
  std::error_code EnterTerm();

  Store& store;
  const Clock& clock;
  std::string region;
  RoleHolder self;
  LeaseOptions options;
  LeaseState state;
  Epoch epoch = 0;
  std::vector<RoleHolder> formers;
  std::set<InstanceId> unproved;
  std::optional<SuccessorClaim> succession;
  /// Time of the term's begin; the answer of FormersStoppedAt when there are no formers.
  TimePoint electedAt = TimePoint::min();
  bool isSettled = false;
};

/// The leader of a region as the store shows it. Errors: NotFound (none), Corrupt, and those of the
/// store.
Result<RoleHolder> ReadLeaderOf(Store& aStore,
                                const std::string& aRegion,
                                std::chrono::milliseconds aTimeout);

} // namespace daisydrift
