#pragma once
// Decides until when a leader has provably led, and since when no earlier leader can prove it.

#include "daisydrift/dispatch/DispatchTypes.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace daisydrift {

/// A leader extends leases on workers only up to a time that follows from its last proof of
/// leadership, so that a later leader knows when all of them have expired. There are two proofs:
/// the store shows that no other leader was elected, or more than half of the stored voters accept
/// a poll. Voters are workers; each rejects the polls of a leader once it has accepted one of a
/// later leader. So when half of the voters have answered a later leader, the earlier one gets no
/// proof any more. The voters are stored as a set of ids: sets that leaders count by themselves may
/// have no worker in common when the fleet has changed.
class LeadershipConfirmation
{
public:
  using Voters = std::set<WorkerId>;

  /// aEarlierVoters are the voters that earlier leaders may count; empty when an earlier leader may
  /// extend leases without a proof.
  explicit LeadershipConfirmation(std::optional<Voters> aEarlierVoters);

  /// The store has shown that this leader led at aTime.
  void OnStoreConfirmed(TimePoint aTime);
  /// A record with these voters is sent to the store. Until it is known to be stored, a later
  /// leader may read the former voters or the new ones, so a proof needs more than half of both.
  /// Must not be called again before OnVotersStored.
  void OnVotersSent(const Voters& aVoters);
  void OnVotersStored();
  /// The worker has accepted a poll, sent at aSentAt and answered at aNow. A worker that may have
  /// restarted, and so may have forgotten a later leader's poll, does not count until the store has
  /// confirmed the leadership at a time after the first answer of its incarnation.
  void OnPollAccepted(const WorkerId& aWorker,
                      std::int64_t aIncarnation,
                      TimePoint aSentAt,
                      TimePoint aNow);

  /// Latest time at which this leader is known to have led; the clock's zero when there is none.
  TimePoint ConfirmedAt() const;
  /// True once no earlier leader can get a proof for a time later than the present.
  bool HaveEarlierLeadersEnded() const;
  /// Number of workers that count as voters at present, and of those among them that have accepted
  /// a poll which was sent at aTime or later.
  std::size_t CountVoters() const { return this->voters.size(); }
  std::size_t CountAccepted(TimePoint aTime) const;
  /// Number of times that all votes were counted.
  std::uint64_t Counts() const { return this->counts; }

private:
  struct WorkerState
  {
    std::int64_t incarnation = 0;
    /// Time of the first answer of the incarnation.
    TimePoint knownAt;
    /// Send time of the last accepted poll.
    TimePoint acceptedAt;
  };

  /// Latest time since which more than half of these voters have accepted a poll.
  TimePoint ConfirmedBy(const Voters& aVoters) const;
  /// Time of the worker's last accepted poll; the clock's zero when the worker does not count.
  TimePoint AcceptedAt(const WorkerId& aWorker) const;

  /// Number of the voters that earlier leaders may count, and those that have not answered.
  std::size_t earlierVoterCount = 0;
  std::optional<Voters> earlierVotersLeft;
  /// The stored voters; none before the first record is stored.
  Voters voters;
  std::optional<Voters> sentVoters;
  std::map<WorkerId, WorkerState> workers;
  TimePoint storeConfirmedAt;
  TimePoint workersConfirmedAt;
  /// Polls without a proof by the store since the votes were counted.
  std::size_t pollsSinceCount = 0;
  std::uint64_t counts = 0;
};

} // namespace daisydrift
