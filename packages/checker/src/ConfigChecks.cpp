#include "ConfigChecks.h"

namespace daisydrift {

ConfigChecks::ConfigChecks(ReportBuilder& aBuilder)
  : builder(aBuilder)
{
}

void ConfigChecks::ProcessEvent(const HistoryEvent& aEvent)
{
  const std::string& kind = aEvent.kind;
  if (kind == "key_issued" || kind == "key_revoked") {
    this->OnKey(aEvent);
  } else if (kind == "queue") {
    this->openQueues[aEvent.Text("queue")] = aEvent.Flag("open");
  } else if (kind == "submission") {
    this->OnSubmission(aEvent);
  } else if (kind == "request_sent" || kind == "upstream_start") {
    this->OnRequest(aEvent);
  } else if (kind == "edit_accepted") {
    this->OnEdit(aEvent);
  } else if (kind == "config_in_force") {
    this->OnConfigInForce(aEvent);
  } else if (kind.rfind("instance_", 0) == 0) {
    this->OnInstance(aEvent);
  }
}

void ConfigChecks::OnKey(const HistoryEvent& aEvent)
{
  Key& key = this->keys[aEvent.Text("key")];
  if (aEvent.kind == "key_issued") {
    if (key.issuedLine != 0) {
      this->builder.AddContradiction(aEvent, "duplicate_key_issued", "the key was already issued");
      return;
    }
    key.team = aEvent.Text("team");
    key.issuedLine = aEvent.line;
  } else if (!key.isRevoked) {
    key.isRevoked = true;
    key.revokedAt = aEvent.at;
    key.revokedLine = aEvent.line;
  }
}

std::string ConfigChecks::FindKeyProblem(const HistoryEvent& aEvent,
                                         std::vector<unsigned>& aLines) const
{
  auto queue = this->openQueues.find(aEvent.Text("queue"));
  if (queue != this->openQueues.end() && queue->second) {
    return "";
  }
  aLines.push_back(aEvent.line);
  auto found = this->keys.find(aEvent.Text("key"));
  if (found == this->keys.end() || found->second.issuedLine == 0) {
    return "with a key that was not issued";
  }
  const Key& key = found->second;
  if (key.team != aEvent.Text("team")) {
    aLines.insert(aLines.begin(), key.issuedLine);
    return "for team " + aEvent.Text("team") + " with a key of team " + key.team;
  }
  if (key.isRevoked && aEvent.at > key.revokedAt + this->builder.tolerances.revokedKey) {
    aLines.insert(aLines.begin(), key.revokedLine);
    return "with a revoked key";
  }
  return "";
}

void ConfigChecks::OnSubmission(const HistoryEvent& aEvent)
{
  if (aEvent.Text("verdict") != "accepted") {
    return;
  }
  std::vector<unsigned> lines;
  std::string problem = this->FindKeyProblem(aEvent, lines);
  this->builder.RecordCheck(3,
                            problem.empty(),
                            lines,
                            "submission " + aEvent.Text("submission") + " is accepted " + problem);
}

void ConfigChecks::OnRequest(const HistoryEvent& aEvent)
{
  const std::string& name = aEvent.Text("request");
  if (aEvent.kind == "request_sent") {
    if (aEvent.Find("key") || aEvent.Find("team") || aEvent.Find("queue")) {
      SentRequest& request = this->sentRequests[name];
      request.problem = this->FindKeyProblem(aEvent, request.lines);
    }
    return;
  }
  auto found = this->sentRequests.find(name);
  if (found == this->sentRequests.end()) {
    return;
  }
  std::vector<unsigned> lines = found->second.lines;
  lines.push_back(aEvent.line);
  this->builder.RecordCheck(3,
                            found->second.problem.empty(),
                            lines,
                            "request " + name + " runs although it was sent " +
                              found->second.problem);
}

void ConfigChecks::CheckDigest(const HistoryEvent& aEvent)
{
  if (!aEvent.Find("digest")) {
    return;
  }
  auto [known, isFirst] = this->digests.try_emplace(aEvent.Number("version"),
                                                    Digest{ aEvent.Text("digest"), aEvent.line });
  this->builder.RecordCheck(11,
                            isFirst || known->second.value == aEvent.Text("digest"),
                            { known->second.line, aEvent.line },
                            "version " + aEvent.Text("version") + " has two different contents");
}

void ConfigChecks::OnEdit(const HistoryEvent& aEvent)
{
  Edit edit{ aEvent.at, aEvent.Number("version"), aEvent.line };
  unsigned previousLine = this->edits.empty() ? 0 : this->edits.back().line;
  this->builder.RecordCheck(11,
                            this->edits.empty() || edit.version > this->edits.back().version,
                            { previousLine, aEvent.line },
                            "an edit is accepted as version " + std::to_string(edit.version) +
                              ", which is not higher than the previous one");
  this->CheckDigest(aEvent);
  this->edits.push_back(edit);
  for (const auto& [name, instance] : this->instances) {
    if (instance.isUp && !instance.isSuspended) {
      this->pendingChecks.emplace(
        edit.at + this->builder.tolerances.configuration,
        PendingCheck{ this->edits.size() - 1, name, instance.servingSince });
    }
  }
}

void ConfigChecks::OnConfigInForce(const HistoryEvent& aEvent)
{
  Instance& instance = this->instances[aEvent.Text("instance")];
  std::int64_t version = aEvent.Number("version");
  this->builder.RecordCheck(11,
                            version >= instance.version,
                            { instance.versionLine, aEvent.line },
                            "instance " + aEvent.Text("instance") + " reverts from version " +
                              std::to_string(instance.version) + " to " + std::to_string(version));
  this->CheckDigest(aEvent);
  instance.version = version;
  instance.versionLine = aEvent.line;
}

void ConfigChecks::OnInstance(const HistoryEvent& aEvent)
{
  Instance& instance = this->instances[aEvent.Text("instance")];
  bool wasServing = instance.isUp && !instance.isSuspended;
  if (aEvent.kind == "instance_started") {
    instance = Instance();
    instance.isUp = true;
  } else if (aEvent.kind == "instance_stopped" || aEvent.kind == "instance_crashed") {
    instance.isUp = false;
  } else if (aEvent.kind == "instance_suspended") {
    instance.isSuspended = true;
  } else if (aEvent.kind == "instance_resumed") {
    instance.isSuspended = false;
  }
  bool isServing = instance.isUp && !instance.isSuspended;
  if (isServing && !wasServing) {
    instance.servingSince = aEvent.at;
    if (!this->edits.empty()) {
      this->pendingChecks.emplace(
        aEvent.at + this->builder.tolerances.configuration,
        PendingCheck{ this->edits.size() - 1, aEvent.Text("instance"), instance.servingSince });
    }
  }
}

void ConfigChecks::AdvanceTo(Duration aTime)
{
  while (!this->pendingChecks.empty() && this->pendingChecks.begin()->first < aTime) {
    PendingCheck check = this->pendingChecks.begin()->second;
    this->pendingChecks.erase(this->pendingChecks.begin());
    const Instance& instance = this->instances[check.instance];
    if (!instance.isUp || instance.isSuspended || instance.servingSince != check.servingSince) {
      continue;
    }
    const Edit& edit = this->edits[check.edit];
    this->builder.RecordCheck(11,
                              instance.version >= edit.version,
                              { instance.versionLine, edit.line },
                              "version " + std::to_string(edit.version) +
                                " is not in force in time at instance " + check.instance);
  }
}

} // namespace daisydrift
