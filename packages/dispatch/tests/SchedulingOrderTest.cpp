// Scheduling orders under recorded loads.

#include "LoadReplay.h"

#include <gtest/gtest.h>

#include <iostream>

namespace daisydrift {
namespace {

/// About half of the overloading team's peak demand.
constexpr std::int64_t kCeilingMilliCores = 700000;

ReplayResult Replay(const char* aName, SchedulingOrder aOrder)
{
  std::vector<RecordedJob> load = ReadRecordedLoad("flooding-team.txt");
  EXPECT_FALSE(load.empty());
  ReplayResult result = LoadReplay(aOrder, kCeilingMilliCores).Run(load);
  std::cout << "replay=flooding-team order=" << aName << " jobs=" << result.jobs
            << " in_time=" << result.inTime << " late=" << result.late
            << " worth=" << result.MeanValue() << " served=" << result.ServedShare()
            << " widest_served=" << result.WidestJobsServedShare() << "\n";
  return result;
}

// A team submits twice as much work as its resource ceiling allows. When its jobs were scheduled by
// due time alone, all of them were too late.
TEST(SchedulingOrderTest, MostInTimeOrderYieldsMoreValueThanTheBaselines)
{
  ReplayResult arrival = Replay("arrival", SchedulingOrder::Arrival);
  ReplayResult earliestDue = Replay("earliest_due", SchedulingOrder::EarliestDue);
  ReplayResult latestStart = Replay("latest_start", SchedulingOrder::LatestStart);
  ReplayResult mostInTime = Replay("most_in_time", SchedulingOrder::MostInTime);
  EXPECT_GT(latestStart.MeanValue(), arrival.MeanValue());
  EXPECT_GT(latestStart.MeanValue(), earliestDue.MeanValue());
  // More jobs are in time, and no fewer are served at all, when some are given up for the others.
  EXPECT_GT(mostInTime.MeanValue(), latestStart.MeanValue());
  EXPECT_GE(mostInTime.ServedShare(), latestStart.ServedShare());
  // Wide jobs are served at least half as often as jobs in general.
  EXPECT_GE(latestStart.WidestJobsServedShare(), latestStart.ServedShare() / 2);
  EXPECT_GE(mostInTime.WidestJobsServedShare(), mostInTime.ServedShare() / 2);
}

} // namespace
} // namespace daisydrift
