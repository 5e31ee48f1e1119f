#include "daisydrift/durable/Recovery.h"

#include <functional>

namespace daisydrift {

namespace {

/// Reads the snapshot and creates a journal that starts at its position.
std::error_code LoadSnapshot(Store& aStore,
                             const std::string& aRegion,
                             Epoch aEpoch,
                             const InstanceId& aWriter,
                             const DurableOptions& aOptions,
                             RegionOwnership& aOut)
{
  SnapshotHead head;
  auto state = ReadSnapshot(aStore, aRegion, aOptions, head);
  if (head.epoch > aEpoch || (head.epoch == aEpoch && head.writer != aWriter)) {
    return Errc::Fenced;
  }
  if (!state) {
    return state.Error();
  }
  aOut.state = std::move(*state);
  aOut.snapshotBytes = head.totalBytes;
  aOut.journal = std::make_unique<Journal>(aStore, aRegion, aEpoch, aWriter, aOptions);
  aOut.journal->SetSnapshotPosition(head.position);
  aOut.snapshots = std::make_unique<SnapshotWriter>(aStore, aRegion, aEpoch, aWriter, aOptions);
  return {};
}

/// Writes a snapshot if the slot for the barrier still holds a record that no snapshot covers. A
/// snapshot of committed records is valid at any time, so it may be written before the barrier.
std::error_code EnsureNextSlotIsFree(RegionOwnership& aOut)
{
  if (aOut.journal->IsNextSlotFree()) {
    return {};
  }
  auto covered = aOut.snapshots->Write(aOut.state);
  if (!covered) {
    return covered.Error();
  }
  aOut.journal->SetSnapshotPosition(*covered);
  aOut.snapshotBytes = aOut.snapshots->SnapshotBytes();
  return {};
}

/// One attempt to read to the end of the journal and to append the barrier there. aIsLoaded is true
/// when the state read by an earlier attempt can still be used. Errors: Conflict when the old
/// leader wrote a record into the slot first; otherwise those of TakeOver().
std::error_code TryTakeOver(const std::function<std::error_code()>& aLoad,
                            RegionOwnership& aOut,
                            bool& aIsLoaded)
{
  if (!aIsLoaded) {
    if (auto error = aLoad()) {
      return error;
    }
  }
  // If a slot was reused before it was read, the next attempt must read the newer snapshot.
  aIsLoaded = false;
  if (auto error = aOut.journal->ReplayRecords(aOut.state)) {
    return error;
  }
  aIsLoaded = true;
  if (auto error = EnsureNextSlotIsFree(aOut)) {
    return error;
  }
  auto barrier = aOut.journal->AppendBarrier();
  return barrier ? aOut.state.ApplyEntries(*barrier, {}) : barrier.Error();
}

} // namespace

Result<RegionOwnership> TakeOver(Store& aStore,
                                 const std::string& aRegion,
                                 Epoch aEpoch,
                                 const InstanceId& aWriter,
                                 const DurableOptions& aOptions)
{
  if (aEpoch == 0) {
    return Errc::InvalidArgument;
  }
  RegionOwnership ownership;
  bool isLoaded = false;
  auto load = [&] { return LoadSnapshot(aStore, aRegion, aEpoch, aWriter, aOptions, ownership); };
  std::error_code error = Errc::Conflict;
  for (unsigned i = 0; i < aOptions.maxTakeOverAttempts && error == Errc::Conflict; ++i) {
    error = TryTakeOver(load, ownership, isLoaded);
  }
  if (error) {
    return error;
  }
  return ownership;
}

} // namespace daisydrift
