// A job whose tasks take ten minutes each, on sound runners; nothing is disturbed.

#include "Cases.h"

#include <algorithm>

namespace review {

namespace {
constexpr const char* kJob = "ffffffff00000001";
constexpr int kTasks = 12;
constexpr int kRunners = 12;
/// Run time of a task: ten minutes; without trouble the longest one of the site file.
constexpr int kLongTaskMs = 600'000;
constexpr int kShortTaskMs = 15'000;
/// `finish_s` of RULES.md, and the time for which a job may have nothing running.
constexpr seconds kFinish{ 14 };
constexpr seconds kIdleTime{ 3 };
constexpr seconds kWatchTime{ 70 };
constexpr milliseconds kInterval{ 20 };

struct State
{
  int starts = 0;
  std::string shown;
  std::optional<TimePoint> idleSince;
  bool isReported = false;
  bool isOver = false;
};

void Watch(Deployment& aDeployment, std::shared_ptr<State> aState)
{
  if (aState->isOver) {
    return;
  }
  std::size_t running = 0;
  for (const auto& runner : aDeployment.runners) {
    running += runner->CountRuns();
  }
  TimePoint now = aDeployment.loop.Now();
  if (running > 0 || aState->shown == "completed") {
    aState->idleSince.reset();
    aState->isReported = false;
  } else if (!aState->idleSince) {
    aState->idleSince = now;
  } else if (now - *aState->idleSince > kIdleTime && !aState->isReported) {
    aState->isReported = true;
    aDeployment.record.Violation(
      "LOST: for 3 s the accepted job has nothing running, and all " + std::to_string(kRunners) +
      " runners are sound and idle; " + std::to_string(aState->starts) + " starts so far");
  }
  aDeployment.After(kInterval, [&aDeployment, aState] { Watch(aDeployment, aState); });
}

void Ask(Deployment& aDeployment, std::shared_ptr<State> aState)
{
  if (aState->isOver) {
    return;
  }
  aDeployment.State(
    "bursary", kJob, [aState](const std::string& aText) { aState->shown = aText; });
  aDeployment.After(seconds(1), [&aDeployment, aState] { Ask(aDeployment, aState); });
}
} // namespace

void RunLongTasks(Deployment& aDeployment, bool aIsTrouble)
{
  auto state = std::make_shared<State>();
  aDeployment.WriteConfig(7, { { "bursary", 0 } });
  for (int number = 0; number < kRunners; ++number) {
    Runner& runner = aDeployment.AddRunner("r" + std::to_string(number),
                                           { "a", "r1-" + std::to_string(number / 4) });
    runner.onStart = [state](Runner&, const std::string&) { ++state->starts; };
  }
  aDeployment.Start(3, [&aDeployment, state, aIsTrouble] {
    int time = aIsTrouble ? kLongTaskMs : kShortTaskMs;
    json job{ { "spec", "run " + std::to_string(time) },
              { "steps",
                json::array({ { { "count", kTasks },
                                { "cpu", 1000 },
                                { "mem_mb", 256 },
                                { "estimate_ms", time } } }) } };
    aDeployment.Submit("bursary", kJob, job, [&aDeployment, state](int aStatus) {
      if (aStatus < 200 || aStatus >= 300) {
        aDeployment.GiveUp("the job is not accepted");
        return;
      }
      Ask(aDeployment, state);
      aDeployment.After(kFinish, [&aDeployment, state] { Watch(aDeployment, state); });
      aDeployment.After(kFinish + kWatchTime, [&aDeployment, state] {
        state->isOver = true;
        aDeployment.record.Add("the job's " + std::to_string(kTasks) + " tasks were started " +
                               std::to_string(state->starts) + " times; it is shown as '" +
                               state->shown + "'");
        aDeployment.Finish();
      });
    });
  });
  aDeployment.loop.Run();
}

} // namespace review
