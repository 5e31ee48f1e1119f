#pragma once
// Checks of requests and upstreams: I1 and I6 to I10. Internal to the package.

#include "Verdicts.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace daisydrift {

/// Follows requests, upstreams and planned stops through the history.
class RequestChecks
{
public:
  explicit RequestChecks(Verdicts& aVerdicts);

  /// Takes the next event; events of other kinds are ignored.
  void Take(const HistoryEvent& aEvent);
  /// Checks that need the whole history.
  void Finish();

private:
  struct Answer
  {
    unsigned line = 0;
    std::string outcome;
    std::string token;
    bool isComplete = true;
  };
  struct Broken
  {
    unsigned line = 0;
    Duration at{ 0 };
    std::string instance;
  };
  struct Request
  {
    /// 0 when no caller was seen to send it.
    unsigned sentLine = 0;
    std::string instance;
    bool isRepeatable = false;
    std::vector<unsigned> starts;
    /// Tokens of the answers that upstreams gave to this request.
    std::set<std::string> given;
    std::vector<Answer> answers;
    std::vector<Broken> broken;
  };
  struct Upstream
  {
    std::int64_t slots = 0;
    std::int64_t connections = 0;
    unsigned line = 0;
    /// Number of runs of each request.
    std::map<std::string, unsigned> running;
    std::int64_t runningCount = 0;
    std::set<std::string> connected;
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

  void TakeUpstream(const HistoryEvent& aEvent);
  void TakeRequest(const HistoryEvent& aEvent);
  void TakeInstance(const HistoryEvent& aEvent);
  void OnStart(const HistoryEvent& aEvent, Upstream& aUpstream);
  void OnEnd(const HistoryEvent& aEvent, Upstream& aUpstream);
  void CheckAnswers(const std::string& aName, const Request& aRequest);
  void CheckBroken(const std::string& aName, const Request& aRequest);
  void CheckRuns(const std::string& aName, const Request& aRequest);

  Verdicts& verdicts;
  std::map<std::string, Upstream> upstreams;
  std::map<std::string, Request> requests;
  std::map<std::string, Instance> instances;
  /// Line of the event `end`; 0 when the recording has none.
  unsigned endLine = 0;
};

} // namespace daisydrift
