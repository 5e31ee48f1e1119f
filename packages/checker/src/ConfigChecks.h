#pragma once
// Checks of keys and configuration versions: I3 and I11. Internal to the package.

#include "Verdicts.h"

#include <map>
#include <string>
#include <vector>

namespace daisydrift {

/// Follows keys, open queues, edits and instances through the history.
class ConfigChecks
{
public:
  explicit ConfigChecks(Verdicts& aVerdicts);

  /// Takes the next event; events of other kinds are ignored.
  void Take(const HistoryEvent& aEvent);
  /// To be called before each event: checks versions that must be in force by then.
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
    /// Since when it has been up and not suspended.
    Duration since{ 0 };
    std::int64_t version = 0;
    unsigned versionLine = 0;
  };
  struct Edit
  {
    Duration at{ 0 };
    std::int64_t version = 0;
    unsigned line = 0;
  };
  /// An edit that must be in force at an instance.
  struct Due
  {
    /// Position in `edits`.
    std::size_t edit = 0;
    std::string instance;
    /// The check is dropped when the instance wasn't serving all the time since then.
    Duration since{ 0 };
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
  void OnInForce(const HistoryEvent& aEvent);
  void OnInstance(const HistoryEvent& aEvent);
  void CheckDigest(const HistoryEvent& aEvent);
  /// Why the work must not be accepted; empty when it may. Lines that show it go to aLines.
  std::string KeyProblem(const HistoryEvent& aEvent, std::vector<unsigned>& aLines) const;

  Verdicts& verdicts;
  std::map<std::string, Key> keys;
  std::map<std::string, bool> openQueues;
  /// Requests with a key or team, by name; judged when an upstream starts them.
  std::map<std::string, SentRequest> sent;
  std::map<std::string, Instance> instances;
  std::vector<Edit> edits;
  /// By the time at which the edit must be in force.
  std::multimap<Duration, Due> due;
  std::map<std::int64_t, Digest> digests;
};

} // namespace daisydrift
