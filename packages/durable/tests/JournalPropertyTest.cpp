// Property test of journal, snapshots and takeover with generated interleavings of several leaders
// and with lost responses, lost requests and delayed requests. The store reports which records took
// effect; a reference model applies exactly these.

#include "DurableFixtures.h"
#include "UnreliableStore.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <random>
#include <set>

namespace daisydrift {
namespace {

/// Independent implementation of the region state, without regard to speed or size.
struct ReferenceModel
{
  std::map<JobNumber, JobAccepted> accepted;
  std::set<JobNumber> cancelled;
  std::map<JobNumber, JobFinished> finished;
  /// All attempts that were ever assigned, with their outcomes.
  std::map<TaskId, std::map<std::uint32_t, std::pair<TaskAssigned, StoredAttemptOutcome>>> attempts;
  JobNumber highestJob = 0;

  bool IsOpen(JobNumber aJob) const
  {
    return this->accepted.contains(aJob) && !this->finished.contains(aJob);
  }
  void operator()(const JobAccepted& aEntry)
  {
    if (aEntry.job > this->highestJob) {
      this->highestJob = aEntry.job;
      this->accepted[aEntry.job] = aEntry;
    }
  }
  void operator()(const TaskAssigned& aEntry)
  {
    auto& taskAttempts = this->attempts[aEntry.attempt.task];
    bool isFree =
      taskAttempts.empty() || taskAttempts.rbegin()->second.second != StoredAttemptOutcome::None;
    bool isNew = aEntry.attempt.attempt > (taskAttempts.empty() ? 0 : taskAttempts.rbegin()->first);
    if (this->IsOpen(aEntry.attempt.task.job) &&
        !this->cancelled.contains(aEntry.attempt.task.job) && isFree && isNew) {
      taskAttempts[aEntry.attempt.attempt] = { aEntry, StoredAttemptOutcome::None };
    }
  }
  void operator()(const AttemptEnded& aEntry)
  {
    auto& taskAttempts = this->attempts[aEntry.attempt.task];
    auto found = taskAttempts.find(aEntry.attempt.attempt);
    if (found != taskAttempts.end() && found->second.second == StoredAttemptOutcome::None) {
      found->second.second = aEntry.outcome;
    }
  }
  void operator()(const JobCancelled& aEntry)
  {
    if (this->IsOpen(aEntry.job)) {
      this->cancelled.insert(aEntry.job);
    }
  }
  void operator()(const JobFinished& aEntry)
  {
    if (this->IsOpen(aEntry.job)) {
      this->finished[aEntry.job] = aEntry;
    }
  }

  bool IsDropped(JobNumber aJob, std::int64_t aNow) const
  {
    auto end = this->finished.find(aJob);
    if (end == this->finished.end() || aNow - end->second.wallSeconds < 3600) {
      return false;
    }
    for (const auto& [task, taskAttempts] : this->attempts) {
      if (task.job == aJob && !taskAttempts.empty() &&
          taskAttempts.rbegin()->second.second == StoredAttemptOutcome::None) {
        return false;
      }
    }
    return true;
  }

  /// Compares the model with aState at wall-clock time aNow.
  void Check(const RegionState& aState, std::int64_t aNow) const
  {
    RC_ASSERT(aState.NextJob() == this->highestJob + 1);
    std::size_t jobs = 0;
    std::map<std::string, const JobAccepted*> keys;
    for (const auto& [number, job] : this->accepted) {
      if (aNow - job.wallSeconds < 24 * 3600) {
        keys[job.idempotencyKeyDigest] = &job;
      }
      if (!this->IsDropped(number, aNow)) {
        ++jobs;
        this->CheckJob(aState, job);
      }
    }
    RC_ASSERT(aState.Jobs().size() == jobs);
    RC_ASSERT(aState.IdempotencyKeyCount() == keys.size());
    for (const auto& [digest, job] : keys) {
      const IdempotencyRecord* record = aState.FindIdempotencyKey(job->team, digest);
      RC_ASSERT(record != nullptr);
      RC_ASSERT(record->job == job->job);
      RC_ASSERT(record->bodyDigest == job->bodyDigest);
    }
  }

