#pragma once
// HTTP interface for callers and operators.

#include "ConfigView.h"
#include "HttpServer.h"

#include "daisydrift/routing.h"
#include "daisydrift/rpc.h"

#include <functional>
#include <string>

namespace daisydrift {

/// Longest deadline of a request and the one used when the caller names none.
constexpr std::chrono::seconds kLongestDeadline{ 30 };
constexpr std::chrono::seconds kDefaultDeadline{ 10 };

/// What the interface needs from the daemon. All hooks are called from many threads.
struct ApiHooks
{
  /// The newest configuration known; never null.
  std::function<Ref<const ConfigView>()> config;
  /// False when the configuration is too old to accept keyed work.
  std::function<bool()> isConfigFresh;
  /// Passes a call to the leader of a region; an empty region means the own one.
  std::function<CallReply(const std::string& aRegion, const Call& aCall)> callLeader;
  /// Routes an interactive request.
  std::function<RoutedAnswer(const RoutedRequest& aRequest)> route;
  /// Applies an edit of the configuration.
  std::function<EditOutcome(const EditRequest& aRequest)> edit;
  /// JSON of the whole fleet for operators.
  std::function<std::string()> status;
  /// JSON of the audit trail.
  std::function<std::string()> audit;
  /// Brings the metrics up to date before they are printed.
  std::function<void()> refreshMetrics;
  /// True when new work is welcome.
  std::function<bool()> isReady;
};

/// Which calls a port accepts.
enum class ApiPort
{
  /// Calls of team members only.
  Callers,
  /// Calls of operators and of team members.
  Operators
};

/// Settings of one port.
struct ApiOptions
{
  ApiPort port = ApiPort::Callers;
  HttpLimits limits;
  TlsFiles tls;
  /// SHA-256 of the operators' key; empty: no operator is known.
  std::string operatorKeyDigest;
};

/// Serves one port.
class ApiServer
{
public:
  ApiServer(ApiOptions aOptions, ApiHooks aHooks, const Clock& aClock, Metrics& aMetrics);

  HttpServer& Http() { return this->http; }

private:
  /// Who makes a call.
  struct Identity
  {
    bool isAllowed = false;
    bool isOperator = false;
    TeamName team;
    Problem refusal;
  };

  void RegisterProbes();
  void RegisterJobs();
  void RegisterRequests();
  void RegisterAdmin();
  Identity Identify(const httplib::Request& aRequest) const;
  /// The caller's identity, or an answer and nothing when it is refused.
  std::optional<Identity> Admit(const httplib::Request& aRequest, httplib::Response& aResponse);
  bool AdmitOperator(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Submit(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Query(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Watch(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Cancel(const httplib::Request& aRequest, httplib::Response& aResponse, std::string aBody);
  void PassThrough(const httplib::Request& aRequest, httplib::Response& aResponse);
  void EditConfig(const httplib::Request& aRequest, httplib::Response& aResponse);
  void IssueKeyFor(const httplib::Request& aRequest, httplib::Response& aResponse);
  void RevokeKeyOf(const httplib::Request& aRequest, httplib::Response& aResponse);
  void ChangeDomain(const httplib::Request& aRequest, httplib::Response& aResponse);
  /// Applies one edit made on the newest version known and answers with the outcome.
  void ApplyEdit(Edit aEdit, const httplib::Request& aRequest, httplib::Response& aResponse);
  void SendEditOutcome(const EditOutcome& aOutcome, httplib::Response& aResponse);

  ApiOptions options;
  ApiHooks hooks;
  const Clock& clock;
  Metrics& metrics;
  HttpServer http;
};

} // namespace daisydrift
