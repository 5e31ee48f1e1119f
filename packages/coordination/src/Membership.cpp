#include "Membership.h"

#include "RecordCodec.h"
#include "daisydrift/coordination/JsonFields.h"

#include <algorithm>
#include <functional>

namespace daisydrift::coordination {

using nlohmann::json;

namespace {
constexpr const char* kMembersPrefix = "members/";
constexpr const char* kLeaderKey = "leader";
constexpr const char* kTermKey = "term";
constexpr const char* kLeasesKey = "leases";
/// Delay before a failed store call is repeated.
constexpr std::chrono::milliseconds kStoreRetryDelay{ 200 };
/// A call that fails within this time was refused; a lost response shows only after a longer
/// timeout. The store normally responds within 4 ms.
constexpr std::chrono::milliseconds kMaxRefusalTime{ 200 };
/// Campaigns are spread over this time to reduce collisions.
constexpr std::int64_t kCampaignSpreadMs = 40;
/// Response time limit of a probe of the leader's process.
constexpr std::chrono::milliseconds kProbeTimeout{ 300 };
/// Delay after a refused probe.
constexpr std::chrono::milliseconds kProbeRetryDelay{ 30 };
constexpr int kProbeAttempts = 2;
/// Members that are told about a leader whose process has ended.
constexpr std::size_t kMaxAlertedMembers = 4;
/// A leader elected more recently may not know of its election yet, so it is not probed.
constexpr std::chrono::milliseconds kElectionSettleTime{ 400 };

/// Longest delay of a member's campaign, and longest lease on a worker.
constexpr std::chrono::hours kMaxCampaignDelay{ 1 };
constexpr std::chrono::minutes kMaxWorkerLease{ 10 };

/// The voters of a stored record; empty when it has none, as those of earlier versions.
std::optional<std::set<WorkerId>> VotersFrom(JsonFields& aFields)
{
  const json* list = aFields.List("voters");
  if (list == nullptr) {
    return std::nullopt;
  }
  std::set<WorkerId> voters;
  for (const json& id : *list) {
    if (!id.is_string()) {
      aFields.Fail("voters", "not a list of texts");
      return std::nullopt;
    }
    voters.insert(id.get<std::string>());
  }
  return voters;
}

std::string EndpointText(const SocketEndpoint& aEndpoint)
{
  return aEndpoint.address + ":" + std::to_string(aEndpoint.port);
}
} // namespace

KeyValueTransaction::Put LeasesItem(const InstanceSettings& aSettings,
                                    Epoch aTerm,
                                    Duration aLongestLease,
                                    bool aHaveEarlierEnded,
                                    const std::optional<std::set<WorkerId>>& aVoters)
{
  json record{ { "term", aTerm },
               { "longest_us", aLongestLease.count() },
               { "earlier_ended", aHaveEarlierEnded } };
  if (aVoters) {
    record["voters"] = *aVoters;
  }
  return { aSettings.storePrefix + "group/" + kLeasesKey, record.dump(), 0 };
}

Duration OwnLease(const InstanceSettings& aSettings)
{
  return std::min(aSettings.dispatch.lease, aSettings.dispatch.maxLease);
}

Duration LongestLease(const EarlierLeaders& aEarlier, const InstanceSettings& aSettings)
{
  return aEarlier.longestLease > Duration(0) ? aEarlier.longestLease : aSettings.dispatch.maxLease;
}

json ToJson(const LeaderRecord& aLeader)
{
  return { { "name", aLeader.name },
           { "endpoint", EndpointText(aLeader.endpoint) },
           { "incarnation", aLeader.incarnation },
           { "term", aLeader.term },
           { "earlier",
             { { "longest_us", aLeader.earlier.longestLease.count() },
               { "ended_but_last", aLeader.earlier.haveAllButLastEnded },
               { "name", aLeader.earlier.name },
               { "endpoint", EndpointText(aLeader.earlier.endpoint) },
               { "incarnation", aLeader.earlier.incarnation } } } };
}

std::optional<LeaderRecord> LeaderRecordFromJson(const json& aRecord, std::string* aError)
{
  JsonFields fields(aRecord);
  fields.Require({ "endpoint", "term" });
  LeaderRecord leader;
  if (!ParseEndpoint(fields.Text("endpoint"), leader.endpoint)) {
    fields.Fail("endpoint", "not an address and a port");
  }
  leader.name = fields.Text("name");
  leader.incarnation = fields.Text("incarnation");
  leader.term = fields.Integer<Epoch>("term", 1, kMaxTerm);
  if (const json* earlierRecord = fields.Find("earlier")) {
    JsonFields earlier(*earlierRecord);
    // The record of the first leader names no earlier one.
    bool isKnown = ParseEndpoint(earlier.Text("endpoint"), leader.earlier.endpoint);
    std::string incarnation = earlier.Text("incarnation");
    std::string name = earlier.Text("name");
    if (isKnown) {
      leader.earlier.incarnation = std::move(incarnation);
      leader.earlier.name = std::move(name);
    }
    leader.earlier.longestLease = earlier.Microseconds("longest_us", kMaxWorkerLease);
    leader.earlier.haveAllButLastEnded = earlier.Flag("ended_but_last");
    fields.Adopt("earlier", earlier);
  }
  if (fields.IsValid()) {
    return leader;
  }
  if (aError != nullptr) {
    *aError = fields.Error();
  }
  return std::nullopt;
}

std::optional<LeaderRecord> LeaderOfAnswer(const char* aMethod,
                                           const json& aAnswer,
                                           UnreadableEntries& aUnreadable)
{
  JsonFields fields(aAnswer);
  const json* record = fields.Find("leader");
  if (record == nullptr && fields.IsValid()) {
    return std::nullopt; // The instance knows no leader.
  }
  std::string error = fields.Error();
  std::optional<LeaderRecord> leader;
  if (record != nullptr) {
    leader = LeaderRecordFromJson(*record, &error);
  }
  if (!leader) {
    aUnreadable.AddAnswer(aMethod, error);
  }
  return leader;
}

std::optional<StoredLeases> StoredLeasesFromJson(const json& aRecord, std::string* aError)
{
  JsonFields fields(aRecord);
  StoredLeases leases;
  leases.term = fields.Integer<Epoch>("term", 0, kMaxTerm);
  leases.longestLease = fields.Microseconds("longest_us", kMaxWorkerLease);
  leases.haveEarlierEnded = fields.Flag("earlier_ended");
  leases.voters = VotersFrom(fields);
  if (fields.IsValid()) {
    return leases;
  }
  if (aError != nullptr) {
    *aError = fields.Error();
  }
  return std::nullopt;
}

std::optional<MemberRecord> MemberRecordFromJson(const json& aRecord, std::string* aError)
{
  JsonFields fields(aRecord);
  MemberRecord member;
  if (!ParseEndpoint(fields.Text("endpoint"), member.endpoint)) {
    fields.Fail("endpoint", "not an address and a port");
  }
  member.domain = fields.Text("domain");
  member.campaignDelay = fields.Microseconds("stand_delay_us", kMaxCampaignDelay);
  if (fields.IsValid()) {
    return member;
  }
  if (aError != nullptr) {
    *aError = fields.Error();
  }
  return std::nullopt;
}

std::optional<Epoch> TermFromJson(const json& aRecord, std::string* aError)
{
  json record = json::array({ aRecord });
  JsonFields fields(record, 1);
  auto term = fields.Integer<Epoch>(0, 0, kMaxTerm);
  if (fields.IsValid()) {
    return term;
  }
  if (aError != nullptr) {
    *aError = fields.Error();
  }
  return std::nullopt;
}

Membership::Membership(EventLoop& aLoop,
                       KeyValueStore& aStore,
                       PeerTransport& aPeers,
                       const InstanceSettings& aSettings,
                       Metrics& aMetrics,
                       std::string aIncarnation,
                       Hooks aHooks)
  : loop(aLoop)
  , store(aStore)
  , peers(aPeers)
  , settings(aSettings)
  , incarnation(std::move(aIncarnation))
  , hooks(std::move(aHooks))
  , prefix(aSettings.storePrefix + "group/")
  , unreadable(aMetrics)
  , range(aLoop,
          aStore,
          aMetrics,
          this->prefix,
          aSettings.maxWatchWait,
          RangeFollower::Hooks{
            [this](const std::vector<KeyValueItem>& aItems) { this->ApplyRange(aItems); },
            [this](const KeyValueChange& aChange) {
              this->ApplyChange(aChange.key, aChange.value, aChange.revision);
            },
            [this] { this->OnRangeConfirmed(); },
            [this](std::error_code aError) { this->OnStoreResult(aError); } })
{
}

void Membership::Start()
{
  this->AcquireLease();
  this->range.Restart();
  this->loop.After(this->settings.renewInterval, [this] { this->Renew(); });
}

void Membership::OnStoreResult(std::error_code aError)
{
  bool isAvailable = aError != make_error_code(Errc::Unreachable) &&
                     aError != make_error_code(Errc::DeadlineExceeded) &&
                     aError != make_error_code(Errc::OutcomeUnknown) &&
                     aError != make_error_code(Errc::Overloaded);
  bool wasAvailable = this->IsStoreAvailable();
  TimePoint now = this->loop.Now();
  Duration outageAge = this->storeOutage.Age(now);
  this->storeOutage.SetAvailable(isAvailable, now);
  if (isAvailable == wasAvailable) {
    return;
  }
  LogLine(LogLevel::Warning, isAvailable ? "store_regained" : "store_lost")
    .Add("error", aError)
    .Add("outage_age_ms", isAvailable ? outageAge : this->storeOutage.Age(now));
  if (isAvailable && this->hooks.onStoreRegained) {
    this->hooks.onStoreRegained();
  }
}

void Membership::AcquireLease()
{
  this->store.GrantLease(this->settings.membershipLease,
                         [this, sentAt = this->loop.Now()](const Result<std::uint64_t>& aLease) {
                           this->OnStoreResult(aLease.Error());
                           if (!aLease) {
                             this->loop.After(kStoreRetryDelay, [this] { this->AcquireLease(); });
                             return;
                           }
                           this->lease = *aLease;
                           this->renewedAt = sentAt;
                           this->Register();
                           this->ReclaimLeadership();
                         });
}

void Membership::Register()
{
  KeyValueTransaction transaction;
  json record{ { "endpoint", EndpointText(this->settings.peerEndpoint) },
               { "domain", this->settings.domain },
               { "stand_delay_us", this->settings.campaignDelay.count() } };
  transaction.puts.push_back(
    { this->prefix + kMembersPrefix + this->settings.name, record.dump(), this->lease });
  this->store.Commit(transaction, [this](const Result<std::uint64_t>& aRevision) {
    if (aRevision) {
      if (this->isLoaded && !this->leader) {
        this->CampaignAfterDelay();
      }
      return;
    }
    if (aRevision.Error() == make_error_code(Errc::LeaseExpired)) {
      this->AcquireLease();
    } else {
      this->loop.After(kStoreRetryDelay, [this] { this->Register(); });
    }
  });
}

void Membership::Renew()
{
  if (this->isStopping) {
    return;
  }
  this->loop.After(this->settings.renewInterval, [this] { this->Renew(); });
  this->ProbeStore();
}

void Membership::ProbeStore()
{
  if (this->lease == 0) {
    return;
  }
  this->store.RenewLease(this->lease, [this, sentAt = this->loop.Now()](std::error_code aError) {
    this->OnStoreResult(aError);
    if (!aError) {
      this->renewedAt = std::max(this->renewedAt, sentAt);
    } else {
      this->lastFailedRenewal = this->loop.Now();
    }
    // A lost response shows only after a timeout and is not a refusal.
    if (!this->IsStoreAvailable() && this->loop.Now() - sentAt < kMaxRefusalTime) {
      this->hooks.onStoreRefused();
    }
    if (aError == make_error_code(Errc::LeaseExpired) && this->lease != 0) {
      LogLine(LogLevel::Warning, "membership_lease_expired");
      this->lease = 0;
      this->AcquireLease();
    }
  });
}

void Membership::ApplyRange(const std::vector<KeyValueItem>& aItems)
{
  std::map<std::string, MemberRecord> former = std::exchange(this->members, {});
  std::string leaderKey = this->prefix + kLeaderKey;
  std::string leasesKey = this->prefix + kLeasesKey;
  std::string termKey = this->prefix + kTermKey;
  bool hasLeader = false;
  bool hasTerm = false;
  bool hasLeases = false;
  for (const KeyValueItem& item : aItems) {
    hasLeader = hasLeader || item.key == leaderKey;
    hasLeases = hasLeases || item.key == leasesKey;
    hasTerm = hasTerm || item.key == termKey;
    this->ApplyChange(item.key, item.value, item.revision);
  }
  for (auto& [name, member] : this->members) {
    auto known = former.find(name);
    if (known != former.end()) {
      member.since = known->second.since;
    }
  }
  this->isLoaded = true;
  if (!hasTerm) {
    this->ApplyChange(termKey, std::nullopt, 0);
  }
  if (!hasLeases) {
    this->ApplyChange(leasesKey, std::nullopt, 0);
  }
  if (!hasLeader) {
    this->ApplyChange(leaderKey, std::nullopt, 0);
  }
  this->ReclaimLeadership();
}

template<typename Record>
std::optional<Record> Membership::Decode(const std::string& aKey,
                                         const std::optional<std::string>& aValue,
                                         std::uint64_t aRevision,
                                         std::optional<Record> (*aDecoder)(const json&,
                                                                           std::string*))
{
  if (!aValue) {
    return std::nullopt;
  }
  std::string error = kJsonUnreadable;
  std::optional<json> parsed = ParseJson(*aValue);
  std::optional<Record> record = parsed ? aDecoder(*parsed, &error) : std::nullopt;
  if (!record) {
    this->unreadable.AddEntry("group", aKey, aRevision, error);
  }
  return record;
}

void Membership::ApplyChange(const std::string& aKey,
                             const std::optional<std::string>& aValue,
                             std::uint64_t aRevision)
{
  std::string relativeKey = aKey.substr(this->prefix.size());
  if (relativeKey == kTermKey) {
    std::optional<Epoch> stored = this->Decode(aKey, aValue, aRevision, &TermFromJson);
    // Terms only grow; the last known one counts on while the entry is unreadable.
    this->term = std::max(this->term, stored.value_or(0));
    this->isTermUnreadable = aValue && !stored;
    this->termRevision = aValue ? aRevision : 0;
  } else if (relativeKey == kLeasesKey) {
    this->leases =
      this->Decode(aKey, aValue, aRevision, &StoredLeasesFromJson).value_or(StoredLeases());
    this->leasesRevision = aValue ? aRevision : 0;
  } else if (relativeKey == kLeaderKey) {
    this->ApplyLeader(this->Decode(aKey, aValue, aRevision, &LeaderRecordFromJson),
                      aValue ? aRevision : 0);
  } else if (relativeKey.rfind(kMembersPrefix, 0) == 0) {
    std::string name = relativeKey.substr(std::string_view(kMembersPrefix).size());
    std::optional<MemberRecord> member =
      this->Decode(aKey, aValue, aRevision, &MemberRecordFromJson);
    if (!member) {
      this->members.erase(name);
      return;
    }
    member->name = name;
    auto known = this->members.find(name);
    member->since = known == this->members.end() ? this->loop.Now() : known->second.since;
    this->members[name] = std::move(*member);
  }
}

void Membership::ApplyLeader(std::optional<LeaderRecord> aRecord, std::uint64_t aRevision)
{
  this->leaderRevision = aRevision;
  if (aRecord) {
    aRecord->revision = aRevision;
  }
  bool isOwn = aRecord && aRecord->incarnation == this->incarnation;
  if (isOwn && aRecord->term > this->lastHeldTerm) {
    // Elected by a transaction that was applied late.
    this->BecomeLeader(*aRecord, TimePoint());
  } else if (isOwn && aRecord->term == this->lastLostTerm) {
    // The record of this instance's ended term is still stored; a new election replaces it.
    this->Campaign();
  } else {
    this->SetLeader(std::move(aRecord));
  }
}

Epoch Membership::NewestTerm() const
{
  Epoch leaderTerm = this->lastLeader ? this->lastLeader->term : 0;
  return std::max({ this->term, this->leases.term, leaderTerm, this->lastHeldTerm });
}

void Membership::SetLeader(std::optional<LeaderRecord> aLeader)
{
  // An announcement may be newer than this instance's view of the store.
  if (aLeader && this->leader && aLeader->term < this->leader->term) {
    return;
  }
  if (!aLeader && this->leader && this->leader->term > this->term) {
    return;
  }
  bool isSame = aLeader && this->leader && aLeader->incarnation == this->leader->incarnation &&
                aLeader->term == this->leader->term;
  this->leader = std::move(aLeader);
  if (this->leader) {
    this->lastLeader = this->leader;
  }
  if (isSame) {
    return;
  }
  this->leaderSince = this->loop.Now();
  if (this->leader) {
    LogLine(LogLevel::Info, "leader_known")
      .Add("leader", this->leader->name)
      .Add("term", this->leader->term);
  } else {
    LogLine(LogLevel::Info, "leader_gone").Add("term", this->term);
  }
  this->hooks.onLeaderChanged();
  if (!this->leader) {
    this->CampaignAfterDelay();
  } else {
    this->ReclaimLeadership();
  }
}

void Membership::ReclaimLeadership()
{
  if (this->leader && this->leader->name == this->settings.name &&
      this->leader->incarnation != this->incarnation && this->leader->revision != 0) {
    this->Campaign();
  }
}

void Membership::UpdateLeader(const LeaderRecord& aLeader)
{
  if (!this->leader || aLeader.term >= this->leader->term) {
    LeaderRecord adopted = aLeader;
    if (this->leader && this->leader->term == aLeader.term) {
      adopted.revision = this->leader->revision;
    }
    this->SetLeader(adopted);
  }
}

void Membership::CampaignAfterDelay()
{
  auto spread = std::hash<std::string>()(this->settings.name + std::to_string(this->term)) %
                static_cast<std::size_t>(kCampaignSpreadMs);
  this->loop.After(std::chrono::milliseconds(spread) + this->settings.campaignDelay, [this] {
    if (!this->leader) {
      this->Campaign();
    }
  });
}

void Membership::Campaign()
{
  if (this->isCampaigning || this->isStopping || !this->isLoaded || this->lease == 0) {
    return;
  }
  this->isCampaigning = true;
  LeaderRecord record{ this->settings.name,
                       this->settings.peerEndpoint,
                       this->incarnation,
                       // Term 1 would claim that there was no earlier leader.
                       TermAfter(
                         std::max<Epoch>(this->NewestTerm(), this->isTermUnreadable ? 1 : 0)),
                       this->KnownLeaders() };
  Duration longest =
    std::max(OwnLease(this->settings), LongestLease(record.earlier, this->settings));
  KeyValueTransaction transaction;
  transaction.conditions = { { this->prefix + kLeaderKey, this->leaderRevision },
                             { this->prefix + kTermKey, this->termRevision },
                             // The leader may have stored other voters meanwhile.
                             { this->prefix + kLeasesKey, this->leasesRevision } };
  transaction.puts = {
    { this->prefix + kLeaderKey, ToJson(record).dump(), this->lease },
    { this->prefix + kTermKey, json(record.term).dump(), 0 },
    LeasesItem(this->settings, record.term, longest, this->IsFirstTerm(), record.earlier.voters)
  };
  this->store.Commit(
    transaction, [this, record, sentAt = this->loop.Now()](const Result<std::uint64_t>& aRevision) {
      this->isCampaigning = false;
      if (aRevision) {
        LeaderRecord elected = record;
        elected.revision = *aRevision;
        this->BecomeLeader(elected, sentAt);
      } else if (aRevision.Error() == make_error_code(Errc::OutcomeUnknown)) {
        this->ConfirmElection(record);
      } else if (aRevision.Error() == make_error_code(Errc::LeaseExpired)) {
        this->lease = 0;
        this->AcquireLease();
      } else {
        // After a conflict there may be no leader either: the key may have been removed meanwhile,
        // while this campaign kept another from starting.
        this->loop.After(kStoreRetryDelay, [this] {
          if (!this->leader) {
            this->Campaign();
          }
        });
      }
    });
}

void Membership::OnRangeConfirmed()
{
  bool isLeading = this->leader && this->leader->incarnation == this->incarnation &&
                   this->leader->term == this->lastHeldTerm && this->leaderRevision != 0 &&
                   this->leaderRevision == this->leader->revision;
  if (isLeading) {
    this->leadershipConfirmedAt =
      std::max(this->leadershipConfirmedAt, this->range.ConfirmedAt().value_or(TimePoint()));
  }
}

void Membership::BecomeLeader(const LeaderRecord& aElected, TimePoint aConfirmedAt)
{
  if (aElected.term <= this->lastHeldTerm) {
    return; // Already known from another source.
  }
  this->lastHeldTerm = aElected.term;
  this->leaderRevision = aElected.revision;
  this->term = aElected.term;
  this->isTermUnreadable = false;
  this->termRevision = aElected.revision;
  this->leasesRevision = aElected.revision;
  this->leadershipConfirmedAt = aConfirmedAt;
  this->SetLeader(aElected);
  this->hooks.onElected(aElected);
}

EarlierLeaders Membership::KnownLeaders() const
{
  EarlierLeaders known;
  if (this->IsFirstTerm()) {
    known.longestLease = OwnLease(this->settings);
    known.haveAllButLastEnded = true;
    known.voters.emplace();
    return known;
  }
  if (this->isTermUnreadable) {
    return known; // There may have been a later leader than the last known one.
  }
  Epoch newest = this->NewestTerm();
  // A leader of a version without this record changes only the term.
  if (this->leases.term == newest) {
    known.longestLease = this->leases.longestLease;
    known.haveAllButLastEnded = this->leases.haveEarlierEnded;
    known.voters = this->leases.voters;
  }
  if (this->lastLeader && this->lastLeader->term == newest) {
    known.name = this->lastLeader->name;
    known.endpoint = this->lastLeader->endpoint;
    known.incarnation = this->lastLeader->incarnation;
  }
  return known;
}

void Membership::ConfirmElection(const LeaderRecord& aRecord)
{
  this->store.Read(
    this->prefix + kLeaderKey,
    [this, aRecord, sentAt = this->loop.Now()](const Result<std::optional<KeyValueItem>>& aItem) {
      if (!aItem) {
        this->loop.After(kStoreRetryDelay, [this, aRecord] { this->ConfirmElection(aRecord); });
        return;
      }
      if (*aItem && (*aItem)->value == ToJson(aRecord).dump()) {
        LeaderRecord elected = aRecord;
        elected.revision = (*aItem)->revision;
        this->BecomeLeader(elected, sentAt);
      } else if (!this->leader) {
        // There is no record, or the one of this instance's ended term.
        this->CampaignAfterDelay();
      }
    });
}

void Membership::SuspectLeader()
{
  if (this->isProbing || this->isStopping || !this->leader ||
      this->leader->incarnation == this->incarnation ||
      this->loop.Now() - this->leaderSince < kElectionSettleTime) {
    return;
  }
  this->isProbing = true;
  this->ProbeLeader(kProbeAttempts);
}

void Membership::ProbeLeader(int aAttemptsLeft)
{
  if (!this->leader) {
    this->isProbing = false;
    return;
  }
  std::string suspected = this->leader->incarnation;
  this->peers.Call(
    this->leader->endpoint,
    "ping",
    json::object(),
    kProbeTimeout,
    [this, suspected, aAttemptsLeft](const Result<json>& aResponse) {
      bool hasLeaderChanged = !this->leader || this->leader->incarnation != suspected;
      bool isRefused = !aResponse && aResponse.Error() == make_error_code(Errc::Unreachable);
      bool isRestarted = false;
      if (aResponse) {
        JsonFields fields(*aResponse);
        // An unreadable answer does not show that the process has ended.
        std::string answered = fields.Text("incarnation");
        isRestarted = fields.IsValid() && answered != suspected;
        if (!fields.IsValid()) {
          this->unreadable.AddAnswer("ping", fields.Error());
        }
      }
      if (hasLeaderChanged || (!isRefused && !isRestarted)) {
        this->isProbing = false;
        return;
      }
      if (isRefused && aAttemptsLeft > 1) {
        this->loop.After(kProbeRetryDelay,
                         [this, aAttemptsLeft] { this->ProbeLeader(aAttemptsLeft - 1); });
        return;
      }
      this->isProbing = false;
      LogLine(LogLevel::Warning, "leader_process_gone").Add("leader", this->leader->name);
      this->AlertMembersWithShorterDelay();
      this->loop.After(this->settings.campaignDelay, [this, suspected] {
        if (this->leader && this->leader->incarnation == suspected) {
          this->Campaign();
        }
      });
    });
}

void Membership::AlertMembersWithShorterDelay()
{
  if (this->settings.campaignDelay.count() == 0) {
    return;
  }
  std::vector<const MemberRecord*> alerted;
  for (const auto& [name, member] : this->members) {
    if (member.campaignDelay < this->settings.campaignDelay && name != this->leader->name) {
      alerted.push_back(&member);
    }
  }
  std::stable_sort(alerted.begin(), alerted.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->campaignDelay < aRight->campaignDelay;
  });
  alerted.resize(std::min(alerted.size(), kMaxAlertedMembers));
  for (const MemberRecord* member : alerted) {
    this->peers.Call(
      member->endpoint, "suspect", json::object(), kProbeTimeout, [](const Result<json>&) {
        // A member that does not answer will not campaign either.
      });
  }
}