  void CheckJob(const RegionState& aState, const JobAccepted& aJob) const
  {
    const JobRecord* record = aState.FindJob(aJob.job);
    RC_ASSERT(record != nullptr);
    RC_ASSERT(record->specification == aJob.specification);
    RC_ASSERT(record->isCancelled == this->cancelled.contains(aJob.job));
    RC_ASSERT(record->isFinished == this->finished.contains(aJob.job));
    if (record->isFinished) {
      RC_ASSERT(record->reason == this->finished.at(aJob.job).reason);
    }
    std::size_t tasks = 0;
    for (const auto& [id, taskAttempts] : this->attempts) {
      if (id.job != aJob.job || taskAttempts.empty()) {
        continue;
      }
      ++tasks;
      const TaskRecord* task = record->FindTask(id.index);
      RC_ASSERT(task != nullptr);
      RC_ASSERT(task->attemptsUsed == taskAttempts.rbegin()->first);
      std::uint32_t failures = 0;
      for (const auto& [number, attempt] : taskAttempts) {
        failures += attempt.second == StoredAttemptOutcome::Failed ? 1 : 0;
      }
      RC_ASSERT(task->failures == failures);
      const auto& last = taskAttempts.rbegin()->second;
      RC_ASSERT(task->current.has_value() == (last.second == StoredAttemptOutcome::None));
      if (task->current) {
        RC_ASSERT(task->current->worker == last.first.worker);
        RC_ASSERT(task->current->limit == last.first.limit);
      }
    }
    RC_ASSERT(record->tasks.size() == tasks);
  }
};

/// One generated scenario: leaders take over from each other, and the deposed ones keep running.
class RandomScenario
{
public:
  explicit RandomScenario(std::uint64_t aSeed)
    : generator(aSeed)
  {
    this->store.onWrite = [this](const std::string& aKey, const std::string& aValue) {
      if (aKey.starts_with("journal/")) {
        this->OnRecordWritten(*DecodeRecord(aValue));
      }
    };
    this->SetFaults(true);
  }

  void Step()
  {
    unsigned choice = this->Pick(100);
    this->wallSeconds += this->Pick(20);
    if (this->leaders.empty() || choice < 4) {
      this->StartLeader();
      return;
    }
    // Mostly the newest leader, but the deposed leaders keep appending too.
    std::size_t index =
      this->Pick(3) == 0 ? this->Pick(this->leaders.size()) : this->leaders.size() - 1;
    RegionOwnership& leader = this->leaders[index];
    if (choice < 10) {
      this->store.DeliverDelayed();
    } else if (choice < 16) {
      this->CompactLeader(leader);
    } else if (choice < 20) {
      // Bursts of appends make the ring wrap around in some of the scenarios.
      for (unsigned i = this->Pick(300); i > 0; --i) {
        this->AppendBy(index, leader);
      }
    } else {
      this->AppendBy(index, leader);
    }
  }

  /// Stops the faults and compares the state recovered by a last leader with the model.
  void Finish()
  {
    this->SetFaults(false);
    this->store.DeliverDelayed();
    this->StartLeader();
    RC_ASSERT(!this->leaders.empty());
    RegionOwnership& last = this->leaders.back();
    RC_ASSERT(last.journal->WriterEpoch() == this->epoch);
    for (std::size_t i = 0; i < this->leaders.size(); ++i) {
      this->ResolveBy(i, this->leaders[i]);
    }
    RC_ASSERT(last.state.Position() == this->records.size());
    last.state.Expire(this->wallSeconds);
    this->model.Check(last.state, this->wallSeconds);
    for (const auto& [isCommitted, batch] : this->reported) {
      RC_ASSERT(isCommitted == this->committedBatches.contains(batch));
    }
  }

  std::size_t RecordCount() const { return this->records.size(); }
  std::size_t LeaderCount() const { return this->leaders.size(); }

private:
  std::uint64_t Pick(std::uint64_t aBound) { return this->generator() % aBound; }

  void SetFaults(bool aOn)
  {
    this->store.chooseOutcome = [this, aOn](const std::string&, const std::string&) {
      unsigned choice = this->Pick(100);
      if (!aOn || choice >= 15) {
        return CallOutcome::Normal;
      }
      constexpr std::array<CallOutcome, 5> kCallOutcomes = { CallOutcome::Unreachable,
                                                             CallOutcome::ResponseLost,
                                                             CallOutcome::RequestLost,
                                                             CallOutcome::Overloaded,
                                                             CallOutcome::Delayed };
      return kCallOutcomes[choice % kCallOutcomes.size()];
    };
  }

  /// Called when a record took effect in the store.
  void OnRecordWritten(const JournalRecord& aRecord)
  {
    RC_ASSERT(aRecord.number == this->records.size() + 1);
    // The inner parentheses keep the short-circuit evaluation, which the macro's operator|| lacks.
    RC_ASSERT((this->records.empty() || aRecord.epoch >= this->records.back().epoch));
    this->records.push_back(aRecord);
    for (const JournalEntry& entry : aRecord.entries) {
      std::visit(this->model, entry);
    }
    if (!aRecord.entries.empty()) {
      this->committedBatches.insert(BatchId(aRecord.entries));
    }
  }

