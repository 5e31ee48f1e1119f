#include "RequestChecks.h"

namespace daisydrift {

namespace {

/// A caller may see its connection end this long before the crash is recorded.
constexpr Duration kCrashRecordingLag = std::chrono::seconds(5);

} // namespace

RequestChecks::RequestChecks(Verdicts& aVerdicts)
  : verdicts(aVerdicts)
{
}

void RequestChecks::Take(const HistoryEvent& aEvent)
{
  if (aEvent.kind == "end") {
    this->endLine = aEvent.line;
  } else if (aEvent.Find("upstream")) {
    this->TakeUpstream(aEvent);
  } else if (aEvent.Find("request")) {
    this->TakeRequest(aEvent);
  } else if (aEvent.Find("instance")) {
    this->TakeInstance(aEvent);
  }
}

void RequestChecks::TakeUpstream(const HistoryEvent& aEvent)
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
    this->verdicts.Contradiction(
      aEvent, "unknown_upstream", "no capacity was recorded for upstream " + name);
    return;
  }
  Upstream& upstream = found->second;
  if (kind == "upstream_start") {
    this->OnStart(aEvent, upstream);
  } else if (kind == "upstream_end") {
    this->OnEnd(aEvent, upstream);
  } else if (kind == "connection_open") {
    upstream.connected.insert(aEvent.Text("connection"));
    auto count = static_cast<std::int64_t>(upstream.connected.size());
    this->verdicts.Check(1,
                         count <= upstream.connections,
                         { upstream.line, aEvent.line },
                         "upstream " + name + " has more connections than it allows");
  } else if (kind == "connection_close") {
    if (upstream.connected.erase(aEvent.Text("connection")) == 0) {
      this->verdicts.Contradiction(aEvent, "not_open", "the connection is not open");
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
  this->verdicts.Check(1,
                       aUpstream.runningCount <= aUpstream.slots,
                       { aUpstream.line, aEvent.line },
                       "upstream " + name + " runs more requests than it has slots");
  bool isLate = aUpstream.isLeaving &&
                aEvent.at > aUpstream.leavingAt + this->verdicts.tolerances.leavingUpstream;
  this->verdicts.Check(9,
                       !isLate,
                       { aUpstream.leavingLine, aEvent.line },
                       "upstream " + name + " gets new work although it is leaving");
  this->requests[request].starts.push_back(aEvent.line);
}

void RequestChecks::OnEnd(const HistoryEvent& aEvent, Upstream& aUpstream)
{
  const std::string& request = aEvent.Text("request");
  auto running = aUpstream.running.find(request);
  if (running == aUpstream.running.end()) {
    this->verdicts.Contradiction(
      aEvent, "not_running", "request " + request + " does not run at the upstream");
    return;
  }
  --aUpstream.runningCount;
  if (--running->second == 0) {
    aUpstream.running.erase(running);
  }
  if (aEvent.Find("answer")) {
    this->requests[request].given.insert(aEvent.Text("answer"));
  }
}

void RequestChecks::TakeRequest(const HistoryEvent& aEvent)
{
  Request& request = this->requests[aEvent.Text("request")];
  if (aEvent.kind == "request_sent") {
    if (request.sentLine != 0) {
      this->verdicts.Contradiction(aEvent, "duplicate_request", "the request was sent before");
      return;
    }
    request.sentLine = aEvent.line;
    request.instance = aEvent.Text("instance");
    request.isRepeatable = aEvent.Flag("repeatable");
  } else if (aEvent.kind == "request_answered") {
    request.answers.push_back(
      { aEvent.line, aEvent.Text("outcome"), aEvent.Text("answer"), aEvent.Flag("complete") });
  } else if (aEvent.kind == "request_broken") {
    request.broken.push_back({ aEvent.line, aEvent.at, aEvent.Text("instance") });
  }
}

void RequestChecks::TakeInstance(const HistoryEvent& aEvent)
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
      unsigned line = !request.starts.empty()    ? request.starts.front()
                      : !request.answers.empty() ? request.answers.front().line
                      : !request.broken.empty()  ? request.broken.front().line
                                                 : 0;
      this->verdicts.report.findings.Add({ this->verdicts.source, line, 1 },
                                         "unknown_request",
                                         "no caller was seen to send request " + name);
      continue;
    }
    this->CheckAnswers(name, request);
    this->CheckBroken(name, request);
    this->CheckRuns(name, request);
  }
}

void RequestChecks::CheckAnswers(const std::string& aName, const Request& aRequest)
{
  for (std::size_t i = 0; i < aRequest.answers.size(); ++i) {
    const Answer& answer = aRequest.answers[i];
    std::vector<unsigned> lines = { aRequest.sentLine, answer.line };
    this->verdicts.Check(6, i == 0, lines, "request " + aName + " has more than one response");
    this->verdicts.Check(
      6, answer.isComplete, lines, "the response to request " + aName + " is not complete");
    bool isOwn = answer.token.empty() || aRequest.given.count(answer.token) > 0;
    this->verdicts.Check(
      6, isOwn, lines, "request " + aName + " got an answer that no upstream gave to it");
  }
  bool isOpen = aRequest.answers.empty() && aRequest.broken.empty();
  if (this->endLine != 0) {
    this->verdicts.Check(6,
                         !isOpen,
                         { aRequest.sentLine, this->endLine },
                         "request " + aName + " never got a response");
  }
}

void RequestChecks::CheckBroken(const std::string& aName, const Request& aRequest)
{
  for (const Broken& broken : aRequest.broken) {
    auto found =
      this->instances.find(broken.instance.empty() ? aRequest.instance : broken.instance);
    Instance instance = found == this->instances.end() ? Instance() : found->second;
    bool isByCrash = instance.hasCrashed && broken.at + kCrashRecordingLag >= instance.crashedAt;
    bool isByStop = !isByCrash && instance.isStopPlanned && instance.stopPlannedAt <= broken.at;
    this->verdicts.Check(10,
                         !isByStop,
                         { instance.stopPlannedLine, broken.line },
                         "a planned stop interrupts request " + aName);
    this->verdicts.Check(6,
                         isByCrash || isByStop,
                         { aRequest.sentLine, broken.line },
                         "request " + aName + " got no response although no instance crashed");
  }
  auto sentTo = this->instances.find(aRequest.instance);
  if (aRequest.answers.size() == 1 && sentTo != this->instances.end() &&
      sentTo->second.isStopPlanned) {
    // Answered by an instance with a planned stop: the stop did not interrupt it.
    this->verdicts.Check(10, true, {}, "");
  }
}

void RequestChecks::CheckRuns(const std::string& aName, const Request& aRequest)
{
  for (const Answer& answer : aRequest.answers) {
    if (answer.outcome == "not_run") {
      bool isTrue = aRequest.starts.empty();
      this->verdicts.Check(7,
                           isTrue,
                           { isTrue ? 0 : aRequest.starts.front(), answer.line },
                           "request " + aName + " was refused as not run, but ran");
    }
  }
  if (!aRequest.isRepeatable) {
    this->verdicts.Check(8,
                         aRequest.starts.size() <= 1,
                         aRequest.starts,
                         "request " + aName + " is not repeatable and ran more than once");
  }
}

} // namespace daisydrift
