#include "daisydrift/durable/RegionState.h"

#include <algorithm>

namespace daisydrift {

namespace {

std::vector<TaskRecord>::iterator LowerBound(std::vector<TaskRecord>& aTasks, std::uint32_t aIndex)
{
  return std::lower_bound(
    aTasks.begin(), aTasks.end(), aIndex, [](const TaskRecord& aTask, std::uint32_t aValue) {
      return aTask.index < aValue;
    });
}

std::int64_t Seconds(std::chrono::hours aHours)
{
  return std::chrono::seconds(aHours).count();
}

} // namespace

const TaskRecord* JobRecord::FindTask(std::uint32_t aIndex) const
{
  auto& mutableTasks = const_cast<std::vector<TaskRecord>&>(this->tasks);
  auto found = LowerBound(mutableTasks, aIndex);
  return found == mutableTasks.end() || found->index != aIndex ? nullptr : &*found;
}

/// Applies one entry; one overload of operator() for each type of entry. Returns false when the
/// entry does not fit the state.
class RegionState::EntryApplier
{
public:
  explicit EntryApplier(RegionState& aState)
    : state(aState)
  {
  }

  bool operator()(const JobAccepted& aEntry)
  {
    if (aEntry.job < this->state.nextJob) {
      return false;
    }
    this->state.nextJob = aEntry.job + 1;
    JobRecord& job = this->state.jobs[aEntry.job];
    job.number = aEntry.job;
    job.team = aEntry.team;
    job.specification = aEntry.specification;
    job.acceptedWallSeconds = aEntry.wallSeconds;
    if (!aEntry.idempotencyKeyDigest.empty()) {
      // The leader accepts a key again only after it has expired, so the newer job replaces it.
      this->state.keys[{ aEntry.team, aEntry.idempotencyKeyDigest }] = { aEntry.job,
                                                                         aEntry.bodyDigest,
                                                                         aEntry.wallSeconds };
    }
    return true;
  }

  bool operator()(const TaskAssigned& aEntry)
  {
    JobRecord* job = this->FindUnfinishedJob(aEntry.attempt.task.job);
    if (job == nullptr || job->isCancelled) {
      return false;
    }
    std::uint32_t index = aEntry.attempt.task.index;
    auto found = LowerBound(job->tasks, index);
    if (found == job->tasks.end() || found->index != index) {
      if (aEntry.attempt.attempt == 0) {
        return false;
      }
      found = job->tasks.insert(found, TaskRecord{ .index = index });
    }
    // Attempts of a task never overlap, and attempt numbers are never reused. A task that succeeded
    // may be assigned again: tasks of a service are replaced when they end.
    if (found->current || aEntry.attempt.attempt <= found->attemptsUsed) {
      return false;
    }
    found->attemptsUsed = aEntry.attempt.attempt;
    found->current = CurrentAttempt{ aEntry.worker, aEntry.incarnation, aEntry.limit };
    return true;
  }

  bool operator()(const AttemptEnded& aEntry)
  {
    // Attempts may end after their job has finished, so the job need not be unfinished here.
    auto job = this->state.jobs.find(aEntry.attempt.task.job);
    if (job == this->state.jobs.end() || aEntry.outcome == StoredAttemptOutcome::None) {
      return false;
    }
    std::uint32_t index = aEntry.attempt.task.index;
    auto found = LowerBound(job->second.tasks, index);
    if (found == job->second.tasks.end() || found->index != index || !found->current ||
        found->attemptsUsed != aEntry.attempt.attempt) {
      return false;
    }
    found->current.reset();
    found->lastOutcome = aEntry.outcome;
    found->failures += aEntry.outcome == StoredAttemptOutcome::Failed ? 1 : 0;
    return true;
  }

  bool operator()(const JobCancelled& aEntry)
  {
    JobRecord* job = this->FindUnfinishedJob(aEntry.job);
    if (job == nullptr) {
      return false;
    }
    job->isCancelled = true;
    return true;
  }

  bool operator()(const JobFinished& aEntry)
  {
    JobRecord* job = this->FindUnfinishedJob(aEntry.job);
    if (job == nullptr) {
      return false;
    }
    job->isFinished = true;
    job->finalState = aEntry.finalState;
    job->reason = aEntry.reason;
    job->endedWallSeconds = aEntry.wallSeconds;
    return true;
  }

private:
  JobRecord* FindUnfinishedJob(JobNumber aJob)
  {
    auto found = this->state.jobs.find(aJob);
    return found == this->state.jobs.end() || found->second.isFinished ? nullptr : &found->second;
  }

  RegionState& state;
};

std::error_code RegionState::ApplyRecord(const JournalRecord& aRecord)
{
  return this->ApplyEntries(aRecord.number, aRecord.entries);
}

std::error_code RegionState::ApplyEntries(std::uint64_t aNumber,
                                          const std::vector<JournalEntry>& aEntries)
{
  if (aNumber != this->position + 1) {
    return Errc::InvalidArgument;
  }
  for (const JournalEntry& entry : aEntries) {
    if (!std::visit(EntryApplier(*this), entry)) {
      ++this->ignoredEntries;
    }
  }
  this->position = aNumber;
  return {};
}

void RegionState::Expire(std::int64_t aWallSeconds)
{
  std::erase_if(this->jobs, [&](const auto& aItem) {
    const JobRecord& job = aItem.second;
    auto isRunning = [](const TaskRecord& aTask) { return aTask.current.has_value(); };
    // A job with a running attempt is kept, since the attempt still uses resources.
    return job.isFinished &&
           aWallSeconds - job.endedWallSeconds >= Seconds(kFinishedJobRetention) &&
           std::none_of(job.tasks.begin(), job.tasks.end(), isRunning);
  });
  std::erase_if(this->keys, [&](const auto& aItem) {
    return aWallSeconds - aItem.second.wallSeconds >= Seconds(kIdempotencyRetention);
  });
}

const JobRecord* RegionState::FindJob(JobNumber aJob) const
{
  auto found = this->jobs.find(aJob);
  return found == this->jobs.end() ? nullptr : &found->second;
}

const IdempotencyRecord* RegionState::FindIdempotencyKey(const TeamName& aTeam,
                                                         const std::string& aKeyDigest) const
{
  auto found = this->keys.find({ aTeam, aKeyDigest });
  return found == this->keys.end() ? nullptr : &found->second;
}

bool RegionState::operator==(const RegionState& aOther) const
{
  return this->position == aOther.position && this->nextJob == aOther.nextJob &&
         this->jobs == aOther.jobs && this->keys == aOther.keys;
}

} // namespace daisydrift
