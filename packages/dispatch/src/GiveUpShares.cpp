#include "GiveUpShares.h"

#include <algorithm>

namespace daisydrift::dispatch {

namespace {
/// Value of a job: kFixedValue, and the rest in proportion to its work by the mean of its queue, at
/// most kMaxValue. Defined by the platform.
constexpr double kFixedValue = 0.3;
constexpr double kMaxValue = 4;
/// Number of jobs from which the classes of width and the mean work are derived.
constexpr std::size_t kRecentJobs = 256;
/// With fewer jobs there are no classes of width.
constexpr std::size_t kMinRecentJobs = 20;
/// Arrivals between two computations of the classes.
constexpr std::uint64_t kArrivalsPerUpdate = 16;
/// Time after which past counts have half their weight; some latency objectives of batch jobs.
constexpr std::chrono::seconds kHalfLife{ 30 };
} // namespace

void GiveUpShares::Observe(const Recent& aJob)
{
  if (this->recent.size() < kRecentJobs) {
    this->recent.push_back(aJob);
  } else {
    this->recent[this->nextRecent] = aJob;
    this->nextRecent = (this->nextRecent + 1) % kRecentJobs;
  }
  std::size_t count = this->recent.size();
  if (this->arrivals++ % kArrivalsPerUpdate != 0 && count > kMinRecentJobs) {
    return;
  }
  std::vector<std::uint64_t> tasks;
  double work = 0;
  for (const Recent& job : this->recent) {
    tasks.push_back(job.tasks);
    work += job.work;
  }
  this->meanWork = work / static_cast<double>(count);
  std::sort(tasks.begin(), tasks.end());
  // Where most jobs are equally wide, none of these are wide.
  std::uint64_t median = tasks[count / 2];
  bool isEnough = count >= kMinRecentJobs;
  this->wideTasks = isEnough ? std::max(tasks[count * 7 / 10], median + 1) : UINT64_MAX;
  this->widestTasks = isEnough ? std::max(tasks[count * 9 / 10], median + 1) : UINT64_MAX;
}

void GiveUpShares::Halve(TimePoint aNow)
{
  if (this->arrivals == 0) {
    this->halvedAt = aNow;
  }
  auto halve = [](ShareCount& aCount) {
    aCount.jobs /= 2;
    for (double& ended : aCount.ended) {
      ended /= 2;
    }
  };
  while (aNow - this->halvedAt >= kHalfLife) {
    this->halvedAt += kHalfLife;
    halve(this->all);
    std::for_each(this->byWidth.begin(), this->byWidth.end(), halve);
    for (auto& [name, team] : this->teams) {
      halve(team);
    }
  }
}

JobShare GiveUpShares::Add(std::uint64_t aTasks,
                           double aWork,
                           const TeamName& aTeam,
                           TimePoint aNow)
{
  this->Halve(aNow);
  this->Observe({ aTasks, aWork });
  JobShare job;
  job.queue = this;
  job.team = &this->teams[aTeam];
  if (aTasks >= this->wideTasks) {
    job.width = aTasks >= this->widestTasks ? WidthClass::Widest : WidthClass::Wide;
  }
  double relative = this->meanWork > 0 ? aWork / this->meanWork : 1;
  job.value = std::min(kFixedValue + (1 - kFixedValue) * relative, kMaxValue);
  ++this->all.jobs;
  ++this->byWidth[static_cast<std::size_t>(job.width)].jobs;
  ++job.team->jobs;
  return job;
}

void GiveUpShares::CountEnd(const JobShare& aJob, bool aIsWithoutValue)
{
  for (ShareCount* count :
       { &this->all, &this->byWidth[static_cast<std::size_t>(aJob.width)], aJob.team }) {
    ++count->ended[0];
    count->ended[1] += aIsWithoutValue ? 1 : 0;
  }
}

void GiveUpShares::BeginSelection()
{
  this->all.selected = {};
  for (ShareCount& count : this->byWidth) {
    count.selected = {};
  }
  for (auto& [name, team] : this->teams) {
    team.selected = {};
  }
}

bool GiveUpShares::IsSmall(const ShareCount& aTeam) const
{
  return aTeam.jobs * static_cast<double>(this->teams.size()) < this->all.jobs;
}

bool GiveUpShares::MayGiveUp(const JobShare& aJob, std::size_t aLevel) const
{
  double share = (this->all.GivenUp(aLevel) + 1) / std::max(this->all.jobs, 1.0);
  auto hasRoom = [&](const ShareCount& aCount) {
    return aCount.GivenUp(aLevel) + 1 <= kMaxRatio * share * aCount.jobs;
  };
  return (aJob.width == WidthClass::Common ||
          hasRoom(this->byWidth[static_cast<std::size_t>(aJob.width)])) &&
         (!this->IsSmall(*aJob.team) || hasRoom(*aJob.team));
}

void GiveUpShares::CountGivenUp(const JobShare& aJob, std::size_t aLevel)
{
  for (ShareCount* count :
       { &this->all, &this->byWidth[static_cast<std::size_t>(aJob.width)], aJob.team }) {
    ++count->selected[aLevel];
  }
}

} // namespace daisydrift::dispatch
