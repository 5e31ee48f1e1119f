#pragma once
// One journal record and its stored form.

#include "daisydrift/durable/Entries.h"

#include <string_view>
#include <vector>

namespace daisydrift {

/// Largest stored record, in bytes (design page, section 2.2).
constexpr std::size_t kMaxRecordBytes = 256 * 1024;

/// Largest record before packing, in bytes. Text of zeros would pack to a thousandth; the bound
/// keeps a reader's memory small.
constexpr std::size_t kMaxUnpackedRecordBytes = 4 * 1024 * 1024;

/// A group of entries committed together.
struct JournalRecord
{
  /// Position in the journal, from 1.
  std::uint64_t number = 0;
  /// Epoch of the leader that wrote it.
  Epoch epoch = 0;
  /// Identity of the process that wrote it.
  InstanceId writer;
  /// Unique for the writer and epoch: tells a repeated write from another one.
  std::uint64_t writeNumber = 0;
  /// The entries in the order they apply. Empty: an epoch barrier.
  std::vector<JournalEntry> entries;

  bool operator==(const JournalRecord&) const = default;
};

/// Stored form of a record: packed Cap'n Proto with a digest. Errors: InvalidArgument (larger than
/// kMaxRecordBytes, or than kMaxUnpackedRecordBytes before packing).
Result<std::string> EncodeRecord(const JournalRecord& aRecord);

/// Reads a stored record. Errors: Corrupt (damaged, truncated, longer than kMaxRecordBytes, or with
/// values out of range).
Result<JournalRecord> DecodeRecord(std::string_view aBytes);

} // namespace daisydrift
