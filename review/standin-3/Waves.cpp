// Upkeep in waves: a leader that stands still while the machine interface is slow, and an order that
// is carried out late, after its sender was killed.

#include "Cases.h"

#include <signal.h>

#include <cstdio>

namespace review {

namespace {
std::string MachineName(int aNumber)
{
  return "m" + std::to_string(aNumber);
}

/// Machines m1 to mN with a runner each; one that comes back gets a runner with a new id.
void AddMachines(Deployment& aDeployment, int aCount)
{
  for (int number = 1; number <= aCount; ++number) {
    Runner& runner = aDeployment.AddRunner("r" + std::to_string(number) + "-0", { "a", "r1-1" });
    aDeployment.machines.Add(MachineName(number), &runner);
  }
  aDeployment.machines.newRunner = [&aDeployment,
                                    lives = std::make_shared<std::map<std::string, int>>()](
                                     const std::string& aMachine) {
    int life = ++(*lives)[aMachine];
    return &aDeployment.AddRunner("r" + aMachine.substr(1) + "-" + std::to_string(life),
                                  { "a", "r1-1" });
  };
}

void RequestWave(Deployment& aDeployment,
                 std::int64_t aWave,
                 const std::vector<std::string>& aMachines,
                 int aDurationSeconds)
{
  aDeployment.machines.AddWave(aWave, aMachines, 1);
  aDeployment.record.Add("the operator requests wave " + std::to_string(aWave) + " of " +
                         json(aMachines).dump() + ", at most 1 at once");
  aDeployment.store.Put("op/wave/" + std::to_string(aWave),
                        json{ { "wave", aWave },
                              { "machines", aMachines },
                              { "duration_s", aDurationSeconds },
                              { "maximum", 1 } }
                          .dump());
}

void CancelWave(Deployment& aDeployment, std::int64_t aWave)
{
  aDeployment.store.Remove("op/wave/" + std::to_string(aWave));
}

json LongTask(int aMilliseconds)
{
  return { { "spec", "run " + std::to_string(aMilliseconds) },
           { "steps",
             json::array({ { { "count", 1 },
                             { "cpu", 2000 },
                             { "mem_mb", 1024 },
                             { "estimate_ms", aMilliseconds } } }) } };
}
} // namespace

namespace {
constexpr int kFreezeRounds = 9;
constexpr milliseconds kFreezeTime{ 4000 };
/// Time from the request of a wave until it is withdrawn, and until the next one.
constexpr milliseconds kWaveTime{ 8000 };
constexpr milliseconds kPauseTime{ 3000 };
/// 50 times the 4 ms of an ordinary answer, as `cloud_slow`.
constexpr milliseconds kSlowAnswer{ 200 };

void FreezeRound(Deployment& aDeployment, int aRound, bool aIsTrouble)
{
  if (aRound > kFreezeRounds || aDeployment.record.HasViolations()) {
    aDeployment.Finish();
    return;
  }
  aDeployment.After(kWaveTime, [&aDeployment, aRound, aIsTrouble] {
    CancelWave(aDeployment, aRound);
    aDeployment.After(kPauseTime, [&aDeployment, aRound, aIsTrouble] {
      FreezeRound(aDeployment, aRound + 1, aIsTrouble);
    });
  });
  aDeployment.FindLeader([&aDeployment, aRound, aIsTrouble](Instance* aLeader) {
    if (aLeader == nullptr) {
      return;
    }
    // The leader waits for the answer of the slow interface.
    aDeployment.machines.onList = [&aDeployment, aIsTrouble, aLeader] {
      if (aIsTrouble) {
        aLeader->Signal(SIGSTOP);
        aDeployment.After(kFreezeTime, [aLeader] { aLeader->Signal(SIGCONT); });
      }
    };
    RequestWave(aDeployment, aRound, { "m1", "m2", "m3", "m4", "m5", "m6" }, 60);
    // Meanwhile a member hands a job in.
    aDeployment.After(milliseconds(2000), [&aDeployment, aRound, aLeader] {
      char id[32];
      std::snprintf(id, sizeof(id), "cccccccc%08d", aRound);
      aDeployment.Submit("bursary", id, LongTask(5000), [](int) {}, 5, aLeader);
    });
  });
}
} // namespace

void RunFrozenLeader(Deployment& aDeployment, bool aIsTrouble)
{
  AddMachines(aDeployment, 6);
  aDeployment.WriteConfig(7, { { "bursary", 0 } });
  aDeployment.machines.delay = kSlowAnswer;
  aDeployment.Start(3, [&aDeployment, aIsTrouble] {
    // A leader gives no order in its first three seconds.
    aDeployment.After(seconds(2), [&aDeployment, aIsTrouble] {
      FreezeRound(aDeployment, 1, aIsTrouble);
    });
  });
  aDeployment.loop.Run();
}

namespace {
constexpr int kLateRounds = 5;
constexpr milliseconds kLateWaveTime{ 19000 };
constexpr milliseconds kLatePauseTime{ 3000 };
/// Part of the orders that get no answer, and when these are carried out.
constexpr double kLateShare = 0.5;
constexpr int kLeastLateMs = 2000;
constexpr int kMostLateMs = 12000;
/// Time from the first order without an answer until the leader is killed, and until it is back.
constexpr milliseconds kKillDelay{ 200 };
constexpr milliseconds kRestartDelay{ 3500 };
/// Time in which orders may get no answer.
constexpr milliseconds kLossTime{ 5500 };

void LateRound(Deployment& aDeployment, int aRound, bool aIsTrouble)
{
  if (aRound > kLateRounds || aDeployment.record.HasViolations()) {
    aDeployment.Finish();
    return;
  }
  aDeployment.After(kLateWaveTime, [&aDeployment, aRound, aIsTrouble] {
    CancelWave(aDeployment, aRound);
    aDeployment.After(kLatePauseTime, [&aDeployment, aRound, aIsTrouble] {
      LateRound(aDeployment, aRound + 1, aIsTrouble);
    });
  });
  aDeployment.FindLeader([&aDeployment, aRound, aIsTrouble](Instance* aLeader) {
    if (aLeader == nullptr) {
      return;
    }
    auto wasKilled = std::make_shared<bool>(false);
    if (aIsTrouble) {
      aDeployment.machines.lateBy = [&aDeployment, wasKilled, aLeader](
                                      const std::string&,
                                      const std::string&) -> std::optional<Duration> {
        if (std::uniform_real_distribution<>(0, 1)(aDeployment.random) >= kLateShare) {
          return std::nullopt;
        }
        if (!std::exchange(*wasKilled, true)) {
          aDeployment.After(kKillDelay, [aLeader] { aLeader->Signal(SIGKILL); });
          aDeployment.After(kRestartDelay, [aLeader] {
            if (aLeader->HasEnded()) {
              aLeader->Start();
            }
          });
        }
        return milliseconds(
          std::uniform_int_distribution<>(kLeastLateMs, kMostLateMs)(aDeployment.random));
      };
      aDeployment.After(kLossTime, [&aDeployment] { aDeployment.machines.lateBy = nullptr; });
    }
    RequestWave(aDeployment, aRound, { "m1", "m2", "m3", "m4", "m5", "m6" }, 60);
    // Members hand jobs in.
    for (int number = 0; number < 3; ++number) {
      aDeployment.After(milliseconds(2000 + 3000 * number), [&aDeployment, aRound, number, aLeader] {
        char id[32];
        std::snprintf(id, sizeof(id), "eeeeeeee%07d%d", aRound, number);
        aDeployment.Submit("bursary", id, LongTask(5000), [](int) {}, 5, aLeader);
      });
    }
  });
}
} // namespace

void RunLateOrder(Deployment& aDeployment, bool aIsTrouble)
{
  AddMachines(aDeployment, 6);
  aDeployment.WriteConfig(7, { { "bursary", 0 } });
  aDeployment.Start(3, [&aDeployment, aIsTrouble] {
    aDeployment.After(seconds(2), [&aDeployment, aIsTrouble] {
      LateRound(aDeployment, 1, aIsTrouble);
    });
  });
  aDeployment.loop.Run();
}

} // namespace review
