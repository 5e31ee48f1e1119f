// Calls between instances over loopback.

#include "daisydrift/coordination.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisydrift {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

class HttpPeerTransportTest : public ::testing::Test
{
protected:
  HttpPeerTransportTest()
    : peers(this->loop)
    , listener(this->loop, {}, [this](const Ref<HttpExchange>& aExchange) {
      if (aExchange->Request().target == "/" + this->unansweredMethod) {
        this->unanswered.push_back(aExchange);
      } else {
        aExchange->Reply({ 200, {}, "{}" });
      }
    })
  {
    EXPECT_FALSE(this->listener.Open({ "127.0.0.1", 0 }));
    this->endpoint = { "127.0.0.1", this->listener.Port() };
  }

  /// Sends many calls of one method that the peer does not answer, then one call each of the
  /// others; returns the methods in the order in which their calls ended.
  std::vector<std::string> CallAll(const std::string& aUnanswered,
                                   const std::vector<std::string>& aOthers)
  {
    constexpr int kUnansweredCalls = 20;
    this->unansweredMethod = aUnanswered;
    std::vector<std::string> ended;
    std::size_t total = kUnansweredCalls + aOthers.size();
    auto call = [&](const std::string& aMethod) {
      this->peers.Call(
        this->endpoint, aMethod, json::object(), seconds(1), [&, aMethod](const Result<json>&) {
          ended.push_back(aMethod);
          if (ended.size() == total) {
            this->loop.Stop();
          }
        });
    };
    for (int number = 0; number < kUnansweredCalls; ++number) {
      call(aUnanswered);
    }
    for (const std::string& method : aOthers) {
      call(method);
    }
    this->loop.Run();
    ended.resize(aOthers.size());
    std::sort(ended.begin(), ended.end());
    return ended;
  }

  AsioLoop loop;
  HttpPeerTransport peers;
  std::string unansweredMethod;
  std::vector<Ref<HttpExchange>> unanswered;
  HttpListener listener;
  SocketEndpoint endpoint;
};

// With a leader that is late, callers repeat their queries; a cancelled job would run on meanwhile.
TEST_F(HttpPeerTransportTest, CancellationsAndNoticesDoNotWaitBehindUnansweredQueries)
{
  std::vector<std::string> others{ "announce", "cancel", "notices" };
  EXPECT_EQ(this->CallAll("query", others), others);
}

TEST_F(HttpPeerTransportTest, NoticesAndQueriesDoNotWaitBehindUnansweredCancellations)
{
  std::vector<std::string> others{ "notices", "query" };
  EXPECT_EQ(this->CallAll("cancel", others), others);
}

} // namespace
} // namespace daisydrift
