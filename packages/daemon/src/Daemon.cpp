#include "daisydrift/daemon/Daemon.h"

#include "ApiServer.h"
#include "ConfigFollower.h"
#include "FleetStatus.h"
#include "LeaderRunner.h"
#include "Membership.h"
#include "ProblemReply.h"

#include "daisydrift/routing.h"

#include <unistd.h>

#include <condition_variable>
#include <fstream>
#include <sstream>

namespace daisydrift {

namespace {

/// Time between reporting that this instance is not ready and refusing new requests. Load balancers
/// poll the readiness about once a second.
constexpr std::chrono::milliseconds kDeregistrationDelay{ 2500 };
constexpr std::chrono::milliseconds kPeerServerStopTimeout{ 5000 };
constexpr std::size_t kCallerThreads = 96;
constexpr std::size_t kOperatorThreads = 16;
constexpr std::chrono::seconds kMaxKeepAlive{ 5 };
constexpr std::chrono::milliseconds kDirectoryTimeout{ 2000 };

std::string ReadFirstLine(const std::string& aFile,
                          const std::string& aSetting,
                          Findings& aFindings)
{
  std::ifstream file(aFile);
  std::string line;
  if (!std::getline(file, line) || line.empty()) {
    aFindings.Add({ aFile, 1, 1 },
                  "unreadable_file",
                  "the file named by '" + aSetting + "' can't be read or is empty");
  }
  return line;
}

PolicySettings PolicyOf(const PolicyChoice& aChoice)
{
  PolicySettings policy = aChoice.preset == PolicyPreset::Packing
                            ? PolicySettings::ForPacking()
                            : PolicySettings::ForWaitingTime();
  policy.packingWeight = aChoice.packingWeight.value_or(policy.packingWeight);
  policy.spreadWeight = aChoice.spreadWeight.value_or(policy.spreadWeight);
  policy.acceleratorWeight = aChoice.acceleratorWeight.value_or(policy.acceleratorWeight);
  policy.urgentTarget =
    aChoice.urgentTarget ? Duration(*aChoice.urgentTarget) : policy.urgentTarget;
  policy.debtHalfLife =
    aChoice.debtHalfLife ? Duration(*aChoice.debtHalfLife) : policy.debtHalfLife;
  policy.stopGrace = aChoice.stopGrace ? Duration(*aChoice.stopGrace) : policy.stopGrace;
  policy.refillStartsPerSecond =
    aChoice.refillStartsPerSecond.value_or(policy.refillStartsPerSecond);
  policy.poisonWorkerCount = aChoice.poisonWorkerCount.value_or(policy.poisonWorkerCount);
  return policy;
}

RequestOutcome OutcomeFrom(const std::string& aText)
{
  if (aText == "ran") {
    return RequestOutcome::Ran;
  }
  return aText == "not_run" ? RequestOutcome::NotRun : RequestOutcome::Unknown;
}

} // namespace

DaemonSecrets LoadSecrets(const DaemonSettings& aSettings, Findings& aFindings)
{
  DaemonSecrets secrets;
  secrets.operatorKeyDigest = aSettings.operatorKeyDigest;
  if (!aSettings.operatorKeyDigestFile.empty()) {
    secrets.operatorKeyDigest =
      ReadFirstLine(aSettings.operatorKeyDigestFile, "operators.key_digest_file", aFindings);
  }
  secrets.instanceSecret =
    ReadFirstLine(aSettings.instanceSecretFile, "instances.secret_file", aFindings);
  return secrets;
}

struct Daemon::Impl : PeerService
{
  Impl(DaemonSettings aSettings, DaemonSecrets aSecrets)
    : settings(std::move(aSettings))
    , secrets(std::move(aSecrets))
    , store(this->settings.storeEndpoints)
    , directory(this->settings.directoryEndpoint)
    , config(this->clock)
    , loop(std::make_shared<RpcEventLoop>())
    , channels(this->loop, ChannelOptions(this->secrets))
    , configChannels(this->loop, ChannelOptions(this->secrets))
    , peerServer(this->loop, *this, ServerOptions(this->secrets))
  {
  }

  static PeerChannelOptions ChannelOptions(const DaemonSecrets& aSecrets)
  {
    PeerChannelOptions options;
    options.secret = aSecrets.instanceSecret;
    return options;
  }
  static PeerServerOptions ServerOptions(const DaemonSecrets& aSecrets)
  {
    PeerServerOptions options;
    options.secret = aSecrets.instanceSecret;
    return options;
  }

