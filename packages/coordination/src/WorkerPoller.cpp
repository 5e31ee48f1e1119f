#include "WorkerPoller.h"

#include <set>

namespace daisydrift::coordination {

namespace {
/// Delay before a worker is polled again after two polls in a row have failed.
constexpr std::chrono::milliseconds kRetryDelay{ 200 };
/// Longest wait of a poll while responses are being lost: a completion in a lost response is only
/// seen with the next poll.
constexpr std::chrono::milliseconds kLossyPollWait{ 250 };
/// Time for which one lost response shortens the polls of all workers.
constexpr std::chrono::seconds kLossWindow{ 3 };
/// Most first polls that are open at the same time. Each needs a connection.
constexpr std::size_t kMaxFirstPolls = 128;
/// Time between polls while the store is unavailable, which still renew leases and collect
/// completions.
constexpr std::chrono::milliseconds kOutagePollInterval{ 300 };
/// In this time without a poll a worker's process can't end, start anew and carry out a run.
constexpr std::chrono::milliseconds kMaxUnwatchedTime{ 200 };
} // namespace

WorkerPoller::WorkerPoller(EventLoop& aLoop,
                           WorkerGateway& aGateway,
                           Dispatcher& aDispatcher,
                           const InstanceSettings& aSettings,
                           Hooks aHooks)
  : loop(aLoop)
  , gateway(aGateway)
  , dispatcher(aDispatcher)
  , settings(aSettings)
  , hooks(std::move(aHooks))
{
}

WorkerPoller::~WorkerPoller()
{
  *this->isAlive = false;
}

void WorkerPoller::Refresh()
{
  std::vector<WorkerId> current = this->dispatcher.Workers();
  std::set<WorkerId> wanted(current.begin(), current.end());
  for (auto poll = this->polls.begin(); poll != this->polls.end();) {
    bool isDone = wanted.count(poll->first) == 0 && !poll->second.isOpen;
    poll = isDone ? this->polls.erase(poll) : std::next(poll);
  }
  for (const WorkerId& id : wanted) {
    if (!this->polls.try_emplace(id).second) {
      continue;
    }
    if (this->dispatcher.CountRuns(id) > 0) {
      this->firstPolls.push_front(id);
    } else {
      this->firstPolls.push_back(id);
    }
  }
  this->StartFirstPolls();
}

void WorkerPoller::StartFirstPolls()
{
  while (this->openFirstPolls < kMaxFirstPolls && !this->firstPolls.empty()) {
    WorkerId id = std::move(this->firstPolls.front());
    this->firstPolls.pop_front();
    auto found = this->polls.find(id);
    if (found == this->polls.end() || found->second.wasPolled) {
      continue;
    }
    this->Poll(id);
    found->second.isFirstOpen = found->second.isOpen;
    this->openFirstPolls += found->second.isOpen ? 1 : 0;
  }
}

void WorkerPoller::SchedulePoll(const WorkerId& aWorker, Duration aDelay)
{
  auto found = this->polls.find(aWorker);
  if (found == this->polls.end()) {
    return;
  }
  std::uint64_t generation = ++found->second.generation;
  this->loop.After(aDelay, [this, alive = this->isAlive, aWorker, generation] {
    if (!*alive) {
      return;
    }
    auto poll = this->polls.find(aWorker);
    if (poll != this->polls.end() && poll->second.generation == generation) {
      this->Poll(aWorker);
    }
  });
}

Duration WorkerPoller::MaxPollWait(TimePoint aNow) const
{
  bool isLossy = this->lastLostResponse && aNow - *this->lastLostResponse < kLossWindow;
  return isLossy ? std::min<Duration>(kLossyPollWait, this->settings.pollWait)
                 : this->settings.pollWait;
}

void WorkerPoller::Poll(const WorkerId& aWorker)
{
  PollState& poll = this->polls[aWorker];
  const WorkerListing* listing = this->dispatcher.FindWorker(aWorker);
  if (poll.isOpen || listing == nullptr) {
    return;
  }
  if (listing->endpoint.port == 0) {
    poll.wasPolled = true; // Known only from stored records, without an address.
    this->SchedulePoll(aWorker, kRetryDelay);
    return;
  }
  poll.isOpen = true;
  poll.isWaitingForStore = false;
  ++poll.generation;
  TimePoint now = this->loop.Now();
  PollRequest request;
  // After a failed poll, or some time without one, the worker may have restarted, and its
  // completions are numbered from 1 again.
  bool mayHaveRestarted = !poll.hasAnswered || now - poll.answeredAt > kMaxUnwatchedTime;
  request.lastCompletion = mayHaveRestarted ? 0 : poll.acknowledged;
  poll.sentAcknowledgement = request.lastCompletion;
  request.lease = this->dispatcher.ExtendWorkerLease(aWorker, this->hooks.confirmedAt());
  // The first poll, and the first one after a restart, must not wait: it raises the fencing token.
  bool mayWait = request.lease && this->dispatcher.IsFenced(aWorker) && !this->isStoreUnavailable;
  request.wait = mayWait ? this->MaxPollWait(now) : Duration(0);
  this->gateway.Poll(
    *listing,
    request,
    this->hooks.fencingToken(aWorker),
    [this, alive = this->isAlive, aWorker, now](const Result<WorkerReport>& aReport) {
      if (*alive) {
        this->OnPollResult(aWorker, now, aReport);
      }
    });
}

void WorkerPoller::OnPollResult(const WorkerId& aWorker,
                                TimePoint aSentAt,
                                const Result<WorkerReport>& aReport)
{
  PollState& poll = this->polls[aWorker];
  bool isFirst = !poll.wasPolled;
  poll.isOpen = false;
  poll.wasPolled = true;
  if (std::exchange(poll.isFirstOpen, false)) {
    --this->openFirstPolls;
    this->StartFirstPolls();
  }
  TimePoint now = this->loop.Now();
  if (!aReport) {
    if (aReport.Error() == make_error_code(Errc::Fenced)) {
      this->hooks.onFenced();
      return;
    }
    bool wasNeverSent = aReport.Error() == make_error_code(Errc::Unreachable);
    this->dispatcher.OnPollFailed(aWorker);
    // A single lost response does not prove that the worker is unreachable.
    bool wasHealthy = poll.hasAnswered;
    poll.hasAnswered = false;
    if (wasHealthy && !wasNeverSent) {
      this->lastLostResponse = now;
    }
    this->SchedulePoll(aWorker, wasHealthy ? Duration(0) : Duration(kRetryDelay));
    this->hooks.onUpdate();
    return;
  }
  poll.hasAnswered = true;
  poll.answeredAt = now;
  if (poll.incarnation != aReport->incarnation) {
    poll.incarnation = aReport->incarnation;
    poll.acknowledged = 0;
  }
  this->dispatcher.OnReport(aWorker, *aReport, aSentAt, now);
  this->hooks.onAccepted(aWorker, aReport->incarnation, aSentAt);
  bool hasNewCompletions = this->dispatcher.LastCompletion(aWorker) > poll.acknowledged;
  if (hasNewCompletions) {
    this->unacknowledged.insert(aWorker);
  } else {
    this->unacknowledged.erase(aWorker);
  }
  bool isAcknowledgementDue = poll.sentAcknowledgement < poll.acknowledged;
  if (hasNewCompletions && !this->isStoreUnavailable && !isAcknowledgementDue) {
    poll.isWaitingForStore = true;
    // Renews the lease even if the store is slow.
    this->SchedulePoll(aWorker, this->settings.pollWait);
  } else if (isAcknowledgementDue && !this->isStoreUnavailable) {
    // In this turn of the event loop, however late the next one is.
    this->Poll(aWorker);
  } else {
    this->SchedulePoll(aWorker,
                       this->isStoreUnavailable ? Duration(kOutagePollInterval) : Duration(0));
  }
  if (hasNewCompletions || isFirst || !aReport->completions.empty()) {
    this->hooks.onUpdate();
  }
}

ProcessedCompletions WorkerPoller::UnacknowledgedCompletions() const
{
  ProcessedCompletions completions;
  for (const WorkerId& id : this->unacknowledged) {
    auto poll = this->polls.find(id);
    std::uint64_t last = this->dispatcher.LastCompletion(id);
    if (poll != this->polls.end() && last > poll->second.acknowledged) {
      completions.push_back({ id, poll->second.incarnation, last });
    }
  }
  return completions;
}

void WorkerPoller::Acknowledge(const ProcessedCompletions& aCompletions)
{
  for (const ProcessedCompletion& completion : aCompletions) {
    auto found = this->polls.find(completion.worker);
    // A restarted worker numbers its completions from 1 again.
    if (found == this->polls.end() || found->second.incarnation != completion.incarnation) {
      continue;
    }
    PollState& poll = found->second;
    poll.acknowledged = std::max(poll.acknowledged, completion.number);
    if (this->dispatcher.LastCompletion(completion.worker) != poll.acknowledged) {
      continue;
    }
    this->unacknowledged.erase(completion.worker);
    if (poll.isWaitingForStore) {
      this->Poll(completion.worker);
    }
  }
}

} // namespace daisydrift::coordination
