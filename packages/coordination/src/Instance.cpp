#include "daisydrift/coordination/Instance.h"

#include "ConfigExchange.h"
#include "JobRequestHandler.h"
#include "LeadershipCheck.h"
#include "LeadershipHandover.h"
#include "RecordCodec.h"

namespace daisydrift {

using coordination::ConfigExchange;
using coordination::ConfigFollower;
using coordination::JobRequestHandler;
using coordination::Leader;
using coordination::LeaderRecord;
using coordination::LeadershipCheck;
using coordination::LeadershipHandover;
using coordination::MemberRecord;
using coordination::Membership;
using coordination::ToJson;
using nlohmann::json;

namespace {
/// Response time limit of announcements; a later announcement repeats them.
constexpr std::chrono::milliseconds kAnnounceTimeout{ 400 };
/// Longest time for which a caller's request waits for the configuration to be confirmed.
constexpr std::chrono::milliseconds kMaxConfirmTime{ 300 };
/// A follower without an announcement for this long probes the leader's process.
constexpr std::chrono::milliseconds kMaxTimeWithoutLeaderContact{ 1000 };
constexpr std::chrono::milliseconds kLivenessCheckInterval{ 500 };
} // namespace

class Instance::Impl
{
public:
  Impl(EventLoop& aLoop,
       KeyValueStore& aStore,
       WorkerGateway& aWorkers,
       MachineGateway& aMachines,
       AdviceClient& aAdvice,
       PeerTransport& aPeers,
       Metrics& aMetrics,
       PlatformDecoders aDecoders,
       InstanceSettings aSettings);

  void OnElected(const LeaderRecord& aRecord);
  void OnLeadershipLost();
  void Announce();
  void OnAnnouncement(const json& aArguments);
  void CheckLeaderLiveness();
  void AnswerQuery(const JobId& aJob, const std::function<void(const Result<json>&)>& aReply);
  /// Ends this instance's term if another instance leads with a later one.
  void UpdateLeader(const LeaderRecord& aLeader);
  /// This instance's Leader; null unless it leads and has loaded the stored jobs.
  Leader* OwnLeader() const
  {
    return this->leader && this->leader->IsRecovered() ? this->leader.get() : nullptr;
  }

