#include "RangeFollower.h"

namespace daisydrift::coordination {

namespace {
/// A response is late after this time. The store normally responds within 4 ms, and within some
/// 300 ms while it is slow.
constexpr std::chrono::milliseconds kLateResponse{ 300 };
/// Delay before a read that follows a failed call.
constexpr std::chrono::milliseconds kRetryDelay{ 150 };
/// Each read in flight holds a connection until its response or its time limit.
constexpr std::size_t kMaxOpenReads = 4;
} // namespace

struct RangeFollower::PagedRead
{
  std::uint64_t step;
  std::uint64_t call;
  TimePoint sentAt;
  /// Revision of the first page: changes made since then may be missing from later pages.
  std::uint64_t revision = 0;
  std::vector<KeyValueItem> items;
};

RangeFollower::RangeFollower(EventLoop& aLoop,
                             KeyValueStore& aStore,
                             Metrics& aMetrics,
                             std::string aPrefix,
                             Duration aMaxWatchWait,
                             Hooks aHooks)
  : loop(aLoop)
  , store(aStore)
  , metrics(aMetrics)
  , prefix(std::move(aPrefix))
  , maxWatchWait(aMaxWatchWait)
  , hooks(std::move(aHooks))
  , constructedAt(aLoop.Now())
{
}

void RangeFollower::Restart()
{
  this->BeginStep(true);
}

void RangeFollower::Refresh()
{
  if (!this->isReadStep && !this->IsReceiving()) {
    this->Restart();
  }
}

bool RangeFollower::IsReceiving() const
{
  return this->lastProgress && this->loop.Now() - *this->lastProgress < kLateResponse;
}

std::function<bool()> RangeFollower::ProgressHook(std::uint64_t aCall)
{
  return [this, aCall, sentInStep = this->step] {
    if (sentInStep != this->step || this->IsReplaced(aCall)) {
      return false;
    }
    this->lastProgress = this->loop.Now();
    this->arrivingCall = aCall;
    return true;
  };
}

void RangeFollower::Stop()
{
  this->isStopping = true;
  ++this->step;
  ++this->readTimer;
}

void RangeFollower::BeginStep(bool aIsRead)
{
  if (this->isStopping) {
    return;
  }
  ++this->step;
  this->stepBegan = this->loop.Now();
  this->isReadStep = aIsRead;
  this->openReads = 0;
  this->lastProgress.reset();
  this->nextRead = TimePoint::max();
  if (aIsRead) {
    this->SendRead();
  } else {
    this->SendWatch();
  }
}

void RangeFollower::ScheduleRead(TimePoint aTime)
{
  if (this->isStopping || aTime >= this->nextRead) {
    return;
  }
  this->nextRead = aTime;
  this->loop.After(aTime - this->loop.Now(), [this, timer = ++this->readTimer] {
    if (timer == this->readTimer) {
      this->nextRead = TimePoint::max();
      if (this->IsReceiving()) {
        this->ScheduleRead(*this->lastProgress + kLateResponse);
        return;
      }
      this->MarkUnconfirmed(this->isReadStep ? "read" : "watch",
                            make_error_code(Errc::DeadlineExceeded),
                            this->stepBegan);
      this->SendRead();
    }
  });
}

void RangeFollower::SendRead()
{
  TimePoint now = this->loop.Now();
  this->ScheduleRead(now + kLateResponse);
  if (this->openReads >= kMaxOpenReads) {
    return;
  }
  ++this->openReads;
  this->SendPageRead(std::make_shared<PagedRead>(PagedRead{ this->step, ++this->callCount, now }));
}

void RangeFollower::SendPageRead(const std::shared_ptr<PagedRead>& aRead)
{
  std::string after = aRead->items.empty() ? "" : aRead->items.back().key;
  this->store.ReadPage(
    this->prefix,
    after,
    [this, aRead, isFirst = after.empty()](const Result<KeyValuePage>& aPage) {
      if (aRead->step != this->step) {
        return;
      }
      if (!aPage) {
        --this->openReads;
        if (this->IsReplaced(aRead->call)) {
          return;
        }
        this->OnFailure("read", aPage.Error(), aRead->sentAt);
        this->hooks.onReadResult(aPage.Error());
        return;
      }
      if (isFirst) {
        aRead->revision = aPage->revision;
      }
      aRead->items.insert(aRead->items.end(), aPage->items.begin(), aPage->items.end());
      if (aPage->hasMore && !aPage->items.empty()) {
        this->SendPageRead(aRead);
        return;
      }
      this->revision = aRead->revision;
      // The hooks may call Restart, so the next step begins before them.
      this->BeginStep(false);
      this->hooks.onReadResult({});
      this->hooks.onRead(aRead->items);
      this->Confirm(aRead->sentAt);
    },
    this->ProgressHook(aRead->call));
}

void RangeFollower::SendWatch()
{
  TimePoint sentAt = this->loop.Now();
  std::uint64_t call = ++this->callCount;
  this->ScheduleRead(sentAt + this->maxWatchWait + kLateResponse);
  this->store.Watch(
    this->prefix,
    this->revision,
    this->maxWatchWait,
    [this, call, sentAt, sentInStep = this->step](const Result<KeyValueChanges>& aChanges) {
      if (sentInStep != this->step) {
        return;
      }
      if (!aChanges) {
        if (this->IsReplaced(call)) {
          return;
        }
        this->OnFailure("watch", aChanges.Error(), sentAt);
        return;
      }
      this->revision = aChanges->revision;
      this->BeginStep(false);
      for (const KeyValueChange& change : aChanges->changes) {
        this->hooks.onChange(change);
      }
      // A watch without a change shows the state at the end of its wait.
      bool hasWaited = aChanges->changes.empty() && this->loop.Now() - sentAt >= this->maxWatchWait;
      this->Confirm(hasWaited ? sentAt + this->maxWatchWait : sentAt);
    },
    this->ProgressHook(call));
}

void RangeFollower::OnFailure(const char* aCall, std::error_code aError, TimePoint aSentAt)
{
  this->metrics.Count("range_calls_failed_total{range=\"" + this->prefix + "\"}");
  this->MarkUnconfirmed(aCall, aError, aSentAt);
  // The failed watch may have missed a change, and its history may be lost, so a read follows.
  this->ScheduleRead(this->loop.Now() + kRetryDelay);
}

void RangeFollower::MarkUnconfirmed(const char* aCall, std::error_code aError, TimePoint aSentAt)
{
  // One line for each row of failures: while the store is away, several calls fail in a second.
  if (!this->isUnconfirmed) {
    LogLine(LogLevel::Warning, "range_unconfirmed")
      .Add("range", this->prefix)
      .Add("call", aCall)
      .Add("error", aError)
      .Add("spent_ms", this->loop.Now() - aSentAt)
      .Add("age_ms", this->Age());
  }
  this->isUnconfirmed = true;
}

void RangeFollower::Confirm(TimePoint aTime)
{
  this->metrics.Observe("range_age_seconds{range=\"" + this->prefix + "\"}", this->Age());
  if (this->isUnconfirmed) {
    LogLine(LogLevel::Warning, "range_confirmed")
      .Add("range", this->prefix)
      .Add("age_ms", this->Age());
  }
  this->isUnconfirmed = false;
  this->confirmedAt = std::max(this->confirmedAt.value_or(aTime), aTime);
  this->hooks.onConfirmed();
}

} // namespace daisydrift::coordination
