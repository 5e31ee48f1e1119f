#include "UpkeepDriver.h"

namespace daisydrift::coordination {

namespace {
/// Time between reads of the machine list while a wave is active.
constexpr std::chrono::milliseconds kLookInterval{ 300 };
/// Delay before a failed read or write of a wave's status is repeated.
constexpr std::chrono::milliseconds kStatusRetry{ 200 };
} // namespace

UpkeepDriver::UpkeepDriver(EventLoop& aLoop,
                           KeyValueStore& aStore,
                           MachineGateway& aMachines,
                           Dispatcher& aDispatcher,
                           const InstanceSettings& aSettings,
                           const PlatformDecoders& aDecoders,
                           const KeyValueTransaction::Condition& aLeadership,
                           Epoch aFence,
                           Hooks aHooks)
  : loop(aLoop)
  , store(aStore)
  , machines(aMachines)
  , dispatcher(aDispatcher)
  , settings(aSettings)
  , decoders(aDecoders)
  , leadership(aLeadership)
  , fence(aFence)
  , hooks(std::move(aHooks))
  , firstOrderAt(aLoop.Now() + aSettings.orderPause)
{
}

UpkeepDriver::~UpkeepDriver()
{
  *this->isAlive = false;
}

void UpkeepDriver::SetWaves(const std::map<std::uint64_t, UpkeepWave>& aWaves)
{
  for (const auto& [number, wave] : aWaves) {
    if (this->known.insert(number).second) {
      LogLine(LogLevel::Info, "upkeep_wave")
        .Add("wave", number)
        .Add("machines", wave.machines.size())
        .Add("maximum", wave.maximum)
        .Add("duration_ms", wave.duration);
      this->BeginWave(wave);
    }
  }
  for (auto number = this->known.begin(); number != this->known.end();) {
    if (aWaves.count(*number) != 0) {
      ++number;
      continue;
    }
    this->plan.Remove(*number);
    number = this->known.erase(number);
  }
}

void UpkeepDriver::BeginWave(const UpkeepWave& aWave)
{
  this->store.Read(
    this->decoders.waveStatusPrefix + std::to_string(aWave.number),
    [this, alive = this->isAlive, aWave](const Result<std::optional<KeyValueItem>>& aItem) {
      if (!*alive || this->known.count(aWave.number) == 0) {
        return;
      }
      if (!aItem) {
        this->loop.After(kStatusRetry, [this, alive, aWave] {
          if (*alive) {
            this->BeginWave(aWave);
          }
        });
        return;
      }
      if (*aItem && (*aItem)->value == this->decoders.waveStatus(true)) {
        return;
      }
      this->plan.Add(aWave, this->loop.Now());
      this->WriteStatus(aWave.number, false);
      this->TickIfNeeded();
    });
}

void UpkeepDriver::TickIfNeeded()
{
  if (!this->plan.IsIdle() && !this->isTicking) {
    this->isTicking = true;
    this->Tick();
  }
}

void UpkeepDriver::Tick()
{
  TimePoint askedAt = this->loop.Now();
  this->machines.List(
    [this, alive = this->isAlive, askedAt](const Result<std::vector<MachineListing>>& aMachines) {
      if (!*alive) {
        return;
      }
      if (aMachines) {
        this->plan.OnMachines(*aMachines, askedAt);
      } else {
        LogLine(LogLevel::Warning, "machines_unreadable").Add("error", aMachines.Error());
      }
      this->Act();
      this->isTicking = !this->plan.IsIdle();
      if (this->isTicking) {
        this->loop.After(kLookInterval, [this, alive] {
          if (*alive) {
            this->Tick();
          }
        });
      }
    });
}

void UpkeepDriver::Act()
{
  if (this->loop.Now() < this->firstOrderAt) {
    return;
  }
  UpkeepStep step = this->plan.Decide(this->loop.Now(), [this](const WorkerId& aWorker) {
    return this->dispatcher.CountRuns(aWorker);
  });
  this->dispatcher.SetReserved(step.reserved);
  for (const auto& [machine, wave] : step.orders) {
    this->Order(machine, wave);
  }
  for (std::uint64_t wave : step.completed) {
    this->WriteStatus(wave, true);
  }
  this->hooks.onChange();
}

void UpkeepDriver::Order(const std::string& aMachine, std::uint64_t aWave)
{
  LogLine(LogLevel::Info, "upkeep_ordered").Add("machine", aMachine).Add("wave", aWave);
  this->machines.BeginUpkeep(aMachine,
                             aWave,
                             this->settings.name,
                             this->fence,
                             [this, alive = this->isAlive, aMachine, aWave](UpkeepAnswer aAnswer) {
                               if (!*alive) {
                                 return;
                               }
                               if (aAnswer == UpkeepAnswer::Fenced) {
                                 this->hooks.onFenced();
                                 return;
                               }
                               this->plan.OnAnswer(aMachine, aWave, aAnswer, this->loop.Now());
                             });
}

void UpkeepDriver::WriteStatus(std::uint64_t aWave, bool aIsCompleted)
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
      this->loop.After(kStatusRetry, [this, alive, aWave, aIsCompleted] {
        if (*alive) {
          this->WriteStatus(aWave, aIsCompleted);
        }
      });
    });
}

} // namespace daisydrift::coordination
