#include "CommitQueue.h"

#include <algorithm>
#include <cassert>

namespace daisydrift {

namespace {

/// Bytes of one record that are left for entries; the journal's own limit is higher, so that the
/// estimate of an entry's size need not be exact.
constexpr std::size_t kGroupBytes = 192 * 1024;
/// Upper estimate of an entry without its variable texts.
constexpr std::size_t kEntryBytes = 48;

std::size_t EstimateSize(const JournalEntry& aEntry)
{
  if (const auto* accepted = std::get_if<JobAccepted>(&aEntry)) {
    return kEntryBytes + accepted->specification.size() + accepted->idempotencyKeyDigest.size() +
           accepted->bodyDigest.size();
  }
  if (const auto* assigned = std::get_if<TaskAssigned>(&aEntry)) {
    return kEntryBytes + assigned->worker.size() + assigned->incarnation.size();
  }
  if (const auto* ended = std::get_if<AttemptEnded>(&aEntry)) {
    return kEntryBytes + ended->detail.size();
  }
  if (const auto* finished = std::get_if<JobFinished>(&aEntry)) {
    return kEntryBytes + finished->reason.size();
  }
  return kEntryBytes;
}

} // namespace

CommitQueue::CommitQueue(RegionOwnership aOwnership)
  : ownership(std::move(aOwnership))
{
}

void CommitQueue::Add(JournalEntry aEntry,
                      Action aAction,
                      std::uint64_t aUnit,
                      std::optional<TimePoint> aDeadline)
{
  this->entries.push_back({ std::move(aEntry), std::move(aAction), aUnit, aDeadline });
}

std::error_code CommitQueue::Flush(TimePoint aNow, std::int64_t aWallSeconds)
{
  if (this->openCount > 0) {
    return this->OnResult(this->ownership.journal->Resolve(), aNow);
  }
  this->DropExpired(aNow);
  if (this->isCompacting || this->ownership.journal->NeedsSnapshot()) {
    std::error_code error = this->Compact(aWallSeconds);
    if (error && !this->ownership.journal->HasRoom()) {
      return this->OnResult(error, aNow);
    }
  }
  bool isDue = this->isBlocked || aNow - this->lastCommit >= kGroupCommitInterval;
  if (this->entries.empty() || !isDue || !this->ownership.journal->HasRoom()) {
    return {};
  }
  this->triedCount = this->NextGroupSize();
  std::vector<JournalEntry> group;
  group.reserve(this->triedCount);
  for (std::size_t i = 0; i < this->triedCount; ++i) {
    group.push_back(this->entries[i].entry);
  }
  return this->OnResult(this->ownership.journal->Append(group), aNow);
}

std::error_code CommitQueue::OnResult(const Result<std::uint64_t>& aNumber, TimePoint aNow)
{
  if (aNumber) {
    this->OnCommitted(*aNumber, aNow);
    return {};
  }
  bool isOpen = this->ownership.journal->UnresolvedEntries() != nullptr;
  this->openCount = isOpen ? this->triedCount : 0;
  if (!this->isBlocked) {
    this->isBlocked = true;
    this->blockedSince = aNow;
  }
  return aNumber.Error();
}

void CommitQueue::OnCommitted(std::uint64_t aNumber, TimePoint aNow)
{
  std::vector<JournalEntry> group;
  std::vector<Action> actions;
  for (std::size_t i = 0; i < this->triedCount; ++i) {
    group.push_back(std::move(this->entries.front().entry));
    actions.push_back(std::move(this->entries.front().action));
    this->entries.pop_front();
  }
  this->openCount = 0;
  this->triedCount = 0;
  this->isBlocked = false;
  this->lastCommit = aNow;
  ++this->records;
  std::error_code error = this->ownership.state.ApplyEntries(aNumber, group);
  assert(!error);
  static_cast<void>(error);
  for (Action& action : actions) {
    if (action) {
      action(CommitOutcome::Committed, aNow);
    }
  }
}

void CommitQueue::DropExpired(TimePoint aNow)
{
  auto isExpired = [aNow](const Pending& aPending) {
    return aPending.deadline && *aPending.deadline <= aNow;
  };
  // Runs in every step; the queue is built anew only when something has expired.
  if (std::none_of(this->entries.begin(), this->entries.end(), isExpired)) {
    return;
  }
  std::deque<Pending> kept;
  std::vector<Action> dropped;
  for (Pending& pending : this->entries) {
    if (isExpired(pending)) {
      dropped.push_back(std::move(pending.action));
    } else {
      kept.push_back(std::move(pending));
    }
  }
  this->entries = std::move(kept);
  for (Action& action : dropped) {
    action(CommitOutcome::NotCommitted, aNow);
  }
}

std::size_t CommitQueue::NextGroupSize() const
{
  std::size_t bytes = 0;
  std::size_t lastBoundary = 0;
  for (std::size_t i = 0; i < this->entries.size(); ++i) {
    bytes += EstimateSize(this->entries[i].entry);
    if (bytes > kGroupBytes && lastBoundary > 0) {
      return lastBoundary;
    }
    bool isInsideUnit = this->entries[i].unit != 0 && i + 1 < this->entries.size() &&
                        this->entries[i + 1].unit == this->entries[i].unit;
    if (!isInsideUnit) {
      lastBoundary = i + 1;
    }
  }
  return lastBoundary;
}

std::error_code CommitQueue::Compact(std::int64_t aWallSeconds)
{
  if (!this->isCompacting) {
    this->ownership.state.Expire(aWallSeconds);
    if (std::error_code error = this->ownership.snapshots->Begin(this->ownership.state)) {
      return error;
    }
    this->isCompacting = true;
  }
  Result<bool> isDone = this->ownership.snapshots->Step();
  if (!isDone) {
    return isDone.Error();
  }
  if (*isDone) {
    this->isCompacting = false;
    this->ownership.journal->SetCovered(this->ownership.snapshots->Covered());
  }
  return {};
}

void CommitQueue::Abandon(TimePoint aNow)
{
  std::deque<Pending> abandoned = std::move(this->entries);
  this->entries.clear();
  for (std::size_t i = 0; i < abandoned.size(); ++i) {
    if (abandoned[i].action) {
      abandoned[i].action(
        i < this->openCount ? CommitOutcome::Unknown : CommitOutcome::NotCommitted, aNow);
    }
  }
  this->openCount = 0;
}

} // namespace daisydrift
