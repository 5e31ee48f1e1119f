// Guards against incremental sums, indexes and queues that become inconsistent with the running
// attempts. Every start must be one that the reference scheduler, which has none of them, would
// make next, and none may be missing.

#include "ReferenceScheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisydrift {
namespace {

/// Applies events to both schedulers. The time stays below the delays after which reservations and
/// reclaiming begin, and debts are kept near zero, since the reference scheduler implements none of
/// them.
class SchedulerPair
{
public:
  SchedulerPair()
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
        this->EndAttempt(value);
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
    this->reference.jobs[spec.number] = { spec, spec.taskCount };
    (void)this->scheduler.AddJob(spec, this->now);
  }

  void EndAttempt(std::uint32_t aNumber)
  {
    if (this->reference.running.empty()) {
      return;
    }
    auto it = std::next(this->reference.running.begin(),
                        static_cast<std::ptrdiff_t>(aNumber % this->reference.running.size()));
    AttemptId attempt = it->first;
    bool isDone = aNumber / 64 % 2 == 0;
    this->reference.jobs[attempt.task.job].waiting += isDone ? 0 : 1;
    this->reference.running.erase(it);
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
    auto it = this->reference.workers.find(worker.id);
    if (it != this->reference.workers.end()) {
      // Capacity only grows: a smaller one would stop work, which the reference scheduler does not
      // do.
      worker.capacity.milliCores =
        std::max(worker.capacity.milliCores, it->second.capacity.milliCores);
    }
    this->reference.workers[worker.id] = worker;
    this->scheduler.UpdateWorker(worker, this->now);
  }

  void SetTeams(std::uint32_t aNumber)
  {
    this->reference.teams.clear();
    for (std::uint32_t i = 0; i < 3; ++i) {
      // Ceilings are never below the running work: a lower one would stop work.
      bool isLowered = aNumber > 0 && (aNumber >> i) % 2 == 1;
      std::string name(1, static_cast<char>('s' + i));
      Resources ceiling = { isLowered ? 20000 : 1000000, 1000000, 0 };
      this->reference.teams.push_back({ name, 1 + i, ceiling, isLowered ? 30U : 1000U });
    }
    for (const auto& [attempt, entry] : this->reference.running) {
      (void)attempt;
      const JobSpec& spec = this->reference.jobs[entry.job].spec;
      TeamPolicy& team = this->reference.teams[static_cast<std::size_t>(spec.team[0] - 's')];
      team.ceiling = { 1000000, 1000000, 0 };
      team.maxRunningTasks = 1000;
    }
    this->scheduler.SetTeams(this->reference.teams, this->now);
  }

  void ToggleDrain(std::uint32_t aNumber)
  {
    FailureDomain domain(1, static_cast<char>('a' + aNumber % 2));
    if (this->reference.drained.erase(domain) == 0) {
      this->reference.drained.insert(domain);
    }
    this->scheduler.SetDrainedFailureDomains(this->reference.drained, this->now);
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
      std::set<JobNumber> expected = this->reference.StartableJobs();
      if (!expected.contains(job)) {
        this->RecordViolation("started " + std::to_string(job) + " instead of " +
                              (expected.empty() ? "nothing" : std::to_string(*expected.begin())));
      }
      if (!this->reference.CanStart(this->reference.jobs[job].spec, start->worker)) {
        this->RecordViolation("started " + std::to_string(job) + " on " + start->worker +
                              " without enough free resources");
      }
      this->reference.running[start->attempt] = { job, start->worker };
      --this->reference.jobs[job].waiting;
    }
    std::set<JobNumber> missing = this->reference.StartableJobs();
    if (!missing.empty()) {
      this->RecordViolation("did not start " + std::to_string(*missing.begin()));
    }
    for (const auto& [id, worker] : this->reference.workers) {
      if (this->reference.Committed(id) != this->scheduler.Committed(id)) {
        this->RecordViolation("committed resources of " + id + " differ");
      }
    }
  }

  void RecordViolation(const std::string& aText)
  {
    if (this->violation.empty()) {
      this->violation = aText;
    }
  }

  Scheduler scheduler;
  test::ReferenceScheduler reference;
  TimePoint now{ std::chrono::hours(1) };
  JobNumber nextJob = 1;
};

RC_GTEST_PROP(DifferentialProperty, StartsMatchTheReferenceScheduler, ())
{
  auto number = rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>());
  SchedulerPair pair;
  for (std::uint32_t step :
       *rc::gen::resize(200, rc::gen::container<std::vector<std::uint32_t>>(number))) {
    pair.Step(step);
  }
  RC_ASSERT(pair.violation == "");
}

} // namespace
} // namespace daisydrift
