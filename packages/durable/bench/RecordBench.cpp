// Size and cost of one journal record with the entries of 25 ms at peak load.

#include "BenchWorkload.h"

namespace daisydrift {
namespace {

constexpr unsigned kRounds = 2000;

void Measure(bool aWithCompletions)
{
  SteadyClock clock;
  ManualClock storeClock;
  FakeStore store(storeClock);
  auto owner = TakeOver(store, kBenchRegion, 1, "bench");
  std::string parameters = "starts_per_s=980 window_ms=25 ends=";
  parameters += aWithCompletions ? "true" : "false";
  std::size_t bytes = 0;
  std::size_t entries = 0;
  Duration encode{ 0 };
  Duration append{ 0 };
  for (unsigned i = 0; i < kRounds; ++i) {
    auto batch = BenchBatch(i, 1000, aWithCompletions);
    TimePoint start = clock.Now();
    bytes += owner->journal->EncodedSize(batch);
    TimePoint middle = clock.Now();
    auto number = owner->journal->Append(batch);
    append += clock.Now() - middle;
    encode += middle - start;
    entries += batch.size();
    // SnapshotBench measures the snapshots.
    owner->journal->SetSnapshotPosition(*number);
  }
  Print("journal_record", "bytes", double(bytes) / kRounds, "B", parameters);
  Print("journal_record", "bytes_per_entry", double(bytes) / double(entries), "B", parameters);
  Print("journal_record", "encode", double(encode.count()) / kRounds, "us", parameters);
  Print("journal_record", "append", double(append.count()) / kRounds, "us", parameters);
}

} // namespace
} // namespace daisydrift

int main()
{
  daisydrift::Measure(false);
  daisydrift::Measure(true);
}
