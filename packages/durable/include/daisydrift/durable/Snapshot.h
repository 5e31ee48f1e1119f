#pragma once
// Snapshots of a region's state in the store.
//
// Two generations alternate; the head key names the generation in use. A deposed leader that is
// still writing can't damage that generation:
// - A writer first claims the head by writing its epoch into it. From then on no leader of a lower
//   epoch can switch the head to another generation.
// - Parts are written by compare-and-swap only. A revision that the writer has read, not written,
//   is used only if the head, read afterwards, still holds the writer's epoch. So a deposed writer
//   never uses the revision of a part that a later leader wrote.
// - The head holds a digest of each part, so that a reader detects when the generation that it
//   reads was overwritten by two later snapshots, and reads again.

#include "daisydrift/durable/Journal.h"
#include "daisydrift/durable/RegionState.h"

#include <string>
#include <vector>

namespace daisydrift {

/// Largest part of a snapshot, in bytes (docs/design.md, section 2.2).
constexpr std::size_t kMaxPartBytes = 512 * 1024;

/// Describes the snapshot in use.
struct SnapshotHead
{
  /// Number of the snapshot, from 1; 0 before the first one.
  std::uint64_t generation = 0;
  /// Last journal record covered.
  std::uint64_t position = 0;
  /// Epoch of the leader that claimed the head; only this leader may switch it.
  Epoch epoch = 0;
  /// Identity of the process that wrote the head.
  InstanceId writer;
  /// Size of all parts together, in bytes.
  std::uint64_t totalBytes = 0;
  /// Digest of each part, in order.
  std::vector<std::uint64_t> partDigests;

  bool operator==(const SnapshotHead&) const = default;
};

/// Store key of the head.
std::string SnapshotHeadKey(const std::string& aRegion);
/// Store key of one part.
std::string SnapshotPartKey(const std::string& aRegion,
                            std::uint64_t aGeneration,
                            std::size_t aPart);

/// Encodes a head. Errors: InvalidArgument (the writer's identity is too long).
Result<std::string> EncodeHead(const SnapshotHead& aHead);
/// Decodes a head. Errors: Corrupt.
Result<SnapshotHead> DecodeHead(std::string_view aBytes);

/// Reads the snapshot in use; returns an empty state when there is none yet. aHead receives the
/// head. Errors: Conflict (the snapshot was replaced during the read), Corrupt, and those of the
/// store.
Result<RegionState> ReadSnapshot(Store& aStore,
                                 const std::string& aRegion,
                                 const DurableOptions& aOptions,
                                 SnapshotHead& aHead);

/// Writes the snapshots of a region for one leader. Not thread-safe.
class SnapshotWriter
{
public:
  SnapshotWriter(Store& aStore,
                 std::string aRegion,
                 Epoch aEpoch,
                 InstanceId aWriter,
                 DurableOptions aOptions = {});

  /// Writes a snapshot of aState and returns the position that it covers. Errors: those of the
  /// store (call again with this or a newer state), Fenced, Corrupt (the head is damaged),
  /// InvalidArgument (the state is too large for a snapshot).
  Result<std::uint64_t> Write(const RegionState& aState);

  /// Starts a snapshot of aState, for callers that do other work between the store calls.
  /// Errors: InvalidArgument (as Write).
  std::error_code Begin(const RegionState& aState);
  /// Does the next step of the snapshot started by Begin(); a step makes a few store calls. Returns
  /// true when the snapshot is complete and the head is switched. After an error of the store the
  /// next call repeats the step.
  Result<bool> Step();
  /// Last record covered by the snapshot in use, as last read or written by this writer.
  std::uint64_t SnapshotPosition() const { return this->head.position; }
  /// Size of that snapshot in bytes.
  std::uint64_t SnapshotBytes() const { return this->head.totalBytes; }

private:
  /// Reads the head and writes this leader's epoch into it.
  std::error_code ClaimHead();
  /// Reads the head. Errors: Fenced when the head does not hold this writer's epoch.
  std::error_code CheckOwnership();
  std::error_code WritePart();
  /// Bytes of one part of the snapshot being written.
  std::string Part(std::size_t aIndex) const;
  std::error_code SwitchHead();
  /// Replaces the head at `headRevision`.
  Result<Revision> WriteHead(const SnapshotHead& aHead);
  /// Reads the head into `head` and `headRevision`.
  std::error_code ReadHead();
  /// Reads the revision of a part that this writer has not written yet.
  std::error_code LoadPartRevision(const std::string& aKey);
  std::error_code Fence();

  Store& store;
  std::string region;
  Epoch epoch;
  InstanceId writer;
  DurableOptions options;
  /// The head as last read or written, and its revision; 0 when the key is absent.
  SnapshotHead head;
  Revision headRevision = 0;
  bool isClaimed = false;
  /// True while the outcome of the write that switches the head is unknown.
  bool isSwitchAmbiguous = false;
  bool isFenced = false;
  /// Last known revision of each part's key.
  std::map<std::string, Revision> partRevisions;
  /// The encoded snapshot being written; empty when there is none.
  std::string encoded;
  std::size_t nextPart = 0;
  SnapshotHead nextHead;
};

} // namespace daisydrift
