// Connection faults, injected into every HTTP adapter by a peer whose bytes the test controls.
// Guards against an incomplete response taken for a complete one, a call reported as not executed
// although it may have been, and a connection reused after a fault.

#include "daisydrift/external.h"
#include "daisydrift/standins.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

/// Only prevents a hanging test.
constexpr auto kTimeout = 30s;
/// For faults that only a timeout detects.
constexpr auto kShortTimeout = 300ms;

/// An adapter under test, with a response that it accepts.
struct AdapterCase
{
  const char* name;
  /// Makes one exchange with the client in aClient, which the first call creates.
  std::function<std::error_code(std::shared_ptr<void>& aClient,
                                const Endpoint& aEndpoint,
                                std::chrono::milliseconds aTimeout)>
    exchange;
  std::string validHeaders;
  std::string validBody;
  /// True when the adapter returns any status and body to the caller.
  bool acceptsAnyResponse;
};

template<typename Client, typename... Arguments>
Client& ClientIn(std::shared_ptr<void>& aClient, Arguments... aArguments)
{
  if (!aClient) {
    aClient = std::make_shared<Client>(aArguments...);
  }
  return *static_cast<Client*>(aClient.get());
}

const AdapterCase kAdapters[] = {
  { "Worker",
    [](auto& aClient, const Endpoint& aEndpoint, std::chrono::milliseconds aTimeout) {
      return ClientIn<HttpWorkerClient>(aClient).Sync(aEndpoint, {}, aTimeout).Error();
    },
    "",
    EncodeSyncReport({ "w#1", 1, { 1, 2, 3 }, {}, {} }),
    false },
  { "Directory",
    [](auto& aClient, const Endpoint& aEndpoint, std::chrono::milliseconds aTimeout) {
      return ClientIn<HttpInstanceDirectory>(aClient, aEndpoint).List(aTimeout).Error();
    },
    "",
    EncodeInstances({}),
    false },
  { "Upstream",
    [](auto& aClient, const Endpoint& aEndpoint, std::chrono::milliseconds aTimeout) {
      UpstreamResult result = ClientIn<HttpUpstreamClient>(aClient).Send(
        aEndpoint, { "POST", "/x", {}, "body" }, aTimeout);
      EXPECT_EQ(result.progress == SendProgress::NotSent, result.error == Errc::Unreachable);
      return result.error;
    },
    "",
    "any",
    true },
  { "StoreRead",
    [](auto& aClient, const Endpoint& aEndpoint, std::chrono::milliseconds aTimeout) {
      return ClientIn<HttpStore>(aClient, aEndpoint).Get("k", aTimeout).Error();
    },
    "Revision: 7\r\n",
    "value",
    false },
  { "StoreWrite",
    [](auto& aClient, const Endpoint& aEndpoint, std::chrono::milliseconds aTimeout) {
      return ClientIn<HttpStore>(aClient, aEndpoint)
        .CompareAndSwap("k", "value", 0, 0, aTimeout)
        .Error();
    },
    "Revision: 7\r\n",
    "",
    false },
};

