// Guards against wrong outcomes, forbidden retries, retries and hedged attempts beyond their
// budget, and delays without jitter or above the maximum.

#include "daisydrift/routing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

const SendOutcome kAllOutcomes[] = { SendOutcome::NotSent,     SendOutcome::NotStarted,
                                     SendOutcome::NoResponse,  SendOutcome::Unavailable,
                                     SendOutcome::ServerError, SendOutcome::Responded };

// Checks every combination of inputs against the rules for retries.
TEST(RetryPolicyTest, DecisionsFollowTheRulesInAllCases)
{
  RetryPolicy policy(3);
  for (SendOutcome outcome : kAllOutcomes) {
    for (bool mayOtherHaveStarted : { false, true }) {
      for (bool isRepeatable : { false, true }) {
        for (unsigned attempts : { 1u, 2u, 3u }) {
          for (Duration remaining : { Duration(-1s), Duration(0), Duration(1s) }) {
            RetryDecision decision =
              policy.Decide({ outcome, mayOtherHaveStarted, isRepeatable, attempts, remaining });
            bool isProvenNotStarted = !mayOtherHaveStarted && (outcome == SendOutcome::NotSent ||
                                                               outcome == SendOutcome::NotStarted);
            EXPECT_EQ(decision.outcome == RequestOutcome::NotRun, isProvenNotStarted);
            bool isOver = attempts == 3 || remaining <= Duration(0);
            EXPECT_FALSE(decision.canRetry && isOver);
            EXPECT_FALSE(decision.canRetry && !isRepeatable && !isProvenNotStarted);
            bool hasResponse =
              outcome == SendOutcome::Responded || outcome == SendOutcome::ServerError;
            EXPECT_EQ(decision.outcome == RequestOutcome::Ran, hasResponse);
            EXPECT_FALSE(decision.canRetry && hasResponse);
            EXPECT_TRUE(decision.isResponseFinal || !decision.code.empty());
          }
        }
      }
    }
  }
}

struct ClassifyCase
{
  UpstreamResult result;
  SendOutcome outcome;
};

// Guards against treating a 503 without the header, or the header with another status, as proof
// that the request was not started.
TEST(RetryPolicyTest, ClassifiesResults)
{
  const HeaderFields proof = { { "daisydrift-not-started", "1" } };
  const ClassifyCase cases[] = {
    { { Errc::Unreachable, SendProgress::NotSent, {} }, SendOutcome::NotSent },
    { { Errc::OutcomeUnknown, SendProgress::Sent, {} }, SendOutcome::NoResponse },
    { { Errc::Unreachable, SendProgress::Sent, {} }, SendOutcome::NoResponse },
    { { {}, SendProgress::Sent, { 503, proof, "" } }, SendOutcome::NotStarted },
    { { {}, SendProgress::Sent, { 503, {}, "" } }, SendOutcome::Unavailable },
    { { {}, SendProgress::Sent, { 503, { { "Daisydrift-Not-Started", "0" } }, "" } },
      SendOutcome::Unavailable },
    { { {}, SendProgress::Sent, { 500, proof, "" } }, SendOutcome::ServerError },
    { { {}, SendProgress::Sent, { 502, {}, "" } }, SendOutcome::Unavailable },
    { { {}, SendProgress::Sent, { 200, proof, "" } }, SendOutcome::Responded },
    { { {}, SendProgress::Sent, { 404, {}, "" } }, SendOutcome::Responded },
  };
  for (const ClassifyCase& item : cases) {
    EXPECT_EQ(ClassifyResult(item.result), item.outcome) << item.result.response.status;
  }
}

// Guards against more retries than 10% of the requests plus the initial tokens, in any order of
// calls.
RC_GTEST_PROP(RetryBudgetTest, RetriesStayWithinTheBudget, ())
{
  auto calls = *rc::gen::container<std::vector<bool>>(2000, rc::gen::arbitrary<bool>());
  RetryBudget budget(0.1, 10, 10);
  unsigned requests = 0;
  unsigned retries = 0;
  for (bool isRetry : calls) {
    if (isRetry) {
      retries += budget.TryAcquire() ? 1 : 0;
    } else {
      budget.OnRequest();
      ++requests;
    }
    RC_ASSERT(retries <= 10 + requests * 0.1 + 1e-6);
  }
}

// Guards against a budget that requests don't refill.
TEST(RetryBudgetTest, TenRequestsEarnOneRetry)
{
  RetryBudget budget(0.1, 10, 0);
  for (unsigned i = 0; i < 9; ++i) {
    budget.OnRequest();
    EXPECT_FALSE(budget.TryAcquire());
  }
  budget.OnRequest();
  EXPECT_TRUE(budget.TryAcquire());
  EXPECT_FALSE(budget.TryAcquire());
}

// Guards against delays that are the same for all callers or exceed the maximum.
TEST(BackoffTest, JitterCoversTheWholeRange)
{
  Backoff backoff(10ms, 1s, 7);
  Backoff same(10ms, 1s, 7);
  for (unsigned attempt : { 1u, 2u, 5u, 8u, 100u }) {
    Duration limit = std::min<Duration>(1s, 10ms * (1 << std::min(attempt - 1, 10u)));
    Duration lowest = limit;
    Duration highest{ 0 };
    for (unsigned i = 0; i < 1000; ++i) {
      Duration delay = backoff.Delay(attempt);
      EXPECT_EQ(delay, same.Delay(attempt));
      EXPECT_GE(delay, Duration(0));
      EXPECT_LE(delay, limit);
      lowest = std::min(lowest, delay);
      highest = std::max(highest, delay);
    }
    EXPECT_LT(lowest, limit / 20);
    EXPECT_GT(highest, limit * 19 / 20);
  }
}

// Guards against hedged attempts before latencies are known, at another percentile than the 95th,
// or for more than 5% of the requests.
TEST(HedgingPolicyTest, DelayIsTheP95AndAttemptsAreBounded)
{
  HedgingPolicy hedging(0.05, 5);
  EXPECT_FALSE(hedging.Delay());
  unsigned spent = 0;
  for (unsigned i = 0; i < 256; ++i) {
    hedging.OnRequest();
    hedging.OnLatency(std::chrono::milliseconds(i % 100 + 1));
    spent += hedging.TryAcquire() ? 1 : 0;
  }
  std::vector<Duration> sorted;
  for (unsigned i = 0; i < 256; ++i) {
    sorted.push_back(std::chrono::milliseconds(i % 100 + 1));
  }
  std::sort(sorted.begin(), sorted.end());
  EXPECT_EQ(hedging.Delay(), sorted[256 * 95 / 100]);
  EXPECT_LE(spent, 256u / 20);
  EXPECT_GT(spent, 0u);
  EXPECT_FALSE(HedgingPolicy(0, 0).Delay());
}

} // namespace
} // namespace daisydrift
