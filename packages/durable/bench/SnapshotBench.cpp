// Size and cost of a snapshot of the two-year load, and cost of a recovery from it.

#include "BenchWorkload.h"

#include <algorithm>

namespace daisydrift {
namespace {

constexpr unsigned kRounds = 15;

/// Median duration of kRounds runs, in milliseconds.
template<typename Run>
double MedianMs(Run aRun)
{
  SteadyClock clock;
  std::vector<double> times;
  for (unsigned i = 0; i < kRounds; ++i) {
    TimePoint start = clock.Now();
    aRun();
    times.push_back(double((clock.Now() - start).count()) / 1000);
  }
  std::nth_element(times.begin(), times.begin() + kRounds / 2, times.end());
  return times[kRounds / 2];
}

void MeasureSnapshot(unsigned aWorkers, std::size_t aSpecificationBytes)
{
  std::string parameters = "jobs=14000 running_tasks=11000 workers=" + std::to_string(aWorkers) +
                           " specification_bytes=" + std::to_string(aSpecificationBytes);
  RegionState state = BenchState(aWorkers, aSpecificationBytes, true);
  std::string bytes = *state.Encode();
  auto size = static_cast<double>(bytes.size());
  auto withoutTasks =
    static_cast<double>(BenchState(aWorkers, aSpecificationBytes, false).Encode()->size());
  Print("snapshot", "bytes", size, "B", parameters);
  Print(
    "snapshot", "bytes_per_running_task", (size - withoutTasks) / kRunningTasks, "B", parameters);
  Print("snapshot",
        "parts",
        double((bytes.size() + kMaxPartBytes - 1) / kMaxPartBytes),
        "1",
        parameters);
  Print(
    "snapshot", "encode", MedianMs([&] { static_cast<void>(state.Encode()); }), "ms", parameters);
  Print("snapshot",
        "decode",
        MedianMs([&] { static_cast<void>(RegionState::Decode(bytes)); }),
        "ms",
        parameters);
}

void MeasureRecovery(unsigned aWorkers, std::size_t aSpecificationBytes)
{
  ManualClock clock;
  FakeStore store(clock);
  std::string parameters =
    "running_tasks=11000 jobs=14000 records=256 workers=" + std::to_string(aWorkers) +
    " specification_bytes=" + std::to_string(aSpecificationBytes);
  {
    auto owner = TakeOver(store, kBenchRegion, 1, "bench");
    owner->state = BenchState(aWorkers, aSpecificationBytes, true);
    owner->journal->SetSnapshotPosition(*owner->snapshots->Write(owner->state));
    for (std::uint64_t i = 0; i < kRecordsPerSnapshot; ++i) {
      static_cast<void>(owner->journal->Append(BenchBatch(i, aWorkers, true)));
    }
  }
  std::uint64_t reads = store.ReadCalls();
  std::uint64_t writes = store.WriteCalls();
  Epoch epoch = 2;
  double time =
    MedianMs([&] { static_cast<void>(TakeOver(store, kBenchRegion, epoch++, "bench")); });
  Print("recovery", "time", time, "ms", parameters);
  Print("recovery", "store_reads", double(store.ReadCalls() - reads) / kRounds, "1", parameters);
  Print("recovery", "store_writes", double(store.WriteCalls() - writes) / kRounds, "1", parameters);
}

} // namespace
} // namespace daisydrift

int main()
{
  for (unsigned workers : { 50u, 1000u }) {
    daisydrift::MeasureSnapshot(workers, 300);
    daisydrift::MeasureRecovery(workers, 300);
  }
  daisydrift::MeasureSnapshot(1000, 0);
}
