// Maintenance waves: the limit of machines that are down holds, and no machine is left out, despite
// faults of the machine interface.

#include "UpkeepPlan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisydrift::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Simulated machines whose maintenance takes two seconds.
struct FakeMachines
{
  struct Machine
  {
    int life = 0;
    int upkeeps = 0;
    TimePoint downUntil;
  };

  bool IsDown(const std::string& aName) const
  {
    return this->machines.at(aName).downUntil > this->now;
  }
  std::size_t Down() const
  {
    std::size_t down = 0;
    for (const auto& [name, machine] : this->machines) {
      down += this->IsDown(name) ? 1 : 0;
    }
    return down;
  }
  std::vector<MachineListing> List() const
  {
    std::vector<MachineListing> list;
    for (const auto& [name, machine] : this->machines) {
      bool isDown = this->IsDown(name);
      list.push_back({ name,
                       isDown ? MachineState::Upkeep : MachineState::Up,
                       isDown ? "" : "w-" + name + std::to_string(machine.life) });
    }
    return list;
  }
  /// Carries out a command; it has no effect on a machine that has had its maintenance.
  void Order(const std::string& aName)
  {
    Machine& machine = this->machines.at(aName);
    if (machine.upkeeps == 0) {
      ++machine.upkeeps;
      ++machine.life;
      machine.downUntil = this->now + seconds(2);
    }
  }

  std::map<std::string, Machine> machines;
  TimePoint now{ std::chrono::hours(1) };
};

UpkeepWave Wave(FakeMachines& aMachines, int aCount, std::size_t aMaximum)
{
  UpkeepWave wave;
  wave.number = 1;
  wave.maximum = aMaximum;
  wave.duration = seconds(30);
  for (int number = 0; number < aCount; ++number) {
    wave.machines.push_back("m" + std::to_string(number));
    aMachines.machines[wave.machines.back()];
  }
  return wave;
}

TEST(UpkeepPlanTest, ABusyWorkerIsEmptiedFirstAndNotForever)
{
  FakeMachines machines;
  UpkeepPlan plan;
  plan.Add(Wave(machines, 1, 1), machines.now);
  plan.OnMachines(machines.List(), machines.now);
  auto isBusy = [](const WorkerId&) { return std::size_t(3); };
  UpkeepStep step = plan.Decide(machines.now, isBusy);
  EXPECT_TRUE(step.orders.empty());
  EXPECT_EQ(step.reserved.count("w-m00"), 1U);
  machines.now += seconds(10);
  EXPECT_EQ(plan.Decide(machines.now, isBusy).orders.size(), 1U);
}

TEST(UpkeepPlanTest, AMachineThatHadItsUpkeepUnderAnEarlierLeaderIsNotWaitedFor)
{
  FakeMachines machines;
  UpkeepPlan plan;
  plan.Add(Wave(machines, 1, 1), machines.now);
  machines.Order("m0");
  machines.now += seconds(3);
  plan.OnMachines(machines.List(), machines.now);
  auto isIdle = [](const WorkerId&) { return std::size_t(0); };
  ASSERT_EQ(plan.Decide(machines.now, isIdle).orders.size(), 1U);
  plan.OnAnswer("m0", 1, UpkeepAnswer::Begun, machines.now);
  machines.now += milliseconds(300);
  plan.OnMachines(machines.List(), machines.now);
  EXPECT_EQ(plan.Decide(machines.now, isIdle).completed, std::vector<std::uint64_t>{ 1 });
}

TEST(UpkeepPlanTest, AMachineThatLeavesEndsItsPart)
{
  FakeMachines machines;
  UpkeepPlan plan;
  plan.Add(Wave(machines, 2, 1), machines.now);
  machines.machines.clear();
  plan.OnMachines(machines.List(), machines.now);
  auto isIdle = [](const WorkerId&) { return std::size_t(0); };
  EXPECT_EQ(plan.Decide(machines.now, isIdle).completed.size(), 1U);
}

// Under lost responses, refused commands and failed lists: the limit of machines that are down
// holds, each machine has its maintenance once, and the wave is reported as completed only after
// that.
RC_GTEST_PROP(UpkeepPlanTest, NeverMoreDownThanAllowedAndNoneLeftOut, ())
{
  FakeMachines machines;
  UpkeepPlan plan;
  auto maximum = static_cast<std::size_t>(*rc::gen::inRange(1, 4));
  int count = *rc::gen::inRange(1, 9);
  plan.Add(Wave(machines, count, maximum), machines.now);
  bool isCompleted = false;
  for (int tick = 0; tick < 600 && !isCompleted; ++tick) {
    bool isCalm = tick > 200;
    if (isCalm || *rc::gen::inRange(0, 4) > 0) {
      plan.OnMachines(machines.List(), machines.now);
    }
    auto running = static_cast<std::size_t>(isCalm ? 0 : *rc::gen::inRange(0, 3));
    UpkeepStep step = plan.Decide(machines.now, [running](const WorkerId&) { return running; });
    for (const auto& [machine, wave] : step.orders) {
      int fate = isCalm ? 0 : *rc::gen::inRange(0, 4);
      if (fate <= 1) {
        RC_ASSERT(machines.machines.at(machine).upkeeps > 0 || machines.Down() < maximum);
        machines.Order(machine);
      }
      UpkeepAnswer answer = fate == 0   ? UpkeepAnswer::Begun
                            : fate == 2 ? UpkeepAnswer::Busy
                                        : UpkeepAnswer::NoAnswer;
      plan.OnAnswer(machine, wave, answer, machines.now);
    }
    isCompleted = !step.completed.empty();
    machines.now += milliseconds(300);
  }
  RC_ASSERT(isCompleted);
  for (const auto& [name, machine] : machines.machines) {
    RC_ASSERT(machine.upkeeps == 1);
  }
}

} // namespace
} // namespace daisydrift::coordination
