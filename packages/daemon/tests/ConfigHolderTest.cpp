#include <gtest/gtest.h>

#include "ConfigHolder.h"

#include <condition_variable>
#include <thread>

namespace daisydrift {
namespace {

ConfigDocument DocumentOf(ConfigVersion aVersion)
{
  ConfigDocument document;
  document.version = aVersion;
  return document;
}

// Guards against a leader that decides by an older configuration than the one in force: the store's
// thread and the heartbeats' threads adopt versions at the same time.
TEST(ConfigHolder, ListenerGetsVersionsInTheirOrder)
{
  ManualClock clock;
  ConfigHolder holder(clock);
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<ConfigVersion> delivered;
  bool isNewerDelivered = false;
  std::thread peer;
  holder.SetListener([&](const ConfigView& aView) {
    std::unique_lock lock(mutex);
    if (aView.Document().version == 1) {
      peer = std::thread([&] { holder.OnPeerDocument(DocumentOf(2)); });
      // The newer version must wait for this one, so the wait ends by its time limit.
      changed.wait_for(lock, std::chrono::milliseconds(300), [&] { return isNewerDelivered; });
    }
    delivered.push_back(aView.Document().version);
    isNewerDelivered = isNewerDelivered || aView.Document().version == 2;
    changed.notify_all();
  });
  holder.OnStoreDocument(DocumentOf(1), clock.Now());
  peer.join();
  EXPECT_EQ(delivered, (std::vector<ConfigVersion>{ 1, 2 }));
  EXPECT_EQ(holder.Version(), 2U);
}

} // namespace
} // namespace daisydrift
