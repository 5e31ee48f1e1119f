#include "ConfigFollower.h"

#include "RegionLeader.h"

#include <unistd.h>

#include <algorithm>

namespace daisydrift {

namespace {

constexpr std::chrono::milliseconds kReadTimeout{ 1000 };
constexpr std::chrono::milliseconds kInitialRetryDelay{ 50 };
constexpr std::chrono::milliseconds kMaxRetryDelay{ 1000 };

// Just before a watch that is never answered is given up, the configuration was confirmed at the
// sending of the watch before it; a read follows.
static_assert(2 * kConfigWatchWait + kWatchTimeoutMargin + kInitialRetryDelay + kReadTimeout <
                kMaxConfigAgeForStarts,
              "a dead connection must not stop the leader's starts");

} // namespace

ConfigFollower::ConfigFollower(Store& aStore,
                               ConfigHolder& aHolder,
                               const Clock& aClock,
                               std::function<void(std::error_code, TimePoint)> aOnStoreCall,
                               std::function<void()> aOnConfirmed)
  : store(aStore)
  , holder(aHolder)
  , clock(aClock)
  , onStoreCall(std::move(aOnStoreCall))
  , onConfirmed(std::move(aOnConfirmed))
  , delay(kInitialRetryDelay, kMaxRetryDelay, static_cast<std::uint64_t>(getpid()))
{
}

ConfigFollower::~ConfigFollower()
{
  this->Stop();
}

void ConfigFollower::Start()
{
  this->thread = std::thread([this] { this->Run(); });
}

void ConfigFollower::Stop()
{
  this->isStopping = true;
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void ConfigFollower::Run()
{
  bool isCurrent = false;
  while (!this->isStopping) {
    // A failed watch may have missed a change, so the document is read again after it.
    isCurrent = isCurrent ? this->WatchOnce() : this->Read();
    if (!isCurrent) {
      this->holder.OnStoreFailed();
      std::this_thread::sleep_for(this->delay.Next());
      continue;
    }
    this->delay.Reset();
    if (this->isReadable) {
      this->onConfirmed();
    }
  }
}

bool ConfigFollower::Read()
{
  TimePoint sentAt = this->clock.Now();
  Result<StoreEntry> entry = this->store.Get(kConfigKey, kReadTimeout);
  this->onStoreCall(entry.Error(), sentAt);
  if (entry.Error() == Errc::NotFound) {
    this->isReadable = true;
    this->holder.OnStoreDocument({}, sentAt);
    return true;
  }
  if (!entry) {
    return false;
  }
  this->Take(*entry, sentAt);
  return true;
}

bool ConfigFollower::WatchOnce()
{
  TimePoint sentAt = this->clock.Now();
  Result<WatchResult> result = this->store.Watch(kConfigKey, this->lastRevision, kConfigWatchWait);
  this->onStoreCall(result.Error(), sentAt);
  if (!result) {
    return false;
  }
  // Past the revisions of other keys with the prefix, which would end each watch at once.
  this->lastRevision = std::max(this->lastRevision, result->revision);
  for (const StoreEntry& change : result->changes) {
    if (change.key != kConfigKey) {
      continue;
    }
    if (change.revision == 0) {
      return this->Read();
    }
    // The change carries the document, so it does not have to cross the link a second time.
    this->Take(change, sentAt);
    return true;
  }
  if (this->isReadable) {
    this->holder.OnStoreUnchanged(sentAt);
  }
  return true;
}

void ConfigFollower::Take(const StoreEntry& aEntry, TimePoint aSentAt)
{
  this->lastRevision = std::max(this->lastRevision, aEntry.revision);
  Findings findings;
  std::optional<ConfigDocument> document = ParseConfig(aEntry.value, kConfigKey, findings);
  this->isReadable = document.has_value();
  if (!document) {
    LogLine(LogLevel::Error, "configuration_unreadable")
      .Add("revision", aEntry.revision)
      .Add("findings", findings.ToText());
    this->holder.OnStoreFailed();
    return;
  }
  this->holder.OnStoreDocument(std::move(*document), aSentAt);
}

} // namespace daisydrift
