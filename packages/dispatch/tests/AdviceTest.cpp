// Load on the advice service, which processes one request at a time for each asking instance.

#include "DispatcherFixture.h"

#include <algorithm>
#include <map>

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

class AdviceBacklogTest : public AdviceTest
{
protected:
  static constexpr int kFirstPriorityJobs = 400;

  AdviceBacklogTest()
  {
    QueuePolicy watch{ "watch", "desk", 1, 2, 2.2, milliseconds(2500), {} };
    watch.advice =
      AdvicePolicy{ milliseconds(450), std::chrono::microseconds(6500), milliseconds(2000) };
    this->policy.queues["watch"] = watch;
    this->dispatcher.SetPolicy(this->policy);
  }

  void AddServices(int aCount)
  {
    for (int number = 0; number < aCount; ++number) {
      JobDefinition service = Job("service" + std::to_string(number), 1);
      service.queue = "watch";
      service.steps[0].isService = true;
      this->Add(service);
    }
  }

  /// Answers each request after its expected time, and starts what is granted. New first-priority
  /// jobs keep their backlog as long as it was.
  void RunFor(Duration aTime)
  {
    TimePoint end = this->now + aTime;
    while (this->now < end) {
      this->Advance(kRoundInterval);
      this->AnswerDueRequests();
      if (this->now >= this->nextReport) {
        this->nextReport = this->now + milliseconds(1000);
        this->percent += 5;
        for (auto& [id, tasks] : this->running) {
          for (RunningTask& task : tasks) {
            task.percent = this->percent;
          }
        }
        for (const WorkerId& id : this->dispatcher.Workers()) {
          this->Report(id, this->running[id]);
        }
      }
      while (this->waitingJobs < kFirstPriorityJobs) {
        this->Add(Job("quick" + std::to_string(this->nextJob++), kTasksPerJob));
        ++this->waitingJobs;
      }
      for (const StartCommand& command : this->RoundAccepted()) {
        this->running[command.worker].push_back(Running(command));
        bool isService = command.task.job.rfind("service", 0) == 0;
        this->startedServices += isService ? 1 : 0;
        this->startedFirst += isService ? 0 : 1;
        this->waitingJobs -= !isService && ++this->started[command.task.job] == kTasksPerJob;
      }
      for (const AdviceRequest& request : this->round.adviceRequests) {
        this->open.emplace(this->now + request.expected, request);
      }
    }
  }

  int startedServices = 0;
  int startedFirst = 0;

private:
  static constexpr milliseconds kRoundInterval{ 20 };
  static constexpr int kTasksPerJob = 10;

  void AnswerDueRequests()
  {
    while (!this->open.empty() && this->open.begin()->first <= this->now) {
      AdviceRequest request = this->open.begin()->second;
      this->open.erase(this->open.begin());
      this->Respond(request, request.workers.size() / 2);
    }
  }

  TimePoint nextReport;
  int percent = 10;
  int nextJob = 0;
  int waitingJobs = 0;
  std::map<JobId, int> started;
  std::map<WorkerId, std::vector<RunningTask>> running;
  std::multimap<TimePoint, AdviceRequest> open;
};

// Guards against services that wait for seconds beside free workers, while all requests for advice
// are made for a backlog of the first priority: on a large fleet, where few steps are considered in
// a round, and with few request slots.
TEST_F(AdviceBacklogTest, ServicesGetAdviceBehindABacklogOnALargeFleet)
{
  this->AddWorkers(350, 1000000);
  this->requestSlots = 44;
  this->RunFor(milliseconds(2000));
  this->AddServices(20);
  this->startedFirst = 0;
  this->RunFor(milliseconds(5000));
  RecordProperty("started_first_priority", this->startedFirst);
  EXPECT_EQ(this->startedServices, 20);
}

TEST_F(AdviceBacklogTest, ServicesGetAdviceBehindABacklogWithFewRequestSlots)
{
  this->AddWorkers(48, 1000000);
  this->requestSlots = 7;
  this->RunFor(milliseconds(2000));
  this->AddServices(4);
  this->startedFirst = 0;
  this->RunFor(milliseconds(5000));
  RecordProperty("started_first_priority", this->startedFirst);
  EXPECT_EQ(this->startedServices, 4);
}

// Guards against a step that never sees the few workers which may run it, since a step is compared
// with a part of a large fleet only.
TEST_F(AdviceTest, AStepFindsItsFewWorkersOnALargeFleet)
{
  this->AddWorkers(3000, 64000);
  WorkerListing listing = *this->dispatcher.FindWorker("w1234");
  for (const char* id : { "w1234", "w2345" }) {
    listing.id = id;
    listing.labels = { "rare" };
    listing.capacity = { 4000, 64000, 0 };
    this->dispatcher.ListWorker(listing);
  }
  for (const char* queue : { "quick", "batch" }) {
    JobDefinition job = Job(std::string("rare-") + queue, 1);
    job.queue = queue;
    job.steps[0].requiredLabel = "rare";
    this->Add(job);
  }
  std::set<JobId> requested;
  for (int round = 0; round < 100 && requested.size() < 2; ++round) {
    this->Round();
    for (const AdviceRequest& request : this->round.adviceRequests) {
      requested.insert(request.step.job);
      for (const WorkerId& worker : request.workers) {
        EXPECT_TRUE(worker == "w1234" || worker == "w2345") << worker;
      }
    }
    this->Advance(milliseconds(20));
  }
  EXPECT_EQ(requested.size(), 2U);
}

} // namespace
} // namespace daisydrift
