#include "daisydrift/coordination/Instance.h"

#include "AdmissionControl.h"
#include "ConfigExchange.h"
#include "JobRequestHandler.h"
#include "LeadershipCheck.h"
#include "LeadershipHandover.h"
#include "RecordCodec.h"
#include "daisydrift/coordination/JsonFields.h"

#include <limits>
#include <map>

namespace daisydrift {

using coordination::AdmissionControl;
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
/// Greatest numbers in calls of other instances.
constexpr std::chrono::hours kMaxAvailableTime{ 1 };
constexpr std::uint64_t kMaxConfigVersion = std::numeric_limits<std::uint64_t>::max();
} // namespace

class Instance::Impl
{
public:
  using Reply = std::function<void(const Result<json>&)>;
  /// A call from another instance. Its handler reads the fields, then refuses it if they are
  /// invalid.
  struct PeerCall
  {
    const std::string& method;
    const json& arguments;
    JsonFields fields;
    const Reply& reply;
  };

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
  void OnAnnouncement(const LeaderRecord& aLeader, std::uint64_t aConfigVersion);
  /// Fetches the configuration of an instance that has answered an announcement with a newer one.
  void OnAnnouncementAnswer(const SocketEndpoint& aEndpoint, const json& aAnswer);
  void OnPeerCall(const std::string& aMethod, const json& aArguments, const Reply& aReply);
  void CheckLeaderLiveness();
  /// True, after an answer and a report, for a call with invalid fields.
  bool IsRefused(const PeerCall& aCall) const;
  /// The leader for a call with valid fields; null after an answer when there is none to serve it.
  Leader* LeaderFor(const PeerCall& aCall) const;
  void OnPing(PeerCall& aCall);
  void OnSuspect(PeerCall& aCall);
  void OnLeaderQuestion(PeerCall& aCall);
  void OnSucceed(PeerCall& aCall);
  void OnAnnounce(PeerCall& aCall);
  void OnConfigQuestion(PeerCall& aCall);
  void OnAdvise(PeerCall& aCall);
  void OnSubmit(PeerCall& aCall);
  void OnNotice(PeerCall& aCall);
  void OnNotices(PeerCall& aCall);
  void OnQuery(PeerCall& aCall);
  void OnCancel(PeerCall& aCall);
  void OnPending(PeerCall& aCall);
  void AnswerQuery(const JobId& aJob, const Reply& aReply);
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
  AdmissionControl admission;
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
                                  [this] {
                                    this->lastLeaderContact = this->loop.Now();
                                    this->requestHandler.OnLeaderChanged();
                                  },
                                  [this] { this->handover.OnStoreRefused(); },
                                  [this] { this->requestHandler.OnStoreRegained(); } })
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
  , admission(aLoop, aStore, this->membership, this->config, this->settings, aMetrics)
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
  if (this->settings.admission && this->leader->IsRecovered()) {
    FleetForecast forecast = this->leader->Forecast();
    announcement["forecast"] = ToJson(forecast, Duration(0));
    this->admission.Adopt(std::move(forecast), Duration(0));
  }
  for (const auto& [name, member] : this->membership.Members()) {
    if (name == this->settings.name) {
      continue;
    }
    this->peers.Call(member.endpoint,
                     "announce",
                     announcement,
                     kAnnounceTimeout,
                     [this, endpoint = member.endpoint](const Result<json>& aResponse) {
                       if (aResponse) {
                         this->OnAnnouncementAnswer(endpoint, *aResponse);
                       }
                     });
  }
  this->loop.After(this->settings.announceInterval, [this, term] {
    if (this->leader && this->leader->Record().term == term) {
      this->Announce();
    }
  });
}

void Instance::Impl::OnAnnouncementAnswer(const SocketEndpoint& aEndpoint, const json& aAnswer)
{
  JsonFields fields(aAnswer);
  auto version = fields.Integer<std::uint64_t>("config", 0, kMaxConfigVersion);
  if (!fields.IsValid()) {
    this->membership.Unreadable().AddAnswer("announce", fields.Error());
  } else if (version > this->config.Version()) {
    this->configExchange.Fetch(aEndpoint);
  }
}

