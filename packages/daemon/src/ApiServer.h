#pragma once
// HTTP server for callers and operators.

#include "AdminApi.h"
#include "ApiHooks.h"
#include "HttpServer.h"

#include <functional>
#include <string>

namespace daisydrift {

/// Kind of a port: whose requests it accepts.
enum class ApiPort
{
  /// Requests of team members only.
  Callers,
  /// Requests of operators and of team members.
  Operators
};

/// Settings of one port.
struct ApiOptions
{
  ApiPort port = ApiPort::Callers;
  HttpLimits limits;
  TlsFiles tls;
  /// SHA-256 of the operators' key in lower-case hexadecimal; when empty, no request counts as an
  /// operator's.
  std::string operatorKeyDigest;
};

/// Serves the HTTP interface on one port: authenticates requests and dispatches them to the hooks.
class ApiServer
{
public:
  ApiServer(ApiOptions aOptions, ApiHooks aHooks, const Clock& aClock, Metrics& aMetrics);

  HttpServer& Http() { return this->http; }

private:
  /// Result of identifying the sender of a request.
  struct Identity
  {
    bool isAllowed = false;
    bool isOperator = false;
    TeamName team;
    /// Response to send when not allowed.
    Problem refusal;
  };

  void RegisterProbes();
  void RegisterJobs();
  void RegisterRequests();
  Identity Identify(const httplib::Request& aRequest) const;
  /// Returns the caller's identity; when the request is refused, sends an error response and
  /// returns nothing.
  std::optional<Identity> Authenticate(const httplib::Request& aRequest,
                                       httplib::Response& aResponse);
  /// Returns true for a request with the operators' key; otherwise sends an error response and
  /// returns false.
  bool AuthenticateOperator(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Submit(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Query(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Watch(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Cancel(const httplib::Request& aRequest, httplib::Response& aResponse, std::string aBody);
  void RouteRequest(const httplib::Request& aRequest, httplib::Response& aResponse);

  ApiOptions options;
  ApiHooks hooks;
  const Clock& clock;
  Metrics& metrics;
  HttpServer http;
  std::unique_ptr<AdminApi> admin;
};

} // namespace daisydrift
