// Runs one case of the review: standin CASE PROGRAM FOLDER RECORD TROUBLE, with TROUBLE 0 without
// the disruption. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

#include "Standin.h"

#include <csignal>
#include <iostream>

namespace review {

using std::chrono::seconds;

namespace {
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

struct Arguments
{
  std::string program;
  std::string folder;
  std::string record;
  bool hasTrouble = true;
};

int Finish(Deployment& aDeployment, bool aCouldRun)
{
  if (!aCouldRun) {
    aDeployment.record.Add("the case could not run");
    return kCouldNotRun;
  }
  aDeployment.record.Add("violations: " + std::to_string(aDeployment.record.Violations()));
  return aDeployment.record.Violations() > 0 ? kBroken : kHeld;
}

/// One job whose tasks all begin before the store goes down and end while it is down. The runners
/// then have more ends to list than one answer holds.
int ManyEnds(const Arguments& aArguments)
{
  constexpr std::size_t kTasks = 1300;
  Deployment deployment(aArguments.program, aArguments.folder, aArguments.record, 3, 2, { "a" });
  deployment.world.isVerbose = false;
  bool couldRun = deployment.Start();
  std::string job = deployment.NewJobId();
  deployment.world.jobs[job] = { milliseconds(4200), milliseconds(80), "" };
  bool areAllStarted = false;
  bool isCompleted = false;
  deployment.world.onStart = [&](const std::shared_ptr<Run>&) {
    if (deployment.world.runs.size() != kTasks) {
      return;
    }
    areAllStarted = true;
    deployment.record.Add("all tasks have been started");
    if (!aArguments.hasTrouble) {
      return;
    }
    deployment.record.Add("store down (503)");
    deployment.store.mode = daisydrift::soak::StoreMode::Busy;
    deployment.loop.After(milliseconds(4500), [&] {
      deployment.record.Add("store back");
      deployment.store.mode = daisydrift::soak::StoreMode::Available;
    });
  };
  deployment.loop.After(seconds(4), [&] {
    json steps = json::array(
      { { { "count", kTasks }, { "cpu", 20 }, { "mem_mb", 32 }, { "estimate_ms", 4200 } } });
    deployment.Submit(job, { { "spec", "notify" }, { "steps", steps } }, "a", [&](int aStatus) {
      couldRun = couldRun && aStatus == 200;
    });
  });
  std::function<void()> ask = [&] {
    deployment.Query(job, "a", [&](int, const std::string& aState) {
      if (aState == "completed") {
        isCompleted = true;
        deployment.loop.After(seconds(2), [&] { deployment.loop.Stop(); });
      } else {
        deployment.loop.After(seconds(1), ask);
      }
    });
  };
  deployment.loop.After(seconds(8), ask);
  deployment.loop.After(seconds(60), [&] { deployment.loop.Stop(); });
  deployment.loop.Run();
  std::map<std::string, std::size_t> starts;
  for (const auto& run : deployment.world.runs) {
    ++starts[run->runner];
  }
  for (const auto& [runner, count] : starts) {
    deployment.record.Add(runner + " starts=" + std::to_string(count));
  }
  std::size_t broken = CheckTwice(deployment.world);
  deployment.record.Add(
    "tasks=" + std::to_string(kTasks) + " starts=" + std::to_string(deployment.world.runs.size()) +
    " completed=" + std::to_string(isCompleted) + " broken=" + std::to_string(broken));
  return Finish(deployment, couldRun && areAllStarted);
}

/// A runner that drains is cut off and runs on; connections to it are refused.
int DrainingCut(const Arguments& aArguments)
{
  constexpr int kRunners = 8;
  Deployment deployment(
    aArguments.program, aArguments.folder, aArguments.record, 3, kRunners, { "a" });
  bool couldRun = deployment.Start();
  std::size_t accepted = 0;
  bool wasCut = false;
  deployment.loop.After(seconds(4), [&] {
    for (int number = 0; number < 4 * kRunners; ++number) {
      std::string job = deployment.NewJobId();
      deployment.world.jobs[job] = { seconds(14), {}, "" };
      json steps = json::array(
        { { { "count", 1 }, { "cpu", 2500 }, { "mem_mb", 512 }, { "estimate_ms", 14000 } } });
      deployment.Submit(job, { { "spec", "pay" }, { "steps", steps } }, "a", [&](int aStatus) {
        accepted += aStatus == 200 ? 1 : 0;
      });
    }
  });
  // Small jobs go on all the while, as on any day.
  std::function<void()> send = [&] {
    std::string job = deployment.NewJobId();
    deployment.world.jobs[job] = { milliseconds(200), {}, "" };
    json steps =
      json::array({ { { "count", 1 }, { "cpu", 200 }, { "mem_mb", 64 }, { "estimate_ms", 200 } } });
    deployment.Submit(job, { { "spec", "check" }, { "steps", steps } }, "b", [](int) {});
    deployment.loop.After(milliseconds(150), [&] {
      if (send) {
        send();
      }
    });
  };
  deployment.loop.After(milliseconds(4500), send);
  deployment.loop.After(seconds(30), [&] { send = nullptr; });
  Runner* drained = nullptr;
  deployment.loop.After(seconds(7), [&] {
    for (auto& runner : deployment.runners) {
      if (drained == nullptr || runner->CountRunning() > drained->CountRunning()) {
        drained = runner.get();
      }
    }
    couldRun = couldRun && drained->CountRunning() > 0;
    // It waits for what runs on it: at least 11 s more.
    drained->SetDraining(11000);
    deployment.record.Add("draining " + drained->Id() +
                          " running=" + std::to_string(drained->CountRunning()));
    if (!aArguments.hasTrouble) {
      return;
    }
    drained->onHold = [&] {
      Duration sinceBeat = deployment.loop.Now() - drained->LastBeat();
      if (wasCut || sinceBeat < milliseconds(600) || sinceBeat > milliseconds(1450)) {
        return;
      }
      wasCut = true;
      deployment.loop.After(milliseconds(5), [&] { drained->Cut(); });
      deployment.loop.After(milliseconds(5505), [&] { drained->Heal(); });
    };
  });
  deployment.loop.After(seconds(45), [&] { deployment.loop.Stop(); });
  deployment.loop.Run();
  std::size_t broken = CheckTwice(deployment.world);
  deployment.record.Add("accepted=" + std::to_string(accepted) +
                        " starts=" + std::to_string(deployment.world.runs.size()) +
                        " broken=" + std::to_string(broken));
  return Finish(deployment,
                couldRun && accepted == 4 * kRunners && wasCut == aArguments.hasTrouble);
}

/// Small jobs of one tenant, and a few scheduled jobs of another one.
int LongSchedule(const Arguments& aArguments)
{
  constexpr milliseconds kJobInterval{ 250 };
  constexpr seconds kTrafficBegin{ 4 };
  constexpr seconds kTroubleAt{ 12 };
  constexpr seconds kTrafficEnd{ 42 };
  constexpr seconds kFinish{ 14 };
  Deployment deployment(aArguments.program, aArguments.folder, aArguments.record, 3, 4, { "a" });
  bool couldRun = deployment.Start();
  std::vector<std::string> accepted;
  std::map<std::string, std::string> states;
  std::function<void()> send = [&] {
    std::string job = deployment.NewJobId();
    deployment.world.jobs[job] = { milliseconds(300), {}, "" };
    json steps = json::array(
      { { { "count", 2 }, { "cpu", 1000 }, { "mem_mb", 256 }, { "estimate_ms", 300 } } });
    deployment.Submit(job, { { "spec", "check" }, { "steps", steps } }, "a", [&, job](int aStatus) {
      if (aStatus == 200) {
        accepted.push_back(job);
      }
    });
    deployment.loop.After(kJobInterval, [&] {
      if (send) {
        send();
      }
    });
  };
  deployment.loop.After(kTrafficBegin, send);
  deployment.loop.After(kTrafficEnd, [&] { send = nullptr; });
  if (aArguments.hasTrouble) {
    deployment.loop.After(kTroubleAt, [&] {
      std::string job = deployment.NewJobId();
      deployment.world.jobs[job] = { milliseconds(300), {}, "" };
      json steps = json::array();
      for (int step = 0; step < 64; ++step) {
        json entry{ { "count", 1 }, { "cpu", 100 }, { "mem_mb", 64 }, { "estimate_ms", 300 } };
        if (step > 0) {
          entry["after"] = json::array({ step - 1 });
        }
        steps.push_back(entry);
      }
      auto now = deployment.loop.WallClockNow().time_since_epoch().count();
      json body{ { "spec", "watch" },
                 { "steps", steps },
                 { "repetitions", 3600 },
                 { "start_at_ms", now - 15 * 60 * 1000 },
                 { "interval_ms", 1000 } };
      deployment.Submit(job, body, "b", [&](int aStatus) {
        couldRun = couldRun && aStatus == 200;
        deployment.record.Add("the scheduled job has been answered");
      });
    });
  }
  std::function<void(std::size_t)> ask = [&](std::size_t aIndex) {
    if (aIndex >= accepted.size()) {
      // What has nothing running now and begins nothing for 3 s.
      auto startsBefore = std::make_shared<std::size_t>(deployment.world.runs.size());
      deployment.loop.After(seconds(3), [&, startsBefore] {
        std::size_t begun = deployment.world.runs.size() - *startsBefore;
        std::size_t running = 0;
        for (const auto& runner : deployment.runners) {
          running += runner->CountRunning();
        }
        std::size_t open = 0;
        for (const std::string& job : accepted) {
          bool hasRun = false;
          for (const auto& run : deployment.world.runs) {
            hasRun = hasRun || run->task.rfind(job, 0) == 0;
          }
          if (states[job] != "completed" && !hasRun) {
            ++open;
            deployment.record.Violation(
              "LOST: job " + job + " (accepted) is '" + states[job] +
              "' and nothing of it has ever run; starts in 3 s: " + std::to_string(begun) +
              ", tasks running: " + std::to_string(running));
          }
        }
        deployment.record.Add("accepted=" + std::to_string(accepted.size()) +
                              " never run=" + std::to_string(open) +
                              " values refused=" + std::to_string(deployment.front->refusedValues) +
                              " largest value=" + std::to_string(deployment.front->largestValue));
        deployment.loop.Stop();
      });
      return;
    }
    deployment.Query(accepted[aIndex], "a", [&, aIndex](int, const std::string& aState) {
      states[accepted[aIndex]] = aState;
      ask(aIndex + 1);
    });
  };
  deployment.loop.After(kTrafficEnd + kFinish, [&] { ask(0); });
  deployment.loop.After(seconds(110), [&] { deployment.loop.Stop(); });
  deployment.loop.Run();
  return Finish(deployment, couldRun && accepted.size() > 20);
}

/// A runner crashes and starts again under its id as another kind; jobs need the kind that it had.
int OtherKind(const Arguments& aArguments)
{
  Deployment deployment(
    aArguments.program, aArguments.folder, aArguments.record, 3, 8, { "a", "b" });
  bool couldRun = deployment.Start();
  std::size_t accepted = 0;
  std::map<std::string, Runner*> byId;
  for (auto& runner : deployment.runners) {
    byId[runner->Id()] = runner.get();
  }
  deployment.world.onStart = [&](const std::shared_ptr<Run>& aRun) {
    const std::string& label =
      deployment.world.jobs[aRun->task.substr(0, aRun->task.find('.'))].label;
    if (byId[aRun->runner]->Kind() != label) {
      deployment.record.Violation("ROUTE: " + aRun->task + " needs the label '" + label +
                                  "' and was started on " + aRun->runner + ", which is of kind '" +
                                  byId[aRun->runner]->Kind() + "'");
    }
  };
  std::function<void()> send = [&] {
    std::string job = deployment.NewJobId();
    deployment.world.jobs[job] = { milliseconds(700), {}, "a" };
    json steps = json::array({ { { "count", 6 },
                                 { "cpu", 2000 },
                                 { "mem_mb", 256 },
                                 { "estimate_ms", 700 },
                                 { "constraints", "a" } } });
    deployment.Submit(job, { { "spec", "check" }, { "steps", steps } }, "a", [&](int aStatus) {
      accepted += aStatus == 200 ? 1 : 0;
    });
    deployment.loop.After(milliseconds(200), [&] {
      if (send) {
        send();
      }
    });
  };
  deployment.loop.After(seconds(4), send);
  if (aArguments.hasTrouble) {
    deployment.loop.After(seconds(8), [&] {
      // The first beat of the new life comes after one interval.
      deployment.runners[0]->CrashAndRestart(milliseconds(1000), "b", kHeartbeat);
    });
  }
  deployment.loop.After(seconds(18), [&] { send = nullptr; });
  deployment.loop.After(seconds(22), [&] { deployment.loop.Stop(); });
  deployment.loop.Run();
  return Finish(deployment, couldRun && accepted > 20);
}

/// Two upkeep waves of the operator that have machines in common.
int TwoWaves(const Arguments& aArguments)
{
  Deployment deployment(
    aArguments.program, aArguments.folder, aArguments.record, 3, 8, { "a" }, true);
  bool couldRun = deployment.Start();
  std::map<std::string, std::vector<std::string>> waves{
    { "1", { "m-0", "m-1", "m-2", "m-3" } },
    { "2",
      aArguments.hasTrouble ? std::vector<std::string>{ "m-2", "m-3", "m-4", "m-5" }
                            : std::vector<std::string>{ "m-4", "m-5", "m-6", "m-7" } }
  };
  std::set<std::string> completed;
  auto request = [&](const std::string& aWave) {
    deployment.record.Add("op/wave/" + aWave + " " + json(waves[aWave]).dump() + " maximum=1");
    deployment.store.Put("op/wave/" + aWave,
                         json{ { "wave", std::stoi(aWave) },
                               { "machines", waves[aWave] },
                               { "duration_s", 40 },
                               { "maximum", 1 } }
                           .dump());
  };
  deployment.loop.After(seconds(4), [&] { request("1"); });
  deployment.loop.After(seconds(5), [&] { request("2"); });
  std::function<void()> look = [&] {
    for (const auto& [wave, machines] : waves) {
      deployment.ReadStore("status/wave/" + wave, [&, wave = wave](const std::string& aValue) {
        json status = json::parse(aValue, nullptr, false);
        bool isCompleted = status.is_object() && status.value("state", "") == "completed";
        if (!isCompleted || !completed.insert(wave).second) {
          return;
        }
        deployment.record.Add("status/wave/" + wave + " is completed");
        for (const std::string& machine : waves[wave]) {
          if (deployment.cloud->upkeeps.count({ machine, wave }) == 0) {
            deployment.record.Violation("MIXED: wave " + wave + " is said to be completed, and " +
                                        machine + " has not begun its upkeep for it");
          }
        }
        if (completed.size() == waves.size()) {
          deployment.loop.After(seconds(1), [&] { deployment.loop.Stop(); });
        }
      });
    }
    deployment.loop.After(milliseconds(100), look);
  };
  deployment.loop.After(seconds(4), look);
  deployment.loop.After(seconds(70), [&] { deployment.loop.Stop(); });
  deployment.loop.Run();
  return Finish(deployment, couldRun && completed.size() == waves.size());
}

/// Asks for the jobs and records those of which nothing has run and, for 3 s, nothing is running.
void CheckWaiting(Deployment& aDeployment,
                  std::shared_ptr<std::vector<std::string>> aJobs,
                  std::string aQueue,
                  std::function<void()> aDone)
{
  auto states = std::make_shared<std::map<std::string, std::string>>();
  auto ask = std::make_shared<std::function<void(std::size_t)>>();
  *ask = [&aDeployment, aJobs, aQueue, aDone, states, ask](std::size_t aIndex) {
    if (aIndex < aJobs->size()) {
      std::string job = (*aJobs)[aIndex];
      aDeployment.Query(
        job,
        "a",
        [states, ask, job, aIndex](int, const std::string& aState) {
          (*states)[job] = aState;
          (*ask)(aIndex + 1);
        },
        aQueue);
      return;
    }
    aDeployment.loop.After(seconds(3), [&aDeployment, aJobs, aDone, states] {
      std::set<std::string> begun;
      for (const auto& run : aDeployment.world.runs) {
        begun.insert(run->task.substr(0, run->task.find('.')));
      }
      std::size_t running = 0;
      for (const auto& runner : aDeployment.runners) {
        running += runner->CountRunning();
      }
      std::size_t open = 0;
      for (const std::string& job : *aJobs) {
        if ((*states)[job] != "completed" && begun.count(job) == 0) {
          ++open;
          aDeployment.record.Violation(
            "LOST: job " + job + " (accepted) is '" + (*states)[job] +
            "' and nothing of it has ever run; tasks running on all runners: " +
            std::to_string(running));
        }
      }
      aDeployment.record.Add("accepted=" + std::to_string(aJobs->size()) +
                             " never run=" + std::to_string(open));
      aDone();
    });
  };
  (*ask)(0);
}

/// One runner of a kind that a lasting task and batch jobs need fails all that it starts for a
/// while.
int GreyThenLasting(const Arguments& aArguments)
{
  constexpr int kRunners = 12;
  constexpr seconds kTrafficEnd{ 38 };
  std::vector<std::string> kinds(kRunners, "a");
  kinds[0] = "g";
  Deployment deployment(
    aArguments.program, aArguments.folder, aArguments.record, 3, kRunners, kinds);
  bool couldRun = deployment.Start();
  auto late = std::make_shared<std::vector<std::string>>();
  std::string watch = deployment.NewJobId();
  deployment.world.jobs[watch] = { milliseconds(300), {}, "g", true };
  deployment.loop.After(seconds(4), [&] {
    json steps = json::array({ { { "count", 1 },
                                 { "cpu", 1000 },
                                 { "mem_mb", 512 },
                                 { "constraints", "g" },
                                 { "long_running", true } } });
    deployment.Submit(
      watch,
      { { "spec", "watch" }, { "steps", steps } },
      "b",
      [&](int aStatus) { couldRun = couldRun && aStatus == 200; },
      "watch");
  });
  std::size_t sent = 0;
  std::function<void()> send = [&] {
    std::string job = deployment.NewJobId();
    bool isLate = ++sent > 50; // Handed in from some 10 s after the disruption on.
    deployment.world.jobs[job] = { milliseconds(300), {}, "g", false };
    json steps = json::array({ { { "count", 1 },
                                 { "cpu", 1000 },
                                 { "mem_mb", 256 },
                                 { "estimate_ms", 300 },
                                 { "constraints", "g" } } });
    deployment.Submit(
      job,
      { { "spec", "pay" }, { "steps", steps } },
      "a",
      [&, job, isLate](int aStatus) {
        if (aStatus == 200 && isLate) {
          late->push_back(job);
        }
      },
      "batch");
    deployment.loop.After(milliseconds(400), [&] {
      if (send) {
        send();
      }
    });
  };
  deployment.loop.After(seconds(5), send);
  deployment.loop.After(kTrafficEnd, [&] { send = nullptr; });
  if (aArguments.hasTrouble) {
    deployment.loop.After(seconds(8), [&] { deployment.runners[0]->SetGrey(true); });
    deployment.loop.After(milliseconds(8000 + 6500),
                          [&] { deployment.runners[0]->SetGrey(false); });
  }
  deployment.loop.After(kTrafficEnd + seconds(14), [&] {
    CheckWaiting(deployment, late, "batch", [&] { deployment.loop.Stop(); });
  });
  deployment.loop.After(seconds(110), [&] { deployment.loop.Stop(); });
  deployment.loop.Run();
  return Finish(deployment, couldRun && late->size() > 20);
}

/// Lasting tasks leave one runner of eight empty, and that one is lost; batch tasks need most of a
/// runner.
int Headroom(const Arguments& aArguments)
{
  constexpr seconds kTrafficEnd{ 20 };
  Deployment deployment(aArguments.program, aArguments.folder, aArguments.record, 3, 8, { "a" });
  bool couldRun = deployment.Start();
  auto jobs = std::make_shared<std::vector<std::string>>();
  std::string watch = deployment.NewJobId();
  deployment.world.jobs[watch] = { milliseconds(300), {}, "", true };
  deployment.loop.After(seconds(4), [&] {
    json steps = json::array({ { { "count", 7 },
                                 { "cpu", 500 },
                                 { "mem_mb", 512 },
                                 { "anti_affinity", 1 },
                                 { "long_running", true } } });
    deployment.Submit(
      watch,
      { { "spec", "watch" }, { "steps", steps } },
      "b",
      [&](int aStatus) { couldRun = couldRun && aStatus == 200; },
      "watch");
  });
  if (aArguments.hasTrouble) {
    deployment.loop.After(seconds(7), [&] {
      for (auto& runner : deployment.runners) {
        if (runner->CountRunning() == 0) {
          deployment.record.Add("lost for good: " + runner->Id());
          runner->GoDown();
        }
      }
    });
  }
  std::function<void()> send = [&] {
    std::string job = deployment.NewJobId();
    deployment.world.jobs[job] = { milliseconds(500), {}, "", false };
    json steps = json::array(
      { { { "count", 1 }, { "cpu", 14500 }, { "mem_mb", 1024 }, { "estimate_ms", 500 } } });
    deployment.Submit(
      job,
      { { "spec", "pay" }, { "steps", steps } },
      "a",
      [&, job](int aStatus) {
        if (aStatus == 200) {
          jobs->push_back(job);
        }
      },
      "batch");
    deployment.loop.After(seconds(1), [&] {
      if (send) {
        send();
      }
    });
  };
  deployment.loop.After(seconds(9), send);
  deployment.loop.After(kTrafficEnd, [&] { send = nullptr; });
  deployment.loop.After(kTrafficEnd + seconds(14), [&] {
    CheckWaiting(deployment, jobs, "batch", [&] { deployment.loop.Stop(); });
  });
  deployment.loop.After(seconds(110), [&] { deployment.loop.Stop(); });
  deployment.loop.Run();
  return Finish(deployment, couldRun && jobs->size() > 5);
}

/// Batch jobs whose tasks take ten minutes; without the disruption 30 s.
int LongTasks(const Arguments& aArguments)
{
  constexpr seconds kTrafficEnd{ 60 };
  constexpr milliseconds kSample{ 50 };
  constexpr milliseconds kBound{ 3000 };
  Deployment deployment(aArguments.program, aArguments.folder, aArguments.record, 3, 4, { "a" });
  bool couldRun = deployment.Start();
  milliseconds length = aArguments.hasTrouble ? milliseconds(600'000) : milliseconds(30'000);
  std::vector<std::string> large;
  std::set<std::string> completed;
  deployment.loop.After(seconds(8), [&] {
    for (int number = 0; number < 2; ++number) {
      std::string job = deployment.NewJobId();
      deployment.world.jobs[job] = { length, {}, "", false };
      json steps = json::array({ { { "count", 1 },
                                   { "cpu", 2500 },
                                   { "mem_mb", 1024 },
                                   { "estimate_ms", length.count() } } });
      deployment.Submit(
        job,
        { { "spec", "pay" }, { "steps", steps } },
        "b",
        [&, job](int aStatus) {
          if (aStatus == 200) {
            large.push_back(job);
          }
        },
        "batch");
    }
  });
  std::function<void()> send = [&] {
    std::string job = deployment.NewJobId();
    deployment.world.jobs[job] = { milliseconds(300), {}, "", false };
    json steps = json::array(
      { { { "count", 1 }, { "cpu", 1000 }, { "mem_mb", 256 }, { "estimate_ms", 300 } } });
    deployment.Submit(job, { { "spec", "check" }, { "steps", steps } }, "a", [](int) {});
    deployment.loop.After(milliseconds(500), [&] {
      if (send) {
        send();
      }
    });
  };
  deployment.loop.After(seconds(4), send);
  deployment.loop.After(kTrafficEnd, [&] { send = nullptr; });
  // From finish_s after the traffic on: the time since when nothing of a job has been running.
  std::map<std::string, TimePoint> idleSince;
  std::map<std::string, Duration> longestIdle;
  std::function<void()> sample = [&] {
    TimePoint now = deployment.loop.Now();
    std::set<std::string> running;
    for (const auto& run : deployment.world.runs) {
      if (!run->isEnded) {
        running.insert(run->task.substr(0, run->task.find('.')));
      }
    }
    for (const std::string& job : large) {
      if (running.count(job) != 0 || completed.count(job) != 0) {
        idleSince.erase(job);
      } else {
        TimePoint since = idleSince.try_emplace(job, now).first->second;
        longestIdle[job] = std::max(longestIdle[job], now - since);
      }
    }
    deployment.loop.After(kSample, sample);
  };
  deployment.loop.After(kTrafficEnd + seconds(14), [&] {
    for (const std::string& job : large) {
      deployment.Query(
        job,
        "b",
        [&, job](int, const std::string& aState) {
          if (aState == "completed") {
            completed.insert(job);
          }
        },
        "batch");
    }
  });
  deployment.loop.After(kTrafficEnd + seconds(15), sample);
  deployment.loop.After(seconds(105), [&] { deployment.loop.Stop(); });
  deployment.loop.Run();
  for (const std::string& job : large) {
    std::size_t runs = 0;
    std::size_t stopped = 0;
    for (const auto& run : deployment.world.runs) {
      bool isOfJob = run->task.rfind(job, 0) == 0;
      runs += isOfJob ? 1 : 0;
      stopped += isOfJob && run->how == "stopped" ? 1 : 0;
    }
    auto idle = std::chrono::duration_cast<milliseconds>(longestIdle[job]);
    deployment.record.Add("job " + job + " runs=" + std::to_string(runs) +
                          " stopped=" + std::to_string(stopped) +
                          " completed=" + std::to_string(completed.count(job)) +
                          " longest time without a run, ms=" + std::to_string(idle.count()));
    if (idle >= kBound) {
      deployment.record.Violation(
        "LOST: job " + job + " (accepted) has had nothing running for " +
        std::to_string(idle.count()) +
        " ms on four sound runners that ran nothing else; its one task was "
        "stopped " +
        std::to_string(stopped) + " times");
    }
  }
  return Finish(deployment, couldRun && large.size() == 2);
}

/// A call to a runner is carried out late by its next life, which grants the longest lease; then
/// the runner is cut off (KNOWN-RED.txt, dispatch.RestartedWorkerTest).
int LateCallToNextLife(const Arguments& aArguments)
{
  constexpr int kRunners = 8;
  Deployment deployment(
    aArguments.program, aArguments.folder, aArguments.record, 3, kRunners, { "a" });
  bool couldRun = deployment.Start();
  Runner& struck = *deployment.runners[0];
  bool wasCut = false;
  std::function<void()> send = [&] {
    std::string job = deployment.NewJobId();
    deployment.world.jobs[job] = { seconds(9), {}, "" };
    json steps = json::array(
      { { { "count", 2 }, { "cpu", 1500 }, { "mem_mb", 256 }, { "estimate_ms", 9000 } } });
    deployment.Submit(job, { { "spec", "pay" }, { "steps", steps } }, "a", [](int) {});
    deployment.loop.After(milliseconds(300), [&] {
      if (send) {
        send();
      }
    });
  };
  deployment.loop.After(seconds(4), send);
  deployment.loop.After(seconds(30), [&] { send = nullptr; });
  if (aArguments.hasTrouble) {
    deployment.loop.After(seconds(20), [&] { struck.HoldBackNextCall(); });
    deployment.loop.After(milliseconds(21500), [&] {
      struck.CrashAndRestart(milliseconds(500), "", milliseconds(100));
    });
    deployment.loop.After(milliseconds(24500), [&] {
      couldRun = couldRun && struck.HasHeldCall();
      if (!struck.HasHeldCall()) {
        return;
      }
      struck.ReleaseHeldCall();
      wasCut = true;
      deployment.loop.After(milliseconds(5), [&] { struck.Cut(); });
      deployment.loop.After(milliseconds(5505), [&] { struck.Heal(); });
    });
  }
  deployment.loop.After(seconds(60), [&] { deployment.loop.Stop(); });
  deployment.loop.Run();
  CheckTwice(deployment.world);
  return Finish(deployment, couldRun && wasCut == aArguments.hasTrouble);
}

int RunCase(const std::string& aCase, const Arguments& aArguments)
{
  static const std::map<std::string, int (*)(const Arguments&)> kCases{
    { "many-ends", ManyEnds },         { "draining-cut", DrainingCut },
    { "long-schedule", LongSchedule }, { "other-kind", OtherKind },
    { "two-waves", TwoWaves },         { "grey-then-lasting", GreyThenLasting },
    { "headroom", Headroom },          { "late-call-to-next-life", LateCallToNextLife },
    { "long-tasks", LongTasks },
  };
  auto found = kCases.find(aCase);
  return found == kCases.end() ? kCouldNotRun : found->second(aArguments);
}
} // namespace
} // namespace review

int main(int aCount, char** aArguments)
{
  if (aCount != 6) {
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  review::Arguments arguments{
    aArguments[2], aArguments[3], aArguments[4], std::string(aArguments[5]) != "0"
  };
  try {
    return review::RunCase(aArguments[1], arguments);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
