// Client and server over loopback: complete responses, malformed input, failing connections.

#include "daisydrift/http.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <random>
#include <thread>

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class HttpTest : public ::testing::Test
{
protected:
  HttpTest()
    : client(this->loop, 2)
    , listener(this->loop, Limits(), [this](const Ref<HttpExchange>& aExchange) {
      this->handler(aExchange);
    })
  {
    EXPECT_FALSE(this->listener.Open({ "127.0.0.1", 0 }));
    this->endpoint = { "127.0.0.1", this->listener.Port() };
  }

  static HttpServerLimits Limits()
  {
    HttpServerLimits limits;
    limits.maxBodyBytes = 1000;
    limits.maxHeaderBytes = 500;
    return limits;
  }

  Result<HttpResponse> Call(HttpRequest aRequest, Duration aTimeout = seconds(20))
  {
    return this->Call(std::move(aRequest), HttpTimeLimits{ aTimeout, aTimeout, aTimeout });
  }
  Result<HttpResponse> Call(HttpRequest aRequest, const HttpTimeLimits& aLimits)
  {
    std::optional<Result<HttpResponse>> result;
    this->client.Send(
      this->endpoint, std::move(aRequest), aLimits, [&](const Result<HttpResponse>& aResponse) {
        result = aResponse;
        this->loop.Stop();
      });
    this->loop.Run();
    this->loop.Context().restart();
    return *result;
  }

  /// Sends raw bytes on a new connection and returns what the server sends until it closes.
  std::string SendRaw(const std::string& aBytes)
  {
    std::string received;
    std::thread clientThread([&] {
      asio::io_context context;
      asio::ip::tcp::socket socket(context);
      std::error_code error;
      socket.connect({ asio::ip::make_address_v4("127.0.0.1"), this->endpoint.port }, error);
      asio::write(socket, asio::buffer(aBytes), error);
      socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
      std::array<char, 4096> buffer;
      while (!error) {
        received.append(buffer.data(), socket.read_some(asio::buffer(buffer), error));
      }
      this->loop.After(Duration(0), [this] { this->loop.Stop(); });
    });
    this->loop.Run();
    this->loop.Context().restart();
    clientThread.join();
    return received;
  }

  /// A client's connection that the listener has accepted, or that waits to be accepted.
  asio::ip::tcp::socket Connect(bool aIsAccepted)
  {
    asio::ip::tcp::socket socket(this->clientContext);
    socket.connect({ asio::ip::make_address_v4("127.0.0.1"), this->endpoint.port });
    if (aIsAccepted) {
      this->RunLoop();
    }
    return socket;
  }

  /// Runs what is ready, and what becomes ready while the loop is idle for some 20 ms.
  void RunLoop()
  {
    this->loop.After(milliseconds(20), [this] { this->loop.Stop(); });
    this->loop.Run();
    this->loop.Context().restart();
  }

  static void Send(asio::ip::tcp::socket& aSocket, const std::string& aBytes)
  {
    asio::write(aSocket, asio::buffer(aBytes));
  }

  /// Runs the loop and returns what the client receives until the end of the connection. aError
  /// is the error that ended it: eof unless the connection was reset.
  std::string Receive(asio::ip::tcp::socket& aSocket, std::error_code& aError)
  {
    std::string received;
    std::thread clientThread([&] {
      std::array<char, 4096> buffer;
      while (!aError) {
        received.append(buffer.data(), aSocket.read_some(asio::buffer(buffer), aError));
      }
      aSocket.close();
      this->loop.After(Duration(0), [this] { this->loop.Stop(); });
    });
    this->loop.Run();
    this->loop.Context().restart();
    clientThread.join();
    return received;
  }

  AsioLoop loop;
  asio::io_context clientContext;
  HttpListener::Handler handler = [](const Ref<HttpExchange>& aExchange) {
    const HttpRequest& request = aExchange->Request();
    aExchange->Reply({ 200, {}, request.method + " " + request.target + " " + request.body });
  };
  HttpClient client;
  HttpListener listener;
  SocketEndpoint endpoint;
};