std::string MakeResponse(const std::string& aStatus,
                         const std::string& aHeaders,
                         const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus + "\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// Fault that the peer injects after it has read the request.
struct FaultCase
{
  const char* name;
  std::function<void(RawConnection& aConnection, const AdapterCase& aAdapter)> inject;
  std::error_code expected;
  /// Expected error of an adapter that accepts any response; zero for none.
  std::error_code expectedIfAnyAccepted;
  std::chrono::milliseconds timeout = kTimeout;
};

void SendAndShutDown(RawConnection& aConnection, const std::string& aBytes)
{
  aConnection.Send(aBytes);
  aConnection.EndSending();
}

const FaultCase kFaults[] = {
  { "NoResponse",
    [](RawConnection& aConnection, const AdapterCase&) { aConnection.AwaitClose(); },
    Errc::OutcomeUnknown,
    Errc::OutcomeUnknown,
    kShortTimeout },
  { "ClosedWithoutResponse",
    [](RawConnection&, const AdapterCase&) {},
    Errc::OutcomeUnknown,
    Errc::OutcomeUnknown },
  { "Reset",
    [](RawConnection& aConnection, const AdapterCase&) { aConnection.Reset(); },
    Errc::OutcomeUnknown,
    Errc::OutcomeUnknown },
  { "Garbage",
    [](RawConnection& aConnection, const AdapterCase&) {
      SendAndShutDown(aConnection, std::string("\0\x01\xff garbage\r\n\r\n", 14));
    },
    Errc::OutcomeUnknown,
    Errc::OutcomeUnknown },
  { "TruncatedStatusLine",
    [](RawConnection& aConnection, const AdapterCase&) {
      SendAndShutDown(aConnection, "HTTP/1.1 2");
    },
    Errc::OutcomeUnknown,
    Errc::OutcomeUnknown },
  { "TruncatedHeaders",
    [](RawConnection& aConnection, const AdapterCase& aAdapter) {
      SendAndShutDown(aConnection, "HTTP/1.1 200 OK\r\n" + aAdapter.validHeaders + "Content-Le");
    },
    Errc::OutcomeUnknown,
    Errc::OutcomeUnknown },
  { "TruncatedBody",
    [](RawConnection& aConnection, const AdapterCase& aAdapter) {
      std::string complete =
        MakeResponse("200 OK", aAdapter.validHeaders, aAdapter.validBody + "xyz");
      SendAndShutDown(aConnection, complete.substr(0, complete.size() - 1));
    },
    Errc::OutcomeUnknown,
    Errc::OutcomeUnknown },
  { "TruncatedChunk",
    [](RawConnection& aConnection, const AdapterCase& aAdapter) {
      SendAndShutDown(aConnection,
                      "HTTP/1.1 200 OK\r\n" + aAdapter.validHeaders +
                        "Transfer-Encoding: chunked\r\n\r\n10\r\nabc");
    },
    Errc::OutcomeUnknown,
    Errc::OutcomeUnknown },
  { "MissingLastChunk",
    [](RawConnection& aConnection, const AdapterCase& aAdapter) {
      SendAndShutDown(aConnection,
                      "HTTP/1.1 200 OK\r\n" + aAdapter.validHeaders +
                        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    },
    Errc::OutcomeUnknown,
    Errc::OutcomeUnknown },
  { "StalledBody",
    [](RawConnection& aConnection, const AdapterCase& aAdapter) {
      aConnection.Send("HTTP/1.1 200 OK\r\n" + aAdapter.validHeaders +
                       "Content-Length: 100\r\n\r\nabc");
      aConnection.AwaitClose();
    },
    Errc::OutcomeUnknown,
    Errc::OutcomeUnknown,
    kShortTimeout },
  { "MalformedLength",
    [](RawConnection& aConnection, const AdapterCase& aAdapter) {
      SendAndShutDown(aConnection,
                      "HTTP/1.1 200 OK\r\n" + aAdapter.validHeaders +
                        "Content-Length: -1\r\n\r\nabc");
    },
    Errc::OutcomeUnknown,
    Errc::OutcomeUnknown },
};

class AdapterFault : public testing::TestWithParam<std::tuple<AdapterCase, FaultCase>>
{
protected:
  const AdapterCase adapter = std::get<0>(GetParam());
  const FaultCase fault = std::get<1>(GetParam());
  std::shared_ptr<void> client;

  std::error_code Expected() const
  {
    return this->adapter.acceptsAnyResponse ? this->fault.expectedIfAnyAccepted
                                            : this->fault.expected;
  }
  /// Reads one request including its body.
  static void ReadRequest(RawConnection& aConnection)
  {
    std::string head = aConnection.ReceiveUntil("\r\n\r\n");
    auto at = head.find("Content-Length: ");
    if (at != std::string::npos) {
      aConnection.Receive(std::stoul(head.substr(at + 16)));
    }
  }
  void SendValidResponse(RawConnection& aConnection) const
  {
    ReadRequest(aConnection);
    aConnection.Send(MakeResponse("200 OK", this->adapter.validHeaders, this->adapter.validBody));
  }
};

TEST_P(AdapterFault, ReportsErrorAndDiscardsConnection)
{
  RawListener listener([this](RawConnection& aConnection, unsigned aIndex) {
    if (aIndex > 0) {
      this->SendValidResponse(aConnection);
      aConnection.AwaitClose();
      return;
    }
    ReadRequest(aConnection);
    this->fault.inject(aConnection, this->adapter);
  });
  Endpoint peer = listener.Address();
  EXPECT_EQ(this->adapter.exchange(this->client, peer, this->fault.timeout), this->Expected());
  EXPECT_FALSE(this->adapter.exchange(this->client, peer, kTimeout));
  EXPECT_EQ(listener.Accepted(), 2u);
}

// Guards against a fault that has another error on a reused connection than on a new one.
TEST_P(AdapterFault, ReportsSameErrorOnReusedConnection)
{
  RawListener listener([this](RawConnection& aConnection, unsigned aIndex) {
    this->SendValidResponse(aConnection);
    if (aIndex > 0) {
      aConnection.AwaitClose();
      return;
    }
    ReadRequest(aConnection);
    this->fault.inject(aConnection, this->adapter);
  });
  Endpoint peer = listener.Address();
  EXPECT_FALSE(this->adapter.exchange(this->client, peer, kTimeout));
  EXPECT_EQ(listener.Accepted(), 1u);
  EXPECT_EQ(this->adapter.exchange(this->client, peer, this->fault.timeout), this->Expected());
  EXPECT_FALSE(this->adapter.exchange(this->client, peer, kTimeout));
  EXPECT_EQ(listener.Accepted(), 2u);
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         AdapterFault,
                         testing::Combine(testing::ValuesIn(kAdapters), testing::ValuesIn(kFaults)),
                         [](const auto& aInfo) {
                           return std::string(std::get<0>(aInfo.param).name) +
                                  std::get<1>(aInfo.param).name;
                         });

struct StatusCase
{
  const char* status;
  std::error_code expected;
  std::error_code expectedFromWorker;
};

class AdapterStatus : public testing::TestWithParam<AdapterCase>
{};

// Guards against a status mapped to the wrong error, such as a rejection taken for success.
TEST_P(AdapterStatus, MapsStatusToError)
{
  const StatusCase kStatuses[] = {
    { "400 Bad Request", Errc::InvalidArgument, Errc::InvalidArgument },
    { "401 Unauthorized", Errc::Unauthenticated, Errc::Unauthenticated },
    { "404 Not Found", Errc::NotFound, Errc::NotFound },
    { "409 Conflict", Errc::Conflict, Errc::Fenced },
    { "413 Payload Too Large", Errc::InvalidArgument, Errc::InvalidArgument },
    { "429 Too Many Requests", Errc::Overloaded, Errc::Overloaded },
    { "500 Internal Server Error", Errc::OutcomeUnknown, Errc::OutcomeUnknown },
    { "503 Service Unavailable", Errc::Unreachable, Errc::Unreachable },
    { "302 Found", Errc::OutcomeUnknown, Errc::OutcomeUnknown },
  };
  const AdapterCase& adapter = GetParam();
  for (const StatusCase& test : kStatuses) {
    SCOPED_TRACE(test.status);
    RawListener listener([&](RawConnection& aConnection, unsigned) {
      aConnection.ReceiveUntil("\r\n\r\n");
      aConnection.Send(MakeResponse(test.status, adapter.validHeaders, adapter.validBody));
      aConnection.AwaitClose();
    });
    std::shared_ptr<void> client;
    std::error_code error = adapter.exchange(client, listener.Address(), kTimeout);
    if (adapter.acceptsAnyResponse) {
      EXPECT_FALSE(error);
    } else {
      EXPECT_EQ(error,
                std::string(adapter.name) == "Worker" ? test.expectedFromWorker : test.expected);
    }
  }
}

TEST_P(AdapterStatus, CompleteResponseWithInvalidContentIsCorrupt)
{
  const AdapterCase& adapter = GetParam();
  for (const std::string body : { "", "{", "[]", "{\"number\": -1}", "\xff\xfe" }) {
    RawListener listener([&](RawConnection& aConnection, unsigned) {
      aConnection.ReceiveUntil("\r\n\r\n");
      aConnection.Send(MakeResponse("200 OK", "Revision: 7x\r\n", body));
      aConnection.AwaitClose();
    });
    std::shared_ptr<void> client;
    std::error_code error = adapter.exchange(client, listener.Address(), kTimeout);
    EXPECT_EQ(error,
              adapter.acceptsAnyResponse ? std::error_code() : make_error_code(Errc::Corrupt))
      << body;
  }
}

TEST_P(AdapterStatus, RefusedConnectionIsUnreachable)
{
  std::shared_ptr<void> client;
  EXPECT_EQ(GetParam().exchange(client, RefusingEndpoint(), kTimeout), Errc::Unreachable);
}

INSTANTIATE_TEST_SUITE_P(Adapters,
                         AdapterStatus,
                         testing::ValuesIn(kAdapters),
                         [](const auto& aInfo) { return std::string(aInfo.param.name); });

} // namespace
} // namespace daisydrift
