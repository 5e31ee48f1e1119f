#pragma once
// Pool of persistent HTTP connections. Internal to the package.

#include "daisydrift/base.h"
#include "daisydrift/external/Endpoint.h"

#include <httplib.h>

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace daisydrift {

/// Outcome of one HTTP exchange (a request and its response).
struct HttpOutcome
{
  /// Zero when a complete response was received, whatever its status. Unreachable: nothing was
  /// sent. OutcomeUnknown: the request may have been sent, but no complete response was received.
  std::error_code error;
  httplib::Response response;
};

/// What the timeout of an exchange covers.
enum class TransferTime
{
  /// The other side's time to respond; the transfer of the bodies is added.
  Added,
  /// Everything: it is what is left of a caller's deadline. The response may still arrive for as
  /// long as it makes progress.
  Included
};

/// Pool of persistent connections, several for each endpoint. Each exchange has exclusive use of a
/// connection, so a response can't reach the wrong caller. A connection on which an exchange failed
/// is closed, so an unresponsive connection fails at most one more exchange. Thread-safe.
class HttpConnections
{
public:
  /// Sends aRequest to aEndpoint and waits for the complete response. aTimeout applies separately
  /// to connecting (which has a shorter maximum of its own), to the time without progress while
  /// writing and reading, and to the time until the response begins and the response as a whole.
  /// With TransferTime::Added the last two are longer by what the bodies take on a slow link.
  HttpOutcome Exchange(const Endpoint& aEndpoint,
                       httplib::Request aRequest,
                       std::chrono::milliseconds aTimeout,
                       TransferTime aTransferTime = TransferTime::Added);

private:
  std::unique_ptr<httplib::Client> Acquire(const Endpoint& aEndpoint);
  void Release(const Endpoint& aEndpoint, std::unique_ptr<httplib::Client> aClient);

  std::mutex mutex;
  std::map<Endpoint, std::vector<std::unique_ptr<httplib::Client>>> idleClients;
};

/// Maps an HTTP status of the platform's interfaces to an error; zero for 2xx.
std::error_code ErrorFromStatus(int aStatus);

} // namespace daisydrift
