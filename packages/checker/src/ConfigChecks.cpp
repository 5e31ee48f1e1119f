#include "ConfigChecks.h"

namespace daisydrift {

ConfigChecks::ConfigChecks(Verdicts& aVerdicts)
  : verdicts(aVerdicts)
{
}

void ConfigChecks::Take(const HistoryEvent& aEvent)
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
    this->OnInForce(aEvent);
  } else if (kind.rfind("instance_", 0) == 0) {
    this->OnInstance(aEvent);
  }
}

void ConfigChecks::OnKey(const HistoryEvent& aEvent)
{
  Key& key = this->keys[aEvent.Text("key")];
  if (aEvent.kind == "key_issued") {
    if (key.issuedLine != 0) {
      this->verdicts.Contradiction(aEvent, "duplicate_key_issued", "the key was issued before");
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

std::string ConfigChecks::KeyProblem(const HistoryEvent& aEvent,
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
  if (key.isRevoked && aEvent.at > key.revokedAt + this->verdicts.tolerances.revokedKey) {
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
  std::string problem = this->KeyProblem(aEvent, lines);
  this->verdicts.Check(3,
                       problem.empty(),
                       lines,
                       "submission " + aEvent.Text("submission") + " is accepted " + problem);
}

void ConfigChecks::OnRequest(const HistoryEvent& aEvent)
{
  const std::string& name = aEvent.Text("request");
  if (aEvent.kind == "request_sent") {
    if (aEvent.Find("key") || aEvent.Find("team") || aEvent.Find("queue")) {
      SentRequest& request = this->sent[name];
      request.problem = this->KeyProblem(aEvent, request.lines);
    }
    return;
  }
  auto found = this->sent.find(name);
  if (found == this->sent.end()) {
    return;
  }
  std::vector<unsigned> lines = found->second.lines;
  lines.push_back(aEvent.line);
  this->verdicts.Check(3,
                       found->second.problem.empty(),
                       lines,
                       "request " + name + " runs although it came " + found->second.problem);
}

void ConfigChecks::CheckDigest(const HistoryEvent& aEvent)
{
  if (!aEvent.Find("digest")) {
    return;
  }
  auto [known, isNew] = this->digests.try_emplace(aEvent.Number("version"),
                                                  Digest{ aEvent.Text("digest"), aEvent.line });
  this->verdicts.Check(11,
                       isNew || known->second.value == aEvent.Text("digest"),
                       { known->second.line, aEvent.line },
                       "version " + aEvent.Text("version") + " has two contents");
}

void ConfigChecks::OnEdit(const HistoryEvent& aEvent)
{
  Edit edit{ aEvent.at, aEvent.Number("version"), aEvent.line };
  unsigned previousLine = this->edits.empty() ? 0 : this->edits.back().line;
  this->verdicts.Check(11,
                       this->edits.empty() || edit.version > this->edits.back().version,
                       { previousLine, aEvent.line },
                       "an edit is accepted as version " + std::to_string(edit.version) +
                         ", which is not higher than the one before");
  this->CheckDigest(aEvent);
  this->edits.push_back(edit);
  for (const auto& [name, instance] : this->instances) {
    if (instance.isUp && !instance.isSuspended) {
      this->due.emplace(edit.at + this->verdicts.tolerances.configuration,
                        Due{ this->edits.size() - 1, name, instance.since });
    }
  }
}

void ConfigChecks::OnInForce(const HistoryEvent& aEvent)
{
  Instance& instance = this->instances[aEvent.Text("instance")];
  std::int64_t version = aEvent.Number("version");
  this->verdicts.Check(11,
                       version >= instance.version,
                       { instance.versionLine, aEvent.line },
                       "instance " + aEvent.Text("instance") + " goes back from version " +
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
    instance.since = aEvent.at;
    if (!this->edits.empty()) {
      this->due.emplace(aEvent.at + this->verdicts.tolerances.configuration,
                        Due{ this->edits.size() - 1, aEvent.Text("instance"), instance.since });
    }
  }
}

void ConfigChecks::AdvanceTo(Duration aTime)
{
  while (!this->due.empty() && this->due.begin()->first < aTime) {
    Due due = this->due.begin()->second;
    this->due.erase(this->due.begin());
    const Instance& instance = this->instances[due.instance];
    if (!instance.isUp || instance.isSuspended || instance.since != due.since) {
      continue;
    }
    const Edit& edit = this->edits[due.edit];
    this->verdicts.Check(11,
                         instance.version >= edit.version,
                         { instance.versionLine, edit.line },
                         "version " + std::to_string(edit.version) +
                           " is not in force in time at instance " + due.instance);
  }
}

} // namespace daisydrift
