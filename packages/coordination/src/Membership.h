#pragma once
// Group membership and leader election.

#include "RangeFollower.h"
#include "UnreadableEntries.h"
#include "daisydrift/coordination/Instance.h"

#include <map>
#include <optional>
#include <set>

namespace daisydrift::coordination {

/// What a candidate knows of the leaders before it, as it campaigns.
struct EarlierLeaders
{
  /// Longest lease on workers that they have asked for; 0 when that is not known.
  Duration longestLease{ 0 };
  /// None of them extends leases any more, except perhaps the last one.
  bool haveAllButLastEnded = false;
  /// Workers of which more than half must accept a leader's polls to prove its leadership; empty
  /// when an earlier leader may extend leases without a proof, as earlier versions do.
  std::optional<std::set<WorkerId>> voters;
  /// The last one; its incarnation is empty when it is not known.
  std::string name;
  SocketEndpoint endpoint;
  std::string incarnation;
};

/// The current leader, as far as this instance knows.
struct LeaderRecord
{
  std::string name;
  SocketEndpoint endpoint;
  /// Unique for each start of a process.
  std::string incarnation;
  Epoch term = 0;
  EarlierLeaders earlier;
  /// Revision of the leader key; 0 when the record came from another instance.
  std::uint64_t revision = 0;
};

struct MemberRecord
{
  std::string name;
  SocketEndpoint endpoint;
  FailureDomain domain;
  /// Delay before this member campaigns; the shortest on the machines with the most cores.
  Duration campaignDelay{ 0 };
  /// Time since which this instance has known the member without a gap.
  TimePoint since;
};

/// Stored for the leaders up to a term; it outlives their own records.
struct StoredLeases
{
  Epoch term = 0;
  /// Longest lease on workers that they have asked for; 0 when that is not known.
  Duration longestLease{ 0 };
  /// All but the last have ended.
  bool haveEarlierEnded = false;
  /// As EarlierLeaders::voters.
  std::optional<std::set<WorkerId>> voters;
};

/// Keeps the lease and the member record of this instance, and campaigns when there is no leader. A
/// leader is replaced at once if its process has provably ended, otherwise when its lease expires.
class Membership
{
public:
  struct Hooks
  {
    /// This instance has been elected; the record has the revision of the leader key.
    std::function<void(const LeaderRecord&)> onElected;
    /// Another instance leads, or none does.
    std::function<void()> onLeaderChanged;
    /// The store has refused a lease renewal.
    std::function<void()> onStoreRefused;
    /// The store is available again; empty for no action.
    std::function<void()> onStoreRegained = {};
  };

  Membership(EventLoop& aLoop,
             KeyValueStore& aStore,
             PeerTransport& aPeers,
             const InstanceSettings& aSettings,
             Metrics& aMetrics,
             std::string aIncarnation,
             Hooks aHooks);

  void Start();
  /// Stops campaigning, and deletes the leader key that belongs to the given record, with retries.
  /// Changes of the group are still followed, since callers' requests are still served.
  void Resign(const std::optional<LeaderRecord>& aOwnRecord, const std::function<void()>& aDone);
  /// The leadership of this instance has ended without a call of Resign.
  void OnLeadershipLost();

  const std::optional<LeaderRecord>& Leader() const { return this->leader; }
  /// Time of the last change of Leader().
  TimePoint LeaderSince() const { return this->leaderSince; }
  const std::map<std::string, MemberRecord>& Members() const { return this->members; }
  const std::string& Incarnation() const { return this->incarnation; }
  /// Last term in which this instance led; 0 for none.
  Epoch LastHeldTerm() const { return this->lastHeldTerm; }
  /// Latest time at which the store has shown that this instance leads with that term.
  TimePoint LeadershipConfirmedAt() const { return this->leadershipConfirmedAt; }
  /// Tracks from the result of a store call whether the store is available.
  void OnStoreResult(std::error_code aError);
  /// True when the store has answered the last call.
  bool IsStoreAvailable() const { return this->storeOutage.IsAvailable(); }
  /// The present outage of the store, as this instance sees it.
  const OutageEstimator& StoreOutage() const { return this->storeOutage; }
  /// True when the lease cannot have expired, judged by this instance's clock.
  bool IsLeaseValid() const;
  /// Renews the lease now, to detect whether the store is available.
  void ProbeStore();
  /// Handles a leader's offer of leadership. True when this instance accepts and campaigns, which
  /// it does only if the store is available and no renewal has failed for aMinAvailableTime.
  bool AcceptHandover(const std::string& aIncarnation, Duration aMinAvailableTime);
  /// Call when a call to the leader has failed: probes whether its process still runs.
  void SuspectLeader();
  /// Reports of entries and messages that can't be decoded.
  UnreadableEntries& Unreadable() const { return this->unreadable; }
  /// Adopts a leader record from another instance unless it is older.
  void UpdateLeader(const LeaderRecord& aLeader);

private:
  void AcquireLease();
  void Register();
  void Renew();
  void ApplyRange(const std::vector<KeyValueItem>& aItems);
  void ApplyChange(const std::string& aKey,
                   const std::optional<std::string>& aValue,
                   std::uint64_t aRevision);
  /// Decodes an entry; nothing, after a report, when it can't be decoded.
  template<typename Record>
  std::optional<Record> Decode(const std::string& aKey,
                               const std::optional<std::string>& aValue,
                               std::uint64_t aRevision,
                               std::optional<Record> (*aDecoder)(const nlohmann::json&,
                                                                 std::string*));
  /// Applies a change of the leader key; an unreadable record counts as no leader, and a new
  /// election replaces it.
  void ApplyLeader(std::optional<LeaderRecord> aRecord, std::uint64_t aRevision);
  /// Highest term that this instance knows of.
  Epoch NewestTerm() const;
  /// True when there has been no leader yet.
  bool IsFirstTerm() const { return this->NewestTerm() == 0 && !this->isTermUnreadable; }
  void SetLeader(std::optional<LeaderRecord> aLeader);
  /// Campaigns after a delay that differs between instances.
  void CampaignAfterDelay();
  void Campaign();
  /// Campaigns at once if the leader is an earlier process of this instance, which has ended.
  void ReclaimLeadership();
  void ConfirmElection(const LeaderRecord& aRecord);
  /// The leaders until now.
  EarlierLeaders KnownLeaders() const;
  /// Starts this instance's leadership with that record, which was in the store at aConfirmedAt or
  /// later.
  void BecomeLeader(const LeaderRecord& aElected, TimePoint aConfirmedAt);
  /// The range of the group has been read or watched.
  void OnRangeConfirmed();
  void ProbeLeader(int aAttemptsLeft);
  /// Asks the members with the shortest campaign delays, all shorter than this one's, to probe the
  /// leader as well, so that one of them takes over.
  void AlertMembersWithShorterDelay();