void Instance::Impl::OnAnnouncement(const LeaderRecord& aLeader, std::uint64_t aConfigVersion)
{
  this->UpdateLeader(aLeader);
  if (this->membership.Leader() && this->membership.Leader()->term == aLeader.term) {
    this->lastLeaderContact = this->loop.Now();
  }
  if (aConfigVersion > this->config.Version() || this->configExchange.IsDue()) {
    this->configExchange.Fetch(aLeader.endpoint);
  }
}

bool Instance::Impl::IsRefused(const PeerCall& aCall) const
{
  if (aCall.fields.IsValid()) {
    return false;
  }
  this->membership.Unreadable().AddCall(aCall.method, aCall.fields.Error());
  aCall.reply(Errc::InvalidArgument);
  return true;
}

Leader* Instance::Impl::LeaderFor(const PeerCall& aCall) const
{
  if (this->IsRefused(aCall)) {
    return nullptr;
  }
  Leader* own = this->OwnLeader();
  if (own == nullptr) {
    aCall.reply(Errc::NotPermitted);
  }
  return own;
}

void Instance::Impl::OnPeerCall(const std::string& aMethod,
                                const json& aArguments,
                                const Reply& aReply)
{
  static const std::map<std::string, void (Impl::*)(PeerCall&)> kHandlers{
    { "ping", &Impl::OnPing },
    { "suspect", &Impl::OnSuspect },
    { "leader", &Impl::OnLeaderQuestion },
    { "succeed", &Impl::OnSucceed },
    { "announce", &Impl::OnAnnounce },
    { "config", &Impl::OnConfigQuestion },
    { "advise", &Impl::OnAdvise },
    { "submit", &Impl::OnSubmit },
    { "notice", &Impl::OnNotice }, // Sent by instances of an earlier version.
    { "notices", &Impl::OnNotices },
    { "query", &Impl::OnQuery },
    { "cancel", &Impl::OnCancel },
    { "pending", &Impl::OnPending }
  };
  auto handler = kHandlers.find(aMethod);
  if (handler == kHandlers.end()) {
    aReply(Errc::InvalidArgument);
    return;
  }
  PeerCall call{ aMethod, aArguments, JsonFields(aArguments), aReply };
  if (!this->IsRefused(call)) {
    (this->*handler->second)(call);
  }
}

void Instance::Impl::OnPing(PeerCall& aCall)
{
  Epoch endedTerm = this->leader ? 0 : this->membership.LastHeldTerm();
  aCall.reply(
    json{ { "incarnation", this->membership.Incarnation() }, { "ended_term", endedTerm } });
}

void Instance::Impl::OnSuspect(PeerCall& aCall)
{
  this->membership.SuspectLeader();
  aCall.reply(json::object());
}

void Instance::Impl::OnLeaderQuestion(PeerCall& aCall)
{
  const std::optional<LeaderRecord>& known = this->membership.Leader();
  aCall.reply(known ? json{ { "leader", ToJson(*known) } } : json::object());
}

void Instance::Impl::OnSucceed(PeerCall& aCall)
{
  Duration minAvailableTime = aCall.fields.Microseconds("min_available_us", kMaxAvailableTime);
  std::string incarnation = aCall.fields.Text("incarnation");
  if (!this->IsRefused(aCall)) {
    bool stands = this->membership.AcceptHandover(incarnation, minAvailableTime);
    aCall.reply(json{ { "stands", stands } });
  }
}

void Instance::Impl::OnAnnounce(PeerCall& aCall)
{
  aCall.fields.Require({ "leader" });
  auto version = aCall.fields.Integer<std::uint64_t>("config", 0, kMaxConfigVersion);
  std::optional<LeaderRecord> record;
  if (const json* leaderRecord = aCall.fields.Find("leader")) {
    std::string error;
    record = coordination::LeaderRecordFromJson(*leaderRecord, &error);
    if (!record) {
      aCall.fields.Fail("leader", error);
    }
  }
  if (!this->IsRefused(aCall)) {
    this->OnAnnouncement(*record, version);
    if (const json* forecast = aCall.fields.Find("forecast")) {
      this->admission.Receive(*forecast);
    }
    aCall.reply(json{ { "config", this->config.Version() } });
  }
}

void Instance::Impl::OnConfigQuestion(PeerCall& aCall)
{
  aCall.fields.Integer<std::uint64_t>("version", 0, kMaxConfigVersion);
  if (!this->IsRefused(aCall)) {
    aCall.reply(this->configExchange.Answer(aCall.arguments));
  }
}

