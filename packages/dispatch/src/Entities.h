#pragma once
// Plain records of the dispatcher. Sums in them are kept by FleetState only.

#include "daisydrift/dispatch/DispatchSettings.h"
#include "daisydrift/dispatch/DispatchTypes.h"

#include <boost/intrusive/list.hpp>

#include <memory>
#include <set>
#include <unordered_map>

namespace daisydrift::dispatch {

struct Job;
struct Step;
struct Worker;

using WorkerHook =
  boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// What is known of one start.
enum class AttemptState : std::uint8_t
{
  /// Decided; its record is not stored yet.
  Planned,
  /// Sent, without an answer.
  Sent,
  /// The worker has confirmed it.
  Running,
  /// From the record of an earlier leader; the worker has not been asked yet.
  Restored
};

/// One start of a task; holds its room on the worker until it has provably ended.
struct Attempt : public WorkerHook
{
  AttemptKey key = 0;
  Step* step = nullptr;
  std::uint32_t index = 0;
  RunNumber run = 0;
  Worker* worker = nullptr;
  AttemptState state = AttemptState::Planned;
  bool isStopping = false;
  TimePoint decidedAt;
  /// When the worker confirmed the start; max when it has not.
  TimePoint confirmedAt = TimePoint::max();
  /// When the worker confirmed the stop; max when it has not.
  TimePoint stopConfirmedAt = TimePoint::max();
  /// Long ago when no stop was sent.
  TimePoint stopSentAt{ -std::chrono::hours(24) };
  int percent = 0;
  TimePoint percentChangedAt;
  double load = 0;
  int pace = 100;
};

struct Task
{
  bool hasSucceeded = false;
  std::uint32_t failures = 0;
  /// Ends of a service task soon after its start, in a row.
  std::uint32_t quickEnds = 0;
  RunNumber lastRun = 0;
  RunNumber settledRun = 0;
  std::string checkpoint;
  Attempt* attempt = nullptr;
  /// Not started again before this time.
  TimePoint notBefore;
  /// Workers on which it failed.
  std::vector<WorkerId> failedOn;
};

/// A worker's ticket for a step.
struct Ticket
{
  std::string text;
  TimePoint validUntil;
};

/// Which workers may run a step, as far as is known; by the workers' numbers.
struct StepAdvice
{
  /// Workers that may run it; the ticket may have ended.
  std::unordered_map<std::uint32_t, Ticket> granted;
  std::vector<bool> denied;
  bool isAsked = false;
  TimePoint notBefore;

  bool IsDenied(std::uint32_t aWorker) const
  {
    return aWorker < this->denied.size() && this->denied[aWorker];
  }
  /// The ticket for a worker; null when there is none.
  const Ticket* Find(std::uint32_t aWorker) const
  {
    auto found = this->granted.find(aWorker);
    return found == this->granted.end() ? nullptr : &found->second;
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
  std::uint32_t active = 0;
  StepAdvice advice;
  std::map<const Worker*, std::uint32_t> tasksByWorker;
  /// All earlier steps have succeeded and its time has come.
  bool isReady = false;
  /// A gang's checkpoint, the same for all its members.
  std::string gangCheckpoint;

  bool IsDone() const { return this->succeeded == this->tasks.size(); }
  std::size_t Waiting() const { return this->tasks.size() - this->succeeded - this->active; }
  StepName Name() const;
};

struct Team
{
  TeamRules rules;
  /// Sum over its attempts, stopping ones included.
  Resources running;
  /// Jobs that may still come at the rate that is owed; refilled by the weight a second.
  double jobTokens = 0;
  TimePoint tokensAt;
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
  /// The job came above the rate that its team is owed.
  bool isExcess = false;
  bool isDirty = false;
  /// Occurrences created so far.
  std::uint32_t begunOccurrences = 0;
  std::vector<std::unique_ptr<Step>> steps;
  /// Objective and the end of what a late job earns, from addedAt.
  Duration objective{ 0 };
  /// Longest chain of declared run times from each step to the end of the job.
  std::vector<Duration> chains;

  bool IsFinished() const
  {
    return this->state == DispatchState::Completed || this->state == DispatchState::Failed ||
           this->state == DispatchState::Cancelled;
  }
};

inline StepName Step::Name() const
{
  return { this->job->definition.id, this->occurrence, this->number };
}

struct Worker
{
  WorkerListing listing;
  /// Never given to another worker.
  std::uint32_t number = 0;
  bool isListed = false;
  Resources committed;
  /// Cores that tasks on spare cores would use.
  std::int64_t spareCoresAsked = 0;
  boost::intrusive::list<Attempt, boost::intrusive::constant_time_size<false>> attempts;

  /// Answered in this term, after our fencing number was raised.
  bool hasReported = false;
  bool isSilent = false;
  std::int64_t incarnation = 0;
  std::uint64_t lastEnd = 0;
  TimePoint reportedAt;
  std::chrono::milliseconds clock{ 0 };
  /// Latest lease end that was sent in this term, on its clock.
  std::chrono::milliseconds sentLease{ 0 };
  /// Latest lease end that may hold there, which an earlier leader may have sent.
  std::chrono::milliseconds possibleLease{ 0 };
  /// By this time all that runs there has lost its lease.
  TimePoint leaseBound;

  /// Run time relative to the estimates; 1 when nothing is known.
  double slowness = 1;
  JobId lastFailedJob;
  std::uint32_t failedJobs = 0;
  Duration nextQuarantine{ 0 };
  TimePoint quarantinedUntil;
  TimePoint pausedUntil;
  bool isProbing = false;
  /// Since when a service task there has been over its tail target.
  TimePoint overTargetSince = TimePoint::max();
  TimePoint pacedUntil;
  int pace = 100;

  /// It is to be emptied.
  bool isReserved = false;

  bool IsLeaving() const { return this->listing.isDraining || this->isReserved; }
  Resources Free() const { return this->listing.capacity - this->committed; }
};

} // namespace daisydrift::dispatch
