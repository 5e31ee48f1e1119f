#pragma once
// The platform's list of instances. The list is eventually consistent: an instance listed as live
// may have failed already, but one listed as gone has certainly stopped.

#include "daisydrift/base.h"
#include "daisydrift/external/Endpoint.h"

#include <chrono>
#include <string>
#include <vector>

namespace daisydrift {

/// Role of an instance.
enum class InstanceKind
{
  Worker,
  Upstream,
  Entry
};

/// State of an instance in the list.
enum class InstanceState
{
  Live,
  /// The platform is about to remove the instance; it must get no new work.
  Leaving,
  /// Removed by the platform: nothing runs on it any more.
  Gone
};

/// An entry of the instance list.
struct InstanceInfo
{
  std::string id;
  InstanceKind kind = InstanceKind::Worker;
  Endpoint endpoint;
  FailureDomain failureDomain;
  std::string region;
  std::string rack;
  /// Upstreams only: name of the service that the instance belongs to.
  std::string service;
  InstanceState state = InstanceState::Live;
};

/// Client of the platform's instance list.
class InstanceDirectory
{
public:
  virtual ~InstanceDirectory() = default;

  /// Reads the complete list. Errors: Unreachable, OutcomeUnknown, Corrupt.
  virtual Result<std::vector<InstanceInfo>> List(std::chrono::milliseconds aTimeout) = 0;
};

} // namespace daisydrift
