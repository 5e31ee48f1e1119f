// Replays a burst, and a team with several times its load, with and without admission. Guards
// against refusing jobs that would end while they have value, against accepting work that is never
// done, and against a team whose load has other teams' jobs refused.

#include "DispatcherFixture.h"
#include "LoadReplay.h"

#include <algorithm>
#include <iostream>

namespace daisydrift {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{ 20 };
constexpr milliseconds kAnnounceInterval{ 700 };
constexpr milliseconds kEstimate{ 640 };
constexpr std::int64_t kTaskMilliCores = 2000;
constexpr std::int64_t kWorkerMilliCores = 32000;
constexpr int kNoValueFactor = 3;
/// Run times, in hundredths of the estimate, are at least kMinRun and below kMinRun + kRunSpread.
constexpr std::uint32_t kMinRun = 70;
constexpr std::uint32_t kRunSpread = 60;

struct Outcome
{
  std::string team;
  bool isRefused = false;
  /// Ended while it had value.
  bool isServed = false;
};

struct Totals
{
  std::size_t jobs = 0;
  std::size_t refused = 0;
  std::size_t served = 0;
  /// Served in the replay without admission; of all, and of those that are refused with it.
  std::size_t servedWithout = 0;
  std::size_t wrongly = 0;
};

/// One replay; the same arrivals with and without admission are compared.
class Replay : public DispatcherFixture
{
public:
  Replay(int aWorkers, std::int64_t aCeilingMilliCores)
  {
    for (int team = 0; team < 20; ++team) {
      std::string name = std::to_string(team);
      this->policy.teams[name] = { name, 1000, { aCeilingMilliCores, 0, 0 } };
    }
    this->ceiling = { aCeilingMilliCores, 0, 0 };
    this->dispatcher.SetPolicy(this->policy);
    for (int number = 0; number < aWorkers; ++number) {
      this->AddWorker("w" + std::to_string(100 + number), kWorkerMilliCores);
    }
  }

  /// Replays the table several times in a row.
  void Run(const std::string& aTable, int aRepeats, bool aHasAdmission)
  {
    std::vector<RecordedJob> table = ReadRecordedLoad(aTable);
    ASSERT_FALSE(table.empty());
    std::vector<RecordedJob> load;
    for (int repeat = 0; repeat < aRepeats; ++repeat) {
      for (RecordedJob job : table) {
        job.arrival += table.back().arrival * repeat;
        load.push_back(job);
      }
    }
    TimePoint begin = this->now;
    TimePoint end = begin + load.back().arrival + std::chrono::seconds(20);
    TimePoint nextAnnouncement = begin;
    for (std::size_t next = 0; this->now < end; this->Advance(kTick)) {
      if (this->now >= nextAnnouncement) {
        this->forecast = this->dispatcher.Forecast(this->now);
        ++this->forecast.sequence;
        this->announcedAt = this->now;
        nextAnnouncement = this->now + kAnnounceInterval;
      }
      while (next < load.size() && begin + load[next].arrival <= this->now) {
        this->Arrive(load[next++], aHasAdmission);
      }
      this->ReportAll();
      for (const StartCommand& command : this->RoundAccepted()) {
        std::uint32_t share =
          kMinRun + (command.task.index * 37 + command.task.step * 11) % kRunSpread;
        this->runs.push_back({ command, this->now + kEstimate * share / 100 });
      }
    }
  }

  void Arrive(const RecordedJob& aRecorded, bool aHasAdmission)
  {
    JobDefinition job = Job("job" + std::to_string(this->outcomes.size()), 1, kTaskMilliCores);
    job.team = aRecorded.team;
    StepSpec step = job.steps.front();
    step.estimate = kEstimate;
    job.steps.clear();
    for (std::uint32_t number = 0; number < aRecorded.widths.size(); ++number) {
      step.taskCount = aRecorded.widths[number];
      step.dependencies.clear();
      if (number > 0) {
        step.dependencies = { number - 1 };
      }
      job.steps.push_back(step);
    }
    ForecastJob described = ForecastJobOf(job, this->policy.queues["quick"], this->ceiling);
    std::optional<AdmissionRefusal> refusal = this->admission.Decide(
      job.id, described, this->forecast, this->now - this->announcedAt, this->now);
    Outcome outcome{ aRecorded.team, aHasAdmission && refusal.has_value(), false };
    this->outcomes.push_back(outcome);
    this->noValueAt.push_back(this->now + described.objective * kNoValueFactor);
    if (!outcome.isRefused) {
      this->Add(job);
      this->open.push_back(this->outcomes.size() - 1);
    }
  }