bool Membership::IsLeaseValid() const
{
  return this->loop.Now() - this->renewedAt < this->settings.membershipLease;
}

bool Membership::AcceptHandover(const std::string& aIncarnation, Duration aMinAvailableTime)
{
  // Other calls may be refused for the rate limit of all instances.
  bool isAvailable =
    this->IsStoreAvailable() && this->loop.Now() - this->lastFailedRenewal >= aMinAvailableTime;
  bool canCampaign = isAvailable && !this->isStopping && this->lease != 0 && this->leader &&
                     this->leader->incarnation == aIncarnation && this->leader->revision != 0;
  if (canCampaign) {
    this->Campaign();
  }
  return canCampaign;
}

void Membership::OnLeadershipLost()
{
  this->lastLostTerm = this->lastHeldTerm;
  if (this->leader && this->leader->incarnation == this->incarnation) {
    this->leader.reset();
    this->range.Restart();
  }
}

void Membership::Resign(const std::optional<LeaderRecord>& aOwnRecord,
                        const std::function<void()>& aDone)
{
  this->isStopping = true;
  if (!aOwnRecord) {
    aDone();
    return;
  }
  KeyValueTransaction transaction;
  transaction.conditions = { { this->prefix + kLeaderKey, aOwnRecord->revision } };
  transaction.removals = { this->prefix + kLeaderKey };
  this->store.Commit(
    transaction, [this, aOwnRecord, aDone](const Result<std::uint64_t>& aRevision) {
      LogLine(LogLevel::Info, "leadership_handed_over").Add("error", aRevision.Error());
      // Conflict: an earlier attempt has removed the record, or another instance leads.
      if (aRevision || aRevision.Error() == make_error_code(Errc::Conflict)) {
        aDone();
        return;
      }
      this->loop.After(kStoreRetryDelay,
                       [this, aOwnRecord, aDone] { this->Resign(aOwnRecord, aDone); });
    });
}

} // namespace daisydrift::coordination