// In a loop with much to do a message would otherwise take seconds, with one small piece a turn.
TEST_F(HttpTest, LargeMessagesAreReadInFewTurnsOfTheLoop)
{
  constexpr std::size_t kMessageBytes = 2 * 1024 * 1024;
  HttpServerLimits limits = Limits();
  limits.maxBodyBytes = kMessageBytes;
  this->listener.SetLimits(limits);
  std::size_t turns = 0;
  std::function<void()> countTurn = [&] {
    ++turns;
    this->loop.After(Duration(0), countTurn);
  };
  this->loop.After(Duration(0), countTurn);
  Result<HttpResponse> response = this->Call({ "POST", "/", {}, std::string(kMessageBytes, 'x') });
  ASSERT_TRUE(response.HasValue());
  EXPECT_GT(response->body.size(), kMessageBytes);
  EXPECT_LT(turns, 200U);
}

// The callers of a queued request would otherwise wait for the requests before it, and then not
// know whether it was carried out.
TEST_F(HttpTest, RequestWithoutAFreeConnectionEndsAtItsTimeoutAsNotSent)
{
  std::vector<Ref<HttpExchange>> unanswered;
  this->handler = [&](const Ref<HttpExchange>& aExchange) { unanswered.push_back(aExchange); };
  std::vector<std::error_code> results;
  auto send = [&](Duration aTimeout) {
    this->client.Send(
      this->endpoint, { "GET", "/", {}, "" }, aTimeout, [&](const Result<HttpResponse>& aResponse) {
        results.push_back(aResponse.Error());
        if (results.size() == 3) {
          this->loop.Stop();
        }
      });
  };
  send(seconds(1));
  send(seconds(1));
  send(milliseconds(200));
  this->loop.Run();
  this->loop.Context().restart();
  EXPECT_EQ(results[0], make_error_code(Errc::DeadlineExceeded));
  EXPECT_EQ(results[1], make_error_code(Errc::OutcomeUnknown));
  EXPECT_EQ(unanswered.size(), 2U);
}

// Guards against a request that waited for a connection while the process was suspended and is sent
// after its time, when its caller has given it up.
TEST_F(HttpTest, QueuedRequestIsNotSentAfterItsTimeWhenTheProcessWasSuspended)
{
  std::vector<std::string> received;
  this->handler = [&](const Ref<HttpExchange>& aExchange) {
    received.push_back(aExchange->Request().target);
    aExchange->Reply({ 200, {}, "" });
    if (received.size() == 2) {
      // The responses arrive while the process does not run.
      std::this_thread::sleep_for(milliseconds(300));
    }
  };
  std::map<std::string, std::error_code> results;
  auto send = [&](const std::string& aTarget, Duration aTimeout) {
    this->client.Send(this->endpoint,
                      { "GET", aTarget, {}, "" },
                      aTimeout,
                      [&results, aTarget, this](const Result<HttpResponse>& aResponse) {
                        results[aTarget] = aResponse.Error();
                        if (results.size() == 3) {
                          this->loop.Stop();
                        }
                      });
  };
  send("/first", seconds(20));
  send("/second", seconds(20));
  send("/late", milliseconds(100));
  this->loop.Run();
  this->loop.Context().restart();
  EXPECT_EQ(results["/late"], make_error_code(Errc::DeadlineExceeded));
  EXPECT_EQ(std::count(received.begin(), received.end(), "/late"), 0);
}

// Guards against a process that runs out of descriptors on a large fleet, since it keeps idle
// connections to each worker.
TEST_F(HttpTest, IdleConnectionsToAllEndpointsTogetherAreLimited)
{
  HttpClient limited(this->loop, 2, 3);
  std::vector<std::unique_ptr<HttpListener>> listeners;
  std::size_t answered = 0;
  auto callAll = [&] {
    answered = 0;
    for (const auto& server : listeners) {
      limited.Send({ "127.0.0.1", server->Port() },
                   { "GET", "/", {}, "" },
                   seconds(20),
                   [&](const Result<HttpResponse>& aResponse) {
                     answered += aResponse.HasValue() ? 1 : 0;
                     if (answered == listeners.size()) {
                       this->loop.Stop();
                     }
                   });
    }
    this->loop.Run();
    this->loop.Context().restart();
  };
  for (int number = 0; number < 8; ++number) {
    listeners.push_back(
      std::make_unique<HttpListener>(this->loop, Limits(), [](const Ref<HttpExchange>& aExchange) {
        aExchange->Reply({ 200, {}, "" });
      }));
    ASSERT_FALSE(listeners.back()->Open({ "127.0.0.1", 0 }));
  }
  callAll();
  EXPECT_EQ(limited.CountIdleConnections(), 3U);
  EXPECT_EQ(limited.CountEvictions(), 5U);
  callAll();
  EXPECT_EQ(limited.CountIdleConnections(), 3U);
}

