#pragma once
// Checks of keys and configuration versions: I3 and I11. Internal to the package.

#include "ReportBuilder.h"

#include <map>
#include <string>
#include <vector>

namespace daisydrift {

/// Tracks keys, open queues, edits and instances through the history.
class ConfigChecks
{
public:
  explicit ConfigChecks(ReportBuilder& aBuilder);

  /// Processes the next event; events of other kinds are ignored.
  void ProcessEvent(const HistoryEvent& aEvent);
  /// Checks the versions that had to be in force before aTime. Must be called before each event.
  void AdvanceTo(Duration aTime);

private:
  struct Key
  {
    std::string team;
    bool isRevoked = false;
    Duration revokedAt{ 0 };
    unsigned issuedLine = 0;
    unsigned revokedLine = 0;
  };
  struct Instance
  {
    bool isUp = false;
    bool isSuspended = false;
    /// Time since which the instance has been up and not suspended.
    Duration servingSince{ 0 };
    std::int64_t version = 0;
    unsigned versionLine = 0;
  };
  struct Edit
  {
    Duration at{ 0 };
    std::int64_t version = 0;
    unsigned line = 0;
  };
  /// An edit that must be in force at an instance by a given time.
  struct PendingCheck
  {
    /// Index into `edits`.
    std::size_t edit = 0;
    std::string instance;
    /// The check is skipped unless the instance has been serving without a break since then.
    Duration servingSince{ 0 };
  };
  struct Digest
  {
    std::string value;
    unsigned line = 0;
  };
  struct SentRequest
  {
    std::string problem;
    std::vector<unsigned> lines;
  };

  void OnKey(const HistoryEvent& aEvent);
  void OnRequest(const HistoryEvent& aEvent);
  void OnSubmission(const HistoryEvent& aEvent);
  void OnEdit(const HistoryEvent& aEvent);
  void OnConfigInForce(const HistoryEvent& aEvent);
  void OnInstance(const HistoryEvent& aEvent);
  void CheckDigest(const HistoryEvent& aEvent);
  /// Reason why the work must not be accepted, or "". Adds the lines that show the reason to
  /// aLines.
  std::string FindKeyProblem(const HistoryEvent& aEvent, std::vector<unsigned>& aLines) const;

  ReportBuilder& builder;
  std::map<std::string, Key> keys;
  std::map<std::string, bool> openQueues;
  /// Requests with a key, team or queue, by name; checked when an upstream starts them.
  std::map<std::string, SentRequest> sentRequests;
  std::map<std::string, Instance> instances;
  std::vector<Edit> edits;
  /// By the time by which the edit must be in force.
  std::multimap<Duration, PendingCheck> pendingChecks;
  std::map<std::int64_t, Digest> digests;
};

} // namespace daisydrift
