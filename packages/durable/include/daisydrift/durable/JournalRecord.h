#pragma once
// One journal record and its stored encoding.

#include "daisydrift/durable/Entries.h"

#include <string_view>
#include <vector>

namespace daisydrift {

/// Largest stored record, in bytes (docs/design.md, section 2.2).
constexpr std::size_t kMaxRecordBytes = 256 * 1024;

/// Largest record before packing, in bytes. Zeros pack to about a thousandth of their size, so the
/// packed size alone does not bound a reader's memory.
constexpr std::size_t kMaxUnpackedRecordBytes = 4 * 1024 * 1024;

/// A batch of entries that is committed atomically.
struct JournalRecord
{
  /// Position in the journal, from 1.
  std::uint64_t number = 0;
  /// Epoch of the leader that wrote it.
  Epoch epoch = 0;
  /// Identity of the process that wrote it.
  InstanceId writer;
  /// Unique for the writer and epoch; tells a retry of the same write from another write.
  std::uint64_t writeNumber = 0;
  /// The entries in the order in which they apply. Empty for an epoch barrier.
  std::vector<JournalEntry> entries;

  bool operator==(const JournalRecord&) const = default;
};

/// Encodes a record as packed Cap'n Proto with a digest. Errors: InvalidArgument (larger than
/// kMaxRecordBytes, or than kMaxUnpackedRecordBytes before packing).
Result<std::string> EncodeRecord(const JournalRecord& aRecord);

/// Decodes a stored record. Errors: Corrupt (damaged, truncated, longer than kMaxRecordBytes, or
/// with values out of range).
Result<JournalRecord> DecodeRecord(std::string_view aBytes);

} // namespace daisydrift
