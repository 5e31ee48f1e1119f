#include "ConfigFollower.h"

#include "RegionLeader.h"

#include <unistd.h>

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
    bool isSuccess = isCurrent ? this->WatchOnce() : this->Read();
    isCurrent = isSuccess;
    if (isSuccess) {
      this->delay.Reset();
      this->onConfirmed();
    } else {
      std::this_thread::sleep_for(this->delay.Next());
    }
  }
}

bool ConfigFollower::Read()
{
  TimePoint sentAt = this->clock.Now();
  Result<StoreEntry> entry = this->store.Get(kConfigKey, kReadTimeout);
  this->onStoreCall(entry.Error(), sentAt);
  if (entry.Error() == Errc::NotFound) {
    this->holder.OnStoreDocument({}, sentAt);
    return true;
  }
  if (!entry) {
    return false;
  }
  this->lastRevision = entry->revision;
  Findings findings;
  std::optional<ConfigDocument> document = ParseConfig(entry->value, kConfigKey, findings);
  if (!document) {
    LogLine(LogLevel::Error, "configuration_unreadable").Add("findings", findings.ToText());
    return false;
  }
  this->holder.OnStoreDocument(std::move(*document), sentAt);
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
  if (result->changes.empty()) {
    this->holder.OnStoreUnchanged(sentAt);
    return true;
  }
  return this->Read();
}

} // namespace daisydrift
