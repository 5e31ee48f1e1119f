#pragma once
// Records of the dispatcher. Only FleetState changes the sums that they contain.

#include "FailureCount.h"
#include "GiveUpShares.h"
#include "ProgressLayout.h"
#include "daisydrift/dispatch/DispatchSettings.h"
#include "daisydrift/dispatch/DispatchTypes.h"

#include <boost/intrusive/list.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>

namespace daisydrift::dispatch {

struct Job;
struct Step;
struct Worker;

using WorkerHook =
  boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// State of one start of a task.
enum class AttemptState : std::uint8_t
{
  /// Decided; the progress of its job has not been stored yet.
  Planned,
  /// The start command was sent and has no result yet.
  Sent,
  /// The worker has confirmed the start.
  Running,
  /// Read from the stored progress of an earlier leader; the worker has not been polled yet.
  Restored
};

/// One start of a task. Keeps its resources on the worker committed until the run has provably
/// ended.
struct Attempt : public WorkerHook
{
  AttemptKey key = 0;
  Step* step = nullptr;
  std::uint32_t index = 0;
  RunNumber run = 0;
  Worker* worker = nullptr;
  AttemptState state = AttemptState::Planned;
  bool isStopping = false;
  /// False for a run that an earlier leader started: it is not known how long it has run.
  bool isStartKnown = false;
  TimePoint decidedAt;
  /// Time until which the worker may hold a longer lease than was asked for, as known when the
  /// attempt was decided; 0 if it did not.
  WallTime longLeaseUntil;
  /// Time at which the worker confirmed the start; max while unconfirmed.
  TimePoint confirmedAt = TimePoint::max();
  /// Time at which the worker confirmed the stop; max while unconfirmed.
  TimePoint stopConfirmedAt = TimePoint::max();
  /// Far in the past when no stop was sent.
  TimePoint stopSentAt{ -std::chrono::hours(24) };
  int progressPercent = 0;
  TimePoint progressChangedAt;
  /// Time of the last report that listed the run as running.
  TimePoint listedAt;
  /// Tail latency of a service task's responses.
  double tailLatencyMs = 0;
  /// Speed that the task is to have, sent with the last throttle command.
  int speedPercent = 100;
  /// Speed that the worker has confirmed, at the time below; empty while it is not known, as for a
  /// run that an earlier leader may have throttled.
  std::optional<int> confirmedSpeed = 100;
  TimePoint speedConfirmedAt;
  /// Time and number of the throttle commands for that speed.
  TimePoint throttleSentAt{ -std::chrono::hours(24) };
  unsigned throttlesSent = 0;
  /// The task has been throttled, or may have been by an earlier leader.
  bool wasThrottled = false;
};

struct Task
{
  bool hasSucceeded = false;
  /// An earlier run than the current attempt has succeeded; the attempt is being stopped.
  bool hasEarlierSuccess = false;
  /// Failed runs; those of a gang are counted for its first task.
  FailureCount failures;
  /// Consecutive early exits of a service task, soon after its start.
  std::uint32_t earlyExits = 0;
  /// Highest run number that was used.
  RunNumber lastRun = 0;
  /// Highest run number that is known to have completed.
  RunNumber lastCompletedRun = 0;
  std::string checkpoint;
  /// Current attempt; null when the task is not started. Of a task that has succeeded, a run that
  /// is being stopped.
  Attempt* attempt = nullptr;
  /// A second attempt beside the first one, on another worker and with a higher run number; null
  /// for most tasks. It takes the place of `attempt` when that ends first.
  Attempt* copy = nullptr;
  /// The task has had its copy.
  bool hadCopy = false;
  /// The task is not started again before this time.
  TimePoint notBefore;
  /// Time at which the task was last stopped for one of a higher priority; far in the past if
  /// never.
  TimePoint preemptedAt{ -std::chrono::hours(24) };
  /// Workers on which the task failed.
  std::vector<WorkerId> failedPlacements;
};

/// Ticket of the advice service that allows a step to run on a worker.
struct Ticket
{
  /// Number of the worker.
  std::uint32_t worker = 0;
  std::string text;
  TimePoint validUntil;
};

/// Known advice about which workers may run a step, by worker number.
struct StepAdvice
{
  /// Tickets, perhaps expired, for the workers that may run the step; ordered by worker. Rounds go
  /// through those of all waiting steps, so they lie next to each other.
  std::vector<Ticket> granted;
  /// True for the workers that may not run the step.
  std::vector<bool> denied;
  bool isRequestOpen = false;
  /// Number of workers to pass over in the next comparison, which continues after the last one.
  std::size_t workersPassed = 0;
  /// No advice is requested before this time.
  TimePoint notBefore;
  /// Time until which the newest ticket is valid.
  TimePoint validUntil;

