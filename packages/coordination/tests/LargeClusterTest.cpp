// A cluster of the largest size in use, on machines of two sizes that need time for each message:
// the leader learns of accepted jobs and carries out cancellations in time, through a burst of jobs
// and while the store is silent.

#include "Cluster.h"

#include <gmock/gmock.h>

namespace daisydrift {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kLargeInstances = 8;
constexpr int kInstances = 44;
constexpr int kWorkers = 350;
/// Jobs a second; 4,100 jobs were accepted in 60 s of an ordinary day of this size.
constexpr int kOrdinaryRate = 70;
constexpr int kBurstRate = 5 * kOrdinaryRate;
/// Bounds from the acceptance of a job, or from the request of a cancellation.
constexpr milliseconds kMaxTimeUntilKnown{ 3000 };
constexpr milliseconds kUsualTimeUntilKnown{ 500 };
constexpr milliseconds kMaxCancelTime{ 3000 };
/// Jobs in a thousand that may be known later than kUsualTimeUntilKnown.
constexpr std::size_t kLateJobsInAThousand = 1;
constexpr milliseconds kTick{ 10 };
/// One job in so many runs until it is cancelled.
constexpr int kCancelledJob = 20;
constexpr milliseconds kCancelDelay{ 300 };
constexpr milliseconds kCallerRetryDelay{ 500 };
constexpr milliseconds kCallerTimeout{ 2500 };
/// Time between two queries of one caller.
constexpr milliseconds kQueryInterval{ 600 };
/// Bytes of the data that a job passes to the workers.
constexpr std::size_t kPayloadBytes = 600;

/// A message takes 100 us of a whole core, and a kilobyte of a long one 20 us.
constexpr MachineSpeed kLargeMachine{ microseconds(200), microseconds(40), microseconds(82) };
constexpr MachineSpeed kSmallMachine{ microseconds(830), microseconds(167), microseconds(820) };
/// Campaign delays of half a core and of 0.12 cores.
constexpr milliseconds kLargeCampaignDelay{ 0 };
constexpr milliseconds kSmallCampaignDelay{ 400 };

class LargeClusterTest : public Cluster
{
protected:
  LargeClusterTest()
  {
    for (int number = 4; number < kWorkers; ++number) {
      this->fleet.AddWorker(this->store, "w" + std::to_string(number));
    }
    this->fleet.planRun = [this](const StartCommand& aCommand) {
      const SubmittedJob& job = this->jobs.at(aCommand.task.job);
      if (job.cancelledAt) {
        this->faults.push_back(aCommand.task.job + " runs after its cancellation");
      }
      std::optional<Duration> time = milliseconds(600);
      if (job.isCancelled) {
        time.reset();
      }
      return std::pair(time, RunOutcome::Succeeded);
    };
    for (int number = 0; number < kInstances; ++number) {
      bool isLarge = number < kLargeInstances;
      this->StartInstance(number,
                          isLarge ? kLargeCampaignDelay : kSmallCampaignDelay,
                          isLarge ? kLargeMachine : kSmallMachine);
    }
    this->loop.RunFor(seconds(3));
  }

  struct SubmittedJob
  {
    JobDefinition definition;
    bool isCancelled = false;
    /// The instance that accepted the job.
    int instance = -1;
    std::optional<TimePoint> acceptedAt;
    /// Last time at which the job was accepted or its instance had no leader that serves.
    TimePoint waitsSince;
    std::optional<TimePoint> knownAt;
    std::optional<TimePoint> cancelRequestedAt;
    /// The instance that was asked last to cancel the job.
    int cancelInstance = -1;
    std::optional<TimePoint> cancelledAt;
    bool isFinished = false;
  };

  /// Serves a caller's request when the instance's process has time for it.
  void Request(int aNumber, std::function<void(Instance&)> aRequest)
  {
    auto found = this->processes.find(aNumber);
    if (found != this->processes.end()) {
      FakeProcess* process = found->second.get();
      DeliverInTurn(
        process->state,
        process->state.speed.messageTime,
        [process, aRequest] { aRequest(process->instance); },
        std::make_tuple());
    }
  }

  int NextInstance()
  {
    do {
      this->nextInstance = (this->nextInstance + 7) % kInstances;
    } while (this->instances.count(this->nextInstance) == 0);
    return this->nextInstance;
  }

  /// Ends an instance; its callers repeat their cancellations elsewhere.
  void Kill(int aNumber)
  {
    this->KillInstance(aNumber);
    for (auto& [id, job] : this->jobs) {
      if (job.cancelRequestedAt && !job.cancelledAt && job.cancelInstance == aNumber) {
        this->CancelUntilDone(job);
      }
    }
  }

