// Run times that are learned from ended runs.

#include "../src/RunTimeEstimator.h"

#include <gtest/gtest.h>

namespace daisydrift::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDeclared{ 1000 };

double RatioOf(const RunTimeEstimator& aEstimator, const char* aTeam, const char* aImage)
{
  Duration typical = aEstimator.Expected("quick", aTeam, aImage, kDeclared).typical;
  return std::chrono::duration<double>(typical) / std::chrono::duration<double>(kDeclared);
}

// Guards against an estimate that a single odd run decides, and against one that never learns.
TEST(RunTimeEstimatorTest, TheDeclaredTimeCountsLessWithEachRun)
{
  RunTimeEstimator estimator;
  EXPECT_EQ(estimator.Expected("quick", "a", "x", kDeclared).mean, kDeclared);
  estimator.Add("quick", "a", "x", "w1", kDeclared, kDeclared / 10);
  EXPECT_GT(RatioOf(estimator, "a", "x"), 0.4);
  for (int run = 0; run < 100; ++run) {
    estimator.Add("quick", "a", "x", "w1", kDeclared, kDeclared / 10);
  }
  EXPECT_NEAR(RatioOf(estimator, "a", "x"), 0.1, 0.01);
  EXPECT_LT(RatioOf(estimator, "a", "y"), 0.2) << "the team's other images are like this one";
  EXPECT_EQ(estimator.Expected("batch", "a", "x", kDeclared).typical, kDeclared);
}

// Guards against progress checks that a few long runs make blind, and loads that leave them out.
TEST(RunTimeEstimatorTest, TailsMoveTheMeanAndTheSpread)
{
  RunTimeEstimator estimator;
  for (int run = 0; run < 300; ++run) {
    estimator.Add("quick", "a", "x", "w1", kDeclared, kDeclared * (run % 33 == 0 ? 7 : 1));
  }
  RunTime expected = estimator.Expected("quick", "a", "x", kDeclared);
  EXPECT_LT(expected.typical, kDeclared * 11 / 10);
  EXPECT_GT(expected.mean, kDeclared * 11 / 10);
  EXPECT_GT(expected.spread, 0.2);
}

// Guards against a worker that counts as slow since callers declare too little.
TEST(RunTimeEstimatorTest, AWorkerIsComparedWithOthersAndNotWithDeclaredTimes)
{
  RunTimeEstimator estimator;
  for (int run = 0; run < 400; ++run) {
    bool isSlow = run % 4 == 0;
    estimator.Add(
      "quick", "a", "x", isSlow ? "slow" : "usual", kDeclared, kDeclared * (isSlow ? 4 : 2));
  }
  EXPECT_GT(estimator.SlownessOf("slow"), 1.4);
  EXPECT_NEAR(estimator.SlownessOf("usual"), 1, 0.25);
  estimator.ForgetWorker("slow");
  EXPECT_EQ(estimator.SlownessOf("slow"), 1);
}

// Guards against memory that grows with the names that callers choose, and overflow.
TEST(RunTimeEstimatorTest, OddInputsHaveNoEffect)
{
  RunTimeEstimator estimator;
  for (int image = 0; image < 30000; ++image) {
    estimator.Add("quick", "a", std::to_string(image), "w1", kDeclared, kDeclared * 1000000);
  }
  EXPECT_LE(estimator.Size(), 8192U);
  EXPECT_GT(estimator.Expected("quick", "a", "x", Duration::max()).mean, Duration(0));
  EXPECT_EQ(estimator.Expected("quick", "a", "x", Duration(0)).mean, Duration(0));
}

} // namespace
} // namespace daisydrift::dispatch
