#include "ConfigExchange.h"

#include "daisydrift/coordination/JsonFields.h"

#include <limits>

namespace daisydrift::coordination {

using nlohmann::json;

namespace {
/// Response time limit of a fetch.
constexpr std::chrono::milliseconds kFetchTimeout{ 400 };
/// Time limit for the begin of a document's transfer, and between two parts of it.
constexpr std::chrono::milliseconds kDocumentTimeout{ 1000 };
/// Time between fetches while the store does not confirm the configuration.
constexpr std::chrono::milliseconds kFetchInterval{ 400 };
constexpr std::uint64_t kMaxVersion = std::numeric_limits<std::uint64_t>::max();
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
                     std::uint64_t version = this->OnAnswer(*aResponse, sentAt);
                     if (version > this->config.Version() && version != this->unusableVersion &&
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
                     if (!aResponse) {
                       this->LogFailure(aPeer, aResponse.Error());
                       return;
                     }
                     std::uint64_t version = this->OnAnswer(*aResponse, sentAt);
                     if (version > this->config.Version()) {
                       this->unusableVersion = version;
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

std::uint64_t ConfigExchange::OnAnswer(const json& aAnswer, TimePoint aSentAt)
{
  JsonFields fields(aAnswer);
  auto version = fields.Integer<std::uint64_t>("version", 0, kMaxVersion);
  Duration age = fields.Microseconds("age_us", ConfigFollower::kMaxAge);
  std::string document = fields.Text("document");
  if (!fields.IsValid()) {
    this->membership.Unreadable().AddAnswer("config", fields.Error());
    return 0;
  }
  if (aAnswer.contains("document")) {
    this->config.Adopt(document, "instance");
  }
  if (aAnswer.contains("age_us")) {
    this->config.OnPeerConfirmed(version, aSentAt - age);
  }
  std::optional<LeaderRecord> leader =
    LeaderOfAnswer("config", aAnswer, this->membership.Unreadable());
  if (leader) {
    this->onLeader(*leader);
  }
  return version;
}

json ConfigExchange::Answer(const json& aArguments) const
{
  json answer = json::object();
  if (const FleetConfig* current = this->config.Config()) {
    answer = { { "version", current->version }, { "age_us", this->config.Age().count() } };
    JsonFields fields(aArguments);
    // Instances of an earlier version ask for the document in each call.
    bool isDocumentWanted = fields.Flag("document", true);
    if (isDocumentWanted &&
        fields.Integer<std::uint64_t>("version", 0, kMaxVersion) != current->version) {
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
