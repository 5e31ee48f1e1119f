#include "Harness.h"

namespace daisydrift::test {

Resources MakeResources(std::int64_t aCores, std::int64_t aMemoryMiB, std::int64_t aAccelerators)
{
  return { aCores * 1000, aMemoryMiB, aAccelerators };
}

Harness::Harness(const PolicySettings& aSettings)
  : scheduler(aSettings)
{
}

void Harness::AddWorkers(std::size_t aCount,
                         const Resources& aCapacity,
                         const std::vector<FailureDomain>& aDomains,
                         const std::string& aPrefix)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    WorkerDescription worker{ aPrefix + std::to_string(i),
                              aDomains[i % aDomains.size()],
                              "r" + std::to_string(i / aDomains.size() / 2),
                              aCapacity,
                              WorkerHealth::Live };
    this->workers[worker.id] = worker;
    this->scheduler.UpdateWorker(worker, this->now);
  }
}

void Harness::SetTeams(const std::vector<TeamName>& aNames)
{
  std::vector<TeamPolicy> teams;
  for (const TeamName& name : aNames) {
    teams.push_back({ name, 1, MakeResources(1000000, 1000000000, 1000000), 1000000 });
  }
  this->scheduler.SetTeams(teams, this->now);
}

JobSpec Harness::MakeJobSpec(const TeamName& aTeam, std::uint32_t aTasks, const Resources& aSize)
{
  JobSpec spec;
  spec.number = this->nextJob++;
  spec.team = aTeam;
  spec.name = "job" + std::to_string(spec.number);
  spec.kind = "kind" + std::to_string(spec.number);
  spec.taskCount = aTasks;
  spec.size = aSize;
  return spec;
}

JobNumber Harness::SubmitJob(const JobSpec& aSpec)
{
  this->specs[aSpec.number] = aSpec;
  if (this->scheduler.AddJob(aSpec, this->now)) {
    return 0;
  }
  return aSpec.number;
}

std::vector<Decision> Harness::Decide(Duration aStep, std::size_t aMaxStarts)
{
  this->now += aStep;
  auto decisions = this->scheduler.Decide(this->now, aMaxStarts);
  for (const Decision& decision : decisions) {
    if (const auto* start = std::get_if<StartDecision>(&decision)) {
      this->running[start->attempt] = { start->worker, start->limit };
      this->scheduler.OnStarted(start->attempt, this->now);
    } else if (const auto* stop = std::get_if<StopDecision>(&decision)) {
      this->running[stop->attempt].isStopping = true;
      this->stopRequestedAt[stop->attempt] = this->now;
      this->stops.push_back(*stop);
    } else if (const auto* throttle = std::get_if<ThrottleDecision>(&decision)) {
      this->running[throttle->attempt].limit = throttle->limit;
    } else if (const auto* done = std::get_if<JobFinishedDecision>(&decision)) {
      this->finished.push_back(*done);
    }
  }
  return decisions;
}

void Harness::RunFor(Duration aSpan, Duration aStopTime)
{
  TimePoint end = this->now + aSpan;
  while (this->now < end) {
    auto pending = this->stopRequestedAt;
    for (const auto& [attempt, at] : pending) {
      if (this->now - at >= aStopTime) {
        this->EndAttempt(attempt, AttemptOutcome::Interrupted);
      }
    }
    this->Decide(std::chrono::milliseconds(100));
  }
}

void Harness::EndAttempt(const AttemptId& aAttempt,
                         AttemptOutcome aOutcome,
                         const std::string& aDetail)
{
  this->running.erase(aAttempt);
  this->stopRequestedAt.erase(aAttempt);
  this->scheduler.OnEnded(aAttempt, aOutcome, aDetail, this->now);
}

void Harness::EndStoppingAttempts()
{
  auto pending = this->stopRequestedAt;
  for (const auto& [attempt, at] : pending) {
    this->EndAttempt(attempt, AttemptOutcome::Interrupted);
  }
}

std::vector<AttemptId> Harness::RunningAttemptsOf(JobNumber aJob) const
{
  std::vector<AttemptId> attempts;
  for (const auto& [attempt, entry] : this->running) {
    if (attempt.task.job == aJob) {
      attempts.push_back(attempt);
    }
  }
  return attempts;
}

Resources Harness::ResourcesUsedBy(const TeamName& aTeam) const
{
  Resources used;
  for (const auto& [attempt, entry] : this->running) {
    if (this->specs.at(attempt.task.job).team == aTeam) {
      used += entry.limit;
    }
  }
  return used;
}

} // namespace daisydrift::test