  EventLoop& loop;
  KeyValueStore& store;
  PeerTransport& peers;
  const InstanceSettings& settings;
  std::string incarnation;
  Hooks hooks;
  std::string prefix;
  std::uint64_t lease = 0;
  /// Send time of the last renewal that was answered.
  TimePoint renewedAt;
  bool isStopping = false;
  bool isLoaded = false;
  bool isCampaigning = false;
  bool isProbing = false;
  OutageEstimator storeOutage;
  TimePoint lastFailedRenewal;
  std::optional<LeaderRecord> leader;
  TimePoint leaderSince;
  /// Revision of the leader key; 0 when it does not exist.
  std::uint64_t leaderRevision = 0;
  Epoch term = 0;
  /// Revision of the term key; 0 when it does not exist.
  std::uint64_t termRevision = 0;
  /// The term key holds no term, so there may have been later leaders than those known.
  bool isTermUnreadable = false;
  /// Without a readable record it has the term 0.
  StoredLeases leases;
  /// Revision of that record; 0 when it does not exist.
  std::uint64_t leasesRevision = 0;
  /// The last leader that was known.
  std::optional<LeaderRecord> lastLeader;
  TimePoint leadershipConfirmedAt;
  /// Last term in which this instance led, and the last one that ended without Resign.
  Epoch lastHeldTerm = 0;
  Epoch lastLostTerm = 0;
  std::map<std::string, MemberRecord> members;
  mutable UnreadableEntries unreadable;
  RangeFollower range;
};

/// The record of the longest lease that leaders up to aTerm have asked for, of whether all before
/// aTerm have ended, and of the voters that leaders up to aTerm may count. It outlives the leaders'
/// own records.
KeyValueTransaction::Put LeasesItem(const InstanceSettings& aSettings,
                                    Epoch aTerm,
                                    Duration aLongestLease,
                                    bool aHaveEarlierEnded,
                                    const std::optional<std::set<WorkerId>>& aVoters);

/// Lease on workers that an instance asks for when it leads.
Duration OwnLease(const InstanceSettings& aSettings);

/// Longest lease on workers that an earlier leader may have asked for.
Duration LongestLease(const EarlierLeaders& aEarlier, const InstanceSettings& aSettings);

/// JSON of a leader record, for the leader key and for announcements.
nlohmann::json ToJson(const LeaderRecord& aLeader);
/// The decoders return nothing for a malformed record, and then the reason in aError if that is not
/// null.
std::optional<LeaderRecord> LeaderRecordFromJson(const nlohmann::json& aRecord,
                                                 std::string* aError = nullptr);
std::optional<StoredLeases> StoredLeasesFromJson(const nlohmann::json& aRecord,
                                                 std::string* aError = nullptr);
/// The name and the time are not part of the record.
std::optional<MemberRecord> MemberRecordFromJson(const nlohmann::json& aRecord,
                                                 std::string* aError = nullptr);
std::optional<Epoch> TermFromJson(const nlohmann::json& aRecord, std::string* aError = nullptr);

/// Reads the field `leader` of an instance's answer to a call of aMethod; nothing when it knows no
/// leader, and, after a report, when the answer is malformed.
std::optional<LeaderRecord> LeaderOfAnswer(const char* aMethod,
                                           const nlohmann::json& aAnswer,
                                           UnreadableEntries& aUnreadable);

} // namespace daisydrift::coordination