TEST_F(HttpTest, ReturnsCompleteResponses)
{
  for (int number = 0; number < 20; ++number) {
    std::string body(static_cast<std::size_t>(number) * 40, 'x');
    Result<HttpResponse> response = this->Call({ "POST", "/a", {}, body });
    ASSERT_TRUE(response.HasValue());
    EXPECT_EQ(response->body, "POST /a " + body);
  }
}

TEST_F(HttpTest, RefusedConnectionIsUnreachable)
{
  this->listener.CloseIdle();
  Result<HttpResponse> response = this->Call({ "GET", "/", {}, "" });
  EXPECT_EQ(response.Error(), make_error_code(Errc::Unreachable));
}

TEST_F(HttpTest, ConnectionClosedBeforeTheResponseIsOutcomeUnknown)
{
  this->handler = [](const Ref<HttpExchange>& aExchange) { aExchange->Abort(); };
  Result<HttpResponse> response = this->Call({ "GET", "/", {}, "" });
  EXPECT_EQ(response.Error(), make_error_code(Errc::OutcomeUnknown));
}

TEST_F(HttpTest, TimeoutIsOutcomeUnknownAndTheConnectionIsNotReused)
{
  Ref<HttpExchange> heldExchange;
  this->handler = [&heldExchange](const Ref<HttpExchange>& aExchange) { heldExchange = aExchange; };
  Result<HttpResponse> response = this->Call({ "GET", "/", {}, "" }, milliseconds(30));
  EXPECT_EQ(response.Error(), make_error_code(Errc::OutcomeUnknown));
  this->handler = [](const Ref<HttpExchange>& aExchange) {
    aExchange->Reply({ 200, {}, "second" });
  };
  heldExchange->Reply({ 200, {}, "late" });
  response = this->Call({ "GET", "/", {}, "" });
  ASSERT_TRUE(response.HasValue());
  EXPECT_EQ(response->body, "second");
}

TEST_F(HttpTest, OversizedRequestsAreRejected)
{
  EXPECT_EQ(this->Call({ "POST", "/", {}, std::string(2000, 'x') })->status, 413);
  EXPECT_EQ(this->Call({ "GET", "/" + std::string(600, 'x'), {}, "" })->status, 431);
}

TEST_F(HttpTest, PipelinedRequestsAreAnsweredInOrder)
{
  std::string responses =
    this->SendRaw("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nConnection: close\r\n\r\n");
  std::size_t first = responses.find("GET /1");
  std::size_t second = responses.find("GET /2");
  ASSERT_NE(first, std::string::npos) << responses;
  ASSERT_NE(second, std::string::npos) << responses;
  EXPECT_LT(first, second);
}

