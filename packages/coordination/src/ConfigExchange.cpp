#include "ConfigExchange.h"

#include <nlohmann/json.hpp>

namespace daisydrift::coordination {

using nlohmann::json;

namespace {
/// Response time limit of a fetch.
constexpr std::chrono::milliseconds kFetchTimeout{ 400 };
/// Time limit for the begin of a document's transfer, and between two parts of it.
constexpr std::chrono::milliseconds kDocumentTimeout{ 1000 };
/// Time between fetches while the store does not confirm the configuration.
constexpr std::chrono::milliseconds kFetchInterval{ 400 };
} // namespace

ConfigExchange::ConfigExchange(EventLoop& aLoop,
                               PeerTransport& aPeers,
                               const Membership& aMembership,
                               ConfigFollower& aConfig,
                               const InstanceSettings& aSettings,
                               Metrics& aMetrics,
                               std::function<void(const LeaderRecord&)> aOnLeader)
  : loop(aLoop)
  , peers(aPeers)
  , membership(aMembership)
  , config(aConfig)
  , settings(aSettings)
  , metrics(aMetrics)
  , onLeader(std::move(aOnLeader))
{
}

void ConfigExchange::Start()
{
  this->loop.After(kFetchInterval, [this] { this->FetchWhenDue(); });
}

void ConfigExchange::FetchWhenDue()
{
  this->loop.After(kFetchInterval, [this] { this->FetchWhenDue(); });
  if (this->IsDue() && !this->isFetching) {
    if (std::optional<SocketEndpoint> peer = this->NextPeer()) {
      this->Fetch(*peer);
    }
  }
}

std::optional<SocketEndpoint> ConfigExchange::NextPeer()
{
  const std::optional<LeaderRecord>& leader = this->membership.Leader();
  bool canAskLeader = leader && leader->incarnation != this->membership.Incarnation();
  bool isLeaderDue = !this->wasLeaderAskedLast;
  this->wasLeaderAskedLast = isLeaderDue;
  if (canAskLeader && isLeaderDue) {
    return leader->endpoint;
  }
  const std::map<std::string, MemberRecord>& members = this->membership.Members();
  auto next = members.upper_bound(this->lastMember);
  for (std::size_t tried = 0; tried < members.size(); ++tried, ++next) {
    next = next == members.end() ? members.begin() : next;
    if (next->first != this->settings.name) {
      this->lastMember = next->first;
      return next->second.endpoint;
    }
  }
  return canAskLeader ? std::optional(leader->endpoint) : std::nullopt;
}

void ConfigExchange::Fetch(const SocketEndpoint& aPeer)
{
  if (this->isFetching) {
    return;
  }
  this->isFetching = true;
  this->peers.Call(aPeer,
                   "config",
                   json{ { "version", this->config.Version() }, { "document", false } },
                   kFetchTimeout,
                   [this, aPeer, sentAt = this->loop.Now()](const Result<json>& aResponse) {
                     this->isFetching = false;
                     if (!aResponse) {
                       this->LogFailure(aPeer, aResponse.Error());
                       return;
                     }
                     this->OnAnswer(*aResponse, sentAt);
                     if (aResponse->value("version", std::uint64_t(0)) > this->config.Version() &&
                         !this->config.IsReceiving()) {
                       this->FetchDocument(aPeer);
                     }
                   });
}

void ConfigExchange::FetchDocument(const SocketEndpoint& aPeer)
{
  this->isFetching = true;
  this->peers.Call(aPeer,
                   "config",
                   json{ { "version", this->config.Version() } },
                   kDocumentTimeout,
                   [this, aPeer, sentAt = this->loop.Now()](const Result<json>& aResponse) {
                     this->isFetching = false;
                     if (aResponse) {
                       this->OnAnswer(*aResponse, sentAt);
                     } else {
                       this->LogFailure(aPeer, aResponse.Error());
                     }
                   });
}

void ConfigExchange::LogFailure(const SocketEndpoint& aPeer, std::error_code aError) const
{
  LogLine(LogLevel::Warning, "config_fetch_failed")
    .Add("instance", aPeer.address)
    .Add("error", aError)
    .Add("version", this->config.Version())
    .Add("age_ms", this->config.Age());
}

void ConfigExchange::OnAnswer(const json& aAnswer, TimePoint aSentAt)
{
  if (aAnswer.contains("document")) {
    this->config.Adopt(aAnswer["document"].get<std::string>(), "instance");
  }
  if (aAnswer.contains("age_us")) {
    this->config.OnPeerConfirmed(aAnswer.value("version", std::uint64_t(0)),
                                 aSentAt - Duration(aAnswer["age_us"].get<Duration::rep>()));
  }
  if (std::optional<LeaderRecord> leader = LeaderRecordFromJson(aAnswer.value("leader", json()))) {
    this->onLeader(*leader);
  }
}

json ConfigExchange::Answer(const json& aArguments) const
{
  json answer = json::object();
  if (const FleetConfig* current = this->config.Config()) {
    answer = { { "version", current->version }, { "age_us", this->config.Age().count() } };
    // Instances of an earlier version ask for the document in each call.
    bool isDocumentWanted = aArguments.value("document", true);
    if (isDocumentWanted && aArguments.value("version", std::uint64_t(0)) != current->version) {
      answer["document"] = current->document;
      this->metrics.Count("config_documents_sent_total");
      this->metrics.Count("config_document_bytes_sent_total", current->document.size());
    }
  }
  if (this->membership.Leader()) {
    answer["leader"] = ToJson(*this->membership.Leader());
  }
  return answer;
}

} // namespace daisydrift::coordination
