// Order of work under recorded loads.

#include "LoadReplay.h"

#include <gtest/gtest.h>

#include <iostream>

namespace daisydrift {
namespace {

/// About half of what the flooding team asks for at its peak.
constexpr std::int64_t kCeilingMilliCores = 700000;

ReplayResult Replay(const char* aName, OrderOfWork aOrder)
{
  std::vector<RecordedJob> load = ReadRecordedLoad("flooding-team.txt");
  EXPECT_FALSE(load.empty());
  ReplayResult result = LoadReplay(aOrder, kCeilingMilliCores).Play(load);
  std::cout << "replay=flooding-team order=" << aName << " jobs=" << result.jobs
            << " in_time=" << result.inTime << " late=" << result.late
            << " worth=" << result.Worth() << " served=" << result.Served()
            << " widest_served=" << result.WidestServed() << "\n";
  return result;
}

// A team sends twice what its ceiling lets it run: served in the order of their objectives, all its
// jobs came too late.
TEST(WorkOrderTest, JobsThatCanStillBeInTimeGoBeforeThoseThatCannot)
{
  ReplayResult arrival = Replay("arrival", OrderOfWork::Arrival);
  ReplayResult earliestDue = Replay("earliest_due", OrderOfWork::EarliestDue);
  ReplayResult latestStart = Replay("latest_start", OrderOfWork::LatestStart);
  EXPECT_GT(latestStart.Worth(), arrival.Worth());
  EXPECT_GT(latestStart.Worth(), earliestDue.Worth());
  // Wide jobs are served at least half as often as all.
  EXPECT_GE(latestStart.WidestServed(), latestStart.Served() / 2);
}

} // namespace
} // namespace daisydrift