// Guards against crashes and leaked exchanges on malformed input: sends random mutations and
// prefixes of a valid request.
TEST_F(HttpTest, MalformedRequestsAreRejectedOrClosed)
{
  std::mt19937 random(20261204);
  const std::string validRequest =
    "POST /a HTTP/1.1\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc";
  for (int round = 0; round < 300; ++round) {
    std::string bytes = validRequest;
    int changes = static_cast<int>(random() % 5);
    for (int change = 0; change < changes; ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    bytes.resize(1 + random() % bytes.size());
    this->SendRaw(bytes);
  }
  EXPECT_EQ(this->listener.OpenExchanges(), 0U);
  EXPECT_EQ(this->Call({ "GET", "/after", {}, "" })->status, 200);
}

TEST_F(HttpTest, DrainingClosesEachConnectionAfterItsResponse)
{
  this->listener.Drain();
  Result<HttpResponse> response = this->Call({ "GET", "/", {}, "" });
  ASSERT_TRUE(response.HasValue());
  EXPECT_EQ(FindHeader(response->headers, "connection"), "close");
}

// Guards against requests that were sent whole before the listener closed its idle connections and
// were cut unread.
TEST_F(HttpTest, RequestThatArrivesAsIdleConnectionsAreClosedIsAnswered)
{
  for (bool isAccepted : { true, false }) {
    HttpListener stopping(this->loop, Limits(), this->handler);
    ASSERT_FALSE(stopping.Open({ "127.0.0.1", 0 }));
    this->endpoint.port = stopping.Port();
    asio::ip::tcp::socket socket = this->Connect(isAccepted);
    Send(socket, "GET /last HTTP/1.1\r\n\r\n");
    stopping.Drain();
    stopping.CloseIdle();
    std::error_code error;
    EXPECT_NE(this->Receive(socket, error).find("GET /last"), std::string::npos) << isAccepted;
    EXPECT_EQ(error, asio::error::eof) << isAccepted;
  }
}

// Guards against requests behind another one on the same connection, which the listener had read
// and dropped when it closed the connection after the first answer.
TEST_F(HttpTest, PipelinedRequestsAreAnsweredBeforeADrainingListenerCloses)
{
  asio::ip::tcp::socket socket = this->Connect(true);
  Ref<HttpExchange> first;
  this->handler = [&](const Ref<HttpExchange>& aExchange) {
    if (!first) {
      first = aExchange;
      return;
    }
    aExchange->Reply({ 200, {}, aExchange->Request().target });
  };
  Send(socket, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  this->RunLoop();
  Send(socket, "GET /3 HTTP/1.1\r\n\r\n");
  this->listener.Drain();
  this->listener.CloseIdle();
  first->Reply({ 200, {}, "/1" });
  std::error_code error;
  std::string received = this->Receive(socket, error);
  EXPECT_NE(received.find("/1"), std::string::npos) << received;
  EXPECT_NE(received.find("/2"), std::string::npos) << received;
  EXPECT_NE(received.find("/3"), std::string::npos) << received;
  EXPECT_EQ(error, asio::error::eof);
}

// Guards against an exit of the process while a request is arriving: it counted as no request.
TEST_F(HttpTest, RequestThatIsArrivingCountsAsOpen)
{
  asio::ip::tcp::socket socket = this->Connect(true);
  Send(socket, "POST /late HTTP/1.1\r\nContent-Length: 3\r\n\r\na");
  this->RunLoop();
  this->listener.Drain();
  this->listener.CloseIdle();
  EXPECT_EQ(this->listener.OpenExchanges(), 1U);
  Send(socket, "bc");
  std::error_code error;
  EXPECT_NE(this->Receive(socket, error).find("POST /late abc"), std::string::npos);
  EXPECT_EQ(this->listener.OpenExchanges(), 0U);
}

// The bytes that the listener leaves unread reset the connection, but after the answer.
TEST_F(HttpTest, FinalAnswerArrivesAlthoughTheClientSendsOn)
{
  asio::ip::tcp::socket socket = this->Connect(true);
  Send(socket, "POST / HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" + std::string(200000, 'x'));
  this->RunLoop();
  std::error_code error;
  EXPECT_NE(this->Receive(socket, error).find("413"), std::string::npos);
  EXPECT_EQ(error, asio::error::eof);
}

// Guards against a connection that is closed for idling although its next request has begun to
// arrive while the process was busy.
TEST_F(HttpTest, RequestThatArrivesAtTheIdleTimeoutIsAnswered)
{
  HttpServerLimits limits = Limits();
  limits.idleTimeout = milliseconds(60);
  this->listener.SetLimits(limits);
  asio::ip::tcp::socket socket = this->Connect(true);
  Send(socket, "GET /busy HTTP/1.1\r\n");
  std::this_thread::sleep_for(milliseconds(100)); // The loop is busy beyond the timeout.
  this->RunLoop();
  std::error_code error;
  asio::write(socket, asio::buffer(std::string("Connection: close\r\n\r\n")), error);
  EXPECT_NE(this->Receive(socket, error).find("GET /busy"), std::string::npos);
}

// Limits of a new configuration apply to later requests only.
TEST_F(HttpTest, LowerLimitsDoNotCutAnOpenRequest)
{
  asio::ip::tcp::socket socket = this->Connect(true);
  Ref<HttpExchange> open;
  this->handler = [&open](const Ref<HttpExchange>& aExchange) { open = aExchange; };
  Send(socket, "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\na");
  this->RunLoop();
  HttpServerLimits limits;
  limits.maxHeaderBytes = 1;
  limits.maxBodyBytes = 1;
  limits.idleTimeout = milliseconds(1);
  limits.requestTimeout = milliseconds(1);
  limits.maxConnections = 0;
  this->listener.SetLimits(limits);
  this->RunLoop();
  Send(socket, "bc");
  this->RunLoop();
  this->RunLoop();
  ASSERT_TRUE(open);
  open->Reply({ 200, { { "Connection", "close" } }, "answer" });
  std::error_code error;
  EXPECT_NE(this->Receive(socket, error).find("answer"), std::string::npos);
}

/// A server of one response, whose body arrives in parts with a pause before each.
class SlowServer
{
public:
  /// @param aSentParts Parts that are sent, of the aParts that the response has.
  SlowServer(std::size_t aParts, std::size_t aSentParts, milliseconds aPause)
    : acceptor(this->context, { asio::ip::make_address_v4("127.0.0.1"), 0 })
    , thread([this, aParts, aSentParts, aPause] {
      asio::ip::tcp::socket socket = this->acceptor.accept();
      std::array<char, 1000> request;
      socket.read_some(asio::buffer(request));
      std::error_code error; // The client may give up the response.
      std::string head =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aParts) + "\r\n\r\n";
      asio::write(socket, asio::buffer(head), error);
      for (std::size_t part = 0; part < aSentParts; ++part) {
        std::this_thread::sleep_for(aPause);
        asio::write(socket, asio::buffer("x", 1), error);
      }
      socket.read_some(asio::buffer(request), error); // Until the client closes the connection.
    })
  {
  }
  ~SlowServer() { this->thread.join(); }
  SlowServer(const SlowServer&) = delete;
  SlowServer& operator=(const SlowServer&) = delete;
  SocketEndpoint Endpoint() const
  {
    return { "127.0.0.1", this->acceptor.local_endpoint().port() };
  }

private:
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor;
  std::thread thread;
};

// Guards against a limit on the whole of a response whose length is not known.
TEST_F(HttpTest, ResponseIsWaitedForAsLongAsItArrives)
{
  constexpr std::size_t kParts = 12;
  SlowServer server(kParts, kParts, milliseconds(100));
  this->endpoint = server.Endpoint();
  // Each pause is far shorter than the limits, all together are longer.
  HttpTimeLimits limits{ milliseconds(1000), milliseconds(1000), seconds(60) };
  Result<HttpResponse> response = this->Call({ "GET", "/long", {}, "" }, limits);
  ASSERT_TRUE(response) << response.Error().message();
  EXPECT_EQ(response->body, std::string(kParts, 'x'));
  this->client.CloseIdleConnections(this->endpoint);
}

TEST_F(HttpTest, ResponseThatStopsArrivingIsGivenUp)
{
  SlowServer server(3, 2, milliseconds(1));
  this->endpoint = server.Endpoint();
  HttpTimeLimits limits{ seconds(1000), milliseconds(100), seconds(1000) };
  Result<HttpResponse> response = this->Call({ "GET", "/long", {}, "" }, limits);
  EXPECT_EQ(response.Error(), make_error_code(Errc::OutcomeUnknown));
}

TEST_F(HttpTest, ResponseThatArrivesForTooLongIsGivenUp)
{
  SlowServer server(1000000, 30, milliseconds(20));
  this->endpoint = server.Endpoint();
  HttpTimeLimits limits{ seconds(1000), seconds(1000), milliseconds(200) };
  Result<HttpResponse> response = this->Call({ "GET", "/long", {}, "" }, limits);
  EXPECT_EQ(response.Error(), make_error_code(Errc::OutcomeUnknown));
}

TEST_F(HttpTest, ResponseThatIsNotWantedAnyMoreIsGivenUp)
{
  SlowServer server(1000000, 5, milliseconds(20));
  std::optional<Result<HttpResponse>> result;
  this->client.Send(
    server.Endpoint(),
    { "GET", "/long", {}, "" },
    HttpTimeLimits{ seconds(1000), seconds(1000), seconds(1000) },
    [&](const Result<HttpResponse>& aResponse) {
      result = aResponse;
      this->loop.Stop();
    },
    [](std::size_t) { return false; });
  this->loop.Run();
  this->loop.Context().restart();
  EXPECT_EQ(result->Error(), make_error_code(Errc::OutcomeUnknown));
}

TEST(EndpointTest, ParsesAddressAndPort)
{
  SocketEndpoint endpoint;
  EXPECT_TRUE(ParseEndpoint("10.0.0.1:80", endpoint));
  EXPECT_EQ(endpoint.port, 80);
  for (const char* text : { "", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "x:80", "10.0.0.1:99999" }) {
    EXPECT_FALSE(ParseEndpoint(text, endpoint)) << text;
  }
}

} // namespace
} // namespace daisydrift
