// Choice among workers of different sizes and speeds.

#include "DispatcherFixture.h"

#include <map>

namespace daisydrift {
namespace {

using std::chrono::milliseconds;

// Guards against a long task that takes the room of a gang that has waited for it, on the fullest
// worker, though another worker has room that the gang can't use.
TEST_F(DispatcherFixture, ALongTaskLeavesTheRoomOfAWaitingGang)
{
  this->AddWorker("half", 24000);
  this->AddWorker("whole", 56000);
  JobDefinition present = Job("present", 2, 4000);
  present.queue = "batch";
  present.steps[0].maxPerWorker = 1;
  this->Add(present);
  ASSERT_EQ(this->RoundAccepted().size(), 2U);
  // One member fits on the half-sized worker and two on the other one.
  JobDefinition gang = Job("gang", 4, 16000);
  gang.queue = "batch";
  gang.steps[0].isGang = true;
  this->Add(gang);
  JobDefinition later = Job("later", 1, 7000);
  later.queue = "batch";
  this->Add(later);
  std::vector<StartCommand> commands = this->RoundAccepted();
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(commands[0].task.job, "later");
  EXPECT_EQ(commands[0].worker, "whole");
}

// Guards against a worker that counts as slow, and gets no tasks beside others, since the run times
// of its tasks were declared too short.
TEST_F(DispatcherFixture, AWorkerIsNotSlowForRunTimesThatWereDeclaredTooShort)
{
  this->AddWorker("known", 24000);
  for (int number = 0; number < 40; ++number) {
    this->Add(Job("job" + std::to_string(number), 1));
    StartCommand command = this->RoundAccepted().at(0);
    this->Advance(milliseconds(3000));
    this->Report("known", {}, { this->Completion(command, RunOutcome::Succeeded) });
  }
  this->AddWorker("new", 4000);
  // A task takes a quarter of the new worker, and a small part of the known one.
  this->Add(Job("next", 8));
  std::map<WorkerId, std::size_t> started;
  for (const StartCommand& command : this->RoundAccepted()) {
    ++started[command.worker];
  }
  EXPECT_GE(started["known"], 6U);
}

} // namespace
} // namespace daisydrift
