// Store calls per second by seven instances of one region, counted on a simulated clock.
//
// Each instance renews its seat each second and has a configuration watch open, renewed each 5 s;
// followers read the leader's key each second; the leader renews its lease each second. At peak the
// leader appends 40 records per second and writes the snapshots that are due.

#include "BenchWorkload.h"
#include "daisydrift/membership.h"

namespace daisydrift {
namespace {

constexpr unsigned kSeconds = 120;
constexpr unsigned kWatchSeconds = 5;

struct Instance
{
  std::unique_ptr<SeatHolder> seat;
  std::unique_ptr<Leadership> leadership;
};

class StoreLoad
{
public:
  StoreLoad()
  {
    for (unsigned i = 0; i < kSeatCount; ++i) {
      std::string id = "instance-" + std::to_string(i);
      this->instances.push_back(
        { std::make_unique<SeatHolder>(
            this->store, this->clock, SeatRecord{ 0, id, id, "domain", kBenchRegion }),
          std::make_unique<Leadership>(this->store, this->clock, kBenchRegion, id, id) });
      static_cast<void>(this->instances.back().seat->Claim());
    }
    Epoch epoch = *this->instances[0].leadership->Campaign({});
    this->owner = std::move(*TakeOver(this->store, kBenchRegion, epoch, "instance-0"));
    this->owner.state = BenchState(1000, 300, true);
    this->owner.journal->SetSnapshotPosition(*this->owner.snapshots->Write(this->owner.state));
  }

  void Run(bool aAtPeak)
  {
    std::uint64_t writes = this->store.WriteCalls();
    std::uint64_t reads = this->store.ReadCalls();
    unsigned snapshots = 0;
    for (unsigned second = 0; second < kSeconds; ++second) {
      this->RunMembershipSecond(second);
      for (unsigned i = 0; i < kRecordsPerSecond; ++i) {
        this->clock.Advance(std::chrono::milliseconds(1000 / kRecordsPerSecond));
        if (!aAtPeak) {
          continue;
        }
        auto batch = BenchBatch(this->batches++, 1000, true);
        static_cast<void>(
          this->owner.state.ApplyEntries(*this->owner.journal->Append(batch), batch));
        if (this->owner.journal->NeedsSnapshot()) {
          ++snapshots;
          this->owner.journal->SetSnapshotPosition(
            *this->owner.snapshots->Write(this->owner.state));
        }
      }
    }
    std::string parameters = "instances=7 load=";
    parameters += aAtPeak ? "peak" : "idle";
    auto rate = [](std::uint64_t aCalls) { return double(aCalls) / kSeconds; };
    Print("store_load", "writes", rate(this->store.WriteCalls() - writes), "1/s", parameters);
    Print("store_load", "reads", rate(this->store.ReadCalls() - reads), "1/s", parameters);
    Print("store_load", "snapshots", rate(snapshots), "1/s", parameters);
  }

private:
  void RunMembershipSecond(unsigned aSecond)
  {
    for (Instance& instance : this->instances) {
      static_cast<void>(instance.seat->Renew());
      if (instance.leadership->LeaderEpoch() != 0) {
        static_cast<void>(instance.leadership->Renew({}));
      } else {
        static_cast<void>(ReadLeaderOf(this->store, kBenchRegion, std::chrono::seconds(1)));
      }
      if (aSecond % kWatchSeconds == 0) {
        static_cast<void>(
          this->store.Watch("config/", 1'000'000'000, std::chrono::seconds(kWatchSeconds)));
      }
    }
  }

  ManualClock clock;
  FakeStore store{ this->clock };
  std::vector<Instance> instances;
  RegionOwnership owner;
  std::uint64_t batches = 0;
};

} // namespace
} // namespace daisydrift

int main()
{
  daisydrift::StoreLoad load;
  load.Run(false);
  load.Run(true);
}
