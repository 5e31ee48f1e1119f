#pragma once
// Which instances there are, and which of them leads.

#include "daisydrift/coordination/Instance.h"

#include <map>
#include <optional>

namespace daisydrift::coordination {

/// The instance that leads, as far as is known.
struct LeaderRecord
{
  std::string name;
  SocketEndpoint endpoint;
  /// Differs for each start of a process.
  std::string incarnation;
  Epoch term = 0;
  /// Revision of its key; 0 when it was learnt from another instance.
  std::uint64_t revision = 0;
};

struct MemberRecord
{
  std::string name;
  SocketEndpoint endpoint;
  FailureDomain domain;
  /// How long it waits before it stands for leadership; strong instances wait least.
  Duration standDelay{ 0 };
};

/// Holds the instance's lease, its entry among the members, and stands for leadership when there
/// is no leader. A leader whose process provably ended is replaced at once, any other when its
/// lease ends.
class Membership
{
public:
  struct Hooks
  {
    /// This instance leads now; the revision is that of its key.
    std::function<void(const LeaderRecord&)> onElected;
    /// Another instance leads, or none.
    std::function<void()> onLeaderChanged;
    /// The store refused a renewal.
    std::function<void()> onStoreRefused;
  };

  Membership(EventLoop& aLoop,
             KeyValueStore& aStore,
             PeerTransport& aPeers,
             const InstanceSettings& aSettings,
             std::string aIncarnation,
             Hooks aHooks);

  void Start();
  /// Stands no longer, and gives up leadership held under this record.
  void Resign(const std::optional<LeaderRecord>& aHeld, const std::function<void()>& aDone);
  /// The leadership of this instance has ended without Resign.
  void OnLost();

  const std::optional<LeaderRecord>& Leader() const { return this->leader; }
  const std::map<std::string, MemberRecord>& Members() const { return this->members; }
  const std::string& Incarnation() const { return this->incarnation; }
  /// Takes in how a call to the store ended.
  void NoteStore(std::error_code aError);
  /// True when the last call to the store was answered.
  bool IsStoreInReach() const { return this->isStoreInReach; }
  /// True when the lease can't have ended, as far as this instance's clock tells.
  bool IsLeaseSure() const;
  /// Renews the lease now, to find out whether the store is in reach.
  void ProbeStore();
  /// The leader of that incarnation does not reach the store and offers leadership. True when this
  /// instance stands for it.
  bool Succeed(const std::string& aIncarnation);
  /// A call to the leader failed: finds out whether its process is gone.
  void Suspect();
  /// Another instance says who leads.
  void Learn(const LeaderRecord& aLeader);

private:
  void AcquireLease();
  void Register();
  void Renew();
  void Load();
  void Watch(std::uint64_t aRevision, std::uint64_t aLoad);
  void Apply(const std::string& aKey,
             const std::optional<std::string>& aValue,
             std::uint64_t aRevision);
  void SetLeader(std::optional<LeaderRecord> aLeader);
  /// Stands for leadership after a pause that differs between instances.
  void StandSoon();
  void Stand();
  /// Takes over from an earlier process of this instance, which has ended.
  void StandForFormerSelf();
  void ConfirmElection(const LeaderRecord& aRecord);
  /// This instance leads under that record.
  void TakeOffice(const LeaderRecord& aElected);
  void Probe(int aTriesLeft);
  /// Lets the strongest members look at the leader too, so that one of them takes over.
  void AlertStrongest();

  EventLoop& loop;
  KeyValueStore& store;
  PeerTransport& peers;
  const InstanceSettings& settings;
  std::string incarnation;
  Hooks hooks;
  std::string prefix;
  std::uint64_t lease = 0;
  /// When the last renewal that was answered was sent.
  TimePoint renewedAt;
  /// Counts the loads; each begins a chain of watches and ends the one before.
  std::uint64_t loads = 0;
  bool isStopping = false;
  bool isLoaded = false;
  bool isStanding = false;
  bool isProbing = false;
  bool isStoreInReach = true;
  std::optional<LeaderRecord> leader;
  TimePoint leaderSince;
  /// Revision of the leader's key, 0 when it does not exist.
  std::uint64_t leaderRevision = 0;
  Epoch term = 0;
  std::uint64_t termRevision = 0;
  /// Last term in which this instance led, and the last one that ended before its time.
  Epoch heldTerm = 0;
  Epoch lostTerm = 0;
  std::map<std::string, MemberRecord> members;
};

/// JSON of a leader, for its key and for announcements.
nlohmann::json ToJson(const LeaderRecord& aLeader);
std::optional<LeaderRecord> LeaderRecordFrom(const nlohmann::json& aRecord);

} // namespace daisydrift::coordination
