#include "MaintenancePlan.h"

#include <algorithm>

namespace daisydrift::coordination {

namespace {
/// A machine list requested at least this long after a response reflects the effect of the command.
constexpr std::chrono::milliseconds kListPropagationTime{ 150 };
/// Delay before a command without a response is repeated.
constexpr std::chrono::milliseconds kCommandRetryDelay{ 500 };
/// Bounds on the time for which a worker is drained; most tasks end within a few seconds.
constexpr std::chrono::milliseconds kMinDrainTimeout{ 200 };
constexpr std::chrono::milliseconds kMaxDrainTimeout{ 4000 };
/// Maintenance time of one machine: at most 2 s on the platform, and the startup of its new worker.
constexpr std::chrono::milliseconds kMaintenanceTime{ 3000 };
/// Share of a wave's duration that the schedule uses; the rest is a reserve for faults.
constexpr double kPlannedShare = 0.75;
} // namespace

void MaintenancePlan::Add(const MaintenanceWave& aWave, TimePoint aNow)
{
  if (this->waves.count(aWave.number) != 0 || this->completedWaves.count(aWave.number) != 0) {
    return;
  }
  Wave wave;
  wave.request = aWave;
  wave.startedAt = aNow;
  for (const std::string& machine : aWave.machines) {
    wave.machines[machine].stageSince = aNow;
  }
  this->waves[aWave.number] = std::move(wave);
}

void MaintenancePlan::Remove(std::uint64_t aWave)
{
  this->waves.erase(aWave);
}

void MaintenancePlan::OnMachines(const std::vector<MachineListing>& aMachines,
                                 TimePoint aRequestedAt)
{
  std::map<std::string, const MachineListing*> listed;
  for (const MachineListing& machine : aMachines) {
    listed[machine.machine] = &machine;
  }
  for (auto& [number, wave] : this->waves) {
    wave.hasMachineStates = true;
    for (auto& [name, machine] : wave.machines) {
      auto found = listed.find(name);
      if (found == listed.end()) {
        machine.stage = Stage::Done; // The machine was removed for good.
        continue;
      }
      machine.state = found->second->state;
      machine.worker = found->second->worker;
      bool isFinished = machine.stage == Stage::InMaintenance &&
                        machine.state == MachineState::Up &&
                        aRequestedAt >= machine.stageSince + kListPropagationTime;
      if (isFinished) {
        machine.stage = Stage::Done;
      } else if (machine.state == MachineState::Maintenance && machine.stage != Stage::Done &&
                 machine.stage != Stage::InMaintenance) {
        // The command's response was lost, or an earlier leader sent the command.
        machine.stage = Stage::InMaintenance;
        machine.stageSince = aRequestedAt;
      }
    }
  }
}

void MaintenancePlan::OnResult(const std::string& aMachine,
                               std::uint64_t aWave,
                               MaintenanceResult aResult,
                               TimePoint aNow)
{
  auto wave = this->waves.find(aWave);
  if (wave == this->waves.end()) {
    return;
  }
  Machine& machine = wave->second.machines[aMachine];
  if (machine.stage != Stage::Requested) {
    return;
  }
  machine.stageSince = aNow;
  switch (aResult) {
    case MaintenanceResult::Started:
      machine.stage = Stage::InMaintenance;
      break;
    case MaintenanceResult::UnknownMachine:
      machine.stage = Stage::Done;
      break;
    case MaintenanceResult::Busy:
    case MaintenanceResult::Fenced:
      machine.stage = Stage::Waiting;
      break;
    case MaintenanceResult::NoResponse:
      break; // The command is repeated after a delay.
  }
}

Duration MaintenancePlan::DrainTimeoutOf(const Wave& aWave)
{
  std::size_t maximum = std::max<std::size_t>(aWave.request.maxMachinesDown, 1);
  std::size_t batches = (aWave.request.machines.size() + maximum - 1) / maximum;
  auto plannedTime = std::chrono::duration_cast<Duration>(aWave.request.duration * kPlannedShare);
  Duration timePerBatch =
    plannedTime / static_cast<std::int64_t>(std::max<std::size_t>(batches, 1));
  return std::clamp<Duration>(timePerBatch - kMaintenanceTime, kMinDrainTimeout, kMaxDrainTimeout);
}

void MaintenancePlan::DecideWave(Wave& aWave,
                                 TimePoint aNow,
                                 const std::function<std::size_t(const WorkerId&)>& aRunning,
                                 MaintenanceActions& aActions)
{
  std::size_t down = 0;
  std::size_t draining = 0;
  std::vector<std::pair<std::size_t, std::string>> waiting;
  for (const auto& [name, machine] : aWave.machines) {
    down += machine.stage == Stage::Requested || machine.stage == Stage::InMaintenance ? 1 : 0;
    draining += machine.stage == Stage::Draining ? 1 : 0;
    if (machine.stage == Stage::Waiting && machine.state == MachineState::Up) {
      waiting.emplace_back(aRunning(machine.worker), name);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const auto& [running, name] : waiting) {
    Machine& machine = aWave.machines[name];
    if (draining >= aWave.request.maxMachinesDown || aNow < machine.stageSince) {
      break;
    }
    machine.stage = Stage::Draining;
    machine.stageSince = aNow;
    ++draining;
  }
  Duration drainTimeout = DrainTimeoutOf(aWave);
  for (auto& [name, machine] : aWave.machines) {
    bool isRetryDue =
      machine.stage == Stage::Requested && aNow - machine.stageSince > kCommandRetryDelay;
    bool isDrained = machine.stage == Stage::Draining &&
                     (aRunning(machine.worker) == 0 || aNow - machine.stageSince > drainTimeout);
    if (isRetryDue || (isDrained && down < aWave.request.maxMachinesDown)) {
      down += isDrained ? 1 : 0;
      machine.stage = Stage::Requested;
      machine.stageSince = aNow;
      aActions.commands.emplace_back(name, aWave.request.number);
    }
    if (machine.stage == Stage::Draining || machine.stage == Stage::Requested) {
      aActions.drainingWorkers.insert(machine.worker);
    }
  }
}

MaintenanceActions MaintenancePlan::Decide(
  TimePoint aNow,
  const std::function<std::size_t(const WorkerId&)>& aRunning)
{
  MaintenanceActions actions;
  for (auto entry = this->waves.begin(); entry != this->waves.end();) {
    Wave& wave = entry->second;
    if (!wave.hasMachineStates) {
      ++entry;
      continue;
    }
    this->DecideWave(wave, aNow, aRunning, actions);
    bool isDone = std::all_of(wave.machines.begin(), wave.machines.end(), [](const auto& aEntry) {
      return aEntry.second.stage == Stage::Done;
    });
    if (isDone) {
      actions.completed.push_back(entry->first);
      this->completedWaves.insert(entry->first);
    }
    entry = isDone ? this->waves.erase(entry) : std::next(entry);
  }
  return actions;
}

} // namespace daisydrift::coordination
