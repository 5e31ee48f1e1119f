#pragma once
// Takeover of a region's durable state by a new leader.

#include "daisydrift/durable/Journal.h"
#include "daisydrift/durable/RegionState.h"
#include "daisydrift/durable/Snapshot.h"

#include <memory>

namespace daisydrift {

/// Journal, snapshots and state of a region, owned by its leader.
struct RegionOwnership
{
  std::unique_ptr<Journal> journal;
  std::unique_ptr<SnapshotWriter> snapshots;
  /// State after the last committed record; after TakeOver() that is the new leader's barrier.
  RegionState state;
  /// Size in bytes of the last snapshot read or written.
  std::uint64_t snapshotBytes = 0;
};

/// Reads the snapshot and the journal of aRegion and fences the old leader by an epoch barrier.
/// Safe while the old leader is still appending: a record that it committed before the barrier is
/// read, an append after the barrier fails. aEpoch must be higher than that of every earlier leader
/// of the region; aWriter is unique for the process. After an error the caller may call again with
/// the same epoch. Errors: Fenced (a leader of a higher epoch exists), Conflict (the old leader won
/// the race for the slot in every attempt), OutcomeUnknown (the barrier may or may not be written),
/// Corrupt, and those of the store.
Result<RegionOwnership> TakeOver(Store& aStore,
                                 const std::string& aRegion,
                                 Epoch aEpoch,
                                 const InstanceId& aWriter,
                                 const DurableOptions& aOptions = {});

} // namespace daisydrift
