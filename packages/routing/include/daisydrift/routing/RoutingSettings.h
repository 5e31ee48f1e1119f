#pragma once
// Settings of the package `routing`.

#include "daisydrift/base.h"

#include <cstddef>
#include <cstdint>

namespace daisydrift {

/// What one upstream may be given by the whole fleet of entry instances.
struct UpstreamLimits
{
  unsigned slots = 8;
  unsigned connections = 64;
};

/// All times are durations on the local monotonic clock.
struct RoutingSettings
{
  /// Number of seats among which every upstream is shared; the same on all instances.
  unsigned seats = 7;
  /// Limits of services without limits of their own.
  UpstreamLimits limits;
  /// Failure domain of this instance.
  FailureDomain failureDomain;
  /// Prefers upstreams of the own failure domain while one of them has a free slot.
  bool isOwnDomainPreferred = true;
  /// Longest deadline of a request. Succession of a seat waits for it, so later deadlines are
  /// shortened to it.
  Duration longestDeadline = std::chrono::seconds(30);
  /// Failures in a row after which an upstream is ejected; 0 turns ejection off.
  unsigned ejectAfterFailures = 3;
  /// First ejection time; it doubles with each further ejection up to maxEjectionTime.
  Duration baseEjectionTime = std::chrono::seconds(1);
  Duration maxEjectionTime = std::chrono::seconds(60);
  /// Threads for tries that may outlast the deadline of their caller; 0 runs each try on its
  /// caller's thread and gives it up at the deadline. The default exceeds the slots of one seat at
  /// 50 upstreams (8 / 7 * 50) twice.
  std::size_t maxAttemptThreads = 128;
  /// Keeps the slot of a request that was sent and not answered until longestDeadline after the
  /// send, because the upstream may still run it. Off only in benchmarks.
  bool isUnansweredSlotHeld = true;
  /// Most requests that wait for one service, and of one team for one service.
  std::size_t queueCapacity = 1024;
  std::size_t teamQueueCapacity = 256;
  /// Most tries of one request.
  unsigned maxAttempts = 3;
  /// Retries allowed for each request, and the most that can be saved up.
  double retryTokenRatio = 0.1;
  double maxRetryTokens = 10;
  /// Upper end of the first back-off; it doubles with each try up to maxRetryDelay.
  Duration initialRetryDelay = std::chrono::milliseconds(10);
  Duration maxRetryDelay = std::chrono::seconds(1);
  /// Hedged tries allowed for each request, and the most that can be saved up. 0 turns them off.
  double hedgeTokenRatio = 0.05;
  double maxHedgeTokens = 5;
  /// Seed of the jitter.
  std::uint64_t seed = 1;
};

} // namespace daisydrift
