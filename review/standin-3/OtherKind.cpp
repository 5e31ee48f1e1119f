// A runner crashes and starts again under its id, as a runner of another kind.

#include "Cases.h"

#include <algorithm>

namespace review {

namespace {
constexpr int kRounds = 8;
constexpr milliseconds kRoundTime{ 9000 };
constexpr milliseconds kDownTime{ 400 };
/// Less than `heartbeat_ms` (1,500): a runner writes its entry about that often.
constexpr milliseconds kEntryDelay{ 1000 };

bool Has(const std::vector<std::string>& aLabels, const std::string& aLabel)
{
  return std::find(aLabels.begin(), aLabels.end(), aLabel) != aLabels.end();
}

void Round(Deployment& aDeployment, int aRound, bool aIsTrouble)
{
  if (aRound > kRounds || aDeployment.record.HasViolations()) {
    aDeployment.Finish();
    return;
  }
  aDeployment.After(kRoundTime,
                    [=, &aDeployment] { Round(aDeployment, aRound + 1, aIsTrouble); });
  char id[32];
  std::snprintf(id, sizeof(id), "dddddddd%08d", aRound);
  json job{ { "spec", "run 2500" },
            { "steps",
              json::array({ { { "count", 4 },
                              { "cpu", 2000 },
                              { "mem_mb", 1024 },
                              { "estimate_ms", 2500 },
                              { "constraints", "a" } } }) } };
  aDeployment.Submit("bursary", id, job, [](int) {});
  aDeployment.After(milliseconds(1200), [&aDeployment, aIsTrouble] {
    Runner& runner = *aDeployment.runners[0];
    runner.Crash();
    aDeployment.After(kDownTime, [&runner, aIsTrouble] {
      runner.Restart({ aIsTrouble ? "b" : "a", "r1-1" }, kEntryDelay);
    });
  });
  // Then it is of its old kind again.
  aDeployment.After(milliseconds(4500), [&aDeployment, aIsTrouble] {
    Runner& runner = *aDeployment.runners[0];
    if (aIsTrouble) {
      runner.Crash();
      aDeployment.After(kDownTime, [&runner] { runner.Restart({ "a", "r1-1" }, milliseconds(0)); });
    }
  });
}
} // namespace

void RunOtherKind(Deployment& aDeployment, bool aIsTrouble)
{
  aDeployment.WriteConfig(7, { { "bursary", 0 } });
  for (int number = 0; number < 12; ++number) {
    Runner& runner = aDeployment.AddRunner("r" + std::to_string(number),
                                           { number == 0 ? "a" : "b", "r1-1" });
    runner.onStart = [&aDeployment](Runner& aRunner, const std::string& aTask) {
      if (aTask.rfind("dddddddd", 0) == 0 && !Has(aRunner.Labels(), "a")) {
        aDeployment.record.Violation("ROUTE: " + aTask + " starts on " + aRunner.Id() +
                                     ", which lacks the label a of its constraints");
      }
    };
  }
  aDeployment.Start(3, [&aDeployment, aIsTrouble] { Round(aDeployment, 1, aIsTrouble); });
  aDeployment.loop.Run();
}

} // namespace review
