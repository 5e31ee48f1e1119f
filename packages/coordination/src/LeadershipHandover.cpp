#include "LeadershipHandover.h"

#include "daisydrift/coordination/JsonFields.h"

#include <algorithm>

namespace daisydrift::coordination {

using nlohmann::json;

namespace {
/// The store counts as unavailable when it still refuses calls after this time; a single refusal
/// may come from its rate limit.
constexpr std::chrono::milliseconds kConfirmationDelay{ 60 };
/// Response time limit of a member that is offered leadership.
constexpr std::chrono::milliseconds kOfferTimeout{ 250 };
/// Time for which members are asked; after it the lease of a refused leader is about to expire
/// anyway.
constexpr std::chrono::milliseconds kMaxOfferTime{ 1000 };
/// Interval of the checks for a larger member.
constexpr std::chrono::milliseconds kCheckInterval{ 1000 };
/// Least time for which a leader leads, and for which its successor has been a member that the
/// store serves, so that leadership does not alternate with an instance that the store refuses
/// again and again.
constexpr std::chrono::milliseconds kMinStableTime{ 2000 };
/// Least difference of the campaign delays; some 40 thousandths of a core on the users' platform.
constexpr std::chrono::milliseconds kMinDelayDifference{ 100 };
} // namespace

LeadershipHandover::LeadershipHandover(EventLoop& aLoop,
                                       PeerTransport& aPeers,
                                       Membership& aMembership,
                                       const InstanceSettings& aSettings)
  : loop(aLoop)
  , peers(aPeers)
  , membership(aMembership)
  , settings(aSettings)
{
}

LeadershipHandover::~LeadershipHandover()
{
  *this->isAlive = false;
}

bool LeadershipHandover::IsLeading() const
{
  const std::optional<LeaderRecord>& leader = this->membership.Leader();
  return leader && leader->incarnation == this->membership.Incarnation();
}

std::vector<SocketEndpoint> LeadershipHandover::Candidates(
  const std::function<bool(const MemberRecord&)>& aIsCandidate) const
{
  std::vector<const MemberRecord*> members;
  for (const auto& [name, member] : this->membership.Members()) {
    if (name != this->settings.name && aIsCandidate(member)) {
      members.push_back(&member);
    }
  }
  std::stable_sort(members.begin(), members.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->campaignDelay < aRight->campaignDelay;
  });
  std::vector<SocketEndpoint> endpoints;
  endpoints.reserve(members.size());
  for (const MemberRecord* member : members) {
    endpoints.push_back(member->endpoint);
  }
  return endpoints;
}

void LeadershipHandover::OnStoreRefused()
{
  if (this->isOffering || !this->IsLeading()) {
    return;
  }
  this->isOffering = true;
  this->membership.ProbeStore();
  this->loop.After(kConfirmationDelay, [this, alive = this->isAlive] {
    if (*alive) {
      this->OfferLeadership(this->Candidates([](const MemberRecord&) { return true; }),
                            0,
                            Duration(0),
                            [this, until = this->loop.Now() + kMaxOfferTime] {
                              return this->loop.Now() < until &&
                                     !this->membership.IsStoreAvailable();
                            });
    }
  });
}

void LeadershipHandover::Start()
{
  this->loop.After(kCheckInterval, [this, alive = this->isAlive] {
    if (*alive) {
      this->CheckForLargerMember();
      this->Start();
    }
  });
}

void LeadershipHandover::CheckForLargerMember()
{
  TimePoint stableSince = this->loop.Now() - kMinStableTime;
  if (this->isOffering || !this->IsLeading() || this->membership.LeaderSince() > stableSince) {
    return;
  }
  std::vector<SocketEndpoint> larger =
    this->Candidates([this, stableSince](const MemberRecord& aMember) {
      return aMember.since <= stableSince &&
             aMember.campaignDelay + kMinDelayDifference <= this->settings.campaignDelay;
    });
  if (!larger.empty()) {
    this->isOffering = true;
    this->OfferLeadership(
      larger, 0, kMinStableTime, [this, until = this->loop.Now() + kMaxOfferTime] {
        return this->loop.Now() < until;
      });
  }
}

void LeadershipHandover::OfferLeadership(const std::vector<SocketEndpoint>& aCandidates,
                                         std::size_t aNext,
                                         Duration aMinAvailableTime,
                                         const std::function<bool()>& aIsWanted)
{
  if (aNext >= aCandidates.size() || !this->IsLeading() || !aIsWanted()) {
    LogLine(LogLevel::Info, "leadership_offers_ended")
      .Add("members", aNext)
      .Add("of", aCandidates.size())
      .Add("store_available", this->membership.IsStoreAvailable())
      .Add("leads", this->IsLeading());
    this->isOffering = false;
    return;
  }
  this->peers.Call(
    aCandidates[aNext],
    "succeed",
    { { "incarnation", this->membership.Incarnation() },
      { "min_available_us", aMinAvailableTime.count() } },
    kOfferTimeout,
    [this, alive = this->isAlive, aCandidates, aNext, aMinAvailableTime, aIsWanted](
      const Result<json>& aResponse) {
      if (!*alive) {
        return;
      }
      bool isAccepted = false;
      if (aResponse) {
        JsonFields fields(*aResponse);
        isAccepted = fields.Flag("stands");
        if (!fields.IsValid()) {
          this->membership.Unreadable().AddAnswer("succeed", fields.Error());
        }
      }
      if (isAccepted || !aResponse) {
        // Plain refusals are only counted: each member of a large group may refuse.
        LogLine(LogLevel::Warning, "leadership_offered")
          .Add("to", aCandidates[aNext].address)
          .Add("taken", isAccepted)
          .Add("store_available", this->membership.IsStoreAvailable())
          .Add("error", aResponse ? std::error_code() : aResponse.Error());
      }
      if (!isAccepted) {
        this->OfferLeadership(aCandidates, aNext + 1, aMinAvailableTime, aIsWanted);
        return;
      }
      // The member may lose the election or fail too.
      this->loop.After(
        kOfferTimeout, [this, alive, aCandidates, aNext, aMinAvailableTime, aIsWanted] {
          if (*alive) {
            this->OfferLeadership(aCandidates, aNext + 1, aMinAvailableTime, aIsWanted);
          }
        });
    });
}

} // namespace daisydrift::coordination
