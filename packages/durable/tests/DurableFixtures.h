#pragma once
// Helpers shared by the tests of this package.

#include "daisydrift/durable.h"

#include <chrono>
#include <string>
#include <vector>

namespace daisydrift {

inline const std::string kRegion = "north";

/// The faults of a store call, with their names for test output.
inline const std::vector<std::pair<std::string, StoreFault>> kStoreFaults = {
  { "unreachable", StoreFault::Unreachable },
  { "answer_lost", StoreFault::ResponseLost },
  { "request_lost", StoreFault::RequestLost },
  { "overloaded", StoreFault::Overloaded }
};

/// An accepted job with a unique idempotency key.
inline JobAccepted Accept(JobNumber aJob, std::string aSpecification = "spec")
{
  return { aJob, "trust", std::move(aSpecification), "key" + std::to_string(aJob), "body", 1000 };
}

/// Assigns attempt aAttempt of the only task of aJob.
inline TaskAssigned Assign(JobNumber aJob, std::uint32_t aAttempt = 1)
{
  return {
    { { aJob, 0 }, aAttempt }, "worker-" + std::to_string(aJob % 50), "i1", { 500, 256, 0 }
  };
}

/// Commits a batch of entries and applies it to the state; returns the error of the append.
inline std::error_code Commit(RegionOwnership& aOwner, const std::vector<JournalEntry>& aEntries)
{
  auto number = aOwner.journal->Append(aEntries);
  return number ? aOwner.state.ApplyEntries(*number, aEntries) : number.Error();
}

/// Writes a snapshot and frees the journal's covered slots; returns the error of the write.
inline std::error_code Compact(RegionOwnership& aOwner)
{
  auto covered = aOwner.snapshots->Write(aOwner.state);
  if (covered) {
    aOwner.journal->SetSnapshotPosition(*covered);
  }
  return covered.Error();
}

/// Applies aFault to store call number aCall, counted from 0 while the hook is installed; aCount
/// receives the number of calls.
inline FakeStore::FaultHook FaultAt(std::size_t aCall, StoreFault aFault, std::size_t& aCount)
{
  return [=, &aCount](const std::string&, const std::string&) {
    return aCount++ == aCall ? aFault : StoreFault::None;
  };
}

} // namespace daisydrift
