#pragma once
// Client of the platform's instance list over HTTP, as described in docs/platform-contract.md.

#include "daisydrift/external/InstanceDirectory.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace daisydrift {

class HttpConnections;

/// HTTP client of the instance list. An item that can't be read hides no other: its instance, or
/// every unlisted one when the item has no ID, is returned as it was listed last, so that nothing
/// is concluded from its absence. Such items are logged when they change. Thread-safe.
class HttpInstanceDirectory : public InstanceDirectory
{
public:
  explicit HttpInstanceDirectory(Endpoint aEndpoint);
  ~HttpInstanceDirectory() override;

  Result<std::vector<InstanceInfo>> List(std::chrono::milliseconds aTimeout) override;

private:
  /// Decodes a list, with the instances of unreadable items as they were listed last.
  Result<std::vector<InstanceInfo>> DecodeReadable(const std::string& aText);

  Endpoint endpoint;
  std::mutex mutex;
  std::map<std::string, InstanceInfo> lastListed;
  /// IDs of the items that could not be read; empty for an item without one.
  std::set<std::string> lastUnreadable;
  std::unique_ptr<HttpConnections> connections;
};

/// Encodes a list of instances as JSON.
std::string EncodeInstances(const std::vector<InstanceInfo>& aInstances);
/// Decodes a list of instances from JSON. Errors: Corrupt (malformed, or with an unknown kind or
/// state).
Result<std::vector<InstanceInfo>> DecodeInstances(const std::string& aText);

} // namespace daisydrift