  void ReportAll()
  {
    std::map<WorkerId, std::pair<std::vector<RunningTask>, std::vector<RunCompletion>>> reports;
    for (const WorkerId& worker : this->dispatcher.Workers()) {
      reports[worker];
    }
    int percent = static_cast<int>(this->nextCompletion % 100); // Progress keeps changing.
    std::erase_if(this->runs, [&](const auto& aRun) {
      auto& [running, completions] = reports[aRun.first.worker];
      if (aRun.second > this->now) {
        running.push_back(Running(aRun.first, percent));
        return false;
      }
      completions.push_back(this->Completion(aRun.first, RunOutcome::Succeeded));
      return true;
    });
    for (auto& [worker, report] : reports) {
      this->Report(worker, report.first, report.second);
    }
    std::erase_if(this->open, [&](std::size_t aJob) {
      bool isDone =
        this->dispatcher.State("job" + std::to_string(aJob)) == DispatchState::Completed;
      this->outcomes[aJob].isServed = isDone && this->now <= this->noValueAt[aJob];
      return isDone;
    });
  }

  void TestBody() override {}

  std::vector<Outcome> outcomes;

private:
  AdmissionPolicy admission{ 1 };
  Resources ceiling;
  FleetForecast forecast;
  TimePoint announcedAt;
  std::vector<TimePoint> noValueAt;
  std::vector<std::size_t> open;
  std::vector<std::pair<StartCommand, TimePoint>> runs;
};

/// Totals of the jobs for which aIsCounted is true of the team, in a replay with admission, and how
/// many of those that it refused were served in the replay without.
template<typename Filter>
Totals Count(const Replay& aWith, const Replay& aWithout, const Filter& aIsCounted)
{
  Totals totals;
  for (std::size_t job = 0; job < aWith.outcomes.size(); ++job) {
    const Outcome& outcome = aWith.outcomes[job];
    if (aIsCounted(outcome.team)) {
      ++totals.jobs;
      totals.refused += outcome.isRefused ? 1 : 0;
      totals.served += outcome.isServed ? 1 : 0;
      totals.servedWithout += aWithout.outcomes[job].isServed ? 1 : 0;
      totals.wrongly += outcome.isRefused && aWithout.outcomes[job].isServed ? 1 : 0;
    }
  }
  return totals;
}

void Print(const char* aReplay, const Totals& aTotals)
{
  std::cout << "replay=" << aReplay << " jobs=" << aTotals.jobs << " refused=" << aTotals.refused
            << " served=" << aTotals.served << " served_without=" << aTotals.servedWithout
            << " refused_but_served_without=" << aTotals.wrongly << "\n";
}

/// On so many workers, fewer than half of the burst's jobs are served.
constexpr int kBurstWorkers = 20;
constexpr int kTeamWorkers = 80;
/// A fifth of the overloading team's peak demand.
constexpr std::int64_t kCeilingMilliCores = 300000;
/// The recorded periods are about as long as a job has value, so a backlog builds up over several.
constexpr int kRepeats = 3;
/// Of the refused jobs, fewer than one in this many would be served without admission, in place of
/// an accepted one: at the end of a burst, the newest jobs go before those that are late by then.
constexpr std::size_t kReplacedShare = 5;

void ExpectAccepted(const Totals& aTotals)
{
  EXPECT_GT(aTotals.refused, 0U);
  EXPECT_GT(aTotals.served, aTotals.servedWithout);
  EXPECT_LT(aTotals.wrongly * kReplacedShare, aTotals.refused);
}

TEST(AdmissionReplayTest, InABurstMoreJobsAreServedAndFewerAreAcceptedInVain)
{
  Replay with(kBurstWorkers, 0);
  Replay without(kBurstWorkers, 0);
  with.Run("burst-first-priority.txt", kRepeats, true);
  without.Run("burst-first-priority.txt", kRepeats, false);
  Totals all = Count(with, without, [](const std::string&) { return true; });
  Print("burst", all);
  ExpectAccepted(all);
}

TEST(AdmissionReplayTest, OnlyTheTeamAboveItsCeilingIsRefused)
{
  Replay with(kTeamWorkers, kCeilingMilliCores);
  Replay without(kTeamWorkers, kCeilingMilliCores);
  with.Run("flooding-team.txt", kRepeats, true);
  without.Run("flooding-team.txt", kRepeats, false);
  Totals team = Count(with, without, [](const std::string& aTeam) { return aTeam == "0"; });
  Totals others = Count(with, without, [](const std::string& aTeam) { return aTeam != "0"; });
  Print("team", team);
  Print("others", others);
  ExpectAccepted(team);
  EXPECT_EQ(others.refused, 0U);
  EXPECT_EQ(others.served, others.jobs);
}

// Guards against refusals on a fleet with room.
TEST(AdmissionReplayTest, ABurstThatFitsIsAdmitted)
{
  constexpr int kManyWorkers = 80;
  Replay with(kManyWorkers, 0);
  with.Run("burst-first-priority.txt", 1, true);
  Totals all = Count(with, with, [](const std::string&) { return true; });
  EXPECT_EQ(all.refused, 0U);
  EXPECT_EQ(all.served, all.jobs);
}

} // namespace
} // namespace daisydrift