void Instance::Impl::OnAdvise(PeerCall& aCall)
{
  std::string error;
  std::optional<AdviceRequest> request =
    coordination::AdviceRequestFromJson(aCall.arguments, &error);
  if (!request) {
    aCall.fields.Fail("request", error);
  }
  if (!this->IsRefused(aCall)) {
    this->advice.Ask(*request, [reply = aCall.reply](const Result<AdviceResponse>& aResponse) {
      reply(aResponse ? Result<json>(ToJson(*aResponse)) : Result<json>(aResponse.Error()));
    });
  }
}

void Instance::Impl::OnSubmit(PeerCall& aCall)
{
  std::string error;
  std::optional<JobDefinition> job = coordination::JobDefinitionFromJson(aCall.arguments, &error);
  if (!job) {
    aCall.fields.Fail("job", error);
  }
  if (this->IsRefused(aCall)) {
    return;
  }
  this->requestHandler.StoreForPeer(*job, [reply = aCall.reply](SubmitOutcome aOutcome) {
    const char* text = aOutcome == SubmitOutcome::Accepted  ? "accepted"
                       : aOutcome == SubmitOutcome::Refused ? "refused"
                                                            : "unknown";
    reply(json{ { "outcome", text } });
  });
}

void Instance::Impl::OnNotice(PeerCall& aCall)
{
  std::string error;
  std::optional<JobDefinition> job = coordination::JobDefinitionFromJson(aCall.arguments, &error);
  if (!job) {
    aCall.fields.Fail("job", error);
  }
  if (Leader* own = this->LeaderFor(aCall)) {
    own->AddJob(*job, "notice");
    aCall.reply(json::object());
  }
}

void Instance::Impl::OnNotices(PeerCall& aCall)
{
  aCall.fields.Require({ "jobs" });
  std::vector<JobDefinition> jobs;
  if (const json* records = aCall.fields.List("jobs")) {
    for (const json& record : *records) {
      std::string error;
      if (std::optional<JobDefinition> job = coordination::JobDefinitionFromJson(record, &error)) {
        jobs.push_back(std::move(*job));
      } else {
        aCall.fields.Fail("jobs", error);
      }
    }
  }
  // The sender of a refused call repeats each job alone; the readable ones need not wait for that.
  if (Leader* own = this->OwnLeader()) {
    for (const JobDefinition& job : jobs) {
      own->AddJob(job, "notice");
    }
  }
  if (this->LeaderFor(aCall) != nullptr) {
    aCall.reply(json::object());
  }
}

void Instance::Impl::OnQuery(PeerCall& aCall)
{
  std::string job = aCall.fields.Text("job");
  if (this->LeaderFor(aCall) != nullptr) {
    this->AnswerQuery(job, aCall.reply);
  }
}

void Instance::Impl::OnCancel(PeerCall& aCall)
{
  std::string job = aCall.fields.Text("job");
  if (Leader* own = this->LeaderFor(aCall)) {
    own->Cancel(job, [reply = aCall.reply](std::error_code aError) {
      if (aError && aError != make_error_code(Errc::NotFound)) {
        // The term has ended; the cancellation may be stored even so.
        reply(Errc::OutcomeUnknown);
      } else {
        reply(json{ { "found", !aError } });
      }
    });
  }
}

void Instance::Impl::OnPending(PeerCall& aCall)
{
  std::string queue = aCall.fields.Text("queue");
  if (Leader* own = this->LeaderFor(aCall)) {
    aCall.reply(json{ { "pending", own->CountQueuedJobs(queue) } });
  }
}

void Instance::Impl::AnswerQuery(const JobId& aJob, const Reply& aReply)
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

void Instance::Admit(const JobDefinition& aDefinition,
                     Duration aTimeout,
                     std::function<void(const std::optional<AdmissionRefusal>&)> aDone)
{
  this->impl->admission.Decide(aDefinition, aTimeout, std::move(aDone));
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

void Instance::EndOpenRequests()
{
  this->impl->requestHandler.EndOpenRequests();
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
  this->impl->OnPeerCall(aMethod, aArguments, aReply);
}

} // namespace daisydrift
