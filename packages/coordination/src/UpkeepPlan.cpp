#include "UpkeepPlan.h"

#include <algorithm>

namespace daisydrift::coordination {

namespace {
/// A machine list requested at least this long after a response reflects the effect of the command.
constexpr std::chrono::milliseconds kShowsAfter{ 150 };
/// Delay before a command without a response is repeated.
constexpr std::chrono::milliseconds kOrderRetry{ 500 };
/// Bounds on the time for which a worker is drained; most tasks end within a few seconds.
constexpr std::chrono::milliseconds kLeastPatience{ 200 };
constexpr std::chrono::milliseconds kMostPatience{ 4000 };
/// Maintenance time of one machine: at most 2 s on the platform, and the startup of its new worker.
constexpr std::chrono::milliseconds kUpkeepTime{ 3000 };
/// Share of a wave's duration that the schedule uses; the rest is a reserve for faults.
constexpr double kPlannedShare = 0.75;
} // namespace

void UpkeepPlan::Add(const UpkeepWave& aWave, TimePoint aNow)
{
  if (this->waves.count(aWave.number) != 0 || this->ended.count(aWave.number) != 0) {
    return;
  }
  Wave wave;
  wave.request = aWave;
  wave.begunAt = aNow;
  for (const std::string& machine : aWave.machines) {
    wave.machines[machine].since = aNow;
  }
  this->waves[aWave.number] = std::move(wave);
}

void UpkeepPlan::Remove(std::uint64_t aWave)
{
  this->waves.erase(aWave);
}

void UpkeepPlan::OnMachines(const std::vector<MachineListing>& aMachines, TimePoint aAskedAt)
{
  std::map<std::string, const MachineListing*> listed;
  for (const MachineListing& machine : aMachines) {
    listed[machine.machine] = &machine;
  }
  for (auto& [number, wave] : this->waves) {
    wave.wasListed = true;
    for (auto& [name, machine] : wave.machines) {
      auto found = listed.find(name);
      if (found == listed.end()) {
        machine.stage = Stage::Done; // The machine was removed for good.
        continue;
      }
      machine.state = found->second->state;
      machine.worker = found->second->worker;
      bool isBack = machine.stage == Stage::Begun && machine.state == MachineState::Up &&
                    aAskedAt >= machine.since + kShowsAfter;
      if (isBack) {
        machine.stage = Stage::Done;
      } else if (machine.state == MachineState::Upkeep && machine.stage != Stage::Done &&
                 machine.stage != Stage::Begun) {
        // The command's response was lost, or an earlier leader sent the command.
        machine.stage = Stage::Begun;
        machine.since = aAskedAt;
      }
    }
  }
}

void UpkeepPlan::OnAnswer(const std::string& aMachine,
                          std::uint64_t aWave,
                          UpkeepAnswer aAnswer,
                          TimePoint aNow)
{
  auto wave = this->waves.find(aWave);
  if (wave == this->waves.end()) {
    return;
  }
  Machine& machine = wave->second.machines[aMachine];
  if (machine.stage != Stage::Ordered) {
    return;
  }
  machine.since = aNow;
  switch (aAnswer) {
    case UpkeepAnswer::Begun:
      machine.stage = Stage::Begun;
      break;
    case UpkeepAnswer::Unknown:
      machine.stage = Stage::Done;
      break;
    case UpkeepAnswer::Busy:
    case UpkeepAnswer::Fenced:
      machine.stage = Stage::Waiting;
      break;
    case UpkeepAnswer::NoAnswer:
      break; // The command is repeated after a delay.
  }
}

Duration UpkeepPlan::PatienceOf(const Wave& aWave)
{
  std::size_t maximum = std::max<std::size_t>(aWave.request.maximum, 1);
  std::size_t batches = (aWave.request.machines.size() + maximum - 1) / maximum;
  auto planned = std::chrono::duration_cast<Duration>(aWave.request.duration * kPlannedShare);
  Duration each = planned / static_cast<std::int64_t>(std::max<std::size_t>(batches, 1));
  return std::clamp<Duration>(each - kUpkeepTime, kLeastPatience, kMostPatience);
}

void UpkeepPlan::DecideWave(Wave& aWave,
                            TimePoint aNow,
                            const std::function<std::size_t(const WorkerId&)>& aRunning,
                            UpkeepStep& aStep)
{
  std::size_t down = 0;
  std::size_t emptying = 0;
  std::vector<std::pair<std::size_t, std::string>> waiting;
  for (const auto& [name, machine] : aWave.machines) {
    down += machine.stage == Stage::Ordered || machine.stage == Stage::Begun ? 1 : 0;
    emptying += machine.stage == Stage::Emptying ? 1 : 0;
    if (machine.stage == Stage::Waiting && machine.state == MachineState::Up) {
      waiting.emplace_back(aRunning(machine.worker), name);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const auto& [running, name] : waiting) {
    Machine& machine = aWave.machines[name];
    if (emptying >= aWave.request.maximum || aNow < machine.since) {
      break;
    }
    machine.stage = Stage::Emptying;
    machine.since = aNow;
    ++emptying;
  }
  Duration patience = PatienceOf(aWave);
  for (auto& [name, machine] : aWave.machines) {
    bool isRepeated = machine.stage == Stage::Ordered && aNow - machine.since > kOrderRetry;
    bool isEmpty = machine.stage == Stage::Emptying &&
                   (aRunning(machine.worker) == 0 || aNow - machine.since > patience);
    if (isRepeated || (isEmpty && down < aWave.request.maximum)) {
      down += isEmpty ? 1 : 0;
      machine.stage = Stage::Ordered;
      machine.since = aNow;
      aStep.orders.emplace_back(name, aWave.request.number);
    }
    if (machine.stage == Stage::Emptying || machine.stage == Stage::Ordered) {
      aStep.reserved.insert(machine.worker);
    }
  }
}

UpkeepStep UpkeepPlan::Decide(TimePoint aNow,
                              const std::function<std::size_t(const WorkerId&)>& aRunning)
{
  UpkeepStep step;
  for (auto entry = this->waves.begin(); entry != this->waves.end();) {
    Wave& wave = entry->second;
    if (!wave.wasListed) {
      ++entry;
      continue;
    }
    this->DecideWave(wave, aNow, aRunning, step);
    bool isDone = std::all_of(wave.machines.begin(), wave.machines.end(), [](const auto& aEntry) {
      return aEntry.second.stage == Stage::Done;
    });
    if (isDone) {
      step.completed.push_back(entry->first);
      this->ended.insert(entry->first);
    }
    entry = isDone ? this->waves.erase(entry) : std::next(entry);
  }
  return step;
}

} // namespace daisydrift::coordination
