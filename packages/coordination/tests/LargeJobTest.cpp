// Jobs whose progress is too large for one record, beside other jobs.

#include "Cluster.h"

#include <random>

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class LargeJobTest : public Cluster
{
protected:
  void StartInstances()
  {
    for (int number = 0; number < 3; ++number) {
      this->StartInstance(number);
    }
    this->loop.RunFor(seconds(2));
  }

  /// A job whose steps follow one another.
  static JobDefinition Chain(const JobId& aId, std::size_t aSteps, std::uint32_t aTasks)
  {
    JobDefinition job;
    job.id = aId;
    for (std::uint32_t number = 0; number < aSteps; ++number) {
      StepSpec step;
      step.taskCount = aTasks;
      step.size = { 1000, 100, 0 };
      step.estimate = milliseconds(300);
      if (number > 0) {
        step.dependencies = { number - 1 };
      }
      job.steps.push_back(step);
    }
    return job;
  }

  /// A chain that is due each second, for the first time aLate ago.
  JobDefinition LateSchedule(const JobId& aId,
                             std::size_t aSteps,
                             std::uint32_t aOccurrences,
                             milliseconds aLate)
  {
    JobDefinition job = Chain(aId, aSteps, 1);
    job.occurrences = aOccurrences;
    job.firstDue = this->loop.WallClockNow() - aLate;
    job.interval = seconds(1);
    return job;
  }

  int AnyInstance() const { return this->instances.begin()->first; }

  bool IsCompleted(const JobId& aJob)
  {
    Result<DispatchState> state = this->State(this->AnyInstance(), aJob);
    return state && *state == DispatchState::Completed;
  }

  void ExpectCompleted(const JobId& aJob, Duration aWithin)
  {
    TimePoint begin = this->loop.Now();
    while (!this->IsCompleted(aJob) && this->loop.Now() - begin < aWithin) {
      this->loop.RunFor(milliseconds(50));
    }
    EXPECT_TRUE(this->IsCompleted(aJob)) << aJob;
  }

  /// Runs the job to its end while writes fail, or their responses are lost, and leaders end.
  void ExpectCompletedDespiteFaults(const JobDefinition& aJob, unsigned aSeed)
  {
    std::mt19937 random(aSeed);
    this->fleet.runTime = milliseconds(60);
    ASSERT_EQ(this->Submit(this->AnyInstance(), aJob), SubmitOutcome::Accepted);
    this->store.commitFault = [&random](const KeyValueTransaction&) {
      switch (random() % 20) {
        case 0:
          return CommitFault::ResponseLost;
        case 1:
          return CommitFault::AppliedLate;
        case 2:
          return CommitFault::Refused;
        default:
          return CommitFault::None;
      }
    };
    for (int change = 0; change < 8; ++change) {
      this->loop.RunFor(milliseconds(600 + random() % 3000));
      ASSERT_FALSE(this->IsCompleted(aJob.id));
      std::string head = "daisydrift/progress/" + aJob.id;
      EXPECT_GT(this->store.CountKeys(head + "/"), 0U);
      this->retiredAtChanges +=
        this->store.Value(head).find("first_occurrence") != std::string::npos ? 1 : 0;
      if (int leader = this->LeaderNumber(); leader >= 0) {
        this->KillInstance(leader);
        this->StartInstance(this->nextInstance++);
      }
    }
    this->store.commitFault = nullptr;
    this->ExpectCompleted(aJob.id, minutes(3));
    EXPECT_TRUE(this->fleet.violations.empty()) << this->fleet.violations.front();
    for (const auto& [task, count] : this->fleet.successes) {
      EXPECT_EQ(count, 1) << task.occurrence << "." << task.step << "." << task.index;
    }
    EXPECT_EQ(this->store.tooLongValues, 0U);
    // The parts of a job that is over are deleted with the next records.
    ASSERT_EQ(this->Submit(this->AnyInstance(), aJob.id + "-other", 1), SubmitOutcome::Accepted);
    this->ExpectCompleted(aJob.id + "-other", seconds(10));
    this->loop.RunFor(seconds(2));
    ASSERT_EQ(this->Submit(this->AnyInstance(), aJob.id + "-last", 1), SubmitOutcome::Accepted);
    this->ExpectCompleted(aJob.id + "-last", seconds(10));
    EXPECT_EQ(this->store.CountKeys("daisydrift/progress/" + aJob.id + "/"), 0U);
  }

  int nextInstance = 3;
  /// Changes of leader at which the first occurrences of a job had no records any more.
  std::size_t retiredAtChanges = 0;
};