  void StartLeader()
  {
    ++this->epoch;
    auto leader = TakeOver(this->store, kRegion, this->epoch, "w" + std::to_string(this->epoch));
    if (leader) {
      this->leaders.push_back(std::move(*leader));
    }
  }

  /// Id of a batch: its first entry cancels a job with a number that no other batch uses.
  static JobNumber BatchId(const std::vector<JournalEntry>& aEntries)
  {
    return std::get<JobCancelled>(aEntries[0]).job;
  }

  std::vector<JournalEntry> MakeBatch(const RegionState& aState)
  {
    std::vector<JournalEntry> entries{ JobCancelled{ (1ull << 60) + ++this->batches } };
    for (std::uint64_t i = 1 + this->Pick(3); i > 0; --i) {
      JobNumber job = 1 + this->Pick(aState.NextJob());
      AttemptId attempt{ { job, static_cast<std::uint32_t>(this->Pick(3)) },
                         static_cast<std::uint32_t>(1 + this->Pick(4)) };
      switch (this->Pick(6)) {
        case 0: {
          JobAccepted accept = Accept(aState.NextJob());
          accept.wallSeconds = this->wallSeconds;
          entries.emplace_back(accept);
          break;
        }
        case 1:
        case 2:
          entries.emplace_back(
            TaskAssigned{ attempt, "w" + std::to_string(job), "i", { 1, 2, 3 } });
          break;
        case 3:
        case 4:
          entries.emplace_back(
            AttemptEnded{ attempt, static_cast<StoredAttemptOutcome>(1 + this->Pick(4)), "" });
          break;
        default:
          if (this->Pick(2) == 0) {
            entries.emplace_back(JobCancelled{ job });
          } else {
            entries.emplace_back(JobFinished{ job, 1, "end", this->wallSeconds });
          }
      }
    }
    return entries;
  }

  void AppendBy(std::size_t aIndex, RegionOwnership& aLeader)
  {
    if (aLeader.journal->UnresolvedEntries() != nullptr) {
      this->ResolveBy(aIndex, aLeader);
      return;
    }
    std::vector<JournalEntry> entries = this->MakeBatch(aLeader.state);
    auto number = aLeader.journal->Append(entries);
    this->Report(aLeader, entries, number);
    if (number.Error() == Errc::LimitReached) {
      this->CompactLeader(aLeader);
    }
  }

  void ResolveBy(std::size_t aIndex, RegionOwnership& aLeader)
  {
    if (aLeader.journal->UnresolvedEntries() == nullptr) {
      return;
    }
    std::vector<JournalEntry> entries = *aLeader.journal->UnresolvedEntries();
    auto number = aLeader.journal->Resolve();
    this->Report(aLeader, entries, number);
    RC_ASSERT((aIndex + 1 != this->leaders.size() || !aLeader.journal->IsFenced() ||
               this->epoch > aLeader.journal->WriterEpoch()));
  }

  /// Records whether the journal reported a batch as committed; unknown outcomes are not recorded.
  void Report(RegionOwnership& aLeader,
              const std::vector<JournalEntry>& aEntries,
              const Result<std::uint64_t>& aNumber)
  {
    if (aNumber) {
      RC_ASSERT(!aLeader.state.ApplyEntries(*aNumber, aEntries));
    }
    if (aNumber.Error() != Errc::OutcomeUnknown) {
      this->reported.emplace_back(aNumber.HasValue(), BatchId(aEntries));
    }
  }

  void CompactLeader(RegionOwnership& aLeader)
  {
    aLeader.state.Expire(this->wallSeconds);
    static_cast<void>(Compact(aLeader));
  }

  std::mt19937_64 generator;
  UnreliableStore store;
  std::vector<RegionOwnership> leaders;
  Epoch epoch = 0;
  std::int64_t wallSeconds = 1000;
  std::uint64_t batches = 0;
  ReferenceModel model;
  std::vector<JournalRecord> records;
  std::set<JobNumber> committedBatches;
  std::vector<std::pair<bool, JobNumber>> reported;
};

/// Guards against records accepted from a deposed leader (epochs in the ring would decrease),
/// committed records that are lost or applied twice (numbers would repeat, or the recovered state
/// would differ from the model), and wrong results reported to the caller.
RC_GTEST_PROP(JournalProperty, RecoveredStateIsThatOfAllCommittedRecords, ())
{
  RandomScenario scenario(*rc::gen::arbitrary<std::uint64_t>());
  int steps = *rc::gen::inRange(1, 400);
  for (int i = 0; i < steps; ++i) {
    scenario.Step();
  }
  scenario.Finish();
  RC_CLASSIFY(scenario.RecordCount() > kJournalSlots, "ring wrapped around");
  RC_CLASSIFY(scenario.LeaderCount() > 2, "three leaders or more");
}

} // namespace
} // namespace daisydrift