  EventLoop& loop;
  PeerTransport& peers;
  AdviceClient& advice;
  PlatformDecoders decoders;
  InstanceSettings settings;
  std::function<void(const FleetConfig&)> onConfigChange;
  ConfigFollower config;
  Membership membership;
  ConfigExchange configExchange;
  LeadershipHandover handover;
  Leader::Environment environment;
  std::unique_ptr<Leader> leader;
  LeadershipCheck leadershipCheck;
  JobRequestHandler requestHandler;
  bool isStopping = false;
  TimePoint lastLeaderContact;
};

Instance::Impl::Impl(EventLoop& aLoop,
                     KeyValueStore& aStore,
                     WorkerGateway& aWorkers,
                     MachineGateway& aMachines,
                     AdviceClient& aAdvice,
                     PeerTransport& aPeers,
                     Metrics& aMetrics,
                     PlatformDecoders aDecoders,
                     InstanceSettings aSettings)
  : loop(aLoop)
  , peers(aPeers)
  , advice(aAdvice)
  , decoders(std::move(aDecoders))
  , settings(std::move(aSettings))
  , config(aLoop,
           aStore,
           this->decoders,
           this->settings,
           aMetrics,
           [this] {
             if (this->leader) {
               this->leader->OnConfigChange();
             }
             if (this->onConfigChange && this->config.Config() != nullptr) {
               this->onConfigChange(*this->config.Config());
             }
           })
  , membership(aLoop,
               aStore,
               aPeers,
               this->settings,
               aMetrics,
               this->settings.name + "@" +
                 std::to_string(aLoop.WallClockNow().time_since_epoch().count()),
               Membership::Hooks{ [this](const LeaderRecord& aRecord) { this->OnElected(aRecord); },
                                  [this] { this->lastLeaderContact = this->loop.Now(); },
                                  [this] { this->handover.OnStoreRefused(); } })
  , configExchange(aLoop,
                   aPeers,
                   this->membership,
                   this->config,
                   this->settings,
                   aMetrics,
                   [this](const LeaderRecord& aLeader) { this->UpdateLeader(aLeader); })
  , handover(aLoop, aPeers, this->membership, this->settings)
  , environment{ aLoop,    aStore,         aWorkers,       aMachines,        aAdvice,     aPeers,
                 aMetrics, this->decoders, this->settings, this->membership, this->config }
  , leadershipCheck(aLoop,
                    aPeers,
                    this->membership,
                    this->settings,
                    [this](const LeaderRecord& aLeader) { this->UpdateLeader(aLeader); })
  , requestHandler(
      this->environment,
      this->membership,
      [this] { return this->OwnLeader(); },
      [this](const std::function<void()>& aDone) { this->leadershipCheck.AskMembers(aDone); })
{
}

void Instance::Impl::OnElected(const LeaderRecord& aRecord)
{
  if (this->isStopping) {
    this->membership.Resign(aRecord, [] {});
    return;
  }
  this->leader =
    std::make_unique<Leader>(this->environment, aRecord, [this] { this->OnLeadershipLost(); });
  this->leader->Start();
  this->Announce();
}

void Instance::Impl::OnLeadershipLost()
{
  this->leader.reset();
  this->membership.OnLeadershipLost();
}

void Instance::Impl::Announce()
{
  if (!this->leader) {
    return;
  }
  json announcement{ { "leader", ToJson(this->leader->Record()) },
                     { "config", this->config.Version() } };
  Epoch term = this->leader->Record().term;
  for (const auto& [name, member] : this->membership.Members()) {
    if (name == this->settings.name) {
      continue;
    }
    this->peers.Call(member.endpoint,
                     "announce",
                     announcement,
                     kAnnounceTimeout,
                     [this, endpoint = member.endpoint](const Result<json>& aResponse) {
                       if (aResponse &&
                           aResponse->value("config", std::uint64_t(0)) > this->config.Version()) {
                         this->configExchange.Fetch(endpoint);
                       }
                     });
  }
  this->loop.After(this->settings.announceInterval, [this, term] {
    if (this->leader && this->leader->Record().term == term) {
      this->Announce();
    }
  });
}

void Instance::Impl::OnAnnouncement(const json& aArguments)
{
  std::optional<LeaderRecord> record =
    coordination::LeaderRecordFromJson(aArguments.value("leader", json()));
  if (!record) {
    return;
  }
  this->UpdateLeader(*record);
  if (this->membership.Leader() && this->membership.Leader()->term == record->term) {
    this->lastLeaderContact = this->loop.Now();
  }
  bool isNewer = aArguments.value("config", std::uint64_t(0)) > this->config.Version();
  if (isNewer || this->configExchange.IsDue()) {
    this->configExchange.Fetch(record->endpoint);
  }
}

void Instance::Impl::AnswerQuery(const JobId& aJob,
                                 const std::function<void(const Result<json>&)>& aReply)
{
  auto reply = [this, aJob, aReply] {
    Leader* localLeader = this->OwnLeader();
    if (localLeader == nullptr) {
      aReply(Errc::NotPermitted);
      return;
    }
    std::optional<DispatchState> state = localLeader->State(aJob);
    aReply(json{ { "state", state ? static_cast<int>(*state) : -1 } });
  };
  if (this->membership.IsLeaseValid()) {
    reply();
  } else {
    this->leadershipCheck.AskMembers(reply);
  }
}

void Instance::Impl::UpdateLeader(const LeaderRecord& aLeader)
{
  if (this->leader && aLeader.term > this->leader->Record().term) {
    LogLine(LogLevel::Warning, "term_ends")
      .Add("term", this->leader->Record().term)
      .Add("reason", "replaced_by_announcement");
    this->leader.reset();
  }
  this->membership.UpdateLeader(aLeader);
}

void Instance::Impl::CheckLeaderLiveness()
{
  if (this->isStopping) {
    return;
  }
  if (!this->leader && this->loop.Now() - this->lastLeaderContact > kMaxTimeWithoutLeaderContact) {
    this->membership.SuspectLeader();
  }
  this->loop.After(kLivenessCheckInterval, [this] { this->CheckLeaderLiveness(); });
}

Instance::Instance(EventLoop& aLoop,
                   KeyValueStore& aStore,
                   WorkerGateway& aWorkers,
                   MachineGateway& aMachines,
                   AdviceClient& aAdvice,
                   PeerTransport& aPeers,
                   Metrics& aMetrics,
                   PlatformDecoders aDecoders,
                   InstanceSettings aSettings)
  : impl(std::make_unique<Impl>(aLoop,
                                aStore,
                                aWorkers,
                                aMachines,
                                aAdvice,
                                aPeers,
                                aMetrics,
                                std::move(aDecoders),
                                std::move(aSettings)))
{
}

Instance::~Instance() = default;

void Instance::Start()
{
  this->impl->config.Start();
  this->impl->membership.Start();
  this->impl->configExchange.Start();
  this->impl->handover.Start();
  this->impl->lastLeaderContact = this->impl->loop.Now();
  this->impl->CheckLeaderLiveness();
}

void Instance::BeginStop()
{
  this->impl->isStopping = true;
  std::optional<LeaderRecord> held;
  if (this->impl->leader) {
    held = this->impl->leader->Record();
    this->impl->leader.reset();
  }
  this->impl->membership.Resign(held, [] {});
}

bool Instance::IsLeading() const
{
  return this->impl->OwnLeader() != nullptr;
}

const FleetConfig* Instance::Config() const
{
  return this->impl->config.Config();
}

Duration Instance::ConfigAge() const
{
  return this->impl->config.Age();
}

void Instance::ConfirmConfig(Duration aTimeout, std::function<void(bool)> aDone)
{
  ConfigFollower& config = this->impl->config;
  if (config.Age() <= this->impl->settings.maxConfigAge) {
    aDone(true);
  } else if (!this->impl->membership.IsStoreAvailable()) {
    aDone(false);
  } else {
    config.Confirm(std::min<Duration>(aTimeout, kMaxConfirmTime), std::move(aDone));
  }
}

void Instance::OnConfigChange(std::function<void(const FleetConfig&)> aAction)
{
  this->impl->onConfigChange = std::move(aAction);
}

bool Instance::IsReady() const
{
  return this->Config() != nullptr && !this->impl->isStopping;
}

void Instance::Submit(const JobDefinition& aDefinition,
                      Duration aTimeout,
                      std::function<void(SubmitOutcome)> aDone)
{
  this->impl->requestHandler.Submit(aDefinition, aTimeout, std::move(aDone));
}

void Instance::Query(const JobId& aJob,
                     Duration aTimeout,
                     const std::function<void(const Result<DispatchState>&)>& aDone)
{
  this->impl->requestHandler.Query(aJob, aTimeout, aDone);
}

void Instance::Cancel(const JobId& aJob,
                      Duration aTimeout,
                      const std::function<void(std::error_code)>& aDone)
{
  this->impl->requestHandler.Cancel(aJob, aTimeout, aDone);
}

void Instance::CountPending(const QueueName& aQueue,
                            Duration aTimeout,
                            const std::function<void(const Result<std::size_t>&)>& aDone)
{
  this->impl->requestHandler.CountPending(aQueue, aTimeout, aDone);
}

void Instance::OnPeerCall(const std::string& aMethod,
                          const json& aArguments,
                          const std::function<void(const Result<json>&)>& aReply)
{
  Impl& self = *this->impl;
  if (!aArguments.is_object()) {
    aReply(Errc::InvalidArgument);
    return;
  }
  if (aMethod == "ping") {
    Epoch endedTerm = self.leader ? 0 : self.membership.LastHeldTerm();
    aReply(json{ { "incarnation", self.membership.Incarnation() }, { "ended_term", endedTerm } });
    return;
  }
  if (aMethod == "suspect") {
    self.membership.SuspectLeader();
    aReply(json::object());
    return;
  }
  if (aMethod == "leader") {
    const std::optional<LeaderRecord>& known = self.membership.Leader();
    aReply(known ? json{ { "leader", ToJson(*known) } } : json::object());
    return;
  }
  if (aMethod == "succeed") {
    Duration minAvailableTime(aArguments.value("min_available_us", Duration::rep(0)));
    aReply(json{
      { "stands",
        self.membership.AcceptHandover(aArguments.value("incarnation", ""), minAvailableTime) } });
    return;
  }
  if (aMethod == "announce") {
    self.OnAnnouncement(aArguments);
    aReply(json{ { "config", self.config.Version() } });
    return;
  }
  if (aMethod == "config") {
    aReply(self.configExchange.Answer(aArguments));
    return;
  }
  if (aMethod == "advise") {
    std::optional<AdviceRequest> request = coordination::AdviceRequestFromJson(aArguments);
    if (!request) {
      aReply(Errc::InvalidArgument);
      return;
    }
    self.advice.Ask(*request, [aReply](const Result<AdviceResponse>& aResponse) {
      aReply(aResponse ? Result<json>(ToJson(*aResponse)) : Result<json>(aResponse.Error()));
    });
    return;
  }
  if (aMethod == "submit") {
    std::optional<JobDefinition> job = coordination::JobDefinitionFromJson(aArguments);
    if (!job) {
      aReply(Errc::InvalidArgument);
      return;
    }
    self.requestHandler.StoreForPeer(*job, [aReply](SubmitOutcome aOutcome) {
      const char* text = aOutcome == SubmitOutcome::Accepted  ? "accepted"
                         : aOutcome == SubmitOutcome::Refused ? "refused"
                                                              : "unknown";
      aReply(json{ { "outcome", text } });
    });
    return;
  }
  Leader* leader = self.OwnLeader();
  if (leader == nullptr) {
    aReply(Errc::NotPermitted);
    return;
  }
  if (aMethod == "notice") {
    // Sent by instances of an earlier version.
    std::optional<JobDefinition> job = coordination::JobDefinitionFromJson(aArguments);
    if (job) {
      leader->AddJob(*job, "notice");
    }
    aReply(json::object());
  } else if (aMethod == "notices") {
    auto jobs = aArguments.find("jobs");
    if (jobs == aArguments.end() || !jobs->is_array()) {
      aReply(Errc::InvalidArgument);
      return;
    }
    for (const json& record : *jobs) {
      if (std::optional<JobDefinition> job = coordination::JobDefinitionFromJson(record)) {
        leader->AddJob(*job, "notice");
      }
    }
    aReply(json::object());
  } else if (aMethod == "query") {
    self.AnswerQuery(aArguments.value("job", ""), aReply);
  } else if (aMethod == "cancel") {
    leader->Cancel(aArguments.value("job", ""), [aReply](std::error_code aError) {
      if (aError && aError != make_error_code(Errc::NotFound)) {
        aReply(aError);
      } else {
        aReply(json{ { "found", !aError } });
      }
    });
  } else if (aMethod == "pending") {
    aReply(json{ { "pending", leader->CountQueuedJobs(aArguments.value("queue", "")) } });
  } else {
    aReply(Errc::InvalidArgument);
  }
}

} // namespace daisydrift
