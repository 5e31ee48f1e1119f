#pragma once
// Checks of tasks on workers: I1, I2, I4, I5, I7 and I8. Internal to the package.

#include "Verdicts.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisydrift {

/// Follows workers, tasks, ceilings and failure domains through the history.
class WorkChecks
{
public:
  explicit WorkChecks(Verdicts& aVerdicts);

  /// Takes the next event; events of other kinds are ignored.
  void Take(const HistoryEvent& aEvent);
  /// To be called before each event and at the end: checks lowered ceilings that now count.
  void AdvanceTo(Duration aTime);
  /// Checks that need the whole history.
  void Finish();

private:
  struct RunningTask
  {
    std::string task;
    std::string team;
    Resources amounts;
    unsigned line = 0;
  };
  struct Worker
  {
    std::string domain;
    Resources capacity;
    unsigned line = 0;
    /// By region and attempt.
    std::map<std::string, RunningTask> running;
  };
  struct Ceiling
  {
    Duration at{ 0 };
    unsigned line = 0;
    std::int64_t tasks = 0;
    Resources amounts;
  };
  struct Team
  {
    std::int64_t tasks = 0;
    Resources amounts;
    std::vector<Ceiling> ceilings;
    /// Ceilings before this position no longer count.
    std::size_t current = 0;
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

  Worker* WorkerOf(const HistoryEvent& aEvent);
  void OnWorker(const HistoryEvent& aEvent);
  void OnWorkerGone(const HistoryEvent& aEvent);
  void OnStart(const HistoryEvent& aEvent);
  void OnResized(const HistoryEvent& aEvent);
  void OnEnd(const HistoryEvent& aEvent);
  void Remove(Worker& aWorker, std::map<std::string, RunningTask>::iterator aTask);
  void CheckCapacity(const std::string& aName, const Worker& aWorker, unsigned aLine);
  void CheckPlaces(const HistoryEvent& aEvent, const std::string& aTask);
  void CheckDomain(const HistoryEvent& aEvent, const Worker& aWorker);
  void CheckCeiling(const std::string& aName, Team& aTeam, unsigned aLine);

  Verdicts& verdicts;
  std::map<std::string, Worker> workers;
  std::map<std::string, Team> teams;
  std::map<std::string, Drain> drained;
  std::map<std::string, std::vector<TaskStart>> starts;
  std::map<std::string, std::vector<unsigned>> startsBySubmission;
  /// Lines of refusals that said not_run, by submission.
  std::map<std::string, unsigned> refusals;
  /// Lines of the starts of tasks that run, by task.
  std::map<std::string, std::vector<unsigned>> open;
};

} // namespace daisydrift
