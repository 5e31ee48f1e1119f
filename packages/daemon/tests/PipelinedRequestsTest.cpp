// Requests that a caller sends without waiting for the answers to those before them.

#include <gtest/gtest.h>
#include <httplib.h>

#include "HttpServer.h"

#include "daisydrift/standins/RawConnection.h"

namespace daisydrift {
namespace {

// Guards against requests that were read with the one before them and dropped without an answer.
TEST(PipelinedRequestsTest, EachRequestThatWasReadIsAnswered)
{
  HttpLimits limits;
  limits.keepAlive = std::chrono::seconds(1);
  HttpServer server(limits, {});
  server.Server().Get("/(.*)", [](const httplib::Request& aRequest, httplib::Response& aResponse) {
    aResponse.set_content(aRequest.path + "\n", "text/plain");
  });
  ASSERT_TRUE(server.Start({ "127.0.0.1", 0 }));
  auto caller = RawConnection::Connect(server.Address());
  ASSERT_TRUE(caller);
  ASSERT_TRUE(caller->Send("GET /first HTTP/1.1\r\n\r\n"
                           "GET /second HTTP/1.1\r\nConnection: close\r\n\r\n"));
  caller->ReceiveUntil("\r\n\r\n");
  EXPECT_EQ(caller->ReceiveUntil("\n"), "/first\n");
  caller->ReceiveUntil("\r\n\r\n");
  EXPECT_EQ(caller->ReceiveUntil("\n"), "/second\n");
}

} // namespace
} // namespace daisydrift
