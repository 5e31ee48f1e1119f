// The memory that a listener holds for its connections.

#include "daisydrift/http.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <map>
#include <vector>

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

  /// Sends bytes on a new connection from the loopback address aFrom.
  asio::ip::tcp::socket Send(const std::string& aBytes, const char* aFrom = "127.0.0.1")
  {
    asio::ip::tcp::socket socket(this->clientContext);
    socket.open(asio::ip::tcp::v4());
    socket.bind({ asio::ip::make_address_v4(aFrom), 0 });
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

// Guards against a client whose many unfinished requests, each of them small, keep those of others
// from being served.
TEST_F(ListenerBudgetTest, UnfinishedRequestsOfOneClientGiveWayToThoseOfOthers)
{
  std::vector<asio::ip::tcp::socket> unfinished;
  for (int number = 0; number < 13; ++number) {
    unfinished.push_back(this->Send(Post("/", 3000, 2500), "127.0.0.2"));
  }
  EXPECT_EQ(this->refusals["client_memory"], 0);
  auto ofSame = this->Send(Post("/", 8000, 8000), "127.0.0.2");
  EXPECT_EQ(this->Received(ofSame).rfind("HTTP/1.1 503 ", 0), 0U);
  EXPECT_EQ(this->refusals["client_memory"], 0);
  auto ofOther = this->Send(Post("/", 8000, 8000), "127.0.0.3");
  EXPECT_EQ(this->Received(ofOther).rfind("HTTP/1.1 200 ", 0), 0U);
  EXPECT_GT(this->refusals["client_memory"], 0);
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

// Guards against responses that are held although there is no memory for them.
TEST_F(ListenerBudgetTest, ResponseBeyondTheBudgetClosesItsConnection)
{
  this->handler = [](const Ref<HttpExchange>& aExchange) {
    aExchange->Reply({ 200, {}, std::string(100000, 'x') });
  };
  auto client = this->Send(Post("/", 1, 1));
  EXPECT_EQ(this->Received(client), "");
  EXPECT_EQ(this->refusals["output"], 1);
  EXPECT_EQ(this->listener.OpenConnections(), 0U);
  EXPECT_EQ(this->listener.OpenExchanges(), 0U);
  EXPECT_EQ(this->budget->Used(), 0U);
}

// Guards against a response that is held for good since its client does not read it.
TEST_F(ListenerBudgetTest, ResponseThatIsNotReadIsGivenUp)
{
  HttpListener unlimited(this->loop, {}, [](const Ref<HttpExchange>& aExchange) {
    aExchange->Reply({ 200, {}, std::string(32 * 1024 * 1024, 'x') });
  });
  ASSERT_FALSE(unlimited.Open({ "127.0.0.1", 0 }));
  asio::ip::tcp::socket client(this->clientContext);
  client.connect({ asio::ip::make_address_v4("127.0.0.1"), unlimited.Port() });
  asio::write(client, asio::buffer(Post("/", 1, 1)));
  this->RunLoop();
  ASSERT_EQ(unlimited.OpenExchanges(), 1U);
  while (unlimited.OpenConnections() > 0) {
    this->RunLoop(); // The timeout of the test ends it otherwise.
  }
  EXPECT_EQ(unlimited.OpenExchanges(), 0U);
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
