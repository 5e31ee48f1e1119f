#pragma once
// Decides when each machine of a maintenance wave is taken down.

#include "daisydrift/coordination/MachineGateway.h"

#include <map>
#include <set>

namespace daisydrift::coordination {

/// Actions for the active waves.
struct MaintenanceActions
{
  /// Workers that get no new work and whose service tasks move away.
  std::set<WorkerId> drainingWorkers;
  /// Machines whose maintenance starts now, each with its wave number.
  std::vector<std::pair<std::string, std::uint64_t>> commands;
  /// Waves that have just been completed.
  std::vector<std::uint64_t> completed;
};

/// A wave typically takes a tenth of the fleet through maintenance, a few machines at a time. The
/// next machines are drained while the previous ones are down. When a wave runs short of time, a
/// machine is taken down with its remaining runs.
class MaintenancePlan
{
public:
  /// Adds a wave; one that is already known or completed is left unchanged.
  void Add(const MaintenanceWave& aWave, TimePoint aNow);
  void Remove(std::uint64_t aWave);
  bool IsIdle() const { return this->waves.empty(); }
  /// Processes a list of all machines that was requested at aRequestedAt.
  void OnMachines(const std::vector<MachineListing>& aMachines, TimePoint aRequestedAt);
  void OnResult(const std::string& aMachine,
                std::uint64_t aWave,
                MaintenanceResult aResult,
                TimePoint aNow);
  /// aRunning returns the number of runs on a worker.
  MaintenanceActions Decide(TimePoint aNow,
                            const std::function<std::size_t(const WorkerId&)>& aRunning);

private:
  enum class Stage
  {
    Waiting,
    Draining,
    /// The command was sent and has no response yet.
    Requested,
    /// Down for maintenance, as far as is known.
    InMaintenance,
    Done
  };
  struct Machine
  {
    Stage stage = Stage::Waiting;
    TimePoint stageSince;
    MachineState state = MachineState::Down;
    WorkerId worker;
  };
  struct Wave
  {
    MaintenanceWave request;
    TimePoint startedAt;
    std::map<std::string, Machine> machines;
    bool hasMachineStates = false;
  };

  /// Longest time for which a worker of the wave is drained.
  static Duration DrainTimeoutOf(const Wave& aWave);
  void DecideWave(Wave& aWave,
                  TimePoint aNow,
                  const std::function<std::size_t(const WorkerId&)>& aRunning,
                  MaintenanceActions& aActions);

  std::map<std::uint64_t, Wave> waves;
  std::set<std::uint64_t> completedWaves;
};

} // namespace daisydrift::coordination