  void SubmitNext()
  {
    JobId id = "job" + std::to_string(this->jobs.size());
    SubmittedJob& job = this->jobs[id];
    job.isCancelled = this->jobs.size() % kCancelledJob == 0;
    job.definition.id = id;
    job.definition.queue = "queue";
    job.definition.team = "team";
    job.definition.payload = std::string(kPayloadBytes, 'x');
    StepSpec step;
    step.taskCount = 2;
    step.size = { 1000, 100, 0 };
    step.estimate = milliseconds(600);
    job.definition.steps.push_back(step);
    this->Send(job);
  }

  void Send(SubmittedJob& aJob)
  {
    aJob.definition.acceptedAt = this->loop.WallClockNow();
    int number = this->NextInstance();
    this->Request(number, [this, &aJob, number](Instance& aInstance) {
      aInstance.Submit(
        aJob.definition, kCallerTimeout, [this, &aJob, number](SubmitOutcome aOutcome) {
          if (aOutcome != SubmitOutcome::Accepted) {
            this->loop.After(kCallerRetryDelay, [this, &aJob] { this->Send(aJob); });
          } else if (!aJob.acceptedAt) {
            aJob.instance = number;
            aJob.acceptedAt = this->loop.Now();
            aJob.waitsSince = *aJob.acceptedAt;
            this->unknown.push_back(&aJob);
            this->loop.After(kQueryInterval, [this, &aJob] { this->QueryUntilFinished(aJob); });
            if (aJob.isCancelled) {
              this->loop.After(kCancelDelay, [this, &aJob] {
                aJob.cancelRequestedAt = this->loop.Now();
                this->CancelUntilDone(aJob);
              });
            }
          }
        });
    });
  }

  void QueryUntilFinished(SubmittedJob& aJob)
  {
    this->Request(this->NextInstance(), [this, &aJob](Instance& aInstance) {
      aInstance.Query(
        aJob.definition.id, kCallerTimeout, [this, &aJob](const Result<DispatchState>& aState) {
          aJob.isFinished =
            aState && *aState != DispatchState::Queued && *aState != DispatchState::Running;
          if (!aState && aState.Error() == make_error_code(Errc::NotFound)) {
            this->faults.push_back(aJob.definition.id + " is not known");
          }
        });
    });
    this->loop.After(kQueryInterval, [this, &aJob] {
      if (!aJob.isFinished) {
        this->QueryUntilFinished(aJob);
      }
    });
  }

  void CancelUntilDone(SubmittedJob& aJob)
  {
    aJob.cancelInstance = this->NextInstance();
    this->Request(aJob.cancelInstance, [this, &aJob](Instance& aInstance) {
      aInstance.Cancel(aJob.definition.id, kCallerTimeout, [this, &aJob](std::error_code aError) {
        if (aError) {
          this->loop.After(kCallerRetryDelay, [this, &aJob] { this->CancelUntilDone(aJob); });
        } else if (!aJob.cancelledAt) {
          aJob.cancelledAt = this->loop.Now();
        }
      });
    });
  }

  /// True if the instance knows a leader, and that has loaded the stored jobs.
  bool HasLeader(int aNumber)
  {
    std::string name;
    this->instances[aNumber]->OnPeerCall(
      "leader", nlohmann::json::object(), [&name](const Result<nlohmann::json>& aResponse) {
        if (aResponse && aResponse->contains("leader")) {
          name = (*aResponse)["leader"].value("name", "");
        }
      });
    return !name.empty() && this->instances[std::stoi(name.substr(1))]->IsLeading();
  }

  /// Asks the leader, without a message, which accepted jobs it knows.
  void CheckKnown()
  {
    for (SubmittedJob* job : this->unknown) {
      if (this->instances.count(job->instance) != 0 && !this->HasLeader(job->instance)) {
        job->waitsSince = this->loop.Now();
      }
    }
    int leader = this->LeaderNumber();
    if (leader < 0) {
      return;
    }
    std::erase_if(this->unknown,
                  [](const SubmittedJob* aJob) { return aJob->knownAt.has_value(); });
    for (SubmittedJob* job : this->unknown) {
      this->instances[leader]->OnPeerCall("query",
                                          { { "job", job->definition.id } },
                                          [this, job](const Result<nlohmann::json>& aResponse) {
                                            if (aResponse && aResponse->value("state", -1) >= 0 &&
                                                !job->knownAt) {
                                              job->knownAt = this->loop.Now();
                                            }
                                          });
    }
  }

  /// Submits aRate jobs a second.
  void RunWithLoad(Duration aTime, int aRate)
  {
    TimePoint end = this->loop.Now() + aTime;
    while (this->loop.Now() < end) {
      this->due += std::chrono::duration<double>(kTick).count() * aRate;
      for (; this->due >= 1; this->due -= 1) {
        this->SubmitNext();
      }
      this->loop.RunFor(kTick);
      this->CheckKnown();
    }
  }

