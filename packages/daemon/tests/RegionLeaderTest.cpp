// Guards against a task that runs in two places after a takeover, a restart or a delayed exchange;
// an accepted job that is lost or never finishes; a worker's capacity or a team's ceiling that is
// exceeded; and a non-repeatable task that succeeds twice. The checks use what workers and callers
// observed.

#include "RegionSimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisydrift {
namespace {

/// Suppresses the thousands of expected warnings of the simulations.
class QuietLog : public testing::Environment
{
public:
  void SetUp() override { ConfigureLogging(LogLevel::Error); }
};

const testing::Environment* const kQuietLog = testing::AddGlobalTestEnvironment(new QuietLog);

std::string Join(const std::vector<std::string>& aLines)
{
  std::string text;
  for (const std::string& line : aLines) {
    text += line + "\n";
  }
  return text;
}

void RunAndCheck(RegionSimulationOptions aOptions)
{
  RegionSimulation simulation(aOptions);
  simulation.Run();
  std::vector<std::string> problems = simulation.Check();
  RC_LOG("seed " + std::to_string(aOptions.seed) + "\n" + Join(problems));
  RC_ASSERT(problems.empty());
}

RC_GTEST_PROP(RegionLeaderProperty, HoldsInvariantsWithoutFaults, (std::uint64_t aSeed))
{
  RunAndCheck({ aSeed, 6, 400, false, false, false });
}

RC_GTEST_PROP(RegionLeaderProperty, HoldsInvariantsWithStoreFaults, (std::uint64_t aSeed))
{
  RunAndCheck({ aSeed, 6, 400, false, false, true });
}

RC_GTEST_PROP(RegionLeaderProperty, HoldsInvariantsWithWorkerFaults, (std::uint64_t aSeed))
{
  RunAndCheck({ aSeed, 6, 400, false, true, false });
}

RC_GTEST_PROP(RegionLeaderProperty, HoldsInvariantsWithTakeovers, (std::uint64_t aSeed))
{
  RunAndCheck({ aSeed, 6, 400, true, false, false });
}

RC_GTEST_PROP(RegionLeaderProperty, HoldsInvariantsWithAllFaults, (std::uint64_t aSeed))
{
  RunAndCheck({ aSeed, 6, 400, true, true, true });
}

TEST(RegionLeaderTest, SimulationAcceptsJobsAndStartsTasks)
{
  RegionSimulation simulation({ 7, 6, 400, true, true, true });
  simulation.Run();
  EXPECT_GT(simulation.AcceptedJobs(), 10u);
  EXPECT_GT(simulation.StartCount(), 30u);
}

} // namespace
} // namespace daisydrift
