#pragma once
// HTTP endpoints for operators.

#include "ApiHooks.h"
#include "HttpServer.h"

#include <functional>

namespace daisydrift {

/// Registers and handles the paths below /v1/admin on a server.
class AdminApi
{
public:
  /// Returns true for a request of an operator; otherwise sends an error response and returns
  /// false.
  using OperatorCheck =
    std::function<bool(const httplib::Request& aRequest, httplib::Response& aResponse)>;

  /// aHooks must outlive the server.
  AdminApi(HttpServer& aServer, const ApiHooks& aHooks, OperatorCheck aOperatorCheck);

private:
  using Handler = void (AdminApi::*)(const httplib::Request& aRequest,
                                     httplib::Response& aResponse);

  void RegisterReads(httplib::Server& aServer);
  void RegisterEdits(httplib::Server& aServer);
  void EditConfig(const httplib::Request& aRequest, httplib::Response& aResponse);
  void IssueTeamKey(const httplib::Request& aRequest, httplib::Response& aResponse);
  void RevokeTeamKey(const httplib::Request& aRequest, httplib::Response& aResponse);
  void DrainOrReturnDomain(const httplib::Request& aRequest, httplib::Response& aResponse);
  /// Applies one edit and responds with its outcome.
  void ApplyEdit(Edit aEdit, const httplib::Request& aRequest, httplib::Response& aResponse);
  void SendEditOutcome(const EditOutcome& aOutcome, httplib::Response& aResponse);
  /// Wraps a handler so that it runs for requests of operators only.
  std::function<void(const httplib::Request&, httplib::Response&)> RequireOperator(
    std::function<void(const httplib::Request&, httplib::Response&)> aHandler);

  const ApiHooks& hooks;
  OperatorCheck operatorCheck;
};

/// Sends a reply of the leader as the HTTP response.
void SendReply(const CallReply& aReply, httplib::Response& aResponse);

} // namespace daisydrift
