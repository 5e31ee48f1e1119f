#pragma once
// In-memory upstreams for tests. Each can have a fault and records the requests that it started.

#include "daisydrift/routing.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace daisydrift {

/// Behaviour of a fake upstream.
enum class FakeFault
{
  None,
  /// Starts the request and never responds.
  Unresponsive,
  /// Accepts the connection but reads nothing: the request is sent and never started.
  HalfOpen,
  /// Starts the request and responds after its deadline.
  Slow,
  /// Refuses connections.
  Refusing,
  /// Responds with 503 and the not-started header, without starting the request.
  NotStarted,
  /// Starts the request and responds with 503 without the not-started header.
  Unavailable,
  /// Starts the request and responds with 500.
  ServerError,
  /// Starts the request and closes the connection.
  Closing
};

/// UpstreamClient with in-memory upstreams. A send advances the manual clock, if there is one.
class FakeUpstreams : public UpstreamClient
{
public:
  explicit FakeUpstreams(ManualClock* aClock)
    : clock(aClock)
  {
  }

  UpstreamResult Send(const Endpoint& aEndpoint,
                      const UpstreamRequest& aRequest,
                      std::chrono::milliseconds aTimeout) override
  {
    FakeFault fault;
    {
      std::lock_guard lock(this->mutex);
      fault = this->faults[aEndpoint.port];
      ++this->sends[aEndpoint.port];
      if (fault != FakeFault::HalfOpen && fault != FakeFault::Refusing &&
          fault != FakeFault::NotStarted) {
        ++this->starts[aRequest.body];
      }
      bool isWaiting = fault == FakeFault::Unresponsive || fault == FakeFault::HalfOpen ||
                       fault == FakeFault::Slow;
      if (this->clock) {
        this->clock->Advance(isWaiting ? aTimeout : std::chrono::milliseconds(10));
      }
    }
    if (this->onSend) {
      this->onSend(aEndpoint);
    }
    switch (fault) {
      case FakeFault::Refusing:
        return { Errc::Unreachable, SendProgress::NotSent, {} };
      case FakeFault::Unresponsive:
      case FakeFault::HalfOpen:
      case FakeFault::Slow:
      case FakeFault::Closing:
        return { Errc::OutcomeUnknown, SendProgress::Sent, {} };
      case FakeFault::NotStarted:
        return { {}, SendProgress::Sent, { 503, { { "daisydrift-not-started", "1" } }, "" } };
      case FakeFault::Unavailable:
        return { {}, SendProgress::Sent, { 503, {}, "unavailable" } };
      case FakeFault::ServerError:
        return { {}, SendProgress::Sent, { 500, {}, "failed" } };
      case FakeFault::None:
        break;
    }
    return { {}, SendProgress::Sent, { 200, { { "X-Body", aRequest.body } }, aRequest.body } };
  }

  ManualClock* clock;
  std::mutex mutex;
  /// By the upstream's port.
  std::map<unsigned, FakeFault> faults;
  std::map<unsigned, unsigned> sends;
  /// Number of starts by request body; each request has its own body.
  std::map<std::string, unsigned> starts;
  /// Called in each send before the response, without the lock held.
  std::function<void(const Endpoint&)> onSend;
};

/// Returns aCount live upstreams `u1`, `u2`, ... of the service `desk` at ports 1, 2, ...
inline std::vector<InstanceInfo> UpstreamList(unsigned aCount)
{
  std::vector<InstanceInfo> list;
  for (unsigned i = 1; i <= aCount; ++i) {
    InstanceInfo info;
    info.id = "u" + std::to_string(i);
    info.kind = InstanceKind::Upstream;
    info.endpoint = { "127.0.0.1", static_cast<std::uint16_t>(i) };
    info.failureDomain = i % 2 == 0 ? "hobart" : "burnie";
    info.service = "desk";
    list.push_back(info);
  }
  return list;
}

} // namespace daisydrift
