#include "daisydrift/coordination/HttpPeerTransport.h"

#include "RecordCodec.h"

namespace daisydrift {

using nlohmann::json;

namespace {
/// Connections per instance and kind of call, so that a call which takes half a second does not
/// delay the short ones.
constexpr std::size_t kQueryConnections = 8;
constexpr std::size_t kChangeConnections = 8;
constexpr std::size_t kGroupConnections = 4;
/// Time for the transfer of a configuration of 1 MB, which takes 0.9 s at 10 Mbit/s alone.
constexpr std::chrono::seconds kMaxTransferTime{ 10 };
constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusConflict = 409;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusTooMany = 429;
constexpr int kStatusUnavailable = 503;
/// The call may have been carried out. Earlier versions answer with 409 instead.
constexpr int kStatusUnknown = 504;

Errc ErrorFromStatus(int aStatus)
{
  switch (aStatus) {
    case kStatusBadRequest:
    case kStatusTooLarge:
      return Errc::InvalidArgument;
    case kStatusConflict:
      return Errc::NotPermitted;
    case kStatusTooMany:
    case kStatusUnavailable:
      return Errc::Overloaded;
    default:
      return Errc::OutcomeUnknown;
  }
}

int StatusFromError(std::error_code aError)
{
  if (aError == make_error_code(Errc::InvalidArgument)) {
    return kStatusBadRequest;
  }
  return aError == make_error_code(Errc::OutcomeUnknown) ? kStatusUnknown : kStatusConflict;
}
} // namespace

HttpPeerTransport::HttpPeerTransport(AsioLoop& aLoop, std::size_t aMaxIdle)
  : queries(aLoop, kQueryConnections, aMaxIdle)
  , changes(aLoop, kChangeConnections, aMaxIdle)
  , group(aLoop, kGroupConnections, aMaxIdle)
{
}

HttpClient& HttpPeerTransport::ClientFor(const std::string& aMethod)
{
  if (aMethod == "query" || aMethod == "pending") {
    return this->queries;
  }
  return aMethod == "cancel" || aMethod == "submit" ? this->changes : this->group;
}

void HttpPeerTransport::Call(const SocketEndpoint& aPeer,
                             const std::string& aMethod,
                             const json& aArguments,
                             Duration aTimeout,
                             std::function<void(const Result<json>&)> aDone)
{
  HttpRequest request{ "POST", "/" + aMethod, {}, aArguments.dump() };
  // Only the response to `config` may be long.
  Duration transferTime = aMethod == "config" ? Duration(kMaxTransferTime) : Duration(0);
  this->ClientFor(aMethod).Send(aPeer,
                                std::move(request),
                                HttpTimeLimits{ aTimeout, aTimeout, aTimeout + transferTime },
                                [done = std::move(aDone)](const Result<HttpResponse>& aResponse) {
                                  if (!aResponse) {
                                    done(aResponse.Error());
                                    return;
                                  }
                                  if (aResponse->status != kStatusOk) {
                                    done(ErrorFromStatus(aResponse->status));
                                    return;
                                  }
                                  std::optional<json> result = ParseJson(aResponse->body);
                                  if (result && result->is_object()) {
                                    done(*result);
                                  } else {
                                    done(Errc::Corrupt);
                                  }
                                });
}

void HandlePeerCall(Instance& aInstance, const Ref<HttpExchange>& aExchange)
{
  std::optional<json> arguments = ParseJson(aExchange->Request().body, kMaxPeerCallValues);
  std::string method = aExchange->Request().target;
  method.erase(0, 1); // The slash.
  // Text that is not JSON, or nested too deep, is refused like any other that is no object.
  aInstance.OnPeerCall(
    method, arguments ? std::move(*arguments) : json(), [aExchange](const Result<json>& aResult) {
      if (aResult) {
        aExchange->Reply({ kStatusOk, {}, aResult->dump() });
      } else {
        aExchange->Reply({ StatusFromError(aResult.Error()), {}, "{}" });
      }
    });
}

} // namespace daisydrift
