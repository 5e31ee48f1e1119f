#pragma once
// Settings of the package `routing`.

#include "daisydrift/base.h"

#include <cstddef>
#include <cstdint>

namespace daisydrift {

/// Limits of one upstream for the requests of all instances together.
struct UpstreamLimits
{
  unsigned slots = 8;
  unsigned connections = 64;
};

/// All times are durations on the local monotonic clock.
struct RoutingSettings
{
  /// Number of seats; the same on all instances. The instances that route requests lease numbered
  /// seats, at most one each, and the holder of a seat may use 1/seats of every upstream's limits.
  unsigned seats = 7;
  /// Limits of services that have no limits of their own.
  UpstreamLimits limits;
  /// Failure domain of this instance.
  FailureDomain failureDomain;
  /// Prefers upstreams of this instance's failure domain while one of them has a free slot.
  bool isOwnDomainPreferred = true;
  /// Longest time from a request's arrival to its deadline; later deadlines are shortened to it,
  /// because the succession of a seat waits this long for the requests of the previous holder
  /// (kMaxRequestDuration in the package `membership`).
  Duration maxRequestTimeout = std::chrono::seconds(30);
  /// Consecutive failures after which an upstream is ejected; 0 turns ejection off.
  unsigned ejectAfterFailures = 3;
  /// Duration of the first ejection; it doubles with each further ejection up to maxEjectionTime.
  Duration baseEjectionTime = std::chrono::seconds(1);
  Duration maxEjectionTime = std::chrono::seconds(60);
  /// Most threads for attempts that may outlast the deadline of their request. With 0 each attempt
  /// runs on its caller's thread and is abandoned at the deadline. The default is more than twice
  /// the slots of one seat at 50 upstreams (8 / 7 * 50).
  std::size_t maxAttemptThreads = 128;
  /// Holds the slot of a request that was sent and got no response until maxRequestTimeout after
  /// the send, because the upstream may still execute it. Turned off only in benchmarks.
  bool isUnansweredSlotHeld = true;
  /// Most requests that wait for one service, in total and of one team.
  std::size_t queueCapacity = 1024;
  std::size_t teamQueueCapacity = 256;
  /// Most attempts of one request.
  unsigned maxAttempts = 3;
  /// Token bucket of retries: tokens added by each request, and the capacity.
  double retryTokenRatio = 0.1;
  double maxRetryTokens = 10;
  /// Upper end of the first backoff delay; it doubles with each attempt up to maxRetryDelay.
  Duration initialRetryDelay = std::chrono::milliseconds(10);
  Duration maxRetryDelay = std::chrono::seconds(1);
  /// Token bucket of hedged attempts: tokens added by each request, and the capacity. A ratio of 0
  /// turns hedging off.
  double hedgeTokenRatio = 0.05;
  double maxHedgeTokens = 5;
  /// Seed of the jitter in retry delays.
  std::uint64_t seed = 1;
};

} // namespace daisydrift
