// Guards against work above a worker's capacity or a team's ceiling, gangs that run only in part,
// tasks with two running attempts, starts in a drained failure domain, starvation of jobs, and
// decisions that differ between two runs of the same events.

#include "RandomScenario.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisydrift {
namespace {

std::vector<std::uint32_t> RandomEvents()
{
  auto number = rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>());
  return *rc::gen::resize(300, rc::gen::container<std::vector<std::uint32_t>>(number));
}

RC_GTEST_PROP(RandomScenarioProperty, LimitsHoldAndNoJobStarves, ())
{
  test::RandomScenario scenario;
  for (std::uint32_t number : RandomEvents()) {
    scenario.Step(number);
  }
  scenario.RunToCompletion();
  RC_ASSERT(scenario.Violation() == "");
}

RC_GTEST_PROP(RandomScenarioProperty, SameEventsGiveSameDecisions, ())
{
  std::vector<std::uint32_t> numbers = RandomEvents();
  test::RandomScenario first;
  test::RandomScenario second;
  for (std::uint32_t number : numbers) {
    first.Step(number);
    second.Step(number);
  }
  RC_ASSERT(first.Trace() == second.Trace());
}

} // namespace
} // namespace daisydrift
