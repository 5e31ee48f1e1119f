#pragma once
// Follows the configuration in the store with a watch.

#include "ConfigHolder.h"

#include "daisydrift/external.h"

#include <atomic>
#include <functional>
#include <thread>

namespace daisydrift {

/// Time that one watch waits for a change. A watch without a change confirms the configuration as
/// of the time it was sent, so the wait must be well below kMaxConfigAgeForStarts (4 s).
constexpr std::chrono::milliseconds kConfigWatchWait{ 1000 };

/// Owns a thread that reads and watches the configuration and passes it to a ConfigHolder.
class ConfigFollower
{
public:
  /// aOnStoreCall gets the result of each store call and the time it was sent. aOnConfirmed is
  /// called each time the store has confirmed the configuration. Both are called on the follower's
  /// thread.
  ConfigFollower(Store& aStore,
                 ConfigHolder& aHolder,
                 const Clock& aClock,
                 std::function<void(std::error_code, TimePoint)> aOnStoreCall,
                 std::function<void()> aOnConfirmed);
  ~ConfigFollower();

  void Start();
  void Stop();

private:
  void Run();
  /// Reads the document once. Returns false when the store call failed.
  bool Read();
  /// Waits for a change once and takes the document from it. Returns false when the store call
  /// failed.
  bool WatchOnce();
  /// Takes the document that a call sent at aSentAt returned. One that can't be read is not read
  /// again: the watch continues from its revision.
  void Take(const StoreEntry& aEntry, TimePoint aSentAt);

  Store& store;
  ConfigHolder& holder;
  const Clock& clock;
  std::function<void(std::error_code, TimePoint)> onStoreCall;
  std::function<void()> onConfirmed;
  /// The watch waits for changes after this revision.
  Revision lastRevision = 0;
  /// False while the newest document in the store can't be read; nothing confirms the configuration
  /// in the meantime.
  bool isReadable = true;
  RetryDelay delay;
  std::atomic<bool> isStopping{ false };
  std::thread thread;
};

} // namespace daisydrift
