// A runner fails the two members of a gang that it has started, once. Is the gang tried again, as
// `max_attempts` says, or is the job shown as failed?
#include "Fleet.h"

using namespace review;

namespace {
constexpr const char* kJob = "9a90000000000001";
constexpr int kRunners = 12;
constexpr int kAttempts = 2;
/// srv_grey with errors: 0.085 of the runners for 6.5 s, at most (site file); here one of twelve.
constexpr int kGreyMs = 6500;
} // namespace

int main()
{
  Fleet fleet;
  fleet.Configure(json::array({ Fleet::Route("stipend", 2, kAttempts) }),
                  json::array({ Fleet::Tenant() }));
  // Rack 0 has two runners, so that each gets two of the gang's four members.
  for (int number = 0; number < kRunners; ++number) {
    fleet.AddRunner("w" + std::to_string(number),
                    number % 3 == 2 ? "b" : "a",
                    number < 2 ? "rack-0" : "rack-" + std::to_string(1 + number / 6));
  }
  fleet.shared.plan = [](const std::string&, std::uint64_t) { return Shared::Plan{ 400, "done" }; };
  fleet.AddProcesses(7);
  json job{ { "spec", "gang" },
            { "steps",
              json::array({ { { "count", 4 },
                              { "cpu", 1000 },
                              { "mem_mb", 256 },
                              { "estimate_ms", 400 },
                              { "gang", true },
                              { "anti_affinity", 2 },
                              { "constraints", "rack-0" } } }) } };

  std::function<void(int)> judge = [&](int aTriesLeft) {
    fleet.Call(
      *fleet.processes[static_cast<std::size_t>(aTriesLeft) % 7],
      "GET",
      std::string("/stipend/") + kJob,
      "",
      [&, aTriesLeft](int aStatus, const std::string& aBody) {
        if (aStatus != 200 && aTriesLeft > 1) {
          fleet.After(300, [&judge, aTriesLeft] { judge(aTriesLeft - 1); });
          return;
        }
        std::set<std::uint64_t> failedRuns;
        std::map<std::string, int> failedOfTask;
        int mostOfATask = 0;
        for (const RunEvent& run : fleet.shared.runs) {
          if (run.how == "failed") {
            failedRuns.insert(run.run);
            mostOfATask = std::max(mostOfATask, ++failedOfTask[run.task]);
          }
        }
        std::string text = "the job is shown as " + aBody + "; runs of the gang that failed: " +
                           std::to_string(failedRuns.size()) +
                           ", most failed runs of one task: " + std::to_string(mostOfATask) +
                           ", max_attempts " + std::to_string(kAttempts);
        bool isShownFailed = aBody.find("failed") != std::string::npos;
        if (isShownFailed && failedRuns.size() < kAttempts && mostOfATask < kAttempts) {
          fleet.End(kBroken, text);
        } else if (aBody.find("completed") != std::string::npos) {
          fleet.End(kHeld, text);
        } else {
          fleet.NotRun(text);
        }
      });
  };
  // The runner is sound again before the gang can have been started anew and have worked.
  std::function<void(int)> watch = [&](int aLooksLeft) {
    bool hasFailed =
      std::any_of(fleet.shared.runs.begin(), fleet.shared.runs.end(), [](const RunEvent& aRun) {
        return aRun.how == "failed";
      });
    if (hasFailed || aLooksLeft == 0) {
      fleet.runners[0]->failsGangs = false;
      fleet.record.Line("runner w0 is sound");
      return;
    }
    fleet.After(5, [&watch, aLooksLeft] { watch(aLooksLeft - 1); });
  };
  fleet.WhenReady([&] {
    fleet.runners[0]->failsGangs = fleet.trouble;
    if (fleet.trouble) {
      fleet.record.Line("runner w0 fails all that it starts");
      watch(kGreyMs / 5);
    }
    fleet.Submit(
      "stipend",
      kJob,
      job,
      [&](bool aIsAccepted) {
        if (!aIsAccepted) {
          fleet.NotRun("the job is not accepted");
        }
      },
      8,
      1);
    fleet.After(15000, [&] { judge(10); });
  });
  return fleet.Run();
}