// Guards against a record that outgrows the store's limit: it is refused for ever, and no start of
// any job is sent any more.
TEST_F(LargeJobTest, ALateScheduleDoesNotHoldBackOtherJobs)
{
  this->fleet.runTime = milliseconds(300);
  this->StartInstances();
  ASSERT_EQ(this->Submit(0, this->LateSchedule("schedule", 64, 3600, minutes(15))),
            SubmitOutcome::Accepted);
  this->loop.RunFor(seconds(2));
  for (int number = 0; number < 20; ++number) {
    JobId id = "small" + std::to_string(number);
    ASSERT_EQ(this->Submit(number % 3, id, 2), SubmitOutcome::Accepted);
    this->loop.RunFor(milliseconds(250));
  }
  for (int number = 0; number < 20; ++number) {
    this->ExpectCompleted("small" + std::to_string(number), seconds(14));
  }
  EXPECT_EQ(this->store.tooLongValues, 0U);
  EXPECT_GT(this->fleet.successes.size(), 200U) << "the schedule goes on";
  EXPECT_TRUE(this->fleet.violations.empty());
}

// Guards against parts of a job's progress that are lost, or replaced by older ones, around a
// change of leader: tasks that have succeeded would run again.
TEST_F(LargeJobTest, AScheduleInPartsSurvivesChangesOfLeader)
{
  this->dispatch.maxOpenTasksPerSchedule = 240;
  this->StartInstances();
  for (unsigned seed = 1; seed <= 3; ++seed) {
    JobId id = "schedule" + std::to_string(seed);
    this->ExpectCompletedDespiteFaults(this->LateSchedule(id, 12, 300, minutes(15)), seed);
  }
  EXPECT_GT(this->retiredAtChanges, 0U)
    << "some leader took over after the first parts were deleted";
}

TEST_F(LargeJobTest, AnOccurrenceInPartsSurvivesChangesOfLeader)
{
  this->StartInstances();
  this->ExpectCompletedDespiteFaults(Chain("job", 2, 2000), 4);
}

TEST_F(LargeJobTest, OccurrencesInPartsSurviveChangesOfLeader)
{
  this->StartInstances();
  JobDefinition job = Chain("job", 2, 500);
  job.occurrences = 4;
  job.firstDue = this->loop.WallClockNow() - minutes(1);
  job.interval = seconds(1);
  this->ExpectCompletedDespiteFaults(job, 5);
}

// Guards against a record that the store refuses, for whatever reason, and that holds back the
// records of all other jobs.
TEST_F(LargeJobTest, ARefusedRecordEndsItsJobAndNoOther)
{
  this->StartInstances();
  this->store.commitFault = [](const KeyValueTransaction& aTransaction) {
    bool isOdd =
      std::any_of(aTransaction.puts.begin(), aTransaction.puts.end(), [](const auto& aPut) {
        return aPut.key == "daisydrift/progress/odd" &&
               aPut.value.find("open") != std::string::npos;
      });
    return isOdd ? CommitFault::Invalid : CommitFault::None;
  };
  ASSERT_EQ(this->Submit(0, "odd", 2), SubmitOutcome::Accepted);
  for (int number = 0; number < 5; ++number) {
    ASSERT_EQ(this->Submit(1, "job" + std::to_string(number), 2), SubmitOutcome::Accepted);
  }
  for (int number = 0; number < 5; ++number) {
    this->ExpectCompleted("job" + std::to_string(number), seconds(8));
  }
  EXPECT_EQ(*this->State(0, "odd"), DispatchState::Failed);
  EXPECT_EQ(this->fleet.successes.size(), 10U) << "no start without a record";
}

} // namespace
} // namespace daisydrift
