// Load on the advice service, which processes one request at a time for each asking instance.

#include "DispatcherFixture.h"

#include <algorithm>

namespace daisydrift {
namespace {

using std::chrono::milliseconds;

class AdviceTest : public DispatcherFixture
{
protected:
  AdviceTest()
  {
    AdvicePolicy slow{ milliseconds(370), std::chrono::microseconds(5300), milliseconds(2500) };
    AdvicePolicy quick{ milliseconds(18), std::chrono::microseconds(260), milliseconds(2500) };
    this->policy.queues["batch"].advice = slow;
    this->policy.queues["quick"].advice = quick;
    this->dispatcher.SetPolicy(this->policy);
  }

  void Respond(const AdviceRequest& aRequest, std::size_t aGranted)
  {
    std::vector<AdviceGrant> grants;
    for (std::size_t index = 0; index < std::min(aGranted, aRequest.workers.size()); ++index) {
      grants.push_back({ aRequest.workers[index], "ticket" });
    }
    this->dispatcher.OnAdvice(aRequest, grants, this->now + milliseconds(2500));
  }

  void AddWorkers(int aCount, std::int64_t aMilliCores)
  {
    for (int number = 0; number < aCount; ++number) {
      this->AddWorker("w" + std::to_string(100 + number), aMilliCores);
    }
  }
};

TEST_F(AdviceTest, ARequestNamesManyWorkersSinceItsBaseTimeDominates)
{
  this->AddWorkers(48, 4000);
  JobDefinition job = Job("job", 2);
  job.queue = "batch";
  this->Add(job);
  this->Round();
  ASSERT_EQ(this->round.adviceRequests.size(), 1U);
  EXPECT_GE(this->round.adviceRequests[0].workers.size(), 20U);
}

TEST_F(AdviceTest, StartsIncludeTheTicketAndGoOnlyToGrantedWorkers)
{
  this->AddWorkers(10, 4000);
  this->Add(Job("job", 3));
  EXPECT_TRUE(this->Round().empty());
  ASSERT_EQ(this->round.adviceRequests.size(), 1U);
  AdviceRequest request = this->round.adviceRequests[0];
  this->Respond(request, 2);
  std::vector<StartCommand> commands = this->RoundAccepted();
  ASSERT_EQ(commands.size(), 3U);
  for (const StartCommand& command : commands) {
    EXPECT_EQ(command.ticket, "ticket");
    EXPECT_TRUE(command.worker == request.workers[0] || command.worker == request.workers[1]);
  }
}

TEST_F(AdviceTest, SlowRequestsLeaveSlotsToFastOnes)
{
  this->AddWorkers(20, 4000);
  for (int number = 0; number < 6; ++number) {
    JobDefinition job = Job("batch" + std::to_string(number), 2);
    job.queue = "batch";
    this->Add(job);
  }
  this->Round();
  EXPECT_EQ(this->round.adviceRequests.size(), this->requestSlots - 2);
  this->Add(Job("quick", 2));
  this->Round();
  ASSERT_EQ(this->round.adviceRequests.size(), 1U);
  EXPECT_EQ(this->round.adviceRequests[0].step.job, "quick");
}

TEST_F(AdviceTest, OnAFullFleetOnlyTheFirstStepsRequestAdvice)
{
  this->AddWorkers(2, 1000);
  this->policy.queues["quick"].advice.reset();
  this->dispatcher.SetPolicy(this->policy);
  this->Add(Job("running", 2));
  ASSERT_EQ(this->RoundAccepted().size(), 2U);
  this->requestSlots = 3;
  for (int number = 0; number < 20; ++number) {
    JobDefinition job = Job("batch" + std::to_string(100 + number), 2);
    job.queue = "batch";
    this->Add(job);
  }
  std::set<JobId> requested;
  for (int round = 0; round < 40; ++round) {
    this->Round();
    for (const AdviceRequest& request : std::vector(this->round.adviceRequests)) {
      requested.insert(request.step.job);
      this->Respond(request, 2);
    }
    this->Advance(milliseconds(10));
  }
  EXPECT_LE(requested.size(), 3U);
  EXPECT_GE(requested.size(), 1U);
}

} // namespace
} // namespace daisydrift
