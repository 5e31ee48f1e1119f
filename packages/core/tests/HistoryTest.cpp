// Guards against: work above a worker's capacity or a team's ceiling, gangs that run in part, a
// task with two attempts, starts in a drained failure domain, jobs that starve, and decisions that
// differ between two runs of the same history.

#include "History.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisydrift {
namespace {

std::vector<std::uint32_t> AnyHistory()
{
  auto number = rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>());
  return *rc::gen::resize(300, rc::gen::container<std::vector<std::uint32_t>>(number));
}

RC_GTEST_PROP(HistoryProperty, LimitsHoldAndNoJobStarves, ())
{
  test::History history;
  for (std::uint32_t number : AnyHistory()) {
    history.Step(number);
  }
  history.Finish();
  RC_ASSERT(history.Violation() == "");
}

RC_GTEST_PROP(HistoryProperty, SameInputGivesSameOutput, ())
{
  std::vector<std::uint32_t> numbers = AnyHistory();
  test::History first;
  test::History second;
  for (std::uint32_t number : numbers) {
    first.Step(number);
    second.Step(number);
  }
  RC_ASSERT(first.Trace() == second.Trace());
}

} // namespace
} // namespace daisydrift
