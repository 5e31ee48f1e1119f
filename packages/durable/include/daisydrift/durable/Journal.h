#pragma once
// The journal of a region: a ring of keys in the store, written by one leader at a time.

#include "daisydrift/durable/JournalRecord.h"
#include "daisydrift/external.h"

#include <array>
#include <chrono>
#include <optional>

namespace daisydrift {

class RegionState;

/// Slots of the ring (docs/design.md, section 2.2).
constexpr std::uint64_t kJournalSlots = 1024;
/// A snapshot is due after this many records since the last one; this bounds the reads of a
/// recovery.
constexpr std::uint64_t kRecordsPerSnapshot = 256;
/// A snapshot is due after this many bytes of records since the last one.
constexpr std::uint64_t kBytesPerSnapshot = 4 * 1024 * 1024;

/// Timeouts and retry limits of store calls.
struct DurableOptions
{
  /// Timeout of one call; the outcome of a slower call is unknown (docs/design.md, section 3.2).
  std::chrono::milliseconds callTimeout{ 1000 };
  /// Consecutive attempts of one store call before an operation returns an error.
  unsigned maxAttempts = 4;
  /// Attempts of a takeover before it returns Conflict. Each failed attempt means that the old
  /// leader committed a record in the meantime, so some are expected while it is running.
  unsigned maxTakeOverAttempts = 50;
};

/// Key of the ring slot that holds record aNumber.
std::string JournalKey(const std::string& aRegion, std::uint64_t aNumber);

/// Appends records by compare-and-swap and resolves writes with an unknown outcome. Not
/// thread-safe. Created by TakeOver().
class Journal
{
public:
  Journal(Store& aStore,
          std::string aRegion,
          Epoch aEpoch,
          InstanceId aWriter,
          DurableOptions aOptions = {});

  /// Commits aEntries as one record and returns its number. Errors:
  /// - InvalidArgument: no entries, or a record larger than kMaxRecordBytes; the caller must split
  ///   the entries.
  /// - LimitReached: the next slot holds a record not covered by a snapshot; write a snapshot
  ///   first.
  /// - NotPermitted: an earlier record is not resolved yet; call Resolve() first.
  /// - Unreachable, Overloaded: the record was not committed and never will be.
  /// - Fenced: another leader has taken over; the record was not committed and never will be.
  /// - OutcomeUnknown: the record may or may not be committed. Call Resolve() until it returns
  ///   another result. If IsFenced(), only the new leader can know the outcome.
  /// - Corrupt: the next slot does not hold a valid record. Nothing was written.
  Result<std::uint64_t> Append(const std::vector<JournalEntry>& aEntries);

  /// Reads the slot of the unresolved record and retries the write if it had no effect; returns the
  /// record's number when it is committed. Errors: as Append, without InvalidArgument and
  /// LimitReached; NotPermitted when there is no unresolved record.
  Result<std::uint64_t> Resolve();

  /// Entries of the record whose outcome is unknown, or null.
  const std::vector<JournalEntry>* UnresolvedEntries() const;

  /// Size in bytes of the next record with these entries; kMaxRecordBytes + 1 for any record that
  /// is too large.
  std::size_t EncodedSize(const std::vector<JournalEntry>& aEntries) const;

  /// True once a write of another leader was found. It stays true, and every later call fails.
  bool IsFenced() const { return this->isFenced; }
  /// Number of the last record known to be committed.
  std::uint64_t Position() const { return this->position; }
  /// Number of the last record covered by a snapshot.
  std::uint64_t SnapshotPosition() const { return this->snapshotPosition; }
  /// Epoch of this journal's records.
  Epoch WriterEpoch() const { return this->epoch; }
  /// Records that a snapshot covers all records up to aPosition, so that their slots may be reused.
  void SetSnapshotPosition(std::uint64_t aPosition);
  /// Bytes of the records that no snapshot covers.
  std::uint64_t BytesSinceSnapshot() const { return this->bytesSinceSnapshot; }
  /// True when a snapshot is due.
  bool NeedsSnapshot() const;
  /// True when the next slot is empty or holds a record covered by a snapshot.
  bool IsNextSlotFree() const;

  /// Recovery only: applies the committed records after aState's position, up to the end of the
  /// journal. Errors: Conflict when the old leader has reused a slot that was still to be read
  /// (read the snapshot again), Fenced when a record of a higher epoch, or of this epoch by another
  /// writer, is found, Corrupt, and those of the store.
  std::error_code ReplayRecords(RegionState& aState);
  /// Recovery only: appends a record without entries as epoch barrier. Errors: Conflict when
  /// another leader's record took the slot (call ReplayRecords() and retry); otherwise as Append.
  Result<std::uint64_t> AppendBarrier();

private:
  /// Cached revision of a ring slot.
  struct Slot
  {
    bool isKnown = false;
    Revision revision = 0;
  };
  /// A record being written.
  struct Pending
  {
    JournalRecord record;
    std::string bytes;
    /// True once a write may have reached the store.
    bool isAmbiguous = false;
  };

  /// Reads the block of slots that contains the slot of record aNumber, and caches their revisions.
  Result<std::vector<StoreEntry>> ListSlotBlock(std::uint64_t aNumber);
  /// Applies aRecord if it is the next one; errors as ReplayRecords.
  std::error_code ApplyNextRecord(const JournalRecord& aRecord, RegionState& aState);
  /// Reads the revision of the next slot if it is not cached. Errors: Fenced, Corrupt and those of
  /// the store.
  std::error_code LoadNextSlot();
  Result<std::uint64_t> Write(const std::vector<JournalEntry>& aEntries);
  Result<std::uint64_t> Commit();
  /// Reads the slot of the pending record. Returns no error when the slot still holds the record to
  /// be replaced, and updates its cached revision. If the slot holds the pending record, sets
  /// aIsOwn and aOwnRevision.
  std::error_code InspectSlot(bool& aIsOwn, Revision& aOwnRevision);
  Result<std::uint64_t> MarkCommitted(Revision aRevision);
  /// Discards the pending record and returns aError.
  std::error_code DiscardPending(std::error_code aError);
  std::error_code Fence();
  Slot& SlotOf(std::uint64_t aNumber) { return this->slots[aNumber % kJournalSlots]; }

  Store& store;
  std::string region;
  Epoch epoch;
  InstanceId writer;
  DurableOptions options;
  std::array<Slot, kJournalSlots> slots;
  std::uint64_t position = 0;
  std::uint64_t snapshotPosition = 0;
  std::uint64_t bytesSinceSnapshot = 0;
  std::uint64_t lastWriteNumber = 0;
  Epoch highestEpochRead = 0;
  std::optional<Pending> pending;
  bool isFenced = false;
};

} // namespace daisydrift
