// A client hands a job in, leaves before its deadline and cancels the job at another process. The
// store loses the answer of the first write of the job. Is a job whose cancelling was answered run?
#include "Fleet.h"

using namespace review;

namespace {
constexpr const char* kJob = "c0ffee0000000001";
/// platform_lost lasts 4.5 s and concerns 0.35 of the writes, at most; a late write is done 1 to 6 s
/// later (site file and kinds). Here 0.4 s, one write of eight or more.
constexpr int kLossMs = 400;
constexpr int kLateMs = 5000;
constexpr double kMaxShare = 0.35;
/// give_up: clients leave within half the objective of 250 ms.
constexpr int kPatienceMs = 100;
constexpr int kCancelMs = 3000;
constexpr int kStopTimeoutMs = 900;
constexpr int kTaskMs = 6000;

bool Names(const json& aWrite, const std::string& aKey)
{
  for (const json& put : aWrite.value("puts", json::array())) {
    if (put.value("key", "") == aKey) {
      return true;
    }
  }
  return false;
}
} // namespace

int main()
{
  Fleet fleet;
  fleet.Configure(json::array({ Fleet::Route("eligibility", 0, 4) }),
                  json::array({ Fleet::Tenant() }));
  for (int number = 0; number < 8; ++number) {
    fleet.AddRunner("w" + std::to_string(number),
                    number % 3 == 2 ? "b" : "a",
                    "rack-" + std::to_string(number / 4));
  }
  fleet.shared.plan = [&](const std::string& aTask, std::uint64_t) {
    return Shared::Plan{ aTask.rfind(kJob, 0) == 0 ? kTaskMs : 300, "done" };
  };
  bool isLossOpen = false;
  bool wasLost = false;
  int writesInLoss = 0;
  fleet.store.onWrite = [&](int, const json& aWrite) -> std::optional<Store::Loss> {
    if (!isLossOpen) {
      return std::nullopt;
    }
    ++writesInLoss;
    bool isJob = Names(aWrite, std::string("daisydrift/jobs/") + kJob);
    if (!isJob || wasLost || 1 > kMaxShare * writesInLoss) {
      return std::nullopt;
    }
    wasLost = true;
    fleet.record.Line("store: the first write of the job gets no answer and is done late");
    return Store::Loss{ kLateMs };
  };
  fleet.AddProcesses(7);
  json job{ { "spec", "cancelled" },
            { "steps",
              json::array({ { { "count", 2 }, { "cpu", 500 }, { "mem_mb", 256 }, { "estimate_ms", kTaskMs } },
                            { { "count", 2 },
                              { "cpu", 500 },
                              { "mem_mb", 256 },
                              { "estimate_ms", kTaskMs },
                              { "after", json::array({ 0 }) } } }) } };
  json other{ { "spec", "other" },
              { "steps",
                json::array({ { { "count", 1 }, { "cpu", 100 }, { "mem_mb", 64 }, { "estimate_ms", 300 } } }) } };
  std::int64_t acknowledgedMs = -1;
  int acknowledgedStatus = 0;

  auto judge = [&] {
    if (acknowledgedMs < 0) {
      fleet.NotRun("the cancelling was not acknowledged");
      return;
    }
    std::string late;
    for (const RunEvent& run : fleet.shared.runs) {
      if (run.task.rfind(kJob, 0) != 0) {
        continue;
      }
      std::int64_t start = run.startedMs - acknowledgedMs;
      std::int64_t end = (run.endedMs < 0 ? fleet.record.Ms() : run.endedMs) - acknowledgedMs;
      if (start > kCancelMs) {
        late += " " + run.task + " starts " + std::to_string(start) + " ms after;";
      } else if (end > kCancelMs + kStopTimeoutMs) {
        late += " " + run.task + " runs until " + std::to_string(end) + " ms after;";
      }
    }
    std::string text = "the cancelling was answered with " + std::to_string(acknowledgedStatus);
    fleet.End(late.empty() ? kHeld : kBroken, text + (late.empty() ? "" : ";" + late));
  };
  // After no answer a client repeats the call elsewhere.
  std::function<void(int)> cancel = [&](int aTriesLeft) {
    fleet.Call(*fleet.processes[static_cast<std::size_t>(aTriesLeft) % 7],
               "DELETE",
               std::string("/eligibility/") + kJob,
               "",
               [&, aTriesLeft](int aStatus, const std::string&) {
                 bool isAcknowledged = (aStatus >= 200 && aStatus < 300) || aStatus == 410;
                 if (isAcknowledged) {
                   acknowledgedMs = fleet.record.Ms();
                   acknowledgedStatus = aStatus;
                 } else if (aTriesLeft > 1) {
                   fleet.After(200, [&cancel, aTriesLeft] { cancel(aTriesLeft - 1); });
                 }
               });
  };
  fleet.WhenReady([&] {
    fleet.After(1500, [&] {
      isLossOpen = fleet.trouble;
      fleet.After(kLossMs, [&] {
        isLossOpen = false;
        fleet.record.Line("writes while answers were lost: " + std::to_string(writesInLoss) +
                          ", lost " + std::to_string(wasLost ? 1 : 0));
      });
      for (int number = 0; number < 16; ++number) {
        fleet.After(5 * number, [&, number] {
          char id[17];
          std::snprintf(id, sizeof id, "%016x", 0xee00 + number);
          fleet.Submit(
            "eligibility", id, other, [](bool) {}, 8, static_cast<std::size_t>(number));
        });
      }
      fleet.After(100, [&] {
        fleet.shared.jobs[kJob] = job;
        std::size_t at = fleet.Leader() == fleet.processes[0].get() ? 1 : 0;
        fleet.Call(
          *fleet.processes[at],
          "POST",
          std::string("/eligibility/") + kJob,
          job.dump(),
          [&](int aStatus, const std::string&) {
            if (aStatus == 0) {
              fleet.record.Line("the client has left, and cancels the job at another process");
            }
            cancel(6);
          },
          kPatienceMs);
      });
      fleet.After(20000, judge);
    });
  });
  return fleet.Run();
}
