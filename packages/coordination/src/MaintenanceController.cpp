#include "MaintenanceController.h"

namespace daisydrift::coordination {

namespace {
/// Time between reads of the machine list while a wave is active.
constexpr std::chrono::milliseconds kMachinePollInterval{ 300 };
/// Delay before a failed read or write of a wave's status is repeated.
constexpr std::chrono::milliseconds kStatusRetryDelay{ 200 };
} // namespace

MaintenanceController::MaintenanceController(EventLoop& aLoop,
                                             KeyValueStore& aStore,
                                             MachineGateway& aMachines,
                                             Dispatcher& aDispatcher,
                                             const InstanceSettings& aSettings,
                                             const PlatformDecoders& aDecoders,
                                             const KeyValueTransaction::Condition& aLeadership,
                                             Epoch aFencingToken,
                                             Hooks aHooks)
  : loop(aLoop)
  , store(aStore)
  , machines(aMachines)
  , dispatcher(aDispatcher)
  , settings(aSettings)
  , decoders(aDecoders)
  , leadership(aLeadership)
  , fencingToken(aFencingToken)
  , hooks(std::move(aHooks))
  , firstCommandAt(aLoop.Now() + aSettings.maintenanceDelay)
{
}

MaintenanceController::~MaintenanceController()
{
  *this->isAlive = false;
}

void MaintenanceController::SetWaves(const std::map<std::uint64_t, MaintenanceWave>& aWaves)
{
  for (const auto& [number, wave] : aWaves) {
    if (this->knownWaves.insert(number).second) {
      LogLine(LogLevel::Info, "upkeep_wave")
        .Add("wave", number)
        .Add("machines", wave.machines.size())
        .Add("maximum", wave.maxMachinesDown)
        .Add("duration_ms", wave.duration);
      this->StartWave(wave);
    }
  }
  for (auto number = this->knownWaves.begin(); number != this->knownWaves.end();) {
    if (aWaves.count(*number) != 0) {
      ++number;
      continue;
    }
    this->plan.Remove(*number);
    number = this->knownWaves.erase(number);
  }
}

void MaintenanceController::StartWave(const MaintenanceWave& aWave)
{
  this->store.Read(
    this->decoders.waveStatusPrefix + std::to_string(aWave.number),
    [this, alive = this->isAlive, aWave](const Result<std::optional<KeyValueItem>>& aItem) {
      if (!*alive || this->knownWaves.count(aWave.number) == 0) {
        return;
      }
      if (!aItem) {
        this->loop.After(kStatusRetryDelay, [this, alive, aWave] {
          if (*alive) {
            this->StartWave(aWave);
          }
        });
        return;
      }
      if (*aItem && (*aItem)->value == this->decoders.waveStatus(true)) {
        return;
      }
      this->plan.Add(aWave, this->loop.Now());
      this->WriteStatus(aWave.number, false);
      this->StartTicking();
    });
}

void MaintenanceController::StartTicking()
{
  if (!this->plan.IsIdle() && !this->isTicking) {
    this->isTicking = true;
    this->Tick();
  }
}

void MaintenanceController::Tick()
{
  TimePoint requestedAt = this->loop.Now();
  this->machines.List([this, alive = this->isAlive, requestedAt](
                        const Result<std::vector<MachineListing>>& aMachines) {
    if (!*alive) {
      return;
    }
    if (aMachines) {
      this->plan.OnMachines(*aMachines, requestedAt);
    } else {
      LogLine(LogLevel::Warning, "machines_unreadable").Add("error", aMachines.Error());
    }
    this->ExecuteActions();
    this->isTicking = !this->plan.IsIdle();
    if (this->isTicking) {
      this->loop.After(kMachinePollInterval, [this, alive] {
        if (*alive) {
          this->Tick();
        }
      });
    }
  });
}

void MaintenanceController::ExecuteActions()
{
  if (this->loop.Now() < this->firstCommandAt) {
    return;
  }
  MaintenanceActions actions = this->plan.Decide(this->loop.Now(), [this](const WorkerId& aWorker) {
    return this->dispatcher.CountRuns(aWorker);
  });
  this->dispatcher.SetDrainingWorkers(actions.drainingWorkers);
  for (const auto& [machine, wave] : actions.commands) {
    this->SendCommand(machine, wave);
  }
  for (std::uint64_t wave : actions.completed) {
    this->WriteStatus(wave, true);
  }
  this->hooks.onChange();
}

void MaintenanceController::SendCommand(const std::string& aMachine, std::uint64_t aWave)
{
  LogLine(LogLevel::Info, "upkeep_ordered").Add("machine", aMachine).Add("wave", aWave);
  this->machines.StartMaintenance(
    aMachine,
    aWave,
    this->settings.name,
    this->fencingToken,
    [this, alive = this->isAlive, aMachine, aWave](MaintenanceResult aResult) {
      if (!*alive) {
        return;
      }
      if (aResult == MaintenanceResult::Fenced) {
        this->hooks.onFenced();
        return;
      }
      this->plan.OnResult(aMachine, aWave, aResult, this->loop.Now());
    });
}

void MaintenanceController::WriteStatus(std::uint64_t aWave, bool aIsCompleted)
{
  KeyValueTransaction transaction;
  transaction.conditions.push_back(this->leadership);
  transaction.puts.push_back({ this->decoders.waveStatusPrefix + std::to_string(aWave),
                               this->decoders.waveStatus(aIsCompleted),
                               0 });
  this->store.Commit(
    transaction,
    [this, alive = this->isAlive, aWave, aIsCompleted](const Result<std::uint64_t>& aRevision) {
      if (!*alive || aRevision || aRevision.Error() == make_error_code(Errc::Conflict)) {
        return; // Conflict: another instance leads and writes the status.
      }
      this->loop.After(kStatusRetryDelay, [this, alive, aWave, aIsCompleted] {
        if (*alive) {
          this->WriteStatus(aWave, aIsCompleted);
        }
      });
    });
}

} // namespace daisydrift::coordination
