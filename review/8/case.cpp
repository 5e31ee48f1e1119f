// Each of seven runners has one small task that lasts, the eighth is empty and leaves as planned.
// Does a batch task of 15 of a runner's 16 cores still start?
#include "Fleet.h"

using namespace review;

namespace {
constexpr const char* kLasting = "1a50000000000001";
constexpr const char* kBatch = "ba7c000000000001";
constexpr int kRunners = 8;
constexpr int kDrainMs = 2000;
constexpr int kFinishMs = 14000;
/// LOST: for 3 s a job has nothing running.
constexpr int kNothingMs = 3000;
} // namespace

int main()
{
  Fleet fleet;
  fleet.Configure(json::array({ Fleet::Route("ledger", 1, 2), Fleet::Route("stipend", 2, 2) }),
                  json::array({ Fleet::Tenant() }));
  for (int number = 0; number < kRunners; ++number) {
    fleet.AddRunner("w" + std::to_string(number),
                    number % 3 == 2 ? "b" : "a",
                    "rack-" + std::to_string(number / 4));
  }
  fleet.shared.plan = [&](const std::string& aTask, std::uint64_t) {
    return Shared::Plan{ aTask.rfind(kLasting, 0) == 0 ? 1 : 2000, "done" };
  };
  fleet.AddProcesses(7);
  json lasting{ { "spec", "watchers" },
                { "steps",
                  json::array({ { { "count", kRunners - 1 },
                                  { "cpu", 300 },
                                  { "mem_mb", 512 },
                                  { "estimate_ms", 320 },
                                  { "anti_affinity", 1 },
                                  { "long_running", true } } }) } };
  json batch{ { "spec", "batch" },
              { "steps",
                json::array({ { { "count", 1 },
                                { "cpu", 15000 },
                                { "mem_mb", 4096 },
                                { "estimate_ms", 2000 } } }) } };
  std::int64_t acceptedMs = 0;

  std::function<void(int)> judge = [&](int aTriesLeft) {
    fleet.Call(*fleet.processes[static_cast<std::size_t>(aTriesLeft) % 7],
               "GET",
               std::string("/stipend/") + kBatch,
               "",
               [&, aTriesLeft](int aStatus, const std::string& aBody) {
                 if (aStatus != 200 && aTriesLeft > 1) {
                   fleet.After(300, [&judge, aTriesLeft] { judge(aTriesLeft - 1); });
                   return;
                 }
                 bool hasRun = false;
                 for (const RunEvent& run : fleet.shared.runs) {
                   hasRun = hasRun || run.task.rfind(kBatch, 0) == 0;
                 }
                 std::string text = "the batch job is shown as " + aBody + " " +
                                    std::to_string(fleet.record.Ms() - acceptedMs) +
                                    " ms after its acceptance";
                 fleet.End(hasRun ? kHeld : kBroken,
                           text + (hasRun ? ", and has run"
                                          : ", and nothing of it has run; 7 runners of 16 cores "
                                            "have one task of 0.3 cores each"));
               });
  };
  fleet.WhenReady([&] {
    fleet.Submit("ledger", kLasting, lasting, [](bool) {}, 8, 1);
    fleet.After(3000, [&] {
      Runner* empty = nullptr;
      std::size_t running = 0;
      for (auto& runner : fleet.runners) {
        running += runner->Running();
        empty = runner->Running() == 0 ? runner.get() : empty;
      }
      if (running != kRunners - 1 || empty == nullptr) {
        fleet.NotRun("the lasting tasks don't run on seven runners");
        return;
      }
      if (fleet.trouble) {
        fleet.record.Line("runner " + empty->Id() + " reports draining");
        empty->isDraining = true;
        empty->Register();
        fleet.After(kDrainMs + 500, [&fleet, empty] {
          fleet.record.Line("runner " + empty->Id() + " leaves");
          empty->Leave();
        });
      }
      fleet.After(kDrainMs + 6000, [&] {
        fleet.Submit(
          "stipend",
          kBatch,
          batch,
          [&](bool aIsAccepted) {
            acceptedMs = fleet.record.Ms();
            if (!aIsAccepted) {
              fleet.NotRun("the batch job is not accepted");
            }
          },
          8,
          3);
        fleet.After(kFinishMs + kNothingMs, [&] { judge(10); });
      });
    });
  });
  return fleet.Run();
}