  bool IsDenied(std::uint32_t aWorker) const
  {
    return aWorker < this->denied.size() && this->denied[aWorker];
  }
  /// The ticket for a worker; null when there is none.
  const Ticket* Find(std::uint32_t aWorker) const
  {
    auto found = this->LowerBound(aWorker);
    return found == this->granted.end() || found->worker != aWorker ? nullptr : &*found;
  }
  /// Adds a ticket, or replaces the earlier one for its worker.
  void Add(Ticket aTicket)
  {
    auto found = this->LowerBound(aTicket.worker);
    if (found == this->granted.end() || found->worker != aTicket.worker) {
      found = this->granted.insert(found, Ticket());
    }
    auto& ticket = this->granted[static_cast<std::size_t>(found - this->granted.begin())];
    ticket = std::move(aTicket);
    this->validUntil = std::max(this->validUntil, ticket.validUntil);
  }
  void Remove(std::uint32_t aWorker)
  {
    std::erase_if(this->granted,
                  [aWorker](const Ticket& aTicket) { return aTicket.worker == aWorker; });
  }

private:
  std::vector<Ticket>::const_iterator LowerBound(std::uint32_t aWorker) const
  {
    return std::lower_bound(
      this->granted.begin(),
      this->granted.end(),
      aWorker,
      [](const Ticket& aTicket, std::uint32_t aNumber) { return aTicket.worker < aNumber; });
  }
};

/// One step of one occurrence of a job.
struct Step
{
  Job* job = nullptr;
  const StepSpec* spec = nullptr;
  std::uint32_t occurrence = 0;
  std::uint32_t number = 0;
  std::vector<Task> tasks;
  std::uint32_t succeeded = 0;
  /// Number of tasks that have an attempt and have not succeeded.
  std::uint32_t active = 0;
  /// Number of attempts, including copies and those of tasks that have succeeded.
  std::uint32_t runs = 0;
  /// Tasks that wait for a worker on which a copy may run; advice is requested for them.
  std::uint32_t wantedCopies = 0;
  /// Run times of the tasks that have succeeded without a checkpoint, as far as this leader has
  /// seen them; only of steps that can have copies.
  std::vector<Duration> runTimes;
  StepAdvice advice;
  std::map<const Worker*, std::uint32_t> tasksByWorker;
  /// The occurrence is due and all earlier steps that this one depends on have succeeded.
  bool isReady = false;
  /// Checkpoint of a gang, shared by all its members.
  std::string gangCheckpoint;
  /// Time since which the step is ready and has waiting tasks; max when it has none.
  TimePoint waitingSince = TimePoint::max();
  /// The step can succeed: neither it nor a step that it depends on is a service.
  bool isFinite = true;

  bool IsDone() const { return this->succeeded == this->tasks.size(); }
  std::size_t Waiting() const { return this->tasks.size() - this->succeeded - this->active; }
  /// A task may run on two workers at the same time. The members of a gang run together, a service
  /// has no success that could end the other run, and tasks on spare cores are slow because there
  /// is no room.
  bool CanHaveCopies() const
  {
    return this->spec->allowsCopies && !this->spec->isGang && !this->spec->isService &&
           !this->spec->usesSpareCores;
  }
  StepName Name() const;
};

struct Team
{
  TeamRules rules;
  /// Sum over the team's attempts, including those that are being stopped.
  Resources running;
  /// Token bucket of the team's job rate, in jobs; refilled by rules.weight a second.
  double jobTokens = 0;
  TimePoint tokensRefilledAt;

