// Guards against: a task in two places after a takeover, a restart or a delayed exchange; an
// accepted job that is lost or never ends; a worker or a ceiling that is overrun; a task that is
// not repeatable and succeeds twice. The checks look at what workers and callers saw.

#include "RegionHistory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisydrift {
namespace {

/// Keeps the thousands of expected warnings of the histories out of the output.
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

void RunAndCheck(RegionHistoryOptions aOptions)
{
  RegionHistory history(aOptions);
  history.Run();
  std::vector<std::string> problems = history.Check();
  RC_LOG("seed " + std::to_string(aOptions.seed) + "\n" + Join(problems));
  RC_ASSERT(problems.empty());
}

RC_GTEST_PROP(RegionLeaderProperty, HistoriesWithoutFaultsAreAllowed, (std::uint64_t aSeed))
{
  RunAndCheck({ aSeed, 6, 400, false, false, false });
}

RC_GTEST_PROP(RegionLeaderProperty, HistoriesWithStoreFaultsAreAllowed, (std::uint64_t aSeed))
{
  RunAndCheck({ aSeed, 6, 400, false, false, true });
}

RC_GTEST_PROP(RegionLeaderProperty, HistoriesWithWorkerFaultsAreAllowed, (std::uint64_t aSeed))
{
  RunAndCheck({ aSeed, 6, 400, false, true, false });
}

RC_GTEST_PROP(RegionLeaderProperty, HistoriesWithTakeoversAreAllowed, (std::uint64_t aSeed))
{
  RunAndCheck({ aSeed, 6, 400, true, false, false });
}

RC_GTEST_PROP(RegionLeaderProperty, HistoriesWithAllFaultsAreAllowed, (std::uint64_t aSeed))
{
  RunAndCheck({ aSeed, 6, 400, true, true, true });
}

TEST(RegionLeaderTest, HistoriesDoSomething)
{
  RegionHistory history({ 7, 6, 400, true, true, true });
  history.Run();
  EXPECT_GT(history.AcceptedJobs(), 10u);
  EXPECT_GT(history.Starts(), 30u);
}

} // namespace
} // namespace daisydrift
