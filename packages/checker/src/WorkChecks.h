#pragma once
// Checks of tasks on workers: I1, I2, I4, I5, I7 and I8. Internal to the package.

#include "ReportBuilder.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisydrift {

/// Tracks workers, tasks, ceilings and failure domains through the history.
class WorkChecks
{
public:
  explicit WorkChecks(ReportBuilder& aBuilder);

  /// Processes the next event; events of other kinds are ignored.
  void ProcessEvent(const HistoryEvent& aEvent);
  /// Checks the ceilings that must be respected from aTime on. Must be called before each event.
  void AdvanceTo(Duration aTime);
  /// Runs the checks that need the whole history.
  void Finish();

private:
  struct RunningTask
  {
    std::string task;
    std::string team;
    Resources resources;
    unsigned line = 0;
  };
  struct Worker
  {
    std::string domain;
    Resources capacity;
    unsigned line = 0;
    /// By region and attempt id, see AttemptKey.
    std::map<std::string, RunningTask> running;
  };
  struct Ceiling
  {
    Duration at{ 0 };
    unsigned line = 0;
    std::int64_t tasks = 0;
    Resources resources;
  };
  struct Team
  {
    /// Running tasks and their resources.
    std::int64_t tasks = 0;
    Resources resources;
    std::vector<Ceiling> ceilings;
    /// Index into `ceilings`: usage must fit in this ceiling or a later one. Earlier ceilings have
    /// been superseded for longer than the tolerance.
    std::size_t firstActiveCeiling = 0;
  };
  struct Drain
  {
    Duration at{ 0 };
    unsigned line = 0;
  };
  struct TaskStart
  {
    unsigned line = 0;
    bool isRepeatable = true;
  };

  Worker* FindWorker(const HistoryEvent& aEvent);
  void OnWorker(const HistoryEvent& aEvent);
  void OnWorkerGone(const HistoryEvent& aEvent);
  void OnStart(const HistoryEvent& aEvent);
  void OnResized(const HistoryEvent& aEvent);
  void OnEnd(const HistoryEvent& aEvent);
  void Remove(Worker& aWorker, std::map<std::string, RunningTask>::iterator aTask);
  void CheckCapacity(const std::string& aName, const Worker& aWorker, unsigned aLine);
  void CheckSinglePlacement(const HistoryEvent& aEvent, const std::string& aTask);
  void CheckDomain(const HistoryEvent& aEvent, const Worker& aWorker);
  void CheckCeiling(const std::string& aName, Team& aTeam, unsigned aLine);

  ReportBuilder& builder;
  std::map<std::string, Worker> workers;
  std::map<std::string, Team> teams;
  std::map<std::string, Drain> drainedDomains;
  std::map<std::string, std::vector<TaskStart>> taskStarts;
  std::map<std::string, std::vector<unsigned>> startsBySubmission;
  /// Line of the last refusal with outcome not_run, by submission.
  std::map<std::string, unsigned> refusedSubmissions;
  /// Lines of the starts of running tasks, by task.
  std::map<std::string, std::vector<unsigned>> runningStartLines;
};

} // namespace daisydrift
