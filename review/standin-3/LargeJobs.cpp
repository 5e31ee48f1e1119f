// Clients that nobody controls hand in jobs of many tasks in bodies of 3 KB. The platform ends each
// process that exceeds the memory of its machine, and starts it again.

#include "Cases.h"

#include <signal.h>

#include <cstdio>
#include <iostream>

namespace review {

namespace {
constexpr std::int64_t kMemoryMib = 260;
constexpr int kOrdinaryJobs = 10;
constexpr int kGuestJobs = 8;
constexpr int kSteps = 64;
constexpr int kTasksOfLargeStep = 4096;
constexpr int kTasksOfSmallStep = 4;
constexpr seconds kAsked{ 30 };
/// `finish_s` of RULES.md.
constexpr seconds kFinish{ 14 };

std::string JobId(const char* aKind, int aNumber)
{
  char id[32];
  std::snprintf(id, sizeof(id), "%s%08d", aKind, aNumber);
  return id;
}

json StepOf(int aCount, std::int64_t aCpu)
{
  return { { "count", aCount }, { "cpu", aCpu }, { "mem_mb", 256 }, { "estimate_ms", 500 } };
}

struct State
{
  std::map<std::string, bool> accepted;
  std::map<std::string, std::string> states;
  std::map<std::string, int> endsByMemory;
  std::int64_t peak = 0;
  bool isOver = false;
};

void WatchMemory(Deployment& aDeployment, std::shared_ptr<State> aState)
{
  for (auto& instance : aDeployment.instances) {
    if (instance->HasEnded()) {
      continue;
    }
    std::int64_t used = instance->ResidentMib();
    aState->peak = std::max(aState->peak, used);
    if (used > kMemoryMib) {
      aDeployment.record.Add("instance " + instance->Name() + " uses " + std::to_string(used) +
                             " MiB of " + std::to_string(kMemoryMib) + " and is killed");
      ++aState->endsByMemory[instance->Name()];
      instance->Signal(SIGKILL);
      aDeployment.After(milliseconds(500), [&aDeployment, aState, &instance = *instance] {
        if (!aState->isOver && instance.HasEnded()) {
          instance.Start();
        }
      });
    }
  }
  if (!aState->isOver) {
    aDeployment.After(milliseconds(50), [&aDeployment, aState] {
      WatchMemory(aDeployment, aState);
    });
  }
}

void Judge(Deployment& aDeployment, std::shared_ptr<State> aState)
{
  int ended = 0;
  for (const auto& [name, ends] : aState->endsByMemory) {
    aDeployment.record.Add("instance " + name + " was ended " + std::to_string(ends) +
                           " times for its memory");
    ended += ends >= 3 ? 1 : 0;
  }
  aDeployment.record.Add("largest resident set " + std::to_string(aState->peak) + " MiB");
  if (ended >= 2) {
    aDeployment.record.Violation("Fault: " + std::to_string(ended) +
                                 " processes ended three times for their memory");
  }
  for (const auto& [job, isAccepted] : aState->accepted) {
    if (isAccepted && aState->states[job] != "completed") {
      aDeployment.record.Violation("LOST: accepted job " + job + " is shown as '" +
                                   aState->states[job] + "' at the end, with capacity free");
    }
  }
  aState->isOver = true;
  aDeployment.Finish();
}

void AskAll(Deployment& aDeployment, std::shared_ptr<State> aState)
{
  for (const auto& [job, isAccepted] : aState->accepted) {
    if (isAccepted) {
      aDeployment.State("bursary", job, [aState, job = job](const std::string& aText) {
        if (!aText.empty()) {
          aState->states[job] = aText;
        }
      });
    }
  }
}
} // namespace

void RunLargeJobs(Deployment& aDeployment, bool aIsTrouble)
{
  auto state = std::make_shared<State>();
  // The guest may run an eighth of the fleet, so there is always room for the others.
  aDeployment.WriteConfig(7, { { "bursary", 96000 }, { "guest", 24000 } });
  for (int number = 0; number < 12; ++number) {
    aDeployment.AddRunner("r" + std::to_string(number), { "a", "r1-" + std::to_string(number / 4) });
  }
  aDeployment.Start(3, [&aDeployment, state, aIsTrouble] {
    WatchMemory(aDeployment, state);
    json steps = json::array();
    for (int step = 0; step < kSteps; ++step) {
      steps.push_back(StepOf(aIsTrouble ? kTasksOfLargeStep : kTasksOfSmallStep, 1000));
    }
    json large{ { "spec", "run 500" }, { "steps", steps } };
    aDeployment.record.Add("a guest's job has " + std::to_string(large.dump().size()) + " bytes");
    for (int number = 0; number < kGuestJobs; ++number) {
      aDeployment.After(milliseconds(2000 + 300 * number), [&aDeployment, large, number] {
        aDeployment.Submit("guest", JobId("aaaaaaaa", number), large, [](int) {});
      });
    }
    json ordinary{ { "spec", "run 500" }, { "steps", json::array({ StepOf(2, 1000) }) } };
    for (int number = 0; number < kOrdinaryJobs; ++number) {
      aDeployment.After(
        milliseconds(1000 + 1500 * number), [&aDeployment, state, ordinary, number] {
          std::string job = JobId("bbbbbbbb", number);
          aDeployment.Submit("bursary", job, ordinary, [state, job](int aStatus) {
            state->accepted[job] = aStatus >= 200 && aStatus < 300;
          });
        });
    }
    aDeployment.After(kAsked, [&aDeployment, state] { AskAll(aDeployment, state); });
    aDeployment.After(kAsked + seconds(5), [&aDeployment, state] { AskAll(aDeployment, state); });
    aDeployment.After(kAsked + kFinish, [&aDeployment, state] { Judge(aDeployment, state); });
  });
  aDeployment.loop.Run();
}

} // namespace review
