#include "daisydrift/durable/Journal.h"

#include "StoreRetry.h"
#include "daisydrift/durable/RegionState.h"

#include <cstdio>

namespace daisydrift {

namespace {

/// Slots read by one List call: keys have a four-digit slot number, and a block shares the first
/// three digits. Ten records of the largest size take 2.5 MB; all 1,024 would take 256 MB.
constexpr std::uint64_t kSlotsPerBlock = 10;

std::string SlotKey(const std::string& aRegion, std::uint64_t aSlot)
{
  char digits[8];
  std::snprintf(digits, sizeof(digits), "%04u", static_cast<unsigned>(aSlot));
  return "journal/" + aRegion + "/" + digits;
}

/// Number of the record that record aNumber overwrites in its slot; 0 when the slot must be empty.
std::uint64_t ReplacedNumber(std::uint64_t aNumber)
{
  return aNumber > kJournalSlots ? aNumber - kJournalSlots : 0;
}

bool IsSameWrite(const JournalRecord& aLeft, const JournalRecord& aRight)
{
  return aLeft.number == aRight.number && aLeft.epoch == aRight.epoch &&
         aLeft.writer == aRight.writer && aLeft.writeNumber == aRight.writeNumber;
}

const StoreEntry* FindEntry(const std::vector<StoreEntry>& aEntries, const std::string& aKey)
{
  for (const StoreEntry& entry : aEntries) {
    if (entry.key == aKey) {
      return &entry;
    }
  }
  return nullptr;
}

} // namespace

std::string JournalKey(const std::string& aRegion, std::uint64_t aNumber)
{
  return SlotKey(aRegion, aNumber % kJournalSlots);
}

Journal::Journal(Store& aStore,
                 std::string aRegion,
                 Epoch aEpoch,
                 InstanceId aWriter,
                 DurableOptions aOptions)
  : store(aStore)
  , region(std::move(aRegion))
  , epoch(aEpoch)
  , writer(std::move(aWriter))
  , options(aOptions)
{
}

Result<std::uint64_t> Journal::Append(const std::vector<JournalEntry>& aEntries)
{
  if (aEntries.empty()) {
    return Errc::InvalidArgument;
  }
  return this->Write(aEntries);
}

Result<std::uint64_t> Journal::AppendBarrier()
{
  auto number = this->Write({});
  if (number.Error() == Errc::Fenced) {
    // Before the barrier is written, another record in the slot is only a lost race for the slot;
    // ReplayRecords() detects a newer leader.
    this->isFenced = false;
    return Errc::Conflict;
  }
  return number;
}

Result<std::uint64_t> Journal::Write(const std::vector<JournalEntry>& aEntries)
{
  if (this->isFenced) {
    return Errc::Fenced;
  }
  if (this->pending) {
    return Errc::NotPermitted;
  }
  if (!this->IsNextSlotFree()) {
    return Errc::LimitReached;
  }
  Pending next;
  next.record = {
    this->position + 1, this->epoch, this->writer, this->lastWriteNumber + 1, aEntries
  };
  auto bytes = EncodeRecord(next.record);
  if (!bytes) {
    return bytes.Error();
  }
  next.bytes = std::move(*bytes);
  if (auto error = this->LoadNextSlot()) {
    return error;
  }
  ++this->lastWriteNumber;
  this->pending = std::move(next);
  return this->Commit();
}

Result<std::uint64_t> Journal::Resolve()
{
  if (!this->pending) {
    return this->isFenced ? Errc::Fenced : Errc::NotPermitted;
  }
  if (this->isFenced) {
    return Errc::OutcomeUnknown;
  }
  return this->Commit();
}

const std::vector<JournalEntry>* Journal::UnresolvedEntries() const
{
  return this->pending ? &this->pending->record.entries : nullptr;
}

std::size_t Journal::EncodedSize(const std::vector<JournalEntry>& aEntries) const
{
  auto bytes = EncodeRecord(
    { this->position + 1, this->epoch, this->writer, this->lastWriteNumber + 1, aEntries });
  return bytes ? bytes->size() : kMaxRecordBytes + 1;
}

void Journal::SetSnapshotPosition(std::uint64_t aPosition)
{
  assert(aPosition >= this->snapshotPosition);
  this->snapshotPosition = aPosition;
  this->bytesSinceSnapshot = 0;
}

bool Journal::NeedsSnapshot() const
{
  return this->position - this->snapshotPosition >= kRecordsPerSnapshot ||
         this->bytesSinceSnapshot >= kBytesPerSnapshot;
}

bool Journal::IsNextSlotFree() const
{
  return ReplacedNumber(this->position + 1) <= this->snapshotPosition;
}

Result<std::vector<StoreEntry>> Journal::ListSlotBlock(std::uint64_t aNumber)
{
  std::string prefix = JournalKey(this->region, aNumber);
  prefix.pop_back();
  auto entries = RetryRead(this->options.maxAttempts,
                           [&] { return this->store.List(prefix, this->options.callTimeout); });
  if (!entries) {
    return entries;
  }
  std::uint64_t slot = aNumber % kJournalSlots;
  std::uint64_t first = slot - slot % kSlotsPerBlock;
  for (slot = first; slot < first + kSlotsPerBlock && slot < kJournalSlots; ++slot) {
    const StoreEntry* entry = FindEntry(*entries, SlotKey(this->region, slot));
    this->slots[slot] = { true, entry == nullptr ? 0 : entry->revision };
  }
  return entries;
}

std::error_code Journal::ReplayRecords(RegionState& aState)
{
  this->position = aState.Position();
  for (;;) {
    std::uint64_t number = aState.Position() + 1;
    auto entries = this->ListSlotBlock(number);
    if (!entries) {
      return entries.Error();
    }
    std::uint64_t block = number % kJournalSlots / kSlotsPerBlock;
    for (; number % kJournalSlots / kSlotsPerBlock == block; ++number) {
      const StoreEntry* entry = FindEntry(*entries, JournalKey(this->region, number));
      if (entry == nullptr) {
        // Keys are never deleted, so slots are empty only in the first pass over the ring.
        return ReplacedNumber(number) == 0 ? std::error_code() : make_error_code(Errc::Corrupt);
      }
      auto record = DecodeRecord(entry->value);
      if (!record) {
        return record.Error();
      }
      if (record->number != 0 && record->number == ReplacedNumber(number)) {
        return {};
      }
      if (auto error = this->ApplyNextRecord(*record, aState)) {
        return error;
      }
      this->bytesSinceSnapshot += entry->value.size();
    }
  }
}

std::error_code Journal::ApplyNextRecord(const JournalRecord& aRecord, RegionState& aState)
{
  if (aRecord.epoch > this->epoch ||
      (aRecord.epoch == this->epoch && aRecord.writer != this->writer)) {
    return Errc::Fenced;
  }
  if (aRecord.number > aState.Position() + 1) {
    return Errc::Conflict;
  }
  // An epoch lower than that of an earlier record means that a deposed leader was not fenced.
  if (aRecord.epoch < this->highestEpochRead || aState.ApplyRecord(aRecord)) {
    return Errc::Corrupt;
  }
  this->highestEpochRead = aRecord.epoch;
  this->position = aRecord.number;
  return {};
}

std::error_code Journal::LoadNextSlot()
{
  std::uint64_t number = this->position + 1;
  if (this->SlotOf(number).isKnown) {
    return {};
  }
  auto entries = this->ListSlotBlock(number);
  if (!entries) {
    return entries.Error();
  }
  const StoreEntry* entry = FindEntry(*entries, JournalKey(this->region, number));
  if (entry == nullptr) {
    return {};
  }
  auto record = DecodeRecord(entry->value);
  if (!record) {
    this->SlotOf(number).isKnown = false;
    return record.Error();
  }
  return record->number == ReplacedNumber(number) ? std::error_code() : this->Fence();
}

Result<std::uint64_t> Journal::Commit()
{
  Pending& write = *this->pending;
  std::string key = JournalKey(this->region, write.record.number);
  for (unsigned i = 0; i < this->options.maxAttempts; ++i) {
    if (write.isAmbiguous) {
      bool isOwn = false;
      Revision ownRevision = 0;
      auto error = this->InspectSlot(isOwn, ownRevision);
      if (IsTransient(error)) {
        continue;
      }
      if (isOwn) {
        return this->MarkCommitted(ownRevision);
      }
      if (error) {
        return error;
      }
    }
    auto written = this->store.CompareAndSwap(
      key, write.bytes, this->SlotOf(write.record.number).revision, 0, this->options.callTimeout);
    if (written) {
      return this->MarkCommitted(*written);
    }
    if (written.Error() == Errc::OutcomeUnknown || written.Error() == Errc::Conflict) {
      // A conflict may be caused by this journal's own record if the transport sent the request
      // twice, so the slot is inspected in this case too.
      write.isAmbiguous = true;
    } else if (!write.isAmbiguous) {
      return this->DiscardPending(written.Error());
    }
  }
  return Errc::OutcomeUnknown;
}

std::error_code Journal::InspectSlot(bool& aIsOwn, Revision& aOwnRevision)
{
  std::uint64_t number = this->pending->record.number;
  auto entry = this->store.Get(JournalKey(this->region, number), this->options.callTimeout);
  Slot& slot = this->SlotOf(number);
  if (entry.Error() == Errc::NotFound && ReplacedNumber(number) == 0) {
    slot.revision = 0;
    return {};
  }
  if (!entry) {
    return entry.Error();
  }
  auto record = DecodeRecord(entry->value);
  if (!record) {
    return record.Error();
  }
  if (IsSameWrite(*record, this->pending->record)) {
    aIsOwn = true;
    aOwnRevision = entry->revision;
    return {};
  }
  if (record->number == ReplacedNumber(number)) {
    slot.revision = entry->revision;
    return {};
  }
  if (record->number == number) {
    return this->DiscardPending(this->Fence());
  }
  // A later record has overwritten the slot, so only the new leader knows what record `number` was.
  static_cast<void>(this->Fence());
  return Errc::OutcomeUnknown;
}

Result<std::uint64_t> Journal::MarkCommitted(Revision aRevision)
{
  std::uint64_t number = this->pending->record.number;
  this->SlotOf(number) = { true, aRevision };
  this->position = number;
  this->bytesSinceSnapshot += this->pending->bytes.size();
  this->pending.reset();
  return number;
}

std::error_code Journal::DiscardPending(std::error_code aError)
{
  this->pending.reset();
  return aError;
}

std::error_code Journal::Fence()
{
  this->isFenced = true;
  return Errc::Fenced;
}

} // namespace daisydrift
