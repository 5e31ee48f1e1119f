#include "StoredJobNotifier.h"

#include "RecordCodec.h"

namespace daisydrift::coordination {

using nlohmann::json;

namespace {
/// Response time limit. Longer than for a caller's request: nobody waits for the response, and a
/// repeated call adds to the work of a leader that is late.
constexpr std::chrono::milliseconds kNoticeTimeout{ 1500 };
/// The delay before a call is repeated doubles from the first value to the second.
constexpr std::chrono::milliseconds kMinRetryDelay{ 60 };
constexpr std::chrono::milliseconds kMaxRetryDelay{ 500 };
/// Bounds of one call, so that a leader can read it within a few turns of its event loop.
constexpr std::size_t kMaxJobsPerCall = 64;
constexpr std::size_t kMaxBytesPerCall = 128 * 1024;
/// Bounds the memory of an instance that reaches no leader for a long time.
constexpr std::size_t kMaxWaitingJobs = 4096;
} // namespace

StoredJobNotifier::StoredJobNotifier(const Leader::Environment& aEnvironment,
                                     Membership& aMembership,
                                     std::function<Leader*()> aOwnLeader)
  : env(aEnvironment)
  , membership(aMembership)
  , ownLeader(std::move(aOwnLeader))
  , retryDelay(kMinRetryDelay)
{
}

StoredJobNotifier::~StoredJobNotifier()
{
  *this->isAlive = false;
}

void StoredJobNotifier::Add(const JobDefinition& aJob)
{
  if (this->waiting.size() >= kMaxWaitingJobs) {
    // Found by the next leader on recovery, or by this one in the job list.
    this->env.metrics.Count("notices_given_up_total");
    LogLine(LogLevel::Warning, "notice_given_up")
      .Add("job", aJob.id)
      .Add("waiting", this->waiting.size())
      .Add("oldest_ms", this->env.loop.Now() - this->waiting.front().addedAt);
    return;
  }
  if (!this->waitingIds.insert(aJob.id).second) {
    return;
  }
  this->waiting.push_back({ aJob, this->env.loop.Now() });
  if (!this->isBusy) {
    this->SendNext();
  }
}

void StoredJobNotifier::RemoveOldest(std::size_t aCount)
{
  TimePoint now = this->env.loop.Now();
  for (; aCount > 0; --aCount) {
    this->env.metrics.Observe("notice_seconds", now - this->waiting.front().addedAt);
    this->waitingIds.erase(this->waiting.front().definition.id);
    this->waiting.pop_front();
  }
}

void StoredJobNotifier::RemoveExpired()
{
  TimePoint oldest = this->env.loop.Now() - MaxHandoverTime(this->env.settings);
  while (!this->waiting.empty() && this->waiting.front().addedAt < oldest) {
    this->GiveUpOldest();
  }
}

void StoredJobNotifier::GiveUpOldest()
{
  this->env.metrics.Count("notices_given_up_total");
  LogLine(LogLevel::Warning, "notice_given_up")
    .Add("job", this->waiting.front().definition.id)
    .Add("waiting", this->waiting.size())
    .Add("oldest_ms", this->env.loop.Now() - this->waiting.front().addedAt);
  this->waitingIds.erase(this->waiting.front().definition.id);
  this->waiting.pop_front();
}

void StoredJobNotifier::SendNext()
{
  this->isBusy = false;
  this->RemoveExpired();
  if (Leader* leader = this->ownLeader()) {
    for (const WaitingJob& job : this->waiting) {
      leader->AddJob(job.definition, "own");
    }
    this->RemoveOldest(this->waiting.size());
  }
  if (this->waiting.empty()) {
    return;
  }
  const std::optional<LeaderRecord>& leader = this->membership.Leader();
  if (!leader || leader->incarnation == this->membership.Incarnation()) {
    // There is no leader, or this instance leads and has not loaded the stored jobs yet.
    this->RetryLater();
    return;
  }
  this->SendTo(*leader);
}

void StoredJobNotifier::SendTo(const LeaderRecord& aLeader)
{
  this->isBusy = true;
  bool isSingle = aLeader.incarnation == this->singleJobLeader;
  std::size_t maxJobs = isSingle ? 1 : kMaxJobsPerCall;
  json jobs = json::array();
  std::size_t bytes = 0;
  for (const WaitingJob& job : this->waiting) {
    json record = ToJson(job.definition);
    bytes += record.dump().size();
    if (jobs.size() >= maxJobs || (!jobs.empty() && bytes > kMaxBytesPerCall)) {
      break;
    }
    jobs.push_back(std::move(record));
  }
  std::size_t count = jobs.size();
  this->env.peers.Call(
    aLeader.endpoint,
    isSingle ? "notice" : "notices",
    isSingle ? jobs[0] : json{ { "jobs", std::move(jobs) } },
    kNoticeTimeout,
    [this, alive = this->isAlive, aLeader, count](const Result<json>& aResponse) {
      if (*alive) {
        this->OnResponse(aLeader, count, aResponse.Error());
      }
    });
}

void StoredJobNotifier::OnResponse(const LeaderRecord& aLeader,
                                   std::size_t aCount,
                                   std::error_code aError)
{
  TimePoint now = this->env.loop.Now();
  if (!aError) {
    if (this->isUnanswered) {
      LogLine(LogLevel::Warning, "notices_taken")
        .Add("leader", aLeader.name)
        .Add("term", aLeader.term)
        .Add("waiting", this->waiting.size())
        .Add("oldest_ms", now - this->waiting.front().addedAt);
    }
    this->isUnanswered = false;
    this->retryDelay = kMinRetryDelay;
    this->RemoveOldest(aCount);
    this->SendNext();
    return;
  }
  if (aError == make_error_code(Errc::InvalidArgument)) {
    this->OnRejected(aLeader);
    return;
  }
  this->env.metrics.Count("notices_failed_total{error=\"" + aError.message() + "\"}");
  if (!this->isUnanswered) {
    // One line for each row of failures.
    LogLine(LogLevel::Warning, "notices_unanswered")
      .Add("leader", aLeader.name)
      .Add("term", aLeader.term)
      .Add("error", aError)
      .Add("waiting", this->waiting.size())
      .Add("oldest_ms", now - this->waiting.front().addedAt);
  }
  this->isUnanswered = true;
  this->membership.SuspectLeader();
  this->RetryLater();
}

void StoredJobNotifier::OnRejected(const LeaderRecord& aLeader)
{
  if (aLeader.incarnation == this->singleJobLeader) {
    this->GiveUpOldest();
  }
  this->singleJobLeader = aLeader.incarnation;
  this->SendNext();
}

void StoredJobNotifier::RetryLater()
{
  this->isBusy = true;
  this->env.loop.After(this->retryDelay, [this, alive = this->isAlive] {
    if (*alive) {
      this->SendNext();
    }
  });
  this->retryDelay = std::min<Duration>(this->retryDelay * 2, kMaxRetryDelay);
}

} // namespace daisydrift::coordination
