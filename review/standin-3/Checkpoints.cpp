// Tasks whose checkpoints consist of characters that JSON escapes, on sound runners; nothing is
// disturbed.

#include "Cases.h"

namespace review {

namespace {
constexpr const char* kJob = "ffffffff00000002";
constexpr int kTasks = 512;
constexpr int kRunners = 4;
constexpr std::size_t kCheckpointBytes = 512;
/// Of the tasks some end first, so that the leader writes the job's record while the others run.
constexpr int kShortTasks = 12;
constexpr milliseconds kShortTask{ 4000 };
constexpr milliseconds kLongTask{ 12000 };
constexpr seconds kJudgedAfter{ 40 };

int IndexOf(const std::string& aTask)
{
  return std::stoi(aTask.substr(aTask.rfind('.') + 1));
}

/// A value for each second of work, as `checkpoint_s` says.
std::string Checkpoint(const std::string& aTask, Duration aElapsed, char aFiller)
{
  auto whole = std::chrono::duration_cast<seconds>(aElapsed).count();
  if (whole == 0) {
    return "";
  }
  std::string text = aTask + ":" + std::to_string(whole);
  text.resize(kCheckpointBytes, aFiller);
  return text;
}
} // namespace

void RunCheckpoints(Deployment& aDeployment, bool aIsTrouble)
{
  aDeployment.WriteConfig(7, { { "bursary", 0 } });
  for (int number = 0; number < kRunners; ++number) {
    Runner& runner = aDeployment.AddRunner("r" + std::to_string(number), { "a", "r1-1" });
    runner.durationOf = [](const std::string& aTask) {
      return Duration(IndexOf(aTask) < kShortTasks ? kShortTask : kLongTask);
    };
    runner.checkpointOf = [filler = aIsTrouble ? '\x01' : 'x'](const std::string& aTask,
                                                              Duration aElapsed) {
      return Checkpoint(aTask, aElapsed, filler);
    };
  }
  aDeployment.Start(3, [&aDeployment] {
    json job{ { "spec", "run 12000" },
              { "steps",
                json::array({ { { "count", kTasks },
                                { "cpu", 50 },
                                { "mem_mb", 16 },
                                { "estimate_ms", 12000 },
                                { "checkpointing", true } } }) } };
    aDeployment.Submit("bursary", kJob, job, [&aDeployment](int aStatus) {
      if (aStatus < 200 || aStatus >= 300) {
        aDeployment.GiveUp("the job is not accepted");
        return;
      }
      aDeployment.After(kJudgedAfter, [&aDeployment] {
        aDeployment.State("bursary", kJob, [&aDeployment](const std::string& aText) {
          std::size_t running = 0;
          for (const auto& runner : aDeployment.runners) {
            running += runner->CountRuns();
          }
          aDeployment.record.Add("the job is shown as '" + aText + "', " + std::to_string(running) +
                                 " tasks run; the store has refused " +
                                 std::to_string(aDeployment.store.refusedValues) + " values");
          if (aText == "failed") {
            aDeployment.record.Violation(
              "LOST: the accepted job is shown as failed, and none of its runs has ended so");
          } else if (aText != "completed" && running == 0) {
            aDeployment.record.Violation("LOST: the accepted job has nothing running, and all " +
                                         std::to_string(kRunners) + " runners are sound and idle");
          }
          aDeployment.Finish();
        });
      });
    });
  });
  aDeployment.loop.Run();
}

} // namespace review
