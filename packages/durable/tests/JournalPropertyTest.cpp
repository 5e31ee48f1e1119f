// Properties of journal, snapshots and takeover over generated interleavings of several leaders
// with lost answers, lost and late requests. The store tells which records took effect; a naive
// model replays exactly these.

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

/// Region state written independently and without any care for speed or size.
struct NaiveModel
{
  std::map<JobNumber, JobAccepted> accepted;
  std::set<JobNumber> cancelled;
  std::map<JobNumber, JobFinished> finished;
  /// Every attempt ever assigned, and how it ended.
  std::map<TaskId, std::map<std::uint32_t, std::pair<TaskAssigned, EndOutcome>>> attempts;
  JobNumber highest = 0;

  bool IsOpen(JobNumber aJob) const
  {
    return this->accepted.contains(aJob) && !this->finished.contains(aJob);
  }
  void operator()(const JobAccepted& aEntry)
  {
    if (aEntry.job > this->highest) {
      this->highest = aEntry.job;
      this->accepted[aEntry.job] = aEntry;
    }
  }
  void operator()(const TaskAssigned& aEntry)
  {
    auto& ofTask = this->attempts[aEntry.attempt.task];
    bool isFree = ofTask.empty() || ofTask.rbegin()->second.second != EndOutcome::None;
    bool isNew = aEntry.attempt.attempt > (ofTask.empty() ? 0 : ofTask.rbegin()->first);
    if (this->IsOpen(aEntry.attempt.task.job) &&
        !this->cancelled.contains(aEntry.attempt.task.job) && isFree && isNew) {
      ofTask[aEntry.attempt.attempt] = { aEntry, EndOutcome::None };
    }
  }
  void operator()(const AttemptEnded& aEntry)
  {
    auto& ofTask = this->attempts[aEntry.attempt.task];
    auto found = ofTask.find(aEntry.attempt.attempt);
    if (found != ofTask.end() && found->second.second == EndOutcome::None) {
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
    for (const auto& [task, ofTask] : this->attempts) {
      if (task.job == aJob && !ofTask.empty() &&
          ofTask.rbegin()->second.second == EndOutcome::None) {
        return false;
      }
    }
    return true;
  }

  /// Compares the model with aState at wall-clock time aNow.
  void Check(const RegionState& aState, std::int64_t aNow) const
  {
    RC_ASSERT(aState.NextJob() == this->highest + 1);
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
    RC_ASSERT(aState.KeyCount() == keys.size());
    for (const auto& [digest, job] : keys) {
      const IdempotencyRecord* record = aState.FindKey(job->team, digest);
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
    for (const auto& [id, ofTask] : this->attempts) {
      if (id.job != aJob.job || ofTask.empty()) {
        continue;
      }
      ++tasks;
      const TaskRecord* task = record->FindTask(id.index);
      RC_ASSERT(task != nullptr);
      RC_ASSERT(task->attemptsUsed == ofTask.rbegin()->first);
      std::uint32_t failures = 0;
      for (const auto& [number, attempt] : ofTask) {
        failures += attempt.second == EndOutcome::Failed ? 1 : 0;
      }
      RC_ASSERT(task->failures == failures);
      const auto& last = ofTask.rbegin()->second;
      RC_ASSERT(task->current.has_value() == (last.second == EndOutcome::None));
      if (task->current) {
        RC_ASSERT(task->current->worker == last.first.worker);
        RC_ASSERT(task->current->limit == last.first.limit);
      }
    }
    RC_ASSERT(record->tasks.size() == tasks);
  }
};

/// One history: up to four leaders that come one after another, of which the deposed ones go on.
class History
{
public:
  explicit History(std::uint64_t aSeed)
    : generator(aSeed)
  {
    this->store.onWrite = [this](const std::string& aKey, const std::string& aValue) {
      if (aKey.starts_with("journal/")) {
        this->OnRecord(*DecodeRecord(aValue));
      }
    };
    this->SetFaults(true);
  }

  void Step()
  {
    unsigned choice = this->Pick(100);
    this->wallSeconds += this->Pick(20);
    if (this->leaders.empty() || choice < 4) {
      this->NewLeader();
      return;
    }
    // Mostly the newest leader, but the deposed ones go on too.
    std::size_t index =
      this->Pick(3) == 0 ? this->Pick(this->leaders.size()) : this->leaders.size() - 1;
    RegionOwnership& leader = this->leaders[index];
    if (choice < 10) {
      this->store.DeliverDelayed();
    } else if (choice < 16) {
      this->CompactLeader(leader);
    } else if (choice < 20) {
      // A burst turns the ring over within a few histories.
      for (unsigned i = this->Pick(300); i > 0; --i) {
        this->AppendBy(index, leader);
      }
    } else {
      this->AppendBy(index, leader);
    }
  }

  /// Ends the faults and compares what a last leader recovers with the model.
  void Finish()
  {
    this->SetFaults(false);
    this->store.DeliverDelayed();
    this->NewLeader();
    RC_ASSERT(!this->leaders.empty());
    RegionOwnership& last = this->leaders.back();
    RC_ASSERT(last.journal->WriterEpoch() == this->epoch);
    for (std::size_t i = 0; i < this->leaders.size(); ++i) {
      this->ResolveBy(i, this->leaders[i]);
    }
    RC_ASSERT(last.state.Position() == this->records.size());
    last.state.Expire(this->wallSeconds);
    this->model.Check(last.state, this->wallSeconds);
    for (const auto& [isCommitted, bytes] : this->reported) {
      RC_ASSERT(isCommitted == this->committedGroups.contains(bytes));
    }
  }

  std::size_t Records() const { return this->records.size(); }
  std::size_t Leaders() const { return this->leaders.size(); }

private:
  std::uint64_t Pick(std::uint64_t aBound) { return this->generator() % aBound; }

  void SetFaults(bool aOn)
  {
    this->store.decide = [this, aOn](const std::string&, const std::string&) {
      unsigned choice = this->Pick(100);
      if (!aOn || choice >= 15) {
        return CallFate::Normal;
      }
      constexpr std::array<CallFate, 5> kFates = { CallFate::Unreachable,
                                                   CallFate::AnswerLost,
                                                   CallFate::RequestLost,
                                                   CallFate::Overloaded,
                                                   CallFate::Delayed };
      return kFates[choice % kFates.size()];
    };
  }

  /// A record took effect in the store.
  void OnRecord(const JournalRecord& aRecord)
  {
    RC_ASSERT(aRecord.number == this->records.size() + 1);
    // The inner parentheses keep the short circuit, which the macro's own operator lacks.
    RC_ASSERT((this->records.empty() || aRecord.epoch >= this->records.back().epoch));
    this->records.push_back(aRecord);
    for (const JournalEntry& entry : aRecord.entries) {
      std::visit(this->model, entry);
    }
    if (!aRecord.entries.empty()) {
      this->committedGroups.insert(GroupId(aRecord.entries));
    }
  }

  void NewLeader()
  {
    ++this->epoch;
    auto leader = TakeOver(this->store, kRegion, this->epoch, "w" + std::to_string(this->epoch));
    if (leader) {
      this->leaders.push_back(std::move(*leader));
    }
  }

  /// The first entry of each group cancels a job with a number of its own, which identifies it.
  static JobNumber GroupId(const std::vector<JournalEntry>& aEntries)
  {
    return std::get<JobCancelled>(aEntries[0]).job;
  }

  std::vector<JournalEntry> Group(const RegionState& aState)
  {
    std::vector<JournalEntry> entries{ JobCancelled{ (1ull << 60) + ++this->groups } };
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
            AttemptEnded{ attempt, static_cast<EndOutcome>(1 + this->Pick(4)), "" });
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
    std::vector<JournalEntry> entries = this->Group(aLeader.state);
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

  /// Notes what the journal said of a group; the unknown says nothing.
  void Report(RegionOwnership& aLeader,
              const std::vector<JournalEntry>& aEntries,
              const Result<std::uint64_t>& aNumber)
  {
    if (aNumber) {
      RC_ASSERT(!aLeader.state.ApplyEntries(*aNumber, aEntries));
    }
    if (aNumber.Error() != Errc::OutcomeUnknown) {
      this->reported.emplace_back(aNumber.HasValue(), GroupId(aEntries));
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
  std::uint64_t groups = 0;
  NaiveModel model;
  std::vector<JournalRecord> records;
  std::set<JobNumber> committedGroups;
  std::vector<std::pair<bool, JobNumber>> reported;
};

/// Guards against: a record accepted from a deposed leader (the epochs in the ring would go down),
/// a committed record that is lost or applied twice (numbers would repeat or the recovered state
/// would differ from the model), and a report to the caller that is not true.
RC_GTEST_PROP(JournalProperty, RecoveredStateIsThatOfAllCommittedRecords, ())
{
  History history(*rc::gen::arbitrary<std::uint64_t>());
  int steps = *rc::gen::inRange(1, 400);
  for (int i = 0; i < steps; ++i) {
    history.Step();
  }
  history.Finish();
  RC_CLASSIFY(history.Records() > kJournalSlots, "ring turned over");
  RC_CLASSIFY(history.Leaders() > 2, "three leaders or more");
}

} // namespace
} // namespace daisydrift
