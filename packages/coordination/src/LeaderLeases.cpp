// How long leases on workers last: the proof of this leadership, and the end of the leases that
// earlier leaders gave.

#include "Leader.h"

#include "RecordCodec.h"
#include "daisydrift/coordination/JsonFields.h"

#include <string_view>

namespace daisydrift::coordination {

namespace {
/// Response time limit of the previous leader's process, and the time between calls to it.
constexpr std::chrono::milliseconds kEarlierLeaderTimeout{ 300 };
constexpr std::chrono::milliseconds kEarlierLeaderInterval{ 100 };
/// Delay before the record of the leaders' leases is written again.
constexpr std::chrono::seconds kLeasesRetryDelay{ 1 };
/// Most workers that confirm the leadership; bounds the size of the record that names them.
constexpr std::size_t kMaxVoters = 400;
/// Age of the last confirmation that is logged. Polls that wait, and watches, confirm within two
/// seconds.
constexpr std::chrono::milliseconds kUnconfirmedAge{ 2500 };
} // namespace

TimePoint Leader::ConfirmedAt()
{
  this->confirmation.OnStoreConfirmed(this->env.membership.LeadershipConfirmedAt());
  return this->confirmation.ConfirmedAt();
}

void Leader::OnPollAccepted(const WorkerId& aWorker, std::int64_t aIncarnation, TimePoint aSentAt)
{
  this->confirmation.OnStoreConfirmed(this->env.membership.LeadershipConfirmedAt());
  this->confirmation.OnPollAccepted(aWorker, aIncarnation, aSentAt, this->env.loop.Now());
  if (!this->haveEarlierLeadersEnded && this->confirmation.HaveEarlierLeadersEnded()) {
    this->OnEarlierLeadersEnded("fenced_by_workers");
  }
}

void Leader::CheckConfirmation(TimePoint aNow)
{
  TimePoint confirmedAt = this->ConfirmedAt();
  bool isUnconfirmed = aNow - confirmedAt > kUnconfirmedAge;
  if (isUnconfirmed == this->unconfirmedSince.has_value()) {
    return;
  }
  TimePoint since = isUnconfirmed ? confirmedAt : *this->unconfirmedSince;
  LogLine(LogLevel::Warning, isUnconfirmed ? "leadership_unconfirmed" : "leadership_confirmed")
    .Add("term", this->record.term)
    .Add("age_ms", aNow - since)
    .Add("workers_accepting", this->confirmation.CountAccepted(aNow - kUnconfirmedAge))
    .Add("voters", this->confirmation.CountVoters());
  this->unconfirmedSince = isUnconfirmed ? std::optional(confirmedAt) : std::nullopt;
}

void Leader::CheckEarlierLeader()
{
  const EarlierLeaders& earlier = this->record.earlier;
  if (this->haveEarlierLeadersEnded || !earlier.haveAllButLastEnded ||
      earlier.incarnation.empty()) {
    return;
  }
  if (earlier.name == this->record.name) {
    this->OnEarlierLeadersEnded("own_process");
    return;
  }
  this->env.peers.Call(
    earlier.endpoint,
    "ping",
    nlohmann::json::object(),
    kEarlierLeaderTimeout,
    [this, alive = this->isAlive](const Result<nlohmann::json>& aResponse) {
      if (!*alive || this->hasEnded) {
        return;
      }
      const EarlierLeaders& last = this->record.earlier;
      std::string incarnation;
      Epoch ended = 0;
      if (aResponse) {
        JsonFields fields(*aResponse);
        incarnation = fields.Text("incarnation");
        ended = fields.Integer<Epoch>("ended_term", 0, kMaxTerm);
        if (!fields.IsValid()) {
          this->env.membership.Unreadable().AddAnswer("ping", fields.Error());
          incarnation.clear();
        }
      }
      // A refused call proves nothing: a connection may be refused on the way.
      bool isRestarted =
        incarnation != last.incarnation && incarnation.rfind(last.name + "@", 0) == 0;
      bool hasEndedTerm = incarnation == last.incarnation && TermAfter(ended) >= this->record.term;
      if (isRestarted || hasEndedTerm) {
        this->OnEarlierLeadersEnded(isRestarted ? "restarted" : "ended_term");
        return;
      }
      this->After(kEarlierLeaderInterval, [this] { this->CheckEarlierLeader(); });
    });
}

void Leader::OnEarlierLeadersEnded(const char* aSource)
{
  bool isByTime = std::string_view(aSource) == "time";
  if (!this->haveEarlierLeadersEnded) {
    LogLine(LogLevel::Info, "earlier_leaders_ended")
      .Add("term", this->record.term)
      .Add("source", aSource);
    this->dispatcher->OnEarlierLeadersEnded(this->env.loop.Now());
    this->haveEarlierLeadersEnded = true;
  }
  const InstanceSettings& settings = this->env.settings;
  Duration own = OwnLease(settings);
  // All leases of earlier leaders are over as well after that time.
  this->longestLease = isByTime ? own : std::max(own, LongestLease(this->record.earlier, settings));
  this->StoreLeases();
}

LeadershipConfirmation::Voters Leader::SelectVoters() const
{
  std::vector<WorkerId> workers = this->dispatcher->Workers();
  // A worker known only from stored records, without an address, can't be polled.
  std::erase_if(workers, [this](const WorkerId& aId) {
    return this->dispatcher->FindWorker(aId)->endpoint.port == 0;
  });
  LeadershipConfirmation::Voters voters;
  std::size_t count = std::min(workers.size(), kMaxVoters);
  for (std::size_t index = 0; index < count; ++index) {
    voters.insert(workers[index * workers.size() / count]);
  }
  return voters;
}

KeyValueTransaction::Put Leader::LeasesItemFor(const LeasesRecord& aRecord) const
{
  return LeasesItem(this->env.settings, this->record.term, aRecord.longest, true, aRecord.voters);
}

void Leader::StoreLeases()
{
  // Before the list of workers is loaded there are no voters, and polls prove nothing.
  if (!this->haveEarlierLeadersEnded || !this->isRecovered || this->isStoringLeases) {
    return;
  }
  LeasesRecord wanted{ this->longestLease, this->SelectVoters() };
  if (this->storedLeases == wanted) {
    return;
  }
  this->isStoringLeases = true;
  this->confirmation.OnVotersSent(wanted.voters);
  this->SendLeases(wanted);
}

void Leader::SendLeases(const LeasesRecord& aRecord)
{
  // The second condition keeps an attempt whose response was lost from replacing a newer record.
  KeyValueTransaction::Put item = this->LeasesItemFor(aRecord);
  KeyValueTransaction transaction;
  transaction.conditions = { { this->env.settings.storePrefix + "group/leader",
                               this->record.revision },
                             { item.key, this->leasesRevision } };
  transaction.puts = { item };
  this->env.store.Commit(transaction,
                         [this, alive = this->isAlive, aRecord, sentAt = this->env.loop.Now()](
                           const Result<std::uint64_t>& aRevision) {
                           if (!*alive || this->hasEnded) {
                             return;
                           }
                           if (aRevision) {
                             this->confirmation.OnStoreConfirmed(sentAt);
                             this->OnLeasesStored(aRecord, *aRevision);
                           } else if (aRevision.Error() == make_error_code(Errc::Conflict)) {
                             this->ResolveLeasesConflict(aRecord);
                           } else {
                             this->RetryLeases(aRecord, aRevision.Error());
                           }
                         });
}

void Leader::RetryLeases(const LeasesRecord& aRecord, std::error_code aError)
{
  LogLine(LogLevel::Warning, "leases_not_stored")
    .Add("term", this->record.term)
    .Add("error", aError);
  this->After(kLeasesRetryDelay, [this, aRecord] { this->SendLeases(aRecord); });
}

void Leader::ResolveLeasesConflict(const LeasesRecord& aRecord)
{
  KeyValueTransaction::Put item = this->LeasesItemFor(aRecord);
  this->env.store.Read(
    item.key,
    [this, alive = this->isAlive, aRecord, item](const Result<std::optional<KeyValueItem>>& aItem) {
      if (!*alive || this->hasEnded) {
        return;
      }
      if (!aItem) {
        this->RetryLeases(aRecord, aItem.Error());
      } else if (*aItem && (*aItem)->value == item.value) {
        this->OnLeasesStored(aRecord, (*aItem)->revision);
      } else {
        // While another instance leads, the condition on the leader key keeps failing.
        this->leasesRevision = *aItem ? (*aItem)->revision : 0;
        this->RetryLeases(aRecord, make_error_code(Errc::Conflict));
      }
    });
}

void Leader::OnLeasesStored(const LeasesRecord& aRecord, std::uint64_t aRevision)
{
  this->leasesRevision = aRevision;
  this->storedLeases = aRecord;
  this->isStoringLeases = false;
  this->confirmation.OnVotersStored();
  if (this->storedLeases->longest != this->longestLease) {
    this->StoreLeases();
  }
}

} // namespace daisydrift::coordination
