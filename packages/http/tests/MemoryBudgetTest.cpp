// The memory that a listener holds for its connections.

#include "daisydrift/http.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <map>

namespace daisydrift {
namespace {

using std::chrono::milliseconds;

// Guards against a budget that two shares exceed together, and against bytes that stay counted.
TEST(MemoryBudgetTest, SharesAreLimitedTogetherAndReleasedByTheirReservations)
{
  auto whole = MakeRef<MemoryBudget>(100);
  MemoryBudget::Reservation first(MakeRef<MemoryBudget>(80, whole));
  {
    MemoryBudget::Reservation second(MakeRef<MemoryBudget>(80, whole));
    EXPECT_FALSE(first.Resize(81));
    EXPECT_TRUE(first.Resize(70));
    EXPECT_FALSE(second.Resize(31));
    EXPECT_EQ(second.Bytes(), 0U);
    EXPECT_TRUE(second.Resize(30));
    EXPECT_FALSE(first.Resize(71));
    EXPECT_EQ(whole->Used(), 100U);
  }
  EXPECT_TRUE(first.Resize(80));
  EXPECT_TRUE(first.Resize(10));
  EXPECT_EQ(whole->Used(), 10U);
  EXPECT_EQ(whole->TakePeak(), 100U);
  EXPECT_EQ(whole->TakePeak(), 10U);
}

/// A listener with a budget of 64 KiB and clients of it.
class ListenerBudgetTest : public ::testing::Test
{
protected:
  ListenerBudgetTest()
    : listener(
        this->loop,
        {},
        [this](const Ref<HttpExchange>& aExchange) { this->handler(aExchange); },
        this->Protection())
  {
    EXPECT_FALSE(this->listener.Open({ "127.0.0.1", 0 }));
  }

  HttpProtection Protection()
  {
    HttpProtection protection;
    protection.budget = this->budget;
    protection.decideByHeader = [](const HttpRequest& aRequest) {
      HeaderDecision decision;
      if (aRequest.target == "/none") {
        decision.response = HttpResponse{ 404, {}, "" };
      }
      decision.keepsBody = aRequest.target != "/unused";
      return decision;
    };
    protection.onRefusal = [this](const HttpRefusal& aRefusal) {
      ++this->refusals[aRefusal.cause];
    };
    return protection;
  }

  asio::ip::tcp::socket Send(const std::string& aBytes)
  {
    asio::ip::tcp::socket socket(this->clientContext);
    socket.connect({ asio::ip::make_address_v4("127.0.0.1"), this->listener.Port() });
    asio::write(socket, asio::buffer(aBytes));
    this->RunLoop();
    return socket;
  }

  /// What has arrived at a client.
  std::string Received(asio::ip::tcp::socket& aSocket)
  {
    this->RunLoop();
    std::string text(aSocket.available(), '\0');
    asio::read(aSocket, asio::buffer(text));
    return text;
  }

  static std::string Post(const std::string& aTarget, std::size_t aLength, std::size_t aSent)
  {
    return "POST " + aTarget + " HTTP/1.1\r\nContent-Length: " + std::to_string(aLength) +
           "\r\n\r\n" + std::string(aSent, 'x');
  }

  /// Runs what is ready, and what becomes ready while the loop is idle for some 20 ms.
  void RunLoop()
  {
    this->loop.After(milliseconds(20), [this] { this->loop.Stop(); });
    this->loop.Run();
    this->loop.Context().restart();
  }

  AsioLoop loop;
  asio::io_context clientContext;
  Ref<MemoryBudget> budget = MakeRef<MemoryBudget>(64 * 1024);
  std::map<std::string, int> refusals;
  HttpListener::Handler handler = [](const Ref<HttpExchange>& aExchange) {
    aExchange->Reply({ 200, {}, std::to_string(aExchange->Request().body.size()) });
  };
  HttpListener listener;
};

// Guards against unfinished requests that keep an ordinary one from being served, and against a
// refused one that is run.
TEST_F(ListenerBudgetTest, LargestUnfinishedRequestIsRefusedForASmallOne)
{
  auto small = this->Send(Post("/", 20000, 10000));
  auto large = this->Send(Post("/", 50000, 40000));
  auto ordinary = this->Send(Post("/", 15000, 15000));
  EXPECT_NE(this->Received(ordinary).find("15000"), std::string::npos);
  EXPECT_EQ(this->Received(large).rfind("HTTP/1.1 503 ", 0), 0U);
  asio::write(small, asio::buffer(std::string(10000, 'x')));
  EXPECT_NE(this->Received(small).find("20000"), std::string::npos);
  EXPECT_EQ(this->refusals["memory"], 1);
}

// Guards against the body of a request in progress that is held beyond its response.
TEST_F(ListenerBudgetTest, BodyIsReleasedWithTheResponse)
{
  Ref<HttpExchange> kept;
  this->handler = [&kept](const Ref<HttpExchange>& aExchange) { kept = aExchange; };
  auto client = this->Send(Post("/", 30000, 30000));
  ASSERT_TRUE(kept);
  EXPECT_GT(this->budget->Used(), 30000U);
  kept->Reply({ 200, {}, "" });
  EXPECT_EQ(kept->Request().body.capacity(), std::string().capacity());
  EXPECT_LT(this->budget->Used(), 10000U);
  client.close();
  this->RunLoop();
  kept.reset();
  EXPECT_EQ(this->budget->Used(), 0U);
}

// Guards against bodies that are kept although the header shows that they are not needed.
TEST_F(ListenerBudgetTest, HeaderDecidesBeforeTheBodyArrives)
{
  auto refused = this->Send(Post("/none", 50000, 8000));
  EXPECT_EQ(this->Received(refused).rfind("HTTP/1.1 404 ", 0), 0U);
  auto tooLong = this->Send(Post("/", 300000, 0));
  EXPECT_EQ(this->Received(tooLong).rfind("HTTP/1.1 413 ", 0), 0U);
  auto unused = this->Send(Post("/unused", 200000, 199999));
  EXPECT_LT(this->budget->Used(), 20000U);
  asio::write(unused, asio::buffer("x", 1));
  EXPECT_EQ(this->Received(unused).rfind("HTTP/1.1 200 ", 0), 0U);
}

// Guards against a header of very many short fields, each of which takes far more memory than
// bytes.
TEST_F(ListenerBudgetTest, FieldsOfAHeaderAreLimited)
{
  std::string header = "GET / HTTP/1.1\r\n";
  for (int field = 0; field < 101; ++field) {
    header += "a:b\r\n";
  }
  auto client = this->Send(header);
  EXPECT_EQ(this->Received(client).rfind("HTTP/1.1 431 ", 0), 0U);
  EXPECT_EQ(this->refusals["header_fields"], 1);
}

// Guards against silent connections that keep others from being served.
TEST_F(ListenerBudgetTest, ConnectionWithTheLeastProgressIsClosedForANewOne)
{
  HttpServerLimits limits;
  limits.maxConnections = 2;
  this->listener.SetLimits(limits);
  auto served = this->Send(Post("/", 1, 1));
  auto silent = this->Send("");
  auto other = this->Send(Post("/", 1, 1));
  EXPECT_EQ(this->Received(other).rfind("HTTP/1.1 200 ", 0), 0U);
  EXPECT_EQ(this->listener.OpenConnections(), 2U);
  this->Received(served);
  asio::write(served, asio::buffer(Post("/", 1, 1)));
  EXPECT_EQ(this->Received(served).rfind("HTTP/1.1 200 ", 0), 0U);
}

} // namespace
} // namespace daisydrift
