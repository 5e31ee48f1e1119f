// Guards, over any sequence of requests, faults, seat losses and list changes, against: use of an
// upstream beyond its slots or connections (invariant I1 of the package `checker`), the outcome
// not_run for a request that an upstream started (I7), a second start of a request that isn't
// repeatable (I8), and new requests to a leaving upstream (I9).

#include "FleetModel.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisydrift {
namespace {

/// Commands of one history; enough to fill the slots of three upstreams several times.
constexpr int kHistorySize = 400;

RC_GTEST_PROP(FleetPropertyTest, InvariantsHoldOverAnyHistory, ())
{
  auto seed = *rc::gen::arbitrary<std::uint64_t>();
  auto commands = *rc::gen::resize(kHistorySize,
                                   rc::gen::container<std::vector<FleetCommand>>(rc::gen::resize(
                                     100,
                                     rc::gen::tuple(rc::gen::arbitrary<std::uint8_t>(),
                                                    rc::gen::arbitrary<std::uint8_t>(),
                                                    rc::gen::inRange<std::uint16_t>(0, 35'000)))));
  FleetModel fleet(seed);
  fleet.Run(commands);
  if (!fleet.violations.empty()) {
    RC_FAIL(fleet.violations.front());
  }
}

// Guards against a generator whose histories no longer reach the cases that the property checks.
TEST(FleetModelTest, HistoriesReachTheRelevantCases)
{
  std::mt19937_64 random(20261204);
  FleetModel fleet(1);
  std::vector<FleetCommand> commands;
  for (unsigned i = 0; i < 5000; ++i) {
    commands.emplace_back(static_cast<std::uint8_t>(random()),
                          static_cast<std::uint8_t>(random()),
                          static_cast<std::uint16_t>(random() % 35'000));
  }
  fleet.Run(commands);
  EXPECT_TRUE(fleet.violations.empty()) << fleet.violations.front();
  EXPECT_EQ(fleet.peakRunning, 8u);
  EXPECT_GT(fleet.starts, 1000u);
  EXPECT_GT(fleet.hedges, 0u);
  EXPECT_GT(fleet.seatLosses, 0u);
  EXPECT_GT(fleet.unanswered, 0u);
}

} // namespace
} // namespace daisydrift
