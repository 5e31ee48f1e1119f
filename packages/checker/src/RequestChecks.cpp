#include "RequestChecks.h"

namespace daisydrift {

namespace {

/// A caller may see its connection end up to this long before the crash is recorded.
constexpr Duration kCrashRecordingLag = std::chrono::seconds(5);

} // namespace

RequestChecks::RequestChecks(ReportBuilder& aBuilder)
  : builder(aBuilder)
{
}

void RequestChecks::ProcessEvent(const HistoryEvent& aEvent)
{
  if (aEvent.kind == "end") {
    this->endLine = aEvent.line;
  } else if (aEvent.Find("upstream")) {
    this->OnUpstreamEvent(aEvent);
  } else if (aEvent.Find("request")) {
    this->OnRequestEvent(aEvent);
  } else if (aEvent.Find("instance")) {
    this->OnInstanceEvent(aEvent);
  }
}

void RequestChecks::OnUpstreamEvent(const HistoryEvent& aEvent)
{
  const std::string& name = aEvent.Text("upstream");
  const std::string& kind = aEvent.kind;
  if (kind == "upstream") {
    Upstream& upstream = this->upstreams[name];
    upstream.slots = aEvent.Number("slots");
    upstream.connections = aEvent.Number("connections");
    upstream.line = aEvent.line;
    return;
  }
  auto found = this->upstreams.find(name);
  if (found == this->upstreams.end()) {
    this->builder.AddContradiction(
      aEvent, "unknown_upstream", "no capacity was recorded for upstream " + name);
    return;
  }
  Upstream& upstream = found->second;
  if (kind == "upstream_start") {
    this->OnStart(aEvent, upstream);
  } else if (kind == "upstream_end") {
    this->OnEnd(aEvent, upstream);
  } else if (kind == "connection_open") {
    upstream.openConnections.insert(aEvent.Text("connection"));
    auto count = static_cast<std::int64_t>(upstream.openConnections.size());
    this->builder.RecordCheck(1,
                              count <= upstream.connections,
                              { upstream.line, aEvent.line },
                              "upstream " + name + " has more connections than it allows");
  } else if (kind == "connection_close") {
    if (upstream.openConnections.erase(aEvent.Text("connection")) == 0) {
      this->builder.AddContradiction(aEvent, "not_open", "the connection is not open");
    }
  } else if (kind == "upstream_leaving") {
    if (!upstream.isLeaving) {
      upstream.leavingAt = aEvent.at;
      upstream.leavingLine = aEvent.line;
    }
    upstream.isLeaving = true;
  } else if (kind == "upstream_returned") {
    upstream.isLeaving = false;
  }
}

void RequestChecks::OnStart(const HistoryEvent& aEvent, Upstream& aUpstream)
{
  const std::string& name = aEvent.Text("upstream");
  const std::string& request = aEvent.Text("request");
  ++aUpstream.running[request];
  ++aUpstream.runningCount;
  this->builder.RecordCheck(1,
                            aUpstream.runningCount <= aUpstream.slots,
                            { aUpstream.line, aEvent.line },
                            "upstream " + name + " runs more requests than it has slots");
  bool isLate = aUpstream.isLeaving &&
                aEvent.at > aUpstream.leavingAt + this->builder.tolerances.leavingUpstream;
  this->builder.RecordCheck(9,
                            !isLate,
                            { aUpstream.leavingLine, aEvent.line },
                            "upstream " + name + " receives new work although it is leaving");
  this->requests[request].startLines.push_back(aEvent.line);
}

void RequestChecks::OnEnd(const HistoryEvent& aEvent, Upstream& aUpstream)
{
  const std::string& request = aEvent.Text("request");
  auto running = aUpstream.running.find(request);
  if (running == aUpstream.running.end()) {
    this->builder.AddContradiction(
      aEvent, "not_running", "request " + request + " does not run at the upstream");
    return;
  }
  --aUpstream.runningCount;
  if (--running->second == 0) {
    aUpstream.running.erase(running);
  }
  if (aEvent.Find("answer")) {
    this->requests[request].upstreamTokens.insert(aEvent.Text("answer"));
  }
}

void RequestChecks::OnRequestEvent(const HistoryEvent& aEvent)
{
  Request& request = this->requests[aEvent.Text("request")];
  if (aEvent.kind == "request_sent") {
    if (request.sentLine != 0) {
      this->builder.AddContradiction(aEvent, "duplicate_request", "the request was already sent");
      return;
    }
    request.sentLine = aEvent.line;
    request.instance = aEvent.Text("instance");
    request.isRepeatable = aEvent.Flag("repeatable");
  } else if (aEvent.kind == "request_answered") {
    request.responses.push_back(
      { aEvent.line, aEvent.Text("outcome"), aEvent.Text("answer"), aEvent.Flag("complete") });
  } else if (aEvent.kind == "request_broken") {
    request.brokenConnections.push_back({ aEvent.line, aEvent.at, aEvent.Text("instance") });
  }
}

void RequestChecks::OnInstanceEvent(const HistoryEvent& aEvent)
{
  Instance& instance = this->instances[aEvent.Text("instance")];
  if (aEvent.kind == "instance_stop_planned" && !instance.isStopPlanned) {
    instance.isStopPlanned = true;
    instance.stopPlannedAt = aEvent.at;
    instance.stopPlannedLine = aEvent.line;
  } else if (aEvent.kind == "instance_crashed") {
    instance.hasCrashed = true;
    instance.crashedAt = aEvent.at;
  }
}

void RequestChecks::Finish()
{
  for (const auto& [name, request] : this->requests) {
    if (request.sentLine == 0) {
      unsigned line = !request.startLines.empty()          ? request.startLines.front()
                      : !request.responses.empty()         ? request.responses.front().line
                      : !request.brokenConnections.empty() ? request.brokenConnections.front().line
                                                           : 0;
      this->builder.report.findings.Add({ this->builder.source, line, 1 },
                                        "unknown_request",
                                        "no request_sent event for request " + name);
      continue;
    }
    this->CheckResponses(name, request);
    this->CheckBrokenConnections(name, request);
    this->CheckRuns(name, request);
  }
}

void RequestChecks::CheckResponses(const std::string& aName, const Request& aRequest)
{
  for (std::size_t i = 0; i < aRequest.responses.size(); ++i) {
    const Response& response = aRequest.responses[i];
    std::vector<unsigned> lines = { aRequest.sentLine, response.line };
    this->builder.RecordCheck(6, i == 0, lines, "request " + aName + " has more than one response");
    this->builder.RecordCheck(
      6, response.isComplete, lines, "the response to request " + aName + " is not complete");
    bool isOwnResponse =
      response.token.empty() || aRequest.upstreamTokens.count(response.token) > 0;
    this->builder.RecordCheck(
      6, isOwnResponse, lines, "request " + aName + " got a response that no upstream sent for it");
  }
  bool isUnanswered = aRequest.responses.empty() && aRequest.brokenConnections.empty();
  if (this->endLine != 0) {
    this->builder.RecordCheck(6,
                              !isUnanswered,
                              { aRequest.sentLine, this->endLine },
                              "request " + aName + " never got a response");
  }
}

void RequestChecks::CheckBrokenConnections(const std::string& aName, const Request& aRequest)
{
  for (const BrokenConnection& broken : aRequest.brokenConnections) {
    auto found =
      this->instances.find(broken.instance.empty() ? aRequest.instance : broken.instance);
    Instance instance = found == this->instances.end() ? Instance() : found->second;
    bool isCausedByCrash =
      instance.hasCrashed && broken.at + kCrashRecordingLag >= instance.crashedAt;
    bool isCausedByStop =
      !isCausedByCrash && instance.isStopPlanned && instance.stopPlannedAt <= broken.at;
    this->builder.RecordCheck(10,
                              !isCausedByStop,
                              { instance.stopPlannedLine, broken.line },
                              "a planned stop interrupted request " + aName);
    this->builder.RecordCheck(6,
                              isCausedByCrash || isCausedByStop,
                              { aRequest.sentLine, broken.line },
                              "request " + aName + " got no response although no instance crashed");
  }
  auto sentTo = this->instances.find(aRequest.instance);
  if (aRequest.responses.size() == 1 && sentTo != this->instances.end() &&
      sentTo->second.isStopPlanned) {
    // The request got its response from an instance with a planned stop, so the stop did not
    // interrupt it.
    this->builder.RecordCheck(10, true, {}, "");
  }
}

void RequestChecks::CheckRuns(const std::string& aName, const Request& aRequest)
{
  for (const Response& response : aRequest.responses) {
    if (response.outcome == "not_run") {
      bool neverRan = aRequest.startLines.empty();
      this->builder.RecordCheck(7,
                                neverRan,
                                { neverRan ? 0 : aRequest.startLines.front(), response.line },
                                "request " + aName + " was refused as not run, but ran");
    }
  }
  if (!aRequest.isRepeatable) {
    this->builder.RecordCheck(8,
                              aRequest.startLines.size() <= 1,
                              aRequest.startLines,
                              "request " + aName + " is not repeatable and ran more than once");
  }
}

} // namespace daisydrift
