// Contract of UpstreamClient with the HTTP adapter and the stand-in server. Guards against a
// request or response changed in transit, a request retried by the client, and a response delivered
// to another caller.

#include "daisydrift/external.h"
#include "daisydrift/standins.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <random>
#include <thread>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr auto kTimeout = 30s;

class UpstreamContract : public testing::Test
{
protected:
  UpstreamContract() { EXPECT_TRUE(this->server.Start({ "127.0.0.1", 0 })); }
  UpstreamResult Send(const UpstreamRequest& aRequest,
                      std::chrono::milliseconds aTimeout = kTimeout)
  {
    return this->client.Send(this->server.Address(), aRequest, aTimeout);
  }
  void SetMode(const char* aMode)
  {
    auto result = this->Send({ "POST", "/control/mode", {}, Json{ { "mode", aMode } }.dump() });
    ASSERT_EQ(result.response.status, 200);
  }
  Json Stats()
  {
    return Json::parse(this->Send({ "GET", "/control/stats", {}, "" }).response.body);
  }

  UpstreamServer server{ "u1", 8 };
  HttpUpstreamClient client;
};

TEST_F(UpstreamContract, RequestArrivesUnchanged)
{
  const UpstreamRequest kRequests[] = {
    { "GET", "/a", { { "Request-Id", "r1" } }, "" },
    { "POST", "/p%20q/%2F?x=1&y=%26&z", { { "Request-Id", "r2" } }, "body \u00e9 \"{}\"" },
    { "PUT", "/", { { "Request-Id", "r3" } }, std::string(100'000, 'b') },
    { "POST", "/empty", { { "Request-Id", "r4" } }, "" },
    { "DELETE", "/d", { { "Request-Id", "r5" } }, "" },
  };
  for (const UpstreamRequest& request : kRequests) {
    SCOPED_TRACE(request.method + " " + request.target);
    UpstreamResult result = this->Send(request);
    ASSERT_FALSE(result.error) << result.error.message();
    EXPECT_EQ(result.progress, SendProgress::Sent);
    EXPECT_EQ(result.response.status, 200);
    Json received = Json::parse(result.response.body);
    EXPECT_EQ(received["method"], request.method);
    EXPECT_EQ(received["target"], request.target);
    EXPECT_EQ(received["body"], request.body);
    EXPECT_EQ(received["request_id"], request.headers[0].second);
  }
}

struct ModeCase
{
  const char* mode;
  int status;
  bool isNotStarted;
};

// Guards against a client that turns a status into an error: the caller decides what it means.
TEST_F(UpstreamContract, EveryStatusIsReturnedAsResponse)
{
  for (const ModeCase& test : { ModeCase{ "ok", 200, false },
                                ModeCase{ "error", 500, false },
                                ModeCase{ "leaving", 503, true } }) {
    SCOPED_TRACE(test.mode);
    this->SetMode(test.mode);
    UpstreamResult result = this->Send({ "GET", "/x", {}, "" });
    EXPECT_FALSE(result.error);
    EXPECT_EQ(result.response.status, test.status);
    bool isNotStarted = false;
    for (const auto& [name, value] : result.response.headers) {
      isNotStarted = isNotStarted || name == kNotStartedHeader;
    }
    EXPECT_EQ(isNotStarted, test.isNotStarted);
  }
}

TEST_F(UpstreamContract, RequestWithoutResponseIsSentOnce)
{
  this->SetMode("hang");
  UpstreamResult result = this->Send({ "POST", "/x", { { "Request-Id", "r1" } }, "b" }, 200ms);
  EXPECT_EQ(result.error, Errc::OutcomeUnknown);
  EXPECT_EQ(result.progress, SendProgress::Sent);
  Json starts = this->Stats()["starts_by_request"];
  while (!starts.contains("r1")) {
    starts = this->Stats()["starts_by_request"];
  }
  EXPECT_EQ(starts["r1"], 1);
}

// 8 callers send 50 requests each, with seeded random work times, to an upstream with 8 slots.
TEST_F(UpstreamContract, ConcurrentCallersReceiveTheirOwnResponses)
{
  std::vector<std::thread> callers;
  for (unsigned caller = 0; caller < 8; ++caller) {
    callers.emplace_back([this, caller] {
      std::mt19937 random(20261204 + caller);
      for (unsigned i = 0; i < 50; ++i) {
        std::string id = std::to_string(caller) + "-" + std::to_string(i);
        std::string target = "/x?work_ms=" + std::to_string(random() % 4);
        UpstreamResult result = this->Send({ "POST", target, { { "Request-Id", id } }, id });
        ASSERT_FALSE(result.error) << result.error.message();
        Json received = Json::parse(result.response.body);
        EXPECT_EQ(received["body"], id);
        EXPECT_EQ(received["request_id"], id);
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  EXPECT_EQ(this->Stats()["requests_started_twice"], 0);
}

// Guards against forwarding header fields that apply to one connection only.
TEST(UpstreamHeaders, HopByHopFieldsAreNotForwarded)
{
  std::string received;
  RawListener listener([&](RawConnection& aConnection, unsigned) {
    received = aConnection.ReceiveUntil("\r\n\r\n");
    aConnection.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n"
                     "X-Kept: 1\r\nX-Kept: 2\r\n\r\nok");
    aConnection.AwaitClose();
  });
  HttpUpstreamClient client;
  HeaderFields headers = { { "Connection", "close" }, { "TE", "trailers" },     { "Host", "evil" },
                           { "Upgrade", "h2c" },      { "X-Kept", "a" },        { "X-Kept", "b" },
                           { "keep-alive", "1" },     { "Content-Length", "9" } };
  UpstreamResult result = client.Send(listener.Address(), { "GET", "/", headers, "" }, kTimeout);
  ASSERT_FALSE(result.error) << result.error.message();
  for (const char* name : { "close", "TE:", "evil", "Upgrade", "keep-alive: 1", "Length: 9" }) {
    EXPECT_EQ(received.find(name), std::string::npos) << received;
  }
  EXPECT_NE(received.find("X-Kept: a\r\n"), std::string::npos) << received;
  EXPECT_NE(received.find("X-Kept: b\r\n"), std::string::npos) << received;
  EXPECT_EQ(result.response.headers, (HeaderFields{ { "X-Kept", "1" }, { "X-Kept", "2" } }));
}

} // namespace
} // namespace daisydrift
