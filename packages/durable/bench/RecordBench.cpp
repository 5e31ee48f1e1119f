// Size and cost of one journal record: 25 ms of the peak load.

#include "Load.h"

namespace daisydrift {
namespace {

constexpr unsigned kRounds = 2000;

void Measure(bool aWithEnds)
{
  SteadyClock clock;
  ManualClock storeClock;
  FakeStore store(storeClock);
  auto owner = TakeOver(store, kBenchRegion, 1, "bench");
  std::string parameters = "starts_per_s=980 window_ms=25 ends=";
  parameters += aWithEnds ? "true" : "false";
  std::size_t bytes = 0;
  std::size_t entries = 0;
  Duration encode{ 0 };
  Duration append{ 0 };
  for (unsigned i = 0; i < kRounds; ++i) {
    auto group = BenchGroup(i, 1000, aWithEnds);
    TimePoint start = clock.Now();
    bytes += owner->journal->EncodedSize(group);
    TimePoint middle = clock.Now();
    auto number = owner->journal->Append(group);
    append += clock.Now() - middle;
    encode += middle - start;
    entries += group.size();
    // The snapshot itself is measured elsewhere.
    owner->journal->SetCovered(*number);
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
