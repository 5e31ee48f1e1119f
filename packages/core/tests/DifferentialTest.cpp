// Guards against: incremental sums, indexes and queues that drift from the truth. Every start must
// be the one that a scheduler without any of them would make next, and none may be missing.

#include "NaiveScheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisydrift {
namespace {

/// Plays events into both schedulers. Time stays short of the delays after which reservations and
/// reclaiming begin, and debts are kept at zero, since the naive scheduler knows neither.
class Pair
{
public:
  Pair()
    : scheduler(Settings())
  {
    for (std::size_t i = 0; i < 8; ++i) {
      this->SetWorker(i, WorkerHealth::Live, 8);
    }
    this->SetTeams(0);
  }

  void Step(std::uint32_t aNumber)
  {
    std::uint32_t value = aNumber / 8;
    switch (aNumber % 8) {
      case 0:
      case 1:
      case 2:
        this->AddJob(value);
        break;
      case 3:
      case 4:
        this->EndOne(value);
        break;
      case 5:
        this->SetWorker(value % 8, static_cast<WorkerHealth>(value / 8 % 3), 8 + value / 24 % 2);
        break;
      case 6:
        this->SetTeams(value);
        break;
      default:
        this->ToggleDrain(value);
    }
    this->Compare();
  }

  std::string violation;

private:
  static PolicySettings Settings()
  {
    PolicySettings settings;
    settings.debtHalfLife = std::chrono::hours(1000000);
    settings.refillStartsPerSecond = 1000000000;
    return settings;
  }

  void AddJob(std::uint32_t aNumber)
  {
    JobSpec spec;
    spec.number = this->nextJob++;
    spec.team = std::string(1, static_cast<char>('s' + aNumber % 3));
    spec.kind = "k" + std::to_string(aNumber / 3 % 2);
    spec.taskCount = 1 + aNumber / 6 % 8;
    spec.size = { 1000 * static_cast<std::int64_t>(1 + aNumber / 48 % 5),
                  256 << (aNumber / 240 % 5),
                  0 };
    this->naive.jobs[spec.number] = { spec, spec.taskCount };
    (void)this->scheduler.AddJob(spec, this->now);
  }

  void EndOne(std::uint32_t aNumber)
  {
    if (this->naive.running.empty()) {
      return;
    }
    auto it = std::next(this->naive.running.begin(),
                        static_cast<std::ptrdiff_t>(aNumber % this->naive.running.size()));
    AttemptId attempt = it->first;
    bool isDone = aNumber / 64 % 2 == 0;
    this->naive.jobs[attempt.task.job].waiting += isDone ? 0 : 1;
    this->naive.running.erase(it);
    auto outcome = isDone ? AttemptOutcome::Succeeded : AttemptOutcome::Interrupted;
    this->scheduler.OnEnded(attempt, outcome, "", this->now);
  }

  void SetWorker(std::size_t aIndex, WorkerHealth aHealth, std::int64_t aCores)
  {
    WorkerDescription worker{ "w" + std::to_string(aIndex),
                              std::string(1, static_cast<char>('a' + aIndex % 2)),
                              "r",
                              { 1000 * aCores, 8192, 0 },
                              aHealth };
    auto it = this->naive.workers.find(worker.id);
    if (it != this->naive.workers.end()) {
      // Capacity only grows: a smaller one would stop work, which the naive scheduler does not.
      worker.capacity.milliCores =
        std::max(worker.capacity.milliCores, it->second.capacity.milliCores);
    }
    this->naive.workers[worker.id] = worker;
    this->scheduler.UpdateWorker(worker, this->now);
  }

  void SetTeams(std::uint32_t aNumber)
  {
    this->naive.teams.clear();
    for (std::uint32_t i = 0; i < 3; ++i) {
      // Ceilings are never below what runs: a lower one would stop work.
      bool isLow = aNumber > 0 && (aNumber >> i) % 2 == 1;
      std::string name(1, static_cast<char>('s' + i));
      Resources ceiling = { isLow ? 20000 : 1000000, 1000000, 0 };
      this->naive.teams.push_back({ name, 1 + i, ceiling, isLow ? 30U : 1000U });
    }
    for (const auto& [attempt, entry] : this->naive.running) {
      (void)attempt;
      const JobSpec& spec = this->naive.jobs[entry.job].spec;
      TeamPolicy& team = this->naive.teams[static_cast<std::size_t>(spec.team[0] - 's')];
      team.ceiling = { 1000000, 1000000, 0 };
      team.maxRunningTasks = 1000;
    }
    this->scheduler.SetTeams(this->naive.teams, this->now);
  }

  void ToggleDrain(std::uint32_t aNumber)
  {
    FailureDomain domain(1, static_cast<char>('a' + aNumber % 2));
    if (this->naive.drained.erase(domain) == 0) {
      this->naive.drained.insert(domain);
    }
    this->scheduler.SetDrainedFailureDomains(this->naive.drained, this->now);
  }

  void Compare()
  {
    this->now += std::chrono::milliseconds(25);
    for (const Decision& decision : this->scheduler.Decide(this->now, 100000)) {
      const auto* start = std::get_if<StartDecision>(&decision);
      if (start == nullptr) {
        continue;
      }
      JobNumber job = start->attempt.task.job;
      std::set<JobNumber> expected = this->naive.Next();
      if (!expected.contains(job)) {
        this->Violate("started " + std::to_string(job) + " instead of " +
                      (expected.empty() ? "nothing" : std::to_string(*expected.begin())));
      }
      if (!this->naive.MayStart(this->naive.jobs[job].spec, start->worker)) {
        this->Violate("started " + std::to_string(job) + " on " + start->worker + " without room");
      }
      this->naive.running[start->attempt] = { job, start->worker };
      --this->naive.jobs[job].waiting;
    }
    std::set<JobNumber> missing = this->naive.Next();
    if (!missing.empty()) {
      this->Violate("did not start " + std::to_string(*missing.begin()));
    }
    for (const auto& [id, worker] : this->naive.workers) {
      if (this->naive.Committed(id) != this->scheduler.Committed(id)) {
        this->Violate("committed amount of " + id + " differs");
      }
    }
  }

  void Violate(const std::string& aText)
  {
    if (this->violation.empty()) {
      this->violation = aText;
    }
  }

  Scheduler scheduler;
  test::NaiveScheduler naive;
  TimePoint now{ std::chrono::hours(1) };
  JobNumber nextJob = 1;
};

RC_GTEST_PROP(DifferentialProperty, StartsAreThoseOfTheNaiveScheduler, ())
{
  auto number = rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>());
  Pair pair;
  for (std::uint32_t step :
       *rc::gen::resize(200, rc::gen::container<std::vector<std::uint32_t>>(number))) {
    pair.Step(step);
  }
  RC_ASSERT(pair.violation == "");
}

} // namespace
} // namespace daisydrift
