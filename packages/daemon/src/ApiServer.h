#pragma once
// HTTP interface for callers and operators.

#include "AdminApi.h"
#include "ApiHooks.h"
#include "HttpServer.h"

#include <functional>
#include <string>

namespace daisydrift {

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
  Identity Identify(const httplib::Request& aRequest) const;
  /// The caller's identity, or an answer and nothing when it is refused.
  std::optional<Identity> Admit(const httplib::Request& aRequest, httplib::Response& aResponse);
  bool AdmitOperator(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Submit(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Query(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Watch(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Cancel(const httplib::Request& aRequest, httplib::Response& aResponse, std::string aBody);
  void PassThrough(const httplib::Request& aRequest, httplib::Response& aResponse);

  ApiOptions options;
  ApiHooks hooks;
  const Clock& clock;
  Metrics& metrics;
  HttpServer http;
  std::unique_ptr<AdminApi> admin;
};

} // namespace daisydrift
