#include "Policy.h"

#include "BaselinePolicy.h"

namespace daisydrift::bench {

namespace {

/// Adapter of Scheduler to the interface Policy.
class LibraryPolicy : public Policy
{
public:
  explicit LibraryPolicy(const PolicySettings& aSettings)
    : scheduler(aSettings)
  {
  }
  void SetTeams(const std::vector<TeamPolicy>& aTeams, TimePoint aNow) override
  {
    this->scheduler.SetTeams(aTeams, aNow);
  }
  void SetDrained(const std::set<FailureDomain>& aDrained, TimePoint aNow) override
  {
    this->scheduler.SetDrainedFailureDomains(aDrained, aNow);
  }
  void UpdateWorker(const WorkerDescription& aWorker, TimePoint aNow) override
  {
    this->scheduler.UpdateWorker(aWorker, aNow);
  }
  void AddJob(const JobSpec& aSpec, TimePoint aNow) override
  {
    (void)this->scheduler.AddJob(aSpec, aNow);
  }
  void CancelJob(JobNumber aJob, TimePoint aNow) override
  {
    (void)this->scheduler.CancelJob(aJob, aNow);
  }
  void OnEnded(const AttemptId& aAttempt, AttemptOutcome aOutcome, TimePoint aNow) override
  {
    this->scheduler.OnEnded(aAttempt, aOutcome, "", aNow);
  }
  void OnUsage(const AttemptId& aAttempt, const Resources& aUsage, TimePoint aNow) override
  {
    this->scheduler.OnUsage(aAttempt, aUsage, aNow);
  }
  std::vector<Decision> Decide(TimePoint aNow, std::size_t aMaxStarts) override
  {
    auto decisions = this->scheduler.Decide(aNow, aMaxStarts);
    for (const Decision& decision : decisions) {
      if (const auto* start = std::get_if<StartDecision>(&decision)) {
        this->scheduler.OnStarted(start->attempt, aNow);
      } else if (const auto* done = std::get_if<JobFinishedDecision>(&decision)) {
        (void)this->scheduler.EraseJob(done->job);
      }
    }
    return decisions;
  }

private:
  Scheduler scheduler;
};

} // namespace

std::unique_ptr<Policy> MakePolicy(const std::string& aName, std::uint64_t aSeed)
{
  if (aName == "daisydrift_waiting") {
    return std::make_unique<LibraryPolicy>(PolicySettings::ForWaitingTime());
  }
  if (aName == "daisydrift_packing") {
    return std::make_unique<LibraryPolicy>(PolicySettings::ForPacking());
  }
  auto strategy = aName == "first_fit"    ? BaselinePolicy::Strategy::FirstFit
                  : aName == "random_two" ? BaselinePolicy::Strategy::RandomOfTwo
                                          : BaselinePolicy::Strategy::Fifo;
  return std::make_unique<BaselinePolicy>(strategy, aSeed);
}

} // namespace daisydrift::bench
