#pragma once
// Snapshots of a region's state in the store.
//
// Two generations alternate, and the head names the one in use. A deposed leader that is still
// writing can't damage it:
// - A writer first claims the head: it writes its epoch there. From then on no leader of a lower
//   epoch can switch the head.
// - Parts are written by compare-and-swap only. A revision that is not from an own write is used
//   only if the head, read afterwards, still carries the writer's epoch. So a deposed writer never
//   knows the revision of a part that a later leader wrote.
// - The head carries a digest of each part, so that a reader that raced with two compactions
//   notices and reads again.

#include "daisydrift/durable/Journal.h"
#include "daisydrift/durable/RegionState.h"

#include <string>
#include <vector>

namespace daisydrift {

/// Largest part of a snapshot, in bytes (design page, section 2.2).
constexpr std::size_t kMaxPartBytes = 512 * 1024;

/// Which snapshot is in use.
struct SnapshotHead
{
  /// Number of the snapshot, from 1; 0 before the first one.
  std::uint64_t generation = 0;
  /// Last journal record covered.
  std::uint64_t position = 0;
  /// Epoch of the leader that owns the head: only it may switch the head.
  Epoch epoch = 0;
  /// Identity of the process that wrote the head.
  InstanceId writer;
  /// Bytes of all parts together.
  std::uint64_t totalBytes = 0;
  /// Digest of each part, in order.
  std::vector<std::uint64_t> partDigests;

  bool operator==(const SnapshotHead&) const = default;
};

/// Key of the head.
std::string SnapshotHeadKey(const std::string& aRegion);
/// Key of one part.
std::string SnapshotPartKey(const std::string& aRegion,
                            std::uint64_t aGeneration,
                            std::size_t aPart);

/// Stored form of a head. Errors: InvalidArgument (the writer's name is too long).
Result<std::string> EncodeHead(const SnapshotHead& aHead);
/// Reads a stored head. Errors: Corrupt.
Result<SnapshotHead> DecodeHead(std::string_view aBytes);

/// Reads the snapshot in use; the state is empty when there is none yet. aHead receives its head.
/// Errors: Conflict (it was replaced while it was read), Corrupt, and those of the store.
Result<RegionState> ReadSnapshot(Store& aStore,
                                 const std::string& aRegion,
                                 const DurableOptions& aOptions,
                                 SnapshotHead& aHead);

/// Writes the snapshots of one leader. Not thread-safe.
class SnapshotWriter
{
public:
  SnapshotWriter(Store& aStore,
                 std::string aRegion,
                 Epoch aEpoch,
                 InstanceId aWriter,
                 DurableOptions aOptions = {});

  /// Writes a snapshot of aState and returns the position covered. Errors: those of the store (call
  /// again, also with a newer state), Fenced, Corrupt (the head is damaged), InvalidArgument (the
  /// state is over the bound of a snapshot).
  Result<std::uint64_t> Write(const RegionState& aState);

  /// Starts a snapshot of aState, for callers that do other work between its store calls.
  /// Errors: InvalidArgument (as Write).
  std::error_code Begin(const RegionState& aState);
  /// Does the next step of the snapshot begun: a few store calls. Returns true when the head is
  /// switched. After an error of the store the same step is done again by the next call.
  Result<bool> Step();
  /// Last record covered by the snapshot in use, as far as this writer knows.
  std::uint64_t Covered() const { return this->head.position; }

private:
  /// Reads the head and writes this leader's epoch into it.
  std::error_code ClaimHead();
  /// Errors: Fenced when the head does not carry this writer's epoch.
  std::error_code CheckOwnership();
  std::error_code WritePart();
  std::error_code SwitchHead();
  /// Replaces the head that is known.
  Result<Revision> WriteHead(const SnapshotHead& aHead);
  /// Reads the head into `head` and `headRevision`.
  std::error_code ReadHead();
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
  /// True while the head may or may not name the snapshot being written.
  bool isSwitchAmbiguous = false;
  bool isFenced = false;
  /// Known revision of each part key.
  std::map<std::string, Revision> partRevisions;
  /// The snapshot being written.
  std::vector<std::string> parts;
  std::size_t nextPart = 0;
  SnapshotHead nextHead;
};

} // namespace daisydrift
