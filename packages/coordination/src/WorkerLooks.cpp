#include "WorkerLooks.h"

#include <set>

namespace daisydrift::coordination {

namespace {
/// Delay before a worker is polled again after two polls in a row have failed.
constexpr std::chrono::milliseconds kRetryDelay{ 200 };
/// Longest wait of a poll while responses are being lost: an end report in a lost response is only
/// seen with the next poll.
constexpr std::chrono::milliseconds kLossyWait{ 250 };
/// Time for which one lost response shortens the polls of all workers.
constexpr std::chrono::seconds kLossMemory{ 3 };
/// Time between polls while the store is unavailable, which still renew leases and collect end
/// reports.
constexpr std::chrono::milliseconds kAwayInterval{ 300 };
} // namespace

WorkerLooks::WorkerLooks(EventLoop& aLoop,
                         WorkerGateway& aGateway,
                         Dispatcher& aDispatcher,
                         const InstanceSettings& aSettings,
                         Epoch aFence,
                         Hooks aHooks)
  : loop(aLoop)
  , gateway(aGateway)
  , dispatcher(aDispatcher)
  , settings(aSettings)
  , fence(aFence)
  , hooks(std::move(aHooks))
{
}

WorkerLooks::~WorkerLooks()
{
  *this->isAlive = false;
}

void WorkerLooks::Refresh()
{
  std::vector<WorkerId> current = this->dispatcher.Workers();
  std::set<WorkerId> wanted(current.begin(), current.end());
  for (auto watch = this->watches.begin(); watch != this->watches.end();) {
    bool isDone = wanted.count(watch->first) == 0 && !watch->second.isOpen;
    watch = isDone ? this->watches.erase(watch) : std::next(watch);
  }
  for (const WorkerId& id : wanted) {
    if (this->watches.try_emplace(id).second) {
      this->Look(id);
    }
  }
}

void WorkerLooks::LookLater(const WorkerId& aWorker, Duration aDelay)
{
  auto found = this->watches.find(aWorker);
  if (found == this->watches.end()) {
    return;
  }
  std::uint64_t generation = ++found->second.generation;
  this->loop.After(aDelay, [this, alive = this->isAlive, aWorker, generation] {
    if (!*alive) {
      return;
    }
    auto watch = this->watches.find(aWorker);
    if (watch != this->watches.end() && watch->second.generation == generation) {
      this->Look(aWorker);
    }
  });
}

Duration WorkerLooks::WaitOfLook(TimePoint aNow) const
{
  bool isLossy = this->lostAnswerAt && aNow - *this->lostAnswerAt < kLossMemory;
  return isLossy ? std::min<Duration>(kLossyWait, this->settings.lookWait)
                 : this->settings.lookWait;
}

void WorkerLooks::Look(const WorkerId& aWorker)
{
  Watch& watch = this->watches[aWorker];
  const WorkerListing* listing = this->dispatcher.FindWorker(aWorker);
  if (watch.isOpen || listing == nullptr) {
    return;
  }
  if (listing->endpoint.port == 0) {
    watch.wasAsked = true; // Known only from stored records, without an address.
    this->LookLater(aWorker, kRetryDelay);
    return;
  }
  watch.isOpen = true;
  watch.isWaitingForStore = false;
  ++watch.generation;
  TimePoint now = this->loop.Now();
  LookRequest request;
  request.lastEnd = watch.confirmed;
  request.lease = this->dispatcher.NextLease(aWorker, now);
  // The first poll must not wait: it raises the fencing token.
  request.wait = request.lease && !this->isStoreAway ? this->WaitOfLook(now) : Duration(0);
  this->gateway.Look(
    *listing,
    request,
    this->fence,
    [this, alive = this->isAlive, aWorker, now](const Result<WorkerReport>& aReport) {
      if (*alive) {
        this->OnAnswer(aWorker, now, aReport);
      }
    });
}

void WorkerLooks::OnAnswer(const WorkerId& aWorker,
                           TimePoint aSentAt,
                           const Result<WorkerReport>& aReport)
{
  Watch& watch = this->watches[aWorker];
  bool isFirst = !watch.wasAsked;
  watch.isOpen = false;
  watch.wasAsked = true;
  TimePoint now = this->loop.Now();
  if (!aReport) {
    if (aReport.Error() == make_error_code(Errc::Fenced)) {
      this->hooks.onFenced();
      return;
    }
    bool wasNeverSent = aReport.Error() == make_error_code(Errc::Unreachable);
    this->dispatcher.OnSilence(aWorker, wasNeverSent, now);
    // A single lost response does not prove that the worker is unreachable.
    bool wasWell = watch.hasAnswered;
    watch.hasAnswered = false;
    if (wasWell && !wasNeverSent) {
      this->lostAnswerAt = now;
    }
    this->LookLater(aWorker, wasWell ? Duration(0) : Duration(kRetryDelay));
    this->hooks.onNews();
    return;
  }
  watch.hasAnswered = true;
  if (watch.incarnation != aReport->incarnation) {
    watch.incarnation = aReport->incarnation;
    watch.confirmed = 0;
  }
  this->dispatcher.OnReport(aWorker, *aReport, aSentAt, now);
  bool hasEnds = this->dispatcher.LastEnd(aWorker) > watch.confirmed;
  if (hasEnds && !this->isStoreAway) {
    watch.isWaitingForStore = true;
    // Renews the lease even if the store is slow.
    this->LookLater(aWorker, this->settings.lookWait);
  } else {
    this->LookLater(aWorker, this->isStoreAway ? Duration(kAwayInterval) : Duration(0));
  }
  if (hasEnds || isFirst || !aReport->ended.empty()) {
    this->hooks.onNews();
  }
}

TakenEnds WorkerLooks::Taken() const
{
  TakenEnds ends;
  for (const auto& [id, watch] : this->watches) {
    std::uint64_t last = this->dispatcher.LastEnd(id);
    if (last > watch.confirmed) {
      ends.push_back({ id, watch.incarnation, last });
    }
  }
  return ends;
}

void WorkerLooks::Confirm(const TakenEnds& aEnds)
{
  for (const TakenEnd& end : aEnds) {
    auto found = this->watches.find(end.worker);
    // A restarted worker numbers its end reports from 1 again.
    if (found == this->watches.end() || found->second.incarnation != end.incarnation) {
      continue;
    }
    Watch& watch = found->second;
    watch.confirmed = std::max(watch.confirmed, end.number);
    if (watch.isWaitingForStore && this->dispatcher.LastEnd(end.worker) == watch.confirmed) {
      this->Look(end.worker);
    }
  }
}

} // namespace daisydrift::coordination
