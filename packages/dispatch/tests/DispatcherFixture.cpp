#include "DispatcherFixture.h"

namespace daisydrift {

DispatcherFixture::DispatcherFixture()
  : dispatcher(this->settings, this->now)
{
  QueuePolicy quick{ "quick", "desk", 0, 3, 1.5, std::chrono::milliseconds(250), {} };
  QueuePolicy batch{ "batch", "desk", 2, 3, 2.2, std::chrono::milliseconds(1200), {} };
  this->policy.queues = { { "quick", quick }, { "batch", batch } };
  this->policy.teams["team"] = { "team", 100, {} };
  this->dispatcher.SetPolicy(this->policy);
}

void DispatcherFixture::AddWorker(const WorkerId& aId, std::int64_t aMilliCores)
{
  WorkerListing listing;
  listing.id = aId;
  listing.service = "desk";
  listing.endpoint = { "10.0.0.1", 80 };
  listing.domain = "north";
  listing.labels = { "a", "r1" };
  listing.rack = "r1";
  listing.capacity = { aMilliCores, 64000, 0 };
  listing.incarnation = 1;
  this->dispatcher.ListWorker(listing);
  this->Report(aId, {});
}

JobDefinition DispatcherFixture::Job(const JobId& aId,
                                     std::uint32_t aTasks,
                                     std::int64_t aMilliCores)
{
  JobDefinition job;
  job.id = aId;
  job.queue = "quick";
  job.team = "team";
  StepSpec step;
  step.taskCount = aTasks;
  step.size = { aMilliCores, 100, 0 };
  step.estimate = std::chrono::milliseconds(1000);
  job.steps.push_back(step);
  return job;
}

void DispatcherFixture::Add(const JobDefinition& aJob)
{
  this->dispatcher.AddJob(aJob, this->now, this->wall);
}

std::vector<StartCommand> DispatcherFixture::Round()
{
  this->round = this->dispatcher.Decide(this->now, this->wall, this->requestSlots);
  std::vector<StartCommand> commands;
  for (AttemptKey key : this->round.starts) {
    if (std::optional<StartCommand> command = this->dispatcher.TakeStartCommand(key, this->now)) {
      this->dispatcher.ExtendWorkerLease(command->worker, this->now);
      commands.push_back(*command);
    }
  }
  return commands;
}

std::vector<StartCommand> DispatcherFixture::RoundAccepted()
{
  std::vector<StartCommand> commands = this->Round();
  for (const StartCommand& command : commands) {
    this->dispatcher.OnStartResult(command.attempt, StartResult::Accepted, this->now);
  }
  return commands;
}

void DispatcherFixture::Report(const WorkerId& aWorker,
                               std::vector<RunningTask> aRunning,
                               std::vector<RunCompletion> aCompletions)
{
  WorkerReport report;
  report.incarnation = this->incarnation;
  report.clock = this->workerClock;
  report.running = std::move(aRunning);
  report.completions = std::move(aCompletions);
  this->dispatcher.OnReport(aWorker, report, this->now, this->now);
}

RunningTask DispatcherFixture::Running(const StartCommand& aCommand, int aPercent)
{
  RunningTask running;
  running.task = aCommand.task;
  running.run = aCommand.run;
  running.percent = aPercent;
  return running;
}

RunCompletion DispatcherFixture::Completion(const StartCommand& aCommand, RunOutcome aOutcome)
{
  return { this->nextCompletion++, aCommand.task, aCommand.run, aOutcome, "" };
}

void DispatcherFixture::Advance(Duration aStep)
{
  this->now += aStep;
  auto step = std::chrono::duration_cast<std::chrono::milliseconds>(aStep);
  this->wall += step;
  this->workerClock += step;
}

} // namespace daisydrift