  /// Adopts rules of the team unless newer ones are known.
  void AdoptRules(const TeamRules& aRules)
  {
    if (aRules.version >= this->rules.version) {
      this->rules = aRules;
    }
  }
};

/// What a job's latency objective is expected to come to, best first.
enum class JobOutlook : std::uint8_t
{
  InTime,
  Late,
  WithoutValue
};

struct Job
{
  JobDefinition definition;
  /// Order of arrival.
  std::uint64_t sequence = 0;
  const QueuePolicy* queue = nullptr;
  Team* team = nullptr;
  DispatchState state = DispatchState::Queued;
  WallTime finishedAt;
  TimePoint addedAt;
  /// The job arrived above its team's job rate.
  bool isOverRate = false;
  /// Judged by the work of its team.
  JobOutlook outlook = JobOutlook::InTime;
  /// The outlook before the newest update.
  JobOutlook previousOutlook = JobOutlook::InTime;
  JobShare share;
  /// The progress has changed and is to be stored.
  bool isDirty = false;
  /// Number of occurrences created so far.
  std::uint32_t startedOccurrences = 0;
  /// The occurrences before this one have succeeded, and their steps are gone.
  std::uint32_t firstOccurrence = 0;
  /// Steps of the created occurrences from firstOccurrence on, in order.
  std::deque<std::unique_ptr<Step>> steps;
  std::uint64_t tasksPerOccurrence = 0;
  /// Tasks of one occurrence that can succeed: not those of services and of steps after them.
  std::uint64_t finiteTasks = 0;
  /// Number of those that have not succeeded, for each occurrence from firstOccurrence on, and the
  /// number of occurrences that have any.
  std::deque<std::uint64_t> openTasks;
  std::uint64_t openOccurrences = 0;
  /// Where the job's progress is stored.
  ProgressLayout layout;
  /// Parts of the progress that have changed and are to be stored.
  std::set<std::uint64_t> changedParts;
  /// Latency objective, counted from addedAt.
  Duration latencyObjective{ 0 };
  /// Critical path of declared run times from the start of each step to the end of the job.
  std::vector<Duration> criticalPaths;
  /// Time from addedWall to the end as forecast when the job was added; 0 without a forecast.
  Duration expectedTime{ 0 };
  WallTime addedWall;
  /// The same with run times as expected for the slowest task of each step.
  std::vector<Duration> expectedPaths;

  bool IsFinished() const
  {
    return this->state == DispatchState::Completed || this->state == DispatchState::Failed ||
           this->state == DispatchState::Cancelled;
  }
  /// A step of an occurrence whose steps exist.
  Step& StepAt(std::uint32_t aOccurrence, std::uint32_t aNumber) const
  {
    std::size_t position = aOccurrence - this->firstOccurrence;
    return *this->steps[position * this->definition.steps.size() + aNumber];
  }
};

inline StepName Step::Name() const
{
  return { this->job->definition.id, this->occurrence, this->number };
}

struct Worker
{
  WorkerListing listing;
  /// Unique number of the worker; never reused.
  std::uint32_t number = 0;
  bool isListed = false;
  /// Resources of all attempts on the worker.
  Resources committed;
  /// Thousandths of a core that tasks on spare cores would use.
  std::int64_t requestedSpareMilliCores = 0;
  boost::intrusive::list<Attempt, boost::intrusive::constant_time_size<false>> attempts;

  /// Answered a poll in this term, so it rejects commands with the fencing tokens of earlier
  /// terms.
  bool hasReported = false;
  bool isUnresponsive = false;
  std::int64_t incarnation = 0;
  /// Restarts that were noticed in this term.
  std::uint32_t restarts = 0;
  /// Time at which the last of them was noticed.
  TimePoint restartKnownAt;
  /// The worker refuses commands that were sent to its earlier incarnations. A restarted worker has
  /// forgotten all fencing numbers.
  bool isFenced = true;
  /// Highest number of the completions that were processed.
  std::uint64_t lastCompletion = 0;
  TimePoint reportedAt;
  /// The worker's monotonic clock at reportedAt.
  std::chrono::milliseconds clock{ 0 };
  /// Latest lease end that was sent in this term, on the worker's clock.
  std::chrono::milliseconds sentLeaseEnd{ 0 };
  /// Latest lease end that may be in force on the worker, on its clock, including leases sent by an
  /// earlier leader.
  std::chrono::milliseconds maxLeaseEnd{ 0 };
  /// Time by which the leases of all runs on the worker have expired.
  TimePoint leaseExpiryBound;
  /// The same for leases that an earlier leader knew of and that are longer than it asked for.
  TimePoint restoredLongLeaseBound;

  /// Mean run time of tasks relative to what is expected of them on any worker; 1 when nothing is
  /// known.
  double slowdown = 1;
  JobId lastFailedJob;
  /// Consecutive failures of different jobs.
  std::uint32_t failedJobs = 0;
  Duration nextQuarantine{ 0 };
  TimePoint quarantinedUntil;
  /// The worker gets no starts before this time, since it refused one.
  TimePoint pausedUntil;
  /// After a quarantine: the worker gets one task at a time until one succeeds.
  bool isProbing = false;
  /// Time since which a service task on the worker has exceeded its tail latency target; max when
  /// none does.
  TimePoint overTargetSince = TimePoint::max();
  /// The speed of throttled tasks is not raised before this time.
  TimePoint throttledUntil;
  /// Speed to which tasks on spare cores are throttled.
  int speedPercent = 100;

  /// The scheduler drains the worker.
  bool isMarkedForDrain = false;
  /// Last scheduling round in which the worker accepts starts; 0 for none.
  std::uint64_t acceptingRound = 0;

  bool IsDraining() const { return this->listing.isDraining || this->isMarkedForDrain; }
  Resources Free() const { return this->listing.capacity - this->committed; }
};

} // namespace daisydrift::dispatch
