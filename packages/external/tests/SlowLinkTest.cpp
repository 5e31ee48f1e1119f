// Guards against a value that never crosses a slow link because its call has a fixed time limit,
// and is sent again beside the copies before it; and against a response that never ends.

#include "daisydrift/external.h"
#include "daisydrift/standins.h"

#include <gtest/gtest.h>

#include <thread>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

constexpr auto kTimeout = 500ms;
/// 2 s for the value, four times the timeout.
constexpr std::size_t kValueBytes = 500'000;
constexpr std::size_t kBytesPerSecond = 250'000;

/// A client of a store behind a slow link.
struct SlowLink : testing::Test
{
  SlowLink()
  {
    EXPECT_TRUE(this->server.Start({ "127.0.0.1", 0 }));
    this->link = std::make_unique<TcpRelay>(this->server.Address());
    this->store = std::make_unique<HttpStore>(this->link->Address());
  }

  StoreServer server{ { 100'000, 100'000 } };
  std::unique_ptr<TcpRelay> link;
  std::unique_ptr<HttpStore> store;
  std::string value = std::string(kValueBytes, 'v');
};

TEST_F(SlowLink, WriteThatTakesLongerThanTheTimeoutSucceedsTheFirstTime)
{
  this->link->LimitRateToTarget(kBytesPerSecond);
  auto written = this->store->CompareAndSwap("k", this->value, 0, 0, kTimeout);
  ASSERT_TRUE(written) << written.Error().message();
  EXPECT_EQ(this->link->Accepted(), 1U);
}

TEST_F(SlowLink, ReadsThatTakeLongerThanTheTimeoutSucceedTheFirstTime)
{
  ASSERT_TRUE(this->store->CompareAndSwap("k", this->value, 0, 0, kTimeout));
  this->link->LimitRateToClients(kBytesPerSecond);
  auto entry = this->store->Get("k", kTimeout);
  ASSERT_TRUE(entry) << entry.Error().message();
  EXPECT_EQ(entry->value.size(), kValueBytes);
  auto listed = this->store->List("k", kTimeout);
  ASSERT_TRUE(listed) << listed.Error().message();
  EXPECT_EQ(listed->size(), 1U);
  EXPECT_EQ(this->link->Accepted(), 1U);
}

TEST(SlowResponse, ThatNeverEndsIsGivenUp)
{
  std::atomic<unsigned> sent{ 0 };
  constexpr unsigned kParts = 100;
  RawListener listener([&](RawConnection& aConnection, unsigned) {
    aConnection.ReceiveUntil("\r\n\r\n");
    aConnection.Send("HTTP/1.1 200 OK\r\nRevision: 7\r\nContent-Length: 100\r\n\r\n");
    while (sent < kParts && aConnection.Send("x")) {
      ++sent;
      std::this_thread::sleep_for(50ms);
    }
  });
  HttpStore store(listener.Address());
  EXPECT_EQ(store.Get("k", kTimeout).Error(), Errc::OutcomeUnknown);
  EXPECT_LT(sent, kParts);
}

} // namespace
} // namespace daisydrift
