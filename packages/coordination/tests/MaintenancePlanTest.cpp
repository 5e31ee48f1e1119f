// Maintenance waves: the limit of machines that are down holds, and no machine is left out, despite
// faults of the machine interface.

#include "MaintenancePlan.h"

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
    int incarnation = 0;
    int maintenanceCount = 0;
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
                       isDown ? MachineState::Maintenance : MachineState::Up,
                       isDown ? "" : "w-" + name + std::to_string(machine.incarnation) });
    }
    return list;
  }
  /// Carries out a command; it has no effect on a machine that has had its maintenance.
  void Maintain(const std::string& aName)
  {
    Machine& machine = this->machines.at(aName);
    if (machine.maintenanceCount == 0) {
      ++machine.maintenanceCount;
      ++machine.incarnation;
      machine.downUntil = this->now + seconds(2);
    }
  }

  std::map<std::string, Machine> machines;
  TimePoint now{ std::chrono::hours(1) };
};

MaintenanceWave Wave(FakeMachines& aMachines, int aCount, std::size_t aMaximum)
{
  MaintenanceWave wave;
  wave.number = 1;
  wave.maxMachinesDown = aMaximum;
  wave.duration = seconds(30);
  for (int number = 0; number < aCount; ++number) {
    wave.machines.push_back("m" + std::to_string(number));
    aMachines.machines[wave.machines.back()];
  }
  return wave;
}

TEST(MaintenancePlanTest, BusyWorkerIsDrainedFirstButNotIndefinitely)
{
  FakeMachines machines;
  MaintenancePlan plan;
  plan.Add(Wave(machines, 1, 1), machines.now);
  plan.OnMachines(machines.List(), machines.now);
  auto isBusy = [](const WorkerId&) { return std::size_t(3); };
  MaintenanceActions actions = plan.Decide(machines.now, isBusy);
  EXPECT_TRUE(actions.commands.empty());
  EXPECT_EQ(actions.drainingWorkers.count("w-m00"), 1U);
  machines.now += seconds(10);
  EXPECT_EQ(plan.Decide(machines.now, isBusy).commands.size(), 1U);
}

TEST(MaintenancePlanTest, MachineMaintainedUnderEarlierLeaderCompletesTheWave)
{
  FakeMachines machines;
  MaintenancePlan plan;
  plan.Add(Wave(machines, 1, 1), machines.now);
  machines.Maintain("m0");
  machines.now += seconds(3);
  plan.OnMachines(machines.List(), machines.now);
  auto isIdle = [](const WorkerId&) { return std::size_t(0); };
  ASSERT_EQ(plan.Decide(machines.now, isIdle).commands.size(), 1U);
  plan.OnResult("m0", 1, MaintenanceResult::Started, machines.now);
  machines.now += milliseconds(300);
  plan.OnMachines(machines.List(), machines.now);
  EXPECT_EQ(plan.Decide(machines.now, isIdle).completed, std::vector<std::uint64_t>{ 1 });
}

TEST(MaintenancePlanTest, RemovedMachineCountsAsDone)
{
  FakeMachines machines;
  MaintenancePlan plan;
  plan.Add(Wave(machines, 2, 1), machines.now);
  machines.machines.clear();
  plan.OnMachines(machines.List(), machines.now);
  auto isIdle = [](const WorkerId&) { return std::size_t(0); };
  EXPECT_EQ(plan.Decide(machines.now, isIdle).completed.size(), 1U);
}

// Under lost responses, refused commands and failed lists: the limit of machines that are down
// holds, each machine has its maintenance once, and the wave is reported as completed only after
// that.
RC_GTEST_PROP(MaintenancePlanTest, LimitOfDownMachinesHoldsAndNoneIsLeftOut, ())
{
  FakeMachines machines;
  MaintenancePlan plan;
  auto maximum = static_cast<std::size_t>(*rc::gen::inRange(1, 4));
  int count = *rc::gen::inRange(1, 9);
  plan.Add(Wave(machines, count, maximum), machines.now);
  bool isCompleted = false;
  for (int tick = 0; tick < 600 && !isCompleted; ++tick) {
    bool isFaultFree = tick > 200;
    if (isFaultFree || *rc::gen::inRange(0, 4) > 0) {
      plan.OnMachines(machines.List(), machines.now);
    }
    auto running = static_cast<std::size_t>(isFaultFree ? 0 : *rc::gen::inRange(0, 3));
    MaintenanceActions actions =
      plan.Decide(machines.now, [running](const WorkerId&) { return running; });
    for (const auto& [machine, wave] : actions.commands) {
      int fault = isFaultFree ? 0 : *rc::gen::inRange(0, 4);
      if (fault <= 1) {
        RC_ASSERT(machines.machines.at(machine).maintenanceCount > 0 || machines.Down() < maximum);
        machines.Maintain(machine);
      }
      MaintenanceResult result = fault == 0   ? MaintenanceResult::Started
                                 : fault == 2 ? MaintenanceResult::Busy
                                              : MaintenanceResult::NoResponse;
      plan.OnResult(machine, wave, result, machines.now);
    }
    isCompleted = !actions.completed.empty();
    machines.now += milliseconds(300);
  }
  RC_ASSERT(isCompleted);
  for (const auto& [name, machine] : machines.machines) {
    RC_ASSERT(machine.maintenanceCount == 1);
  }
}

} // namespace
} // namespace daisydrift::coordination
