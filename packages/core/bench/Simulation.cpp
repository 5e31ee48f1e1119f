#include "Simulation.h"

#include <algorithm>
#include <cmath>
#include <ctime>

namespace daisydrift::bench {

namespace {

constexpr std::chrono::milliseconds kRoundInterval{ 25 };
constexpr std::chrono::seconds kUsageInterval{ 5 };
constexpr std::chrono::milliseconds kSampleInterval{ 500 };
/// Samples of one window in which the distance from the fair share is measured: 15 s.
constexpr std::size_t kSamplesPerWindow = 30;
/// Time from the start of a failing attempt to its failure.
constexpr std::chrono::seconds kFailureDelay{ 1 };
/// Time from a stop command to the end of the attempt, without and with a checkpoint first.
constexpr std::chrono::milliseconds kStopDuration{ 300 };
constexpr std::chrono::milliseconds kCheckpointStopDuration{ 1500 };
/// Time from the drain of a failure domain to its shutdown.
constexpr std::chrono::seconds kDrainNotice{ 10 };
constexpr std::size_t kMaxStartsPerRound = 200;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

double ThreadCpuSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double Percentile(std::vector<double> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  auto position = static_cast<std::size_t>(aFraction * static_cast<double>(aValues.size() - 1));
  std::nth_element(
    aValues.begin(), aValues.begin() + static_cast<std::ptrdiff_t>(position), aValues.end());
  return aValues[position];
}

double Mean(const std::vector<double>& aValues)
{
  double sum = 0;
  for (double value : aValues) {
    sum += value;
  }
  return aValues.empty() ? 0 : sum / static_cast<double>(aValues.size());
}

double DominantShare(const Resources& aPart, const Resources& aTotal)
{
  auto share = [](std::int64_t aAmount, std::int64_t aWhole) {
    return aWhole > 0 ? static_cast<double>(aAmount) / static_cast<double>(aWhole) : 0;
  };
  return std::max({ share(aPart.milliCores, aTotal.milliCores),
                    share(aPart.memoryMiB, aTotal.memoryMiB),
                    share(aPart.accelerators, aTotal.accelerators) });
}

std::string ClassName(const JobSpec& aSpec)
{
  if (aSpec.isUrgent) {
    return "urgent";
  }
  switch (aSpec.workClass) {
    case WorkClass::Batch:
      return "batch";
    case WorkClass::Gang:
      return "gang";
    case WorkClass::Service:
      break;
  }
  return "service";
}

} // namespace

Simulation::Simulation(const Scale& aScale, const Workload& aWorkload, Policy& aPolicy)
  : scale(aScale)
  , workload(aWorkload)
  , policy(aPolicy)
  , now(this->begin)
{
}

template<typename Call>
void Simulation::MeasureCpuTime(Call aCall)
{
  double before = ThreadCpuSeconds();
  aCall();
  this->policyCpuSeconds += ThreadCpuSeconds() - before;
}

std::vector<Measurement> Simulation::Run()
{
  this->Prepare();
  TimePoint end = this->begin + this->scale.duration;
  TimePoint nextUsage = this->begin + kUsageInterval;
  TimePoint nextSample = this->begin + kSampleInterval;
  while (this->now < end) {
    this->now += kRoundInterval;
    this->SubmitArrivals();
    this->ApplyScheduledChanges();
    this->DeliverAttemptEnds();
    if (this->now >= nextUsage) {
      nextUsage += kUsageInterval;
      this->ReportUsage();
    }
    this->Decide();
    if (this->now >= nextSample) {
      nextSample += kSampleInterval;
      this->TakeSample();
    }
  }
  return this->Measurements();
}

void Simulation::Prepare()
{
  for (const WorkerDescription& worker : this->workload.workers) {
    this->policy.UpdateWorker(worker, this->now);
    this->domainOf[worker.id] = worker.failureDomain;
    this->total += worker.capacity;
  }
  this->policy.SetTeams(this->workload.teams, this->now);
  for (std::size_t i = 0; i < this->workload.teams.size(); ++i) {
    this->teamByName[this->workload.teams[i].name] = i;
  }
  std::size_t count = this->workload.teams.size();
  this->runningByTeam.resize(count);
  this->waitingByTeam.resize(count);
  this->windowShareSums.assign(count, 0);
  this->windowFairShareSums.assign(count, 0);
  this->tasks.resize(this->workload.jobs.size());
  this->isCancelled.assign(this->workload.jobs.size(), 0);
  for (const BenchJob& job : this->workload.jobs) {
    if (job.cancelAt > Duration::zero()) {
      this->cancellations.emplace_back(job.cancelAt, job.spec.number);
    }
  }
}

void Simulation::SubmitArrivals()
{
  while (this->nextArrival < this->workload.jobs.size() &&
         this->begin + this->workload.jobs[this->nextArrival].arrival <= this->now) {
    const BenchJob& job = this->workload.jobs[this->nextArrival];
    this->tasks[this->nextArrival].assign(job.spec.taskCount,
                                          { Duration(0), Duration(0), this->now, false });
    ++this->nextArrival;
    Resources& waiting = this->waitingByTeam[this->TeamOf(job.spec)];
    for (std::uint32_t i = 0; i < job.spec.taskCount; ++i) {
      waiting += job.trueSize;
    }
    this->MeasureCpuTime([this, &job] { this->policy.AddJob(job.spec, this->now); });
  }
}

void Simulation::ApplyScheduledChanges()
{
  Duration age = this->now - this->begin;
  const FailureDomain& domain = this->scale.domains[1];
  if (this->drainPhase == 0 && age >= this->workload.drainAt) {
    this->drainPhase = 1;
    this->MeasureCpuTime([this, &domain] { this->policy.SetDrained({ domain }, this->now); });
  }
  if (this->drainPhase == 1 && age >= this->workload.drainAt + kDrainNotice) {
    this->drainPhase = 2;
    // Attempts that still run in the failure domain are lost.
    for (auto& [id, attempt] : this->running) {
      if (this->domainOf[attempt.worker] == domain) {
        this->events.push(
          { this->now, this->nextSequence++, id, AttemptOutcome::Interrupted, ++attempt.version });
      }
    }
  }
  if (this->drainPhase == 2 && age >= this->workload.returnAt) {
    this->drainPhase = 3;
    this->MeasureCpuTime([this] { this->policy.SetDrained({}, this->now); });
  }
  while (!this->cancellations.empty() && this->cancellations.back().first <= age) {
    JobNumber number = this->cancellations.back().second;
    this->cancellations.pop_back();
    std::size_t index = number - 1;
    this->isCancelled[index] = 1;
    const BenchJob& job = this->workload.jobs[index];
    for (std::uint32_t i = 0; i < job.spec.taskCount; ++i) {
      TaskRecord& task = this->tasks[index][i];
      auto first = this->running.lower_bound({ { number, i }, 0 });
      bool isRunning = first != this->running.end() && first->first.task == TaskId{ number, i };
      if (!task.isFinal && !isRunning) {
        this->waitingByTeam[this->TeamOf(job.spec)] -= job.trueSize;
      }
      task.isFinal = true;
    }
    this->MeasureCpuTime([this, number] { this->policy.CancelJob(number, this->now); });
  }
}

void Simulation::DeliverAttemptEnds()
{
  while (!this->events.empty() && this->events.top().at <= this->now) {
    Event event = this->events.top();
    this->events.pop();
    auto it = this->running.find(event.attempt);
    if (it != this->running.end() && it->second.version == event.version) {
      this->EndAttempt(event);
    }
  }
}

void Simulation::EndAttempt(const Event& aEvent)
{
  auto it = this->running.find(aEvent.attempt);
  this->UpdateProgress(aEvent.attempt, it->second);
  const Attempt& attempt = it->second;
  const BenchJob& job = this->workload.jobs[attempt.job];
  TaskRecord& task = this->tasks[attempt.job][aEvent.attempt.task.index];
  double cores = static_cast<double>(job.trueSize.milliCores) / 1000;
  Duration ran = task.unsaved;
  std::size_t team = this->TeamOf(job.spec);
  this->runningByTeam[team] -= job.trueSize;
  task.unsaved = Duration(0);
  bool isDone = aEvent.outcome == AttemptOutcome::Succeeded;
  if (isDone) {
    task.isFinal = true;
    this->usefulCoreSeconds += cores * Seconds(ran);
  } else if (attempt.isStopping && attempt.checkpointFirst) {
    this->usefulCoreSeconds += cores * Seconds(ran);
  } else if (task.progress -= ran; aEvent.outcome == AttemptOutcome::Interrupted &&
                                   !this->isCancelled[attempt.job] &&
                                   job.spec.workClass != WorkClass::Service) {
    this->lostCoreSeconds += cores * Seconds(ran);
  }
  task.waitingSince = this->now;
  if (!task.isFinal) {
    this->waitingByTeam[team] += job.trueSize;
  }
  if (aEvent.outcome == AttemptOutcome::Failed && !job.alwaysFails) {
    ++this->failuresOnFaultyWorkers;
  }
  this->running.erase(it);
  this->MeasureCpuTime(
    [this, &aEvent] { this->policy.OnEnded(aEvent.attempt, aEvent.outcome, this->now); });
}

void Simulation::ReportUsage()
{
  for (const auto& [id, attempt] : this->running) {
    Resources usage = this->workload.jobs[attempt.job].trueSize;
    usage.milliCores = this->UsedMilliCores(attempt);
    this->MeasureCpuTime([this, &id = id, &usage] { this->policy.OnUsage(id, usage, this->now); });
  }
}

void Simulation::Decide()
{
  auto before = std::chrono::steady_clock::now();
  std::vector<Decision> decisions;
  this->MeasureCpuTime([&] { decisions = this->policy.Decide(this->now, kMaxStartsPerRound); });
  std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - before;
  this->roundMicroseconds.push_back(took.count());
  this->decisionsMade += decisions.size();
  for (const Decision& decision : decisions) {
    if (const auto* start = std::get_if<StartDecision>(&decision)) {
      this->OnStart(*start);
    } else if (const auto* stop = std::get_if<StopDecision>(&decision)) {
      this->OnStop(*stop);
    } else if (const auto* throttle = std::get_if<ThrottleDecision>(&decision)) {
      this->OnThrottle(*throttle);
    } else if (const auto* done = std::get_if<JobFinishedDecision>(&decision)) {
      std::size_t index = done->job - 1;
      const BenchJob& job = this->workload.jobs[index];
      for (TaskRecord& task : this->tasks[index]) {
        if (!task.isFinal) {
          this->waitingByTeam[this->TeamOf(job.spec)] -= job.trueSize;
          task.isFinal = true;
        }
      }
    }
  }
  this->peakRunning = std::max(this->peakRunning, this->running.size());
}

void Simulation::OnStart(const StartDecision& aStart)
{
  std::size_t index = aStart.attempt.task.job - 1;
  const BenchJob& job = this->workload.jobs[index];
  TaskRecord& task = this->tasks[index][aStart.attempt.task.index];
  ++this->starts;
  if (aStart.attempt.attempt == 1) {
    // Tasks of teams with a low ceiling wait for other tasks of their own team, so their waiting
    // times are reported separately.
    const TeamPolicy& policy = this->workload.teams[this->TeamOf(job.spec)];
    bool isCapped = policy.ceiling.milliCores * 4 < this->total.milliCores;
    this->waitSecondsByClass[ClassName(job.spec) + (isCapped ? "_low_ceiling" : "")].push_back(
      Seconds(this->now - task.waitingSince));
  }
  std::size_t team = this->TeamOf(job.spec);
  this->runningByTeam[team] += job.trueSize;
  this->waitingByTeam[team] -= job.trueSize;
  Attempt& attempt = this->running[aStart.attempt];
  attempt = {
    index, aStart.worker, this->now, aStart.limit.milliCores, this->now, false, false, 0
  };
  bool fails = job.alwaysFails || this->workload.faultyWorkers.contains(aStart.worker);
  if (fails) {
    this->events.push({ this->now + kFailureDelay,
                        this->nextSequence++,
                        aStart.attempt,
                        AttemptOutcome::Failed,
                        0 });
  } else if (job.spec.workClass != WorkClass::Service) {
    this->ScheduleSuccess(aStart.attempt, attempt);
  }
}

void Simulation::OnStop(const StopDecision& aStop)
{
  auto it = this->running.find(aStop.attempt);
  if (it == this->running.end()) {
    return;
  }
  it->second.isStopping = true;
  it->second.checkpointFirst = aStop.checkpointFirst;
  Duration time =
    aStop.checkpointFirst ? Duration(kCheckpointStopDuration) : Duration(kStopDuration);
  this->events.push({ this->now + time,
                      this->nextSequence++,
                      aStop.attempt,
                      AttemptOutcome::Interrupted,
                      it->second.version });
}

std::int64_t Simulation::UsedMilliCores(const Attempt& aAttempt) const
{
  return std::min(aAttempt.milliCores, this->workload.jobs[aAttempt.job].trueSize.milliCores);
}

void Simulation::UpdateProgress(const AttemptId& aId, Attempt& aAttempt)
{
  const BenchJob& job = this->workload.jobs[aAttempt.job];
  TaskRecord& task = this->tasks[aAttempt.job][aId.task.index];
  double speed = static_cast<double>(this->UsedMilliCores(aAttempt)) /
                 static_cast<double>(job.trueSize.milliCores);
  auto done = std::chrono::duration_cast<Duration>((this->now - aAttempt.progressAt) * speed);
  task.progress += done;
  task.unsaved += done;
  aAttempt.progressAt = this->now;
}

void Simulation::ScheduleSuccess(const AttemptId& aId, Attempt& aAttempt)
{
  const BenchJob& job = this->workload.jobs[aAttempt.job];
  const TaskRecord& task = this->tasks[aAttempt.job][aId.task.index];
  double slowdown = static_cast<double>(job.trueSize.milliCores) /
                    static_cast<double>(std::max<std::int64_t>(1, this->UsedMilliCores(aAttempt)));
  Duration left = std::max(Duration(kRoundInterval), job.trueRunTime - task.progress);
  this->events.push({ this->now + std::chrono::duration_cast<Duration>(left * slowdown),
                      this->nextSequence++,
                      aId,
                      AttemptOutcome::Succeeded,
                      aAttempt.version });
}

void Simulation::OnThrottle(const ThrottleDecision& aThrottle)
{
  auto it = this->running.find(aThrottle.attempt);
  if (it == this->running.end()) {
    return;
  }
  Attempt& attempt = it->second;
  this->UpdateProgress(it->first, attempt);
  attempt.milliCores = aThrottle.limit.milliCores;
  const BenchJob& job = this->workload.jobs[attempt.job];
  bool fails = job.alwaysFails || this->workload.faultyWorkers.contains(attempt.worker);
  if (!fails && !attempt.isStopping && job.spec.workClass != WorkClass::Service) {
    ++attempt.version;
    this->ScheduleSuccess(it->first, attempt);
  }
}

void Simulation::TakeSample()
{
  std::vector<Resources> demand(this->runningByTeam.size());
  Resources totalDemand;
  for (std::size_t i = 0; i < demand.size(); ++i) {
    demand[i] = this->runningByTeam[i] + this->waitingByTeam[i];
    const Resources& ceiling = this->workload.teams[i].ceiling;
    demand[i] = { std::min(demand[i].milliCores, ceiling.milliCores),
                  std::min(demand[i].memoryMiB, ceiling.memoryMiB),
                  std::min(demand[i].accelerators, ceiling.accelerators) };
    totalDemand += demand[i];
  }
  std::int64_t used = 0;
  for (const auto& [id, attempt] : this->running) {
    used += this->UsedMilliCores(attempt);
  }
  std::vector<double> fair = this->FairShares(demand);
  for (std::size_t i = 0; i < demand.size(); ++i) {
    this->windowShareSums[i] += DominantShare(this->runningByTeam[i], this->total);
    this->windowFairShareSums[i] += fair[i];
  }
  if (++this->windowSamples == kSamplesPerWindow) {
    this->CloseWindow();
  }
  // The drained failure domain is not available to any policy.
  bool isDomainDrained = this->drainPhase == 1 || this->drainPhase == 2;
  double available = 0;
  for (const WorkerDescription& worker : this->workload.workers) {
    bool isAvailable = !isDomainDrained || worker.failureDomain != this->scale.domains[1];
    available += isAvailable ? static_cast<double>(worker.capacity.milliCores) : 0;
  }
  double bound = std::min(available, static_cast<double>(totalDemand.milliCores));
  auto cores = static_cast<double>(used);
  if (bound > 0 && this->drainPhase != 1) {
    this->packingRatios.push_back(cores / bound);
  }
  if (this->drainPhase == 1 || this->drainPhase == 2) {
    this->coreSecondsWhileDrained += cores / 1000 * Seconds(kSampleInterval);
  }
}

std::vector<double> Simulation::FairShares(const std::vector<Resources>& aDemand) const
{
  auto used = [&](double aLevel) {
    double worst = 0;
    double sums[3] = { 0, 0, 0 };
    for (std::size_t i = 0; i < aDemand.size(); ++i) {
      double share = DominantShare(aDemand[i], this->total);
      double part = share > 0 ? std::min(1.0, aLevel * this->workload.teams[i].weight / share) : 0;
      sums[0] += part * static_cast<double>(aDemand[i].milliCores);
      sums[1] += part * static_cast<double>(aDemand[i].memoryMiB);
      sums[2] += part * static_cast<double>(aDemand[i].accelerators);
    }
    worst = std::max(sums[0] / static_cast<double>(this->total.milliCores),
                     sums[1] / static_cast<double>(this->total.memoryMiB));
    if (this->total.accelerators > 0) {
      worst = std::max(worst, sums[2] / static_cast<double>(this->total.accelerators));
    }
    return worst;
  };
  double low = 0;
  double high = 4;
  for (int i = 0; i < 30; ++i) {
    double middle = (low + high) / 2;
    (used(middle) <= 1 ? low : high) = middle;
  }
  std::vector<double> fair;
  for (std::size_t i = 0; i < aDemand.size(); ++i) {
    fair.push_back(
      std::min(DominantShare(aDemand[i], this->total), low * this->workload.teams[i].weight));
  }
  return fair;
}

void Simulation::CloseWindow()
{
  for (std::size_t i = 0; i < this->windowShareSums.size(); ++i) {
    if (this->windowFairShareSums[i] > 0) {
      this->fairShareDistances.push_back(
        std::abs(this->windowShareSums[i] - this->windowFairShareSums[i]) /
        this->windowFairShareSums[i]);
    }
    this->windowShareSums[i] = 0;
    this->windowFairShareSums[i] = 0;
  }
  this->windowSamples = 0;
}

std::vector<Measurement> Simulation::Measurements() const
{
  std::vector<Measurement> measurements;
  for (const auto& [name, values] : this->waitSecondsByClass) {
    measurements.push_back({ "wait_median_" + name, Percentile(values, 0.5), "s" });
    measurements.push_back({ "wait_p99_" + name, Percentile(values, 0.99), "s" });
    measurements.push_back({ "wait_worst_" + name, Percentile(values, 1.0), "s" });
    measurements.push_back({ "started_" + name, static_cast<double>(values.size()), "tasks" });
  }
  std::size_t waitingTasks = 0;
  double longest = 0;
  for (std::size_t i = 0; i < this->nextArrival; ++i) {
    for (std::uint32_t t = 0; t < this->tasks[i].size(); ++t) {
      const TaskRecord& task = this->tasks[i][t];
      auto it = this->running.lower_bound({ { i + 1, t }, 0 });
      bool isRunning = it != this->running.end() && it->first.task == TaskId{ i + 1, t };
      if (!task.isFinal && !isRunning) {
        ++waitingTasks;
        longest = std::max(longest, Seconds(this->now - task.waitingSince));
      }
    }
  }
  measurements.push_back({ "waiting_at_end", static_cast<double>(waitingTasks), "tasks" });
  measurements.push_back({ "wait_longest_unstarted", longest, "s" });
  measurements.push_back({ "packing_mean", Mean(this->packingRatios), "share_of_bound" });
  measurements.push_back({ "fair_distance_mean", Mean(this->fairShareDistances), "share" });
  measurements.push_back(
    { "fair_distance_p90", Percentile(this->fairShareDistances, 0.9), "share" });
  measurements.push_back({ "useful_work", this->usefulCoreSeconds, "core_s" });
  measurements.push_back({ "lost_work", this->lostCoreSeconds, "core_s" });
  measurements.push_back({ "departure_work", this->coreSecondsWhileDrained, "core_s" });
  measurements.push_back({ "failed_attempts_on_broken_workers",
                           static_cast<double>(this->failuresOnFaultyWorkers),
                           "attempts" });
  measurements.push_back({ "peak_running", static_cast<double>(this->peakRunning), "tasks" });
  measurements.push_back({ "starts", static_cast<double>(this->starts), "tasks" });
  auto starts = static_cast<double>(std::max<std::size_t>(1, this->starts));
  measurements.push_back({ "cpu_per_start", this->policyCpuSeconds / starts * 1e6, "us" });
  measurements.push_back({ "starts_per_cpu_second", starts / this->policyCpuSeconds, "1/s" });
  measurements.push_back({ "round_median", Percentile(this->roundMicroseconds, 0.5), "us" });
  measurements.push_back({ "round_p99", Percentile(this->roundMicroseconds, 0.99), "us" });
  return measurements;
}

} // namespace daisydrift::bench
