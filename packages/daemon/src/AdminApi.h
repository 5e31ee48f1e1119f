#pragma once
// HTTP interface for operators.

#include "ApiHooks.h"
#include "HttpServer.h"

#include <functional>

namespace daisydrift {

/// Registers the paths below /v1/admin on a server.
class AdminApi
{
public:
  /// Answers a request and returns false when it is not an operator's.
  using Guard = std::function<bool(const httplib::Request& aRequest, httplib::Response& aResponse)>;

  /// The references must outlive the server.
  AdminApi(HttpServer& aServer, const ApiHooks& aHooks, Guard aGuard);

private:
  using Handler = void (AdminApi::*)(const httplib::Request& aRequest,
                                     httplib::Response& aResponse);

  void RegisterReads(httplib::Server& aServer);
  void RegisterEdits(httplib::Server& aServer);
  void EditConfig(const httplib::Request& aRequest, httplib::Response& aResponse);
  void IssueKeyFor(const httplib::Request& aRequest, httplib::Response& aResponse);
  void RevokeKeyOf(const httplib::Request& aRequest, httplib::Response& aResponse);
  void ChangeDomain(const httplib::Request& aRequest, httplib::Response& aResponse);
  /// Applies one edit and answers with the outcome.
  void ApplyEdit(Edit aEdit, const httplib::Request& aRequest, httplib::Response& aResponse);
  void SendEditOutcome(const EditOutcome& aOutcome, httplib::Response& aResponse);
  std::function<void(const httplib::Request&, httplib::Response&)> Guarded(
    std::function<void(const httplib::Request&, httplib::Response&)> aHandler);

  const ApiHooks& hooks;
  Guard guard;
};

/// Passes a reply of the leader on to an HTTP caller.
void SendReply(const CallReply& aReply, httplib::Response& aResponse);

} // namespace daisydrift
