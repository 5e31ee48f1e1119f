#pragma once
// Checks of requests and upstreams: I1 and I6 to I10. Internal to the package.

#include "ReportBuilder.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace daisydrift {

/// Tracks requests, upstreams and planned stops through the history.
class RequestChecks
{
public:
  explicit RequestChecks(ReportBuilder& aBuilder);

  /// Processes the next event; events of other kinds are ignored.
  void ProcessEvent(const HistoryEvent& aEvent);
  /// Runs the checks that need the whole history.
  void Finish();

private:
  struct Response
  {
    unsigned line = 0;
    std::string outcome;
    /// Unique token of the upstream's response; empty when not recorded.
    std::string token;
    bool isComplete = true;
  };
  struct BrokenConnection
  {
    unsigned line = 0;
    Duration at{ 0 };
    std::string instance;
  };
  struct Request
  {
    /// Line of request_sent; 0 when there is none.
    unsigned sentLine = 0;
    std::string instance;
    bool isRepeatable = false;
    std::vector<unsigned> startLines;
    /// Tokens of the responses that upstreams sent for this request.
    std::set<std::string> upstreamTokens;
    std::vector<Response> responses;
    std::vector<BrokenConnection> brokenConnections;
  };
  struct Upstream
  {
    std::int64_t slots = 0;
    std::int64_t connections = 0;
    unsigned line = 0;
    /// Number of concurrent runs of each request, by request.
    std::map<std::string, unsigned> running;
    std::int64_t runningCount = 0;
    std::set<std::string> openConnections;
    bool isLeaving = false;
    Duration leavingAt{ 0 };
    unsigned leavingLine = 0;
  };
  struct Instance
  {
    bool isStopPlanned = false;
    Duration stopPlannedAt{ 0 };
    unsigned stopPlannedLine = 0;
    bool hasCrashed = false;
    Duration crashedAt{ 0 };
  };

  void OnUpstreamEvent(const HistoryEvent& aEvent);
  void OnRequestEvent(const HistoryEvent& aEvent);
  void OnInstanceEvent(const HistoryEvent& aEvent);
  void OnStart(const HistoryEvent& aEvent, Upstream& aUpstream);
  void OnEnd(const HistoryEvent& aEvent, Upstream& aUpstream);
  void CheckResponses(const std::string& aName, const Request& aRequest);
  void CheckBrokenConnections(const std::string& aName, const Request& aRequest);
  void CheckRuns(const std::string& aName, const Request& aRequest);

  ReportBuilder& builder;
  std::map<std::string, Upstream> upstreams;
  std::map<std::string, Request> requests;
  std::map<std::string, Instance> instances;
  /// Line of the event `end`; 0 when there is none.
  unsigned endLine = 0;
};

} // namespace daisydrift