  void SetStoreSilent(int aFirst, int aLast, bool aIsSilent)
  {
    for (auto& [number, process] : this->processes) {
      if (number >= aFirst && number < aLast) {
        process->state.isStoreSilent = aIsSilent;
      }
    }
  }

  /// Checks all times. The store is not silent for a cancellation before aServedSince.
  void Check(TimePoint aSilentSince, TimePoint aServedSince)
  {
    std::size_t accepted = 0;
    std::size_t unusual = 0;
    std::size_t late = 0;
    std::size_t lateCancellations = 0;
    std::size_t cancellations = 0;
    Duration longest{ 0 };
    Duration longestCancellation{ 0 };
    TimePoint now = this->loop.Now();
    for (const auto& [id, job] : this->jobs) {
      if (!job.acceptedAt) {
        continue;
      }
      ++accepted;
      Duration time = job.knownAt.value_or(now) - job.waitsSince;
      longest = std::max(longest, time);
      unusual += time > kUsualTimeUntilKnown ? 1 : 0;
      late += time > kMaxTimeUntilKnown ? 1 : 0;
      if (job.cancelRequestedAt) {
        ++cancellations;
        bool isInSilence = *job.cancelRequestedAt + kMaxCancelTime > aSilentSince &&
                           *job.cancelRequestedAt < aServedSince;
        TimePoint since = isInSilence ? aServedSince : *job.cancelRequestedAt;
        Duration cancelTime = job.cancelledAt.value_or(now) - since;
        longestCancellation = std::max(longestCancellation, cancelTime);
        lateCancellations += cancelTime > kMaxCancelTime ? 1 : 0;
        for (std::uint32_t index = 0; job.cancelledAt && index < 2; ++index) {
          EXPECT_EQ(this->fleet.CountRuns({ id, 0, 0, index }), 0U) << id;
        }
      }
    }
    std::printf("accepted=%zu unusual=%zu late=%zu longest_ms=%lld cancellations=%zu "
                "late_cancellations=%zu longest_cancellation_ms=%lld leader=%d\n",
                accepted,
                unusual,
                late,
                static_cast<long long>(longest.count() / 1000),
                cancellations,
                lateCancellations,
                static_cast<long long>(longestCancellation.count() / 1000),
                this->LeaderNumber());
    EXPECT_GT(accepted, 2000U);
    EXPECT_LE(unusual * 1000, accepted * kLateJobsInAThousand);
    EXPECT_EQ(late, 0U);
    EXPECT_GT(cancellations, 100U);
    EXPECT_EQ(lateCancellations, 0U);
    EXPECT_THAT(this->faults, ::testing::IsEmpty());
    EXPECT_THAT(this->fleet.violations, ::testing::IsEmpty());
  }

  std::map<JobId, SubmittedJob> jobs;
  std::vector<SubmittedJob*> unknown;
  std::vector<std::string> faults;
  int nextInstance = 0;
  double due = 0;
};

// Guards against jobs that a leader learns of late because notices were given up or the changes of
// the job list no longer fit into the time limit of a poll.
TEST_F(LargeClusterTest, JobsAreKnownInTimeThroughABurstAndASilentStore)
{
  this->RunWithLoad(seconds(2), kOrdinaryRate);
  this->RunWithLoad(seconds(1), kBurstRate);
  // The leader finds the last jobs of these instances in the job list.
  this->Kill(kInstances - 1);
  this->Kill(kLargeInstances);
  this->RunWithLoad(seconds(2), kBurstRate);
  TimePoint silentSince = this->loop.Now();
  this->SetStoreSilent(0, kInstances, true);
  this->RunWithLoad(seconds(4), kBurstRate);
  this->SetStoreSilent(0, kInstances, false);
  TimePoint servedSince = this->loop.Now();
  this->RunWithLoad(seconds(2), kBurstRate);
  this->RunWithLoad(seconds(3), kOrdinaryRate);
  this->RunWithLoad(kMaxCancelTime + seconds(1), 0);
  this->Check(silentSince, servedSince);
}

// Guards against leadership that stays with a small machine after the store was silent for the
// large ones.
TEST_F(LargeClusterTest, JobsAreKnownInTimeAfterTheStoreWasSilentForTheLargeMachines)
{
  this->RunWithLoad(seconds(2), kOrdinaryRate);
  TimePoint silentSince = this->loop.Now();
  this->SetStoreSilent(0, kLargeInstances, true);
  this->RunWithLoad(seconds(4), kOrdinaryRate);
  this->SetStoreSilent(0, kLargeInstances, false);
  TimePoint servedSince = this->loop.Now();
  this->RunWithLoad(seconds(3), kOrdinaryRate);
  this->RunWithLoad(seconds(5), kBurstRate);
  this->RunWithLoad(seconds(2), kOrdinaryRate);
  this->RunWithLoad(kMaxCancelTime + seconds(1), 0);
  this->Check(silentSince, servedSince);
}

} // namespace
} // namespace daisydrift