  bool Start(Findings& aFindings);
  void MakeRouter();
  void MakeLeader();
  void MakeMembership(const Endpoint& aRpc, const Endpoint& aHttp);
  std::unique_ptr<ApiServer> MakeApi(ApiPort aPort);
  void PollDirectory();
  void OnInstances(const std::vector<InstanceInfo>& aInstances);
  void Stop();

  CallReply CallLeader(const std::string& aRegion, const Call& aCall);
  std::optional<RoutedResponse> ForwardToPeer(const RoutedRequest& aRequest);
  std::vector<FreeSlots> CountFreeSlots() const;
  EditOutcome ApplyEdit(const EditRequest& aRequest);
  std::string Status();
  std::string Audit();

  Result<HeartbeatReply> OnHeartbeat(const Heartbeat& aHeartbeat) override;
  Result<ConfigReply> OnFetchConfig() override;
  Result<SuccessorAck> OnSuccessor(const SuccessorNotice& aNotice) override;
  Result<CallReply> OnCall(const Call& aCall) override;
  Result<ForwardedReply> OnForwardedRequest(const ForwardedRequest& aRequest) override;

  DaemonSettings settings;
  DaemonSecrets secrets;
  SteadyClock clock;
  Metrics metrics;
  HttpStore store;
  HttpInstanceDirectory directory;
  HttpWorkerClient workers;
  HttpUpstreamClient upstreams;
  ConfigHolder config;
  std::shared_ptr<RpcEventLoop> loop;
  PeerChannelPool channels;
  PeerChannelPool configChannels;
  std::unique_ptr<RequestRouter> router;
  std::unique_ptr<LeaderRunner> leader;
  std::unique_ptr<Membership> membership;
  std::unique_ptr<ConfigFollower> configFollower;
  PeerServer peerServer;
  std::unique_ptr<ApiServer> callerApi;
  std::unique_ptr<ApiServer> operatorApi;
  std::atomic<bool> isReady{ false };
  std::mutex directoryMutex;
  std::condition_variable directoryWakeUp;
  bool isStopping = false;
  bool isStopped = false;
  std::thread directoryThread;
};

bool Daemon::Impl::Start(Findings& aFindings)
{
  if (this->settings.instanceId.empty()) {
    Result<std::string> id = GenerateId();
    this->settings.instanceId = id ? *id : std::to_string(getpid());
  }
  this->MakeRouter();
  this->MakeLeader();
  const ListenSettings& listen = this->settings.listen;
  this->callerApi = this->MakeApi(ApiPort::Callers);
  this->operatorApi = this->MakeApi(ApiPort::Operators);
  if (!this->callerApi->Http().IsValid() || !this->operatorApi->Http().IsValid()) {
    aFindings.Add({ this->settings.tlsCertificateFile, 0, 0 },
                  "unusable_certificate",
                  "the TLS certificate or its key can't be used");
    return false;
  }
  if (this->peerServer.Start({ listen.address, listen.rpcPort })) {
    aFindings.Add({ "listen.rpc_port", 0, 0 }, "port_unavailable", "the port can't be bound");
    return false;
  }
  Endpoint rpc{ this->settings.advertisedAddress, this->peerServer.Address().port };
  // The membership must exist before the first HTTP request, so it gets the configured HTTP port
  // rather than the bound one.
  this->MakeMembership(rpc, { this->settings.advertisedAddress, listen.httpPort });
  this->configFollower = std::make_unique<ConfigFollower>(
    this->store,
    this->config,
    this->clock,
    [this](std::error_code aError, TimePoint aSentAt) {
      this->membership->OnStoreCall(aError, aSentAt);
    },
    [this] { this->leader->ConfirmConfig(this->config.ConfirmedAt()); });
  if (!this->callerApi->Http().Start({ listen.address, listen.httpPort })) {
    aFindings.Add({ "listen.http_port", 0, 0 }, "port_unavailable", "the port can't be bound");
    return false;
  }
  if (!this->operatorApi->Http().Start({ listen.address, listen.operatorsPort })) {
    aFindings.Add({ "listen.operators_port", 0, 0 }, "port_unavailable", "the port can't be bound");
    return false;
  }
  this->configFollower->Start();
  this->membership->Start();
  this->directoryThread = std::thread([this] { this->PollDirectory(); });
  this->isReady = true;
  LogLine(LogLevel::Info, "started")
    .Add("instance", this->settings.instanceId)
    .Add("region", this->settings.region)
    .Add("failure_domain", this->settings.failureDomain)
    .Add("http", ToString(this->callerApi->Http().Address()))
    .Add("operators", ToString(this->operatorApi->Http().Address()))
    .Add("rpc", ToString(rpc));
  return true;
}

void Daemon::Impl::MakeRouter()
{
  RoutingSettings routing;
  routing.seats = this->settings.seats;
  routing.failureDomain = this->settings.failureDomain;
  routing.maxRequestTimeout = kMaxRequestTimeout;
  routing.seed = std::hash<std::string>()(this->settings.instanceId);
  RoutingHooks hooks;
  hooks.canSend = [this] { return this->membership->CanUseSeat(); };
  hooks.forwardToPeer = [this](const RoutedRequest& aRequest) {
    return this->ForwardToPeer(aRequest);
  };
  this->router = std::make_unique<RequestRouter>(
    routing, this->upstreams, this->clock, this->metrics, std::move(hooks));
}

void Daemon::Impl::MakeLeader()
{
  LeaderRunnerOptions options;
  options.region = this->settings.region;
  options.instance = this->settings.instanceId;
  options.policy = PolicyOf(this->settings.policy);
  options.syncInterval = this->settings.workerSyncInterval;
  options.durable.callTimeout = this->settings.storeTimeout;
  options.durable.maxAttempts = 2;
  LeaderRunnerHooks hooks;
  hooks.canRenewTaskLeases = [this] { return this->membership->CanRenewTaskLeases(); };
  hooks.havePredecessorLeasesExpired = [this] {
    return this->membership->HavePredecessorLeasesExpired();
  };
  hooks.onSuperseded = [this] { this->membership->OnFenced(); };
  this->leader = std::make_unique<LeaderRunner>(
    std::move(options), std::move(hooks), this->store, this->workers, this->clock, this->metrics);
  this->config.SetListener([this](const ConfigView& aView) {
    this->leader->SetConfig(aView.Document(), this->config.ConfirmedAt());
    for (const auto& [name, service] : aView.Document().services) {
      this->router->SetLimits(name, { service.slotsPerUpstream, service.connectionsPerUpstream });
    }
  });
}

void Daemon::Impl::MakeMembership(const Endpoint& aRpc, const Endpoint& aHttp)
{
  MembershipOptions options{
    this->settings.instanceId, this->settings.region, this->settings.failureDomain, aRpc, aHttp
  };
  MembershipHooks hooks;
  hooks.onSeatChanged = [this](std::optional<unsigned> aSeat) { this->router->SetSeat(aSeat); };
  hooks.onElected = [this](Epoch aEpoch) { this->leader->Lead(aEpoch); };
  hooks.onLeadershipLost = [this] { this->leader->StepDown(); };
  hooks.freeSlots = [this] { return this->CountFreeSlots(); };
  this->membership = std::make_unique<Membership>(std::move(options),
                                                  std::move(hooks),
                                                  this->store,
                                                  this->channels,
                                                  this->configChannels,
                                                  this->config,
                                                  this->clock,
                                                  this->metrics);
}

std::unique_ptr<ApiServer> Daemon::Impl::MakeApi(ApiPort aPort)
{
  ApiOptions options;
  options.port = aPort;
  options.limits.maxBodyBytes = this->settings.limits.bodyBytes;
  options.limits.readTimeout = this->settings.limits.headerTimeout;
  options.tls = { this->settings.tlsCertificateFile, this->settings.tlsKeyFile };
  options.operatorKeyDigest = this->secrets.operatorKeyDigest;
  options.limits.maxHeaderBytes = this->settings.limits.headerBytes;
  // Each open connection occupies a thread, so the number of connections served at once is limited
  // and idle connections are closed soon.
  std::size_t threads = aPort == ApiPort::Callers ? kCallerThreads : kOperatorThreads;
  options.limits.threads = std::min<std::size_t>(threads, this->settings.limits.connections);
  options.limits.keepAlive = std::min(
    kMaxKeepAlive, std::chrono::ceil<std::chrono::seconds>(this->settings.limits.idleTimeout));
  ApiHooks hooks;
  hooks.config = [this] { return this->config.View(); };
  hooks.isConfigFresh = [this] { return this->config.CanAcceptAuthenticatedRequests(); };
  hooks.callLeader = [this](const std::string& aRegion, const Call& aCall) {
    return this->CallLeader(aRegion, aCall);
  };
  hooks.route = [this](const RoutedRequest& aRequest) { return this->router->Route(aRequest); };
  hooks.edit = [this](const EditRequest& aRequest) { return this->ApplyEdit(aRequest); };
  hooks.status = [this] { return this->Status(); };
  hooks.audit = [this] { return this->Audit(); };
  hooks.refreshMetrics = [this] { this->router->UpdateGauges(); };
  hooks.isReady = [this] {
    return this->isReady && this->config.IsKnown() && this->membership->Seat().has_value();
  };
  return std::make_unique<ApiServer>(
    std::move(options), std::move(hooks), this->clock, this->metrics);
}

void Daemon::Impl::PollDirectory()
{
  std::unique_lock lock(this->directoryMutex);
  while (!this->isStopping) {
    lock.unlock();
    Result<std::vector<InstanceInfo>> instances = this->directory.List(kDirectoryTimeout);
    if (instances) {
      this->OnInstances(*instances);
    } else {
      this->metrics.Count("directory_errors_total");
    }
    lock.lock();
    this->directoryWakeUp.wait_for(
      lock, this->settings.directoryPollInterval, [this] { return this->isStopping; });
  }
}

void Daemon::Impl::OnInstances(const std::vector<InstanceInfo>& aInstances)
{
  this->router->UpdateUpstreams(aInstances);
  this->leader->SetInstances(aInstances);
}

CallReply Daemon::Impl::CallLeader(const std::string& aRegion, const Call& aCall)
{
  std::string region = aRegion.empty() ? this->settings.region : aRegion;
  if (region == this->settings.region && this->leader->IsLeading()) {
    return this->leader->Handle(aCall);
  }
  std::optional<Endpoint> endpoint = this->membership->LeaderOf(region);
  if (!endpoint) {
    return MakeProblemReply(NoLeaderProblem("no leader of region '" + region + "' is known"));
  }
  // Longer than the leader takes to report a timeout itself: at most the call's timeout and 50 ms.
  auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(aCall.timeout) +
                 std::chrono::milliseconds(200);
  PeerResult<CallReply> reply = this->channels.GetOrCreate(*endpoint)->SendCall(aCall, timeout);
  if (reply) {
    return *reply;
  }
  if (reply.Error() == Errc::OutcomeUnknown && aCall.kind != CallKind::Query) {
    return MakeProblemReply(OutcomeUnknownProblem());
  }
  return MakeProblemReply(
    NoLeaderProblem("the leader did not accept the call: " + reply.Error().message()));
}

std::optional<RoutedResponse> Daemon::Impl::ForwardToPeer(const RoutedRequest& aRequest)
{
  TimePoint now = this->clock.Now();
  std::optional<PeerInfo> peer = this->membership->Peers().FindMostFreeSlots(aRequest.service, now);
  if (!peer || aRequest.deadline <= now) {
    return std::nullopt;
  }
  ForwardedRequest forwarded;
  forwarded.service = aRequest.service;
  forwarded.team = aRequest.team;
  forwarded.weight = static_cast<std::uint32_t>(aRequest.weight);
  forwarded.method = aRequest.request.method;
  forwarded.target = aRequest.request.target;
  forwarded.headers = aRequest.request.headers;
  forwarded.body = aRequest.request.body;
  forwarded.isRepeatable = aRequest.isRepeatable;
  forwarded.timeout = aRequest.deadline - now;
  auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(forwarded.timeout);
  PeerResult<ForwardedReply> reply =
    this->channels.GetOrCreate(peer->rpc)->ForwardRequest(forwarded, timeout);
  RoutedResponse response;
  if (reply) {
    if (reply->outcome == "not_run") {
      return std::nullopt;
    }
    response.status = reply->status;
    response.headers = reply->headers;
    response.body = reply->body;
    response.outcome = OutcomeFrom(reply->outcome);
    response.code = reply->code;
    return response;
  }
  if (reply.Error() != Errc::OutcomeUnknown) {
    return std::nullopt;
  }
  response.status = 504;
  response.code = "peer_no_answer";
  response.outcome = RequestOutcome::Unknown;
  return response;
}

std::vector<FreeSlots> Daemon::Impl::CountFreeSlots() const
{
  std::vector<FreeSlots> free;
  for (const auto& [name, service] : this->config.View()->Document().services) {
    UpstreamCounts counts = this->router->Counts(name);
    std::size_t waiting = this->router->CountWaiting(name);
    std::uint32_t slots = counts.slots > counts.slotsInUse ? counts.slots - counts.slotsInUse : 0;
    free.push_back({ name, waiting > 0 || !this->membership->CanUseSeat() ? 0 : slots });
  }
  return free;
}

EditOutcome Daemon::Impl::ApplyEdit(const EditRequest& aRequest)
{
  ConfigEditor::Options options;
  options.timeout = this->settings.storeTimeout;
  ConfigEditor editor(this->store, options);
  EditOutcome outcome = editor.Apply(aRequest);
  LogLine(LogLevel::Info, "configuration_edit")
    .Add("actor", aRequest.actor)
    .Add("edit_id", aRequest.editId)
    .Add("edits", aRequest.edits.size())
    .Add("version", outcome.version)
    .Add("result", outcome.error ? outcome.error.message() : "accepted");
  return outcome;
}

std::string Daemon::Impl::Status()
{
  Call call;
  call.kind = CallKind::Query;
  call.path = "/v1/admin/region";
  call.timeout = std::chrono::seconds(2);
  CallReply region = this->CallLeader("", call);
  OwnStatus own{
    this->settings.instanceId,           this->membership->Seat(), this->settings.region,
    this->settings.failureDomain,        this->config.Version(),   this->leader->IsLeading(),
    this->membership->IsStoreReachable()
  };
  return FleetStatusJson(own, this->membership->Peers().All(), this->clock.Now(), region);
}

std::string Daemon::Impl::Audit()
{
  return AuditJson(this->config.View()->Document());
}

Result<HeartbeatReply> Daemon::Impl::OnHeartbeat(const Heartbeat& aHeartbeat)
{
  if (!this->membership) {
    return Errc::NotPermitted;
  }
  return this->membership->OnHeartbeat(aHeartbeat);
}

Result<ConfigReply> Daemon::Impl::OnFetchConfig()
{
  Ref<const ConfigView> view = this->config.View();
  return ConfigReply{ view->Document().version, view->Encoded() };
}

Result<SuccessorAck> Daemon::Impl::OnSuccessor(const SuccessorNotice& aNotice)
{
  if (!this->membership) {
    return Errc::NotPermitted;
  }
  return this->membership->OnSuccessor(aNotice);
}

Result<CallReply> Daemon::Impl::OnCall(const Call& aCall)
{
  if (!this->leader->IsLeading()) {
    return MakeProblemReply(NoLeaderProblem("this instance does not lead the region"));
  }
  return this->leader->Handle(aCall);
}

Result<ForwardedReply> Daemon::Impl::OnForwardedRequest(const ForwardedRequest& aRequest)
{
  RoutedRequest request;
  request.service = aRequest.service;
  request.team = aRequest.team;
  request.weight = aRequest.weight;
  request.request = { aRequest.method, aRequest.target, aRequest.headers, aRequest.body };
  request.isRepeatable = aRequest.isRepeatable;
  request.deadline = this->clock.Now() + aRequest.timeout;
  request.isForwarded = true;
  RoutedResponse response = this->router->Route(request);
  return ForwardedReply{ static_cast<std::uint16_t>(response.status),
                         response.headers,
                         response.body,
                         ToString(response.outcome),
                         response.code };
}

void Daemon::Impl::Stop()
{
  if (this->isStopped || !this->membership) {
    return;
  }
  this->isStopped = true;
  LogLine(LogLevel::Info, "stopping").Add("instance", this->settings.instanceId);
  this->isReady = false;
  this->leader->StepDown();
  this->membership->BeginStop();
  std::this_thread::sleep_for(kDeregistrationDelay);
  bool isClean = this->router->Drain(kMaxRequestTimeout + std::chrono::seconds(2));
  this->callerApi->Http().Stop();
  this->operatorApi->Http().Stop();
  {
    std::lock_guard lock(this->directoryMutex);
    this->isStopping = true;
  }
  this->directoryWakeUp.notify_all();
  if (this->directoryThread.joinable()) {
    this->directoryThread.join();
  }
  this->configFollower->Stop();
  this->membership->Stop(isClean);
  this->peerServer.Stop(kPeerServerStopTimeout);
  LogLine(LogLevel::Info, "stopped")
    .Add("instance", this->settings.instanceId)
    .Add("clean", isClean);
}

Daemon::Daemon(DaemonSettings aSettings, DaemonSecrets aSecrets)
  : impl(std::make_unique<Impl>(std::move(aSettings), std::move(aSecrets)))
{
}

Daemon::~Daemon() = default;

bool Daemon::Start(Findings& aFindings)
{
  return this->impl->Start(aFindings);
}

void Daemon::Stop()
{
  this->impl->Stop();
}

void Daemon::ReloadCertificate()
{
  TlsFiles files{ this->impl->settings.tlsCertificateFile, this->impl->settings.tlsKeyFile };
  if (!files.IsSet()) {
    return;
  }
  bool isLoaded = this->impl->callerApi->Http().ReloadCertificate(files) &&
                  this->impl->operatorApi->Http().ReloadCertificate(files);
  LogLine(isLoaded ? LogLevel::Info : LogLevel::Error, "certificate_reload")
    .Add("loaded", isLoaded);
}

} // namespace daisydrift
